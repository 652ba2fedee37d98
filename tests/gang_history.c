#include "tests/gang_history.h"

#include "base/util.h"
#include "job/task_name.h"

static void event_clear(gpointer data)
{
	struct gang_event *e = data;

	g_free(e->task);
	g_free(e->event);
}

GArray *gang_history_new(void)
{
	GArray *events = g_array_new(FALSE, TRUE, sizeof(struct gang_event));

	g_array_set_clear_func(events, event_clear);
	return events;
}

void gang_history_add(GArray *events, int64_t time_ms, const char *task,
		      const char *event)
{
	struct gang_event e = { time_ms, g_strdup(task), g_strdup(event) };

	g_array_append_val(events, e);
}

static gint compare_events(gconstpointer a, gconstpointer b)
{
	const struct gang_event *x = a;
	const struct gang_event *y = b;

	return (x->time_ms > y->time_ms) - (x->time_ms < y->time_ms);
}

void gang_history_sort(GArray *events)
{
	g_array_sort(events, compare_events);
}

/** What the histories say of one attempt of a gang so far. */
struct seen_attempt {
	int64_t members;
	GHashTable *reserved; /**< tasks, ever */
	GHashTable *started;  /**< tasks, ever */
	GHashTable *running;
	GHashTable *done;
	int64_t partial_since_ms; /**< 0 while whole or not running */
	int64_t worst_ms;
};

/** What they say of one job. */
struct seen_job {
	GHashTable *attempts; /**< number to struct seen_attempt */
	struct seen_attempt *current;
};

static void seen_attempt_free(gpointer data)
{
	struct seen_attempt *a = data;

	g_hash_table_unref(a->reserved);
	g_hash_table_unref(a->started);
	g_hash_table_unref(a->running);
	g_hash_table_unref(a->done);
	g_free(a);
}

static void seen_job_free(gpointer data)
{
	struct seen_job *j = data;

	g_hash_table_unref(j->attempts);
	g_free(j);
}

static GHashTable *task_set(void)
{
	return g_hash_table_new(g_str_hash, g_str_equal);
}

static struct seen_job *find_job(GHashTable *jobs, const char *id)
{
	struct seen_job *j = g_hash_table_lookup(jobs, id);

	if (j)
		return j;
	j = g_new0(struct seen_job, 1);
	j->attempts =
		g_hash_table_new_full(NULL, NULL, NULL, seen_attempt_free);
	g_hash_table_insert(jobs, g_strdup(id), j);
	return j;
}

static struct seen_attempt *find_attempt(struct seen_job *j,
					 const struct task_name *name)
{
	gpointer key = GINT_TO_POINTER((gint)name->attempt);
	struct seen_attempt *a = g_hash_table_lookup(j->attempts, key);

	if (a)
		return a;
	a = g_new0(struct seen_attempt, 1);
	a->members = name->members;
	a->reserved = task_set();
	a->started = task_set();
	a->running = task_set();
	a->done = task_set();
	g_hash_table_insert(j->attempts, key, a);
	return a;
}

static gboolean ends_run(const char *event)
{
	static const char *const ends[] = { "stopped", "failed", "lapsed",
					    "done",    "killed", "checkpointed",
					    NULL };

	return g_strv_contains(ends, event);
}

static void measure_partial(struct seen_attempt *a, int64_t now_ms)
{
	guint alive = g_hash_table_size(a->running);
	gboolean is_partial =
		alive && alive + g_hash_table_size(a->done) < a->members;

	if (a->partial_since_ms)
		a->worst_ms = MAX(a->worst_ms, now_ms - a->partial_since_ms);
	if (!is_partial)
		a->partial_since_ms = 0;
	else if (!a->partial_since_ms)
		a->partial_since_ms = now_ms;
}

static char *take_start(struct seen_job *j, struct seen_attempt *a,
			const struct gang_event *e)
{
	GHashTableIter iter;
	gpointer other;

	if (!g_hash_table_add(a->started, e->task))
		return g_strdup_printf("started twice: %s", e->task);
	if (g_hash_table_size(a->reserved) < a->members)
		return g_strdup_printf("started before all were reserved: %s",
				       e->task);
	g_hash_table_iter_init(&iter, j->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &other)) {
		const struct seen_attempt *o = other;

		if (o != a && g_hash_table_size(o->running))
			return g_strdup_printf("two attempts at once: %s",
					       e->task);
	}
	g_hash_table_add(a->running, e->task);
	return NULL;
}

static char *take_event(GHashTable *jobs, const struct gang_event *e)
{
	struct task_name name = { 0 };
	struct seen_attempt *a;
	struct seen_job *j;
	char *fault = NULL;

	if (!task_name_parse(e->task, &name))
		return g_strdup_printf("bad name %s", e->task);
	j = find_job(jobs, name.job);
	a = find_attempt(j, &name);
	if (g_str_equal(e->event, "reserved"))
		g_hash_table_add(a->reserved, e->task);
	else if (g_str_equal(e->event, "started"))
		fault = take_start(j, a, e);
	else if (ends_run(e->event))
		g_hash_table_remove(a->running, e->task);
	if (g_str_equal(e->event, "done"))
		g_hash_table_add(a->done, e->task);
	measure_partial(a, e->time_ms);
	task_name_clear(&name);
	return fault;
}

static char *check_bound(GHashTable *jobs, int64_t bound_ms)
{
	GHashTableIter iter;
	gpointer id;
	gpointer job;

	g_hash_table_iter_init(&iter, jobs);
	while (g_hash_table_iter_next(&iter, &id, &job)) {
		GHashTableIter attempts;
		gpointer attempt;

		g_hash_table_iter_init(&attempts,
				       ((struct seen_job *)job)->attempts);
		while (g_hash_table_iter_next(&attempts, NULL, &attempt)) {
			struct seen_attempt *a = attempt;

			measure_partial(a, util_wall_ms());
			if (a->worst_ms > bound_ms)
				return g_strdup_printf(
					"%s ran in part for %" G_GINT64_FORMAT
					" ms",
					(const char *)id, a->worst_ms);
		}
	}
	return NULL;
}

char *gang_history_check(const GArray *events, int64_t bound_ms)
{
	GHashTable *jobs = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, seen_job_free);
	char *fault = NULL;

	for (guint i = 0; i < events->len && !fault; i++)
		fault = take_event(
			jobs, &g_array_index(events, struct gang_event, i));
	if (!fault)
		fault = check_bound(jobs, bound_ms);
	g_hash_table_unref(jobs);
	return fault;
}
