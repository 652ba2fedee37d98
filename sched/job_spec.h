/**
 * @file
 * What a caller asks for with a job: steps of equal tasks that depend on each
 * other. It never changes once the job is accepted.
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
#define JOB_MAX_PAYLOAD_BYTES 4000
#define JOB_MAX_NAME_BYTES 200

struct step_spec {
	int64_t task_count;
	int64_t millicores; /**< of one task, as the other amounts */
	int64_t memory_mb;
	int64_t accelerators;
	int64_t estimate_ms; /**< rough, by the caller */
	json_object *after;  /**< numbers of steps that come first, or NULL */
	int64_t is_checkpointed;
	int64_t is_gang;	/**< tasks run only all together */
	int64_t is_one_rack;	/**< slower when spread over racks */
	char *required_label;	/**< of workers, or NULL */
	char *data_rack;	/**< where the step is faster, or NULL */
	int64_t max_per_worker; /**< tasks on one worker, 0 for any */
	int64_t is_speculative; /**< copies may run; the first end counts */
	int64_t is_service;	/**< runs until the job is cancelled */
	char *image;		/**< tasks of one image behave alike */
	int64_t tail_target_ms; /**< of a service's response times, or 0 */
	int64_t is_filler;	/**< takes cores that others leave unused */
	int64_t may_miss;	/**< tasks of a service away at one time */
};

struct job_spec {
	char *payload;	      /**< handed to the tasks as it is */
	GArray *steps;	      /**< of struct step_spec */
	int64_t repeat_count; /**< 0 for a job that runs once, at once */
	int64_t first_ms;     /**< due time of occurrence 0, since 1970 */
	int64_t interval_ms;  /**< between occurrences */
};

/** The form that is kept in a row, by the project's own names. */
extern const struct schema job_spec_row_schema;

void job_spec_clear(struct job_spec *spec);

/**
 * Checks what the schema can't: references between steps, cycles, totals.
 *
 * @return	TRUE when nothing was found
 */
gboolean job_spec_check(const struct job_spec *spec,
			struct finding_list *findings);

const struct step_spec *job_spec_step(const struct job_spec *spec, guint index);

/** Returns the number of occurrences, at least 1. */
guint job_spec_occurrences(const struct job_spec *spec);

/** Returns the number of steps that come before a step. */
guint step_spec_after_count(const struct step_spec *step);
guint step_spec_after(const struct step_spec *step, guint index);

#endif
