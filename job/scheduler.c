#include "job/scheduler.h"

#include <string.h>

#include "base/log.h"
#include "job/scheduler_state.h"

/** Between decisions without a cause, for what depends on time alone. */
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
	s->unmet = guarantee_watch_new();
	s->writer = g_strdup("");
	return s;
}

void scheduler_free(struct scheduler *s)
{
	g_clear_pointer(&s->caretaker, caretaker_free);
	guarantee_watch_free(s->unmet);
	worker_health_free(s->health);
	g_hash_table_unref(s->entries);
	g_hash_table_unref(s->workers);
	job_queue_free(s->queue);
	placement_policy_free(s->policy);
	pool_free(s->pool);
	g_free(s->writer);
	g_free(s->incarnation);
	g_free(s->node);
	g_free(s->pool_name);
	g_free(s);
}

static void log_phase(const struct scheduler *s)
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

/* What the platform does not list is learnt again from the rows. */
static void drop_unlisted(struct scheduler *s)
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

/* Forgets all jobs and what was known of the workers. */
static void reset(struct scheduler *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

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
	drop_unlisted(s);
	g_clear_pointer(&s->caretaker, caretaker_free);
}

static void begin_recovery(struct scheduler *s, int64_t now_ms)
{
	s->phase = SCHEDULER_RECOVERING;
	s->is_scanned = FALSE;
	s->recovery_since_ms = now_ms;
	g_free(s->writer);
	s->writer = g_strdup_printf("%s.%" G_GINT64_FORMAT ".%" G_GINT64_FORMAT,
				    s->incarnation, s->epoch, ++s->terms);
	s->ops->scan_rows(s->data);
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
		begin_recovery(s, now_ms);
	} else if (role == POOL_ROLE_CARETAKER) {
		s->phase = SCHEDULER_CARETAKER;
		s->caretaker = caretaker_new();
	}
	log_phase(s);
	scheduler_finish_event(s, now_ms);
}

void scheduler_set_config(struct scheduler *s, const struct config_doc *doc,
			  int64_t version, int64_t now_ms)
{
	s->doc = doc;
	s->config_version = version;
	pool_set_guarantees(s->pool, doc);
	guarantee_watch_restart(s->unmet, now_ms);
	job_queue_set_shares(s->queue, doc);
	s->needs_decision = TRUE;
	scheduler_finish_event(s, now_ms);
}

void scheduler_queue(struct scheduler *s, struct job_entry *e)
{
	struct pool_job job = job_record_pool_job(&e->record);

	e->requeue_ms = 0;
	job_queue_submit(s->queue, &job, e->record.submitted_ms);
	s->needs_decision = TRUE;
}

void scheduler_recover_gang(struct scheduler *s, struct job_entry *e,
			    int64_t now_ms)
{
	e->gang = gang_recover(&e->record, now_ms);
	e->followed = e->gang->state;
	scheduler_add_tasks(s, e, now_ms);
}

/* Frees a victim's resources and lets those start that wait for it. */
static void unblock(struct scheduler *s, const char *id, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct job_entry *e = item;

		if (!e->gang || e->gang->state != GANG_CLEARING ||
		    !g_hash_table_remove(e->blockers, id))
			continue;
		if (g_hash_table_size(e->blockers) == 0) {
			gang_reserve(e->gang, now_ms);
			scheduler_follow(s, e, now_ms);
		}
	}
}

static int64_t wall_ms(const struct scheduler *s, int64_t now_ms)
{
	return now_ms + s->wall_offset_ms;
}

static void end_job(struct scheduler *s, struct job_entry *e,
		    enum job_state state, const char *reason, int64_t now_ms)
{
	e->record.ended_ms = wall_ms(s, now_ms);
	worker_health_forget_job(s->health, e->record.id);
	scheduler_set_state(s, e, state, reason);
}

static void requeue(struct scheduler *s, struct job_entry *e,
		    const char *reason, gboolean is_at_once, int64_t now_ms)
{
	g_ptr_array_set_size(e->record.placement, 0);
	scheduler_set_state(s, e, JOB_QUEUED, reason);
	if (is_at_once)
		scheduler_queue(s, e);
	else
		job_entry_back_off(e, now_ms);
}

static void note_success(struct scheduler *s, const struct job_entry *e)
{
	const GArray *members = e->gang->members;

	for (guint i = 0; i < members->len; i++)
		worker_health_succeeded(
			s->health,
			g_array_index(members, struct gang_member, i).worker,
			e->record.id);
}

static void finish_done(struct scheduler *s, struct job_entry *e,
			const char *reason, int64_t now_ms)
{
	struct pool_job job = job_record_pool_job(&e->record);

	if (e->running_since_ms)
		job_queue_observe(s->queue, &job, now_ms - e->running_since_ms);
	note_success(s, e);
	end_job(s, e, JOB_DONE, reason, now_ms);
}

