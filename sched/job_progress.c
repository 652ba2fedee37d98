#include "sched/job_progress.h"

#include <string.h>

#include "base/json_member.h"

const char *const job_parts[] = {
	"a", "b", "c", "d", "e", "f", "g", "h", NULL
};

const char *job_part(const char *id)
{
	return job_parts[g_str_hash(id) % (G_N_ELEMENTS(job_parts) - 1)];
}

static void add_int(json_object *object, const char *name, int64_t value)
{
	json_object_object_add(object, name, json_object_new_int64(value));
}

json_object *job_row_encode(const char *route, const char *account,
			    const struct job_spec *spec,
			    int64_t accepted_store_ms)
{
	json_object *row = json_object_new_object();

	json_object_object_add(row, "route", json_object_new_string(route));
	if (account)
		json_object_object_add(row, "account",
				       json_object_new_string(account));
	add_int(row, "accepted_ms", accepted_store_ms);
	json_object_object_add(row, "spec",
			       schema_encode(&job_spec_row_schema, spec));
	return row;
}

struct fleet_job *job_row_decode(struct fleet *f, const char *id,
				 json_object *row, int64_t *accepted_store_ms)
{
	const char *route = json_member_text(row, "route");
	const char *account = json_member_text(row, "account");
	struct job_spec spec = { 0 };
	struct finding_list findings;
	struct fleet_job *job = NULL;

	finding_list_init(&findings);
	if (route && schema_decode_lenient(&job_spec_row_schema,
					   json_member(row, "spec"), &spec, "",
					   &findings)) {
		job = fleet_add_job(f, id, route, account, &spec);
		*accepted_store_ms = json_member_int(row, "accepted_ms");
	}
	finding_list_clear(&findings);
	job_spec_clear(&spec);
	return job;
}

gsize job_row_bytes(json_object *row)
{
	size_t len = 0;

	json_object_to_json_string_length(row, JSON_C_TO_STRING_PLAIN, &len);
	return len;
}

/* What a row may hold. */
struct row_limits {
	guint runs;		/* failed runs that are listed for each task */
	gsize checkpoint_bytes; /* that are left for checkpoints */
	gboolean has_lost_checkpoints;
};

/* Two hex digits for each number below 256; free with g_free(). */
static char *hex_new(guint count)
{
	char *text = g_malloc(2 * (gsize)count + 1);

	memset(text, '0', 2 * (gsize)count);
	text[2 * (gsize)count] = '\0';
	return text;
}

static void hex_set(char *text, gsize index, guint value)
{
	static const char digits[] = "0123456789abcdef";

	text[2 * index] = digits[(value >> 4) & 15];
	text[2 * index + 1] = digits[value & 15];
}

/* Returns 0 beyond the end of the text. */
static guint hex_get(const char *text, gsize len, gsize index)
{
	if (len < 2 * (index + 1))
		return 0;
	return (guint)MAX(g_ascii_xdigit_value(text[2 * index]), 0) * 16 +
	       (guint)MAX(g_ascii_xdigit_value(text[2 * index + 1]), 0);
}

/* Adds the tasks that are done: TRUE for all, else a bit for each, as hex
 * digits, the lowest bit first in each pair. */
static void add_done(json_object *json, const struct fleet_step *step)
{
	char *text;

	if (step->done_count == step->task_count) {
		json_object_object_add(json, "done",
				       json_object_new_boolean(TRUE));
		return;
	}
	if (!step->done_count)
		return;
	text = hex_new((step->task_count + 7) / 8);
	for (guint i = 0; i < step->task_count; i += 8) {
		guint bits = 0;

		for (guint k = 0; k < 8 && i + k < step->task_count; k++) {
			if (step->tasks[i + k].state == TASK_DONE)
				bits |= 1u << k;
		}
		hex_set(text, i / 8, bits);
	}
	json_object_object_add(json, "done", json_object_new_string(text));
	g_free(text);
}

