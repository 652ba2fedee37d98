/**
 * @file
 * Schedules one pool under one epoch: takes the workers' reports, the jobs'
 * rows and its role, decides, and asks for calls to workers and writes of
 * rows. Pure: all calls are made by the functions in struct scheduler_ops,
 * whose answers are handed in later.
 */
#ifndef JOB_SCHEDULER_H
#define JOB_SCHEDULER_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/status.h"
#include "config/config_doc.h"
#include "job/job_record.h"
#include "job/pool.h"
#include "job/renewal_message.h"
#include "job/worker_report.h"
#include "shared/pool_lease.h"

/** Attempts that may end by a failed task, wherever that was. */
#define JOB_MAX_FAILURES 10

enum scheduler_phase {
	SCHEDULER_IDLE,
	SCHEDULER_RECOVERING, /**< learns what runs, decides nothing */
	SCHEDULER_ACTIVE,
	SCHEDULER_CARETAKER,
	SCHEDULER_FENCED, /**< a newer holder was met */
	SCHEDULER_PHASE_COUNT,
};

struct scheduler;

/** Calls out of the scheduler; none may call back into it at once. */
struct scheduler_ops {
	/** Calls a worker; answer by scheduler_on_worker(). */
	void (*call_worker)(const char *worker, const char *address,
			    int64_t call_id, const struct worker_call *call,
			    void *data);
	/** Writes a row, deletes it for NULL; scheduler_on_written(). */
	void (*write_row)(const char *id, int64_t call_id,
			  const struct job_record *r, int64_t expected_version,
			  void *data);
	/** Reads a row; answer by scheduler_on_read(). */
	void (*read_row)(const char *id, int64_t call_id, void *data);
	/** Reads all rows; scheduler_on_row() each, scheduler_on_scanned(). */
	void (*scan_rows)(void *data);
};

struct scheduler_spec {
	const char *pool;
	const char *node;
	const char *incarnation;
	const char *policy;	     /**< of placement */
	int64_t impossible_grace_ms; /**< 0 for the default */
	gboolean shares_always;	     /**< also where that shortens no bound */
	const struct scheduler_ops *ops;
	void *data;
};

/** A worker of the platform's list. */
struct listed_worker {
	struct worker_spec spec;
	gboolean is_leaving;
};

enum worker_answer {
	WORKER_ANSWERED,
	WORKER_STALE_EPOCH, /**< it obeys a newer holder */
	WORKER_FAILED,	    /**< no answer; commands may have been done */
};

/** What the scheduler is doing, in counts. */
struct scheduler_stats {
	enum scheduler_phase phase;
	int64_t epoch;
	guint workers;
	guint usable_workers;
	guint aside_workers; /**< set aside because they fail what they start */
	guint queued;
	guint gangs;
	int64_t recoveries;
	int64_t recovery_ms; /**< of the last one */
	guint delegates;     /**< that renew for this process */
	guint shared_workers;
	int64_t renew_ms;
	int64_t lease_ms;
	int64_t bound_ms; /**< on gangs in part */
};

struct scheduler *scheduler_new(const struct scheduler_spec *spec);
void scheduler_free(struct scheduler *s);

/** Takes a role; everything is learnt anew when it changes. */
void scheduler_set_role(struct scheduler *s, enum pool_role role, int64_t epoch,
			int64_t now_ms);

/** @param doc	not owned, valid until the next call */
void scheduler_set_config(struct scheduler *s, const struct config_doc *doc,
			  int64_t version, int64_t now_ms);

/** Takes the platform's list of this pool's workers. */
void scheduler_on_workers(struct scheduler *s,
			  const struct listed_worker *workers, guint count,
			  int64_t now_ms);

void scheduler_on_worker(struct scheduler *s, const char *worker,
			 int64_t call_id, enum worker_answer answer,
			 const struct worker_report *report, int64_t now_ms);

/** Sets how many schedulers live in the failure domain, itself included. */
void scheduler_set_schedulers(struct scheduler *s, guint count);

/**
 * Takes a delegate's report and deals it a share of the workers.
 *
 * @param grant		initialised; filled for TRUE, to be sent at once
 * @return		FALSE when this process does not hold that epoch, or
 *			shares nothing
 */
gboolean scheduler_on_renewal_report(struct scheduler *s, const char *node,
				     const struct renewal_report *report,
				     int64_t now_ms,
				     struct renewal_grant *grant);

/** Takes a row from a scan or from a read outside the scheduler. */
void scheduler_on_row(struct scheduler *s, int64_t version,
		      const struct job_record *r, int64_t now_ms);

/** Tells whether a row of this version would be news. */
gboolean scheduler_is_news(const struct scheduler *s, const char *id,
			   int64_t version);

/** Tells that a scan asked for was read to its end. */
void scheduler_on_scanned(struct scheduler *s, enum status status,
			  int64_t now_ms);

/** @param call_id	of the call that was answered; others are ignored */
void scheduler_on_written(struct scheduler *s, const char *id, int64_t call_id,
			  enum status status, int64_t version, int64_t now_ms);
void scheduler_on_read(struct scheduler *s, const char *id, int64_t call_id,
		       enum status status, int64_t version,
		       const struct job_record *r, int64_t now_ms);

/**
 * Acts on what is due; call after events and when scheduler_due_ms() says.
 *
 * @param wall_ms	the wall clock, for rows
 */
void scheduler_tick(struct scheduler *s, int64_t now_ms, int64_t wall_ms);

/**
 * Returns the earliest time at which scheduler_tick() has something to do
 * unless an event comes before; WAKE_NEVER for none.
 */
int64_t scheduler_due_ms(const struct scheduler *s, int64_t now_ms);

/** Explains a job; NULL when it is not known here. Free with put. */
json_object *scheduler_explain(const struct scheduler *s, const char *id);

/**
 * Explains the guarantees of a client account; NULL unless this process
 * decides and the account has some here. Free with put.
 */
json_object *scheduler_explain_guarantee(const struct scheduler *s,
					 const char *client_account,
					 int64_t now_ms);

void scheduler_get_stats(const struct scheduler *s,
			 struct scheduler_stats *stats);
const char *scheduler_phase_name(enum scheduler_phase phase);

/** Calls a function for each guarantee that can't be held now. */
void scheduler_foreach_unmet(const struct scheduler *s,
			     void (*fn)(const char *place, const char *problem,
					int64_t since_ms, void *data),
			     void *data);

#endif
