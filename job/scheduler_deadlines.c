/*
 * Computes when scheduler_tick() has to run next. Must cover every deadline
 * that scheduler_tick() handles; waking too early only costs an iteration of
 * the main loop.
 */
#include "job/scheduler_state.h"

#include "base/wake_plan.h"

static int64_t workers_due_ms(const struct scheduler *s, int64_t now_ms)
{
	gboolean may_call =
		s->phase != SCHEDULER_IDLE && s->phase != SCHEDULER_FENCED;
	int64_t lease_ms = scheduler_longest_lease_ms(s);
	int64_t due_ms = WAKE_NEVER;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct worker_contact *c = item;

		due_ms = MIN(due_ms, worker_contact_check_ms(c, lease_ms));
		due_ms = MIN(due_ms, scheduler_forget_ms(s, c));
		if (may_call && c->address)
			due_ms = MIN(due_ms, worker_contact_call_ms(c, now_ms));
	}
	return due_ms;
}

static int64_t entries_due_ms(const struct scheduler *s, int64_t now_ms)
{
	int64_t due_ms = s->next_decision_ms;
	GHashTableIter iter;
	gpointer item;

	if (s->needs_decision)
		return now_ms;
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct job_entry *e = item;

		due_ms = MIN(due_ms, job_entry_due_ms(e, s->wall_offset_ms));
	}
	return due_ms;
}

int64_t scheduler_due_ms(const struct scheduler *s, int64_t now_ms)
{
	int64_t due_ms =
		MIN(workers_due_ms(s, now_ms), scheduler_delegates_due_ms(s));

	if (s->phase == SCHEDULER_CARETAKER)
		return now_ms; /* measures how long gangs are partial */
	if (s->phase == SCHEDULER_ACTIVE)
		due_ms = MIN(due_ms, entries_due_ms(s, now_ms));
	return due_ms;
}