static json_object *new_pair(guint index, json_object *value)
{
	json_object *pair = json_object_new_array();

	json_object_array_add(pair, json_object_new_int64(index));
	json_object_array_add(pair, value);
	return pair;
}

/* Adds pairs of an unfinished task's number and its failed runs, and the counts
 * of the failed runs if not all of them are listed. */
static void add_failures(json_object *json, const struct fleet_step *step,
			 const struct row_limits *limits)
{
	json_object *pairs = json_object_new_array();
	char *counts = hex_new(step->task_count);
	gboolean has_unlisted = FALSE;

	for (guint i = 0; i < step->task_count; i++) {
		const struct fleet_task *t = &step->tasks[i];
		guint count = run_set_count(&t->failed);

		if (!count || t->state == TASK_DONE)
			continue;
		hex_set(counts, i, MIN(count, UINT8_MAX));
		has_unlisted |= t->failed.unlisted || count > limits->runs;
		if (limits->runs)
			json_object_array_add(
				pairs,
				new_pair(i, run_set_encode(&t->failed,
							   limits->runs)));
	}
	if (json_object_array_length(pairs))
		json_object_object_add(json, "failures", pairs);
	else
		json_object_put(pairs);
	if (has_unlisted)
		json_object_object_add(json, "failure_counts",
				       json_object_new_string(counts));
	g_free(counts);
}

static void add_gang_failures(json_object *json, const struct fleet_step *step,
			      const struct row_limits *limits)
{
	guint count = run_set_count(&step->gang_failed);

	if (!count || step->done_count == step->task_count)
		return;
	json_object_object_add(
		json, "gang_failures",
		run_set_encode(&step->gang_failed, limits->runs));
	if (step->gang_failed.unlisted || count > limits->runs)
		add_int(json, "gang_failure_count", count);
}

/* Adds pairs of an unfinished task's number and its checkpoint, as many as
 * there is room for. */
static void add_checkpoints(json_object *json, const struct fleet_step *step,
			    struct row_limits *limits)
{
	json_object *pairs = json_object_new_array();

	for (guint i = 0; i < step->task_count; i++) {
		const struct fleet_task *t = &step->tasks[i];
		json_object *pair;
		gsize bytes;

		if (!t->checkpoint || t->state == TASK_DONE)
			continue;
		pair = new_pair(i, json_object_new_string(t->checkpoint));
		bytes = job_row_bytes(pair) + 1;
		if (bytes > limits->checkpoint_bytes) {
			limits->has_lost_checkpoints = TRUE;
			json_object_put(pair);
			continue;
		}
		limits->checkpoint_bytes -= bytes;
		json_object_array_add(pairs, pair);
	}
	if (json_object_array_length(pairs))
		json_object_object_add(json, "checkpoints", pairs);
	else
		json_object_put(pairs);
}

static json_object *encode_step(const struct fleet_step *step,
				struct row_limits *limits)
{
	json_object *json = json_object_new_object();

	add_int(json, "occurrence", step->occurrence);
	add_int(json, "step", step->index);
	add_done(json, step);
	add_failures(json, step, limits);
	add_gang_failures(json, step, limits);
	add_checkpoints(json, step, limits);
	return json;
}

/* Returns TRUE if a step has progress that needs to be stored. */
static gboolean has_progress_to_store(const struct fleet_step *step)
{
	if (step->done_count || run_set_count(&step->gang_failed))
		return TRUE;
	for (guint i = 0; i < step->task_count; i++) {
		if (run_set_count(&step->tasks[i].failed) ||
		    step->tasks[i].checkpoint)
			return TRUE;
	}
	return FALSE;
}

static json_object *encode_row(const struct fleet_job *job,
			       struct row_limits *limits)
{
	json_object *row = json_object_new_object();
	json_object *steps = json_object_new_array();
	enum fleet_job_state state = job->state;

