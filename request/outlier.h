/**
 * @file
 * Outlier detection: ejects endpoints that fail repeatedly or answer slowly.
 * It caps the share of endpoints that are ejected at a time and never ejects
 * the last live endpoint of its reach (local or remote). An endpoint that
 * refuses connections is ejected regardless of both limits, as it can't serve
 * any request. After an ejection endpoint_limit() raises the load slowly.
 */
#ifndef REQUEST_OUTLIER_H
#define REQUEST_OUTLIER_H

#include <glib.h>
#include <stdint.h>

#include "request/endpoint_table.h"
#include "request/request.h"

struct outlier_policy {
	double mean_us[REQUEST_CLASS_COUNT]; /**< average per class */
};

enum outlier_event {
	OUTLIER_OK,
	OUTLIER_FAILED,	 /**< error, or lost or mismatched answer */
	OUTLIER_REFUSED, /**< connection refused: ejects at once */
};

/**
 * Records the outcome of one request.
 *
 * @param latency_us	of a complete answer; used with OUTLIER_OK only
 * @return		TRUE if the outcome ejected the endpoint
 */
gboolean outlier_record(struct outlier_policy *o, struct endpoint_table *t,
			struct endpoint *e, enum outlier_event event,
			enum request_class class, int64_t latency_us,
			int64_t now_ms);

/** Ends ejections whose time is over; call a few times a second. */
void outlier_readmit(struct endpoint_table *t, int64_t now_ms);

#endif
