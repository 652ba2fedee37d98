/**
 * @file
 * Checks whether a set of workers can hold all guarantees of a configuration
 * at once, and reports those that it can't as findings. Used by `csctl check`,
 * when a configuration is applied, and by the operators' library.
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
 * Checks the guarantees of one pool as if its workers ran no jobs.
 *
 * @param workers	of struct worker_spec
 * @return		TRUE when all can be held at once; otherwise there is a
 *			finding for each that can't
 */
gboolean guarantee_check_pool(const struct config_doc *doc, const char *pool,
			      const GArray *workers,
			      struct finding_list *findings);

/**
 * Checks the guarantees of all pools on the live workers in a list of VMs.
 * Skips pools without any worker in the list, since the list lags behind the
 * platform.
 *
 * @return	TRUE when no finding was added
 */
gboolean guarantee_check_vms(const struct config_doc *doc,
			     const struct vm_list *list,
			     struct finding_list *findings);

#endif
