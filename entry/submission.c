#include "entry/submission.h"

#include "base/util.h"
#include "sched/job_progress.h"

/* A call without an answer for so long is given up: more than twice what the
 * store takes when it is 60 times slower than its usual 4 ms. */
#define CALL_MS 600
/* Before the row is looked for again. */
#define RETRY_MS 50
/* Part of the caller's time after which an unknown outcome is told: the rest
 * is for an attempt at another VM. */
#define TRY_SHARE 0.45

struct submission {
	struct platform *platform;
	char *id;
	json_object *row;
	int64_t give_up_ms;
	gboolean may_be_written;
	guint timer;
	submission_fn fn;
	void *data;
};

static void look(struct submission *s);

static void clear_timer(struct submission *s)
{
	if (s->timer)
		g_source_remove(s->timer);
	s->timer = 0;
}

static void finish(struct submission *s, enum submission_outcome outcome)
{
	clear_timer(s);
	s->fn(outcome, s->data);
	json_object_put(s->row);
	g_free(s->id);
	g_free(s);
}

static gboolean on_retry(gpointer data)
{
	struct submission *s = data;

	s->timer = 0;
	look(s);
	return G_SOURCE_REMOVE;
}

/* The store has refused a call, or not answered it. */
static void take_failure(struct submission *s)
{
	if (!s->may_be_written) {
		finish(s, SUBMISSION_REFUSED);
		return;
	}
	if (util_monotonic_ms() + RETRY_MS >= s->give_up_ms) {
		finish(s, SUBMISSION_UNKNOWN);
		return;
	}
	s->timer = g_timeout_add(RETRY_MS, on_retry, s);
}

static gboolean on_look_timeout(gpointer data)
{
	struct submission *s = data;

	s->timer = 0;
	platform_forget(s->platform, s);
	take_failure(s);
	return G_SOURCE_REMOVE;
}

static gboolean on_write_timeout(gpointer data)
{
	struct submission *s = data;

	s->may_be_written = TRUE;
	return on_look_timeout(s);
}

static void on_written(const struct platform_result *result, void *data)
{
	struct submission *s = data;

	clear_timer(s);
	switch (result->status) {
	case STATUS_OK:
		finish(s, SUBMISSION_ACCEPTED);
		return;
	case STATUS_CONFLICT: /* an earlier write has come through */
		finish(s, SUBMISSION_KNOWN);
		return;
	case STATUS_UNKNOWN:
		s->may_be_written = TRUE;
		break;
	default:
		break;
	}
	take_failure(s);
}

static void write_row(struct submission *s)
{
	struct table_write write = {
		.table = JOB_TABLE,
		.part = job_part(s->id),
		.key = s->id,
		.expected_version = TABLE_ABSENT,
		.value = s->row,
	};

	s->timer = g_timeout_add(CALL_MS, on_write_timeout, s);
	platform_commit(s->platform, &write, 1, on_written, s);
}

static void on_looked(const struct platform_result *result, void *data)
{
	struct submission *s = data;

	clear_timer(s);
	if (result->status != STATUS_OK)
		take_failure(s);
	else if (result->row_count)
		finish(s, SUBMISSION_KNOWN);
	else
		write_row(s);
}

static void look(struct submission *s)
{
	s->timer = g_timeout_add(CALL_MS, on_look_timeout, s);
	platform_read_part(s->platform, JOB_TABLE, job_part(s->id), s->id,
			   on_looked, s);
}

void submission_begin(struct platform *p, const char *id, json_object *row,
		      int64_t time_ms, submission_fn fn, void *data)
{
	struct submission *s = g_new0(struct submission, 1);

	s->platform = p;
	s->id = g_strdup(id);
	s->row = json_object_get(row);
	s->give_up_ms =
		util_monotonic_ms() + (int64_t)((double)time_ms * TRY_SHARE);
	s->fn = fn;
	s->data = data;
	look(s);
}