/* Blames the workers on which members failed. */
static enum health_verdict blame(struct scheduler *s, const struct job_entry *e,
				 int64_t now_ms)
{
	const GArray *members = e->gang->members;
	enum health_verdict worst = HEALTH_RETRY;

	for (guint i = 0; i < members->len; i++) {
		const struct gang_member *m =
			&g_array_index(members, struct gang_member, i);
		enum health_verdict verdict;

		if (!m->has_failed)
			continue;
		verdict = worker_health_failed(s->health, m->worker,
					       e->record.id, now_ms);
		worst = MAX(worst, verdict);
	}
	return worst;
}

static void finish_task_failed(struct scheduler *s, struct job_entry *e,
			       const char *reason, int64_t now_ms)
{
	enum health_verdict verdict = blame(s, e, now_ms);

	e->record.failures++;
	if (verdict == HEALTH_WORKER_ASIDE)
		scheduler_update_usable(s, now_ms);
	if (verdict == HEALTH_JOB_FAILED ||
	    e->record.failures >= JOB_MAX_FAILURES)
		end_job(s, e, JOB_FAILED, reason, now_ms);
	else
		requeue(s, e, reason, FALSE, now_ms);
}

static void finish_preempted(struct scheduler *s, struct job_entry *e,
			     const char *reason, int64_t now_ms)
{
	e->record.stops++;
	e->record.remaining_ms =
		gang_remaining_ms(e->gang, e->record.remaining_ms);
	requeue(s, e, reason, TRUE, now_ms);
}

static void finish_lost(struct scheduler *s, struct job_entry *e,
			const char *reason, int64_t now_ms)
{
	requeue(s, e, reason, TRUE, now_ms);
}

static void finish_refused(struct scheduler *s, struct job_entry *e,
			   const char *reason, int64_t now_ms)
{
	requeue(s, e, reason, FALSE, now_ms);
}

typedef void (*finish_fn)(struct scheduler *s, struct job_entry *e,
			  const char *reason, int64_t now_ms);

static const finish_fn finishes[GANG_OUTCOME_COUNT] = {
	[GANG_OUTCOME_NONE] = finish_lost,
	[GANG_OUTCOME_DONE] = finish_done,
	[GANG_OUTCOME_TASK_FAILED] = finish_task_failed,
	[GANG_OUTCOME_REFUSED] = finish_refused,
	[GANG_OUTCOME_LOST] = finish_lost,
	[GANG_OUTCOME_TIMEOUT] = finish_refused,
	[GANG_OUTCOME_PREEMPTED] = finish_preempted,
	[GANG_OUTCOME_CANCELLED] = finish_lost,
	[GANG_OUTCOME_CHANGED] = finish_lost,
};

static void finish_gang(struct scheduler *s, struct job_entry *e,
			int64_t now_ms)
{
	enum gang_outcome outcome = e->gang->outcome;
	const char *cause = e->gang->cause;
	char *reason = g_strdup_printf(
		"attempt %" G_GINT64_FORMAT ": %s%s%s", e->gang->attempt,
		gang_outcome_name(outcome), cause && cause[0] ? ": " : "",
		cause ? cause : "");

	pool_release(s->pool, e->record.id);
	scheduler_remove_tasks(s, e);
	if (!job_record_is_ended(&e->record)) {
		if (e->record.is_cancelled && outcome != GANG_OUTCOME_DONE)
			end_job(s, e, JOB_CANCELLED, "cancelled by caller",
				now_ms);
		else
			finishes[outcome](s, e, reason, now_ms);
	}
	job_entry_drop_gang(e);
	e->running_since_ms = 0;
	s->needs_decision = TRUE;
	unblock(s, e->record.id, now_ms);
	g_free(reason);
}

static void commit_gang(struct scheduler *s, struct job_entry *e)
{
	const struct gang *g = e->gang;
	struct job_record *r = &e->record;

	r->attempt = g->attempt;
	r->epoch = s->epoch;
	g_ptr_array_set_size(r->placement, 0);
	for (guint i = 0; i < g->members->len; i++)
		g_ptr_array_add(r->placement,
				g_strdup(g_array_index(g->members,
						       struct gang_member, i)
						 .worker));
	scheduler_set_state(s, e, JOB_COMMITTED, "reserved on all workers");
}

static void follow_running(struct scheduler *s, struct job_entry *e,
			   int64_t now_ms)
{
	e->running_since_ms = now_ms;
	e->requeue_backoff_ms = 0;
	if (e->record.state == JOB_RUNNING)
		return;
	e->record.started_ms = wall_ms(s, now_ms);
	scheduler_set_state(s, e, JOB_RUNNING, "all members run");
}

