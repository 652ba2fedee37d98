#include "sched/run_report.h"

static const char *const end_names[] = {
	[RUN_DONE] = "done",	      [RUN_FAILED] = "failed",
	[RUN_STOPPED] = "stopped",    [RUN_LEASE_EXPIRED] = "lapsed",
	[RUN_GANG_BROKEN] = "broken", [RUN_GANG_INCOMPLETE] = "alone",
};

static const char *const refusal_names[] = {
	[REFUSAL_EPOCH] = "epoch",	  [REFUSAL_OLD_RUN] = "old_run",
	[REFUSAL_LEASE_EXPIRED] = "late", [REFUSAL_NO_RESOURCES] = "room",
	[REFUSAL_TICKET] = "ticket",	  [REFUSAL_OTHER] = "other",
};

void worker_registration_clear(struct worker_registration *r)
{
	g_free(r->service);
	g_free(r->address);
	g_free(r->failure_domain);
	g_free(r->rack);
	g_clear_pointer(&r->labels, g_ptr_array_unref);
	*r = (struct worker_registration){ 0 };
}

void run_report_clear(struct run_report *r)
{
	g_clear_pointer(&r->running, g_array_unref);
	g_clear_pointer(&r->ended, g_array_unref);
}

const char *run_end_name(enum run_end end)
{
	return end_names[end];
}

const char *order_refusal_name(enum order_refusal refusal)
{
	return refusal_names[refusal];
}
