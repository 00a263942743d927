/*
 * Entries that another writer has left among those of the servers, under names
 * that need escaping in a request, while all instances start again and a
 * listing has several pages: such an entry names no server, the others are used.
 */
#include "tests/crowd.h"

#include <math.h>

#include "platform/store.h"
#include "tests/pack.h"

enum {
	ENTRIES = 2,
	RECOVERY_MS = 15 * 1000, /* the platform's recoveryS */
	/*
	 * Four readers of two instances list their topic at most twice; it has
	 * some four entries beside the odd ones, on a page each.
	 */
	LISTINGS_MAX = 4 * ENTRIES * 2,
	ENTRIES_BESIDE = 4,
	SETTLE_MS = 2500, /* after which the first check of records has run */
};

struct odd_name {
	const char *label;
	struct lstr key;
};

#define NAME(lit)              \
	{                      \
		lit, LSTR(lit) \
	}

/* Keys are listed in order; those of the servers begin with an 'h'. */
static const struct odd_name names[] = {
	NAME("a&b"),
	NAME("a+b"),
	NAME("a#b"),
	NAME("a b"),
	NAME("a%b"),
	{"a blank", LSTR(" ")},
	{"a line break", LSTR("a\r\nb")},
	{"a zero byte", LSTR("a\0b")},
	{"a byte above 127", LSTR("a\xff"
				  "b")},
	NAME("a&after=z"),
	NAME("%7a"),
	NAME("a/?b=\"c\""),
};

/* Returns the number that a stand-in or an instance returns for a GET. */
static double read_number(const char *addr, const char *path, const char *name)
{
	struct buf b = {0}, body = {0};
	const char *at;
	double v = -1;

	buf_printf(&b, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
	if (exchange(addr, buf_lstr(&b), &body) == 200) {
		buf_add(&body, "", 1);
		at = strstr(body.ptr, name);
		if (at)
			v = g_ascii_strtod(at + strlen(name), NULL);
	}
	buf_free(&body);
	buf_free(&b);
	return v;
}

static unsigned pages_listed(void)
{
	char *addr = g_strdup_printf("127.0.0.1:%d", CROWD_BASE);
	double n = read_number(addr, "/stand/lists", "");

	g_free(addr);
	assert_true(n >= 0);
	return (unsigned)n;
}

/* Returns how many servers an instance knows. */
static int servers_known(int entry)
{
	return (int)read_number(entry_addr(entry, PORT_METRICS), "/metrics",
				"service_backends{service=\"harta\"} ");
}

/* Writes an entry that stays until it is written without a value. */
static void write_entry(const char *topic, struct lstr key, struct lstr value)
{
	char *addr = g_strdup_printf("127.0.0.1:%d", CROWD_BASE);
	struct buf b = {0}, batch = {0}, body = {0};

	store_batch_add(&batch, key, value);
	buf_printf(&b,
		   "POST /stand/append?topic=%s&part=0&keep=1 HTTP/1.1\r\n"
		   "Host: x\r\nContent-Length: %zu\r\n\r\n",
		   topic, batch.len);
	buf_add_lstr(&b, buf_lstr(&batch));
	assert_int_equal(exchange(addr, buf_lstr(&b), &body), 200);
	buf_free(&body);
	buf_free(&batch);
	buf_free(&b);
	g_free(addr);
}

static void restart_all(void)
{
	for (int i = 0; i < ENTRIES; i++)
		entry_kill(i);
	for (int i = 0; i < ENTRIES; i++)
		entry_start(i);
}

/* Returns whether an instance serves and knows exactly the servers in time. */
static bool recovers(int entry)
{
	int64_t until_ms = clock_ms() + RECOVERY_MS;

	while (clock_ms() < until_ms) {
		if (call_once(entry) && servers_known(entry) == SERVERS)
			return true;
		usleep(100 * 1000);
	}
	return false;
}

/* Writes odd entries, or removes them. */
static void write_odd(const char *topic, const struct odd_name *odd, size_t n,
		      struct lstr value)
{
	for (size_t i = 0; i < n; i++)
		write_entry(topic, odd[i].key, value);
}

/* Returns whether all instances recover while n odd entries stand. */
static bool check_restart(const char *topic, const struct odd_name *odd,
			  size_t n, struct lstr value)
{
	unsigned pages_max = LISTINGS_MAX * (ENTRIES_BESIDE + (unsigned)n);
	unsigned pages;
	bool good = true;

	write_odd(topic, odd, n, value);
	pages = pages_listed();
	restart_all();
	for (int i = 0; i < ENTRIES; i++) {
		if (recovers(i))
			continue;
		print_error("'%s' in %s: instance %d knows %d servers\n",
			    odd->label, topic, i, servers_known(i));
		good = false;
	}
	usleep(SETTLE_MS * 1000);
	pages = pages_listed() - pages;
	if (pages > pages_max) {
		print_error("'%s' in %s: %u pages were listed\n", odd->label,
			    topic, pages);
		good = false;
	}
	for (int i = 0; i < ENTRIES; i++)
		good = entry_lives(i) && servers_known(i) == SERVERS && good;
	write_odd(topic, odd, n, LSTR(""));
	return good;
}

static void start(void)
{
	system_start(&(struct system_options){.entries = ENTRIES});
	set_faults(CROWD_BASE, "page_items=1");
}

static void test_each_name_among_servers(void **state)
{
	unsigned bad = 0;

	start();
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		bad += !check_restart(STORE_TOPIC_BACKENDS, &names[i], 1,
				      LSTR("odd"));
	if (bad)
		fail_msg("%u of %zu names; logs in %s", bad,
			 G_N_ELEMENTS(names), sys.dir);
	sys.passed = true;
}

static void check_all_names(const char *topic, struct lstr value)
{
	start();
	if (!check_restart(topic, names, G_N_ELEMENTS(names), value))
		fail_msg("names in %s; logs in %s", topic, sys.dir);
	sys.passed = true;
}

static void test_names_among_instances(void **state)
{
	check_all_names(STORE_TOPIC_MEMBERS, LSTR("odd"));
}

/* The key of the configuration is on a later page than these. */
static void test_names_among_versions(void **state)
{
	check_all_names(STORE_TOPIC_CONFIG, LSTR("odd"));
}

/* Values of a server's entry that tests vary. */
struct entry {
	const char *addr;
	double slots, sequence, warm_up_ms;
};

static const struct entry like_a_server = {"127.0.0.1:1", 8, 4, 0};

static void pack_real(msgpack_packer *pk, const char *name, double v)
{
	codec_pack_cstr(pk, name);
	msgpack_pack_double(pk, v);
}

/* Packs the entry of a server at an address where none is. */
static void pack_entry(struct buf *out, const struct entry *e)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_map(&pk, 3);
	pack_pair(&pk, "address", e->addr);
	codec_pack_cstr(&pk, "info");
	msgpack_pack_map(&pk, 4);
	pack_pair(&pk, "service", "harta");
	pack_pair(&pk, "configVersion", "v1");
	pack_pair(&pk, "zone", "hala-cluj");
	pack_real(&pk, "slots", e->slots);
	codec_pack_cstr(&pk, "status");
	msgpack_pack_map(&pk, 3);
	pack_pair(&pk, "state", "ready");
	pack_real(&pk, "sequenceNumber", e->sequence);
	pack_real(&pk, "warmupLeftMs", e->warm_up_ms);
}

