#include "daemon/vm_watch.h"

#include <string.h>

#include "base/log.h"
#include "base/util.h"
#include "platform/vm_list.h"

#define POLL_MS 1000

struct vm_watch {
	struct vm_watch_spec spec;
	guint timer;
	gboolean is_reading;
	uint32_t gateways;
};

static void take_endpoint(struct vm_watch *w, const struct vm_entry *vm)
{
	struct endpoint_spec spec = {
		.name = vm->vm,
		.address = vm->address,
		.failure_domain = vm->failure_domain,
		.is_leaving = vm->state != VM_LIVE,
	};

	endpoint_table_list_add(w->spec.endpoints, &spec);
}

static void take_list(struct vm_watch *w, const struct vm_list *list)
{
	uint32_t gateways = 0;
	uint32_t sharing = 0;
	uint32_t rank = 0;

	endpoint_table_list_begin(w->spec.endpoints, util_monotonic_ms());
	for (guint i = 0; i < list->vms->len; i++) {
		const struct vm_entry *vm =
			&g_array_index(list->vms, struct vm_entry, i);

		if (!g_str_equal(vm->service, w->spec.service))
			continue;
		if (vm->role == VM_ENDPOINT)
			take_endpoint(w, vm);
		if (vm->role != VM_ENTRY || vm->state != VM_LIVE)
			continue;
		gateways++;
		if (!g_str_equal(vm->failure_domain, w->spec.failure_domain))
			continue;
		sharing++;
		if (strcmp(vm->vm, w->spec.vm) < 0)
			rank++;
	}
	endpoint_table_list_end(w->spec.endpoints);
	endpoint_table_set_gateways(w->spec.endpoints, sharing, rank);
	w->gateways = MAX(gateways, 1);
}

static void on_list(const struct platform_result *result, void *data)
{
	struct vm_watch *w = data;
	struct vm_list list = { 0 };
	struct finding_list findings;
	struct log_line line;
	char *text;

	w->is_reading = FALSE;
	if (result->status != STATUS_OK)
		return;
	finding_list_init(&findings);
	if (schema_decode(&vm_list_schema, result->object, &list, "", NULL,
			  &findings)) {
		take_list(w, &list);
		w->spec.on_change(w->spec.data);
	} else {
		text = finding_list_text(&findings);
		log_begin(&line, LOG_LEVEL_WARN, "vm_list_invalid");
		log_str(&line, "findings", text);
		log_end(&line);
		g_free(text);
	}
	schema_clear(&vm_list_schema, &list);
	finding_list_clear(&findings);
}

static gboolean on_poll(gpointer data)
{
	struct vm_watch *w = data;

	if (!w->is_reading) {
		w->is_reading = TRUE;
		platform_vm_list(w->spec.platform, on_list, w);
	}
	return G_SOURCE_CONTINUE;
}

struct vm_watch *vm_watch_new(const struct vm_watch_spec *spec)
{
	struct vm_watch *w = g_new0(struct vm_watch, 1);

	w->spec = *spec;
	w->gateways = 1;
	w->timer = g_timeout_add(POLL_MS, on_poll, w);
	on_poll(w);
	return w;
}

void vm_watch_free(struct vm_watch *w)
{
	g_source_remove(w->timer);
	platform_forget(w->spec.platform, w);
	g_free(w);
}

uint32_t vm_watch_gateways(const struct vm_watch *w)
{
	return w->gateways;
}
