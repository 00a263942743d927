/*
 * Tests of platform/backend_record: entries of other writers name no server,
 * whatever their key and their value are.
 */
#include "tests/unit.h"

#include <errno.h>

#include "platform/backend_record.h"
#include "tests/pack.h"

static void pack_server(struct buf *out, const char *addr, const char *state,
			bool with_status)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_map(&pk, 2 + with_status);
	pack_pair(&pk, "address", addr);
	codec_pack_cstr(&pk, "info");
	msgpack_pack_map(&pk, 4);
	pack_pair(&pk, "service", "harta");
	pack_pair(&pk, "configVersion", "v1");
	pack_pair(&pk, "zone", "hala-cluj");
	pack_number(&pk, "slots", 2);
	if (!with_status)
		return;
	codec_pack_cstr(&pk, "status");
	msgpack_pack_map(&pk, 3);
	pack_pair(&pk, "state", state);
	pack_number(&pk, "sequenceNumber", 4);
	pack_number(&pk, "warmupLeftMs", 900);
}

static int decode_server(const char *id, const char *addr, const char *state,
			 bool with_status, struct backend_entry *e)
{
	struct buf b = {0};
	int rc;

	pack_server(&b, addr, state, with_status);
	rc = backend_record_decode(lstr0(id), buf_lstr(&b), e);
	buf_free(&b);
	return rc;
}

static void test_backend(void **state)
{
	struct backend_entry e;

	assert_int_equal(
		decode_server("i-1", "10.0.0.9:8080", "ready", true, &e), 0);
	assert_string_equal(e.id, "i-1");
	assert_string_equal(e.service, "harta");
	assert_string_equal(e.dc, "hala-cluj");
	assert_int_equal(e.slots, 2);
	assert_int_equal(e.warm_up_ms, 900);
	assert_false(e.draining);
	assert_int_equal(ntohs(e.addr.sin_port), 8080);
	assert_int_equal(
		decode_server("i-1", "10.0.0.9:8080", "draining", true, &e), 0);
	assert_true(e.draining);
	/* An unknown state makes the entry invalid. */
	assert_int_equal(
		decode_server("i-1", "10.0.0.9:8080", "resting", true, &e),
		-EINVAL);
	assert_int_equal(
		decode_server("i-1", "10.0.0.9:8080", "ready", false, &e),
		-EINVAL);
	assert_int_equal(decode_server("i-1", "host:1", "ready", true, &e),
			 -EINVAL);
	assert_int_equal(decode_server("", "10.0.0.9:8080", "ready", true, &e),
			 -EINVAL);
}

/* A field of a backend server's entry. */
struct field {
	const char *name;
	const char *part; /* NULL: at the top level */
	bool optional;
};

static const struct field fields[] = {
	{"address", NULL, false},	   {"born", NULL, true},
	{"service", "info", false},	   {"configVersion", "info", false},
	{"zone", "info", false},	   {"slots", "info", false},
	{"state", "status", false},	   {"sequenceNumber", "status", false},
	{"warmupLeftMs", "status", false},
};

/* How a test corrupts a field. */
enum corruption {
	CORRUPT_NONE,
	CORRUPT_MISSING,
	CORRUPT_ARRAY,
	CORRUPT_NIL,
	CORRUPT_NEGATIVE,
	CORRUPT_FRACTION,
	CORRUPT_HUGE,
	CORRUPT_TYPE_SWAPPED, /* a number for a string or the reverse */
	CORRUPT_COUNT,
};

static bool is_number(const char *name)
{
	return !strcmp(name, "born") || !strcmp(name, "slots") ||
	       !strcmp(name, "sequenceNumber") || !strcmp(name, "warmupLeftMs");
}

/* Packs a valid value of a field. */
static void pack_good(msgpack_packer *pk, const char *name)
{
	if (is_number(name))
		msgpack_pack_uint64(pk, 7);
	else if (!strcmp(name, "address"))
		codec_pack_cstr(pk, "10.0.0.9:8080");
	else if (!strcmp(name, "state"))
		codec_pack_cstr(pk, "ready");
	else
		codec_pack_cstr(pk, "harta");
}

/* Packs an invalid value of a field. */
static void pack_corrupt(msgpack_packer *pk, const char *name,
			 enum corruption how)
{
	switch (how) {
	case CORRUPT_ARRAY:
		msgpack_pack_array(pk, 0);
		break;
	case CORRUPT_NIL:
		msgpack_pack_nil(pk);
		break;
	case CORRUPT_NEGATIVE:
		msgpack_pack_int(pk, -1);
		break;
	case CORRUPT_FRACTION:
		msgpack_pack_double(pk, 2.5);
		break;
	case CORRUPT_HUGE:
		msgpack_pack_double(pk, 1e300);
		break;
	case CORRUPT_TYPE_SWAPPED:
		if (is_number(name))
			codec_pack_cstr(pk, "7");
		else
			msgpack_pack_uint64(pk, 7);
		break;
	default:
		pack_good(pk, name);
	}
}

