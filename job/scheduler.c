#include "job/scheduler.h"

#include "base/log.h"
#include "job/scheduler_state.h"

/** Longest time between decisions, for conditions that change with time. */
#define DECISION_PERIOD_MS INT64_C(1000)

static const char *const phase_names[SCHEDULER_PHASE_COUNT] = {
	[SCHEDULER_IDLE] = "idle",     [SCHEDULER_RECOVERING] = "recovering",
	[SCHEDULER_ACTIVE] = "active", [SCHEDULER_CARETAKER] = "caretaker",
	[SCHEDULER_FENCED] = "fenced",
};

const char *scheduler_phase_name(enum scheduler_phase phase)
{
	return phase_names[phase];
}

struct scheduler *scheduler_new(const struct scheduler_spec *spec)
{
	struct scheduler *s = g_new0(struct scheduler, 1);

	s->pool_name = g_strdup(spec->pool);
	s->node = g_strdup(spec->node);
	s->incarnation = g_strdup(spec->incarnation);
	s->ops = spec->ops;
	s->data = spec->data;
	s->pool = pool_new(spec->pool);
	s->policy = placement_policy_new(spec->policy);
	s->queue = job_queue_new(s->policy->class->discipline);
	s->impossible_grace_ms = spec->impossible_grace_ms
					 ? spec->impossible_grace_ms
					 : JOB_IMPOSSIBLE_GRACE_MS;
	job_queue_set_impossible_grace(s->queue, s->impossible_grace_ms);
	s->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   (GDestroyNotify)worker_contact_free);
	s->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)job_entry_free);
	s->health = worker_health_new();
	s->guarantee_watch = guarantee_watch_new();
	s->scheduler_count = 1;
	s->always_share_renewals = spec->always_share_renewals;
	s->delegates =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->commit_prefix = g_strdup("");
	return s;
}

void scheduler_free(struct scheduler *s)
{
	g_clear_pointer(&s->caretaker, caretaker_free);
	guarantee_watch_free(s->guarantee_watch);
	worker_health_free(s->health);
	g_hash_table_unref(s->entries);
	g_hash_table_unref(s->workers);
	g_hash_table_unref(s->delegates);
	job_queue_free(s->queue);
	placement_policy_free(s->policy);
	pool_free(s->pool);
	g_free(s->commit_prefix);
	g_free(s->incarnation);
	g_free(s->node);
	g_free(s->pool_name);
	g_free(s);
}

void scheduler_log_phase(const struct scheduler *s)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "scheduler_phase");
	log_str(&line, "pool", s->pool_name);
	log_str(&line, "phase", phase_names[s->phase]);
	log_int(&line, "epoch", s->epoch);
	log_end(&line);
}

void scheduler_set_fenced(struct scheduler *s, const char *where)
{
	struct log_line line;

	s->phase = SCHEDULER_FENCED;
	log_begin(&line, LOG_LEVEL_WARN, "scheduler_fenced");
	log_str(&line, "pool", s->pool_name);
	log_str(&line, "met_at", where);
	log_int(&line, "epoch", s->epoch);
	log_end(&line);
}

/* Removes workers that the platform does not list; rows may add them again. */
static void remove_unlisted_workers(struct scheduler *s)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct worker_contact *c = item;

		if (c->is_listed)
			continue;
		pool_remove_worker(s->pool, c->name);
		g_hash_table_iter_remove(&iter);
	}
}

/* Discards all jobs and the workers' state under the old epoch. */
static void reset(struct scheduler *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

	scheduler_forget_delegates(s);
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct worker_contact *c = item;

		worker_contact_reset(c, now_ms);
		c->is_usable = FALSE;
		pool_set_worker_usable(s->pool, c->name, FALSE);
	}
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct job_entry *e = item;

		job_queue_cancel(s->queue, e->record.id);
		pool_release(s->pool, e->record.id);
		g_hash_table_iter_remove(&iter);
	}
	remove_unlisted_workers(s);
	g_clear_pointer(&s->caretaker, caretaker_free);
}

