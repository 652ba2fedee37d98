#include "entry/peer_list.h"

#include "entry/delegate_row.h"

static void peer_free(gpointer data)
{
	struct peer *p = data;

	g_free(p->node);
	g_free(p->address);
	g_free(p->failure_domain);
	g_free(p);
}

void peer_list_init(struct peer_list *l, const char *self,
		    const char *failure_domain)
{
	*l = (struct peer_list){
		.self = g_strdup(self),
		.failure_domain = g_strdup(failure_domain),
		.peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       peer_free),
	};
}

void peer_list_clear(struct peer_list *l)
{
	g_hash_table_unref(l->peers);
	g_free(l->self);
	g_free(l->failure_domain);
	*l = (struct peer_list){ 0 };
}

void peer_list_begin_scan(struct peer_list *l)
{
	l->scan++;
}

void peer_list_add(struct peer_list *l, const char *node, json_object *row)
{
	struct delegate_row vm;
	struct peer *p;

	if (!delegate_row_decode(row, &vm) || !vm.forward ||
	    g_str_equal(node, l->self))
		return;
	p = g_hash_table_lookup(l->peers, node);
	if (!p || !g_str_equal(p->address, vm.forward)) {
		p = g_new0(struct peer, 1);
		p->node = g_strdup(node);
		p->address = g_strdup(vm.forward);
		g_hash_table_replace(l->peers, p->node, p);
	}
	g_free(p->failure_domain);
	p->failure_domain = g_strdup(vm.failure_domain);
	p->cpu_share = vm.cpu_share;
	p->seen_scan = l->scan;
}

static gboolean is_unlisted(gpointer key, gpointer value, gpointer data)
{
	const struct peer_list *l = data;

	return ((const struct peer *)value)->seen_scan != l->scan;
}

void peer_list_end_scan(struct peer_list *l)
{
	g_hash_table_foreach_remove(l->peers, is_unlisted, l);
}

static gboolean is_tried(const GPtrArray *tried, const char *node)
{
	for (guint i = 0; i < tried->len; i++) {
		if (g_str_equal(tried->pdata[i], node))
			return TRUE;
	}
	return FALSE;
}

/* Chooses among the peers that are in this VM's failure domain, or not. */
static struct peer *pick(const struct peer_list *l, const GPtrArray *tried,
			 gboolean is_own_domain, int64_t now_ms, GRand *rng)
{
	struct peer *chosen = NULL;
	double total = 0;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, l->peers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct peer *p = item;

		if (now_ms < p->avoid_until_ms || is_tried(tried, p->node) ||
		    g_str_equal(p->failure_domain, l->failure_domain) !=
			    is_own_domain)
			continue;
		total += p->cpu_share;
		/* Each peer so far is kept with its share of the total. */
		if (g_rand_double(rng) * total < p->cpu_share)
			chosen = p;
	}
	return chosen;
}

struct peer *peer_list_pick(const struct peer_list *l, const GPtrArray *tried,
			    int64_t now_ms, GRand *rng)
{
	gboolean prefers_own = tried->len == 0;
	struct peer *p = pick(l, tried, prefers_own, now_ms, rng);

	return p ? p : pick(l, tried, !prefers_own, now_ms, rng);
}

void peer_list_avoid(struct peer_list *l, const char *node, int64_t until_ms)
{
	struct peer *p = g_hash_table_lookup(l->peers, node);

	if (p)
		p->avoid_until_ms = MAX(p->avoid_until_ms, until_ms);
}
