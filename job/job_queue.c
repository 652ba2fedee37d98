#include "job/job_queue.h"

#include <string.h>

#include "job/pool_state.h"
#include "job/reservation.h"
#include "job/run_time.h"

/* Maximum number of jobs tried in a lane while those before them must wait. */
#define BACKFILL_DEPTH 64
/* A job's rank is delayed by its expected run time divided by this. */
#define RUN_TIME_RANK_DIVISOR 4
/* Delay of the rank of bulk jobs against normal jobs of the same age. */
#define BULK_DELAY_MS (INT64_C(30) * 60 * 1000)
/* Minimum time before the reservation is planned again. */
#define RESERVATION_REFRESH_MS (INT64_C(30) * 1000)

struct waiting_job {
	struct pool_job job; /* strings owned */
	int64_t submitted_ms;
	int64_t rank_ms;	     /* sort key in its lane, least first */
	int64_t impossible_since_ms; /* since when no workers fit, or 0 */
	char *reason;
	gboolean had_no_room; /* the pool had no room at the last try */
	gboolean is_cancelled;
};

/* Waiting jobs of one client account; of all accounts unless QUEUE_FAIR. */
struct lane {
	char *client_account;
	int64_t share;
	GSequence *urgent; /* of struct waiting_job */
	GSequence *others; /* of struct waiting_job */
};

struct job_queue {
	enum queue_discipline discipline;
	GHashTable *waiting; /* id to struct waiting_job */
	GPtrArray *lanes;    /* of struct lane */
	GHashTable *lanes_by_name;
	GHashTable *shares; /* account to share */
	struct run_time *run_time;
	GHashTable *no_room_reasons;   /* no_room_key() to reason */
	uint64_t no_room_pool_version; /* that the reasons are valid for */
	char *reserved_id; /* id of the job with the reservation, or NULL */
	int64_t reservation_planned_ms;
	int64_t impossible_grace_ms;
};

void job_decision_init(struct job_decision *d)
{
	memset(d, 0, sizeof(*d));
	placement_init(&d->placement);
}

void job_decision_clear(struct job_decision *d)
{
	g_free(d->job_id);
	g_free(d->client_account);
	placement_clear(&d->placement);
	memset(d, 0, sizeof(*d));
}

static void waiting_job_free(gpointer data)
{
	struct waiting_job *w = data;

	g_free((char *)w->job.id);
	g_free((char *)w->job.client_account);
	g_free((char *)w->job.family);
	g_free(w->reason);
	g_free(w);
}

static void lane_free(gpointer data)
{
	struct lane *l = data;

	g_sequence_free(l->urgent);
	g_sequence_free(l->others);
	g_free(l->client_account);
	g_free(l);
}

struct job_queue *job_queue_new(enum queue_discipline discipline)
{
	struct job_queue *q = g_new0(struct job_queue, 1);

	q->discipline = discipline;
	q->impossible_grace_ms = JOB_IMPOSSIBLE_GRACE_MS;
	q->waiting = g_hash_table_new(g_str_hash, g_str_equal);
	q->lanes = g_ptr_array_new_with_free_func(lane_free);
	q->lanes_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	q->shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	q->run_time = run_time_new();
	q->no_room_reasons =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return q;
}

void job_queue_free(struct job_queue *q)
{
	g_hash_table_unref(q->waiting);
	g_hash_table_unref(q->lanes_by_name);
	g_ptr_array_unref(q->lanes);
	g_hash_table_unref(q->shares);
	g_hash_table_unref(q->no_room_reasons);
	run_time_free(q->run_time);
	g_free(q->reserved_id);
	g_free(q);
}

static int64_t share_of(const struct job_queue *q, const char *account)
{
	int64_t share =
		GPOINTER_TO_INT(g_hash_table_lookup(q->shares, account));

	return MAX(share, 1);
}

void job_queue_set_impossible_grace(struct job_queue *q, int64_t grace_ms)
{
	q->impossible_grace_ms = grace_ms;
}

void job_queue_set_shares(struct job_queue *q, const struct config_doc *doc)
{
	g_hash_table_remove_all(q->shares);
	for (guint i = 0; i < doc->client_accounts->len; i++) {
		const struct client_account *a = &g_array_index(
			doc->client_accounts, struct client_account, i);

		g_hash_table_insert(q->shares, g_strdup(a->name),
				    GINT_TO_POINTER((gint)a->share));
	}
	for (guint i = 0; i < q->lanes->len; i++) {
		struct lane *l = q->lanes->pdata[i];

		l->share = share_of(q, l->client_account);
	}
}

