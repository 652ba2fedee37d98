/**
 * @file
 * The log line for a body from outside that could not be decoded.
 */
#ifndef DAEMON_BAD_BODY_H
#define DAEMON_BAD_BODY_H

#include "base/finding.h"

/**
 * Logs the findings.
 *
 * @param from	the worker or the key of the row that it came from
 */
void bad_body_log(const char *pool, const char *from,
		  const struct finding_list *findings);

#endif
