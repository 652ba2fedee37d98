/**
 * @file
 * Seeded simulation of two schedulers, workers and a table in virtual time,
 * with lost, delayed, duplicated and reordered messages, crashes, pauses and
 * outages. After every step it checks that no task starts twice or before its
 * commitment, that attempts don't overlap, and that no gang runs partially for
 * longer than the bound.
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
#define FAULTS_END_MS 60000 /* faults are injected before */
#define RUN_END_MS 300000   /* all jobs have to end before */
#define TICK_MS 50
#define CALL_TIMEOUT_MS 1000
#define LEASE_MS 4000
#define CARETAKER_AFTER_MS 5000	  /* from the end of the pool's lease */
#define MAX_NETWORK_DELAY_MS 3000 /* exclusive limit of delayed messages */
#define FAULT_MAX_MS 30000	  /* longest duration of a fault */
#define LEASE_OVERRUN_MS 40000
#define NETWORK_DELAY_MS 5 /* exclusive limit of other messages */
#define TRACE_LINES 60
/* Time between cuts of the holder with DEFECT_GRANT_FOREVER. */
#define HOLDER_CUT_INTERVAL_MS 10000
/*
 * The documented bound, plus the time that calls, grants and delayed messages
 * may be in flight.
 */
#define PARTIAL_BOUND_MS                                                \
	(worker_partial_bound_ms(WORKERS, 1) + WORKER_CALL_TIMEOUT_MS + \
	 RENEWAL_GRANT_MS + MAX_NETWORK_DELAY_MS)

/* Safeguards that can be disabled, to verify that the checks detect it. */
enum sim_defect {
	DEFECT_NONE,
	DEFECT_EPOCH_IGNORED,	/* workers accept calls of any epoch */
	DEFECT_VERSION_IGNORED, /* the table ignores the expected version */
	DEFECT_LEASE_IGNORED,	/* workers keep tasks whose lease has expired */
	DEFECT_GRANT_FOREVER,	/* delegates' grants never expire */
	DEFECT_COUNT,
};

struct sim_task {
	char *name;
	enum task_state state;
	gboolean was_started;
	int64_t lease_until_ms;
	int64_t end_ms; /* when it completes */
};

struct sim_worker {
	char name[8];
	int64_t epoch; /* highest that it accepted */
	int64_t down_until_ms;
	int64_t snapshot_ms; /* when the snapshot was taken */
	GPtrArray *tasks;    /* of struct sim_task */
	GArray *snapshot;    /* of struct worker_task, as reported */
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
	guint incarnation; /* raised by each start */
	int64_t paused_until_ms;
	int64_t cut_until_ms[WORKERS]; /* calls to the worker are lost */
	int64_t epoch;		       /* of its last lease */
	int64_t lease_until_ms;	       /* as the node assumes */
	enum pool_role role;	       /* at its last tick */
	struct scheduler *scheduler;
	guint op_count; /* calls, writes, reads and scans that it issued */
	struct renewal_delegate *delegate;
};

struct gang_sim {
	GRand *rand;
	enum sim_defect defect;
	/*
	 * Nodes act as holder for LEASE_OVERRUN_MS after their lease has
	 * expired, at times beside a new holder.
	 */
	gboolean has_lease_overrun;
	int64_t now_ms;
	struct event_queue events;
	struct sim_node nodes[NODES];
	struct sim_worker workers[WORKERS];
	struct sim_row rows[JOBS];
	int64_t last_version;	/* of any row */
	int holder;		/* index of the node, -1 for none */
	int64_t epoch;		/* of the pool's lease */
	int64_t lease_until_ms; /* of the pool's lease */
	int64_t table_down_until_ms;
	int64_t takeover_ms;	     /* when a node last took a role */
	int64_t holder_cut_until_ms; /* the holder can't renew its lease */
	int64_t link_cut_until_ms;   /* messages between the nodes are lost */
	guint shared_renewals;	     /* sent by delegates */
	guint unchanged_reports;     /* without tasks: the digest was known */
	GHashTable *started_tasks;   /* set of names */
	/* Last time at which the gang did not run partially. */
	int64_t partial_since_ms[JOBS];
	guint64 idle_ticks; /* ticks before scheduler_due_ms() */
	GQueue trace;	    /* last TRACE_LINES lines */
	char *violation;
};

enum event_kind {
	EVENT_TICK,
	EVENT_CALL,	   /* arrives at a worker */
	EVENT_CALL_ANSWER, /* arrives at a node, or the call timed out */
	EVENT_WRITE,	   /* arrives at the table */
	EVENT_WRITE_ANSWER,
	EVENT_READ_ANSWER,
	EVENT_SCAN_ANSWER,
	EVENT_REPORT, /* of a delegate, arrives at the holder */
	EVENT_GRANT,  /* arrives at the delegate */
};

struct sim_event {
	struct queued_event base; /* time in ms */
	enum event_kind kind;
	guint node;	   /* receiver, or sender of calls and writes */
	guint incarnation; /* of the node; later ones don't receive the event */
	guint worker;
	guint job;
	int64_t call_id;
	int64_t version;      /* that a write expects, else of the row */
	gboolean is_answered; /* FALSE if the answer gets lost */
	enum status status;
	enum worker_answer answer;
	struct worker_call call;
	struct worker_report report;
	struct job_record record;
	struct sim_row rows[JOBS]; /* answer to a scan */
	gboolean is_delegate_call; /* a delegate's renewal */
	struct renewal_report renewals;
	struct renewal_grant grant;
};

/** Sets up a simulation; the seed determines its faults and delays. */
void gang_sim_open(struct gang_sim *s, guint32 seed, enum sim_defect defect);
void gang_sim_close(struct gang_sim *s);

/** Processes the next event, then checks the invariants. */
void gang_sim_step(struct gang_sim *s);

/** Records a violated invariant; keeps only the first one. */
void gang_sim_violate(struct gang_sim *s, const char *what, const char *where);

/** Returns TRUE if every job was submitted and has ended. */
gboolean gang_sim_all_ended(const struct gang_sim *s);

#endif
