/**
 * @file
 * Applies a change to a decoded configuration: only the entities that are
 * added or replaced are decoded, the others are kept as they are. Jobs are
 * checked and not kept; one is decoded when it is needed. Pure.
 */
#ifndef CONFIG_CONFIG_DOC_CHANGE_H
#define CONFIG_CONFIG_DOC_CHANGE_H

#include "base/finding.h"
#include "config/config_delta.h"
#include "config/config_doc.h"

/**
 * Applies a change as a whole or not at all. Entities that the change leaves
 * alone are not checked again: the digest of the body tells that the result is
 * the one that was accepted.
 *
 * @param doc	sound and without jobs, or zeroed for none
 * @return	FALSE when the result would be unsound; the findings' places
 *		are those of the result
 */
gboolean config_doc_change(struct config_doc *doc, const struct config_delta *d,
			   struct finding_list *findings);

/** Frees the jobs of a sound configuration, which stay in its body. */
void config_doc_drop_jobs(struct config_doc *doc);

/**
 * Decodes a job of a body.
 *
 * @param b	may be NULL
 * @param out	zeroed; schema_clear() it by job_spec_schema in any case
 * @return	FALSE when there is no such job
 */
gboolean config_doc_named_job(const struct config_body *b, const char *name,
			      struct job_spec *out);

#endif
