/*
 * The Khuree Wind Forecast Scheduling Plan: the wind service salkhi in the
 * three failure domains of tov.
 */
#include "lib/cs_plan.h"

#define MINUTE_MS (INT64_C(60) * 1000)

static const char *const domains[] = { "tov-a", "tov-b", "tov-c", NULL };

static const struct cs_client_account accounts[] = {
	{ .name = "riders",
	  .service = "salkhi",
	  .share = 4,
	  .requests_per_s = 2000,
	  .token = "riders-token" },
	{ .name = "rescue",
	  .service = "salkhi",
	  .share = 4,
	  .requests_per_s = 500,
	  .token = "rescue-token" },
	{ .name = "forecast",
	  .service = "salkhi",
	  .share = 8,
	  .token = "forecast-token" },
	{ .name = "herders",
	  .service = "salkhi",
	  .share = 1,
	  .token = "herders-token" },
};

/* A gust map needs 16 accelerators in one rack, at any time of the day. */
static const struct shape gust_map_shape = {
	.members = 2,
	.accelerators = 8,
	.cores = 16,
	.memory_mb = 16384,
	.adjacency = ADJACENCY_RACK,
};

static const struct shape morning_picture_shape = {
	.members = 1,
	.accelerators = 4,
	.cores = 8,
	.memory_mb = 8192,
	.adjacency = ADJACENCY_WORKER,
};

static const struct shape rerun_shape = {
	.members = 4,
	.accelerators = 8,
	.cores = 16,
	.memory_mb = 16384,
	.adjacency = ADJACENCY_NONE,
};

int main(void)
{
	struct cs_plan *plan = cs_plan_new();

	cs_plan_add_service(plan, "salkhi", domains);
	for (guint i = 0; i < G_N_ELEMENTS(accounts); i++)
		cs_plan_add_client_account(plan, &accounts[i]);
	cs_plan_add_guaranteed_shape(plan, "forecast", "gust-map",
				     "salkhi.tov-a", &gust_map_shape);
	cs_plan_add_guaranteed_shape(plan, "rescue", "morning-picture",
				     "salkhi.tov-a", &morning_picture_shape);
	cs_plan_add_job(plan,
			&(struct cs_job){ .name = "gust-map",
					  .client_account = "forecast",
					  .pool = "salkhi.tov-a",
					  .class = JOB_CLASS_NORMAL,
					  .shape = gust_map_shape,
					  .expected_run_ms = 40 * MINUTE_MS });
	cs_plan_add_job(plan,
			&(struct cs_job){ .name = "morning-picture",
					  .client_account = "rescue",
					  .pool = "salkhi.tov-a",
					  .class = JOB_CLASS_URGENT,
					  .shape = morning_picture_shape,
					  .expected_run_ms = 5 * MINUTE_MS });
	cs_plan_add_job(plan,
			&(struct cs_job){ .name = "wind-field-rerun",
					  .client_account = "forecast",
					  .pool = "salkhi.tov-a",
					  .class = JOB_CLASS_BULK,
					  .shape = rerun_shape,
					  .expected_run_ms = 180 * MINUTE_MS });
	return cs_plan_print(plan, stdout, stderr);
}
