#include "request/routing/routing.h"

/* Prefers fewer slots in use by anyone, then the lower latency. */
static gboolean is_better(const struct endpoint *a, const struct endpoint *b)
{
	uint32_t busy_a = endpoint_busy_slots(a);
	uint32_t busy_b = endpoint_busy_slots(b);

	if (busy_a != busy_b)
		return busy_a < busy_b;
	return a->latency_us < b->latency_us;
}

static void choose_of_two(struct endpoint_table *t, GPtrArray *list,
			  const struct routing_query *q, GRand *rand,
			  struct routing_choice *out)
{
	struct endpoint *first = routing_sample(t, list, q, rand);
	struct endpoint *second;

	if (!first)
		return;
	second = routing_sample(t, list, q, rand);
	if (second == first)
		second = NULL;
	out->endpoint = first;
	out->runner_up = second;
	if (!second || !is_better(second, first))
		return;
	out->endpoint = second;
	out->runner_up = first;
}

/* Tries the own share first, as no other process competes for its slots. */
static void choose(struct routing_policy *p, struct endpoint_table *t,
		   enum endpoint_reach reach, const struct routing_query *q,
		   GRand *rand, struct routing_choice *out)
{
	GPtrArray **lists = t->by_room;

	if (reach == ENDPOINT_REMOTE) {
		choose_of_two(t, lists[ENDPOINT_ROOM_REMOTE], q, rand, out);
		return;
	}
	choose_of_two(t, lists[ENDPOINT_ROOM_OWN], q, rand, out);
	out->reason = "fewest slots in use of two, own share";
	if (out->endpoint)
		return;
	choose_of_two(t, lists[ENDPOINT_ROOM_BORROWED], q, rand, out);
	out->reason =
		"fewest slots in use of two, unused share of other gateways";
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
