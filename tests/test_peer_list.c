/*
 * Tests the choice of the entry VMs that serve requests for one that the store
 * turns away. Load pattern: a third of 147 VMs in 5 failure domains is turned
 * away while clients keep sending to all of them (khuree-wind-large scale-2,
 * trouble-1, trouble-3).
 */
#include <glib.h>

#include "entry/peer_list.h"

#define DOMAINS 5
#define VMS 147
#define LARGE_VMS 15
#define LARGE_SHARE 0.5
#define SMALL_SHARE 0.12
#define REQUESTS 20000
#define SEED 7
#define NOW_MS 1000

static json_object *row(const char *address, const char *domain, double share)
{
	json_object *json = json_object_new_object();

	if (address)
		json_object_object_add(json, "forward",
				       json_object_new_string(address));
	json_object_object_add(json, "failure_domain",
			       json_object_new_string(domain));
	json_object_object_add(json, "cpu_share",
			       json_object_new_double(share));
	return json;
}

static void add(struct peer_list *l, const char *node, const char *address,
		const char *domain, double share)
{
	json_object *json = row(address, domain, share);

	peer_list_add(l, node, json);
	json_object_put(json);
}

/* Adds VMs "0" to "146" in domains "d0" to "d4"; the first ones are large. */
static void add_fleet(struct peer_list *l)
{
	peer_list_begin_scan(l);
	for (guint i = 0; i < VMS; i++) {
		char *node = g_strdup_printf("%u", i);
		char *address = g_strdup_printf("10.0.0.%u:7015", i);
		char *domain = g_strdup_printf("d%u", i % DOMAINS);

		add(l, node, address, domain,
		    i < LARGE_VMS ? LARGE_SHARE : SMALL_SHARE);
		g_free(node);
		g_free(address);
		g_free(domain);
	}
	peer_list_end_scan(l);
}

static gboolean is_away(const struct peer *p)
{
	return g_ascii_strtoull(p->node, NULL, 10) % 3 == 0;
}

static const struct {
	const char *name;
	gboolean is_domain_away; /* the whole own domain, too */
	guint attempts;
	double served; /* at least this share of the requests */
} outage_cases[] = {
	/* Two thirds of the VMs reach the store. */
	{ "one attempt", FALSE, 1, 0.6 },
	{ "three attempts", FALSE, 3, 0.95 },
	{ "own domain cut off", TRUE, 3, 0.85 },
};

static gboolean is_served(const struct peer_list *l, guint attempts,
			  gboolean is_domain_away, guint *loads, GRand *rng)
{
	GPtrArray *tried = g_ptr_array_new();
	gboolean is_done = FALSE;

	for (guint i = 0; i < attempts && !is_done; i++) {
		struct peer *p = peer_list_pick(l, tried, NOW_MS, rng);

		g_assert_nonnull(p);
		g_assert_cmpstr(p->node, !=, l->self);
		g_ptr_array_add(tried, p->node);
		loads[g_ascii_strtoull(p->node, NULL, 10)]++;
		is_done = !is_away(p) &&
			  !(is_domain_away &&
			    g_str_equal(p->failure_domain, l->failure_domain));
	}
	g_ptr_array_unref(tried);
	return is_done;
}

static void test_outages(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(outage_cases); i++) {
		GRand *rng = g_rand_new_with_seed(SEED);
		guint loads[VMS] = { 0 };
		struct peer_list l;
		guint served = 0;
		guint most = 0;

		g_test_message("%s", outage_cases[i].name);
		peer_list_init(&l, "3", "d3");
		add_fleet(&l);
		for (guint k = 0; k < REQUESTS; k++)
			served += is_served(&l, outage_cases[i].attempts,
					    outage_cases[i].is_domain_away,
					    loads, rng);
		g_assert_cmpfloat(served, >=,
				  outage_cases[i].served * REQUESTS);
		for (guint k = 0; k < VMS; k++)
			most = MAX(most, loads[k]);
		/* No VM gets more than a large one's part of a domain. */
		g_assert_cmpuint(most, <, REQUESTS / 6);
		peer_list_clear(&l);
		g_rand_free(rng);
	}
}

/* Peers of a VM that is alone in its domain, each with one scan. */
static const struct {
	const char *name;
	const char *address; /* NULL for a VM that serves no requests */
	double share;
	gboolean is_avoided;
	gboolean is_picked;
} peer_cases[] = {
	{ "of another domain", "10.0.0.2:1", 1, FALSE, TRUE },
	{ "avoided", "10.0.0.2:1", 1, TRUE, FALSE },
	{ "replaced at another address", "10.0.0.4:1", 1, FALSE, TRUE },
	{ "of an earlier build", NULL, 1, FALSE, FALSE },
	{ "odd share", "10.0.0.2:1", -1, FALSE, FALSE },
};

static void test_peers(void)
{
	GRand *rng = g_rand_new_with_seed(SEED);
	GPtrArray *tried = g_ptr_array_new();
	struct peer_list l;

	peer_list_init(&l, "a", "d1");
	for (guint i = 0; i < G_N_ELEMENTS(peer_cases); i++) {
		struct peer *p;

		g_test_message("%s", peer_cases[i].name);
		peer_list_begin_scan(&l);
		add(&l, "a", "10.0.0.1:1", "d1", 1);
		add(&l, "b", peer_cases[i].address, "d2", peer_cases[i].share);
		peer_list_end_scan(&l);
		if (peer_cases[i].is_avoided) {
			peer_list_avoid(&l, "b", NOW_MS + 10);
			peer_list_avoid(&l, "unknown", NOW_MS + 10);
		}
		p = peer_list_pick(&l, tried, NOW_MS, rng);
		g_assert_cmpstr(p ? p->address : NULL, ==,
				peer_cases[i].is_picked ? peer_cases[i].address
							: NULL);
		if (peer_cases[i].is_avoided)
			g_assert_nonnull(
				peer_list_pick(&l, tried, NOW_MS + 10, rng));
	}
	peer_list_clear(&l);
	g_ptr_array_unref(tried);
	g_rand_free(rng);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peer-list/outages", test_outages);
	g_test_add_func("/peer-list/peers", test_peers);
	return g_test_run();
}
