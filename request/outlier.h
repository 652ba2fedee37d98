/**
 * @file
 * Sets endpoints aside that fail or answer slowly, with a cap on how many may
 * be out at a time, and never the last live one of its reach. Endpoints that
 * refuse connections don't count to the cap: they are certainly of no use.
 * endpoint_limit() makes the return slow.
 */
#ifndef REQUEST_OUTLIER_H
#define REQUEST_OUTLIER_H

#include <glib.h>
#include <stdint.h>

#include "request/endpoint_table.h"
#include "request/request.h"

struct outlier_policy {
	double mean_us[REQUEST_CLASS_COUNT]; /**< of whole answers */
};

enum outlier_event {
	OUTLIER_OK,
	OUTLIER_FAILED,	 /**< error, lost or crossed answer */
	OUTLIER_REFUSED, /**< no connection: set aside at once, beyond the cap
			  */
};

/**
 * Takes an outcome of one request.
 *
 * @param latency_us	of a whole answer
 * @return		TRUE when the endpoint has been set aside by it
 */
gboolean outlier_record(struct outlier_policy *o, struct endpoint_table *t,
			struct endpoint *e, enum outlier_event event,
			enum request_class class, int64_t latency_us,
			int64_t now_ms);

/** Lets endpoints return whose time is over; call a few times a second. */
void outlier_return(struct endpoint_table *t, int64_t now_ms);

#endif
