/*
 * Tests of core/retry_reserve: while servers turn away most of what they are
 * sent, the retry budget serves the most urgent requests first.
 */
#include "tests/unit.h"

#include <glib.h>

#include "core/budget.h"
#include "core/mechanisms.h"
#include "core/retry_reserve.h"

enum {
	PRIORITIES = 3,
	PLAYS = 400,
	PLAY_MS = 20000,
	SHED_FROM_MS = 10000,
	ATTEMPTS_MAX = 3,
};

/* Share of the sends that are turned away. */
static const double SHED = 0.55;

/* Requests a second of each priority at one instance, the most urgent first. */
static const double PER_S[PRIORITIES] = {0.6, 0.4, 4};

struct play {
	GRand *rand;
	struct retry_budget budget;
	struct budget_params params;
	struct retry_wants wants;
	int64_t now_ms;
	unsigned asked[PRIORITIES], refused[PRIORITIES], sends;
};

/* Returns whether the budget has one more send for this priority. */
static bool is_paid(struct play *p, unsigned priority)
{
	struct budget_window w =
		budget_window(&p->budget, &p->params, p->now_ms);

	retry_wants_record(&p->wants, priority, p->now_ms);
	return w.left >= 1 + retry_reserve(&p->wants, priority,
					   w.spent + w.left, p->now_ms);
}

static void play_request(struct play *p, unsigned priority)
{
	budget_add_request(&p->budget, &p->params, p->now_ms);
	if (p->now_ms < SHED_FROM_MS)
		return;
	p->asked[priority]++;
	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		if (g_rand_double(p->rand) >= SHED)
			return;
		if (i + 1 == ATTEMPTS_MAX || !is_paid(p, priority))
			break;
		p->sends++;
		budget_spend(&p->budget);
		budget_send_done(&p->budget, &p->params, p->now_ms);
	}
	p->refused[priority]++;
}

/* Plays many instances whose servers begin to turn requests away. */
static void play(struct play *p, bool reserve)
{
	*p = (struct play){.params = {.ratio = 0.2,
				      .slack = 198,
				      .window_ms = 10000,
				      .instances = 123}};
	p->rand = g_rand_new_with_seed(5);
	mechanisms.reserve = reserve;
	for (int k = 0; k < PLAYS; k++) {
		budget_init(&p->budget, g_rand_double(p->rand));
		p->wants = (struct retry_wants){0};
		for (p->now_ms = 1; p->now_ms < PLAY_MS; p->now_ms += 10) {
			for (unsigned i = 0; i < PRIORITIES; i++) {
				if (g_rand_double(p->rand) < PER_S[i] / 100)
					play_request(p, i);
			}
		}
	}
	mechanisms.reserve = true;
	g_rand_free(p->rand);
}

static double refused(const struct play *p, unsigned priority)
{
	return (double)p->refused[priority] / p->asked[priority];
}

/*
 * The more urgent a request, the less often it is refused, and the others are
 * refused little more often; little of the budget is left unused.
 */
static void test_urgent_first(void **state)
{
	struct play before, now;

	play(&before, false);
	play(&now, true);
	for (unsigned i = 0; i < PRIORITIES; i++)
		print_message("priority %u: refused %.3f, before %.3f\n", i,
			      refused(&now, i), refused(&before, i));
	print_message("retries %u, before %u\n", now.sends, before.sends);
	assert_true(refused(&now, 0) < refused(&now, 1));
	assert_true(refused(&now, 1) < refused(&now, 2));
	assert_true(refused(&now, 0) < refused(&before, 0));
	assert_true(refused(&now, 2) < refused(&before, 2) + 0.05);
	assert_true(now.sends > 0.85 * before.sends);
}

/* Nothing is reserved for one priority, and nothing for long. */
static void test_reserve(void **state)
{
	struct retry_wants w = {0};

	assert_true(retry_reserve(&w, 2, 10, 1000) == 0);
	retry_wants_record(&w, 2, 1000);
	assert_true(retry_reserve(&w, 2, 10, 1000) == 0);
	assert_true(retry_reserve(&w, 1, 10, 1000) == 0);
	assert_true(retry_reserve(&w, 3, 10, 1000) > 0);
	assert_true(retry_reserve(&w, 3, 10, 12000) == 0);
	/* Of many priorities the most urgent ones are kept. */
	for (unsigned i = 0; i < 20; i++)
		retry_wants_record(&w, 30 - i, 12000);
	assert_true(retry_reserve(&w, 11, 10, 12000) == 0);
	assert_true(retry_reserve(&w, 12, 10, 12000) > 0);
	/* There is something left for the least urgent. */
	assert_true(retry_reserve(&w, 99, 10, 12000) < 9);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_urgent_first),
		cmocka_unit_test(test_reserve),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
