/**
 * @file
 * A caller's submission of a job, checked against the configuration. Pure.
 */
#ifndef JOB_JOB_SUBMISSION_H
#define JOB_JOB_SUBMISSION_H

#include <glib.h>
#include <json-c/json.h>

#include "base/finding.h"
#include "config/config_body.h"
#include "config/config_doc.h"
#include "job/job_record.h"

/**
 * Makes the row of a new job from the body of POST /v1/jobs.
 *
 * @param jobs	body with the configuration's jobs, or NULL
 * @param r	a zeroed struct; job_record_clear() it in any case
 * @return	TRUE when nothing was found
 */
gboolean job_submission_decode(json_object *body, const struct config_doc *doc,
			       const struct config_body *jobs,
			       struct job_record *r,
			       struct finding_list *findings);

#endif