/* Packs the fields of one part of an entry; `bad` is the corrupt one. */
static void pack_fields(msgpack_packer *pk, const char *part, size_t bad,
			enum corruption how)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		if (g_strcmp0(fields[i].part, part) ||
		    (i == bad && how == CORRUPT_MISSING))
			continue;
		codec_pack_cstr(pk, fields[i].name);
		if (i == bad)
			pack_corrupt(pk, fields[i].name, how);
		else
			pack_good(pk, fields[i].name);
	}
}

/* Packs a whole entry of which one field may be corrupt. */
static void pack_entry(struct buf *out, size_t bad, enum corruption how)
{
	const char *parts[] = {"info", "status"};
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_map(&pk,
			 4 - (how == CORRUPT_MISSING && !fields[bad].part));
	pack_fields(&pk, NULL, bad, how);
	for (size_t k = 0; k < G_N_ELEMENTS(parts); k++) {
		size_t n = 0;

		for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
			n += !g_strcmp0(fields[i].part, parts[k]) &&
			     !(i == bad && how == CORRUPT_MISSING);
		codec_pack_cstr(&pk, parts[k]);
		msgpack_pack_map(&pk, n);
		pack_fields(&pk, parts[k], bad, how);
	}
}

/* An entry with one field missing or of the wrong type is invalid. */
static void test_corrupt_fields(void **state)
{
	struct backend_entry e;
	struct buf b = {0};

	pack_entry(&b, 0, CORRUPT_NONE);
	assert_int_equal(backend_record_decode(LSTR("i-1"), buf_lstr(&b), &e),
			 0);
	assert_int_equal(e.server_start_ms, 7);
	assert_int_equal(e.sequence, 7);
	assert_int_equal(e.slots, 7);
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		for (int how = CORRUPT_MISSING; how < CORRUPT_COUNT; how++) {
			int want = fields[i].optional && how == CORRUPT_MISSING
					   ? 0
					   : -EINVAL;

			b.len = 0;
			pack_entry(&b, i, (enum corruption)how);
			assert_int_equal(backend_record_decode(
						 LSTR("i-1"), buf_lstr(&b), &e),
					 want);
		}
	}
	buf_free(&b);
}

/*
 * Entries with random bytes changed or the end cut off, from a fixed seed.
 * Each is rejected or decoded to fields that are all in range.
 */
static void test_corrupt_bytes(void **state)
{
	GRand *rand = g_rand_new_with_seed(41);

	for (int i = 0; i < 20000; i++) {
		struct backend_entry e;
		struct buf b = {0};
		int changes = g_rand_int_range(rand, 1, 4);

		pack_entry(&b, 0, CORRUPT_NONE);
		for (int k = 0; k < changes; k++)
			b.ptr[g_rand_int_range(rand, 0, (gint32)b.len)] =
				(char)g_rand_int_range(rand, 0, 256);
		if (i % 3 == 0)
			b.len = (size_t)g_rand_int_range(rand, 0,
							 (gint32)b.len);
		if (!backend_record_decode(LSTR("i-1"), buf_lstr(&b), &e)) {
			assert_in_range(e.slots, 1, 100 * 1000);
			assert_true(e.service[0] && e.dc[0]);
			assert_string_equal(e.id, "i-1");
		}
		buf_free(&b);
	}
	g_rand_free(rand);
}

/* A key that isn't a plain name, or doesn't fit, names no server. */
static void test_keys_that_are_no_names(void **state)
{
	static const struct lstr keys[] = {
		{"", 0},	  {"a&b", 3},	    {"a+b", 3},	  {"a#b", 3},
		{"a b", 3},	  {" ", 1},	    {"a%b", 3},	  {"%7a", 3},
		{"a\r\nX: y", 7}, {"i-1\0x", 5},    {"i-1\0", 4}, {"\0", 1},
		{"a\xff", 2},	  {"a&after=z", 9}, {"a\"b", 3},  {"a=b", 3},
	};
	char *longest = g_strnfill(BACKEND_NAME_MAX - 1, 'x');
	struct backend_entry e;
	struct buf b = {0};
	char id[BACKEND_NAME_MAX];

	pack_entry(&b, 0, CORRUPT_NONE);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		assert_int_equal(backend_record_id(keys[i], id), -EINVAL);
		assert_int_equal(
			backend_record_decode(keys[i], buf_lstr(&b), &e),
			-EINVAL);
	}
	assert_int_equal(backend_record_id(lstr0(longest), id), 0);
	assert_string_equal(id, longest);
	assert_int_equal(
		backend_record_id((struct lstr){longest, BACKEND_NAME_MAX}, id),
		-EINVAL);
	assert_int_equal(backend_record_id(LSTR("i-7f3a91c2.A_~:9"), id), 0);
	g_free(longest);
	buf_free(&b);
}

