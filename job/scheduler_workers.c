/*
 * A scheduler's workers. Each has at most one call in flight, which carries all
 * due commands and renews all leases on the worker.
 */
#include "job/scheduler_state.h"

#include "base/log.h"
#include "base/wake_plan.h"
#include "job/task_name.h"

struct worker_contact *scheduler_find_contact(struct scheduler *s,
					      const char *name)
{
	return g_hash_table_lookup(s->workers, name);
}

int64_t scheduler_lease_ms(const struct scheduler *s)
{
	return worker_lease_ms(s->listed_workers, scheduler_peers(s));
}

/*
 * A worker that is not listed may have its lease from an older holder. The
 * period, and so the lease, is longest without shared renewals.
 */
int64_t scheduler_longest_lease_ms(const struct scheduler *s)
{
	return worker_lease_ms(s->listed_workers, 1);
}

static struct worker_contact *add_contact(struct scheduler *s, const char *name,
					  const char *address, int64_t now_ms)
{
	struct worker_contact *c = worker_contact_new(name, address, now_ms);

	g_hash_table_insert(s->workers, c->name, c);
	return c;
}

/* Adds a worker that a row names but the platform does not list. */
static struct worker_contact *add_unlisted(struct scheduler *s,
					   const char *name, int64_t now_ms)
{
	struct worker_contact *c = add_contact(s, name, NULL, now_ms);

	c->is_lost = TRUE;
	c->unlisted_ms = now_ms;
	return c;
}

void scheduler_add_tasks(struct scheduler *s, struct job_entry *e,
			 int64_t now_ms)
{
	for (guint i = 0; i < e->gang->members->len; i++) {
		const struct gang_member *m =
			&g_array_index(e->gang->members, struct gang_member, i);
		struct worker_contact *c = scheduler_find_contact(s, m->worker);
		struct member_ref *ref = g_new0(struct member_ref, 1);

		if (!c)
			c = add_unlisted(s, m->worker, now_ms);
		/*
		 * Makes the worker list its tasks even if they are unchanged,
		 * since the new task was not matched with them yet.
		 */
		c->last_command_ms = now_ms;
		ref->entry = e;
		ref->member = i;
		g_hash_table_insert(c->tasks, g_strdup(m->task), ref);
	}
}

void scheduler_remove_tasks(struct scheduler *s, struct job_entry *e)
{
	for (guint i = 0; e->gang && i < e->gang->members->len; i++) {
		const struct gang_member *m =
			&g_array_index(e->gang->members, struct gang_member, i);
		struct worker_contact *c = scheduler_find_contact(s, m->worker);

		if (c)
			g_hash_table_remove(c->tasks, m->task);
	}
}

void scheduler_mark_calls_due(struct scheduler *s, const struct job_entry *e)
{
	enum worker_op ops[2];

	for (guint i = 0; i < e->gang->members->len; i++) {
		const struct gang_member *m =
			&g_array_index(e->gang->members, struct gang_member, i);
		struct worker_contact *c = scheduler_find_contact(s, m->worker);

		if (c && gang_member_ops(e->gang, i, ops))
			c->is_call_due = TRUE;
	}
}

static void log_worker(const struct scheduler *s, const char *event,
		       const struct worker_contact *c)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, event);
	log_str(&line, "pool", s->pool_name);
	log_str(&line, "worker", c->name);
	log_int(&line, "epoch", s->epoch);
	log_end(&line);
}

static void update_usable(struct scheduler *s, struct worker_contact *c,
			  int64_t now_ms)
{
	gboolean is_usable;

	c->is_quarantined =
		worker_health_is_quarantined(s->health, c->name, now_ms);
	is_usable = worker_contact_is_usable(c) && !c->is_quarantined;
	if (c->is_usable == is_usable)
		return;
	c->is_usable = is_usable;
	pool_set_worker_usable(s->pool, c->name, is_usable);
	log_worker(s, is_usable ? "worker_usable" : "worker_not_usable", c);
	s->needs_decision = TRUE;
}

