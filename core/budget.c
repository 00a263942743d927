#include <string.h>

#include "core/budget.h"

/*
 * Cells span a window and a little more, so that a sum over all of them
 * covers any sliding window of that length.
 */
enum { CELLS_A_WINDOW = BUDGET_CELLS - 2 };

/*
 * Shares of the allowance that are spent. Requests are counted when they
 * arrive and extra sends when they leave, and instances disagree for a
 * moment on how many they are; the rest is room for both.
 */
static const double RATIO_SHARE = 0.85;
static const double SLACK_SHARE = 0.7;

/* Moves on to the cell of now_ms and clears those passed over. */
static unsigned cell_at(struct retry_budget *b, const struct budget_rule *r,
			int64_t now_ms)
{
	int64_t width = r->window_ms / CELLS_A_WINDOW + 1;
	int64_t cell = now_ms / width;

	if (cell - b->cell >= BUDGET_CELLS || b->cell == 0) {
		memset(b, 0, sizeof(*b));
		b->cell = cell;
	}
	while (b->cell < cell) {
		b->cell++;
		b->requests[b->cell % BUDGET_CELLS] = 0;
		b->extra[b->cell % BUDGET_CELLS] = 0;
	}
	return (unsigned)(b->cell % BUDGET_CELLS);
}

/* budget_request() counts a request for the service. */
void budget_request(struct retry_budget *b, const struct budget_rule *r,
		    int64_t now_ms)
{
	b->requests[cell_at(b, r, now_ms)]++;
}

/* budget_spend() counts a send beyond a request's first. */
void budget_spend(struct retry_budget *b, const struct budget_rule *r,
		  int64_t now_ms)
{
	b->extra[cell_at(b, r, now_ms)]++;
}

/* budget_window() says what the newest window holds and still allows. */
struct budget_window budget_window(const struct retry_budget *b,
				   const struct budget_rule *r, int64_t now_ms)
{
	struct retry_budget now = *b;
	struct budget_window w = {0};
	unsigned n = r->instances ? r->instances : 1;

	cell_at(&now, r, now_ms);
	for (unsigned i = 0; i < BUDGET_CELLS; i++) {
		w.requests += now.requests[i];
		w.spent += now.extra[i];
	}
	w.left = w.requests * r->ratio * RATIO_SHARE +
		 r->slack * SLACK_SHARE / n - w.spent;
	return w;
}

/* budget_left() says how many more extra sends keep to the rule now. */
double budget_left(const struct retry_budget *b, const struct budget_rule *r,
		   int64_t now_ms)
{
	return budget_window(b, r, now_ms).left;
}

/* budget_allows() tells whether one more extra send keeps to the rule. */
bool budget_allows(const struct retry_budget *b, const struct budget_rule *r,
		   int64_t now_ms)
{
	return budget_left(b, r, now_ms) >= 1;
}

/* budget_spent() adds up the extra sends of a lifetime. */
uint64_t budget_spent(const struct budget_account *a)
{
	uint64_t sum = 0;

	for (unsigned i = 0; i < EXTRA_CAUSES; i++)
		sum += a->spent[i];
	return sum;
}

/* extra_cause_name() names a cause in logs and metrics. */
const char *extra_cause_name(enum extra_cause cause)
{
	static const char *const names[EXTRA_CAUSES] = {"retry", "second",
							"rescue"};

	return names[cause];
}
