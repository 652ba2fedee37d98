#include "sched/job_progress.h"

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

/* Encodes the numbers of the tasks that are done; TRUE if all are. */
static json_object *encode_done(const struct fleet_step *step)
{
	json_object *list;

	if (step->done_count == step->task_count)
		return json_object_new_boolean(TRUE);
	list = json_object_new_array();
	for (guint i = 0; i < step->task_count; i++) {
		if (step->tasks[i].state == TASK_DONE)
			json_object_array_add(list, json_object_new_int64(i));
	}
	return list;
}

/* Encodes pairs of a task's number and its failed runs. */
static json_object *encode_failures(const struct fleet_step *step)
{
	json_object *map = json_object_new_array();

	for (guint i = 0; i < step->task_count; i++) {
		json_object *pair;

		if (!run_set_count(&step->tasks[i].failed))
			continue;
		pair = json_object_new_array();
		json_object_array_add(pair, json_object_new_int64(i));
		json_object_array_add(pair,
				      run_set_encode(&step->tasks[i].failed));
		json_object_array_add(map, pair);
	}
	return map;
}

/* Encodes pairs of an unfinished task's number and its checkpoint. */
static json_object *encode_checkpoints(const struct fleet_step *step)
{
	json_object *map = json_object_new_array();

	for (guint i = 0; i < step->task_count; i++) {
		const struct fleet_task *t = &step->tasks[i];
		json_object *pair;

		if (!t->checkpoint || t->state == TASK_DONE)
			continue;
		pair = json_object_new_array();
		json_object_array_add(pair, json_object_new_int64(i));
		json_object_array_add(pair,
				      json_object_new_string(t->checkpoint));
		json_object_array_add(map, pair);
	}
	return map;
}

static json_object *encode_step(const struct fleet_step *step)
{
	json_object *json = json_object_new_object();

	add_int(json, "occurrence", step->occurrence);
	add_int(json, "step", step->index);
	json_object_object_add(json, "done", encode_done(step));
	json_object_object_add(json, "failures", encode_failures(step));
	json_object_object_add(json, "checkpoints", encode_checkpoints(step));
	json_object_object_add(json, "gang_failures",
			       run_set_encode(&step->gang_failed));
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

json_object *job_progress_encode(const struct fleet_job *job)
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
			json_object_array_add(steps, encode_step(step));
	}
	json_object_object_add(row, "steps", steps);
	return row;
}

enum fleet_job_state job_progress_state(json_object *row)
{
	return fleet_job_state_from_name(json_member_text(row, "state"));
}

static gboolean row_has_done(json_object *done, guint index)
{
	if (json_object_is_type(done, json_type_boolean))
		return json_object_get_boolean(done);
	if (!json_object_is_type(done, json_type_array))
		return FALSE;
	for (size_t i = 0; i < json_object_array_length(done); i++) {
		if (json_object_get_int64(json_object_array_get_idx(done, i)) ==
		    index)
			return TRUE;
	}
	return FALSE;
}

/* Returns the second element of the pair whose first is @index, or NULL. */
static json_object *find_pair_value(json_object *pairs, guint index)
{
	if (!json_object_is_type(pairs, json_type_array))
		return NULL;
	for (size_t i = 0; i < json_object_array_length(pairs); i++) {
		json_object *pair = json_object_array_get_idx(pairs, i);

		if (json_object_is_type(pair, json_type_array) &&
		    json_object_array_length(pair) == 2 &&
		    json_object_get_int64(json_object_array_get_idx(pair, 0)) ==
			    index)
			return json_object_array_get_idx(pair, 1);
	}
	return NULL;
}

static gboolean merge_task(struct fleet_task *t, json_object *json)
{
	json_object *failures =
		find_pair_value(json_member(json, "failures"), t->index);
	json_object *checkpoint =
		find_pair_value(json_member(json, "checkpoints"), t->index);
	gboolean is_done = row_has_done(json_member(json, "done"), t->index);
	gboolean is_row_stale = run_set_merge(&t->failed, failures);

	is_row_stale |= t->state == TASK_DONE && !is_done;
	if (checkpoint && !t->checkpoint)
		t->checkpoint = g_strdup(json_object_get_string(checkpoint));
	if (is_done && t->state != TASK_DONE) {
		t->step->done_count++;
		t->state = TASK_DONE;
	}
	return is_row_stale;
}

static gboolean merge_step(struct fleet_step *step, json_object *json)
{
	gboolean is_row_stale = run_set_merge(
		&step->gang_failed, json_member(json, "gang_failures"));

	for (guint i = 0; i < step->task_count; i++)
		is_row_stale |= merge_task(&step->tasks[i], json);
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