	json_object_object_add(
		row, "state",
		json_object_new_string(fleet_job_state_name(state)));
	if (job->first_occurrence)
		add_int(row, "first", job->first_occurrence);
	for (guint i = 0; i < job->steps->len; i++) {
		const struct fleet_step *step = job->steps->pdata[i];

		if (!fleet_job_has_ended(job) && has_progress_to_store(step))
			json_object_array_add(steps, encode_step(step, limits));
	}
	json_object_object_add(row, "steps", steps);
	return row;
}

json_object *job_progress_encode(const struct fleet_job *job, gsize max_bytes,
				 enum progress_cut *cut)
{
	/* Failed runs that are listed for each task, the most first. */
	static const struct {
		guint runs;
		enum progress_cut cut;
	} tries[] = {
		{ G_MAXUINT, PROGRESS_NO_CHECKPOINTS },
		{ 1, PROGRESS_LAST_RUNS },
		{ 0, PROGRESS_NO_RUNS },
	};
	struct row_limits limits = { G_MAXUINT, G_MAXSIZE, FALSE };
	json_object *row = encode_row(job, &limits);
	gsize bytes = job_row_bytes(row);

	*cut = PROGRESS_WHOLE;
	for (guint i = 0; bytes > max_bytes && i < G_N_ELEMENTS(tries); i++) {
		json_object_put(row);
		limits = (struct row_limits){ tries[i].runs, 0, FALSE };
		row = encode_row(job, &limits);
		bytes = job_row_bytes(row);
		*cut = tries[i].cut;
	}
	if (bytes > max_bytes) {
		*cut = PROGRESS_TOO_LARGE;
	} else if (*cut != PROGRESS_WHOLE) {
		/* The rest of the row is for checkpoints and their names. */
		gsize names = job->steps->len * strlen(",\"checkpoints\":[]");

		json_object_put(row);
		limits.checkpoint_bytes = max_bytes - bytes > names
						  ? max_bytes - bytes - names
						  : 0;
		row = encode_row(job, &limits);
	}
	return row;
}

const char *progress_cut_name(enum progress_cut cut)
{
	static const char *const names[] = {
		[PROGRESS_WHOLE] = "nothing",
		[PROGRESS_NO_CHECKPOINTS] = "checkpoints",
		[PROGRESS_LAST_RUNS] = "checkpoints and earlier failed runs",
		[PROGRESS_NO_RUNS] = "checkpoints and failed runs",
		[PROGRESS_TOO_LARGE] = "everything",
	};

	return names[cut];
}

enum fleet_job_state job_progress_state(json_object *row)
{
	return fleet_job_state_from_name(json_member_text(row, "state"));
}

static void merge_done(struct fleet_step *step, int64_t index)
{
	if (index >= 0 && index < step->task_count)
		fleet_task_mark_done(&step->tasks[index]);
}

/* Merges the tasks that are done. Returns how many the row has. */
static guint merge_done_tasks(struct fleet_step *step, json_object *done)
{
	guint count = 0;

	if (json_object_is_type(done, json_type_boolean) &&
	    json_object_get_boolean(done)) {
		for (guint i = 0; i < step->task_count; i++)
			merge_done(step, i);
		return step->task_count;
	}
	if (json_object_is_type(done, json_type_string)) {
		const char *text = json_object_get_string(done);
		gsize len = strlen(text);

		for (guint i = 0; i < step->task_count; i++) {
			if (!(hex_get(text, len, i / 8) >> (i % 8) & 1))
				continue;
			merge_done(step, i);
			count++;
		}
		return count;
	}
	/* A list of numbers, by earlier versions. */
	if (!json_object_is_type(done, json_type_array))
		return 0;
	for (size_t i = 0; i < json_object_array_length(done); i++) {
		json_object *number = json_object_array_get_idx(done, i);

		merge_done(step, json_object_get_int64(number));
		count++;
	}
	return count;
}

/* Returns the number of the task of the pair at @i, -1 if it has none; the
 * second element is returned in @value. */
