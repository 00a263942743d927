/*
 * Tests of control/record_check: what the system wrote itself stands in the store
 * again after it came back from a copy, by one write of the first instance.
 */
#include "tests/unit.h"

#include <inttypes.h>
#include <unistd.h>

#include "control/record_check.h"
#include "misc/clock.h"
#include "tests/peer_info.h"
#include "tests/scripted_store.h"

#define ADDR  "127.0.0.1:17394"
#define PEERS "127.0.0.1:17395"

enum { PEERS_N = 3, SETTLED_MS = 3000 };

struct fixture {
	struct scripted_store *store;
	struct peer_channel channel;
	struct crash_watch crashes;
	struct record_check check;
	int64_t now_ms;
};

static void on_message(void *priv, const struct gossip_message *m)
{
}

static void on_verdict(void *priv, const struct verdict *v)
{
}

/* Three peers live, e1 to e3; the store is in era 1. */
static struct fixture *begin(void)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct peer_info self = info("e0", 5);

	f->store = scripted_store_new(ADDR);
	f->now_ms = clock_ms();
	assert_int_equal(peer_channel_open(&f->channel, f->store->loop, PEERS,
					   &self, on_message, f),
			 0);
	f->channel.peers.self.records_era = 0;
	for (int i = 1; i <= PEERS_N; i++) {
		char name[8];
		struct peer_info p;

		g_snprintf(name, sizeof(name), "e%d", i);
		p = info(name, 100 + (uint64_t)i);
		p.records_era = 0;
		peers_heard(&f->channel.peers, &p, f->now_ms);
	}
	crash_watch_start(&f->crashes, f->store->loop, &f->store->endpoint,
			  &f->channel, on_verdict, f);
	record_check_init(&f->check, f->store->loop, &f->store->endpoint,
			  &f->channel.peers, &f->crashes);
	store_endpoint_update_era(&f->store->endpoint, 1, "test");
	record_check_tick(&f->check, true, f->now_ms);
	return f;
}

static void end(struct fixture *f)
{
	store_cancel(&f->check.store);
	store_cancel(&f->crashes.record.store);
	close(f->channel.sock);
	crash_ledger_free(&f->crashes.ledger);
	g_array_unref(f->crashes.tellings);
	scripted_store_free(f->store);
	g_free(f);
}

static void pack_item(msgpack_packer *pk, const char *key,
		      const struct buf *value)
{
	char *text = g_base64_encode((const guchar *)value->ptr, value->len);

	msgpack_pack_map(pk, 3);
	codec_pack_cstr(pk, "key");
	codec_pack_cstr(pk, key);
	codec_pack_cstr(pk, "value");
	codec_pack_cstr(pk, text);
	codec_pack_cstr(pk, "offset");
	msgpack_pack_uint64(pk, 1);
	g_free(text);
}

/* The listing has these members with their boots, and these verdicts. */
static struct buf listing(const char *const *names, const uint64_t *boots,
			  size_t n, const uint64_t *digests, size_t ndigests)
{
	struct buf out = {0};
	msgpack_packer pk;

	msgpack_packer_init(&pk, &out, codec_buf_write);
	msgpack_pack_map(&pk, 2);
	codec_pack_cstr(&pk, "items");
	msgpack_pack_array(&pk, n + ndigests);
	for (size_t i = 0; i < n; i++) {
		struct peer_info p = info(names[i], boots[i]);
		struct buf value = {0};

		gossip_write_beat(&value, &p);
		pack_item(&pk, names[i], &value);
		buf_free(&value);
	}
	for (size_t i = 0; i < ndigests; i++) {
		struct crash_news news = {CRASH_NEWS_QUARANTINE, digests[i], 1};
		struct peer_info p = info("e9", 1);
		struct buf value = {0};

		gossip_write_crashes(&value, &p, &news, 1);
		pack_item(&pk, "quarantine-x", &value);
		buf_free(&value);
	}
	codec_pack_cstr(&pk, "endOffset");
	msgpack_pack_uint64(&pk, 9);
	return out;
}

static void run_until(struct fixture *f, unsigned requests)
{
	while (f->store->requests < requests ||
	       f->check.store.call != STORE_IDLE)
		ev_run(f->store->loop, EVRUN_ONCE);
}

static bool wrote(const struct fixture *f, const char *key)
{
	return memmem(f->store->body.ptr, f->store->body.len, key,
		      strlen(key)) != NULL;
}

/* The store is back in another era; `first`: it is this instance's turn. */
static void rise(struct fixture *f, uint64_t era, bool first)
{
	store_endpoint_update_era(&f->store->endpoint, era, "test");
	record_check_tick(&f->check, first, f->now_ms);
	record_check_tick(&f->check, first, f->now_ms + SETTLED_MS);
}

