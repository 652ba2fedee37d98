/**
 * @file
 * The holder's state of one worker: its call in flight, the tasks it should
 * run, when to call it next, and whether it is lost. No I/O; time is passed in.
 */
#ifndef JOB_WORKER_CONTACT_H
#define JOB_WORKER_CONTACT_H

#include <glib.h>
#include <stdint.h>

#include "job/renewal_message.h"
#include "job/worker_report.h"
#include "shared/lease_protocol.h"

/** Timeout of one call, enforced by the transport. */
#define WORKER_CALL_TIMEOUT_MS INT64_C(1000)
/** Delay from a failed call to the next. */
#define WORKER_RETRY_MS INT64_C(500)
/** Time after the first failed call until the worker counts as lost. */
#define WORKER_LOST_AFTER_MS INT64_C(1500)
/** Added to a lease to allow for a delayed call and for clock drift. */
#define WORKER_EXPIRY_SLACK_MS INT64_C(2000)
/** Shortest period of renewals. */
#define WORKER_RENEW_MIN_MS INT64_C(1000)
/**
 * Longest time from the failure of a holder to the first call by its successor
 * or by a caretaker. Leases of running tasks have to last that long.
 */
#define WORKER_TAKEOVER_MS                                                \
	(LEASE_TTL_MS + LEASE_TTL_MS / LEASE_RATE_MARGIN +                \
	 LEASE_POLL_SLOW_MS + LEASE_STAGGER_MS + WORKER_CALL_TIMEOUT_MS + \
	 WORKER_RETRY_MS + WORKER_EXPIRY_SLACK_MS)
/** Maximum rate of renewals by one process, per second. */
#define WORKER_RENEWALS_PER_S INT64_C(10)
/**
 * Points of a renewal period at which renewals are sent, so that those of one
 * point share iterations of the main loop. About half are sent one point early,
 * to spread bursts over the points.
 */
#define WORKER_RENEW_POINTS 8

/** A change of a worker's state. */
enum contact_event {
	CONTACT_EVENT_NONE,
	CONTACT_EVENT_LOST,    /**< stopped answering */
	CONTACT_EVENT_EXPIRED, /**< leases ran out, no task can run */
};

/** A command in the call in flight, to match its result. */
struct sent_command {
	enum worker_op op;
	char *task;
};

/** Times are monotonic, as given by the caller. */
struct worker_contact {
	char *name;
	char *address;	     /**< NULL for a worker known from a row only */
	gboolean is_listed;  /**< in the platform's list of VMs */
	gboolean is_leaving; /**< the platform is about to remove the VM */
	gboolean is_fenced;  /**< has answered a call under this epoch */
	/** A report was made after fenced_ms; cleared when rows are read. */
	gboolean has_fresh_report;
	gboolean is_lost;	 /**< stopped answering */
	gboolean is_expired;	 /**< lost, and no task can run on it */
	gboolean is_quarantined; /**< after repeated task failures */
	gboolean is_usable;	 /**< last value given to the pool */
	gboolean is_call_due;	 /**< call at once: commands or changed tasks */
	gboolean is_in_flight;
	gboolean is_shared;	  /**< renewed by a delegate */
	int64_t call_id;	  /**< of the call in flight */
	int64_t sent_ms;	  /**< when the last call was sent */
	int64_t fenced_ms;	  /**< first answer under this epoch */
	int64_t lease_until_ms;	  /**< no lease on the worker ends later */
	int64_t shared_until_ms;  /**< end of the delegate's grant */
	int64_t share_after_ms;	  /**< not shared again before */
	int64_t last_command_ms;  /**< last sent a command or added a task */
	int64_t as_of_ms;	  /**< the last report is not older than this */
	int64_t digest;		  /**< worker_report_digest() of that report */
	char *worker_digest;	  /**< digest in that report, or NULL */
	int64_t first_failure_ms; /**< 0 if the last call was answered */
	int64_t unlisted_ms;	  /**< when it left the platform's list */
	int64_t next_call_ms;
	GArray *sent_commands; /**< of struct sent_command, in the call in
				  flight */
	GHashTable *tasks;    /**< task to struct member_ref of the scheduler */
	GPtrArray *orphans;   /**< of char *, tasks to stop that have no job */
	const char *delegate; /**< node it is assigned to, or NULL; not owned */
};

