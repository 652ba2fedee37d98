#include "job/caretaker.h"

#include "job/task_name.h"

/** One attempt of a gang, assembled from the workers' reports. */
struct reported_gang {
	int64_t members;
	int64_t running; /**< running tasks, counted in this review */
	/** Names of done tasks, kept since workers report them only briefly. */
	GHashTable *done_tasks;
	int64_t partial_since_ms; /**< 0 while complete */
};

struct caretaker {
	GHashTable *reports; /**< worker to GArray of struct worker_task */
	GHashTable *gangs;   /**< JOB/ATTEMPT to struct reported_gang */
};

static void reported_gang_free(gpointer data)
{
	struct reported_gang *g = data;

	g_hash_table_unref(g->done_tasks);
	g_free(g);
}

static void task_clear(gpointer data)
{
	g_free(((struct worker_task *)data)->task);
}

struct caretaker *caretaker_new(void)
{
	struct caretaker *c = g_new0(struct caretaker, 1);

	c->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)g_array_unref);
	c->gangs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 reported_gang_free);
	return c;
}

void caretaker_free(struct caretaker *c)
{
	g_hash_table_unref(c->reports);
	g_hash_table_unref(c->gangs);
	g_free(c);
}

void caretaker_on_report(struct caretaker *c, const char *worker,
			 const GArray *tasks)
{
	GArray *copy = g_array_sized_new(
		FALSE, TRUE, sizeof(struct worker_task), tasks->len);

	g_array_set_clear_func(copy, task_clear);
	for (guint i = 0; i < tasks->len; i++) {
		struct worker_task t =
			g_array_index(tasks, struct worker_task, i);

		t.task = g_strdup(t.task);
		g_array_append_val(copy, t);
	}
	g_hash_table_insert(c->reports, g_strdup(worker), copy);
}

void caretaker_on_lost(struct caretaker *c, const char *worker)
{
	g_hash_table_remove(c->reports, worker);
}

static struct reported_gang *find_gang(struct caretaker *c, const char *task)
{
	struct task_name name = { 0 };
	struct reported_gang *g;
	char *key;

	if (!task_name_parse(task, &name))
		return NULL;
	key = g_strdup_printf("%s/%" G_GINT64_FORMAT, name.job, name.attempt);
	g = g_hash_table_lookup(c->gangs, key);
	if (!g) {
		g = g_new0(struct reported_gang, 1);
		g->members = name.members;
		g->done_tasks = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, NULL);
		g_hash_table_insert(c->gangs, key, g);
	} else {
		g_free(key);
	}
	task_name_clear(&name);
	return g;
}

static void count_task(struct caretaker *c, const struct worker_task *t)
{
	struct reported_gang *g = find_gang(c, t->task);

	if (!g)
		return;
	if (t->state == TASK_RUNNING)
		g->running++;
	else if (t->state == TASK_DONE)
		g_hash_table_add(g->done_tasks, g_strdup(t->task));
}

typedef void (*task_fn)(struct caretaker *c, const char *worker,
			const struct worker_task *t, void *data);

static void for_each_task(struct caretaker *c, task_fn fn, void *data)
{
	GHashTableIter iter;
	gpointer worker;
	gpointer tasks;

	g_hash_table_iter_init(&iter, c->reports);
	while (g_hash_table_iter_next(&iter, &worker, &tasks)) {
		const GArray *a = tasks;

		for (guint i = 0; i < a->len; i++)
			fn(c, worker, &g_array_index(a, struct worker_task, i),
			   data);
	}
}

static void count_task_cb(struct caretaker *c, const char *worker,
			  const struct worker_task *t, void *data)
{
	count_task(c, t);
}

static void reset_counts(struct caretaker *c)
{
	GHashTableIter iter;
	gpointer gang;

	g_hash_table_iter_init(&iter, c->gangs);
	while (g_hash_table_iter_next(&iter, NULL, &gang))
		((struct reported_gang *)gang)->running = 0;
}

static void update_partial_gangs(struct caretaker *c, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer gang;

	g_hash_table_iter_init(&iter, c->gangs);
	while (g_hash_table_iter_next(&iter, NULL, &gang)) {
		struct reported_gang *g = gang;

		int64_t done = g_hash_table_size(g->done_tasks);
		if (g->running + done >= g->members)
			g->partial_since_ms = 0;
		else if (!g->partial_since_ms)
			g->partial_since_ms = now_ms;
	}
}

struct review {
	int64_t now_ms;
	caretaker_fn fn;
	void *data;
};

static void stop_if_partial(struct caretaker *c, const char *worker,
			    const struct worker_task *t, void *data)
{
	const struct review *r = data;
	const struct reported_gang *g = find_gang(c, t->task);
	gboolean can_run =
		t->state == TASK_RUNNING || t->state == TASK_RESERVED;

	if (!g || !can_run || !g->partial_since_ms)
		return;
	if (r->now_ms - g->partial_since_ms >= CARETAKER_PARTIAL_TIMEOUT_MS)
		r->fn(worker, t->task, r->data);
}

void caretaker_review(struct caretaker *c, int64_t now_ms, caretaker_fn fn,
		      void *data)
{
	struct review r = { now_ms, fn, data };

	reset_counts(c);
	for_each_task(c, count_task_cb, NULL);
	update_partial_gangs(c, now_ms);
	for_each_task(c, stop_if_partial, &r);
}
