/**
 * @file
 * The claim of a request that may run at most once: a state machine over its
 * row in the table "claims". Pure: the caller carries out the step that each
 * function returns and reports its outcome by the next one.
 *
 * Whoever writes the row first decides: a claim excludes every other run, a
 * refusal excludes every earlier attempt that still waits somewhere. Callers
 * number their attempts, so that each knows which are earlier. An attempt
 * without a number goes by the row's version at its arrival instead; it is
 * barred only by what was written later.
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
	CLAIM_CLAIMED, /**< may run, or is running */
	CLAIM_DONE,
	CLAIM_NOT_RUN,
	CLAIM_UNKNOWN,
};

/** A row of the table. */
struct claim_row {
	char *request_id;
	char *node;
	char *incarnation;
	char *address;	 /**< HTTP address of the claimant */
	int64_t state;	 /**< enum claim_state */
	int64_t attempt; /**< number given by the caller, 0 for none */
	json_object *result;
	char *commit_id; /**< the same in all writes of one attempt */
};

extern const struct schema claim_row_schema;

enum claim_step {
	CLAIM_STEP_READ,   /**< read the row, then claim_on_read() */
	CLAIM_STEP_WRITE,  /**< claim_row_value() from version, then
				claim_on_write() */
	CLAIM_STEP_ASK,	   /**< ask the claimant, then claim_on_peer() */
	CLAIM_STEP_WAIT,   /**< wait a while, then claim_on_waited() */
	CLAIM_STEP_READY,  /**< may wait for its turn, then claim_write() */
	CLAIM_STEP_LANDED, /**< the row is as wanted */
	CLAIM_STEP_ANSWER, /**< answer as in answer, reason and result */
};

/** What the claimant says of an attempt. */
enum claim_peer {
	CLAIM_PEER_PENDING, /**< it works on it */
	CLAIM_PEER_SILENT,  /**< no answer */
	CLAIM_PEER_ENDED,   /**< finished, or another life of the process */
};

enum claim_phase {
	CLAIM_PHASE_ARRIVAL,
	CLAIM_PHASE_READY,
	CLAIM_PHASE_WRITING,
	CLAIM_PHASE_CHECKING,  /**< reads back what a write left */
	CLAIM_PHASE_ASKING,    /**< another attempt holds the claim */
	CLAIM_PHASE_LAST_LOOK, /**< that attempt has ended */
	CLAIM_PHASE_LANDED,
	CLAIM_PHASE_ANSWERED,
};

struct claim {
	struct claim_row own; /**< what this attempt writes */
	int64_t version;      /**< of the row that the next write replaces */
	enum claim_phase phase;
	gboolean is_in_doubt;	/**< a write may still take effect */
	gboolean is_background; /**< the caller has its answer already */
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
	int64_t attempt; /**< number given by the caller, 0 for none */
};

void claim_init(struct claim *c, const struct claim_spec *spec);
void claim_clear(struct claim *c);

/** Tells whether no earlier attempt of the key was made. */
gboolean claim_is_first(const struct claim *c);

/** Begins an attempt. */
enum claim_step claim_begin(struct claim *c);

/**
 * Wants the row to get a state: claimed before it is sent; not run, done or
 * unknown at the end.
 *
 * @param reason	of a refusal
 * @param result	of a request that is done; may be NULL
 */
enum claim_step claim_write(struct claim *c, enum claim_state state,
			    enum reason reason, json_object *result);

/** @param row	NULL unless STATUS_OK */
enum claim_step claim_on_read(struct claim *c, enum status status,
			      const struct table_row *row);
enum claim_step claim_on_write(struct claim *c, enum status status,
			       int64_t version);
enum claim_step claim_on_peer(struct claim *c, enum claim_peer peer);
enum claim_step claim_on_waited(struct claim *c);

/** Gives up waiting; the answer is the best that is certain. */
enum claim_step claim_on_deadline(struct claim *c);

/** Returns the row's new value; free with json_object_put(). */
json_object *claim_row_value(const struct claim *c);

#endif
