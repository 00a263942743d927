/*
 * Tests of control/own_records: records that another writer has left among
 * those of the instances add no instance.
 */
#include "tests/unit.h"

#include "control/own_records.h"
#include "misc/codec.h"

/* Fields of an instance's record that tests vary. */
struct record {
	uint64_t kind;
	struct lstr name, dc;
	uint64_t port, config_age_ms, store_era;
};

static const struct record valid = {
	.kind = GOSSIP_HEARTBEAT,
	.name = {"e1", 2},
	.dc = {"dc-1", 4},
	.port = 7200,
	.config_age_ms = 5,
	.store_era = 3,
};

/* Returns whether a record is taken as one of an instance. */
static bool is_taken(const struct record *r)
{
	struct store_record rec = {.key = LSTR("e1")};
	struct gossip_message m;
	struct buf b = {0};
	msgpack_packer pk;
	bool taken;

	msgpack_packer_init(&pk, &b, codec_buf_write);
	msgpack_pack_array(&pk, 18);
	msgpack_pack_uint64(&pk, r->kind);
	codec_pack_lstr(&pk, r->name);
	codec_pack_lstr(&pk, r->dc);
	codec_pack_cstr(&pk, "10.0.0.1:80");
	codec_pack_cstr(&pk, "");
	msgpack_pack_uint32(&pk, 0x0a000001);
	msgpack_pack_uint64(&pk, r->port);
	msgpack_pack_uint64(&pk, 77); /* its start */
	msgpack_pack_uint8(&pk, 0);
	msgpack_pack_uint8(&pk, 1);
	msgpack_pack_uint64(&pk, r->store_era);
	msgpack_pack_uint64(&pk, 2);
	msgpack_pack_uint64(&pk, 3); /* of its configuration */
	msgpack_pack_uint64(&pk, 7);
	msgpack_pack_uint64(&pk, r->config_age_ms);
	msgpack_pack_uint64(&pk, 21);
	msgpack_pack_uint32(&pk, 99);
	msgpack_pack_nil(&pk);
	rec.value = buf_lstr(&b);
	taken = own_record_read(&rec, &m);
	if (taken) {
		assert_string_equal(m.sender.name, "e1");
		assert_int_equal(ntohs(m.sender.addr.sin_port), 7200);
	}
	gossip_message_clear(&m);
	buf_free(&b);
	return taken;
}

static void test_numbers_out_of_range(void **state)
{
	static const uint64_t ports[] = {65536, 65536 + 7200, 70000,
					 UINT64_C(1) << 32 | 7200, UINT64_MAX};
	struct record r = valid;

	assert_true(is_taken(&r));
	for (size_t i = 0; i < G_N_ELEMENTS(ports); i++) {
		r.port = ports[i];
		assert_false(is_taken(&r));
	}
	r = valid;
	r.config_age_ms = UINT64_C(1) << 32;
	assert_false(is_taken(&r));
	r = valid;
	r.kind = UINT64_C(1) << 32 | GOSSIP_HEARTBEAT;
	assert_false(is_taken(&r));
	/* No response of the store can be of such an era. */
	r = valid;
	r.store_era = UINT64_C(1) << 32;
	assert_false(is_taken(&r));
}

static void test_texts(void **state)
{
	static const struct lstr bad[] = {
		{"e1\0x", 4}, {"\0", 1}, {"e1\nts=0", 7}, {"e\x7f", 2}};
	struct record r = valid;

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		r.name = bad[i];
		assert_false(is_taken(&r));
		r.name = valid.name;
		r.dc = bad[i];
		assert_false(is_taken(&r));
		r.dc = valid.dc;
	}
	r.name = LSTR("");
	assert_false(is_taken(&r));
}

/* Other messages of instances are no records, though they can be decoded. */
static void test_other_messages(void **state)
{
	struct record r = valid;

	for (r.kind = 0; r.kind < 32; r.kind++) {
		if (r.kind != GOSSIP_HEARTBEAT)
			assert_false(is_taken(&r));
	}
}

static void test_nesting(void **state)
{
	struct store_record rec = {.key = LSTR("odd")};
	struct gossip_message m;
	struct buf b = {0};
	msgpack_packer pk;

	msgpack_packer_init(&pk, &b, codec_buf_write);
	for (int i = 0; i < 200 * 1000; i++)
		msgpack_pack_array(&pk, 1);
	msgpack_pack_nil(&pk);
	rec.value = buf_lstr(&b);
	assert_false(own_record_read(&rec, &m));
	gossip_message_clear(&m);
	buf_free(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_numbers_out_of_range),
		cmocka_unit_test(test_texts),
		cmocka_unit_test(test_other_messages),
		cmocka_unit_test(test_nesting),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
