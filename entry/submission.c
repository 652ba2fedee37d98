#include "entry/submission.h"

#include "base/log.h"
#include "base/util.h"
#include "sched/job_progress.h"

/* More than twice the latency of a store that is 60 times slower than its usual
 * 4 ms. */
#define CALL_TIMEOUT_MS 600
/* Delay before the row is read again after a failure. */
#define RETRY_MS 50
/* Share of the client's timeout after which an unknown outcome is reported; the
 * rest is left for an attempt at another VM. */
#define SUBMIT_TIME_SHARE 0.45

/* A part of the job table. */
struct store_part {
	struct submitter *submitter;
	const char *name;
	gboolean is_unresponsive; /* a call timed out, no probe answered yet */
	guint timer;		  /* timeout of the probe in flight */
};

struct submitter {
	struct platform *platform;
	GArray *parts;	       /* of struct store_part */
	GHashTable *in_flight; /* set of struct submission */
};

struct submission {
	struct submitter *submitter;
	guint read_timeout_ms; /* of the first read */
	struct store_part *part;
	char *id;
	json_object *row;
	int64_t retry_until_ms;	 /* reports an unknown outcome from then on */
	gboolean may_be_written; /* a write had an unknown outcome */
	guint timer;
	submission_fn fn;
	void *data;
};

static void read_row(struct submission *s);

static void clear_timer(struct submission *s)
{
	if (s->timer)
		g_source_remove(s->timer);
	s->timer = 0;
}

static void submission_free(gpointer data)
{
	struct submission *s = data;

	clear_timer(s);
	platform_forget(s->submitter->platform, s);
	json_object_put(s->row);
	g_free(s->id);
	g_free(s);
}

static void finish(struct submission *s, enum submission_outcome outcome)
{
	submission_fn fn = s->fn;
	void *user = s->data;

	g_hash_table_remove(s->submitter->in_flight, s);
	fn(outcome, user);
}

static gboolean on_retry(gpointer data)
{
	struct submission *s = data;

	s->timer = 0;
	read_row(s);
	return G_SOURCE_REMOVE;
}

/* Handles a call that was refused or not answered: retries or finishes. */
static void handle_failure(struct submission *s)
{
	if (!s->may_be_written) {
		finish(s, SUBMISSION_REFUSED);
		return;
	}
	if (util_monotonic_ms() + RETRY_MS >= s->retry_until_ms) {
		finish(s, SUBMISSION_UNKNOWN);
		return;
	}
	s->timer = g_timeout_add(RETRY_MS, on_retry, s);
}

static void log_part(const struct store_part *part, const char *event)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, event);
	log_str(&line, "table", JOB_TABLE);
	log_str(&line, "part", part->name);
	log_end(&line);
}

static void probe_part(struct store_part *part);

static void on_probe_answer(const struct platform_result *result, void *data)
{
	struct store_part *part = data;

	if (result->status != STATUS_OK)
		return; /* probes again on the timeout */
	g_source_remove(part->timer);
	part->timer = 0;
	part->is_unresponsive = FALSE;
	log_part(part, "store_part_regained");
}

static gboolean on_probe_timeout(gpointer data)
{
	struct store_part *part = data;

	part->timer = 0;
	platform_forget(part->submitter->platform, part);
	probe_part(part);
	return G_SOURCE_REMOVE;
}

/* Reads from an unresponsive part until it answers. */
static void probe_part(struct store_part *part)
{
	part->timer = g_timeout_add(CALL_TIMEOUT_MS, on_probe_timeout, part);
	platform_read_part(part->submitter->platform, JOB_TABLE, part->name, "",
			   on_probe_answer, part);
}

static void mark_unresponsive(struct store_part *part)
{
	if (part->is_unresponsive)
		return;
	part->is_unresponsive = TRUE;
	log_part(part, "store_part_silent");
	probe_part(part);
}

static gboolean on_call_timeout(gpointer data)
{
	struct submission *s = data;

	s->timer = 0;
	platform_forget(s->submitter->platform, s);
	mark_unresponsive(s->part);
	handle_failure(s);
	return G_SOURCE_REMOVE;
}

