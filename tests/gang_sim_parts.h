/**
 * @file
 * What the parts of the exploration's world know of each other.
 */
#ifndef TESTS_GANG_SIM_PARTS_H
#define TESTS_GANG_SIM_PARTS_H

#include "tests/gang_sim.h"

void gang_sim_trace(struct gang_sim *s, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
struct event *gang_sim_event(struct gang_sim *s, enum event_kind kind,
			     guint node);
void gang_sim_event_free(gpointer data);
void gang_sim_post(struct gang_sim *s, struct event *e, int64_t delay_ms);

/** Time on the network: mostly short, now and then beyond every timeout. */
int64_t gang_sim_network_ms(struct gang_sim *s);

/** Returns the index of a job by its name. */
guint gang_sim_job(const char *id);

void gang_sim_worker_init(struct sim_worker *w, guint index);
void gang_sim_worker_clear(struct sim_worker *w);
void gang_sim_worker_crash(struct gang_sim *s, struct sim_worker *w);

/** Lets time pass at a worker: tasks end, leases lapse, reports lag. */
void gang_sim_worker_step(struct gang_sim *s, struct sim_worker *w);
void gang_sim_worker_on_call(struct gang_sim *s, struct event *e);

/** Decides by the seed, in so many of a hundred cases. */
gboolean gang_sim_chance(struct gang_sim *s, int percent);
gboolean gang_sim_has_faults(const struct gang_sim *s);

/* Messages to workers and between nodes. */

/** An op of the scheduler: sends a call to a worker. */
void gang_sim_call_worker(const char *worker, const char *address,
			  int64_t call_id, const struct worker_call *call,
			  void *data);
void gang_sim_on_report(struct gang_sim *s, struct event *e);
void gang_sim_on_grant(struct gang_sim *s, struct event *e);
void gang_sim_on_delegate_answer(struct gang_sim *s, struct event *e);

/** Does what the service "renewals" does at a tick. */
void gang_sim_tick_delegate(struct gang_sim *s, struct sim_node *n);

/* The table. */

gboolean gang_sim_is_table_down(const struct gang_sim *s);

/** Returns the role that a node believes to have, and its epoch. */
enum pool_role gang_sim_role(const struct gang_sim *s, guint node,
			     int64_t *epoch);

/* Ops of the scheduler. */
void gang_sim_write_row(const char *id, int64_t call_id,
			const struct job_record *r, int64_t expected_version,
			void *data);
void gang_sim_read_row(const char *id, int64_t call_id, void *data);
void gang_sim_scan_rows(void *data);

void gang_sim_on_write(struct gang_sim *s, struct event *e);
void gang_sim_on_scan_answer(struct gang_sim *s, struct event *e);

/** Renews or moves the lease as shared/pool_lease.h promises. */
void gang_sim_lease_step(struct gang_sim *s);

/* Nodes. */

void gang_sim_open_node(struct gang_sim *s, guint node);
void gang_sim_close_node(struct gang_sim *s, guint node);

/** Ends a node and starts it again with nothing. */
void gang_sim_crash_node(struct gang_sim *s, guint node);
void gang_sim_tick_node(struct gang_sim *s, guint node);

/* The world around them. */

/** Lets a fault happen, now and then. */
void gang_sim_fault_step(struct gang_sim *s);

/** Submits or cancels a job, now and then. */
void gang_sim_submit_step(struct gang_sim *s);

/** Checks the invariants and records the first that is broken. */
void gang_sim_check(struct gang_sim *s);

#endif