struct worker_contact *worker_contact_new(const char *name, const char *address,
					  int64_t now_ms);
void worker_contact_free(struct worker_contact *c);

/** Clears the state of an epoch: fence, calls, leases and tasks. */
void worker_contact_reset(struct worker_contact *c, int64_t now_ms);

/** Sets whether the worker is in the platform's list and being removed. */
void worker_contact_set_listed(struct worker_contact *c, gboolean is_listed,
			       gboolean is_leaving, int64_t now_ms);

/** Returns TRUE if the worker should be called now. */
gboolean worker_contact_wants_call(const struct worker_contact *c,
				   int64_t now_ms);
/** Records a call that gives a lease; c->sent holds its commands. */
void worker_contact_on_sent(struct worker_contact *c, int64_t call_id,
			    int64_t lease_ms, int64_t now_ms);

/**
 * Returns TRUE if the last report is newer than the last command. The next
 * report then matters only if the tasks have changed.
 */
gboolean worker_contact_is_settled(const struct worker_contact *c);

/**
 * Returns TRUE if a delegate may renew the worker's leases: it answers, no call
 * is due, and its last report is newer than the last command.
 */
gboolean worker_contact_may_be_shared(const struct worker_contact *c,
				      int64_t now_ms);

/** Records the digests of a report as those of the known tasks. */
void worker_contact_on_tasks(struct worker_contact *c,
			     const struct worker_report *report);

/** Records a grant to a delegate that includes the worker. */
void worker_contact_on_granted(struct worker_contact *c, int64_t life_ms,
			       int64_t lease_ms, int64_t now_ms);

/** Takes the worker back from a delegate that could not reach it. */
void worker_contact_on_delegate_failed(struct worker_contact *c,
				       int64_t now_ms);

/**
 * Records an answer to the call in flight.
 *
 * @return	lower bound of the time at which the tasks were read
 */
int64_t worker_contact_on_answer(struct worker_contact *c, int64_t period_ms,
				 int64_t now_ms);

/** Records the failure of the call in flight. */
void worker_contact_on_failure(struct worker_contact *c, int64_t now_ms);

/** Updates the worker's state; returns a change, one at a time. */
enum contact_event worker_contact_check(struct worker_contact *c,
					int64_t lease_ms, int64_t now_ms);

/**
 * Returns when worker_contact_check() will next report a change if no event
 * comes before, WAKE_NEVER for never.
 */
int64_t worker_contact_check_ms(const struct worker_contact *c,
				int64_t lease_ms);

/** Returns when to call next, WAKE_NEVER while a call is in flight. */
int64_t worker_contact_call_ms(const struct worker_contact *c, int64_t now_ms);

/** Returns TRUE if new work may be placed on the worker. */
gboolean worker_contact_is_usable(const struct worker_contact *c);

/**
 * Returns TRUE if sharing the renewals among this many schedulers shortens
 * worker_partial_bound_ms().
 */
gboolean worker_renewals_are_shared(guint workers, guint schedulers);

/**
 * Returns the shortest renewal period within WORKER_RENEWALS_PER_S of each
 * scheduler.
 */
int64_t worker_renew_period_ms(guint workers, guint schedulers);

/**
 * Returns when to renew next after an answered call: one of the points of the
 * period (WORKER_RENEW_POINTS), at most a period from now.
 */
int64_t worker_renew_next_ms(const char *worker, int64_t call_id,
			     int64_t period_ms, int64_t now_ms);

/**
 * Returns the lease: a renewal period plus WORKER_TAKEOVER_MS, so that it
 * outlasts a change of holder.
 */
int64_t worker_lease_ms(guint workers, guint schedulers);

/**
 * Returns the longest time from the failure of a worker until its gangs' other
 * members are stopped, on workers that can be reached.
 */
int64_t worker_loss_reaction_ms(guint workers, guint schedulers);

/**
 * Returns the longest time that the other members of a gang may run after one
 * is lost: the time to detect the loss, plus the leases on workers that can't
 * be reached to stop them.
 */
int64_t worker_partial_bound_ms(guint workers, guint schedulers);

#endif
