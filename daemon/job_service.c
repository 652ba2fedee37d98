#include "daemon/job_service.h"

#include <string.h>

#include "base/log.h"
#include "base/util.h"
#include "base/wake_timer.h"
#include "config/config_service.h"
#include "daemon/http_service.h"
#include "daemon/platform_service.h"
#include "daemon/pool_runner.h"
#include "daemon/settings_service.h"
#include "shared/pool_lease.h"

/** Shortest time between two calls of on_wake(). */
#define GRID_MS 50
#define POKE_PATH "/v1/jobs/poke"
#define EXPLAIN_PATH "/v1/explain/job/"
#define EXPLAIN_GUARANTEE_PATH "/v1/explain/guarantee/"
#define NAME_MAX_BYTES 256

struct job_service {
	struct service base;
	struct kernel *kernel;
	GPtrArray *runners; /**< of struct pool_runner */
	struct wake_timer *timer;
};

/** Body of POST /v1/jobs/poke. */
struct poke {
	char *pool;
	char *id;
};

static const struct field_spec poke_fields[] = {
	{ .name = "pool",
	  .type = FIELD_STRING,
	  .is_required = TRUE,
	  .offset = offsetof(struct poke, pool),
	  .min = 1,
	  .max = NAME_MAX_BYTES },
	{ .name = "id",
	  .type = FIELD_STRING,
	  .is_required = TRUE,
	  .offset = offsetof(struct poke, id),
	  .min = 1,
	  .max = NAME_MAX_BYTES },
	{ 0 },
};

static const struct schema poke_schema = { sizeof(struct poke), poke_fields };

static struct pool_runner *find_runner(const struct job_service *s,
				       const char *pool)
{
	for (guint i = 0; i < s->runners->len; i++) {
		if (g_str_equal(pool_runner_pool(s->runners->pdata[i]), pool))
			return s->runners->pdata[i];
	}
	return NULL;
}

static struct config_service *config_of(const struct job_service *s)
{
	return (struct config_service *)kernel_find(s->kernel, CONFIG_SERVICE);
}

static void on_event(void *data)
{
	struct job_service *s = data;

	wake_timer_add_now(s->timer);
}

static struct listed_worker listed_worker_of(const struct vm_entry *vm)
{
	return (struct listed_worker){
		.spec = { .name = vm->vm,
			  .rack = vm->rack ? vm->rack : "",
			  .address = vm->address,
			  .accelerators = vm->accelerators,
			  .cores = vm->cores,
			  .memory_mb = vm->memory_mb },
		.is_leaving = vm->state == VM_LEAVING,
	};
}

static void update_workers(struct job_service *s, struct pool_runner *p,
			   const struct vm_list *list)
{
	const char *domain = settings_of(s->kernel)->failure_domain;
	GArray *workers =
		g_array_new(FALSE, FALSE, sizeof(struct listed_worker));

	for (guint i = 0; i < list->vms->len; i++) {
		const struct vm_entry *vm = list->vms->pdata[i];
		struct listed_worker w;
		char *pool;

		/* Checked first: most of a long list is skipped here. */
		if (vm->role != VM_WORKER ||
		    !g_str_equal(vm->failure_domain, domain))
			continue;
		w = listed_worker_of(vm);
		pool = g_strdup_printf("%s.%s", vm->service, domain);
		if (g_str_equal(pool, pool_runner_pool(p)))
			g_array_append_val(workers, w);
		g_free(pool);
	}
	scheduler_on_worker_list(pool_runner_scheduler(p),
				 (const struct listed_worker *)workers->data,
				 workers->len, util_monotonic_ms());
	g_array_unref(workers);
}

static struct pool_runner *add_runner(struct job_service *s, const char *pool)
{
	struct pool_runner *p = find_runner(s, pool);
	const struct config_doc *doc = config_service_doc(config_of(s));
	const struct vm_list *list = vm_reader_list(vm_reader_of(s->kernel));

	if (p)
		return p;
	p = pool_runner_new(s->kernel, pool);
	pool_runner_on_event(p, on_event, s);
	if (doc)
		scheduler_set_config(pool_runner_scheduler(p), doc,
				     config_service_version(config_of(s)),
				     util_monotonic_ms());
	g_ptr_array_add(s->runners, p);
	if (list)
		update_workers(s, p, list);
	on_event(s);
	return p;
}