/* A commitment that is not known to be in the table is taken back. */
static void follow_ending(struct scheduler *s, struct job_entry *e)
{
	if (e->record.state == JOB_COMMITTED && !job_entry_is_clean(e))
		scheduler_set_state(s, e, JOB_QUEUED, "commitment given up");
}

static void follow_state(struct scheduler *s, struct job_entry *e,
			 int64_t now_ms)
{
	switch (e->gang->state) {
	case GANG_COMMITTING:
		commit_gang(s, e);
		break;
	case GANG_RUNNING:
		follow_running(s, e, now_ms);
		break;
	case GANG_ENDING:
		follow_ending(s, e);
		break;
	case GANG_ENDED:
		finish_gang(s, e, now_ms);
		break;
	default:
		break;
	}
}

void scheduler_follow(struct scheduler *s, struct job_entry *e, int64_t now_ms)
{
	if (s->phase != SCHEDULER_ACTIVE)
		return;
	if (e->gang && e->gang->state != e->followed) {
		e->followed = e->gang->state;
		scheduler_mark_due(s, e);
		follow_state(s, e, now_ms);
	}
	scheduler_write(s, e, now_ms);
}

static void log_decision(const struct scheduler *s, const struct job_entry *e,
			 const struct job_decision *d)
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
	log_int(&line, "waited_ms", d->waited_ms + s->wall_offset_ms);
	log_int(&line, "config_version", s->config_version);
	log_end(&line);
	g_free(choice);
}

static void set_text(char **to, const char *text)
{
	g_free(*to);
	*to = g_strdup(text ? text : "");
}

static void preempt(struct scheduler *s, struct job_entry *e, const char *id,
		    int64_t now_ms)
{
	struct job_entry *victim = g_hash_table_lookup(s->entries, id);

	if (!victim || !victim->gang)
		return;
	g_hash_table_add(e->blockers, g_strdup(id));
	gang_preempt(victim->gang, now_ms);
	scheduler_follow(s, victim, now_ms);
}

static void start_gang(struct scheduler *s, struct job_entry *e,
		       const struct job_decision *d, int64_t now_ms)
{
	int64_t attempt = job_entry_next_attempt(e);

	e->last_attempt = attempt;
	set_text(&e->choice, d->placement.reason);
	set_text(&e->runner_up, d->placement.runner_up);
	e->gang = gang_new(&e->record, d->placement.workers, attempt, now_ms);
	e->followed = e->gang->state;
	scheduler_add_tasks(s, e, now_ms);
	for (guint i = 0; i < d->placement.preempt->len; i++)
		preempt(s, e, d->placement.preempt->pdata[i], now_ms);
	if (g_hash_table_size(e->blockers) == 0)
		gang_reserve(e->gang, now_ms);
	scheduler_follow(s, e, now_ms);
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
			log_decision(s, e, &d);
			start_gang(s, e, &d, now_ms);
		} else if (e) {
			end_job(s, e, JOB_REFUSED, d.placement.reason, now_ms);
			scheduler_follow(s, e, now_ms);
		}
		job_decision_clear(&d);
	} while (status != STATUS_NOT_FOUND);
}

/* Takes a recovered gang's resources, as guaranteed where that holds. */
static void assign_recovered(struct scheduler *s, struct job_entry *e,
			     int64_t now_ms)
{
	struct pool_job job = job_record_pool_job(&e->record);
	struct placement p;
	enum status status;

	placement_init(&p);
	for (guint i = 0; i < e->record.placement->len; i++)
		g_ptr_array_add(p.workers,
				g_strdup(e->record.placement->pdata[i]));
	p.is_guaranteed = TRUE;
	status = pool_assign(s->pool, &job, &p, now_ms);
	if (status == STATUS_CONFLICT) {
		p.is_guaranteed = FALSE;
		status = pool_assign(s->pool, &job, &p, now_ms);
	}
	if (status != STATUS_OK) {
		struct log_line line;

		log_begin(&line, LOG_LEVEL_WARN, "recovered_unaccounted");
		log_str(&line, "job", e->record.id);
		log_str(&line, "status", status_name(status));
		log_end(&line);
	}
	placement_clear(&p);
}

static void adopt(struct scheduler *s, struct job_entry *e, int64_t now_ms)
{
	struct log_line line;

	assign_recovered(s, e, now_ms);
	gang_adopt(e->gang, now_ms);
	if (e->record.is_cancelled)
		gang_abort(e->gang, GANG_OUTCOME_CANCELLED, "", now_ms);
	log_begin(&line, LOG_LEVEL_INFO, "recovered");
	log_str(&line, "job", e->record.id);
	log_int(&line, "attempt", e->gang->attempt);
	log_str(&line, "gang", gang_state_name(e->gang->state));
	log_end(&line);
	scheduler_follow(s, e, now_ms);
}

