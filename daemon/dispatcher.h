/**
 * @file
 * Carries accepted requests through admission, claim, choice of endpoint, run
 * and retry, to one answer each. The decisions are made by the pure modules
 * in request/; this one moves requests between them and the network.
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
	json_object *result;  /**< of a request that is done */
	const char *endpoint; /**< that ran it, or NULL */
};

/** Called exactly once for each request, never from within submit. */
typedef void (*dispatch_fn)(const struct dispatch_answer *answer, void *data);

/** Uses the services platform, http and settings of the kernel. */
struct dispatcher *dispatcher_new(struct kernel *k);
void dispatcher_free(struct dispatcher *d);

/** Takes the accounts of a configuration. */
void dispatcher_set_config(struct dispatcher *d, const struct config_doc *doc,
			   int64_t version);

/** Sets how many entry processes of the service there are. */
void dispatcher_set_gateways(struct dispatcher *d, uint32_t count);

struct endpoint_table *dispatcher_endpoints(struct dispatcher *d);
struct decision_log *dispatcher_decisions(struct dispatcher *d);

/** @param spec	its content is taken over and the struct zeroed */
void dispatcher_submit(struct dispatcher *d, struct request_spec *spec,
		       const char *request_id, dispatch_fn fn, void *data);

/** Looks for work that can be sent now, as after a new list of endpoints. */
void dispatcher_pump(struct dispatcher *d);

/** Tells whether this process still works on a request's claim. */
gboolean dispatcher_is_claim_pending(const struct dispatcher *d,
				     const char *request_id);

/** Returns how many requests are not answered or not recorded yet. */
guint dispatcher_pending(const struct dispatcher *d);

#endif