/* Such names are no server's, even if the entry looks like one. */
static void test_names_of_entries_like_servers(void **state)
{
	struct buf b = {0};

	pack_entry(&b, &like_a_server);
	check_all_names(STORE_TOPIC_BACKENDS, buf_lstr(&b));
	buf_free(&b);
}

static const struct entry odd_servers[] = {
	{"127.0.0.1:0", 8, 4, 0},
	{"127.0.0.1:70000", 8, 4, 0},
	{"127.0.0.1:-1", 8, 4, 0},
	{"127.0.0.1:12345678901234567890", 8, 4, 0},
	{"127.0.0.1:1", 0x1p63, 4, 0},
	{"127.0.0.1:1", 1e300, 4, 0},
	{"127.0.0.1:1", NAN, 4, 0},
	{"127.0.0.1:1", -5, 4, 0},
	{"127.0.0.1:1", 8, 1e308, 0},
	{"127.0.0.1:1", 8, 4, 0x1p40},
	{"127.0.0.1:1", 8, 4, INFINITY},
};

enum {
	NESTED_ARRAY = G_N_ELEMENTS(odd_servers),
	NESTED_MAP,
	LONG_ARRAY, /* of 2^32 - 1 elements, of which none is there */
	LONG_MAP,
	LONG_TEXT,
	CUT_OFF,
	ODD_VALUES,
};

/* Writes one of the odd values. */
static void pack_odd(struct buf *out, int i)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	if (i < NESTED_ARRAY)
		pack_entry(out, &odd_servers[i]);
	for (int k = 0; i == NESTED_ARRAY && k < 200 * 1000; k++)
		msgpack_pack_array(&pk, 1);
	for (int k = 0; i == NESTED_MAP && k < 60 * 1000; k++) {
		msgpack_pack_map(&pk, 1);
		msgpack_pack_nil(&pk);
	}
	if (i == LONG_ARRAY)
		msgpack_pack_array(&pk, UINT32_MAX);
	if (i == LONG_MAP)
		msgpack_pack_map(&pk, UINT32_MAX);
	if (i == LONG_TEXT)
		msgpack_pack_str(&pk, UINT32_MAX);
	if (i == CUT_OFF) {
		pack_entry(out, &like_a_server);
		out->len /= 2;
	}
}

/* Writes all odd values to a topic, under plain names. */
static void write_values(const char *topic, bool remove)
{
	for (int i = 0; i < ODD_VALUES; i++) {
		char *key = g_strdup_printf("odd-%d", i);
		struct buf b = {0};

		if (!remove)
			pack_odd(&b, i);
		write_entry(topic, lstr0(key), buf_lstr(&b));
		buf_free(&b);
		g_free(key);
	}
}

/*
 * Guards against processes that end, or stop following the list, because of a
 * value. Instances that run read them one by one, those that start list them.
 */
static void test_values(void **state)
{
	struct odd_name more = NAME("odd");

	start();
	write_values(STORE_TOPIC_BACKENDS, false);
	write_values(STORE_TOPIC_MEMBERS, false);
	usleep(SETTLE_MS * 1000);
	for (int i = 0; i < ENTRIES; i++) {
		assert_true(entry_lives(i));
		assert_int_equal(servers_known(i), SERVERS);
		assert_true(call_once(i));
	}
	set_faults(CROWD_BASE, "page_items=5");
	if (!check_restart(STORE_TOPIC_BACKENDS, &more, 1, LSTR("odd")))
		fail_msg("odd values; logs in %s", sys.dir);
	write_values(STORE_TOPIC_BACKENDS, true);
	sys.passed = true;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_each_name_among_servers,
					  system_stop),
		cmocka_unit_test_teardown(test_names_among_instances,
					  system_stop),
		cmocka_unit_test_teardown(test_names_among_versions,
					  system_stop),
		cmocka_unit_test_teardown(test_names_of_entries_like_servers,
					  system_stop),
		cmocka_unit_test_teardown(test_values, system_stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
