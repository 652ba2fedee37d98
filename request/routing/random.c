#include "request/routing/routing.h"

static void choose(struct routing_policy *p, struct endpoint_table *t,
		   enum endpoint_reach reach, const struct routing_query *q,
		   GRand *rand, struct routing_choice *out)
{
	out->endpoint = routing_sample(t, reach, q, rand);
	if (out->endpoint)
		out->reason = "random";
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
