#include "daemon/vm_watch.h"

#include <string.h>

#include "base/util.h"

/** How often the list is applied again while endpoints are leaving. */
#define LEAVING_POLL_MS 1000

struct vm_watch {
	struct vm_watch_spec spec;
	guint timer;
	uint32_t gateways; /**< live entry VMs of the service, at least 1 */
};

static void list_endpoint(struct vm_watch *w, const struct vm_entry *vm)
{
	struct endpoint_spec spec = {
		.name = vm->vm,
		.address = vm->address,
		.failure_domain = vm->failure_domain,
		.is_leaving = vm->state != VM_LIVE,
	};

	endpoint_table_list_add(w->spec.endpoints, &spec);
}

static void apply_vm_list(struct vm_watch *w, const struct vm_list *list)
{
	uint32_t gateways = 0;
	uint32_t domain_gateways = 0;
	uint32_t gateway_rank = 0;

	endpoint_table_list_begin(w->spec.endpoints, util_monotonic_ms());
	for (guint i = 0; i < list->vms->len; i++) {
		const struct vm_entry *vm = list->vms->pdata[i];

		if (!g_str_equal(vm->service, w->spec.service))
			continue;
		if (vm->role == VM_ENDPOINT)
			list_endpoint(w, vm);
		if (vm->role != VM_ENTRY || vm->state != VM_LIVE)
			continue;
		gateways++;
		if (!g_str_equal(vm->failure_domain, w->spec.failure_domain))
			continue;
		domain_gateways++;
		if (strcmp(vm->vm, w->spec.vm) < 0)
			gateway_rank++;
	}
	endpoint_table_list_end(w->spec.endpoints);
	endpoint_table_set_gateways(w->spec.endpoints, domain_gateways,
				    gateway_rank);
	w->gateways = MAX(gateways, 1);
}

/*
 * Has the lists of other failure domains read early when this one has no live
 * endpoint, as requests can then only be sent there.
 */
static void read_other_domains(struct vm_watch *w)
{
	if (w->spec.endpoints->live_count[ENDPOINT_LOCAL] == 0)
		vm_reader_read_ahead(w->spec.reader);
}

static void on_list(const struct vm_list *list, void *data)
{
	struct vm_watch *w = data;

	apply_vm_list(w, list);
	read_other_domains(w);
	w->spec.on_change(w->spec.data);
}

static gboolean has_leaving_endpoints(const struct endpoint_table *t)
{
	guint live = 0;

	for (guint i = 0; i < ENDPOINT_REACH_COUNT; i++)
		live += t->live_count[i];
	return live < t->endpoints->len;
}

/*
 * Applies the list again while endpoints are leaving: that drops those that are
 * idle by now, and brings back those that were restarted.
 */
static gboolean on_poll(gpointer data)
{
	struct vm_watch *w = data;
	const struct vm_list *list = vm_reader_list(w->spec.reader);

	if (list && has_leaving_endpoints(w->spec.endpoints))
		on_list(list, w);
	else
		read_other_domains(w);
	return G_SOURCE_CONTINUE;
}

struct vm_watch *vm_watch_new(const struct vm_watch_spec *spec)
{
	struct vm_watch *w = g_new0(struct vm_watch, 1);

	w->spec = *spec;
	w->gateways = 1;
	w->timer = g_timeout_add(LEAVING_POLL_MS, on_poll, w);
	vm_reader_subscribe(spec->reader, on_list, w);
	return w;
}

void vm_watch_free(struct vm_watch *w)
{
	g_source_remove(w->timer);
	g_free(w);
}

uint32_t vm_watch_gateways(const struct vm_watch *w)
{
	return w->gateways;
}
