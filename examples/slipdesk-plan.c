/*
 * The Citation Slip Pipeline: scans, reads and matches quotation slips for
 * dictionaries, behind the service slipdesk in three failure domains of lagos.
 */
#include "lib/cs_plan.h"

#define MINUTE_MS (INT64_C(60) * 1000)

static const char *const domains[] = { "lagos-ikeja", "lagos-yaba",
				       "lagos-apapa", NULL };

static const struct cs_client_account accounts[] = {
	{ .name = "editors",
	  .service = "slipdesk",
	  .share = 4,
	  .requests_per_s = 800,
	  .token = "editors-token" },
	{ .name = "yoruba-press",
	  .service = "slipdesk",
	  .share = 2,
	  .token = "yoruba-token" },
	{ .name = "igbo-press",
	  .service = "slipdesk",
	  .share = 2,
	  .token = "igbo-token" },
	{ .name = "reading-room",
	  .service = "slipdesk",
	  .share = 6,
	  .token = "reading-token" },
};

static const struct shape reading_shape = {
	.members = 4,
	.accelerators = 8,
	.cores = 8,
	.memory_mb = 8192,
	.adjacency = ADJACENCY_RACK,
};

static const struct shape match_shape = {
	.members = 2,
	.accelerators = 2,
	.cores = 4,
	.memory_mb = 4096,
	.adjacency = ADJACENCY_NONE,
};

int main(void)
{
	struct cs_plan *plan = cs_plan_new();

	cs_plan_add_service(plan, "slipdesk", domains);
	for (guint i = 0; i < G_N_ELEMENTS(accounts); i++)
		cs_plan_add_client_account(plan, &accounts[i]);
	cs_plan_add_guaranteed_shape(plan, "reading-room", "reading",
				     "slipdesk.lagos-ikeja", &reading_shape);
	cs_plan_add_job(plan,
			&(struct cs_job){ .name = "slip-reading",
					  .client_account = "reading-room",
					  .pool = "slipdesk.lagos-ikeja",
					  .class = JOB_CLASS_NORMAL,
					  .shape = reading_shape,
					  .expected_run_ms = 90 * MINUTE_MS });
	cs_plan_add_job(plan,
			&(struct cs_job){ .name = "headword-match",
					  .client_account = "editors",
					  .pool = "slipdesk.lagos-yaba",
					  .class = JOB_CLASS_NORMAL,
					  .shape = match_shape,
					  .expected_run_ms = 10 * MINUTE_MS });
	return cs_plan_print(plan, stdout, stderr);
}
