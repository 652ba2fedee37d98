#include "job/placement/reclaim.h"

/* Factor on the loss of urgent jobs, so that they are chosen last. */
#define URGENT_LOSS_FACTOR 1000

static const struct resources no_resources = { 0, 0, 0 };

void reclaim_init(struct reclaim *r, struct pool *pool,
		  const struct pool_job *job, int64_t now_ms,
		  may_stop_fn may_stop, const void *data)
{
	*r = (struct reclaim){ .pool = pool,
			       .job = job,
			       .now_ms = now_ms,
			       .may_stop = may_stop,
			       .data = data,
			       .victims = g_ptr_array_new() };
}

void reclaim_clear(struct reclaim *r)
{
	g_ptr_array_unref(r->victims);
}

gboolean reclaim_is_borrowed(const struct running_job *r, const void *data)
{
	return !r->is_guaranteed;
}

gboolean reclaim_is_borrowed_not_urgent(const struct running_job *r,
					const void *data)
{
	return !r->is_guaranteed && r->job.class != JOB_CLASS_URGENT;
}

/* Returns the weighted loss of stopping a job, in accelerator milliseconds. */
static int64_t loss_of(const struct running_job *r, int64_t now_ms)
{
	int64_t lost_ms = MAX(now_ms - r->started_ms, 0);
	int64_t weight =
		MAX(shape_accelerators(&r->job.shape), 1) * (1 + r->job.stops);

	if (r->job.is_checkpointable)
		lost_ms = MIN(lost_ms, CHECKPOINT_LOSS_MS);
	if (r->job.class == JOB_CLASS_URGENT)
		weight *= URGENT_LOSS_FACTOR;
	return (lost_ms + 1) * weight;
}

struct resources reclaim_room(const struct reclaim *r,
			      const struct worker_cell *w)
{
	struct resources room = resources_minus(w->capacity, w->used);

	for (guint i = 0; i < w->jobs->len; i++) {
		const struct running_job *j = w->jobs->pdata[i];

		if (!j->is_stopping && r->may_stop(j, r->data))
			room = resources_plus(
				room, resources_of_member(&j->job.shape));
	}
	return w->is_usable ? room : no_resources;
}

/* Returns TRUE if the current trial counts a job as stopped. */
static gboolean is_chosen(const struct reclaim *r, const struct running_job *j)
{
	return j->trial_id == r->pool->trial_id;
}

/* Marks a job as stopped or not on those of its workers in the trial. */
static void mark_stopped(struct reclaim *r, struct running_job *j,
			 gboolean is_stopped)
{
	struct resources amount = resources_of_member(&j->job.shape);

	j->trial_id = is_stopped ? r->pool->trial_id : 0;
	for (guint i = 0; i < j->workers->len; i++) {
		struct worker_cell *w = j->workers->pdata[i];

		if (w->trial_id != r->pool->trial_id)
			continue;
		w->trial_room =
			is_stopped ? resources_plus(w->trial_room, amount)
				   : resources_minus(w->trial_room, amount);
	}
}

/* Returns the cheapest job to stop on a worker, or NULL. */
static struct running_job *find_cheapest(const struct reclaim *r,
					 const struct worker_cell *w)
{
	struct running_job *best = NULL;
	int64_t best_loss = 0;

	for (guint i = 0; i < w->jobs->len; i++) {
		struct running_job *j = w->jobs->pdata[i];
		int64_t loss;

		r->pool->visits++;
		if (j->is_stopping || is_chosen(r, j) ||
		    !r->may_stop(j, r->data))
			continue;
		loss = loss_of(j, r->now_ms);
		if (best && loss >= best_loss)
			continue;
		best = j;
		best_loss = loss;
	}
	return best;
}

/* Marks the cheapest jobs on a worker as stopped until its members fit. */
static gboolean make_room(struct reclaim *r, struct worker_cell *w)
{
	while (!resources_fit(no_resources, w->trial_room)) {
		struct running_job *j = find_cheapest(r, w);

		if (!j)
			return FALSE;
		mark_stopped(r, j, TRUE);
		g_ptr_array_add(r->victims, j);
	}
	return TRUE;
}

/* Returns TRUE, with @j kept running, if there is room without stopping it. */
static gboolean is_unneeded(struct reclaim *r, struct running_job *j)
{
	mark_stopped(r, j, FALSE);
	for (guint i = 0; i < j->workers->len; i++) {
		const struct worker_cell *w = j->workers->pdata[i];

		if (w->trial_id == r->pool->trial_id &&
		    !resources_fit(no_resources, w->trial_room)) {
			mark_stopped(r, j, TRUE);
			return FALSE;
		}
	}
	return TRUE;
}

static void drop_unneeded(struct reclaim *r)
{
	for (guint i = 0; i < r->victims->len;) {
		if (is_unneeded(r, r->victims->pdata[i]))
			g_ptr_array_remove_index(r->victims, i);
		else
			i++;
	}
}

/* Adds jobs that are being stopped already if the room depends on them. */
static void add_stopping(struct reclaim *r, const struct worker_cell *w)
{
	if (resources_fit(w->stopping, w->trial_room))
		return;
	for (guint i = 0; i < w->jobs->len; i++) {
		struct running_job *j = w->jobs->pdata[i];

		if (!j->is_stopping || is_chosen(r, j))
			continue;
		j->trial_id = r->pool->trial_id;
		g_ptr_array_add(r->victims, j);
	}
}

/* Starts a trial with all members placed and no job stopped. */
static void begin_trial(struct reclaim *r, const GPtrArray *workers)
{
	struct resources need = resources_of_member(&r->job->shape);

	r->pool->trial_id++;
	g_ptr_array_set_size(r->victims, 0);
	r->loss = 0;
	for (guint i = 0; i < workers->len; i++) {
		struct worker_cell *w = workers->pdata[i];

		if (w->trial_id != r->pool->trial_id) {
			w->trial_id = r->pool->trial_id;
			w->trial_room = resources_minus(w->capacity, w->used);
		}
		w->trial_room = resources_minus(w->trial_room, need);
		r->pool->visits++;
	}
}

gboolean reclaim_choose_victims(struct reclaim *r, const GPtrArray *workers)
{
	begin_trial(r, workers);
	for (guint i = 0; i < workers->len; i++) {
		struct worker_cell *w = workers->pdata[i];

		if (!w->is_usable || !make_room(r, w))
			return FALSE;
	}
	drop_unneeded(r);
	for (guint i = 0; i < r->victims->len; i++)
		r->loss += loss_of(r->victims->pdata[i], r->now_ms);
	for (guint i = 0; i < workers->len; i++)
		add_stopping(r, workers->pdata[i]);
	return TRUE;
}

void reclaim_list_victims(const struct reclaim *r, struct placement *out)
{
	for (guint i = 0; i < r->victims->len; i++) {
		const struct running_job *j = r->victims->pdata[i];

		g_ptr_array_add(out->preempt, g_strdup(j->job.id));
	}
}