void scheduler_set_role(struct scheduler *s, enum pool_role role, int64_t epoch,
			int64_t now_ms)
{
	if (s->role == role && s->epoch == epoch)
		return;
	s->role = role;
	s->epoch = epoch;
	s->phase = SCHEDULER_IDLE;
	reset(s, now_ms);
	if (role == POOL_ROLE_HOLDER) {
		scheduler_begin_recovery(s, now_ms);
	} else if (role == POOL_ROLE_CARETAKER) {
		s->phase = SCHEDULER_CARETAKER;
		s->caretaker = caretaker_new();
	}
	scheduler_log_phase(s);
	scheduler_finish_event(s, now_ms);
}

void scheduler_set_config(struct scheduler *s, const struct config_doc *doc,
			  int64_t version, int64_t now_ms)
{
	s->doc = doc;
	s->config_version = version;
	pool_set_guarantees(s->pool, doc);
	guarantee_watch_restart(s->guarantee_watch, now_ms);
	job_queue_set_shares(s->queue, doc);
	s->needs_decision = TRUE;
	scheduler_finish_event(s, now_ms);
}

void scheduler_enqueue(struct scheduler *s, struct job_entry *e)
{
	struct pool_job job = job_record_pool_job(&e->record);

	e->requeue_ms = 0;
	job_queue_submit(s->queue, &job, e->record.submitted_ms);
	s->needs_decision = TRUE;
}

static void log_decision(const struct scheduler *s, const struct job_entry *e,
			 const struct job_decision *d, int64_t now_ms)
{
	char *choice;
	struct log_line line;

	g_ptr_array_add(d->placement.workers, NULL);
	choice = g_strjoinv(",", (char **)d->placement.workers->pdata);
	g_ptr_array_remove_index(d->placement.workers,
				 d->placement.workers->len - 1);
	log_begin(&line, LOG_LEVEL_INFO, "placement");
	log_str(&line, "pool", s->pool_name);
	log_str(&line, "job", e->record.id);
	log_str(&line, "choice", choice);
	log_str(&line, "runner_up", d->placement.runner_up);
	log_str(&line, "reason", d->placement.reason);
	log_int(&line, "preempts", d->placement.preempt->len);
	log_int(&line, "waited_ms",
		scheduler_wall_ms(s, now_ms) - e->record.submitted_ms);
	log_int(&line, "config_version", s->config_version);
	log_end(&line);
	g_free(choice);
}

static void set_text(char **to, const char *text)
{
	g_free(*to);
	*to = g_strdup(text ? text : "");
}

static void log_preempt(const struct scheduler *s, const struct job_entry *e,
			const struct job_entry *victim)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "preempt");
	log_str(&line, "pool", s->pool_name);
	log_str(&line, "job", victim->record.id);
	log_str(&line, "for", e->record.id);
	log_str(&line, "reason", e->choice);
	log_int(&line, "config_version", s->config_version);
	log_end(&line);
}

static void preempt(struct scheduler *s, struct job_entry *e, const char *id,
		    int64_t now_ms)
{
	struct job_entry *victim = g_hash_table_lookup(s->entries, id);

	if (!victim || !victim->gang)
		return;
	log_preempt(s, e, victim);
	g_hash_table_add(e->blockers, g_strdup(id));
	gang_preempt(victim->gang, now_ms);
	scheduler_update_entry(s, victim, now_ms);
}

static void start_gang(struct scheduler *s, struct job_entry *e,
		       const struct job_decision *d, int64_t now_ms)
{
	int64_t attempt = job_entry_next_attempt(e);

	e->last_attempt = attempt;
	set_text(&e->choice, d->placement.reason);
	set_text(&e->runner_up, d->placement.runner_up);
	e->gang = gang_new(&e->record, d->placement.workers, attempt, now_ms);
	e->handled_gang_state = e->gang->state;
	scheduler_add_tasks(s, e, now_ms);
	for (guint i = 0; i < d->placement.preempt->len; i++)
		preempt(s, e, d->placement.preempt->pdata[i], now_ms);
	if (g_hash_table_size(e->blockers) == 0)
		gang_reserve(e->gang, now_ms);
	scheduler_update_entry(s, e, now_ms);
}

