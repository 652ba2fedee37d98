#include "entry/submission.h"

#include "base/log.h"
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

/* A part of the store that keeps jobs. */
struct store_part {
	struct submitter *submitter;
	const char *name;
	gboolean is_silent; /* the last look had no answer in time */
	guint timer;	    /* of the look that waits for its return */
};

struct submitter {
	struct platform *platform;
	GArray *parts;	       /* of struct store_part */
	GHashTable *under_way; /* set of struct submission */
};

struct submission {
	struct submitter *submitter;
	struct store_part *part;
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

	g_hash_table_remove(s->submitter->under_way, s);
	fn(outcome, user);
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

static void log_part(const struct store_part *part, const char *event)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, event);
	log_str(&line, "table", JOB_TABLE);
	log_str(&line, "part", part->name);
	log_end(&line);
}

static void await_return(struct store_part *part);

static void on_part_answer(const struct platform_result *result, void *data)
{
	struct store_part *part = data;

	if (result->status != STATUS_OK)
		return; /* the timer looks again */
	g_source_remove(part->timer);
	part->timer = 0;
	part->is_silent = FALSE;
	log_part(part, "store_part_regained");
}

static gboolean on_part_timeout(gpointer data)
{
	struct store_part *part = data;

	part->timer = 0;
	platform_forget(part->submitter->platform, part);
	await_return(part);
	return G_SOURCE_REMOVE;
}

/* Looks into a silent part until it answers. */
static void await_return(struct store_part *part)
{
	part->timer = g_timeout_add(CALL_MS, on_part_timeout, part);
	platform_read_part(part->submitter->platform, JOB_TABLE, part->name, "",
			   on_part_answer, part);
}

static void note_silence(struct store_part *part)
{
	if (part->is_silent)
		return;
	part->is_silent = TRUE;
	log_part(part, "store_part_silent");
	await_return(part);
}

static gboolean on_look_timeout(gpointer data)
{
	struct submission *s = data;

	s->timer = 0;
	platform_forget(s->submitter->platform, s);
	note_silence(s->part);
	take_failure(s);
	return G_SOURCE_REMOVE;
}

static gboolean on_known_silence(gpointer data)
{
	struct submission *s = data;

	s->timer = 0;
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
		.part = s->part->name,
		.key = s->id,
		.expected_version = TABLE_ABSENT,
		.value = s->row,
	};

	s->timer = g_timeout_add(CALL_MS, on_write_timeout, s);
	platform_commit(s->submitter->platform, &write, 1, on_written, s);
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
	if (s->part->is_silent && !s->may_be_written) {
		s->timer = g_idle_add(on_known_silence, s);
		return;
	}
	s->timer = g_timeout_add(CALL_MS, on_look_timeout, s);
	platform_read_part(s->submitter->platform, JOB_TABLE, s->part->name,
			   s->id, on_looked, s);
}

static struct store_part *part_of(struct submitter *s, const char *id)
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

void submitter_begin(struct submitter *s, const char *id, json_object *row,
		     int64_t time_ms, submission_fn fn, void *data)
{
	struct submission *sub = g_new0(struct submission, 1);

	sub->submitter = s;
	sub->part = part_of(s, id);
	sub->id = g_strdup(id);
	sub->row = json_object_get(row);
	sub->give_up_ms =
		util_monotonic_ms() + (int64_t)((double)time_ms * TRY_SHARE);
	sub->fn = fn;
	sub->data = data;
	g_hash_table_add(s->under_way, sub);
	look(sub);
}

struct submitter *submitter_new(struct platform *p)
{
	struct submitter *s = g_new0(struct submitter, 1);

	s->platform = p;
	s->parts = g_array_new(FALSE, TRUE, sizeof(struct store_part));
	s->under_way = g_hash_table_new_full(NULL, NULL, submission_free, NULL);
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
	g_hash_table_unref(s->under_way);
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
