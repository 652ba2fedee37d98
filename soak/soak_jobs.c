#include "soak/soak_jobs.h"

#include <string.h>

#include "base/util.h"

#define TICK_MS 20
/* The time between two new jobs is random, up to twice this. */
#define MEAN_JOB_GAP_MS 150
/* Mean time between two status requests for a job. */
#define STATE_POLL_MS 700
#define RETRY_MS 400
#define MAX_ATTEMPTS 5 /* submissions per job */
#define CALL_TIMEOUT_MS 3000
/* Time between two requests to probe routes, each of a random version. */
#define PROBE_INTERVAL_MS 120
/* Every entry VM must know an accepted job after this time (the platform's
 * bound visible_ms). */
#define VISIBLE_MS 3000
/* Share of status requests that are replaced by the job's one cancel. */
#define CANCEL_PROBABILITY 0.1
#define MAX_RUN_MS 1200
#define MIN_RUN_MS 100
#define MILLI INT64_C(1000)

static const char *const headers[] = { "Authorization", "Token k1", "Host",
				       "wind.example", NULL };

struct soak_jobs {
	struct soak_site *site;
	GRand *rand;
	GPtrArray *findings;
	GHashTable *jobs;
	guint tick;
	int64_t next_job_ms;
	int64_t next_probe_ms;
	gboolean is_stopped;
	guint calls_in_flight;
	guint created_count;
};

enum call_kind {
	CALL_SUBMIT,
	CALL_STATE,
	CALL_CANCEL,
	CALL_PROBE,
};

struct call {
	struct soak_jobs *owner;
	struct soak_job *job; /* NULL for a probe */
	enum call_kind kind;
	guint entry;
	guint boot;
	int64_t probe_version;
	int64_t sent_ms;
};

static const char *const kind_names[SOAK_JOB_KIND_COUNT] = {
	[SOAK_JOB_SPOT] = "spot",
	[SOAK_JOB_BULK] = "bulk",
	[SOAK_JOB_POISON] = "poison",
};

const char *soak_job_kind_name(enum soak_job_kind kind)
{
	return kind_names[kind];
}

static void add_finding(struct soak_jobs *j, const char *rule,
			const struct soak_job *job, const char *what)
{
	g_ptr_array_add(j->findings,
			g_strdup_printf("%s job=%s kind=%s: %s", rule, job->id,
					kind_names[job->kind], what));
}

static json_object *submission(const struct soak_job *job)
{
	gboolean is_gang = job->kind == SOAK_JOB_SPOT;
	char *text = g_strdup_printf(
		"{\"Spec\":\"run_ms=%" G_GINT64_FORMAT " gang=%u%s\","
		"\"Steps\":[{\"Count\":%u,\"Cpu\":%" G_GINT64_FORMAT
		",\"MemMb\":%" G_GINT64_FORMAT ",\"Gpu\":%" G_GINT64_FORMAT
		",\"EstimateMs\":%" G_GINT64_FORMAT "%s}]}",
		job->run_ms, is_gang ? job->tasks : 0,
		job->kind == SOAK_JOB_POISON ? " fail" : "", job->tasks,
		job->millicores, job->memory_mb, job->accelerators, job->run_ms,
		is_gang ? ",\"Gang\":true" : "");
	json_object *json = json_tokener_parse(text);

	g_free(text);
	return json;
}

static void on_submitted(struct soak_jobs *j, struct soak_job *job,
			 const struct http_reply *reply)
{
	gboolean is_refusal = reply->code == 503 || reply->code == 429;

	if (reply->status == STATUS_OK && reply->code == 200) {
		if (!job->accepted_ms)
			job->accepted_ms = util_monotonic_ms();
		return;
	}
	/* Without a connection the entry VM has not received the job. */
	if (!is_refusal && reply->status != STATUS_UNAVAILABLE)
		job->may_be_accepted = TRUE;
	if (job->attempts < MAX_ATTEMPTS && !job->accepted_ms)
		job->retry_at_ms = util_monotonic_ms() + RETRY_MS;
}