static void decide_all(struct scheduler *s, int64_t now_ms)
{
	enum status status;

	do {
		struct job_decision d;
		struct job_entry *e = NULL;

		job_decision_init(&d);
		status = job_queue_decide(s->queue, s->pool, s->policy, now_ms,
					  &d);
		if (status != STATUS_NOT_FOUND)
			e = g_hash_table_lookup(s->entries, d.job_id);
		if (e && status == STATUS_OK) {
			log_decision(s, e, &d, now_ms);
			start_gang(s, e, &d, now_ms);
		} else if (e) {
			scheduler_end_job(s, e, JOB_REFUSED, d.placement.reason,
					  now_ms);
			scheduler_update_entry(s, e, now_ms);
		}
		job_decision_clear(&d);
	} while (status != STATUS_NOT_FOUND);
}

void scheduler_finish_event(struct scheduler *s, int64_t now_ms)
{
	scheduler_check_recovery(s, now_ms);
	if (s->phase == SCHEDULER_ACTIVE && s->needs_decision) {
		s->needs_decision = FALSE;
		s->next_decision_ms = now_ms + DECISION_PERIOD_MS;
		decide_all(s, now_ms);
	}
	scheduler_send_calls(s, now_ms);
}

static void tick_entry(struct scheduler *s, struct job_entry *e, int64_t now_ms)
{
	if (e->gang)
		gang_tick(e->gang, now_ms);
	if (e->requeue_ms && now_ms >= e->requeue_ms)
		scheduler_enqueue(s, e);
	scheduler_update_entry(s, e, now_ms);
}

static void tick_entries(struct scheduler *s, int64_t now_ms)
{
	struct job_entry *expired = NULL;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		tick_entry(s, item, now_ms);
		if (!expired &&
		    job_entry_is_expired(item, scheduler_wall_ms(s, now_ms),
					 now_ms))
			expired = item;
	}
	if (expired)
		scheduler_delete_row(s, expired);
	if (now_ms < s->next_decision_ms)
		return;
	s->needs_decision = TRUE;
	scheduler_update_usable(s, now_ms);
	guarantee_watch_update(s->guarantee_watch, s->pool, now_ms);
}

static void stop_partial_gang_task(const char *worker, const char *task,
				   void *data)
{
	struct scheduler *s = data;
	struct worker_contact *c = scheduler_find_contact(s, worker);
	struct log_line line;

	if (!c)
		return;
	log_begin(&line, LOG_LEVEL_WARN, "caretaker_stop");
	log_str(&line, "worker", worker);
	log_str(&line, "task", task);
	log_end(&line);
	g_ptr_array_add(c->orphans, g_strdup(task));
	c->is_call_due = TRUE;
}

void scheduler_tick(struct scheduler *s, int64_t now_ms, int64_t wall)
{
	s->wall_offset_ms = wall - now_ms;
	scheduler_check_delegates(s, now_ms);
	scheduler_check_workers(s, now_ms);
	if (s->phase == SCHEDULER_ACTIVE)
		tick_entries(s, now_ms);
	if (s->phase == SCHEDULER_CARETAKER)
		caretaker_review(s->caretaker, now_ms, stop_partial_gang_task,
				 s);
	scheduler_finish_event(s, now_ms);
}

void scheduler_foreach_unheld_guarantee(const struct scheduler *s,
					void (*fn)(const char *place,
						   const char *problem,
						   int64_t since_ms,
						   void *data),
					void *data)
{
	guarantee_watch_foreach_unheld(s->guarantee_watch, fn, data);
}

void scheduler_get_stats(const struct scheduler *s,
			 struct scheduler_stats *stats)
{
	GHashTableIter iter;
	gpointer item;

	memset(stats, 0, sizeof(*stats));
	stats->phase = s->phase;
	stats->epoch = s->epoch;
	stats->workers = s->listed_workers;
	stats->queued = job_queue_length(s->queue);
	stats->recoveries = s->recoveries;
	stats->recovery_ms = s->recovery_ms;
	stats->delegates = g_hash_table_size(s->delegates);
	stats->renew_ms =
		worker_renew_period_ms(s->listed_workers, scheduler_peers(s));
	stats->partial_bound_ms =
		worker_partial_bound_ms(s->listed_workers, scheduler_peers(s));
	stats->lease_ms = scheduler_lease_ms(s);
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct worker_contact *c = item;

		stats->usable_workers += c->is_usable ? 1 : 0;
		stats->quarantined_workers += c->is_quarantined ? 1 : 0;
		stats->shared_workers += c->is_shared ? 1 : 0;
	}
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		stats->gangs += ((struct job_entry *)item)->gang ? 1 : 0;
}
