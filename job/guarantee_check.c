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

static gboolean is_live_worker(const struct vm_entry *vm, const char *service,
			       const char *failure_domain)
{
	return vm->role == VM_WORKER && vm->state == VM_LIVE &&
	       g_str_equal(vm->service, service) &&
	       g_str_equal(vm->failure_domain, failure_domain);
}

/* Returns the live workers of a pool; the list of VMs owns their strings. */
static GArray *workers_of(const struct vm_list *list, const char *service,
			  const char *failure_domain)
{
	GArray *workers = g_array_new(FALSE, TRUE, sizeof(struct worker_spec));

	for (guint i = 0; i < list->vms->len; i++) {
		const struct vm_entry *vm = list->vms->pdata[i];
		struct worker_spec spec = { .name = vm->vm,
					    .rack = vm->rack ? vm->rack : "",
					    .address = vm->address,
					    .accelerators = vm->accelerators,
					    .cores = vm->cores,
					    .memory_mb = vm->memory_mb };

		if (is_live_worker(vm, service, failure_domain))
			g_array_append_val(workers, spec);
	}
	return workers;
}

gboolean guarantee_check_vms(const struct config_doc *doc,
			     const struct vm_list *list,
			     struct finding_list *findings)
{
	guint before = finding_list_count(findings);

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
