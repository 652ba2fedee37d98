/**
 * @file
 * Result codes of operations that can fail, and the last error message.
 */
#ifndef BASE_STATUS_H
#define BASE_STATUS_H

#include <glib.h>

enum status {
	STATUS_OK,
	STATUS_INVALID,	    /**< the input violates its schema or a limit */
	STATUS_NOT_FOUND,   /**< no such row, object, account or job */
	STATUS_CONFLICT,    /**< a compare-and-set or an epoch check failed */
	STATUS_REFUSED,	    /**< the peer replied that it did nothing */
	STATUS_UNAVAILABLE, /**< nothing was sent, so nothing was done */
	STATUS_UNKNOWN,	    /**< sent without a reply: may have been done */
	STATUS_EXPIRED,	    /**< a deadline or a lease expired */
	STATUS_FULL,	    /**< a queue or a limit is exhausted */
	STATUS_COUNT,
};

/** Returns the lower-case name of a status, for logs and replies. */
const char *status_name(enum status status);

/**
 * Records an error message and returns @status, so that a function can end
 * with `return status_fail(STATUS_INVALID, "...")`.
 */
enum status status_fail(enum status status, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** Returns the last error message of this process. */
const char *status_last_message(void);

#endif