static void on_state(struct soak_jobs *j, struct soak_job *job,
		     const struct call *c, const struct http_reply *reply)
{
	int64_t now_ms = util_monotonic_ms();
	json_object *value = NULL;
	const char *state;

	if (reply->code == 410 && job->accepted_ms &&
	    c->sent_ms > job->accepted_ms + VISIBLE_MS)
		add_finding(j, "LOST", job,
			    "accepted, but a later request got 410");
	if (reply->code != 200 || !reply->body)
		return;
	if (!json_object_object_get_ex(reply->body, "State", &value)) {
		add_finding(j, "MIXED", job, "a status answer has no State");
		return;
	}
	state = json_object_get_string(value);
	job->has_ended = g_str_equal(state, "completed") ||
			 g_str_equal(state, "failed") ||
			 g_str_equal(state, "cancelled");
	if (g_str_equal(state, "completed") && !job->completed_ms)
		job->completed_ms = now_ms;
	if (g_str_equal(state, "failed") && job->kind != SOAK_JOB_POISON)
		add_finding(j, "LOST", job, "reported as failed");
	if (g_str_equal(state, "cancelled") && !job->is_cancel_sent)
		add_finding(j, "LOST", job,
			    "reported as cancelled without a cancel");
	if (job->completed_ms && c->sent_ms > job->completed_ms &&
	    !g_str_equal(state, "completed"))
		add_finding(j, "MIXED", job, "another state after completed");
}

static void on_probed(struct soak_jobs *j, const struct call *c,
		      const struct http_reply *reply)
{
	struct soak_entry *e = &j->site->entries[c->entry];

	if (reply->status != STATUS_OK || e->boots != c->boot)
		return;
	if (reply->code == 200 && c->probe_version > e->seen_config_version) {
		e->seen_config_version = c->probe_version;
		e->seen_config_ms = util_monotonic_ms();
	}
	if (reply->code == 404 && c->probe_version <= e->seen_config_version &&
	    c->sent_ms > e->seen_config_ms)
		g_ptr_array_add(
			j->findings,
			g_strdup_printf(
				"CONFIG entry=e%u: version %" G_GINT64_FORMAT
				" was in force and no longer is",
				c->entry, c->probe_version));
}

static void on_reply(const struct http_reply *reply, void *data)
{
	struct call *c = data;
	struct soak_jobs *j = c->owner;

	switch (c->kind) {
	case CALL_SUBMIT:
		on_submitted(j, c->job, reply);
		break;
	case CALL_STATE:
		on_state(j, c->job, c, reply);
		break;
	case CALL_CANCEL:
		if (reply->code == 200 && !c->job->cancel_acked_ms)
			c->job->cancel_acked_ms = util_monotonic_ms();
		break;
	case CALL_PROBE:
		on_probed(j, c, reply);
		break;
	}
	if (c->job)
		c->job->calls_in_flight--;
	j->calls_in_flight--;
	g_free(c);
}

static void send_call(struct soak_jobs *j, struct soak_job *job,
		      enum call_kind kind, int64_t probe_version)
{
	static const char *const methods[] = { "POST", "GET", "DELETE", "GET" };
	struct call *c = g_new0(struct call, 1);
	json_object *body = job && kind == CALL_SUBMIT ? submission(job) : NULL;
	char *path =
		job ? g_strdup_printf("/%s/%s", kind_names[job->kind], job->id)
		    : g_strdup_printf("/probe-%" G_GINT64_FORMAT "/",
				      probe_version);
	struct http_call_spec spec = {
		.method = methods[kind],
		.path = path,
		.body = body,
		.timeout_ms = CALL_TIMEOUT_MS,
		.headers = headers,
		.on_reply = on_reply,
		.data = c,
	};

	c->owner = j;
	c->job = job;
	c->kind = kind;
	c->probe_version = probe_version;
	c->entry = (guint)g_rand_int_range(j->rand, 0, SOAK_ENTRY_COUNT);
	c->boot = j->site->entries[c->entry].boots;
	c->sent_ms = util_monotonic_ms();
	spec.address = j->site->entries[c->entry].frontend;
	if (job)
		job->calls_in_flight++;
	j->calls_in_flight++;
	http_client_send(j->site->cluster->client, &spec);
	json_object_put(body);
	g_free(path);
}

