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

void gang_history_add(GArray *events, int64_t time_us, const char *task,
		      const char *event)
{
	struct gang_event e = { time_us, g_strdup(task), g_strdup(event) };

	g_array_append_val(events, e);
}

static gint compare_events(gconstpointer a, gconstpointer b)
{
	const struct gang_event *x = a;
	const struct gang_event *y = b;

	return (x->time_us > y->time_us) - (x->time_us < y->time_us);
}

void gang_history_sort(GArray *events)
{
	g_array_sort(events, compare_events);
}

/** State of one attempt of a gang after the events so far. */
struct attempt_history {
	int64_t members;      /**< count */
	GHashTable *reserved; /**< tasks that were ever reserved */
	GHashTable *started;  /**< tasks that were ever started */
	GHashTable *running;
	GHashTable *done;
	int64_t partial_since_ms; /**< 0 while complete or not running */
	int64_t max_partial_ms;	  /**< longest time of partial running */
};

/** State of one job after the events so far. */
struct job_history {
	GHashTable *attempts; /**< number to struct attempt_history */
	struct attempt_history *current;
};

static void attempt_history_free(gpointer data)
{
	struct attempt_history *a = data;

	g_hash_table_unref(a->reserved);
	g_hash_table_unref(a->started);
	g_hash_table_unref(a->running);
	g_hash_table_unref(a->done);
	g_free(a);
}

static void job_history_free(gpointer data)
{
	struct job_history *j = data;

	g_hash_table_unref(j->attempts);
	g_free(j);
}

static GHashTable *task_set(void)
{
	return g_hash_table_new(g_str_hash, g_str_equal);
}

static struct job_history *find_job(GHashTable *jobs, const char *id)
{
	struct job_history *j = g_hash_table_lookup(jobs, id);

	if (j)
		return j;
	j = g_new0(struct job_history, 1);
	j->attempts =
		g_hash_table_new_full(NULL, NULL, NULL, attempt_history_free);
	g_hash_table_insert(jobs, g_strdup(id), j);
	return j;
}

static struct attempt_history *find_attempt(struct job_history *j,
					    const struct task_name *name)
{
	gpointer key = GINT_TO_POINTER((gint)name->attempt);
	struct attempt_history *a = g_hash_table_lookup(j->attempts, key);

	if (a)
		return a;
	a = g_new0(struct attempt_history, 1);
	a->members = name->members;
	a->reserved = task_set();
	a->started = task_set();
	a->running = task_set();
	a->done = task_set();
	g_hash_table_insert(j->attempts, key, a);
	return a;
}

static gboolean is_end_event(const char *event)
{
	static const char *const ends[] = { "stopped", "failed", "lapsed",
					    "done",    "killed", "checkpointed",
					    NULL };

	return g_strv_contains(ends, event);
}

static void measure_partial(struct attempt_history *a, int64_t now_ms)
{
	guint running = g_hash_table_size(a->running);
	gboolean is_partial =
		running && running + g_hash_table_size(a->done) < a->members;

	if (a->partial_since_ms)
		a->max_partial_ms =
			MAX(a->max_partial_ms, now_ms - a->partial_since_ms);
	if (!is_partial)
		a->partial_since_ms = 0;
	else if (!a->partial_since_ms)
		a->partial_since_ms = now_ms;
}

static char *apply_start(struct job_history *j, struct attempt_history *a,
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
		const struct attempt_history *o = other;

		if (o != a && g_hash_table_size(o->running))
			return g_strdup_printf("two attempts at once: %s",
					       e->task);
	}
	g_hash_table_add(a->running, e->task);
	return NULL;
}

static char *apply_event(GHashTable *jobs, const struct gang_event *e)
{
	struct task_name name = { 0 };
	struct attempt_history *a;
	struct job_history *j;
	char *violation = NULL;

	if (!task_name_parse(e->task, &name))
		return g_strdup_printf("invalid task name: %s", e->task);
	j = find_job(jobs, name.job);
	a = find_attempt(j, &name);
	if (g_str_equal(e->event, "reserved"))
		g_hash_table_add(a->reserved, e->task);
	else if (g_str_equal(e->event, "started"))
		violation = apply_start(j, a, e);
	else if (is_end_event(e->event))
		g_hash_table_remove(a->running, e->task);
	if (g_str_equal(e->event, "done"))
		g_hash_table_add(a->done, e->task);
	measure_partial(a, e->time_us / US_PER_MS);
	task_name_clear(&name);
	return violation;
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
				       ((struct job_history *)job)->attempts);
		while (g_hash_table_iter_next(&attempts, NULL, &attempt)) {
			struct attempt_history *a = attempt;

			measure_partial(a, util_wall_ms());
			if (a->max_partial_ms > bound_ms)
				return g_strdup_printf(
					"%s ran partially for %" G_GINT64_FORMAT
					" ms",
					(const char *)id, a->max_partial_ms);
		}
	}
	return NULL;
}

char *gang_history_check(const GArray *events, int64_t bound_ms)
{
	GHashTable *jobs = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, job_history_free);
	char *violation = NULL;

	for (guint i = 0; i < events->len && !violation; i++)
		violation = apply_event(
			jobs, &g_array_index(events, struct gang_event, i));
	if (!violation)
		violation = check_bound(jobs, bound_ms);
	g_hash_table_unref(jobs);
	return violation;
}
