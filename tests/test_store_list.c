/*
 * Tests of platform/store: the pages of a listing, whatever its entries are. A
 * listing makes progress or ends, and a key is requested as the store sent it.
 */
#include "tests/unit.h"

#include <errno.h>

#include "tests/scripted_store.h"

#define ADDR  "127.0.0.1:17397"
#define TOPIC "keyed.servers"

static struct scripted_store *store;
static struct store_channel channel;
static struct store_result last; /* without its records */
static char last_key[64];
static unsigned completions;

static void on_done(void *priv, const struct store_result *r)
{
	last = *r;
	g_snprintf(last_key, sizeof(last_key), "%.*s", (int)r->last_key.len,
		   r->last_key.ptr);
	completions++;
}

static int setup(void **state)
{
	store = scripted_store_new(ADDR);
	store_open(&channel, store->loop, &store->endpoint, on_done, NULL);
	completions = 0;
	return 0;
}

static int teardown(void **state)
{
	store_cancel(&channel);
	scripted_store_free(store);
	return 0;
}

/* Requests the page after a key, which gets an answer. */
static void list(struct lstr after, struct buf page)
{
	unsigned before = completions;

	scripted_answer(store, 200, NULL, page);
	store_list(&channel, TOPIC, after);
	while (completions == before)
		ev_run(store->loop, EVRUN_ONCE);
}

static void test_key_is_requested_as_sent(void **state)
{
	list(LSTR("a&b+c#d%e f\r\n\0\xff/?="), scripted_page("", 9, false));
	assert_int_equal(last.err, 0);
	assert_string_equal(
		store->target,
		"/log-newest?topic=" TOPIC "&part=0"
		"&after=a%26b%2Bc%23d%25e%20f%0D%0A%00%FF%2F%3F%3D");
	assert_int_equal(store->requests, 1);
}

static void test_pages_follow_each_other(void **state)
{
	list(LSTR(""), scripted_page("abc", 9, true));
	assert_true(last.more);
	assert_string_equal(last_key, "c");
	list(LSTR("c"), scripted_page("d", 9, true));
	assert_true(last.more);
	list(LSTR("d"), scripted_page("e", 9, false));
	assert_false(last.more);
	assert_false(last.incomplete);
}

/* Guards against requesting the same page, or an earlier one, for ever. */
static void test_page_without_a_higher_key_ends_the_listing(void **state)
{
	static const char *const keys[] = {"c", "bc", "a", ""};

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		list(LSTR("c"), scripted_page(keys[i], 9, true));
		assert_int_equal(last.err, 0);
		assert_false(last.more);
		assert_true(last.incomplete);
		assert_int_equal(last.nrecords, strlen(keys[i]));
	}
	/* Also the first page. */
	list(LSTR(""), scripted_page("", 9, true));
	assert_false(last.more);
	assert_true(last.incomplete);
	/* The last page may be empty: its keys were deleted meanwhile. */
	list(LSTR("c"), scripted_page("", 9, false));
	assert_false(last.incomplete);
}

/* Begins a page; its items follow. */
static void begin_page(msgpack_packer *pk, struct buf *out, bool more,
		       unsigned items)
{
	msgpack_packer_init(pk, out, codec_buf_write);
	msgpack_pack_map(pk, 3);
	codec_pack_cstr(pk, "endOffset");
	msgpack_pack_uint64(pk, 9);
	codec_pack_cstr(pk, "more");
	if (more)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
	codec_pack_cstr(pk, "items");
	msgpack_pack_array(pk, items);
}

/* An item without a value is skipped, but the next page follows its key. */
static void test_page_without_a_usable_item(void **state)
{
	struct buf page = {0};
	msgpack_packer pk;

	begin_page(&pk, &page, true, 2);
	msgpack_pack_map(&pk, 1);
	codec_pack_cstr(&pk, "key");
	codec_pack_cstr(&pk, "m");
	msgpack_pack_nil(&pk);
	list(LSTR("c"), page);
	assert_int_equal(last.err, 0);
	assert_int_equal(last.nrecords, 0);
	assert_true(last.more);
	assert_string_equal(last_key, "m");
}

/* A page that can't be read is a failed call, not an empty list. */
static void test_invalid_pages_fail(void **state)
{
	struct buf page = {0};
	msgpack_packer pk;

	msgpack_packer_init(&pk, &page, codec_buf_write);
	msgpack_pack_map(&pk, 1);
	codec_pack_cstr(&pk, "endOffset");
	msgpack_pack_uint64(&pk, 9);
	list(LSTR(""), page);
	assert_int_equal(last.err, -EPROTO);
	/* Items that are an array of 2^32 - 1, of which none is there. */
	page = (struct buf){0};
	begin_page(&pk, &page, false, UINT32_MAX);
	list(LSTR(""), page);
	assert_int_equal(last.err, -EPROTO);
	/* Arrays nested 200,000 deep. */
	page = (struct buf){0};
	begin_page(&pk, &page, false, 1);
	for (int i = 0; i < 200 * 1000; i++)
		msgpack_pack_array(&pk, 1);
	msgpack_pack_nil(&pk);
	list(LSTR(""), page);
	assert_int_equal(last.err, -EPROTO);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_key_is_requested_as_sent,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_pages_follow_each_other,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_page_without_a_higher_key_ends_the_listing, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_page_without_a_usable_item,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_invalid_pages_fail, setup,
						teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
