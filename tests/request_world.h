/**
 * @file
 * Two gateways, the platform's stand-in and two runners behind a relay, as
 * processes, with callers of requests: what the tests of requests share.
 */
#ifndef TESTS_REQUEST_WORLD_H
#define TESTS_REQUEST_WORLD_H

#include <glib.h>
#include <json-c/json.h>

#include "tests/cluster.h"

#define GATEWAYS 2
#define RUNNERS 2
#define READY_TIMEOUT_MS 10000
#define DEADLINE_MS 1500
#define WORK_MS 300
#define WARM_UP_REQUESTS 12

struct request_cluster {
	struct cluster *cluster;
	struct cluster_process *gateways[GATEWAYS];
	char *gateway_addresses[GATEWAYS];
	char *platform;
	char *runner_addresses[RUNNERS];
	char *relayed_addresses[RUNNERS];
	char *relay_control;
};

/* A request that is under way. */
struct request_call {
	json_object *body; /* of the answer, NULL without one */
	guint code;
	gboolean is_done;
};

struct request_call_spec {
	const char *key; /* NULL: repeatable */
	int attempt;
	int work_ms;
	int deadline_ms;
};

/** Starts all and waits until both gateways serve. */
struct request_cluster *request_cluster_new(void);
void request_cluster_free(struct request_cluster *c);

/** Adds a VM to the platform's list, or changes it. */
void request_cluster_add_vm_in_domain(struct request_cluster *c,
				      const char *failure_domain,
				      const char *vm, const char *role,
				      const char *state, const char *address);
/** The same in the failure domain of the gateways. */
void request_cluster_add_vm(struct request_cluster *c, const char *vm,
			    const char *role, const char *state,
			    const char *address);

/** Sends a request by a gateway; the call is to be freed. */
struct request_call *request_cluster_send(struct request_cluster *c,
					  guint gateway,
					  const struct request_call_spec *r);

/** Sends short repeatable requests by turns and asserts that all are done. */
void request_cluster_send_repeatable(struct request_cluster *c, guint count);

/** How often the runners started the key. */
guint request_cluster_count_runs_of_key(struct request_cluster *c,
					const char *key);

/** How many runs a runner started. */
guint request_cluster_count_runs_at_runner(struct request_cluster *c,
					   guint runner);
void request_cluster_wait_started(struct request_cluster *c, const char *key);

void request_cluster_set_platform_down(struct request_cluster *c);
/** Kills the first gateway. */
void request_cluster_kill_gateway(struct request_cluster *c);
/** Asks the first gateway to drain. */
void request_cluster_drain_gateway(struct request_cluster *c);

void request_call_wait(struct request_call *call);
void request_call_free(struct request_call *call);

/** Returns a member of the answer, "" without one. */
const char *request_call_member(const struct request_call *call,
				const char *name);

/** Asserts that the result is that of the caller's own request. */
void request_call_assert_result_key(const struct request_call *call,
				    const char *key);

/** Asserts that the result is that of the run which the answer names. */
void request_call_assert_result_id(const struct request_call *call);

/**
 * Asserts an answer.
 *
 * @param allowed	answers, separated by "|"; "" for none
 * @param reason	NULL for any
 */
void request_call_assert_answer(const struct request_call *call,
				const char *allowed, const char *reason,
				const char *key);

#endif
