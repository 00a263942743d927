/*
 * Checks of text that other programs chose, before it is written into a header
 * or a line of a log.
 */
#ifndef MP_MISC_TEXT_H
#define MP_MISC_TEXT_H

#include "misc/lstr.h"

bool text_is_printable(struct lstr s);
bool text_is_name(struct lstr s);

#endif
