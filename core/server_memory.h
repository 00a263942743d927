/*
 * What one lifetime of a backend server has said of itself: its limit, the rest that
 * it asked for, that it leaves. It belongs to the lifetime, not to the list's entry:
 * an entry lapses and returns while the server runs on and means what it said.
 *
 * While no entry names the lifetime its memory is kept as long as it says anything
 * that holds, up to SERVER_MEMORY_UNLISTED_MAX of them, the latest first.
 */
#ifndef MP_CORE_SERVER_MEMORY_H
#define MP_CORE_SERVER_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "core/limit_share.h"
#include "core/server_limit.h"

enum {
	BACKEND_NAME_MAX = 64,
	SERVER_MEMORY_UNLISTED_MAX = 1024,
};

/* What it takes, by its own word, and this instance's part of that. */
struct backend_limit {
	struct server_limit said;
	struct limit_share share;
	double told_per_s;  /* as it was last logged, and told */
	int64_t tell_ms;    /* the peers are told again then that it stands */
	unsigned end_tells; /* times that its end is yet to be told */
	int64_t look_ms;    /* an instance that holds nothing may look then */
	int64_t granted_ms; /* a send that a peer gave up counts until then */
	bool looks; /* it may send one request, to hear whether it ended */
};

struct server_memories;

struct server_memory {
	char id[BACKEND_NAME_MAX];
	uint64_t born_ms; /* tells its starts apart; 0: not told */
	struct server_memories *owner;
	unsigned refs;
	bool unlisted; /* nobody holds it; it stands in the owner's queue */
	bool over;     /* the server has started again since */
	struct backend_limit *limit; /* NULL: it has never named one */
	bool was_free;	/* it has answered here without naming a limit */
	bool limit_bad; /* what it last said of it was no number; for the log */
	bool word_bad; /* it has said something that was refused; for the log */
	bool leaving;  /* it has said so, and never takes it back */
	/* So often the peers are yet to be told of it, the next time then. */
	unsigned leaving_tells;
	int64_t leaving_tell_ms;
	int64_t rest_until_ms; /* it wants nothing before; 0: never asked */
	int64_t back_ms;       /* this instance returns then, not before */
	bool returning;	       /* it has not answered since */
};

struct server_memories {
	GHashTable *all; /* struct server_memory *, by id and start */
	GQueue unlisted; /* those that nobody holds, the latest first */
};

void server_memories_init(struct server_memories *all);
struct server_memory *server_memory_get(struct server_memories *all,
					const char *id, uint64_t born_ms);
struct server_memory *server_memory_find(struct server_memories *all,
					 const char *id, uint64_t born_ms);
void server_memory_release(struct server_memory *m);
bool server_memory_rest(struct server_memory *m, double rest_s, double random,
			int64_t now_ms);
void server_memory_answered(struct server_memory *m, int64_t sent_ms);

#endif