/* Decodes an entry with another value of one text. */
static int decode_text(const char *name, struct lstr text)
{
	struct backend_entry e;
	struct buf b = {0};
	msgpack_packer pk;
	int rc;

	msgpack_packer_init(&pk, &b, codec_buf_write);
	msgpack_pack_map(&pk, 3);
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		const char *part = fields[i].part;

		if (fields[i].optional)
			continue;
		if (part && strcmp(part, fields[i - 1].part ? fields[i - 1].part
							    : "")) {
			codec_pack_cstr(&pk, part);
			msgpack_pack_map(&pk, strcmp(part, "info") ? 3 : 4);
		}
		codec_pack_cstr(&pk, fields[i].name);
		if (strcmp(fields[i].name, name))
			pack_good(&pk, fields[i].name);
		else
			codec_pack_lstr(&pk, text);
	}
	rc = backend_record_decode(LSTR("i-1"), buf_lstr(&b), &e);
	buf_free(&b);
	return rc;
}

/* Guards against a text that is another one as a string. */
static void test_texts_with_control_characters(void **state)
{
	assert_int_equal(decode_text("service", LSTR("harta")), 0);
	assert_int_equal(decode_text("service", LSTR("harta\0x")), -EINVAL);
	assert_int_equal(decode_text("service", LSTR("harta\nts=0")), -EINVAL);
	assert_int_equal(decode_text("service", LSTR("\0")), -EINVAL);
	assert_int_equal(decode_text("zone", LSTR("z\0")), -EINVAL);
	assert_int_equal(decode_text("zone", LSTR("z\r")), -EINVAL);
	assert_int_equal(decode_text("state", LSTR("ready\0x")), -EINVAL);
	assert_int_equal(decode_text("address", LSTR("10.0.0.9:80\0x")),
			 -EINVAL);
}

static void test_addresses(void **state)
{
	static const char *const bad[] = {
		"10.0.0.9:0",
		"10.0.0.9:70000",
		"10.0.0.9:65536",
		"10.0.0.9:-1",
		"10.0.0.9:",
		"10.0.0.9",
		"10.0.0.9: 80",
		"10.0.0.9:+80",
		"10.0.0.9:80x",
		"10.0.0.900:80",
		"10.0.9:80",
		":80",
		"host:80",
		"10.0.0.9:0x50",
		" 10.0.0.9:80",
		"10.0.0.9:4294967376",
		"10.0.0.9:12345678901234567890",
		"10.0.0.9:18446744073709551696",
	};

	assert_int_equal(decode_text("address", LSTR("10.0.0.9:65535")), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_int_equal(decode_text("address", lstr0(bad[i])),
				 -EINVAL);
}

/* Decodes an entry that is one value. */
static int decode_bytes(const struct buf *b)
{
	struct backend_entry e;

	return backend_record_decode(LSTR("i-1"), buf_lstr(b), &e);
}

/* Nesting and lengths cost neither the stack nor memory. */
static void test_nesting_and_lengths(void **state)
{
	struct buf b = {0};
	msgpack_packer pk;

	msgpack_packer_init(&pk, &b, codec_buf_write);
	for (int i = 0; i < 200 * 1000; i++)
		msgpack_pack_array(&pk, 1);
	msgpack_pack_nil(&pk);
	assert_int_equal(decode_bytes(&b), -EINVAL);
	b.len = 0;
	for (int i = 0; i < 60 * 1000; i++) {
		msgpack_pack_map(&pk, 1);
		codec_pack_cstr(&pk, "info");
	}
	msgpack_pack_nil(&pk);
	assert_int_equal(decode_bytes(&b), -EINVAL);
	/* Lengths of 2^32 - 1 without content. */
	for (int type = 0xdb; type <= 0xdf; type++) {
		unsigned char head[] = {type, 0xff, 0xff, 0xff, 0xff};

		b.len = 0;
		buf_add(&b, head, sizeof(head));
		assert_int_equal(decode_bytes(&b), -EINVAL);
	}
	b.len = 0;
	buf_add(&b, "\xc6\xff\xff\xff\xff", 5);
	assert_int_equal(decode_bytes(&b), -EINVAL);
	buf_free(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_backend),
		cmocka_unit_test(test_corrupt_fields),
		cmocka_unit_test(test_corrupt_bytes),
		cmocka_unit_test(test_keys_that_are_no_names),
		cmocka_unit_test(test_texts_with_control_characters),
		cmocka_unit_test(test_addresses),
		cmocka_unit_test(test_nesting_and_lengths),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