static gboolean on_part_unresponsive(gpointer data)
{
	struct submission *s = data;

	s->timer = 0;
	handle_failure(s);
	return G_SOURCE_REMOVE;
}

static gboolean on_write_timeout(gpointer data)
{
	struct submission *s = data;

	s->may_be_written = TRUE;
	return on_call_timeout(s);
}

static void on_written(const struct platform_result *result, void *data)
{
	struct submission *s = data;

	clear_timer(s);
	switch (result->status) {
	case STATUS_OK:
		finish(s, SUBMISSION_ACCEPTED);
		return;
	case STATUS_CONFLICT: /* an earlier write took effect */
		finish(s, SUBMISSION_DUPLICATE);
		return;
	case STATUS_UNKNOWN:
		s->may_be_written = TRUE;
		break;
	default:
		break;
	}
	handle_failure(s);
}

static void write_row(struct submission *s)
{
	struct table_write write = {
		.table = JOB_TABLE,
		.part = s->part->name,
		.key = s->id,
		.expected_version = TABLE_ABSENT,
		.value = s->row,
	};

	s->timer = g_timeout_add(CALL_TIMEOUT_MS, on_write_timeout, s);
	platform_commit(s->submitter->platform, &write, 1, on_written, s);
}

static void on_row_read(const struct platform_result *result, void *data)
{
	struct submission *s = data;

	clear_timer(s);
	if (result->status != STATUS_OK)
		handle_failure(s);
	else if (result->row_count)
		finish(s, SUBMISSION_DUPLICATE);
	else
		write_row(s);
}

static void read_row(struct submission *s)
{
	if (s->part->is_unresponsive && !s->may_be_written) {
		s->timer = g_idle_add(on_part_unresponsive, s);
		return;
	}
	s->timer = g_timeout_add(s->may_be_written ? CALL_TIMEOUT_MS
						   : s->read_timeout_ms,
				 on_call_timeout, s);
	platform_read_part(s->submitter->platform, JOB_TABLE, s->part->name,
			   s->id, on_row_read, s);
}

static struct store_part *find_part(struct submitter *s, const char *id)
{
	const char *name = job_part(id);

	for (guint i = 0; i < s->parts->len; i++) {
		struct store_part *part =
			&g_array_index(s->parts, struct store_part, i);

		if (g_str_equal(part->name, name))
			return part;
	}
	g_return_val_if_reached(NULL);
}

void submitter_submit(struct submitter *s, const char *id, json_object *row,
		      int64_t read_timeout_ms, int64_t timeout_ms,
		      submission_fn fn, void *data)
{
	struct submission *sub = g_new0(struct submission, 1);

	sub->submitter = s;
	sub->part = find_part(s, id);
	sub->id = g_strdup(id);
	sub->row = json_object_get(row);
	sub->read_timeout_ms =
		read_timeout_ms ? (guint)read_timeout_ms : CALL_TIMEOUT_MS;
	sub->retry_until_ms = util_monotonic_ms() +
			      (int64_t)((double)timeout_ms * SUBMIT_TIME_SHARE);
	sub->fn = fn;
	sub->data = data;
	g_hash_table_add(s->in_flight, sub);
	read_row(sub);
}

struct submitter *submitter_new(struct platform *p)
{
	struct submitter *s = g_new0(struct submitter, 1);

	s->platform = p;
	s->parts = g_array_new(FALSE, TRUE, sizeof(struct store_part));
	s->in_flight = g_hash_table_new_full(NULL, NULL, submission_free, NULL);
	for (guint i = 0; job_parts[i]; i++) {
		struct store_part part = { s, job_parts[i], FALSE, 0 };

		g_array_append_val(s->parts, part);
	}
	return s;
}

void submitter_free(struct submitter *s)
{
	if (!s)
		return;
	g_hash_table_unref(s->in_flight);
	for (guint i = 0; i < s->parts->len; i++) {
		struct store_part *part =
			&g_array_index(s->parts, struct store_part, i);

		if (part->timer)
			g_source_remove(part->timer);
		platform_forget(s->platform, part);
	}
	g_array_unref(s->parts);
	g_free(s);
}
