#include "common/event.h"
#include "control/own_records.h"
#include "misc/text.h"

/* Returns whether a message is one that instances write to the store. */
static bool is_record(const struct gossip_message *m)
{
	return (m->kind == GOSSIP_HEARTBEAT && *m->sender.name) ||
	       m->kind == GOSSIP_CRASHES;
}

/*
 * own_record_read() decodes a record, which is encoded as a datagram: the
 * heartbeat of an instance, or verdicts. Returns false and logs it if it is
 * invalid; m must be cleared in both cases.
 */
bool own_record_read(const struct store_record *rec, struct gossip_message *m)
{
	char *key;

	if (gossip_read(rec->value, m) == 0 && is_record(m))
		return true;
	key = text_escape(rec->key);
	mp_event(EV_PEER_INVALID_DATAGRAM, G_LOG_LEVEL_WARNING,
		 "record '%s' can't be decoded", key);
	g_free(key);
	return false;
}
