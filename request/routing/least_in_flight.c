#include "request/routing/routing.h"

/* Scans all endpoints and compares only this process's requests in flight. */
static void choose(struct routing_policy *p, struct endpoint_table *t,
		   enum endpoint_reach reach, const struct routing_query *q,
		   GRand *rand, struct routing_choice *out)
{
	struct endpoint *best = NULL;

	for (guint i = 0; i < t->endpoints->len; i++) {
		struct endpoint *e = g_ptr_array_index(t->endpoints, i);

		if (e->reach != reach || !routing_is_eligible(t, e, q))
			continue;
		if (best && e->in_flight >= best->in_flight)
			continue;
		out->runner_up = best;
		best = e;
	}
	out->endpoint = best;
	if (best)
		out->reason = "least in flight";
}

static struct routing_policy *create(void)
{
	return g_new0(struct routing_policy, 1);
}

const struct routing_policy_class routing_least_in_flight_class = {
	.name = "least_in_flight",
	.choose = choose,
	.create = create,
};
