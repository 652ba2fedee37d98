#include "daemon/claim_store.h"

#include "base/util.h"
#include "request/claim.h"

#define MAX_BATCH_ROWS 64

struct pending_write {
	char *key;
	int64_t expected_version;
	json_object *value;
	claim_write_fn fn; /**< NULL after claim_store_forget() */
	void *data;
};

struct claim_store {
	struct platform *platform;
	GQueue waiting;		/**< of struct pending_write */
	GPtrArray *batch;	/**< of struct pending_write, being committed */
	int64_t last_commit_ms; /**< monotonic clock, start of transaction */
	int64_t commit_interval_ms; /**< minimum time between transactions */
	guint timer;
	struct counter *commits;
	struct counter *rows;
};

static void commit_batch(struct claim_store *s);

static void pending_write_free(gpointer data)
{
	struct pending_write *w = data;

	g_free(w->key);
	json_object_put(w->value);
	g_free(w);
}

struct claim_store *claim_store_new(struct platform *platform,
				    struct counters *counters)
{
	struct claim_store *s = g_new0(struct claim_store, 1);

	s->platform = platform;
	g_queue_init(&s->waiting);
	s->batch = g_ptr_array_new();
	s->commits = counters_counter(counters, "claim_commits",
				      "transactions on the table claims");
	s->rows = counters_counter(counters, "claim_rows",
				   "rows written to the table claims");
	claim_store_set_gateways(s, 1);
	return s;
}

void claim_store_free(struct claim_store *s)
{
	platform_forget(s->platform, s);
	if (s->timer)
		g_source_remove(s->timer);
	g_queue_clear_full(&s->waiting, pending_write_free);
	g_ptr_array_set_free_func(s->batch, pending_write_free);
	g_ptr_array_unref(s->batch);
	g_free(s);
}

void claim_store_set_gateways(struct claim_store *s, uint32_t count)
{
	s->commit_interval_ms = MS_PER_S * MAX(count, 1) / CLAIM_COMMITS_PER_S;
}

static gboolean on_commit_due(gpointer data)
{
	struct claim_store *s = data;

	s->timer = 0;
	commit_batch(s);
	return G_SOURCE_REMOVE;
}

static void schedule_commit(struct claim_store *s)
{
	int64_t due_ms = s->last_commit_ms + s->commit_interval_ms;
	int64_t wait_ms = MAX(due_ms - util_monotonic_ms(), 0);

	if (s->batch->len > 0 || s->timer || g_queue_is_empty(&s->waiting))
		return;
	s->timer = g_timeout_add((guint)wait_ms, on_commit_due, s);
}

static void pending_write_finish(struct pending_write *w, enum status status,
				 int64_t version)
{
	if (w->fn)
		w->fn(status, version, w->data);
	pending_write_free(w);
}

static int64_t find_version(const struct platform_result *result,
			    const char *key)
{
	for (guint i = 0; i < result->row_count; i++) {
		if (g_str_equal(result->rows[i].key, key))
			return result->rows[i].version;
	}
	return 0;
}

static gboolean batch_has(GPtrArray *batch, const char *key)
{
	for (guint i = 0; key && i < batch->len; i++) {
		struct pending_write *w = g_ptr_array_index(batch, i);

		if (g_str_equal(w->key, key))
			return TRUE;
	}
	return FALSE;
}

/*
 * Fails only the write of the conflicting row and commits the others again.
 * Without a known row in conflict, all writes of the batch are unknown.
 */
static void on_conflict(struct claim_store *s, GPtrArray *batch,
			const char *conflict_key)
{
	gboolean is_known = batch_has(batch, conflict_key);

	for (guint i = batch->len; i > 0; i--) {
		struct pending_write *w = g_ptr_array_index(batch, i - 1);

		if (!is_known)
			pending_write_finish(w, STATUS_UNKNOWN, 0);
		else if (g_str_equal(w->key, conflict_key))
			pending_write_finish(w, STATUS_CONFLICT, 0);
		else
			g_queue_push_head(&s->waiting, w);
	}
}

static void on_commit(const struct platform_result *result, void *data)
{
	struct claim_store *s = data;
	GPtrArray *batch = s->batch;

	s->batch = g_ptr_array_new();
	if (result->status == STATUS_CONFLICT) {
		on_conflict(s, batch, result->conflict_key);
	} else {
		for (guint i = 0; i < batch->len; i++) {
			struct pending_write *w = g_ptr_array_index(batch, i);

			pending_write_finish(w, result->status,
					     find_version(result, w->key));
		}
	}
	g_ptr_array_unref(batch);
	schedule_commit(s);
}

static void commit_batch(struct claim_store *s)
{
	struct table_write writes[MAX_BATCH_ROWS];
	guint count = 0;

	while (count < MAX_BATCH_ROWS && !g_queue_is_empty(&s->waiting)) {
		struct pending_write *w = g_queue_pop_head(&s->waiting);

		g_ptr_array_add(s->batch, w);
		writes[count++] = (struct table_write){
			.table = CLAIM_TABLE,
			.key = w->key,
			.expected_version = w->expected_version,
			.value = w->value,
		};
	}
	s->last_commit_ms = util_monotonic_ms();
	counter_add(s->commits, 1);
	counter_add(s->rows, count);
	platform_commit(s->platform, writes, count, on_commit, s);
}

void claim_store_write(struct claim_store *s, const char *key,
		       int64_t expected_version, json_object *value,
		       claim_write_fn fn, void *data)
{
	struct pending_write *w = g_new0(struct pending_write, 1);

	w->key = g_strdup(key);
	w->expected_version = expected_version;
	w->value = value;
	w->fn = fn;
	w->data = data;
	g_queue_push_tail(&s->waiting, w);
	schedule_commit(s);
}

void claim_store_read(struct claim_store *s, const char *key, platform_fn fn,
		      void *data)
{
	platform_read(s->platform, CLAIM_TABLE, key, fn, data);
}

void claim_store_forget(struct claim_store *s, const void *data)
{
	platform_forget(s->platform, data);
	for (GList *l = s->waiting.head; l; l = l->next) {
		struct pending_write *w = l->data;

		if (w->data == data)
			w->fn = NULL;
	}
	for (guint i = 0; i < s->batch->len; i++) {
		struct pending_write *w = g_ptr_array_index(s->batch, i);

		if (w->data == data)
			w->fn = NULL;
	}
}
