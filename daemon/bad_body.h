/**
 * @file
 * Logs the errors of message bodies and table rows that could not be decoded.
 */
#ifndef DAEMON_BAD_BODY_H
#define DAEMON_BAD_BODY_H

#include "base/finding.h"

/**
 * Logs the decoding errors of one body.
 *
 * @param from	name of the worker, or key of the row, that the body came from
 */
void bad_body_log(const char *pool, const char *from,
		  const struct finding_list *findings);

#endif
