/**
 * @file
 * State machine for the claim of a request that may run at most once, over its
 * row in the table "claims". It does no I/O: the caller carries out the step
 * that a function returns and reports the outcome with the next call.
 *
 * The first write to the row wins: a claim excludes every other run, and a
 * refusal bars every earlier attempt that is still waiting. Callers can number
 * their attempts, which tells the earlier ones from the later ones. An attempt
 * without a number is ordered by the row version that it read on arrival, so
 * only later writes bar it.
 */
#ifndef REQUEST_CLAIM_H
#define REQUEST_CLAIM_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/schema.h"
#include "base/status.h"
#include "store/platform.h"
#include "request/request.h"

#define CLAIM_TABLE "claims"

enum claim_state {
	CLAIM_CLAIMED, /**< the claimant may run it or is running it */
	CLAIM_DONE,
	CLAIM_NOT_RUN,
	CLAIM_UNKNOWN,
};

/** Row of the table "claims". */
struct claim_row {
	char *request_id;
	char *node;
	char *incarnation;
	char *address;	 /**< HTTP address of the claimant, "IP:PORT" */
	int64_t state;	 /**< enum claim_state */
	int64_t attempt; /**< attempt number from the caller, 0 for none */
	json_object *result;
	char *commit_id; /**< identifies the attempt; same in all its writes */
};

extern const struct schema claim_row_schema;

/** What the caller does next, and the function to call with the outcome. */
enum claim_step {
	CLAIM_STEP_READ,    /**< read the row, then claim_on_read() */
	CLAIM_STEP_WRITE,   /**< write claim_row_value() over the row at
				 claim.version, then claim_on_write() */
	CLAIM_STEP_ASK,	    /**< ask the claimant, then claim_on_peer() */
	CLAIM_STEP_WAIT,    /**< wait, then claim_on_waited() */
	CLAIM_STEP_READY,   /**< queue the request, then claim_write() */
	CLAIM_STEP_WRITTEN, /**< the row has the state set by claim_write() */
	CLAIM_STEP_ANSWER,  /**< answer with claim.answer, reason and result */
};

/** State of the claimant's attempt, as the claimant reports it. */
enum claim_peer {
	CLAIM_PEER_PENDING, /**< still in progress */
	CLAIM_PEER_SILENT,  /**< no reply */
	CLAIM_PEER_ENDED,   /**< finished, or lost as the process ended */
};

enum claim_phase {
	CLAIM_PHASE_ARRIVAL, /**< first read of the row */
	CLAIM_PHASE_READY,   /**< waits for claim_write() */
	CLAIM_PHASE_WRITING,
	CLAIM_PHASE_CHECKING,	/**< reads the row back after a write */
	CLAIM_PHASE_ASKING,	/**< asks the claimant of another attempt */
	CLAIM_PHASE_FINAL_READ, /**< reads again after that attempt ended */
	CLAIM_PHASE_WRITTEN,
	CLAIM_PHASE_ANSWERED,
};

struct claim {
	struct claim_row own; /**< the row that this attempt writes */
	int64_t version;      /**< row version that the next write replaces */
	enum claim_phase phase;
	gboolean is_unresolved; /**< a write may still take effect */
	gboolean is_background; /**< answered; only writes the row */
	char *peer_address;	/**< of the claimant to ask */
	char *peer_incarnation;
	char *peer_request_id;
	enum answer_kind answer;
	enum reason reason;
	json_object *result;
};

struct claim_spec {
	const char *request_id;
	const char *node;
	const char *incarnation;
	const char *address;
	const char *commit_id;
	int64_t attempt; /**< attempt number from the caller, 0 for none */
};

void claim_init(struct claim *c, const struct claim_spec *spec);
void claim_clear(struct claim *c);

/** Returns TRUE if the caller numbered this the first attempt for the key. */
gboolean claim_is_first(const struct claim *c);

/** Starts an attempt and returns its first step. */
enum claim_step claim_begin(struct claim *c);

/**
 * Starts a write that sets the state of the row: claimed before the request is
 * sent to an endpoint; not run, done or unknown at its end.
 *
 * @param reason	of a refusal
 * @param result	of a completed request; may be NULL
 */
enum claim_step claim_write(struct claim *c, enum claim_state state,
			    enum reason reason, json_object *result);

/** @param row	the row as read; NULL unless @status is STATUS_OK */
enum claim_step claim_on_read(struct claim *c, enum status status,
			      const struct table_row *row);
enum claim_step claim_on_write(struct claim *c, enum status status,
			       int64_t version);
enum claim_step claim_on_peer(struct claim *c, enum claim_peer peer);
enum claim_step claim_on_waited(struct claim *c);

/** Stops waiting and answers with what is certain at this time. */
enum claim_step claim_on_deadline(struct claim *c);

/** Returns the row to write; free with json_object_put(). */
json_object *claim_row_value(const struct claim *c);

#endif
