#include "sched/job_spec.h"

#define OUT_FIELD(type_, member, kind)                              \
	{                                                           \
		.name = #member, .type = (kind),                    \
		.offset = offsetof(type_, member), .max = INT64_MAX \
	}
#define STEP_INT(member) OUT_FIELD(struct step_spec, member, FIELD_INT)
#define STEP_STRING(member) OUT_FIELD(struct step_spec, member, FIELD_STRING)

static const struct field_spec step_fields[] = {
	STEP_INT(task_count),
	STEP_INT(millicores),
	STEP_INT(memory_mb),
	STEP_INT(accelerators),
	STEP_INT(estimate_ms),
	OUT_FIELD(struct step_spec, after, FIELD_JSON),
	STEP_INT(is_checkpointed),
	STEP_INT(is_gang),
	STEP_INT(is_one_rack),
	STEP_STRING(required_label),
	STEP_STRING(data_rack),
	STEP_INT(max_per_worker),
	STEP_INT(is_speculative),
	STEP_INT(is_service),
	STEP_STRING(image),
	STEP_INT(tail_target_ms),
	STEP_INT(is_filler),
	STEP_INT(may_miss),
	{ 0 },
};

static const struct schema step_schema = { sizeof(struct step_spec),
					   step_fields };

static const struct field_spec job_fields[] = {
	OUT_FIELD(struct job_spec, payload, FIELD_STRING),
	{ .name = "steps",
	  .type = FIELD_ARRAY,
	  .is_required = TRUE,
	  .offset = offsetof(struct job_spec, steps),
	  .max = JOB_MAX_STEPS,
	  .schema = &step_schema },
	OUT_FIELD(struct job_spec, repeat_count, FIELD_INT),
	OUT_FIELD(struct job_spec, first_ms, FIELD_INT),
	OUT_FIELD(struct job_spec, interval_ms, FIELD_INT),
	{ 0 },
};

const struct schema job_spec_row_schema = { sizeof(struct job_spec),
					    job_fields };

void job_spec_clear(struct job_spec *spec)
{
	schema_clear(&job_spec_row_schema, spec);
}

const struct step_spec *job_spec_step(const struct job_spec *spec, guint index)
{
	return &g_array_index(spec->steps, struct step_spec, index);
}

guint job_spec_occurrences(const struct job_spec *spec)
{
	return spec->repeat_count > 0 ? (guint)spec->repeat_count : 1;
}

guint job_spec_open_occurrences(const struct job_spec *spec)
{
	int64_t tasks = 0;

	for (guint i = 0; i < spec->steps->len; i++)
		tasks += job_spec_step(spec, i)->task_count;
	return (guint)MAX(JOB_OPEN_TASKS / MAX(tasks, 1), 1);
}

guint step_spec_dependency_count(const struct step_spec *step)
{
	if (!json_object_is_type(step->after, json_type_array))
		return 0;
	return (guint)json_object_array_length(step->after);
}

guint step_spec_dependency(const struct step_spec *step, guint index)
{
	json_object *item = json_object_array_get_idx(step->after, index);

	return (guint)json_object_get_int(item);
}

gboolean job_spec_check(const struct job_spec *spec,
			struct finding_list *findings)
{
	guint before = finding_list_count(findings);
	int64_t tasks = 0;

	if (!spec->steps || !spec->steps->len)
		finding_list_add(findings, "steps", "at least one step",
				 "no steps");
	for (guint i = 0; spec->steps && i < spec->steps->len; i++) {
		const struct step_spec *step = job_spec_step(spec, i);
		char *place = g_strdup_printf("steps[%u]", i);

		tasks += step->task_count;
		if (step->task_count < 1)
			finding_list_add(findings, place, "at least 1 task",
					 "no tasks");
		if (step_spec_dependency_count(step) > i)
			finding_list_add(findings, place,
					 "each earlier step at most once",
					 "%u dependencies",
					 step_spec_dependency_count(step));
		for (guint k = 0; k < MIN(step_spec_dependency_count(step), i);
		     k++) {
			if (step_spec_dependency(step, k) >= i)
				finding_list_add(findings, place,
						 "only earlier steps",
						 "depends on step %u",
						 step_spec_dependency(step, k));
		}
		g_free(place);
	}
	if (tasks > JOB_MAX_TASKS)
		finding_list_add(findings, "steps",
				 "at most 10000 tasks in all steps",
				 "%" G_GINT64_FORMAT " tasks", tasks);
	else if (tasks * job_spec_occurrences(spec) > JOB_MAX_REPEATED_TASKS)
		finding_list_add(findings, "steps",
				 "at most 100000 tasks in all occurrences",
				 "%" G_GINT64_FORMAT " tasks, %u occurrences",
				 tasks, job_spec_occurrences(spec));
	return finding_list_count(findings) == before;
}
