#include "job/guarantee_watch.h"

#include "job/pool_state.h"

struct unheld {
	char *problem;
	int64_t since_ms;
	guint64 round;
};

struct guarantee_watch {
	GHashTable *unheld; /* place to struct unheld */
	GHashTable *back;   /* place to int64_t: held again since */
	int64_t began_ms;
	guint64 round;
};

static void unheld_free(gpointer data)
{
	struct unheld *u = data;

	g_free(u->problem);
	g_free(u);
}

struct guarantee_watch *guarantee_watch_new(void)
{
	struct guarantee_watch *w = g_new0(struct guarantee_watch, 1);

	w->unheld = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  unheld_free);
	w->back =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return w;
}

void guarantee_watch_free(struct guarantee_watch *w)
{
	g_hash_table_unref(w->back);
	g_hash_table_unref(w->unheld);
	g_free(w);
}

static void note(struct guarantee_watch *w, const struct finding *f,
		 int64_t now_ms)
{
	struct unheld *u = g_hash_table_lookup(w->unheld, f->place);

	if (!u) {
		u = g_new0(struct unheld, 1);
		u->since_ms = now_ms;
		g_hash_table_insert(w->unheld, g_strdup(f->place), u);
	}
	g_free(u->problem);
	u->problem = g_strdup(f->problem);
	u->round = w->round;
}

/* Takes off what is held again, with the time. */
static void take_back(struct guarantee_watch *w, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer place;
	gpointer value;

	g_hash_table_iter_init(&iter, w->unheld);
	while (g_hash_table_iter_next(&iter, &place, &value)) {
		if (((struct unheld *)value)->round == w->round)
			continue;
		g_hash_table_insert(w->back, g_strdup(place),
				    g_memdup2(&now_ms, sizeof(now_ms)));
		g_hash_table_iter_remove(&iter);
	}
}

void guarantee_watch_update(struct guarantee_watch *w, const struct pool *pool,
			    int64_t now_ms)
{
	struct finding_list findings;

	finding_list_init(&findings);
	w->round++;
	if (pool->unheld > 0)
		pool_check_guarantees(pool, &findings);
	for (guint i = 0; i < finding_list_count(&findings); i++)
		note(w, finding_list_get(&findings, i), now_ms);
	take_back(w, now_ms);
	finding_list_clear(&findings);
}

void guarantee_watch_restart(struct guarantee_watch *w, int64_t now_ms)
{
	g_hash_table_remove_all(w->back);
	w->began_ms = now_ms;
}

const char *guarantee_watch_find(const struct guarantee_watch *w,
				 const char *place, int64_t *since_ms)
{
	const struct unheld *u = g_hash_table_lookup(w->unheld, place);
	const int64_t *back = g_hash_table_lookup(w->back, place);

	*since_ms = back ? *back : w->began_ms;
	if (!u)
		return NULL;
	*since_ms = u->since_ms;
	return u->problem;
}

void guarantee_watch_foreach(const struct guarantee_watch *w,
			     void (*fn)(const char *place, const char *problem,
					int64_t since_ms, void *data),
			     void *data)
{
	GHashTableIter iter;
	gpointer place;
	gpointer value;

	g_hash_table_iter_init(&iter, w->unheld);
	while (g_hash_table_iter_next(&iter, &place, &value)) {
		const struct unheld *u = value;

		fn(place, u->problem, u->since_ms, data);
	}
}

guint guarantee_watch_count(const struct guarantee_watch *w)
{
	return g_hash_table_size(w->unheld);
}
