#include "request/routing/routing.h"

static void choose(struct routing_policy *p, struct endpoint_table *t,
		   enum endpoint_reach reach, const struct routing_query *q,
		   GRand *rand, struct routing_choice *out)
{
	struct endpoint *e;

	for (guint i = 0; i < t->endpoints->len; i++) {
		e = routing_sample(t, t->endpoints, q, rand);
		if (!e || e->reach != reach)
			continue;
		out->endpoint = e;
		out->reason = "random";
		return;
	}
}

static struct routing_policy *create(void)
{
	return g_new0(struct routing_policy, 1);
}

const struct routing_policy_class routing_random_class = {
	.name = "random",
	.choose = choose,
	.create = create,
};