static void take_recovered(struct scheduler *s, struct job_entry *e,
			   int64_t now_ms)
{
	if (e->gang) {
		adopt(s, e, now_ms);
	} else if (e->record.state == JOB_QUEUED && e->record.is_cancelled) {
		end_job(s, e, JOB_CANCELLED, "cancelled by caller", now_ms);
		scheduler_follow(s, e, now_ms);
	} else if (e->record.state == JOB_QUEUED) {
		scheduler_queue(s, e);
	}
}

static gboolean is_recovered(const struct scheduler *s)
{
	GHashTableIter iter;
	gpointer item;

	if (!s->is_scanned || !s->has_workers)
		return FALSE;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct worker_contact *c = item;

		if (!c->is_current && !c->is_lost)
			return FALSE;
	}
	return TRUE;
}

static void finish_recovery(struct scheduler *s, int64_t now_ms)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter iter;
	gpointer item;

	s->phase = SCHEDULER_ACTIVE;
	s->recoveries++;
	s->recovery_ms = now_ms - s->recovery_since_ms;
	guarantee_watch_restart(s->unmet, now_ms);
	s->needs_decision = TRUE;
	log_phase(s);
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		((struct worker_contact *)item)->is_due = TRUE;
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		g_ptr_array_add(all, item);
	for (guint i = 0; i < all->len; i++)
		take_recovered(s, all->pdata[i], now_ms);
	g_ptr_array_unref(all);
}

void scheduler_on_scanned(struct scheduler *s, enum status status,
			  int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

	if (s->phase != SCHEDULER_RECOVERING || s->is_scanned)
		return;
	if (status != STATUS_OK) {
		s->ops->scan_rows(s->data);
		return;
	}
	s->is_scanned = TRUE;
	/* Only reports from now on are matched with the rows. */
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct worker_contact *c = item;

		c->is_current = FALSE;
		c->next_call_ms = MIN(c->next_call_ms, now_ms);
		if (c->is_fenced)
			c->next_call_ms =
				MAX(now_ms,
				    c->fenced_ms + WORKER_REPORT_LAG_MS + 1);
	}
	scheduler_finish_event(s, now_ms);
}

void scheduler_finish_event(struct scheduler *s, int64_t now_ms)
{
	if (s->phase == SCHEDULER_RECOVERING && is_recovered(s))
		finish_recovery(s, now_ms);
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
		scheduler_queue(s, e);
	scheduler_follow(s, e, now_ms);
}

static void tick_entries(struct scheduler *s, int64_t now_ms)
{
	struct job_entry *old = NULL;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		tick_entry(s, item, now_ms);
		if (!old && job_entry_is_old(item, wall_ms(s, now_ms), now_ms))
			old = item;
	}
	if (old)
		scheduler_delete(s, old);
	if (now_ms < s->next_decision_ms)
		return;
	s->needs_decision = TRUE;
	scheduler_update_usable(s, now_ms);
	guarantee_watch_update(s->unmet, s->pool, now_ms);
}

static void on_stray(const char *worker, const char *task, void *data)
{
	struct scheduler *s = data;
	struct worker_contact *c = scheduler_contact(s, worker);
	struct log_line line;

	if (!c)
		return;
	log_begin(&line, LOG_LEVEL_WARN, "caretaker_stop");
	log_str(&line, "worker", worker);
	log_str(&line, "task", task);
	log_end(&line);
	g_ptr_array_add(c->orphans, g_strdup(task));
	c->is_due = TRUE;
}

void scheduler_tick(struct scheduler *s, int64_t now_ms, int64_t wall)
{
	s->wall_offset_ms = wall - now_ms;
	scheduler_check_workers(s, now_ms);
	if (s->phase == SCHEDULER_ACTIVE)
		tick_entries(s, now_ms);
	if (s->phase == SCHEDULER_CARETAKER)
		caretaker_review(s->caretaker, now_ms, on_stray, s);
	scheduler_finish_event(s, now_ms);
}

void scheduler_foreach_unmet(const struct scheduler *s,
			     void (*fn)(const char *place, const char *problem,
					int64_t since_ms, void *data),
			     void *data)
{
	guarantee_watch_foreach(s->unmet, fn, data);
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
	stats->renew_ms = worker_renew_period_ms(s->listed_workers);
	stats->lease_ms = scheduler_lease_ms(s);
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct worker_contact *c = item;

		stats->usable_workers += c->is_usable ? 1 : 0;
		stats->aside_workers += c->is_aside ? 1 : 0;
	}
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		stats->gangs += ((struct job_entry *)item)->gang ? 1 : 0;
}
