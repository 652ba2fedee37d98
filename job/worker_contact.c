#include "job/worker_contact.h"

#include "base/util.h"
#include "base/wake_plan.h"
#include "job/gang.h"

static void sent_command_clear(gpointer data)
{
	g_free(((struct sent_command *)data)->task);
}

struct worker_contact *worker_contact_new(const char *name, const char *address,
					  int64_t now_ms)
{
	struct worker_contact *c = g_new0(struct worker_contact, 1);

	c->name = g_strdup(name);
	c->address = g_strdup(address);
	c->sent_commands =
		g_array_new(FALSE, TRUE, sizeof(struct sent_command));
	g_array_set_clear_func(c->sent_commands, sent_command_clear);
	c->tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->orphans = g_ptr_array_new_with_free_func(g_free);
	worker_contact_reset(c, now_ms);
	return c;
}

void worker_contact_free(struct worker_contact *c)
{
	g_ptr_array_unref(c->orphans);
	g_hash_table_unref(c->tasks);
	g_array_unref(c->sent_commands);
	g_free(c->worker_digest);
	g_free(c->address);
	g_free(c->name);
	g_free(c);
}

void worker_contact_reset(struct worker_contact *c, int64_t now_ms)
{
	c->is_fenced = FALSE;
	c->has_fresh_report = FALSE;
	c->is_lost = FALSE;
	c->is_expired = FALSE;
	c->is_call_due = FALSE;
	c->is_in_flight = FALSE;
	c->call_id = 0;
	c->is_shared = FALSE;
	c->lease_until_ms = now_ms;
	c->shared_until_ms = 0;
	c->share_after_ms = 0;
	c->last_command_ms = 0;
	c->as_of_ms = 0;
	c->digest = 0;
	g_clear_pointer(&c->worker_digest, g_free);
	c->delegate = NULL;
	c->first_failure_ms = 0;
	c->next_call_ms = now_ms;
	g_array_set_size(c->sent_commands, 0);
	g_hash_table_remove_all(c->tasks);
	g_ptr_array_set_size(c->orphans, 0);
}

void worker_contact_set_listed(struct worker_contact *c, gboolean is_listed,
			       gboolean is_leaving, int64_t now_ms)
{
	if (c->is_listed && !is_listed)
		c->unlisted_ms = now_ms;
	c->is_listed = is_listed;
	c->is_leaving = is_leaving;
}

gboolean worker_contact_wants_call(const struct worker_contact *c,
				   int64_t now_ms)
{
	if (c->is_in_flight)
		return FALSE;
	if (c->is_call_due && !c->first_failure_ms)
		return TRUE;
	if (c->is_shared && now_ms < c->shared_until_ms)
		return FALSE;
	return now_ms >= c->next_call_ms;
}

void worker_contact_on_sent(struct worker_contact *c, int64_t call_id,
			    int64_t lease_ms, int64_t now_ms)
{
	c->is_in_flight = TRUE;
	c->is_call_due = FALSE;
	c->call_id = call_id;
	c->sent_ms = now_ms;
	if (!c->is_lost)
		c->lease_until_ms = MAX(c->lease_until_ms, now_ms + lease_ms);
	if (!c->sent_commands->len)
		return;
	c->last_command_ms = now_ms;
	c->is_shared = FALSE;
}

gboolean worker_contact_is_settled(const struct worker_contact *c)
{
	return c->as_of_ms > c->last_command_ms;
}

void worker_contact_on_tasks(struct worker_contact *c,
			     const struct worker_report *report)
{
	c->digest = worker_report_digest(report);
	g_free(c->worker_digest);
	c->worker_digest = g_strdup(report->digest);
}

gboolean worker_contact_may_be_shared(const struct worker_contact *c,
				      int64_t now_ms)
{
	return c->is_listed && c->is_fenced && !c->is_lost &&
	       !c->first_failure_ms && !c->is_call_due && !c->is_in_flight &&
	       now_ms >= c->share_after_ms && worker_contact_is_settled(c);
}

void worker_contact_on_granted(struct worker_contact *c, int64_t life_ms,
			       int64_t lease_ms, int64_t now_ms)
{
	c->is_shared = TRUE;
	c->shared_until_ms = now_ms + life_ms;
	c->lease_until_ms =
		MAX(c->lease_until_ms, c->shared_until_ms + lease_ms);
}

void worker_contact_on_delegate_failed(struct worker_contact *c, int64_t now_ms)
{
	c->is_shared = FALSE;
	c->is_call_due = TRUE;
	c->share_after_ms = now_ms + RENEWAL_RESHARE_DELAY_MS;
}

int64_t worker_contact_on_answer(struct worker_contact *c, int64_t period_ms,
				 int64_t now_ms)
{
	int64_t as_of_ms = c->sent_ms - WORKER_REPORT_LAG_MS;

	c->is_in_flight = FALSE;
	c->is_lost = FALSE;
	c->is_expired = FALSE;
	c->first_failure_ms = 0;
	c->as_of_ms = as_of_ms;
	c->next_call_ms =
		worker_renew_next_ms(c->name, c->call_id, period_ms, now_ms);
	if (!c->is_fenced) {
		c->is_fenced = TRUE;
		c->fenced_ms = now_ms;
		c->next_call_ms = now_ms + WORKER_REPORT_LAG_MS + 1;
	}
	if (as_of_ms > c->fenced_ms)
		c->has_fresh_report = TRUE;
	return as_of_ms;
}

