#include "request/routing/routing.h"

struct round_robin {
	struct routing_policy base;
	uint32_t next;
};

static void choose(struct routing_policy *p, struct endpoint_table *t,
		   enum endpoint_reach reach, const struct routing_query *q,
		   GRand *rand, struct routing_choice *out)
{
	struct round_robin *self = (struct round_robin *)p;

	for (guint i = 0; i < t->endpoints->len; i++) {
		guint index = self->next++ % t->endpoints->len;
		struct endpoint *e = g_ptr_array_index(t->endpoints, index);

		if (e->reach != reach || !routing_is_eligible(t, e, q))
			continue;
		out->endpoint = e;
		out->reason = "next in turn";
		return;
	}
}

static struct routing_policy *create(void)
{
	struct round_robin *self = g_new0(struct round_robin, 1);

	return &self->base;
}

const struct routing_policy_class routing_round_robin_class = {
	.name = "round_robin",
	.choose = choose,
	.create = create,
};
