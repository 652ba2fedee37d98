/**
 * @file
 * Applies a delta to a decoded configuration: only the entities added or
 * replaced are decoded, the others stay as they are. Jobs are checked but not
 * kept; a job is decoded from the body when it is needed. Performs no I/O.
 */
#ifndef CONFIG_CONFIG_DOC_CHANGE_H
#define CONFIG_CONFIG_DOC_CHANGE_H

#include "base/finding.h"
#include "config/config_delta.h"
#include "config/config_doc.h"

/**
 * Applies a delta as a whole or not at all. Unchanged entities are not decoded
 * again: the digest of the body shows that the result is the configuration that
 * was accepted.
 *
 * @param doc	a valid configuration without jobs, or zeroed for none
 * @return	FALSE when the result would be invalid; @doc is then unchanged,
 *		and the places of the findings are those in the result
 */
gboolean config_doc_apply_delta(struct config_doc *doc,
				const struct config_delta *d,
				struct finding_list *findings);

/** Frees the decoded jobs of a configuration; its body keeps them as text. */
void config_doc_drop_jobs(struct config_doc *doc);

/**
 * Decodes the job with a name from a body.
 *
 * @param b	may be NULL
 * @param out	zeroed; schema_clear() it by job_spec_schema in any case
 * @return	FALSE when there is no such job or it can't be decoded
 */
gboolean config_doc_decode_job(const struct config_body *b, const char *name,
			       struct job_spec *out);

#endif
