/* Samples of free and stranded accelerators, and checks of the plan. */
#include "bench/sim/job_sim_internal.h"

/*
 * Returns the number of free accelerators on which whole gangs of a shape could
 * start now.
 */
static int64_t count_hostable(const struct job_sim *s,
			      const struct shape *shape)
{
	struct resources need = resources_of_member(shape);
	int64_t in_pool = 0;
	int64_t hostable = 0;

	for (guint i = 0; i < s->pool->racks->len; i++) {
		const struct rack_cell *rack = s->pool->racks->pdata[i];
		int64_t in_rack = 0;

		for (guint k = 0; k < rack->workers->len; k++) {
			int64_t n = resources_fit_count(
				worker_cell_free(rack->workers->pdata[k]),
				need);

			in_rack += n;
			if (shape->adjacency == ADJACENCY_WORKER)
				hostable += n / shape->members * shape->members;
		}
		in_pool += in_rack;
		if (shape->adjacency == ADJACENCY_RACK)
			hostable += in_rack / shape->members * shape->members;
	}
	if (shape->adjacency == ADJACENCY_NONE)
		hostable = in_pool / shape->members * shape->members;
	return hostable * shape->accelerators;
}

/* Sums over the waiting jobs, weighted by their accelerators. */
struct stranding {
	const struct job_sim *sim;
	GHashTable *hostable; /* shape to count_hostable() as pointer */
	int64_t free;	      /* accelerators of the pool */
	double weight;
	double stranded; /* free accelerators that can't host a job */
};

static void add_stranded(const struct pool_job *job, void *data)
{
	struct stranding *x = data;
	double weight = (double)shape_accelerators(&job->shape);
	char *key;
	int64_t n;

	if (weight == 0 || x->free == 0)
		return;
	key = g_strdup_printf("%d/%d/%d/%d", (int)job->shape.members,
			      (int)job->shape.accelerators,
			      (int)job->shape.cores, (int)job->shape.adjacency);
	if (!g_hash_table_contains(x->hostable, key))
		g_hash_table_insert(x->hostable, g_strdup(key),
				    GINT_TO_POINTER((gint)count_hostable(
					    x->sim, &job->shape)));
	n = GPOINTER_TO_INT(g_hash_table_lookup(x->hostable, key));
	g_free(key);
	x->weight += weight;
	x->stranded += weight * (double)(x->free - MIN(n, x->free));
}

static void check_plan(struct job_sim *s)
{
	struct finding_list findings;

	finding_list_init(&findings);
	if (!pool_check_accounting(s->pool, &findings) ||
	    (s->pool->unplanned_slots == 0 &&
	     !pool_check_guarantees(s->pool, &findings)))
		s->stats.invalid_plans++;
	finding_list_clear(&findings);
}

void job_sim_sample(struct job_sim *s, struct job_event *e)
{
	struct stranding x = { .sim = s };
	int64_t usable = 0;

	for (guint i = 0; i < s->pool->workers->len; i++) {
		const struct worker_cell *w = s->pool->workers->pdata[i];

		x.free += MAX(worker_cell_free(w).accelerators, 0);
		usable += w->is_usable ? w->capacity.accelerators : 0;
	}
	x.hostable =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	job_queue_foreach(s->queue, add_stranded, &x);
	g_hash_table_unref(x.hostable);
	s->stats.samples++;
	s->stats.free_sum += (double)x.free / (double)MAX(usable, 1);
	s->stats.used_sum += (double)(usable - x.free) / (double)MAX(usable, 1);
	if (x.weight > 0) {
		s->stats.stranded_sum +=
			x.stranded / x.weight / (double)MAX(usable, 1);
		s->stats.waiting_free_sum +=
			(double)x.free / (double)MAX(usable, 1);
	}
	check_plan(s);
}
