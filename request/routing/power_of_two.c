#include "request/routing/routing.h"

/* Of two, the one with fewer slots in use by anyone, else the faster one. */
static gboolean is_better(const struct endpoint *a, const struct endpoint *b)
{
	uint32_t busy_a = endpoint_busy(a);
	uint32_t busy_b = endpoint_busy(b);

	if (busy_a != busy_b)
		return busy_a < busy_b;
	return a->latency_us < b->latency_us;
}

static void choose(struct routing_policy *p, struct endpoint_table *t,
		   enum endpoint_reach reach, const struct routing_query *q,
		   GRand *rand, struct routing_choice *out)
{
	struct endpoint *first = routing_sample(t, reach, q, rand);
	struct endpoint *second;

	if (!first)
		return;
	second = routing_sample(t, reach, q, rand);
	if (second == first)
		second = NULL;
	out->endpoint = first;
	out->reason = "only one sampled";
	if (!second)
		return;
	out->reason = "fewer slots in use of two";
	out->runner_up = second;
	if (!is_better(second, first))
		return;
	out->endpoint = second;
	out->runner_up = first;
}

static struct routing_policy *create(void)
{
	return g_new0(struct routing_policy, 1);
}

const struct routing_policy_class routing_power_of_two_class = {
	.name = "power_of_two",
	.choose = choose,
	.create = create,
};
