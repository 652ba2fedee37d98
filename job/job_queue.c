#include "job/job_queue.h"

#include <string.h>

#include "job/pool_state.h"
#include "job/reservation.h"
#include "job/run_time.h"

/* Jobs of one account that are tried when those before them have to wait. */
#define BACKFILL_DEPTH 64
/* A job that expects to run this long stands back by as much as 1/4 of it. */
#define RUN_TIME_PART 4
/* Bulk jobs stand back behind normal ones of the same age by this. */
#define BULK_DELAY_MS (INT64_C(30) * 60 * 1000)
/* The reservation is planned anew at most this often. */
#define RESERVATION_REFRESH_MS (INT64_C(30) * 1000)

struct waiting_job {
	struct pool_job job; /* strings owned */
	int64_t submitted_ms;
	int64_t rank_ms;       /* place in its lane */
	int64_t impossible_ms; /* since when no workers can hold it, or 0 */
	char *reason;
	gboolean was_full; /* had no room when last tried */
	gboolean is_cancelled;
};

struct lane {
	char *client_account;
	int64_t share;
	GSequence *urgent; /* of struct waiting_job */
	GSequence *others;
};

struct job_queue {
	enum queue_discipline discipline;
	GHashTable *waiting; /* id to struct waiting_job */
	GPtrArray *lanes;    /* of struct lane */
	GHashTable *lanes_by_name;
	GHashTable *shares; /* account to share */
	struct run_time *run_time;
	GHashTable *full; /* what had no room at this version of the pool */
	uint64_t full_version;
	char *reserved_id; /* job that the reservation is for, or NULL */
	int64_t reserved_ms;
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
	q->full =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return q;
}

void job_queue_free(struct job_queue *q)
{
	g_hash_table_unref(q->waiting);
	g_hash_table_unref(q->lanes_by_name);
	g_ptr_array_unref(q->lanes);
	g_hash_table_unref(q->shares);
	g_hash_table_unref(q->full);
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

/* Only the fair discipline has a lane for each account. */
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

void job_queue_observe(struct job_queue *q, const struct pool_job *job,
		       int64_t ran_ms)
{
	run_time_observe(q->run_time, job, ran_ms);
}

/*
 * Orders a lane. Short jobs come before long ones of about the same age; as
 * the order only depends on the job, waiting brings every job to the front.
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
	rank += job_queue_expected_run_ms(q, job) / RUN_TIME_PART;
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
		return status_fail(STATUS_CONFLICT, "job %s waits already",
				   job->id);
	w = g_new0(struct waiting_job, 1);
	w->job = *job;
	w->job.id = g_strdup(job->id);
	w->job.client_account = g_strdup(job->client_account);
	w->job.family = g_strdup(job->family);
	w->submitted_ms = submitted_ms;
	w->rank_ms = rank_ms(q, job, submitted_ms);
	w->reason = g_strdup("not tried yet");
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

/* One call of job_queue_decide(). */
struct deciding {
	struct job_queue *q;
	struct pool *pool;
	struct placement_policy *policy;
	int64_t now_ms;
	struct job_decision *out;
};

/*
 * Jobs with the same key have the same answer until something is freed. The
 * run time counts by its power of two because of the reservation.
 */
static char *full_key(const struct job_queue *q, const struct pool_job *job)
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

/* Jobs that lost workers could hold get time until these return. */
static enum status judge_impossible(struct deciding *d, struct waiting_job *w)
{
	if (!w->impossible_ms)
		w->impossible_ms = d->now_ms;
	set_reason(w, d->out->placement.reason);
	if (!pool_known_workers_fit(d->pool, &w->job.shape))
		return STATUS_REFUSED;
	if (d->now_ms - w->impossible_ms >= d->q->impossible_grace_ms)
		return STATUS_REFUSED;
	return STATUS_FULL;
}

static enum status start_job(struct deciding *d, const struct pool_job *job)
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

static enum status try_job(struct deciding *d, struct waiting_job *w)
{
	struct pool_job job = w->job;
	struct placement *p = &d->out->placement;
	char *key;
	const char *reason;
	enum status status;

	job.expected_run_ms = job_queue_expected_run_ms(d->q, &w->job);
	key = full_key(d->q, &job);
	reason = g_hash_table_lookup(d->q->full, key);
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
		status = judge_impossible(d, w);
	} else if (status != STATUS_OK) {
		status = STATUS_FULL;
		set_reason(w, p->reason);
		g_hash_table_insert(d->q->full, g_strdup(key),
				    g_strdup(p->reason));
	}
	g_free(key);
	return status;
}

static void drop_reservation(struct deciding *d)
{
	g_clear_pointer(&d->q->reserved_id, g_free);
	reservation_clear(d->pool);
	g_hash_table_remove_all(d->q->full);
}

static void take_off(struct deciding *d, GSequenceIter *iter)
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

static void reserve_for(struct deciding *d, const struct waiting_job *w)
{
	struct job_queue *q = d->q;
	struct pool_job job = w->job;

	g_free(q->reserved_id);
	q->reserved_id = g_strdup(w->job.id);
	q->reserved_ms = d->now_ms;
	job.expected_run_ms = job_queue_expected_run_ms(q, &job);
	reservation_plan(d->pool, &job, d->now_ms);
	g_hash_table_remove_all(q->full);
}

/* Returns the job that waits for room and came first by rank, or NULL. */
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
		if (!w->was_full || w->is_cancelled)
			continue;
		if (!first || w->rank_ms < first->rank_ms)
			first = w;
	}
	return first;
}

/* Plans the reservation anew from time to time, and when its job is gone. */
static void refresh_reservation(struct deciding *d)
{
	struct job_queue *q = d->q;
	const struct waiting_job *w = NULL;

	if (q->reserved_id) {
		w = g_hash_table_lookup(q->waiting, q->reserved_id);
		if (w && d->now_ms - q->reserved_ms < RESERVATION_REFRESH_MS)
			return;
		if (!w)
			drop_reservation(d);
	}
	if (!w && q->discipline == QUEUE_FAIR)
		w = first_waiting(q);
	if (w)
		reserve_for(d, w);
}

/* Tries the jobs of a lane in order; returns as job_queue_decide(). */
static enum status try_lane(struct deciding *d, GSequence *lane)
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
			take_off(d, iter);
			return status;
		}
		w->was_full = w->impossible_ms == 0;
		if (w->was_full && !d->q->reserved_id &&
		    d->q->discipline == QUEUE_BACKFILL)
			reserve_for(d, w);
		iter = next;
		depth--;
	}
	return STATUS_NOT_FOUND;
}

/* Least borrowed by share first. */
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

static enum status try_lanes(struct deciding *d)
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
	struct deciding d = { q, pool, policy, now_ms, out };

	if (q->full_version != pool->version) {
		q->full_version = pool->version;
		g_hash_table_remove_all(q->full);
	}
	refresh_reservation(&d);
	return try_lanes(&d);
}
