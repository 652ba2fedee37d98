/**
 * @file
 * Injects faults at each step of a gang's life cycle, over real processes. Each
 * step runs in its own cluster; all clusters run concurrently.
 */
#ifndef TESTS_GANG_FAULTS_H
#define TESTS_GANG_FAULTS_H

#include "tests/gang_cluster.h"

struct gang_fault {
	int64_t duration_ms; /**< from injection until heal() is called */
	void (*inject)(struct gang_cluster *g);
	void (*heal)(struct gang_cluster *g);
	gboolean needs_relay; /**< before the last worker */
};

/* Faults of "scheduler" hit the holder, faults of "worker" the last worker. */
extern const struct gang_fault gang_fault_kill_scheduler;
extern const struct gang_fault gang_fault_pause_scheduler;
/** Cuts all schedulers off from the platform. */
extern const struct gang_fault gang_fault_cut_schedulers;
extern const struct gang_fault gang_fault_kill_worker;
extern const struct gang_fault gang_fault_pause_worker;
/** Messages to the worker are lost. */
extern const struct gang_fault gang_fault_cut_to_worker;
/** Messages from the worker are lost. */
extern const struct gang_fault gang_fault_cut_from_worker;
extern const struct gang_fault gang_fault_platform_down;
extern const struct gang_fault gang_fault_pause_platform;

#define GANG_FAULT_SET_MAX 2

/** Faults that are injected together; unused entries are NULL. */
struct gang_fault_set {
	const char *name;
	const struct gang_fault *faults[GANG_FAULT_SET_MAX];
};

/**
 * Injects each set of faults at each step, heals it, and checks that every gang
 * reaches its expected end state and that gang_cluster_check() finds no
 * violation. Fails the running test otherwise.
 */
void gang_faults_run(const struct gang_fault_set *sets, guint count);

#endif
