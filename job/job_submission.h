/**
 * @file
 * Decodes a job submission and checks it against the configuration. Performs
 * no I/O.
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
 * Creates the row of a new job from the body of POST /v1/jobs.
 *
 * @param jobs	configuration body that holds the named jobs, or NULL
 * @param r	a zeroed struct; always clear with job_record_clear()
 * @return	TRUE if there were no findings
 */
gboolean job_submission_decode(json_object *body, const struct config_doc *doc,
			       const struct config_body *jobs,
			       struct job_record *r,
			       struct finding_list *findings);

#endif
