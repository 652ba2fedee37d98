/**
 * @file
 * Internal interfaces between the parts of the gang simulation.
 */
#ifndef TESTS_GANG_SIM_INTERNAL_H
#define TESTS_GANG_SIM_INTERNAL_H

#include "tests/gang_sim.h"

/** Appends a line with the virtual time to the trace. */
void gang_sim_trace(struct gang_sim *s, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** Returns a new event of a node in its current incarnation. */
struct sim_event *gang_sim_event_new(struct gang_sim *s, enum event_kind kind,
				     guint node);
void gang_sim_event_free(gpointer data);

/** Schedules an event; takes ownership of it. */
void gang_sim_post(struct gang_sim *s, struct sim_event *e, int64_t delay_ms);

/** Returns a random network delay; during faults, some exceed every timeout. */
int64_t gang_sim_network_ms(struct gang_sim *s);

/** Returns the index of a job from its id, such as "j0". */
guint gang_sim_job_index(const char *id);

void gang_sim_worker_init(struct sim_worker *w, guint index);
void gang_sim_worker_clear(struct sim_worker *w);
void gang_sim_worker_crash(struct gang_sim *s, struct sim_worker *w);

/** Completes due tasks and stops tasks with expired leases. Takes the snapshot
 * that reports contain once the last is WORKER_REPORT_LAG_MS old. */
void gang_sim_worker_step(struct gang_sim *s, struct sim_worker *w);

/** Handles a call that arrives at a worker and sends its answer. */
void gang_sim_worker_on_call(struct gang_sim *s, struct sim_event *e);

/** Returns TRUE with a probability in percent. */
gboolean gang_sim_chance(struct gang_sim *s, int percent);

/** Returns TRUE while faults are injected. */
gboolean gang_sim_has_faults(const struct gang_sim *s);

/* Messages to workers and between nodes. */

/** Operation of the scheduler: sends a call to a worker. */
void gang_sim_call_worker(const char *worker, const char *address,
			  int64_t call_id, const struct worker_call *call,
			  void *data);
void gang_sim_on_report(struct gang_sim *s, struct sim_event *e);
void gang_sim_on_grant(struct gang_sim *s, struct sim_event *e);
void gang_sim_on_delegate_answer(struct gang_sim *s, struct sim_event *e);

/** Simulates a tick of the service "renewals". */
void gang_sim_tick_delegate(struct gang_sim *s, struct sim_node *n);

/* The table. */

gboolean gang_sim_is_table_down(const struct gang_sim *s);

/** Returns the role that a node assumes to have; stores the epoch that it
 * applies to, 0 for no role. */
enum pool_role gang_sim_role(const struct gang_sim *s, guint node,
			     int64_t *epoch);

/* Operations of the scheduler. */
void gang_sim_write_row(const char *id, int64_t call_id,
			const struct job_record *r, int64_t expected_version,
			void *data);
void gang_sim_read_row(const char *id, int64_t call_id, void *data);
void gang_sim_scan_rows(void *data);

void gang_sim_on_write(struct gang_sim *s, struct sim_event *e);
void gang_sim_on_scan_answer(struct gang_sim *s, struct sim_event *e);

/** Renews or moves the lease, by the rules of shared/pool_lease.h. */
void gang_sim_lease_step(struct gang_sim *s);

/* Nodes. */

void gang_sim_open_node(struct gang_sim *s, guint node);
void gang_sim_close_node(struct gang_sim *s, guint node);

/** Restarts a node without any state. */
void gang_sim_crash_node(struct gang_sim *s, guint node);
void gang_sim_tick_node(struct gang_sim *s, guint node);

/* Environment. */

/** Injects a random fault with a small probability. */
void gang_sim_fault_step(struct gang_sim *s);

/** Submits or cancels a random job with a small probability. */
void gang_sim_submit_step(struct gang_sim *s);

/** Checks the invariants; records the first violation. */
void gang_sim_check(struct gang_sim *s);

#endif
