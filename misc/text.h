/*
 * Text that other programs chose: checks and escaping before it is written into
 * a request line, a header, a log or metrics.
 */
#ifndef MP_MISC_TEXT_H
#define MP_MISC_TEXT_H

#include "misc/lstr.h"

bool text_is_printable(struct lstr s);
bool text_is_name(struct lstr s);
bool text_is_target(struct lstr s);
char *text_escape(struct lstr s);
char *text_label(struct lstr s);
void text_make_printable(char *s);

#endif