/* Returns each job with a task on the worker, once; the caller unrefs it. */
static GPtrArray *list_entries_on(const struct worker_contact *c)
{
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer ref;

	g_hash_table_iter_init(&iter, c->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &ref)) {
		struct job_entry *e = ((struct member_ref *)ref)->entry;

		if (g_hash_table_add(seen, e))
			g_ptr_array_add(list, e);
	}
	g_hash_table_unref(seen);
	return list;
}

void scheduler_update_usable(struct scheduler *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		update_usable(s, item, now_ms);
}

static void on_contact_event(struct scheduler *s, struct worker_contact *c,
			     enum contact_event event, int64_t now_ms)
{
	GPtrArray *entries = list_entries_on(c);

	log_worker(s,
		   event == CONTACT_EVENT_LOST ? "worker_lost"
					       : "worker_expired",
		   c);
	if (s->caretaker)
		caretaker_on_lost(s->caretaker, c->name);
	/*
	 * During recovery scheduler_update_entry() does nothing; the gangs are
	 * handled once all reports are in.
	 */
	for (guint i = 0; i < entries->len; i++) {
		struct job_entry *e = entries->pdata[i];

		if (event == CONTACT_EVENT_EXPIRED)
			gang_on_worker_expired(e->gang, c->name, now_ms);
		else
			gang_on_worker_lost(e->gang, c->name, now_ms);
		scheduler_update_entry(s, e, now_ms);
	}
	g_ptr_array_unref(entries);
	update_usable(s, c, now_ms);
}

/*
 * A worker may be forgotten after it has left the platform's list, no task can
 * run on it and no job has a task there. Without a role no worker is called and
 * none expires, so expiry is not required then.
 */
int64_t scheduler_forget_ms(const struct scheduler *s,
			    const struct worker_contact *c)
{
	gboolean has_role =
		s->phase != SCHEDULER_IDLE && s->phase != SCHEDULER_FENCED;

	if (c->is_listed || c->is_in_flight || (has_role && !c->is_expired) ||
	    g_hash_table_size(c->tasks) > 0)
		return WAKE_NEVER;
	return c->unlisted_ms + s->impossible_grace_ms;
}

static void forget_worker(struct scheduler *s, struct worker_contact *c,
			  int64_t now_ms)
{
	if (pool_remove_worker(s->pool, c->name) == STATUS_CONFLICT) {
		c->unlisted_ms = now_ms; /* retry after the grace */
		return;
	}
	log_worker(s, "worker_forgotten", c);
	worker_health_forget_worker(s->health, c->name);
	g_hash_table_remove(s->workers, c->name);
}

void scheduler_check_workers(struct scheduler *s, int64_t now_ms)
{
	int64_t lease_ms = scheduler_longest_lease_ms(s);
	GHashTableIter iter;
	gpointer item;
	GPtrArray *all = g_ptr_array_new();

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		g_ptr_array_add(all, item);
	for (guint i = 0; i < all->len; i++) {
		enum contact_event event =
			worker_contact_check(all->pdata[i], lease_ms, now_ms);

		if (event != CONTACT_EVENT_NONE)
			on_contact_event(s, all->pdata[i], event, now_ms);
	}
	for (guint i = 0; i < all->len; i++) {
		if (now_ms >= scheduler_forget_ms(s, all->pdata[i]))
			forget_worker(s, all->pdata[i], now_ms);
	}
	g_ptr_array_unref(all);
}

static void update_listed(struct scheduler *s, const struct listed_worker *w,
			  int64_t now_ms)
{
	struct worker_contact *c = scheduler_find_contact(s, w->spec.name);

	if (!c)
		c = add_contact(s, w->spec.name, w->spec.address, now_ms);
	if (!c->is_listed)
		pool_add_worker(s->pool, &w->spec);
	if (!c->is_listed && !c->is_usable)
		pool_set_worker_usable(s->pool, c->name, FALSE);
	if (g_strcmp0(c->address, w->spec.address) != 0) {
		g_free(c->address);
		c->address = g_strdup(w->spec.address);
		worker_health_forget_worker(s->health, c->name);
	}
	worker_contact_set_listed(c, TRUE, w->is_leaving, now_ms);
	update_usable(s, c, now_ms);
}