static void add_job(struct soak_jobs *j)
{
	struct soak_job *job = g_new0(struct soak_job, 1);
	gint32 drawn = g_rand_int_range(j->rand, 0, 10);

	job->kind = drawn < 5	? SOAK_JOB_SPOT
		    : drawn < 9 ? SOAK_JOB_BULK
				: SOAK_JOB_POISON;
	job->id = g_strdup_printf("%016x", ++j->created_count);
	job->tasks = (guint)g_rand_int_range(j->rand, 1, 5);
	job->accelerators = INT64_C(1) << g_rand_int_range(j->rand, 0, 4);
	if (job->kind == SOAK_JOB_POISON) {
		job->tasks = 1;
		job->accelerators = 1;
	}
	job->millicores = MILLI * g_rand_int_range(j->rand, 1, 9);
	job->memory_mb = MILLI * g_rand_int_range(j->rand, 1, 9);
	job->run_ms = g_rand_int_range(j->rand, MIN_RUN_MS, MAX_RUN_MS);
	g_hash_table_insert(j->jobs, job->id, job);
	job->attempts = 1;
	send_call(j, job, CALL_SUBMIT, 0);
}

/* Returns TRUE if a job was accepted and no final state was reported. */
static gboolean is_unfinished(const struct soak_job *job)
{
	return job->accepted_ms && !job->has_ended;
}

/* Submits jobs again that were refused or got no answer. */
static void retry_submissions(struct soak_jobs *j, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, j->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct soak_job *job = item;

		if (!job->retry_at_ms || now_ms < job->retry_at_ms)
			continue;
		job->retry_at_ms = 0;
		job->attempts++;
		send_call(j, job, CALL_SUBMIT, 0);
	}
}

static void poll_states(struct soak_jobs *j)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, j->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct soak_job *job = item;

		if (!job->accepted_ms || job->calls_in_flight ||
		    g_rand_int_range(j->rand, 0, STATE_POLL_MS / TICK_MS))
			continue;
		/* Ended jobs are polled rarely, to check that they stay ended.
		 */
		if (job->has_ended &&
		    (j->is_stopped || g_rand_int_range(j->rand, 0, 10)))
			continue;
		if (!job->is_cancel_sent && !job->has_ended && !j->is_stopped &&
		    g_rand_double(j->rand) < CANCEL_PROBABILITY) {
			job->is_cancel_sent = TRUE;
			send_call(j, job, CALL_CANCEL, 0);
		} else {
			send_call(j, job, CALL_STATE, 0);
		}
	}
}

static gboolean on_tick(gpointer data)
{
	struct soak_jobs *j = data;
	int64_t now_ms = util_monotonic_ms();

	if (!j->is_stopped && now_ms >= j->next_job_ms) {
		j->next_job_ms = now_ms + g_rand_int_range(j->rand, 1,
							   2 * MEAN_JOB_GAP_MS);
		add_job(j);
	}
	if (now_ms >= j->next_probe_ms) {
		j->next_probe_ms = now_ms + PROBE_INTERVAL_MS;
		send_call(
			j, NULL, CALL_PROBE,
			g_rand_int_range(j->rand, 1,
					 (gint32)j->site->config_version + 1));
	}
	retry_submissions(j, now_ms);
	poll_states(j);
	return G_SOURCE_CONTINUE;
}

static void job_free(gpointer data)
{
	struct soak_job *job = data;

	g_free(job->id);
	g_free(job);
}

struct soak_jobs *soak_jobs_new(struct soak_site *site, GRand *rand,
				GPtrArray *findings)
{
	struct soak_jobs *j = g_new0(struct soak_jobs, 1);

	j->site = site;
	j->rand = rand;
	j->findings = findings;
	j->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	j->tick = g_timeout_add(TICK_MS, on_tick, j);
	return j;
}

static gboolean has_no_calls(void *data)
{
	return ((struct soak_jobs *)data)->calls_in_flight == 0;
}

void soak_jobs_free(struct soak_jobs *j)
{
	g_source_remove(j->tick);
	g_assert_true(
		cluster_wait(has_no_calls, j, INT64_C(2) * CALL_TIMEOUT_MS));
	g_hash_table_unref(j->jobs);
	g_free(j);
}

void soak_jobs_stop(struct soak_jobs *j)
{
	j->is_stopped = TRUE;
}

gboolean soak_jobs_are_settled(const struct soak_jobs *j)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, j->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct soak_job *job = item;

		if (is_unfinished(job) || job->calls_in_flight ||
		    job->retry_at_ms)
			return FALSE;
	}
	return TRUE;
}

GHashTable *soak_jobs_all(const struct soak_jobs *j)
{
	return j->jobs;
}
