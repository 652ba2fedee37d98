#include "request/routing/routing.h"

/** Random draws before all endpoints of the list are checked. */
#define SAMPLE_TRIES 8

static const struct routing_policy_class *const classes[] = {
	&routing_random_class,
	&routing_round_robin_class,
	&routing_least_in_flight_class,
	&routing_power_of_two_class,
};

struct routing_policy *routing_policy_new(const char *name)
{
	for (guint i = 0; i < G_N_ELEMENTS(classes); i++) {
		struct routing_policy *p;

		if (!g_str_equal(classes[i]->name, name))
			continue;
		p = classes[i]->create();
		p->class = classes[i];
		return p;
	}
	return NULL;
}

const char *const *routing_policy_names(void)
{
	static const char *names[G_N_ELEMENTS(classes) + 1];

	for (guint i = 0; i < G_N_ELEMENTS(classes); i++)
		names[i] = classes[i]->name;
	return names;
}

static gboolean was_tried(const struct routing_query *q,
			  const struct endpoint *e)
{
	for (uint32_t i = 0; i < q->tried_count; i++) {
		if (q->tried[i] == e)
			return TRUE;
	}
	return FALSE;
}

gboolean routing_is_eligible(struct endpoint_table *t, struct endpoint *e,
			     const struct routing_query *q)
{
	t->inspections++;
	return !was_tried(q, e) && endpoint_table_update_room(t, e, q->now_ms);
}

/*
 * Checks every endpoint of a list, from the end: the check may remove the
 * endpoint from the list and move the last one, already checked, to its place.
 */
static struct endpoint *find_eligible(struct endpoint_table *t, GPtrArray *list,
				      const struct routing_query *q)
{
	for (guint i = list->len; i-- > 0;) {
		struct endpoint *e = g_ptr_array_index(list, i);

		if (routing_is_eligible(t, e, q))
			return e;
	}
	return NULL;
}

struct endpoint *routing_sample(struct endpoint_table *t, GPtrArray *list,
				const struct routing_query *q, GRand *rand)
{
	for (int i = 0; i < SAMPLE_TRIES && list->len > 0; i++) {
		gint32 index = g_rand_int_range(rand, 0, (gint32)list->len);
		struct endpoint *e = g_ptr_array_index(list, index);

		if (routing_is_eligible(t, e, q))
			return e;
	}
	return find_eligible(t, list, q);
}

void routing_choose(struct routing_policy *p, struct endpoint_table *t,
		    const struct routing_query *q, GRand *rand,
		    struct routing_choice *out)
{
	*out = (struct routing_choice){ .reason = "no endpoint has room" };
	p->class->choose(p, t, ENDPOINT_LOCAL, q, rand, out);
	if (out->endpoint || !q->may_spill)
		return;
	p->class->choose(p, t, ENDPOINT_REMOTE, q, rand, out);
	if (out->endpoint)
		out->reason = "own failure domain has no room";
}
