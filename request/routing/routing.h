/**
 * @file
 * Routing policies, which choose the endpoint for a request. Each is a file in
 * this directory, listed by name in the table in routing.c.
 */
#ifndef REQUEST_ROUTING_ROUTING_H
#define REQUEST_ROUTING_ROUTING_H

#include <glib.h>
#include <stdint.h>

#include "request/endpoint_table.h"

/** Limit of endpoints recorded as tried for a request. */
#define ROUTING_MAX_TRIED 4

struct routing_policy;

/** The request that an endpoint is chosen for. */
struct routing_query {
	int64_t now_ms;
	/** Endpoints in other failure domains are allowed. */
	gboolean may_spill;
	/** The last endpoints that this request was sent to; not eligible. */
	const struct endpoint *tried[ROUTING_MAX_TRIED];
	uint32_t tried_count;
};

struct routing_choice {
	struct endpoint *endpoint;	  /**< NULL if none is eligible */
	const struct endpoint *runner_up; /**< next best, may be NULL */
	const char *reason;		  /**< static text */
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

/** Policy that the gateway uses. */
#define ROUTING_POLICY_DEFAULT "power_of_two"

/** Returns a new policy, or NULL for an unknown name; free with g_free(). */
struct routing_policy *routing_policy_new(const char *name);

/** Returns the names of all policies, NULL-terminated and static. */
const char *const *routing_policy_names(void);

/**
 * Chooses an endpoint of the local failure domain, or of another one if the
 * query allows it and no local endpoint has room.
 */
void routing_choose(struct routing_policy *p, struct endpoint_table *t,
		    const struct routing_query *q, GRand *rand,
		    struct routing_choice *out);

/** For policies: updates the endpoint's room and returns TRUE if it has room
 *  and was not tried; counts an inspection. */
gboolean routing_is_eligible(struct endpoint_table *t, struct endpoint *e,
			     const struct routing_query *q);

/** For policies: returns a random eligible endpoint of a list, or NULL if none
 *  is eligible. */
struct endpoint *routing_sample(struct endpoint_table *t, GPtrArray *list,
				const struct routing_query *q, GRand *rand);

extern const struct routing_policy_class routing_random_class;
extern const struct routing_policy_class routing_round_robin_class;
extern const struct routing_policy_class routing_least_in_flight_class;
extern const struct routing_policy_class routing_power_of_two_class;

#endif
