/*
 * HTTP/1.1 messages, read completely with the http-parser library. A message
 * owns an arena for its head and a buffer for its body. A truncated message is
 * never marked as done.
 */
#ifndef MP_HTTP_MESSAGE_H
#define MP_HTTP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#include <http_parser.h>

#include "misc/arena.h"
#include "misc/buf.h"

struct http_header {
	struct lstr name, value;
};

struct http_message;

/* Limits the memory that the bodies of messages take together, and their time. */
struct http_body_gate {
	/* A body that holds `held` bytes needs `total`; false: doesn't fit. */
	bool (*reserve)(void *priv, size_t held, size_t total);
	/* A message whose body doesn't fit waits; else it is an error. */
	bool waits;
	void (*release)(void *priv, size_t held);
	/* Optional: returns whether the body after a head is received. */
	bool (*accept)(void *priv, const struct http_message *head);
	/* Writes headers of the 503 to a request whose body isn't received. */
	void (*write_refusal)(void *priv, const struct http_message *head,
			      struct buf *headers);
	/* Returns the seconds in which the body after a head must arrive. */
	double (*body_time_s)(void *priv, const struct http_message *head);
	void *priv;
};

struct http_message {
	struct arena arena;
	struct lstr method, target; /* of a request */
	unsigned status;	    /* of a response */
	struct http_header *headers;
	size_t nheaders, cap_headers;
	struct buf body;
	const struct http_body_gate *gate; /* NULL: none */
	size_t reserved;		   /* from the gate */
	bool keep_alive;
	bool head_done, done;
};

enum { HTTP_FIELDS_MAX = 500 };

struct http_limits {
	size_t head_max, body_max; /* bytes; 0: no limit */
};

struct http_reader {
	http_parser parser;
	struct http_limits limits;
	size_t fields_max;		   /* header lines */
	const struct http_body_gate *gate; /* of the next messages, or NULL */
	struct http_message *msg;
	struct buf head;	/* of a response, while it is incomplete */
	struct buf name, value; /* the header line being read */
	struct buf target;
	size_t head_bytes; /* of names, values and the target so far */
	bool in_value;
	bool no_body;	/* response to a HEAD request */
	bool reserving; /* the gate is being asked; not to be freed */
	bool starved;	/* waits for memory, see http_reader_resume() */
	size_t wanted;	/* memory for the body then */
	int err;
};

void http_reader_init(struct http_reader *r, enum http_parser_type type,
		      struct http_limits limits);
ssize_t http_reader_feed(struct http_reader *r, const char *p, size_t n);
int http_reader_resume(struct http_reader *r);
int http_reader_eof(struct http_reader *r);
struct http_message *http_reader_take(struct http_reader *r);
void http_reader_free(struct http_reader *r);

void http_message_free(struct http_message *m);
struct lstr http_find_header(const struct http_message *m, struct lstr name);
bool lstr_eq_nocase(struct lstr a, struct lstr b);
bool http_is_hop_by_hop(const struct http_message *m, struct lstr name);

#endif
