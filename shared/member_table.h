/**
 * @file
 * Membership and failure detection as one process sees them. Pure: the caller
 * passes in heartbeats, records, VM list hints and the time.
 *
 * Within a failure domain all members exchange heartbeats directly. A member
 * that neither this process nor any other one hears becomes suspect and then
 * dead. The state of members in other domains arrives over the links between
 * the domains; while these are down, members keep their last known state.
 */
#ifndef SHARED_MEMBER_TABLE_H
#define SHARED_MEMBER_TABLE_H

#include <glib.h>
#include <stdint.h>

#include "shared/heartbeat.h"
#include "shared/member_record.h"
#include "shared/member_view.h"

/** Interval between heartbeats. */
#define MEMBER_HEARTBEAT_MS INT64_C(1000)
/** Silence after which a member becomes suspect. */
#define MEMBER_SUSPECT_MS INT64_C(3000)
/** Time from suspect to dead. */
#define MEMBER_DEAD_MS INT64_C(3000)
/** Time after which members that are dead or have left are removed. */
#define MEMBER_FORGET_MS INT64_C(600000)
/**
 * Consecutive heartbeats with a differing view after which a member is sent all
 * records. A single one may only predate a change that is still in flight.
 */
#define MEMBER_FULL_SYNC_MISMATCHES 2U
/** Members of each domain that keep the links between two domains. */
#define MEMBER_BRIDGES 2

/** State of a VM in the platform's list, which lags behind. */
enum vm_hint {
	VM_HINT_LISTED,
	VM_HINT_LEAVING, /**< a silent member counts as having left */
	VM_HINT_ABSENT,	 /**< a suspect member is dead at once */
};

struct member {
	struct member_record record;
	int64_t heard_ms;      /**< its last direct heartbeat */
	int64_t indirect_ms;   /**< last time another member heard it */
	int64_t suspect_ms;    /**< when it became suspect */
	int64_t ended_ms;      /**< when it died or left */
	int64_t change;	       /**< change number of its last change */
	int64_t reported_view; /**< view digest in its last heartbeat */
	int64_t compared_view; /**< own digest that it was compared with */
	guint mismatches;      /**< consecutive heartbeats with another view */
	guint full_sync_mismatches; /**< mismatches at which it is sent
					   all records */
	/** A suspect or dead state that others report although this process
	 *  hears the member; it is sent to the member to be refuted. */
	int64_t disputed_state;
	int64_t disputed_version;
	gboolean is_disputed;
	enum vm_hint hint; /**< see shared/vm_list.h */
};

struct member_table {
	const struct member_rules *rules;
	GPtrArray *members; /**< of struct member, sorted by node */
	struct member *self;
	struct member_view view;
	int64_t changes; /**< number of the last change */
	int64_t step_ms; /**< time of the last step */
};

/** @param generation	of this incarnation, such as its start by wall clock */
void member_table_init(struct member_table *t, const struct link_identity *self,
		       int64_t generation, int64_t now_ms);
void member_table_clear(struct member_table *t);

/** Returns a member by node name, or NULL. */
struct member *member_table_find(const struct member_table *t,
				 const char *node);

/** Returns TRUE if a member is in this process's own failure domain. */
gboolean member_table_is_same_domain(const struct member_table *t,
				     const struct member *m);

/** Processes a heartbeat; @from is the authenticated identity of its sender. */
void member_table_on_heartbeat(struct member_table *t, int64_t now_ms,
			       const struct link_identity *from,
			       const struct heartbeat *h);

/** Merges a record received from another member. */
void member_table_merge(struct member_table *t, int64_t now_ms,
			const struct member_record *record);

/** Updates the state of silent members; removes those long ended. */
void member_table_step(struct member_table *t, int64_t now_ms);

/** Sets this process's own status. */
void member_table_set_status(struct member_table *t, int64_t config_version);

/** Sets this process's own state to leaving. */
void member_table_leave(struct member_table *t);

/**
 * Returns when the next member becomes suspect or dead if no heartbeat arrives
 * before; INT64_MAX for none.
 */
int64_t member_table_due_ms(const struct member_table *t);

/** Returns TRUE if a member may be given work: it is alive or suspect. */
gboolean member_is_live(const struct member *m);

/**
 * Returns the live members with a role in a failure domain; of struct member *.
 * The caller frees the array, the table owns the members.
 */
GPtrArray *member_table_live(const struct member_table *t, enum link_role role,
			     const char *failure_domain);

/**
 * Returns the addresses to keep links to, sorted; of char *, freed with the
 * array by the caller. They are those of all members of this process's domain
 * that haven't left, and those of live members of other domains for which both
 * are bridges.
 */
GPtrArray *member_table_targets(const struct member_table *t);

/** Returns TRUE if rendezvous hashing ranks this process among the first @count
 *  live members of its domain for a task. */
gboolean member_table_is_elected(const struct member_table *t, const char *task,
				 guint count);

#endif
