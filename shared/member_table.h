/**
 * @file
 * The members as one process sees them. Pure: heartbeats, reports and hints
 * come in with the time.
 *
 * Within a failure domain each member hears each other one. A member that is
 * silent, and that no other one hears either, becomes suspect and then dead.
 * Members of other domains are known by what the links between the domains
 * tell; when these are cut, they keep the state that was last told.
 */
#ifndef SHARED_MEMBER_TABLE_H
#define SHARED_MEMBER_TABLE_H

#include <glib.h>
#include <stdint.h>

#include "shared/heartbeat.h"
#include "shared/member_record.h"
#include "shared/member_view.h"

/** From one heartbeat to the next. */
#define MEMBER_HEARTBEAT_MS INT64_C(1000)
/** Silence after which a member is suspect. */
#define MEMBER_SUSPECT_MS INT64_C(3000)
/** Time for which a member is suspect before it is dead. */
#define MEMBER_DEAD_MS INT64_C(3000)
/** Time for which dead members are remembered. */
#define MEMBER_FORGET_MS INT64_C(600000)
/** Heartbeats with another view after which a member is told all: a change is
 *  still on its way in the first one. */
#define MEMBER_FULL_AT 2U
/** Links between two domains are held by this many members of each. */
#define MEMBER_BRIDGES 2

/** What the platform's lagging list says of a VM. */
enum vm_hint {
	VM_HINT_LISTED,
	VM_HINT_LEAVING,
	VM_HINT_ABSENT,
};

struct member {
	struct member_record record;
	int64_t heard_ms;      /**< last heartbeat from itself */
	int64_t indirect_ms;   /**< last time another member heard it */
	int64_t suspect_ms;    /**< since when it is suspect */
	int64_t ended_ms;      /**< since when it is dead or has left */
	int64_t change;	       /**< number of its last change in the table */
	int64_t view;	       /**< digest that it has told last */
	int64_t compared_view; /**< own digest that it was compared with */
	guint mismatches;      /**< heartbeats in a row with another digest */
	guint full_at;	       /**< mismatches after which it is told all */
	/** Loss that others tell of a member that is heard here. */
	int64_t disputed_state;
	int64_t disputed_version;
	gboolean is_disputed;
	enum vm_hint hint; /**< by shared/vm_list.h */
};

struct member_table {
	const struct member_rules *rules;
	GPtrArray *members; /**< of struct member, sorted by node */
	struct member *self;
	struct member_view view;
	int64_t changes;
	int64_t step_ms; /**< of the last step */
};

/** @param generation	of this incarnation, such as the wall clock's time */
void member_table_init(struct member_table *t, const struct link_identity *self,
		       int64_t generation, int64_t now_ms);
void member_table_clear(struct member_table *t);

struct member *member_table_find(const struct member_table *t,
				 const char *node);

/** Tells whether a member is of this process's own failure domain. */
gboolean member_table_is_near(const struct member_table *t,
			      const struct member *m);

/** Takes a heartbeat from the process that @from has proved to be. */
void member_table_on_heartbeat(struct member_table *t, int64_t now_ms,
			       const struct link_identity *from,
			       const struct heartbeat *h);

/** Merges a record that another member has told. */
void member_table_merge(struct member_table *t, int64_t now_ms,
			const struct member_record *record);

/** Moves members on that were silent for too long. */
void member_table_step(struct member_table *t, int64_t now_ms);

/** Sets what this process tells of itself. */
void member_table_set_status(struct member_table *t, int64_t config_version);
void member_table_leave(struct member_table *t);

/**
 * Returns the time of the next step at which a silence has lasted long enough,
 * if nothing is heard until then.
 */
int64_t member_table_due_ms(const struct member_table *t);

/** Tells whether a member may be given work: alive or only suspect. */
gboolean member_is_live(const struct member *m);

/** Returns the live members of a role and domain; of struct member *. */
GPtrArray *member_table_live(const struct member_table *t, enum link_role role,
			     const char *failure_domain);

/**
 * Returns the addresses to hold links to, sorted; of char *, owned. All
 * members of the own domain, and members of other domains for which this
 * process is a bridge.
 */
GPtrArray *member_table_targets(const struct member_table *t);

/** Tells whether this process is among the first @count live ones of its
 *  domain for a task by rendezvous hashing. */
gboolean member_table_is_elected(const struct member_table *t, const char *task,
				 guint count);

#endif