/* Only QUEUE_FAIR has one lane per account. */
static struct lane *find_lane(struct job_queue *q, const char *account)
{
	const char *name = q->discipline == QUEUE_FAIR ? account : "";
	struct lane *l = g_hash_table_lookup(q->lanes_by_name, name);

	if (l)
		return l;
	l = g_new0(struct lane, 1);
	l->client_account = g_strdup(name);
	l->share = share_of(q, name);
	l->urgent = g_sequence_new(waiting_job_free);
	l->others = g_sequence_new(waiting_job_free);
	g_ptr_array_add(q->lanes, l);
	g_hash_table_insert(q->lanes_by_name, l->client_account, l);
	return l;
}

int64_t job_queue_expected_run_ms(const struct job_queue *q,
				  const struct pool_job *job)
{
	return run_time_expected_ms(q->run_time, job);
}

void job_queue_record_run_time(struct job_queue *q, const struct pool_job *job,
			       int64_t ran_ms)
{
	run_time_record(q->run_time, job, ran_ms);
}

/*
 * Orders a lane. Short jobs come before long ones of about the same age. The
 * rank of a job is fixed, so every waiting job eventually reaches the front.
 */
static gint compare_waiting(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct waiting_job *x = a;
	const struct waiting_job *y = b;

	if (x->rank_ms != y->rank_ms)
		return x->rank_ms < y->rank_ms ? -1 : 1;
	return strcmp(x->job.id, y->job.id);
}

static int64_t rank_ms(const struct job_queue *q, const struct pool_job *job,
		       int64_t submitted_ms)
{
	int64_t rank = submitted_ms;

	if (q->discipline != QUEUE_FAIR || job->class == JOB_CLASS_URGENT)
		return rank;
	rank += job_queue_expected_run_ms(q, job) / RUN_TIME_RANK_DIVISOR;
	if (job->class == JOB_CLASS_BULK)
		rank += BULK_DELAY_MS;
	return rank;
}

enum status job_queue_submit(struct job_queue *q, const struct pool_job *job,
			     int64_t submitted_ms)
{
	struct lane *lane = find_lane(q, job->client_account);
	struct waiting_job *w;
	gboolean is_urgent =
		q->discipline == QUEUE_FAIR && job->class == JOB_CLASS_URGENT;

	if (g_hash_table_contains(q->waiting, job->id))
		return status_fail(STATUS_CONFLICT, "job %s is already queued",
				   job->id);
	w = g_new0(struct waiting_job, 1);
	w->job = *job;
	w->job.id = g_strdup(job->id);
	w->job.client_account = g_strdup(job->client_account);
	w->job.family = g_strdup(job->family);
	w->submitted_ms = submitted_ms;
	w->rank_ms = rank_ms(q, job, submitted_ms);
	w->reason = g_strdup("placement not attempted yet");
	g_sequence_insert_sorted(is_urgent ? lane->urgent : lane->others, w,
				 compare_waiting, NULL);
	g_hash_table_insert(q->waiting, (gpointer)w->job.id, w);
	return STATUS_OK;
}

gboolean job_queue_cancel(struct job_queue *q, const char *job_id)
{
	struct waiting_job *w = g_hash_table_lookup(q->waiting, job_id);

	if (!w)
		return FALSE;
	w->is_cancelled = TRUE;
	g_hash_table_remove(q->waiting, job_id);
	return TRUE;
}

const char *job_queue_reason(const struct job_queue *q, const char *job_id)
{
	const struct waiting_job *w = g_hash_table_lookup(q->waiting, job_id);

	return w ? w->reason : NULL;
}

guint job_queue_length(const struct job_queue *q)
{
	return g_hash_table_size(q->waiting);
}

void job_queue_foreach(const struct job_queue *q,
		       void (*fn)(const struct pool_job *job, void *data),
		       void *data)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, q->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct waiting_job *w = value;

		fn(&w->job, data);
	}
}

/* Arguments of one call of job_queue_decide(). */
struct decision_context {
	struct job_queue *q;
	struct pool *pool;
	struct placement_policy *policy;
	int64_t now_ms;
	struct job_decision *out;
};