static GHashTable *worker_names(const struct listed_worker *workers,
				guint count)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < count; i++)
		g_hash_table_add(names, (gpointer)workers[i].spec.name);
	return names;
}

void scheduler_on_worker_list(struct scheduler *s,
			      const struct listed_worker *workers, guint count,
			      int64_t now_ms)
{
	GHashTable *names = worker_names(workers, count);
	GHashTableIter iter;
	gpointer item;

	s->has_worker_list = TRUE;
	s->listed_workers = count;
	s->is_share_stale = TRUE;
	for (guint i = 0; i < count; i++)
		update_listed(s, &workers[i], now_ms);
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct worker_contact *c = item;

		if (g_hash_table_contains(names, c->name) || !c->is_listed)
			continue;
		worker_contact_set_listed(c, FALSE, TRUE, now_ms);
		update_usable(s, c, now_ms);
	}
	g_hash_table_unref(names);
	scheduler_finish_event(s, now_ms);
}

static void append_command(struct worker_contact *c, struct worker_call *call,
			   enum worker_op op, const char *task,
			   const struct job_record *r)
{
	struct worker_command command = { .op = op, .task = g_strdup(task) };
	struct sent_command sent = { op, g_strdup(task) };

	if (r && (op == WORKER_RESERVE || op == WORKER_START)) {
		command.accelerators = r->shape.accelerators;
		command.cores = r->shape.cores;
		command.memory_mb = r->shape.memory_mb;
		command.run_ms = r->remaining_ms ? r->remaining_ms : r->run_ms;
	}
	g_array_append_val(call->commands, command);
	g_array_append_val(c->sent_commands, sent);
}

static void append_commands(struct worker_contact *c, struct worker_call *call)
{
	enum worker_op ops[2];
	GHashTableIter iter;
	gpointer task;
	gpointer item;

	g_hash_table_iter_init(&iter, c->tasks);
	while (g_hash_table_iter_next(&iter, &task, &item)) {
		const struct member_ref *ref = item;
		struct job_entry *e = ref->entry;
		guint count = gang_member_ops(e->gang, ref->member, ops);

		for (guint i = 0; i < count; i++)
			append_command(c, call, ops[i], task, &e->record);
	}
	for (guint i = 0; i < c->orphans->len; i++) {
		append_command(c, call, WORKER_STOP, c->orphans->pdata[i],
			       NULL);
		append_command(c, call, WORKER_RELEASE, c->orphans->pdata[i],
			       NULL);
	}
	g_ptr_array_set_size(c->orphans, 0);
}

static void send_call(struct scheduler *s, struct worker_contact *c,
		      int64_t now_ms)
{
	struct worker_call call;

	worker_call_init(&call, s->pool_name, s->epoch, s->node,
			 scheduler_lease_ms(s));
	g_array_set_size(c->sent_commands, 0);
	if (s->phase != SCHEDULER_RECOVERING)
		append_commands(c, &call);
	if (s->phase == SCHEDULER_ACTIVE && !c->sent_commands->len &&
	    worker_contact_is_settled(c))
		call.known = g_strdup(c->worker_digest);
	worker_contact_on_sent(c, ++s->last_call_id, scheduler_lease_ms(s),
			       now_ms);
	s->ops->call_worker(c->name, c->address, c->call_id, &call, s->data);
	worker_call_clear(&call);
}

void scheduler_send_calls(struct scheduler *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

	if (s->phase == SCHEDULER_IDLE || s->phase == SCHEDULER_FENCED)
		return;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct worker_contact *c = item;

		if (c->address && worker_contact_wants_call(c, now_ms))
			send_call(s, c, now_ms);
	}
}

static void apply_results(struct worker_contact *c,
			  const struct worker_report *report, int64_t now_ms)
{
	for (guint i = 0; i < report->results->len && i < c->sent_commands->len;
	     i++) {
		const struct worker_result *result = &g_array_index(
			report->results, struct worker_result, i);
		const struct sent_command *sent = &g_array_index(
			c->sent_commands, struct sent_command, i);
		const struct member_ref *ref =
			g_hash_table_lookup(c->tasks, sent->task);

		if (ref && g_str_equal(result->task, sent->task))
			gang_on_result(ref->entry->gang, ref->member, sent->op,
				       result->is_refused != 0, now_ms);
	}
}

