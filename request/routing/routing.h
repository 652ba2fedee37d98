/**
 * @file
 * Routing policies: each a file in this folder, chosen by name from one table
 * in routing.c. A policy picks one endpoint for one request.
 */
#ifndef REQUEST_ROUTING_ROUTING_H
#define REQUEST_ROUTING_ROUTING_H

#include <glib.h>
#include <stdint.h>

#include "request/endpoint_table.h"

#define ROUTING_MAX_TRIED 4

struct routing_policy;

/** What a choice is made for. */
struct routing_query {
	int64_t now_ms;
	/** Endpoints in other failure domains may be taken. */
	gboolean may_spill;
	/** Endpoints that this request has been sent to before. */
	const struct endpoint *tried[ROUTING_MAX_TRIED];
	uint32_t tried_count;
};

struct routing_choice {
	struct endpoint *endpoint; /**< NULL when none can take it */
	const struct endpoint *runner_up;
	const char *reason;
};

struct routing_policy_class {
	const char *name;
	/** Chooses among the endpoints of one reach. */
	void (*choose)(struct routing_policy *p, struct endpoint_table *t,
		       enum endpoint_reach reach, const struct routing_query *q,
		       GRand *rand, struct routing_choice *out);
	struct routing_policy *(*create)(void);
};

/** First member of every policy. */
struct routing_policy {
	const struct routing_policy_class *class;
};

/** Name of the policy in use. */
#define ROUTING_POLICY_DEFAULT "power_of_two"

/** Returns a new policy by name, or NULL for an unknown name; g_free() it. */
struct routing_policy *routing_policy_new(const char *name);

/** Returns the names of all policies; ends with NULL. */
const char *const *routing_policy_names(void);

/**
 * Chooses an endpoint of the own failure domain, or of another one when the
 * query allows it and the own has none with room.
 */
void routing_choose(struct routing_policy *p, struct endpoint_table *t,
		    const struct routing_query *q, GRand *rand,
		    struct routing_choice *out);

/** For policies: tells whether the endpoint may take this request; counts
 * an inspection. */
gboolean routing_may_take(struct endpoint_table *t, struct endpoint *e,
			  const struct routing_query *q);

/** For policies: returns a random endpoint of a list that may take it, or
 * NULL when none of them may. */
struct endpoint *routing_sample(struct endpoint_table *t, GPtrArray *list,
				const struct routing_query *q, GRand *rand);

extern const struct routing_policy_class routing_random_class;
extern const struct routing_policy_class routing_round_robin_class;
extern const struct routing_policy_class routing_least_in_flight_class;
extern const struct routing_policy_class routing_power_of_two_class;

#endif