/*
 * Jobs with the same key get the same answer until resources are freed. The run
 * time, rounded to a power of two, is part of the key because it decides
 * whether the reservation lets a job run.
 */
static char *no_room_key(const struct job_queue *q, const struct pool_job *job)
{
	gboolean is_reserved =
		q->reserved_id && g_str_equal(q->reserved_id, job->id);
	const struct shape *s = &job->shape;

	return g_strdup_printf(
		"%s/%d/%d/%d/%d/%d/%d/%d/%u", job->client_account, is_reserved,
		job->class == JOB_CLASS_URGENT, (int)s->members,
		(int)s->accelerators, (int)s->cores, (int)s->memory_mb,
		(int)s->adjacency, g_bit_storage(job->expected_run_ms));
}

static void set_reason(struct waiting_job *w, const char *reason)
{
	if (g_str_equal(w->reason, reason))
		return;
	g_free(w->reason);
	w->reason = g_strdup(reason);
}

/*
 * Refuses a job that does not fit the usable workers; if it would fit together
 * with the lost ones, only after a grace in which these may return.
 */
static enum status check_impossible(struct decision_context *d,
				    struct waiting_job *w)
{
	if (!w->impossible_since_ms)
		w->impossible_since_ms = d->now_ms;
	set_reason(w, d->out->placement.reason);
	if (!pool_known_workers_fit(d->pool, &w->job.shape))
		return STATUS_REFUSED;
	if (d->now_ms - w->impossible_since_ms >= d->q->impossible_grace_ms)
		return STATUS_REFUSED;
	return STATUS_FULL;
}

/* Assigns a job to its placement; as borrowed if no guarantee fits there. */
static enum status start_job(struct decision_context *d,
			     const struct pool_job *job)
{
	struct placement *p = &d->out->placement;
	enum status status = pool_assign(d->pool, job, p, d->now_ms);

	if (status == STATUS_CONFLICT && p->is_guaranteed &&
	    p->preempt->len == 0) {
		p->is_guaranteed = FALSE;
		status = pool_assign(d->pool, job, p, d->now_ms);
	}
	return status;
}

static enum status try_job(struct decision_context *d, struct waiting_job *w)
{
	struct pool_job job = w->job;
	struct placement *p = &d->out->placement;
	char *key;
	const char *reason;
	enum status status;

	job.expected_run_ms = job_queue_expected_run_ms(d->q, &w->job);
	key = no_room_key(d->q, &job);
	reason = g_hash_table_lookup(d->q->no_room_reasons, key);
	if (reason) {
		set_reason(w, reason);
		g_free(key);
		return STATUS_FULL;
	}
	placement_clear(p);
	placement_init(p);
	status = placement_policy_place(d->policy, d->pool, &job, d->now_ms, p);
	if (status == STATUS_OK)
		status = start_job(d, &job);
	if (status == STATUS_REFUSED) {
		status = check_impossible(d, w);
	} else if (status != STATUS_OK) {
		status = STATUS_FULL;
		set_reason(w, p->reason);
		g_hash_table_insert(d->q->no_room_reasons, g_strdup(key),
				    g_strdup(p->reason));
	}
	g_free(key);
	return status;
}

static void drop_reservation(struct decision_context *d)
{
	g_clear_pointer(&d->q->reserved_id, g_free);
	reservation_clear(d->pool);
	g_hash_table_remove_all(d->q->no_room_reasons);
}

static void remove_decided(struct decision_context *d, GSequenceIter *iter)
{
	struct waiting_job *w = g_sequence_get(iter);
	struct job_queue *q = d->q;

	d->out->job_id = g_strdup(w->job.id);
	d->out->client_account = g_strdup(w->job.client_account);
	d->out->waited_ms = d->now_ms - w->submitted_ms;
	g_hash_table_remove(q->waiting, w->job.id);
	if (q->reserved_id && g_str_equal(q->reserved_id, w->job.id))
		drop_reservation(d);
	g_sequence_remove(iter);
}

