#include "job/guarantee_watch.h"

#include "job/pool_state.h"

struct unheld {
	char *problem;
	int64_t since_ms;
	guint64 round;
};

struct guarantee_watch {
	GHashTable *unheld; /* place to struct unheld */
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
	return w;
}

void guarantee_watch_free(struct guarantee_watch *w)
{
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

static gboolean is_outdated(gpointer key, gpointer value, gpointer data)
{
	const struct unheld *u = value;
	const struct guarantee_watch *w = data;

	return u->round != w->round;
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
	g_hash_table_foreach_remove(w->unheld, is_outdated, w);
	finding_list_clear(&findings);
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
