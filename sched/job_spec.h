/**
 * @file
 * Specification of a job: steps of identical tasks, with dependencies between
 * steps. It is immutable once the job is accepted.
 */
#ifndef SCHED_JOB_SPEC_H
#define SCHED_JOB_SPEC_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/finding.h"
#include "base/schema.h"

#define JOB_MAX_STEPS 100
#define JOB_MAX_TASKS 10000
/** Tasks of all occurrences of a repeated job, which may be due at once. */
#define JOB_MAX_REPEATED_TASKS 100000
#define JOB_MAX_OCCURRENCES 10000
/**
 * Tasks of the occurrences of a repeated job that are held at once, at least
 * one occurrence: the others wait, which bounds plans, memory and rows.
 */
#define JOB_OPEN_TASKS 200
/** Limits of the times of a repeated job; their sums can't overflow. */
#define JOB_MAX_FIRST_MS (INT64_C(1) << 53)
#define JOB_MAX_INTERVAL_MS (INT64_C(1) << 40)
#define JOB_MAX_PAYLOAD_BYTES 4000
#define JOB_MAX_NAME_BYTES 200

struct step_spec {
	int64_t task_count;
	int64_t millicores; /**< per task, like memory and accelerators */
	int64_t memory_mb;
	int64_t accelerators;
	int64_t estimate_ms; /**< client's rough run time of a task */
	json_object *after;  /**< numbers of the steps it depends on, or NULL */
	int64_t is_checkpointed;
	int64_t is_gang;     /**< all tasks run at the same time or none does */
	int64_t is_one_rack; /**< preference: slower if spread over racks */
	char *required_label;	/**< label that a worker must have, or NULL */
	char *data_rack;	/**< rack of its data, a preference; or NULL */
	int64_t max_per_worker; /**< limit of tasks per worker, 0 for none */
	int64_t is_speculative; /**< duplicates may run; the first end counts */
	int64_t is_service;	/**< runs until the job is cancelled */
	char *image;		/**< tasks of the same image behave alike */
	int64_t tail_target_ms; /**< tail response time of a service, or 0 */
	int64_t is_filler; /**< runs on cores that other tasks leave unused */
	int64_t may_miss;  /**< tasks of a service that may be down at once */
};

struct job_spec {
	char *payload;	      /**< passed to the tasks unchanged */
	GArray *steps;	      /**< of struct step_spec */
	int64_t repeat_count; /**< occurrences; 0: one, due immediately */
	int64_t first_ms;     /**< due time of occurrence 0, since 1970 */
	int64_t interval_ms;  /**< between occurrences */
};

/** Schema of the stored form, with the project's own field names. */
extern const struct schema job_spec_row_schema;

void job_spec_clear(struct job_spec *spec);

/**
 * Checks what the schema can't express: at least one step, task counts, and
 * dependencies on earlier steps only, which rules out cycles.
 *
 * @return	TRUE if there were no findings
 */
gboolean job_spec_check(const struct job_spec *spec,
			struct finding_list *findings);

const struct step_spec *job_spec_step(const struct job_spec *spec, guint index);

/** Returns the number of occurrences, at least 1. */
guint job_spec_occurrences(const struct job_spec *spec);

/** Returns how many occurrences may be open at once, see JOB_OPEN_TASKS. */
guint job_spec_open_occurrences(const struct job_spec *spec);

/** Returns the number of steps that a step depends on. */
guint step_spec_dependency_count(const struct step_spec *step);

/** Returns the number of the step that dependency @index refers to. */
guint step_spec_dependency(const struct step_spec *step, guint index);

#endif
