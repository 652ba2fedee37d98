#include "job/placement/placement.h"

#include "job/placement/cells.h"
#include "job/placement/first_fit.h"
#include "job/placement/quota.h"

struct policy_entry {
	const struct placement_policy_class *class;
};

static const struct policy_entry policies[] = {
	{ &cells_policy },
	{ &first_fit_policy },
	{ &quota_policy },
	{ &backfill_policy },
};

struct placement_policy *placement_policy_new(const char *name)
{
	for (guint i = 0; i < G_N_ELEMENTS(policies); i++) {
		struct placement_policy *p;

		if (!g_str_equal(policies[i].class->name, name))
			continue;
		p = g_new0(struct placement_policy, 1);
		p->class = policies[i].class;
		return p;
	}
	return NULL;
}

void placement_policy_free(struct placement_policy *p)
{
	if (p)
		p->class->free(p);
}

enum status placement_policy_place(struct placement_policy *p,
				   struct pool *pool,
				   const struct pool_job *job, int64_t now_ms,
				   struct placement *out)
{
	char *reason = NULL;

	if (!pool_could_fit(pool, &job->shape, &reason)) {
		g_free(out->reason);
		out->reason = reason;
		return STATUS_REFUSED;
	}
	return p->class->place(p, pool, job, now_ms, out);
}

const char *const *placement_policy_names(void)
{
	static const char *names[G_N_ELEMENTS(policies) + 1];

	for (guint i = 0; i < G_N_ELEMENTS(policies); i++)
		names[i] = policies[i].class->name;
	return names;
}