static void on_config(const struct config_doc *doc, int64_t version, void *data)
{
	struct job_service *s = data;

	for (guint i = 0; i < s->runners->len; i++)
		scheduler_set_config(
			pool_runner_scheduler(s->runners->pdata[i]), doc,
			version, util_monotonic_ms());
	on_event(s);
}

static void on_role(const char *pool, enum pool_role role, int64_t epoch,
		    void *data)
{
	pool_runner_tick(add_runner(data, pool));
	on_event(data);
}

static void on_vm_list(const struct vm_list *list, void *data)
{
	struct job_service *s = data;

	for (guint i = 0; i < s->runners->len; i++)
		update_workers(s, s->runners->pdata[i], list);
	on_event(s);
}

/* Role changes need no deadline: the lease service reports them at once. */
static int64_t on_wake(int64_t now_ms, void *data)
{
	struct job_service *s = data;
	int64_t due_ms = WAKE_NEVER;

	for (guint i = 0; i < s->runners->len; i++) {
		struct pool_runner *p = s->runners->pdata[i];

		pool_runner_tick(p);
		due_ms = MIN(due_ms, pool_runner_due_ms(p, now_ms));
	}
	return due_ms;
}

static void handle_poke(struct http_request *r, void *data)
{
	struct job_service *s = data;
	struct poke poke = { 0 };
	struct finding_list findings;
	struct pool_runner *p;
	json_object *body;

	if (!http_service_allow_operator(s->kernel, r))
		return;
	body = http_request_json(r);
	if (!body)
		return;
	finding_list_init(&findings);
	if (schema_decode_lenient(&poke_schema, body, &poke, "", &findings)) {
		p = find_runner(s, poke.pool);
		if (p)
			pool_runner_poke(p, poke.id);
		http_request_reply(r, SOUP_STATUS_ACCEPTED,
				   json_object_new_object());
	} else {
		http_request_reply_findings(r, &findings);
	}
	schema_clear(&poke_schema, &poke);
	finding_list_clear(&findings);
}

static char *pool_of_request(const struct job_service *s,
			     const struct http_request *r)
{
	const struct settings *settings = settings_of(s->kernel);
	const char *pool = http_request_query(r, "pool");

	if (pool && pool[0])
		return g_strdup(pool);
	return g_strdup_printf("%s.%s", settings->service,
			       settings->failure_domain);
}

/* Returns the scheduler of the requested pool, NULL without a runner for it. */
static struct scheduler *requested_scheduler(struct job_service *s,
					     struct http_request *r)
{
	char *pool = pool_of_request(s, r);
	struct pool_runner *p = find_runner(s, pool);

	g_free(pool);
	return p ? pool_runner_scheduler(p) : NULL;
}

static void reply_explanation(struct http_request *r, json_object *json,
			      const char *problem)
{
	if (json)
		http_request_reply(r, SOUP_STATUS_OK, json);
	else
		http_request_reply_text(r, SOUP_STATUS_NOT_FOUND, problem);
}

static void handle_explain(struct http_request *r, void *data)
{
	struct job_service *s = data;
	struct scheduler *x;

	if (!http_service_allow_operator(s->kernel, r))
		return;
	x = requested_scheduler(s, r);
	reply_explanation(
		r, x ? scheduler_explain(x, http_request_path_suffix(r)) : NULL,
		"job not known to this process\n");
}

static void handle_explain_guarantee(struct http_request *r, void *data)
{
	struct job_service *s = data;
	json_object *json = NULL;
	struct scheduler *x;

	if (!http_service_allow_operator(s->kernel, r))
		return;
	x = requested_scheduler(s, r);
	if (x)
		json = scheduler_explain_guarantee(
			x, http_request_path_suffix(r), util_monotonic_ms());
	reply_explanation(r, json,
			  "no guarantees known to this process; it may not "
			  "hold the pool\n");
}