/*
 * Stops a task that belongs to no current attempt of a job. Its attempt number
 * is recorded, also before the scheduler is active, so that it isn't used
 * again.
 */
static void stop_orphan_task(struct scheduler *s, struct worker_contact *c,
			     const struct worker_task *t)
{
	struct task_name name = { 0 };
	struct job_entry *e;

	if (t->state != TASK_RESERVED && t->state != TASK_RUNNING)
		return;
	if (task_name_parse(t->task, &name)) {
		e = g_hash_table_lookup(s->entries, name.job);
		if (e)
			e->last_attempt = MAX(e->last_attempt, name.attempt);
		task_name_clear(&name);
	}
	if (s->phase != SCHEDULER_ACTIVE)
		return;
	g_ptr_array_add(c->orphans, g_strdup(t->task));
	c->is_call_due = TRUE;
}

static void apply_absent_tasks(struct worker_contact *c, GHashTable *seen,
			       int64_t as_of_ms, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer task;
	gpointer item;

	g_hash_table_iter_init(&iter, c->tasks);
	while (g_hash_table_iter_next(&iter, &task, &item)) {
		const struct member_ref *ref = item;

		if (!g_hash_table_contains(seen, task))
			gang_on_task_missing(ref->entry->gang, ref->member,
					     as_of_ms, now_ms);
	}
}

static void apply_tasks(struct scheduler *s, struct worker_contact *c,
			const struct worker_report *report, int64_t as_of_ms,
			int64_t now_ms)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < report->tasks->len; i++) {
		const struct worker_task *t =
			&g_array_index(report->tasks, struct worker_task, i);
		const struct member_ref *ref =
			g_hash_table_lookup(c->tasks, t->task);

		g_hash_table_add(seen, t->task);
		if (ref)
			gang_on_task(ref->entry->gang, ref->member,
				     (enum task_state)t->state, t->remaining_ms,
				     now_ms);
		else
			stop_orphan_task(s, c, t);
	}
	apply_absent_tasks(c, seen, as_of_ms, now_ms);
	g_hash_table_unref(seen);
}

/* Applies a report that lists the tasks. */
static void apply_report(struct scheduler *s, struct worker_contact *c,
			 const struct worker_report *report, int64_t now_ms)
{
	GPtrArray *entries = list_entries_on(c);

	worker_contact_on_tasks(c, report);
	if (s->caretaker)
		caretaker_on_report(s->caretaker, c->name, report->tasks);
	apply_results(c, report, now_ms);
	apply_tasks(s, c, report, c->as_of_ms, now_ms);
	for (guint i = 0; i < entries->len; i++)
		scheduler_update_entry(s, entries->pdata[i], now_ms);
	g_ptr_array_unref(entries);
}

static void on_answer(struct scheduler *s, struct worker_contact *c,
		      const struct worker_report *report, int64_t now_ms)
{
	int64_t period_ms =
		worker_renew_period_ms(s->listed_workers, scheduler_peers(s));

	worker_contact_on_answer(c, period_ms, now_ms);
	if (report && !report->is_unchanged)
		apply_report(s, c, report, now_ms);
	update_usable(s, c, now_ms);
}

void scheduler_on_worker_answer(struct scheduler *s, const char *worker,
				int64_t call_id, enum worker_answer answer,
				const struct worker_report *report,
				int64_t now_ms)
{
	struct worker_contact *c = scheduler_find_contact(s, worker);

	if (!c || !c->is_in_flight || c->call_id != call_id)
		return;
	if (answer == WORKER_ANSWERED) {
		on_answer(s, c, report, now_ms);
	} else {
		worker_contact_on_failure(c, now_ms);
		if (answer == WORKER_STALE_EPOCH)
			scheduler_set_fenced(s, c->name);
	}
	scheduler_finish_event(s, now_ms);
}
