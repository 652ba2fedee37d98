/**
 * @file
 * What the holder knows of its contact with one worker: when to call it, and
 * whether it is lost. Pure.
 */
#ifndef JOB_WORKER_CONTACT_H
#define JOB_WORKER_CONTACT_H

#include <glib.h>
#include <stdint.h>

#include "job/renewal_message.h"
#include "job/worker_report.h"
#include "shared/lease_protocol.h"

/** Timeout of one call; the transport keeps it. */
#define WORKER_CALL_TIMEOUT_MS INT64_C(1000)
/** Between a call that failed and the next. */
#define WORKER_RETRY_MS INT64_C(500)
/** From the first failed call to the worker being taken as lost. */
#define WORKER_LOST_AFTER_MS INT64_C(1500)
/** Beyond the lease: for a call that was delayed, and for clocks' rates. */
#define WORKER_EXPIRY_SLACK_MS INT64_C(2000)
/** Shortest period of renewals. */
#define WORKER_RENEW_MIN_MS INT64_C(1000)
/**
 * From the death of a holder to the first call of its successor or of a
 * caretaker: leases of running tasks have to last that long.
 */
#define WORKER_TAKEOVER_MS                                                \
	(LEASE_TTL_MS + LEASE_TTL_MS / LEASE_RATE_MARGIN +                \
	 LEASE_POLL_SLOW_MS + LEASE_STAGGER_MS + WORKER_CALL_TIMEOUT_MS + \
	 WORKER_RETRY_MS + WORKER_EXPIRY_SLACK_MS)
/** Renewals a second of one process. */
#define WORKER_RENEWALS_PER_S INT64_C(10)
/**
 * Points in a period at which renewals are made: those of one point share the
 * turns of the main loop. Some are a point early, to spread them.
 */
#define WORKER_RENEW_POINTS 8

/** What a worker's state changed to. */
enum contact_event {
	CONTACT_EVENT_NONE,
	CONTACT_EVENT_LOST,    /**< does not answer */
	CONTACT_EVENT_EXPIRED, /**< whatever was on it can't run any more */
};

/** A command that was sent, to match its result. */
struct sent_command {
	enum worker_op op;
	char *task;
};

struct worker_contact {
	char *name;
	char *address;
	gboolean is_listed; /**< in the platform's list of VMs */
	gboolean is_leaving;
	gboolean is_fenced;  /**< answered under this epoch */
	gboolean is_current; /**< reported later than the lag after that */
	gboolean is_lost;
	gboolean is_expired;
	gboolean is_aside;  /**< fails what it starts */
	gboolean is_usable; /**< as the pool was last told */
	gboolean is_due;    /**< has commands to be sent at once */
	gboolean is_in_flight;
	gboolean is_shared; /**< in a delegate's share */
	int64_t call_id;    /**< of the call in flight */
	int64_t sent_ms;    /**< when the last call was sent */
	int64_t fenced_ms;
	int64_t lease_until_ms;	  /**< no lease lasts longer on it */
	int64_t shared_until_ms;  /**< end of the delegate's grant */
	int64_t own_until_ms;	  /**< in no share before */
	int64_t commanded_ms;	  /**< last call with commands */
	int64_t as_of_ms;	  /**< no older than this is the report */
	int64_t digest;		  /**< of that report */
	char *worker_digest;	  /**< of that report by the worker, or NULL */
	int64_t first_failure_ms; /**< 0 when the last call was answered */
	int64_t unlisted_ms;
	int64_t next_call_ms;
	GArray *sent;	   /**< of struct sent_command, of the call in flight */
	GHashTable *tasks; /**< task to struct member_ref, the scheduler's */
	GPtrArray *orphans;   /**< of char *, tasks that belong to nothing */
	const char *delegate; /**< whose share it is meant for, or NULL */
};

struct worker_contact *worker_contact_new(const char *name, const char *address,
					  int64_t now_ms);
void worker_contact_free(struct worker_contact *c);

/** Forgets what belongs to an epoch: fence, calls, tasks. */
void worker_contact_reset(struct worker_contact *c, int64_t now_ms);

/** Takes the worker from or off the platform's list. */
void worker_contact_set_listed(struct worker_contact *c, gboolean is_listed,
			       gboolean is_leaving, int64_t now_ms);

/** Tells whether to call now. */
gboolean worker_contact_wants_call(const struct worker_contact *c,
				   int64_t now_ms);
/** Takes note of a call that gives a lease, with commands in @c->sent. */
void worker_contact_on_sent(struct worker_contact *c, int64_t call_id,
			    int64_t lease_ms, int64_t now_ms);

/**
 * Tells whether the last report holds all that was sent: only a change of the
 * tasks is news then.
 */
gboolean worker_contact_is_settled(const struct worker_contact *c);

/** Tells whether a delegate may renew: all that was sent has been reported. */
gboolean worker_contact_may_be_shared(const struct worker_contact *c,
				      int64_t now_ms);

/** Takes the tasks of a report as what is known of the worker. */
void worker_contact_on_tasks(struct worker_contact *c,
			     const struct worker_report *report);

/** Takes note of a grant that holds the worker. */
void worker_contact_on_granted(struct worker_contact *c, int64_t life_ms,
			       int64_t lease_ms, int64_t now_ms);

/** Takes it back from the delegate that could not reach it. */
void worker_contact_on_delegate_failed(struct worker_contact *c,
				       int64_t now_ms);

/**
 * Takes an answer.
 *
 * @return	the time that the report is certainly not older than
 */
int64_t worker_contact_on_answer(struct worker_contact *c, int64_t period_ms,
				 int64_t now_ms);

/** Takes the failure of the call in flight. */
void worker_contact_on_failure(struct worker_contact *c, int64_t now_ms);

/** Returns what became of the worker since the last check. */
enum contact_event worker_contact_check(struct worker_contact *c,
					int64_t lease_ms, int64_t now_ms);

/**
 * Returns when worker_contact_check() finds something unless an event comes
 * before, WAKE_NEVER for never.
 */
int64_t worker_contact_check_ms(const struct worker_contact *c,
				int64_t lease_ms);

/** Returns when to call next, WAKE_NEVER while a call is in flight. */
int64_t worker_contact_call_ms(const struct worker_contact *c, int64_t now_ms);

/** Tells whether new work may be placed on the worker. */
gboolean worker_contact_is_usable(const struct worker_contact *c);

/**
 * Tells whether sharing the renewals among as many schedulers shortens the
 * bound on gangs in part.
 */
gboolean worker_renewals_are_shared(guint workers, guint schedulers);

/** Returns the period of renewals that keeps within each one's rate. */
int64_t worker_renew_period_ms(guint workers, guint schedulers);

/**
 * Returns when to renew next after a call that was answered: a point of the
 * clock that divides the period, no later than a period from now.
 */
int64_t worker_renew_next_ms(const char *worker, int64_t call_id,
			     int64_t period_ms, int64_t now_ms);

/** Returns the lease that goes with the period and outlasts a takeover. */
int64_t worker_lease_ms(guint workers, guint schedulers);

/** Returns the time in which a gang is stopped that has lost a worker. */
int64_t worker_notice_ms(guint workers, guint schedulers);

/**
 * Returns the time after which no part of a gang runs any more that has lost a
 * member: to notice it, and for the leases to lapse where a worker can't be
 * reached.
 */
int64_t worker_partial_bound_ms(guint workers, guint schedulers);

#endif