static void reserve_for(struct decision_context *d, const struct waiting_job *w)
{
	struct job_queue *q = d->q;
	struct pool_job job = w->job;

	g_free(q->reserved_id);
	q->reserved_id = g_strdup(w->job.id);
	q->reservation_planned_ms = d->now_ms;
	job.expected_run_ms = job_queue_expected_run_ms(q, &job);
	reservation_plan(d->pool, &job, d->now_ms);
	g_hash_table_remove_all(q->no_room_reasons);
}

/* Returns the first lane head by rank that found no room, or NULL. */
static const struct waiting_job *first_waiting(const struct job_queue *q)
{
	const struct waiting_job *first = NULL;

	for (guint i = 0; i < q->lanes->len; i++) {
		const struct lane *l = q->lanes->pdata[i];
		GSequenceIter *iter = g_sequence_get_begin_iter(l->others);
		const struct waiting_job *w;

		if (g_sequence_iter_is_end(iter))
			continue;
		w = g_sequence_get(iter);
		if (!w->had_no_room || w->is_cancelled)
			continue;
		if (!first || w->rank_ms < first->rank_ms)
			first = w;
	}
	return first;
}

/*
 * Plans the reservation again if it is old, or for another job if its job has
 * left the queue.
 */
static void refresh_reservation(struct decision_context *d)
{
	struct job_queue *q = d->q;
	const struct waiting_job *w = NULL;

	if (q->reserved_id) {
		w = g_hash_table_lookup(q->waiting, q->reserved_id);
		if (w && d->now_ms - q->reservation_planned_ms <
				 RESERVATION_REFRESH_MS)
			return;
		if (!w)
			drop_reservation(d);
	}
	if (!w && q->discipline == QUEUE_FAIR)
		w = first_waiting(q);
	if (w)
		reserve_for(d, w);
}

/* Tries the jobs of a lane in order; returns like job_queue_decide(). */
static enum status try_lane(struct decision_context *d, GSequence *lane)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(lane);
	guint depth = d->q->discipline == QUEUE_FIFO ? 1 : BACKFILL_DEPTH;

	while (depth > 0 && !g_sequence_iter_is_end(iter)) {
		GSequenceIter *next = g_sequence_iter_next(iter);
		struct waiting_job *w = g_sequence_get(iter);
		enum status status;

		if (w->is_cancelled) {
			g_sequence_remove(iter);
			iter = next;
			continue;
		}
		status = try_job(d, w);
		if (status != STATUS_FULL) {
			remove_decided(d, iter);
			return status;
		}
		w->had_no_room = w->impossible_since_ms == 0;
		if (w->had_no_room && !d->q->reserved_id &&
		    d->q->discipline == QUEUE_BACKFILL)
			reserve_for(d, w);
		iter = next;
		depth--;
	}
	return STATUS_NOT_FOUND;
}

/* Puts the lane first that has borrowed the least relative to its share. */
static gint compare_lanes(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct lane *x = *(const struct lane *const *)a;
	const struct lane *y = *(const struct lane *const *)b;
	struct pool *pool = data;
	int64_t use_x = pool_account_use(pool, x->client_account)->borrowed;
	int64_t use_y = pool_account_use(pool, y->client_account)->borrowed;
	int64_t left = use_x * y->share;
	int64_t right = use_y * x->share;

	if (left != right)
		return left < right ? -1 : 1;
	return strcmp(x->client_account, y->client_account);
}

static enum status try_lanes(struct decision_context *d)
{
	GPtrArray *lanes = d->q->lanes;
	enum status status = STATUS_NOT_FOUND;

	g_ptr_array_sort_with_data(lanes, compare_lanes, d->pool);
	for (guint i = 0; i < lanes->len && status == STATUS_NOT_FOUND; i++) {
		const struct lane *l = lanes->pdata[i];

		status = try_lane(d, l->urgent);
	}
	for (guint i = 0; i < lanes->len && status == STATUS_NOT_FOUND; i++) {
		const struct lane *l = lanes->pdata[i];

		status = try_lane(d, l->others);
	}
	return status;
}

enum status job_queue_decide(struct job_queue *q, struct pool *pool,
			     struct placement_policy *policy, int64_t now_ms,
			     struct job_decision *out)
{
	struct decision_context d = { q, pool, policy, now_ms, out };

	if (q->no_room_pool_version != pool->version) {
		q->no_room_pool_version = pool->version;
		g_hash_table_remove_all(q->no_room_reasons);
	}
	refresh_reservation(&d);
	return try_lanes(&d);
}
