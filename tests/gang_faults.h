/**
 * @file
 * Faults that strike at each step of a gang's life, over real processes: each
 * step in a cluster of its own, all clusters side by side.
 */
#ifndef TESTS_GANG_FAULTS_H
#define TESTS_GANG_FAULTS_H

#include "tests/gang_cluster.h"

struct gang_fault {
	int64_t lasts_ms; /**< until it is healed */
	void (*strike)(struct gang_cluster *g);
	void (*heal)(struct gang_cluster *g);
	gboolean needs_relay;
};

extern const struct gang_fault gang_fault_kill_scheduler;
extern const struct gang_fault gang_fault_pause_scheduler;
extern const struct gang_fault gang_fault_cut_schedulers;
extern const struct gang_fault gang_fault_kill_worker;
extern const struct gang_fault gang_fault_pause_worker;
extern const struct gang_fault gang_fault_worker_hears_nothing;
extern const struct gang_fault gang_fault_worker_not_heard;
extern const struct gang_fault gang_fault_platform_down;
extern const struct gang_fault gang_fault_pause_platform;

#define GANG_FAULTS_TOGETHER 2

/** Faults that strike at the same moment; unused ones are NULL. */
struct gang_fault_set {
	const char *name;
	const struct gang_fault *faults[GANG_FAULTS_TOGETHER];
};

/**
 * Lets each set of faults strike at each step, heals them, and asserts that
 * every gang came to its end and that the workers' histories are sound.
 */
void gang_faults_run(const struct gang_fault_set *sets, guint count);

#endif
