#include "tests/sched_world.h"

#include <string.h>

static void add_order(struct world *w, gboolean is_start, const char *worker,
		      const char *task, int64_t run)
{
	struct order *o = &w->orders[w->order_count++];

	g_assert_cmpuint(w->order_count, <=, WORLD_MAX_ORDERS);
	o->is_start = is_start;
	o->worker = g_strdup(worker);
	o->task = g_strdup(task);
	o->run = run;
}

static void port_start(void *data, struct fleet_worker *worker,
		       const struct start_order *order)
{
	add_order(data, TRUE, worker->id, order->task, order->run);
}

static void port_stop(void *data, struct fleet_worker *worker, const char *task,
		      int64_t run)
{
	add_order(data, FALSE, worker->id, task, run);
}

static void add_route(struct world *w, const char *name, int64_t priority)
{
	struct queue_route route = {
		.name = g_strdup(name),
		.host = g_strdup("h"),
		.path_prefix = g_strdup("/"),
		.service = g_strdup(WORLD_SERVICE),
		.priority = priority,
		.max_attempts = 2,
		.stretch = 3,
		.objective_ms = 1000,
	};

	g_array_append_val(w->config.routes, route);
}

void world_init(struct world *w)
{
	const struct fleet_bounds bounds = {
		.lease_ms = WORLD_LEASE_MS,
	};
	const struct fleet_ports ports = {
		.start = port_start,
		.stop = port_stop,
		.data = w,
	};

	memset(w, 0, sizeof(*w));
	w->now_ms = WORLD_T0_MS;
	w->config.routes = g_array_new(FALSE, TRUE, sizeof(struct queue_route));
	add_route(w, "urgent", 0);
	add_route(w, "bulk", 2);
	fleet_scheduler_init(&w->s, &bounds, &ports);
	w->s.config = &w->config;
	fleet_scheduler_begin(&w->s, 7, 0);
}

void world_clear_orders(struct world *w)
{
	for (guint i = 0; i < w->order_count; i++) {
		g_free(w->orders[i].worker);
		g_free(w->orders[i].task);
	}
	w->order_count = 0;
}

void world_clear(struct world *w)
{
	world_clear_orders(w);
	fleet_scheduler_clear(&w->s);
	fleet_config_clear(&w->config);
}

void world_report_incarnation(struct world *w, const char *id, int64_t start_ms,
			      GArray *running, GArray *ended)
{
	struct run_report r = {
		.clock_ms = w->now_ms,
		.incarnation_start_ms = start_ms,
		.running = running ? running
				   : g_array_new(FALSE, TRUE,
						 sizeof(struct running_entry)),
		.ended = ended ? ended
			       : g_array_new(FALSE, TRUE,
					     sizeof(struct ended_entry)),
	};

	fleet_scheduler_apply_report(&w->s, fleet_worker(&w->s.fleet, id), &r,
				     w->now_ms, w->now_ms);
	run_report_clear(&r);
}

void world_report(struct world *w, const char *id, GArray *running,
		  GArray *ended)
{
	world_report_incarnation(w, id, 0, running, ended);
}

GArray *world_running_list(const char *task, int64_t run)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct running_entry));
	struct running_entry e = { .task = task, .run = run, .checkpoint = "" };

	g_array_append_val(list, e);
	return list;
}

GArray *world_ended_list(int64_t number, const char *task, int64_t run,
			 enum run_end end)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct ended_entry));
	struct ended_entry e = { number, task, run, end, "" };

	g_array_append_val(list, e);
	return list;
}

void world_register_incarnation(struct world *w, const char *id,
				const char *rack, int64_t start_ms)
{
	struct worker_registration reg = {
		.service = g_strdup(WORLD_SERVICE),
		.address = g_strdup("127.0.0.1:1"),
		.failure_domain = g_strdup("tov-a"),
		.rack = g_strdup(rack),
		.capacity = { 64000, 131072, 8 },
		.incarnation_start_ms = start_ms,
	};

	fleet_scheduler_update_worker(&w->s, id, &reg, w->now_ms);
	fleet_worker(&w->s.fleet, id)->is_use_stored = TRUE;
}

void world_register_worker(struct world *w, const char *id, const char *rack)
{
	world_register_incarnation(w, id, rack, 0);
}

void world_add_worker(struct world *w, const char *id, const char *rack)
{
	world_register_worker(w, id, rack);
	world_report(w, id, NULL, NULL);
}

struct fleet_job *world_add_job(struct world *w, const char *id,
				const char *route, int64_t tasks,
				int64_t accelerators, gboolean is_gang)
{
	struct job_spec spec = { 0 };
	struct step_spec step = {
		.task_count = tasks,
		.millicores = 1000,
		.memory_mb = 1000,
		.accelerators = accelerators,
		.estimate_ms = 5000,
		.is_gang = is_gang,
		.is_one_rack = is_gang,
	};
	struct fleet_job *job;

	spec.steps = g_array_new(FALSE, TRUE, sizeof(struct step_spec));
	g_array_append_val(spec.steps, step);
	job = fleet_add_job(&w->s.fleet, id, route, NULL, &spec);
	job->accepted_ms = w->now_ms;
	job->is_active_stored = TRUE;
	fleet_job_add_occurrence(job);
	return job;
}

struct step_spec *world_step_spec(const struct fleet_job *job)
{
	return &g_array_index(job->spec.steps, struct step_spec, 0);
}

guint world_count_orders(const struct world *w, gboolean is_start,
			 const char *task_prefix)
{
	guint n = 0;

	for (guint i = 0; i < w->order_count; i++) {
		if (w->orders[i].is_start == is_start &&
		    g_str_has_prefix(w->orders[i].task, task_prefix))
			n++;
	}
	return n;
}

void world_plan_after(struct world *w, int64_t ms)
{
	w->now_ms += ms;
	fleet_scheduler_plan(&w->s, w->now_ms);
}

void world_confirm_starts(struct world *w)
{
	for (guint i = 0; i < w->order_count; i++) {
		const struct order *o = &w->orders[i];

		if (o->is_start)
			fleet_scheduler_start_answered(
				&w->s, o->worker, o->task, o->run, ORDER_DONE,
				REFUSAL_OTHER, w->now_ms);
	}
}
