/**
 * @file
 * The world of the seeded exploration: two schedulers, workers and a table in
 * virtual time, with messages lost, delayed, doubled and out of order, with
 * crashes, pauses and outages. After every step it is checked that no task
 * starts twice or before its commitment, that attempts do not overlap, and that
 * no gang runs in part beyond the bound.
 */
#ifndef TESTS_GANG_SIM_H
#define TESTS_GANG_SIM_H

#include <glib.h>

#include "bench/sim/event_queue.h"
#include "job/gang.h"
#include "job/placement/placement.h"
#include "job/renewal_delegate.h"
#include "job/scheduler.h"
#include "job/task_name.h"
#include "job/worker_contact.h"

#define NODES 2
#define WORKERS 3
#define JOBS 4
#define FAULTS_END_MS 60000
#define RUN_END_MS 300000
#define TICK_MS 50
#define CALL_TIMEOUT_MS 1000
#define LEASE_MS 4000
#define CARETAKER_AFTER_MS 5000
#define LATE_MS 3000
#define FAULT_MAX_MS 30000
#define PAST_LEASE_MS 40000
#define PLANTED_CALM_MS 10000
#define NETWORK_MS 5
#define TRACE_LINES 60
/* Calls may be under way for a while on top of the stated bound. */
#define PARTIAL_BOUND_MS                                                \
	(worker_partial_bound_ms(WORKERS, 1) + WORKER_CALL_TIMEOUT_MS + \
	 RENEWAL_GRANT_MS + LATE_MS)

/* What is taken out of the world, to show that it would be noticed. */
enum planted {
	PLANTED_NONE,
	PLANTED_EPOCH_IGNORED,	 /* workers obey any epoch */
	PLANTED_VERSION_IGNORED, /* the table writes over any version */
	PLANTED_LEASE_IGNORED,	 /* workers keep tasks without renewal */
	PLANTED_GRANT_FOREVER,	 /* delegates go on without a new grant */
	PLANTED_COUNT,
};

struct sim_task {
	char *name;
	enum task_state state;
	gboolean was_started;
	int64_t lease_until_ms;
	int64_t end_ms;
};

struct sim_worker {
	char name[8];
	int64_t epoch;
	int64_t down_until_ms;
	int64_t snapshot_ms;
	GPtrArray *tasks; /* of struct sim_task */
	GArray *snapshot; /* of struct worker_task */
};

struct sim_row {
	struct job_record record;
	int64_t version;
	gboolean exists;
};

struct sim_node {
	struct gang_sim *sim;
	guint index;
	char name[8];
	guint life;
	int64_t paused_until_ms;
	int64_t cut_until_ms[WORKERS]; /* its calls get lost */
	int64_t epoch;		       /* that it believes to hold */
	int64_t holds_until_ms;
	enum pool_role role; /* at its last tick */
	struct scheduler *scheduler;
	guint asked; /* calls, writes and reads that it asked for */
	struct renewal_delegate *delegate;
};

struct gang_sim {
	GRand *rand;
	enum planted planted;
	gboolean is_past_lease; /* holders act past their lease */
	int64_t now_ms;
	struct event_queue events;
	struct sim_node nodes[NODES];
	struct sim_worker workers[WORKERS];
	struct sim_row rows[JOBS];
	int64_t versions;
	int holder; /* -1 for none */
	int64_t epoch;
	int64_t lease_until_ms;
	int64_t table_down_until_ms;
	int64_t takeover_ms;	     /* when a process last took a role */
	int64_t holder_cut_until_ms; /* it can't renew */
	int64_t link_cut_until_ms;   /* between the nodes */
	guint shared_renewals;	     /* done by delegates */
	guint thin_answers;	     /* without the tasks */
	GHashTable *starts;	     /* task to count */
	int64_t partial_since_ms[JOBS];
	guint64 idle_ticks; /* that nothing was due at */
	GQueue trace;
	char *violation;
};

enum event_kind {
	EVENT_TICK,
	EVENT_CALL,	   /* reaches a worker */
	EVENT_CALL_ANSWER, /* reaches a node */
	EVENT_WRITE,
	EVENT_WRITE_ANSWER,
	EVENT_READ_ANSWER,
	EVENT_SCAN_ANSWER,
	EVENT_REPORT, /* of a delegate, reaches the holder */
	EVENT_GRANT,  /* reaches the delegate */
};

struct event {
	struct queued_event base; /* time in ms */
	enum event_kind kind;
	guint node;
	guint life;
	guint worker;
	guint job;
	int64_t call_id;
	int64_t version;
	gboolean is_answered; /* else the answer is lost */
	enum status status;
	enum worker_answer answer;
	struct worker_call call;
	struct worker_report report;
	struct job_record record;
	struct sim_row rows[JOBS];
	gboolean is_delegate; /* the call is one */
	struct renewal_report renewals;
	struct renewal_grant grant;
};

/** Opens a world whose faults follow from a seed. */
void gang_sim_open(struct gang_sim *s, guint32 seed, enum planted planted);
void gang_sim_close(struct gang_sim *s);

/** Handles the next event and checks the world after it. */
void gang_sim_step(struct gang_sim *s);

/** Records a broken invariant; the first one counts. */
void gang_sim_violate(struct gang_sim *s, const char *what, const char *where);

/** Tells whether every job has come to its end. */
gboolean gang_sim_all_ended(const struct gang_sim *s);

#endif
