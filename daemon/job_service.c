#include "daemon/job_service.h"

#include <string.h>

#include "base/log.h"
#include "base/util.h"
#include "config/config_service.h"
#include "daemon/http_service.h"
#include "daemon/platform_service.h"
#include "daemon/pool_runner.h"
#include "daemon/settings_service.h"
#include "platform/vm_list.h"
#include "shared/pool_lease.h"

#define TICK_MS 50
#define VM_LIST_MIN_MS INT64_C(1000)
/** Of one VM in the list. */
#define VM_LIST_ENTRY_BYTES INT64_C(220)
/** That a process may spend on reading the list. */
#define VM_LIST_BYTES_PER_S INT64_C(4000)
#define POKE_PATH "/v1/jobs/poke"
#define EXPLAIN_PATH "/v1/explain/job/"
#define EXPLAIN_GUARANTEE_PATH "/v1/explain/guarantee/"
#define NAME_MAX_BYTES 256

struct job_service {
	struct service base;
	struct kernel *kernel;
	GPtrArray *runners; /**< of struct pool_runner */
	guint tick_timer;
	gboolean is_listing;
	int64_t next_list_ms;
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

static struct pool_runner *add_runner(struct job_service *s, const char *pool)
{
	struct pool_runner *p = find_runner(s, pool);
	const struct config_doc *doc = config_service_doc(config_of(s));

	if (p)
		return p;
	p = pool_runner_new(s->kernel, pool);
	if (doc)
		scheduler_set_config(pool_runner_scheduler(p), doc,
				     config_service_version(config_of(s)),
				     util_monotonic_ms());
	g_ptr_array_add(s->runners, p);
	return p;
}

static void on_config(const struct config_doc *doc, int64_t version, void *data)
{
	struct job_service *s = data;

	for (guint i = 0; i < s->runners->len; i++)
		scheduler_set_config(
			pool_runner_scheduler(s->runners->pdata[i]), doc,
			version, util_monotonic_ms());
}

static void on_role(const char *pool, enum pool_role role, int64_t epoch,
		    void *data)
{
	pool_runner_tick(add_runner(data, pool));
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

static void take_workers(struct job_service *s, struct pool_runner *p,
			 const struct vm_list *list)
{
	const char *domain = settings_of(s->kernel)->failure_domain;
	GArray *workers =
		g_array_new(FALSE, FALSE, sizeof(struct listed_worker));

	for (guint i = 0; i < list->vms->len; i++) {
		const struct vm_entry *vm =
			&g_array_index(list->vms, struct vm_entry, i);
		char *pool = g_strdup_printf("%s.%s", vm->service, domain);
		struct listed_worker w = listed_worker_of(vm);

		if (vm->role == VM_WORKER &&
		    g_str_equal(vm->failure_domain, domain) &&
		    g_str_equal(pool, pool_runner_pool(p)))
			g_array_append_val(workers, w);
		g_free(pool);
	}
	scheduler_on_workers(pool_runner_scheduler(p),
			     (const struct listed_worker *)workers->data,
			     workers->len, util_monotonic_ms());
	g_array_unref(workers);
}

static int64_t list_period_ms(guint vms)
{
	int64_t period_ms =
		vms * VM_LIST_ENTRY_BYTES * MS_PER_S / VM_LIST_BYTES_PER_S;

	return MAX(period_ms, VM_LIST_MIN_MS);
}

static void on_vm_list(const struct platform_result *result, void *data)
{
	struct job_service *s = data;
	struct finding_list findings;
	struct vm_list list = { 0 };

	s->is_listing = FALSE;
	if (result->status != STATUS_OK)
		return;
	finding_list_init(&findings);
	if (schema_decode(&vm_list_schema, result->object, &list, "", NULL,
			  &findings)) {
		s->next_list_ms =
			util_monotonic_ms() + list_period_ms(list.vms->len);
		for (guint i = 0; i < s->runners->len; i++)
			take_workers(s, s->runners->pdata[i], &list);
	} else {
		struct log_line line;

		log_begin(&line, LOG_LEVEL_WARN, "vm_list_invalid");
		log_end(&line);
	}
	schema_clear(&vm_list_schema, &list);
	finding_list_clear(&findings);
}

static void list_vms(struct job_service *s)
{
	int64_t now_ms = util_monotonic_ms();

	if (s->is_listing || now_ms < s->next_list_ms)
		return;
	s->is_listing = TRUE;
	s->next_list_ms = now_ms + VM_LIST_MIN_MS;
	platform_vm_list(platform_of(s->kernel), on_vm_list, s);
}

static gboolean on_tick(gpointer data)
{
	struct job_service *s = data;

	list_vms(s);
	for (guint i = 0; i < s->runners->len; i++)
		pool_runner_tick(s->runners->pdata[i]);
	return G_SOURCE_CONTINUE;
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
	if (schema_decode(&poke_schema, body, &poke, "", NULL, &findings)) {
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

/* Returns the scheduler that an operator asks, NULL without one. */
static struct scheduler *asked_scheduler(struct job_service *s,
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
	x = asked_scheduler(s, r);
	reply_explanation(r,
			  x ? scheduler_explain(x, http_request_rest(r)) : NULL,
			  "job not known to this process\n");
}

static void handle_explain_guarantee(struct http_request *r, void *data)
{
	struct job_service *s = data;
	json_object *json = NULL;
	struct scheduler *x;

	if (!http_service_allow_operator(s->kernel, r))
		return;
	x = asked_scheduler(s, r);
	if (x)
		json = scheduler_explain_guarantee(x, http_request_rest(r),
						   util_monotonic_ms());
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
		{ "aside_workers", x->aside_workers },
		{ "queued", x->queued },
		{ "gangs", x->gangs },
		{ "recoveries", x->recoveries },
		{ "recovery_ms", x->recovery_ms },
		{ "renew_ms", x->renew_ms },
		{ "lease_ms", x->lease_ms },
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

static void add_unmet(const char *place, const char *problem, int64_t since_ms,
		      void *data)
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
	scheduler_foreach_unmet(pool_runner_scheduler(p), add_unmet, unmet);
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
	char *pool;

	s->kernel = k;
	lease = (struct pool_lease_service *)kernel_find(k, POOL_LEASE_SERVICE);
	pool_lease_subscribe(lease, on_role, s);
	config_service_subscribe(config_of(s), on_config, s);
	http_server_route(server, "POST", POKE_PATH, handle_poke, s);
	http_server_route(server, "GET", EXPLAIN_PATH, handle_explain, s);
	http_server_route(server, "GET", EXPLAIN_GUARANTEE_PATH,
			  handle_explain_guarantee, s);
	pool = g_strdup_printf("%s.%s", settings_of(k)->service,
			       settings_of(k)->failure_domain);
	add_runner(s, pool);
	g_free(pool);
	s->tick_timer = g_timeout_add(TICK_MS, on_tick, s);
	return STATUS_OK;
}

static void job_service_free(struct service *base)
{
	struct job_service *s = (struct job_service *)base;

	if (s->tick_timer)
		g_source_remove(s->tick_timer);
	if (s->kernel)
		platform_forget(platform_of(s->kernel), s);
	g_ptr_array_unref(s->runners);
	g_free(s);
}

static const struct service_class job_service_class = {
	.name = JOB_SERVICE,
	.start = job_service_start,
	.status = job_service_status,
	.free = job_service_free,
};

struct service *job_service_new(void)
{
	struct job_service *s = g_new0(struct job_service, 1);

	s->base.class = &job_service_class;
	s->runners = g_ptr_array_new_with_free_func(
		(GDestroyNotify)pool_runner_free);
	return &s->base;
}
