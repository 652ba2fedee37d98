/**
 * @file
 * Takes accepted requests through admission, claim, routing, run and retry to
 * exactly one answer each. The policies are modules in request/ that perform no
 * I/O; the dispatcher connects them to the network.
 */
#ifndef DAEMON_DISPATCHER_H
#define DAEMON_DISPATCHER_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/kernel.h"
#include "config/config_doc.h"
#include "request/decision_log.h"
#include "request/endpoint_table.h"
#include "request/request.h"

struct dispatcher;

struct dispatch_answer {
	const char *request_id;
	enum answer_kind kind;
	enum reason reason;
	json_object *result;  /**< set for ANSWER_DONE; not owned */
	const char *endpoint; /**< that ran the request, or NULL */
};

/** Called once per request, never during dispatcher_submit(). */
typedef void (*dispatch_answer_fn)(const struct dispatch_answer *answer,
				   void *data);

/** Requires the kernel's platform, HTTP and settings services. */
struct dispatcher *dispatcher_new(struct kernel *k);
void dispatcher_free(struct dispatcher *d);

/** Applies the client accounts of a configuration. */
void dispatcher_set_config(struct dispatcher *d, const struct config_doc *doc,
			   int64_t version);

/** Sets the number of gateways that share the limits of claim writes and, from
 *  the next dispatcher_set_config() on, the rate limits of accounts. */
void dispatcher_set_gateways(struct dispatcher *d, uint32_t count);

struct endpoint_table *dispatcher_endpoints(struct dispatcher *d);
struct decision_log *dispatcher_decisions(struct dispatcher *d);

/**
 * Accepts a request; @fn receives its answer.
 *
 * @param spec	its content moves to the dispatcher and the struct is zeroed
 */
void dispatcher_submit(struct dispatcher *d, struct request_spec *spec,
		       const char *request_id, dispatch_answer_fn fn,
		       void *data);

/** Sends what can be sent now; call it after the endpoint list has changed. */
void dispatcher_pump(struct dispatcher *d);

/** Returns TRUE if this process is still working on the request's claim. */
gboolean dispatcher_is_claim_pending(const struct dispatcher *d,
				     const char *request_id);

/** Returns the number of unanswered requests and unrecorded claims. */
guint dispatcher_pending(const struct dispatcher *d);

#endif