void worker_contact_on_failure(struct worker_contact *c, int64_t now_ms)
{
	c->is_in_flight = FALSE;
	if (!c->first_failure_ms)
		c->first_failure_ms = c->sent_ms;
	c->is_shared = FALSE;
	c->next_call_ms = now_ms + WORKER_RETRY_MS;
}

int64_t worker_contact_call_ms(const struct worker_contact *c, int64_t now_ms)
{
	if (c->is_in_flight)
		return WAKE_NEVER;
	if (c->is_call_due && !c->first_failure_ms)
		return now_ms;
	if (c->is_shared)
		return MAX(c->next_call_ms, c->shared_until_ms);
	return c->next_call_ms;
}

static int64_t expiry_ms(const struct worker_contact *c, int64_t lease_ms)
{
	int64_t until_ms = c->lease_until_ms;

	if (!c->is_listed)
		until_ms = MAX(until_ms, c->unlisted_ms + lease_ms);
	/* Without the fence an older holder could still renew its leases. */
	else if (!c->is_fenced)
		return WAKE_NEVER;
	return until_ms + WORKER_EXPIRY_SLACK_MS;
}

int64_t worker_contact_check_ms(const struct worker_contact *c,
				int64_t lease_ms)
{
	if (!c->is_lost)
		return c->first_failure_ms
			       ? c->first_failure_ms + WORKER_LOST_AFTER_MS
			       : WAKE_NEVER;
	return c->is_expired ? WAKE_NEVER : expiry_ms(c, lease_ms);
}

enum contact_event worker_contact_check(struct worker_contact *c,
					int64_t lease_ms, int64_t now_ms)
{
	gboolean is_late = c->first_failure_ms &&
			   now_ms >= c->first_failure_ms + WORKER_LOST_AFTER_MS;

	if (!c->is_lost && is_late) {
		c->is_lost = TRUE;
		return CONTACT_EVENT_LOST;
	}
	if (c->is_lost && !c->is_expired && now_ms >= expiry_ms(c, lease_ms)) {
		c->is_expired = TRUE;
		return CONTACT_EVENT_EXPIRED;
	}
	return CONTACT_EVENT_NONE;
}

gboolean worker_contact_is_usable(const struct worker_contact *c)
{
	return c->is_listed && !c->is_leaving && !c->is_lost && c->is_fenced;
}

static int64_t renew_period_ms(guint workers, guint schedulers)
{
	int64_t share = (workers + schedulers - 1) / schedulers;

	return MAX(share * MS_PER_S / WORKER_RENEWALS_PER_S,
		   WORKER_RENEW_MIN_MS);
}

/*
 * Sharing shortens the partial bound twice by the gain in the period, and
 * lengthens it by a grant and a delegate's failed call.
 */
gboolean worker_renewals_are_shared(guint workers, guint schedulers)
{
	int64_t gain_ms = renew_period_ms(workers, 1) -
			  renew_period_ms(workers, schedulers);

	return 2 * gain_ms > RENEWAL_GRANT_MS + WORKER_CALL_TIMEOUT_MS;
}

int64_t worker_renew_period_ms(guint workers, guint schedulers)
{
	if (!worker_renewals_are_shared(workers, schedulers))
		schedulers = 1;
	return renew_period_ms(workers, schedulers);
}

int64_t worker_renew_next_ms(const char *worker, int64_t call_id,
			     int64_t period_ms, int64_t now_ms)
{
	uint64_t mix = util_mix64(g_str_hash(worker) + (uint64_t)call_id);
	int64_t grid_ms = MAX(period_ms / WORKER_RENEW_POINTS, 1);
	int64_t next_ms = now_ms + period_ms;

	if (mix % 2)
		next_ms -= grid_ms;
	return next_ms - next_ms % grid_ms;
}

int64_t worker_lease_ms(guint workers, guint schedulers)
{
	return worker_renew_period_ms(workers, schedulers) + WORKER_TAKEOVER_MS;
}

int64_t worker_loss_reaction_ms(guint workers, guint schedulers)
{
	int64_t reaction_ms = worker_renew_period_ms(workers, schedulers) +
			      WORKER_LOST_AFTER_MS + WORKER_CALL_TIMEOUT_MS +
			      WORKER_RETRY_MS;

	/* The delegate's call times out first, then the holder's. */
	if (worker_renewals_are_shared(workers, schedulers))
		reaction_ms += WORKER_CALL_TIMEOUT_MS;
	return reaction_ms;
}

int64_t worker_partial_bound_ms(guint workers, guint schedulers)
{
	int64_t bound_ms = worker_loss_reaction_ms(workers, schedulers) +
			   worker_lease_ms(workers, schedulers) +
			   WORKER_EXPIRY_SLACK_MS;

	/* A delegate may still renew on workers the holder can't reach. */
	if (worker_renewals_are_shared(workers, schedulers))
		bound_ms += RENEWAL_GRANT_MS;
	return bound_ms;
}
