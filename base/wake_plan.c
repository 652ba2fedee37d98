#include "base/wake_plan.h"

void wake_plan_init(struct wake_plan *p, int64_t grid_ms)
{
	p->grid_ms = grid_ms;
	p->due_ms = WAKE_NEVER;
	p->last_wake_ms = -grid_ms;
}

void wake_plan_add(struct wake_plan *p, int64_t due_ms, int64_t now_ms)
{
	p->due_ms = MIN(p->due_ms, MAX(due_ms, now_ms));
}

static int64_t round_down(const struct wake_plan *p, int64_t time_ms)
{
	return time_ms - time_ms % p->grid_ms;
}

int64_t wake_plan_next_ms(const struct wake_plan *p)
{
	int64_t earliest_ms = p->last_wake_ms + p->grid_ms;

	if (p->due_ms > WAKE_NEVER - p->grid_ms)
		return WAKE_NEVER;
	if (p->due_ms <= earliest_ms)
		return earliest_ms;
	return round_down(p, p->due_ms + p->grid_ms - 1);
}

gboolean wake_plan_try_wake(struct wake_plan *p, int64_t now_ms,
			    int64_t *late_ms)
{
	int64_t wake_ms = wake_plan_next_ms(p);

	if (now_ms < wake_ms)
		return FALSE;
	*late_ms = now_ms - wake_ms;
	p->last_wake_ms = round_down(p, now_ms);
	p->due_ms = WAKE_NEVER;
	return TRUE;
}