/* As if it had stood in the store before. */
static void quarantine(struct fixture *f, uint64_t digest)
{
	struct crash_news news = {CRASH_NEWS_QUARANTINE, digest, 1};
	GArray *a = g_array_new(FALSE, FALSE, sizeof(news));

	g_array_append_val(a, news);
	crash_watch_stored(&f->crashes, a);
	g_array_unref(a);
}

static const char *const all[] = {"e0", "e1", "e2", "e3"};
static const uint64_t boots[] = {5, 101, 102, 103};

static void test_lost_records_are_written_again(void **state)
{
	static const uint64_t stale[] = {5, 101, 66};
	struct fixture *f = begin();

	quarantine(f, 0xabc);
	/* e2 has started anew since the copy, e3 isn't in it. */
	scripted_answer(f->store, 200, "2", listing(all, stale, 3, NULL, 0));
	scripted_answer(f->store, 200, "2", (struct buf){0});
	rise(f, 2, true);
	run_until(f, 2);
	assert_true(wrote(f, "e2"));
	assert_true(wrote(f, "e3"));
	assert_false(wrote(f, "e1"));
	assert_true(wrote(f, "quarantine-0000000000000abc"));
	assert_int_equal(f->check.checked_era, 2);
	/* Nothing more in this era. */
	record_check_tick(&f->check, true, f->now_ms + 9000);
	assert_int_equal(f->check.store.call, STORE_IDLE);
	end(f);
}

static void test_nothing_lost_costs_one_listing(void **state)
{
	struct fixture *f = begin();

	scripted_answer(f->store, 200, "2", listing(all, boots, 4, NULL, 0));
	rise(f, 2, true);
	run_until(f, 1);
	assert_int_equal(f->store->requests, 1);
	assert_int_equal(f->check.checked_era, 2);
	end(f);
}

static void test_few_write(void **state)
{
	struct fixture *f = begin();
	struct peer_info p = info("e1", 101);

	/* Not the first. */
	rise(f, 2, false);
	assert_int_equal(f->check.store.call, STORE_IDLE);
	/* The first has ended, and another has done it. */
	p.records_era = 2;
	peers_heard(&f->channel.peers, &p, f->now_ms);
	record_check_tick(&f->check, true, f->now_ms + SETTLED_MS);
	assert_int_equal(f->check.store.call, STORE_IDLE);
	/* In the next era nobody has. */
	rise(f, 3, true);
	assert_int_equal(f->check.store.call, STORE_LIST);
	end(f);
}

static void test_written_in_an_era_that_is_over(void **state)
{
	struct fixture *f = begin();

	scripted_answer(f->store, 200, "2", listing(all, boots, 2, NULL, 0));
	scripted_answer(f->store, 200, "3", (struct buf){0});
	rise(f, 2, true);
	run_until(f, 2);
	assert_int_equal(f->check.checked_era, 0);
	scripted_answer(f->store, 200, "3", listing(all, boots, 4, NULL, 0));
	rise(f, 3, true);
	run_until(f, 3);
	assert_int_equal(f->check.checked_era, 3);
	end(f);
}

static void test_released_verdict_of_the_copy_is_dropped(void **state)
{
	static const uint64_t digests[] = {0xabc, 0xdef};
	struct fixture *f = begin();

	quarantine(f, 0xabc);
	scripted_answer(f->store, 200, "2", listing(all, boots, 4, digests, 2));
	scripted_answer(f->store, 200, "2", (struct buf){0});
	rise(f, 2, true);
	run_until(f, 2);
	assert_true(wrote(f, "quarantine-0000000000000def"));
	assert_false(wrote(f, "quarantine-0000000000000abc"));
	end(f);
}

static void test_failed_write_is_made_again(void **state)
{
	struct fixture *f = begin();

	scripted_answer(f->store, 200, "2", listing(all, boots, 3, NULL, 0));
	scripted_answer(f->store, 503, "2", (struct buf){0});
	rise(f, 2, true);
	run_until(f, 2);
	assert_int_equal(f->check.checked_era, 0);
	scripted_answer(f->store, 200, "2", listing(all, boots, 3, NULL, 0));
	scripted_answer(f->store, 200, "2", (struct buf){0});
	record_check_tick(&f->check, true, clock_ms() + SETTLED_MS);
	run_until(f, 4);
	assert_int_equal(f->check.checked_era, 2);
	end(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lost_records_are_written_again),
		cmocka_unit_test(test_nothing_lost_costs_one_listing),
		cmocka_unit_test(test_few_write),
		cmocka_unit_test(test_written_in_an_era_that_is_over),
		cmocka_unit_test(test_released_verdict_of_the_copy_is_dropped),
		cmocka_unit_test(test_failed_write_is_made_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
