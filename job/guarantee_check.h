/**
 * @file
 * Checks a configuration against workers: guarantees that can't all be held
 * at once are findings. For `csctl check`, for applying a configuration and
 * for the operators' library.
 */
#ifndef JOB_GUARANTEE_CHECK_H
#define JOB_GUARANTEE_CHECK_H

#include <glib.h>
#include <stdint.h>

#include "base/finding.h"
#include "config/config_doc.h"
#include "job/pool.h"
#include "store/vm_list.h"

/**
 * Checks the guarantees of one pool on empty workers.
 *
 * @param workers	of struct worker_spec
 * @return		TRUE when all can be held at once
 */
gboolean guarantee_check_pool(const struct config_doc *doc, const char *pool,
			      const GArray *workers,
			      struct finding_list *findings);

/**
 * Checks the guarantees of all pools on the workers of a list of
 * VMs. Pools without any worker in the list are not judged, since the list
 * lags.
 */
gboolean guarantee_check_vms(const struct config_doc *doc,
			     const struct vm_list *list,
			     struct finding_list *findings);

#endif