static int64_t pair_index(const struct fleet_step *step, json_object *pairs,
			  size_t i, json_object **value)
{
	json_object *pair = json_object_array_get_idx(pairs, i);
	int64_t index;

	if (!json_object_is_type(pair, json_type_array) ||
	    json_object_array_length(pair) != 2)
		return -1;
	index = json_object_get_int64(json_object_array_get_idx(pair, 0));
	*value = json_object_array_get_idx(pair, 1);
	return index < step->task_count ? index : -1;
}

static size_t pair_count(json_object *pairs)
{
	return json_object_is_type(pairs, json_type_array)
		       ? json_object_array_length(pairs)
		       : 0;
}

/* Merges the failed runs. Returns TRUE if some are not listed in the row. */
static gboolean merge_failures(struct fleet_step *step, json_object *json)
{
	json_object *pairs = json_member(json, "failures");
	const char *counts = json_member_text(json, "failure_counts");
	gsize len = counts ? strlen(counts) : 0;
	gboolean is_row_stale = FALSE;
	size_t failing = 0;

	for (size_t i = 0; i < pair_count(pairs); i++) {
		json_object *runs = NULL;
		int64_t index = pair_index(step, pairs, i, &runs);

		if (index >= 0)
			is_row_stale |=
				run_set_merge(&step->tasks[index].failed, runs);
	}
	for (guint i = 0; i < step->task_count; i++) {
		struct run_set *failed = &step->tasks[i].failed;

		run_set_raise_count(failed, hex_get(counts, len, i));
		failing += step->tasks[i].state != TASK_DONE &&
			   run_set_count(failed);
	}
	return is_row_stale || failing > pair_count(pairs);
}

static void merge_checkpoints(struct fleet_step *step, json_object *pairs)
{
	for (size_t i = 0; i < pair_count(pairs); i++) {
		json_object *text = NULL;
		int64_t index = pair_index(step, pairs, i, &text);

		if (index >= 0 && !step->tasks[index].checkpoint)
			fleet_task_set_checkpoint(&step->tasks[index],
						  json_object_get_string(text));
	}
}

static gboolean merge_step(struct fleet_step *step, json_object *json)
{
	gboolean is_row_stale = run_set_merge(
		&step->gang_failed, json_member(json, "gang_failures"));
	int64_t count = json_member_int(json, "gang_failure_count");

	run_set_raise_count(&step->gang_failed,
			    (guint)CLAMP(count, 0, G_MAXINT32));
	is_row_stale |= merge_done_tasks(step, json_member(json, "done")) <
			step->done_count;
	is_row_stale |= merge_failures(step, json);
	merge_checkpoints(step, json_member(json, "checkpoints"));
	return is_row_stale;
}

gboolean job_progress_merge(struct fleet_job *job, json_object *row)
{
	json_object *steps = json_member(row, "steps");
	enum fleet_job_state state = job_progress_state(row);
	gboolean is_row_stale;
	guint first;

	if (state != FLEET_JOB_STATE_COUNT && state > job->state &&
	    !fleet_job_has_ended(job))
		job->state = state;
	if (fleet_job_has_ended(job))
		return state != job->state;
	first = (guint)CLAMP(json_member_int(row, "first"), 0, G_MAXINT32);
	is_row_stale = job->first_occurrence > first;
	job->stored_first = MAX(job->stored_first, first);
	if (first) {
		fleet_job_skip_to(job, first);
		job->has_started = TRUE;
	}
	for (size_t i = 0; json_object_is_type(steps, json_type_array) &&
			   i < json_object_array_length(steps);
	     i++) {
		json_object *json = json_object_array_get_idx(steps, i);
		struct fleet_step *step;
		guint occurrence = (guint)json_member_int(json, "occurrence");

		while (job->occurrences <= occurrence &&
		       job->occurrences < job_spec_occurrences(&job->spec))
			fleet_job_add_occurrence(job);
		step = fleet_job_step(job, occurrence,
				      (guint)json_member_int(json, "step"));
		if (step)
			is_row_stale |= merge_step(step, json);
		/* A listed step has progress, so the job has started; an
		 * active job without any may not have. */
		job->has_started = TRUE;
	}
	return is_row_stale;
}
