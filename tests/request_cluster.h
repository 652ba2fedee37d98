/**
 * @file
 * Harness for the request tests: processes of two gateways, the platform's
 * stand-in, and two runners behind a relay; and HTTP calls to the gateways.
 */
#ifndef TESTS_REQUEST_CLUSTER_H
#define TESTS_REQUEST_CLUSTER_H

#include <glib.h>
#include <json-c/json.h>

#include "tests/cluster.h"

#define GATEWAYS 2
#define RUNNERS 2
#define READY_TIMEOUT_MS 10000
/** Usual deadline of a request, from its arrival. */
#define DEADLINE_MS 1500
/** Usual time that a runner works on a request. */
#define WORK_MS 300
#define WARM_UP_REQUESTS 12

struct request_cluster {
	struct cluster *cluster;
	struct cluster_process *gateways[GATEWAYS];
	char *gateway_addresses[GATEWAYS];
	char *platform;			  /**< address of the stand-in */
	char *runner_addresses[RUNNERS];  /**< direct, for control and counts */
	char *relayed_addresses[RUNNERS]; /**< as the gateways call them */
	char *relay_control;		  /**< address for /control */
};

/** A call to a gateway; the members are set once is_done. */
struct request_call {
	json_object *body; /**< of the answer, owned, NULL without one */
	guint code;	   /**< HTTP status code, 0 without an answer */
	gboolean is_done;
};

struct request_call_spec {
	const char *key; /**< idempotency key; NULL: repeatable request */
	int attempt;	 /**< number from 1, 0 if attempts aren't numbered */
	int work_ms;	 /**< time that the runner works */
	int deadline_ms; /**< from the arrival */
};

/** Starts all processes and waits until both gateways serve requests. */
struct request_cluster *request_cluster_new(void);
void request_cluster_free(struct request_cluster *c);

/** Adds a VM to the platform's list or updates its entry. */
void request_cluster_add_vm_in_domain(struct request_cluster *c,
				      const char *failure_domain,
				      const char *vm, const char *role,
				      const char *state, const char *address);
/** Adds or updates a VM in the failure domain of the gateways. */
void request_cluster_add_vm(struct request_cluster *c, const char *vm,
			    const char *role, const char *state,
			    const char *address);

/** Sends a request to a gateway; free it with request_call_free(). */
struct request_call *request_cluster_send(struct request_cluster *c,
					  guint gateway,
					  const struct request_call_spec *r);

/**
 * Sends short repeatable requests one by one, alternating between the
 * gateways, and asserts that all are done.
 */
void request_cluster_send_repeatable(struct request_cluster *c, guint count);

/** Returns how often the runners started a request with this key. */
guint request_cluster_count_runs_of_key(struct request_cluster *c,
					const char *key);

/** Returns how many runs one runner started. */
guint request_cluster_count_runs_at_runner(struct request_cluster *c,
					   guint runner);

/** Waits until a runner has started a request with this key. */
void request_cluster_wait_started(struct request_cluster *c, const char *key);

/** Makes the platform's stand-in unavailable to all callers. */
void request_cluster_set_platform_down(struct request_cluster *c);
/** Kills the first gateway and waits until it has ended. */
void request_cluster_kill_gateway(struct request_cluster *c);
/** Sends SIGTERM to the first gateway, which starts a drain. */
void request_cluster_drain_gateway(struct request_cluster *c);

/** Waits until the call has ended, with or without an answer. */
void request_call_wait(struct request_call *call);
void request_call_free(struct request_call *call);

/** Returns a member of the answer as text, "" if it is missing. */
const char *request_call_member(const struct request_call *call,
				const char *name);

/** Asserts that the payload in the result has the key of the request. */
void request_call_assert_result_key(const struct request_call *call,
				    const char *key);

/**
 * Asserts that the result of a repeatable request has the request id of the
 * answer.
 */
void request_call_assert_result_id(const struct request_call *call);

/**
 * Asserts the answer of a call and, if it is "done", the key of its result.
 *
 * @param allowed	allowed answers, separated by "|"; "" if there must be
 *			no answer
 * @param reason	expected reason, NULL for any
 * @param key		expected key of the result
 */
void request_call_assert_answer(const struct request_call *call,
				const char *allowed, const char *reason,
				const char *key);

#endif
