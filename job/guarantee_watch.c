#include "job/guarantee_watch.h"

#include "job/pool_state.h"

/* A guarantee that is not held. */
struct unheld_guarantee {
	char *problem;
	int64_t since_ms;
	guint64 last_update; /* the last one that found the problem */
};

struct guarantee_watch {
	GHashTable *unheld;	 /* place to struct unheld_guarantee */
	GHashTable *restored_ms; /* place to int64_t: when it was held again */
	int64_t restarted_ms;
	guint64 updates; /* number of updates so far */
};

static void unheld_guarantee_free(gpointer data)
{
	struct unheld_guarantee *u = data;

	g_free(u->problem);
	g_free(u);
}

struct guarantee_watch *guarantee_watch_new(void)
{
	struct guarantee_watch *w = g_new0(struct guarantee_watch, 1);

	w->unheld = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  unheld_guarantee_free);
	w->restored_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return w;
}

void guarantee_watch_free(struct guarantee_watch *w)
{
	g_hash_table_unref(w->restored_ms);
	g_hash_table_unref(w->unheld);
	g_free(w);
}

static void record_problem(struct guarantee_watch *w, const struct finding *f,
			   int64_t now_ms)
{
	struct unheld_guarantee *u = g_hash_table_lookup(w->unheld, f->place);

	if (!u) {
		u = g_new0(struct unheld_guarantee, 1);
		u->since_ms = now_ms;
		g_hash_table_insert(w->unheld, g_strdup(f->place), u);
	}
	g_free(u->problem);
	u->problem = g_strdup(f->problem);
	u->last_update = w->updates;
}

/* Moves guarantees that this update found no problem with to restored_ms. */
static void move_restored(struct guarantee_watch *w, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer place;
	gpointer value;

	g_hash_table_iter_init(&iter, w->unheld);
	while (g_hash_table_iter_next(&iter, &place, &value)) {
		if (((struct unheld_guarantee *)value)->last_update ==
		    w->updates)
			continue;
		g_hash_table_insert(w->restored_ms, g_strdup(place),
				    g_memdup2(&now_ms, sizeof(now_ms)));
		g_hash_table_iter_remove(&iter);
	}
}

void guarantee_watch_update(struct guarantee_watch *w, const struct pool *pool,
			    int64_t now_ms)
{
	struct finding_list findings;

	finding_list_init(&findings);
	w->updates++;
	if (pool->unplanned_slots > 0)
		pool_check_guarantees(pool, &findings);
	for (guint i = 0; i < finding_list_kept(&findings); i++)
		record_problem(w, finding_list_get(&findings, i), now_ms);
	move_restored(w, now_ms);
	finding_list_clear(&findings);
}

void guarantee_watch_restart(struct guarantee_watch *w, int64_t now_ms)
{
	g_hash_table_remove_all(w->restored_ms);
	w->restarted_ms = now_ms;
}

const char *guarantee_watch_find(const struct guarantee_watch *w,
				 const char *place, int64_t *since_ms)
{
	const struct unheld_guarantee *u =
		g_hash_table_lookup(w->unheld, place);
	const int64_t *restored = g_hash_table_lookup(w->restored_ms, place);

	*since_ms = restored ? *restored : w->restarted_ms;
	if (!u)
		return NULL;
	*since_ms = u->since_ms;
	return u->problem;
}

void guarantee_watch_foreach_unheld(const struct guarantee_watch *w,
				    void (*fn)(const char *place,
					       const char *problem,
					       int64_t since_ms, void *data),
				    void *data)
{
	GHashTableIter iter;
	gpointer place;
	gpointer value;

	g_hash_table_iter_init(&iter, w->unheld);
	while (g_hash_table_iter_next(&iter, &place, &value)) {
		const struct unheld_guarantee *u = value;

		fn(place, u->problem, u->since_ms, data);
	}
}

guint guarantee_watch_count_unheld(const struct guarantee_watch *w)
{
	return g_hash_table_size(w->unheld);
}
