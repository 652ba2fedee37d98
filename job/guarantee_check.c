#include "job/guarantee_check.h"

gboolean guarantee_check_pool(const struct config_doc *doc, const char *pool,
			      const GArray *workers,
			      struct finding_list *findings)
{
	struct pool *trial = pool_new(pool);
	gboolean is_held;

	for (guint i = 0; i < workers->len; i++)
		pool_add_worker(trial,
				&g_array_index(workers, struct worker_spec, i));
	pool_set_guarantees(trial, doc);
	is_held = pool_check_guarantees(trial, findings);
	pool_free(trial);
	return is_held;
}

static const char *text_of(json_object *vm, const char *key)
{
	json_object *value;

	if (!json_object_object_get_ex(vm, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return "";
	return json_object_get_string(value);
}

static int64_t int_of(json_object *vm, const char *key)
{
	json_object *value;

	if (!json_object_object_get_ex(vm, key, &value))
		return 0;
	return json_object_get_int64(value);
}

static gboolean is_live_worker(json_object *vm, const char *service,
			       const char *failure_domain)
{
	return g_str_equal(text_of(vm, "role"), "worker") &&
	       g_str_equal(text_of(vm, "state"), "live") &&
	       g_str_equal(text_of(vm, "service"), service) &&
	       g_str_equal(text_of(vm, "failure_domain"), failure_domain);
}

/* Returns the workers of a pool; their strings belong to the list of VMs. */
static GArray *workers_of(json_object *list, const char *service,
			  const char *failure_domain)
{
	GArray *workers = g_array_new(FALSE, TRUE, sizeof(struct worker_spec));

	for (size_t i = 0; i < json_object_array_length(list); i++) {
		json_object *vm = json_object_array_get_idx(list, i);
		struct worker_spec spec = { .name = text_of(vm, "vm"),
					    .rack = text_of(vm, "rack"),
					    .address = text_of(vm, "address"),
					    .accelerators =
						    int_of(vm, "accelerators"),
					    .cores = int_of(vm, "cores"),
					    .memory_mb =
						    int_of(vm, "memory_mb") };

		if (is_live_worker(vm, service, failure_domain))
			g_array_append_val(workers, spec);
	}
	return workers;
}

gboolean guarantee_check_vms(const struct config_doc *doc, json_object *vms,
			     struct finding_list *findings)
{
	guint before = finding_list_count(findings);
	json_object *list;

	if (!json_object_object_get_ex(vms, "vms", &list) ||
	    !json_object_is_type(list, json_type_array)) {
		finding_list_add(findings, "vms", "an array", "missing");
		return FALSE;
	}
	for (guint i = 0; i < doc->services->len; i++) {
		const struct service_spec *s =
			&g_array_index(doc->services, struct service_spec, i);

		for (guint k = 0; k < s->failure_domains->len; k++) {
			const char *domain = s->failure_domains->pdata[k];
			GArray *workers = workers_of(list, s->name, domain);
			char *pool = g_strdup_printf("%s.%s", s->name, domain);

			if (workers->len > 0)
				guarantee_check_pool(doc, pool, workers,
						     findings);
			g_free(pool);
			g_array_unref(workers);
		}
	}
	return finding_list_count(findings) == before;
}
