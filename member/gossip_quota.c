#include "core/quota_message.h"
#include "member/gossip.h"
#include "misc/codec.h"

enum { QUOTA_FIELDS = 8 };

/* Writes a message to or from the holder of a quota. */
void gossip_write_quota(struct buf *out, const struct quota_message *m)
{
	bool to_holder = m->op == QUOTA_ASK || m->op == QUOTA_ASK_LATE ||
			 m->op == QUOTA_GIVE_BACK;
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_array(&pk, QUOTA_FIELDS);
	msgpack_pack_int(&pk,
			 to_holder ? GOSSIP_QUOTA_ASK : GOSSIP_QUOTA_ANSWER);
	msgpack_pack_uint32(&pk, m->from);
	msgpack_pack_uint32(&pk, m->op);
	msgpack_pack_uint32(&pk, m->workspace);
	msgpack_pack_uint32(&pk, m->serial);
	msgpack_pack_uint32(&pk, m->stamp);
	msgpack_pack_uint32(&pk, m->wait_ms);
	msgpack_pack_uint32(&pk, m->turn_ms);
}

/* Reads the fields after the kind; returns whether they are valid. */
bool gossip_read_quota(const msgpack_object *fields, size_t n,
		       struct quota_message *m)
{
	uint32_t *const values[] = {&m->from,	&m->op,	   &m->workspace,
				    &m->serial, &m->stamp, &m->wait_ms,
				    &m->turn_ms};

	if (n < G_N_ELEMENTS(values))
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		if (fields[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
		    fields[i].via.u64 > UINT32_MAX)
			return false;
		*values[i] = (uint32_t)fields[i].via.u64;
	}
	return true;
}
