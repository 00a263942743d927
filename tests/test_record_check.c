/*
 * Tests of control/record_check: after the store was restored from a backup,
 * the first instance writes the system's own lost records in one batch.
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

/* Peers e1 to e3 are alive; the store is in era 1. */
static struct fixture *begin(void)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct peer_info self = info("e0", 5);

	f->store = scripted_store_new(ADDR);
	f->now_ms = clock_boot_ms();
	assert_int_equal(peer_channel_open(&f->channel, f->store->loop, PEERS,
					   &self, on_message, f),
			 0);
	f->channel.peers.self.records_era = 0;
	f->channel.peers.self.addr = self.addr;
	for (int i = 1; i <= PEERS_N; i++) {
		char name[8];
		struct peer_info p;

		g_snprintf(name, sizeof(name), "e%d", i);
		p = info(name, 100 + (uint64_t)i);
		p.records_era = 0;
		peers_note_heartbeat(&f->channel.peers, &p, f->now_ms);
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
	crash_tracker_free(&f->crashes.tracker);
	g_array_unref(f->crashes.broadcasts);
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

/* Encodes a listing of members with their boot numbers and of verdicts. */
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

		gossip_write_heartbeat(&value, &p);
		pack_item(&pk, names[i], &value);
		buf_free(&value);
	}
	for (size_t i = 0; i < ndigests; i++) {
		struct crash_notice news = {CRASH_NOTICE_QUARANTINE, digests[i],
					    1, 0};
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

/* The store enters another era; `first`: it is this instance's turn. */
static void raise_era(struct fixture *f, uint64_t era, bool first)
{
	store_endpoint_update_era(&f->store->endpoint, era, "test");
	record_check_tick(&f->check, first, f->now_ms);
	record_check_tick(&f->check, first, f->now_ms + SETTLED_MS);
}

/* Adds a verdict as if it had been read from the store. */
static void add_stored_verdict(struct fixture *f, uint64_t digest)
{
	struct crash_notice news = {CRASH_NOTICE_QUARANTINE, digest, 1, 0};
	GArray *a = g_array_new(FALSE, FALSE, sizeof(news));

	g_array_append_val(a, news);
	crash_watch_add_stored(&f->crashes, a);
	g_array_unref(a);
}

static const char *const all[] = {"e0", "e1", "e2", "e3"};
static const uint64_t boots[] = {5, 101, 102, 103};

static void test_lost_records_are_written_again(void **state)
{
	static const uint64_t stale[] = {5, 101, 66};
	struct fixture *f = begin();

	add_stored_verdict(f, 0xabc);
	/* e2 has restarted since the backup, and e3 isn't in it. */
	scripted_answer(f->store, 200, "2", listing(all, stale, 3, NULL, 0));
	scripted_answer(f->store, 200, "2", (struct buf){0});
	raise_era(f, 2, true);
	run_until(f, 2);
	assert_true(wrote(f, "e2"));
	assert_true(wrote(f, "e3"));
	assert_false(wrote(f, "e1"));
	assert_true(wrote(f, "quarantine-0000000000000abc"));
	assert_int_equal(f->check.checked_era, 2);
	/* No second check in this era. */
	record_check_tick(&f->check, true, f->now_ms + 9000);
	assert_int_equal(f->check.store.call, STORE_IDLE);
	end(f);
}

static void test_nothing_lost(void **state)
{
	struct fixture *f = begin();

	scripted_answer(f->store, 200, "2", listing(all, boots, 4, NULL, 0));
	raise_era(f, 2, true);
	run_until(f, 1);
	assert_int_equal(f->store->requests, 1);
	assert_int_equal(f->check.checked_era, 2);
	end(f);
}

static void test_only_first_checks(void **state)
{
	struct fixture *f = begin();
	struct peer_info p = info("e1", 101);

	/* This instance isn't the first. */
	raise_era(f, 2, false);
	assert_int_equal(f->check.store.call, STORE_IDLE);
	/*
	 * The first instance has stopped, and another one has written the
	 * records.
	 */
	p.records_era = 2;
	peers_note_heartbeat(&f->channel.peers, &p, f->now_ms);
	record_check_tick(&f->check, true, f->now_ms + SETTLED_MS);
	assert_int_equal(f->check.store.call, STORE_IDLE);
	/* No instance has written them in the next era. */
	raise_era(f, 3, true);
	assert_int_equal(f->check.store.call, STORE_LIST);
	end(f);
}

static void test_write_in_past_era(void **state)
{
	struct fixture *f = begin();

	scripted_answer(f->store, 200, "2", listing(all, boots, 2, NULL, 0));
	scripted_answer(f->store, 200, "3", (struct buf){0});
	raise_era(f, 2, true);
	run_until(f, 2);
	assert_int_equal(f->check.checked_era, 0);
	scripted_answer(f->store, 200, "3", listing(all, boots, 4, NULL, 0));
	raise_era(f, 3, true);
	run_until(f, 3);
	assert_int_equal(f->check.checked_era, 3);
	end(f);
}

static void test_released_verdict_in_backup_is_dropped(void **state)
{
	static const uint64_t digests[] = {0xabc, 0xdef};
	struct fixture *f = begin();

	add_stored_verdict(f, 0xabc);
	scripted_answer(f->store, 200, "2", listing(all, boots, 4, digests, 2));
	scripted_answer(f->store, 200, "2", (struct buf){0});
	raise_era(f, 2, true);
	run_until(f, 2);
	assert_true(wrote(f, "quarantine-0000000000000def"));
	assert_false(wrote(f, "quarantine-0000000000000abc"));
	end(f);
}

static void test_failed_write_is_retried(void **state)
{
	struct fixture *f = begin();

	scripted_answer(f->store, 200, "2", listing(all, boots, 3, NULL, 0));
	scripted_answer(f->store, 503, "2", (struct buf){0});
	raise_era(f, 2, true);
	run_until(f, 2);
	assert_int_equal(f->check.checked_era, 0);
	scripted_answer(f->store, 200, "2", listing(all, boots, 3, NULL, 0));
	scripted_answer(f->store, 200, "2", (struct buf){0});
	record_check_tick(&f->check, true, clock_boot_ms() + SETTLED_MS);
	run_until(f, 4);
	assert_int_equal(f->check.checked_era, 2);
	end(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lost_records_are_written_again),
		cmocka_unit_test(test_nothing_lost),
		cmocka_unit_test(test_only_first_checks),
		cmocka_unit_test(test_write_in_past_era),
		cmocka_unit_test(test_released_verdict_in_backup_is_dropped),
		cmocka_unit_test(test_failed_write_is_retried),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