static json_object *encode_stats(const struct scheduler_stats *x)
{
	const struct {
		const char *name;
		int64_t value;
	} counts[] = {
		{ "epoch", x->epoch },
		{ "workers", x->workers },
		{ "usable_workers", x->usable_workers },
		{ "aside_workers", x->quarantined_workers },
		{ "queued", x->queued },
		{ "gangs", x->gangs },
		{ "recoveries", x->recoveries },
		{ "recovery_ms", x->recovery_ms },
		{ "delegates", x->delegates },
		{ "shared_workers", x->shared_workers },
		{ "renew_ms", x->renew_ms },
		{ "lease_ms", x->lease_ms },
		{ "partial_bound_ms", x->partial_bound_ms },
	};
	json_object *json = json_object_new_object();

	json_object_object_add(
		json, "phase",
		json_object_new_string(scheduler_phase_name(x->phase)));
	for (guint i = 0; i < G_N_ELEMENTS(counts); i++)
		json_object_object_add(json, counts[i].name,
				       json_object_new_int64(counts[i].value));
	return json;
}

static void add_unmet_guarantee(const char *place, const char *problem,
				int64_t since_ms, void *data)
{
	json_object *json = json_object_new_object();
	int64_t age_ms = util_monotonic_ms() - since_ms;

	json_object_object_add(json, "guarantee",
			       json_object_new_string(place));
	json_object_object_add(json, "problem",
			       json_object_new_string(problem));
	json_object_object_add(json, "since_ms",
			       json_object_new_int64(util_wall_ms() - age_ms));
	json_object_array_add(data, json);
}

static json_object *encode_pool(struct pool_runner *p)
{
	json_object *unmet = json_object_new_array();
	struct scheduler_stats stats;
	json_object *json;

	scheduler_get_stats(pool_runner_scheduler(p), &stats);
	json = encode_stats(&stats);
	scheduler_foreach_unheld_guarantee(pool_runner_scheduler(p),
					   add_unmet_guarantee, unmet);
	json_object_object_add(json, "unmet_guarantees", unmet);
	return json;
}

static json_object *job_service_status(const struct service *base)
{
	const struct job_service *s = (const struct job_service *)base;
	json_object *json = json_object_new_object();

	for (guint i = 0; i < s->runners->len; i++) {
		struct pool_runner *p = s->runners->pdata[i];

		json_object_object_add(json, pool_runner_pool(p),
				       encode_pool(p));
	}
	return json;
}

static enum status job_service_start(struct service *base, struct kernel *k)
{
	struct job_service *s = (struct job_service *)base;
	struct http_server *server = http_server_of(k);
	struct pool_lease_service *lease;
	struct wake_timer_spec spec = {
		.grid_ms = GRID_MS,
		.fn = on_wake,
		.data = s,
		.counters = kernel_counters(k),
	};
	char *pool;

	s->kernel = k;
	s->timer = wake_timer_new(&spec);
	lease = (struct pool_lease_service *)kernel_find(k, POOL_LEASE_SERVICE);
	pool_lease_subscribe(lease, on_role, s);
	config_service_subscribe(config_of(s), on_config, s);
	vm_reader_subscribe(vm_reader_of(k), on_vm_list, s);
	http_server_add_route(server, "POST", POKE_PATH, handle_poke, s);
	http_server_add_route(server, "GET", EXPLAIN_PATH, handle_explain, s);
	http_server_add_route(server, "GET", EXPLAIN_GUARANTEE_PATH,
			      handle_explain_guarantee, s);
	pool = g_strdup_printf("%s.%s", settings_of(k)->service,
			       settings_of(k)->failure_domain);
	add_runner(s, pool);
	g_free(pool);
	return STATUS_OK;
}

static void job_service_free(struct service *base)
{
	struct job_service *s = (struct job_service *)base;

	g_ptr_array_unref(s->runners);
	wake_timer_free(s->timer);
	g_free(s);
}

static const struct service_class job_service_class = {
	.name = JOB_SERVICE,
	.start = job_service_start,
	.status = job_service_status,
	.free = job_service_free,
};

struct pool_runner *job_service_find(const struct kernel *k, const char *pool)
{
	return find_runner(
		(const struct job_service *)kernel_find(k, JOB_SERVICE), pool);
}

struct service *job_service_new(void)
{
	struct job_service *s = g_new0(struct job_service, 1);

	s->base.class = &job_service_class;
	s->runners = g_ptr_array_new_with_free_func(
		(GDestroyNotify)pool_runner_free);
	return &s->base;
}
