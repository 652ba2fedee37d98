#include "standin/common/vm_directory.h"

#include <string.h>

#include "base/util.h"

#define STUCK_ETAG "\"stuck\""

const char *const vm_directory_mode_names[] = { "full", "plain", "stuck",
						NULL };

/* A change of the VM list. The lagging list is computed from past events. */
struct vm_event {
	int64_t time_ms;
	char *vm;
	json_object *value; /* NULL if the VM is removed */
};

void vm_directory_init(struct vm_directory *d)
{
	memset(d, 0, sizeof(*d));
	d->events = g_ptr_array_new();
}

static void add_event(struct vm_directory *d, const char *vm,
		      json_object *value)
{
	struct vm_event *e = g_new0(struct vm_event, 1);

	e->time_ms = util_monotonic_ms();
	e->vm = g_strdup(vm);
	e->value = json_object_get(value);
	g_ptr_array_add(d->events, e);
}

void vm_directory_add(struct vm_directory *d, json_object *vms)
{
	size_t count = 0;

	if (json_object_is_type(vms, json_type_array))
		count = json_object_array_length(vms);
	for (size_t i = 0; i < count; i++) {
		json_object *vm = json_object_array_get_idx(vms, i);
		json_object *name = json_object_object_get(vm, "vm");

		add_event(d, json_object_get_string(name), vm);
	}
}

void vm_directory_remove(struct vm_directory *d, const char *vm)
{
	add_event(d, vm, NULL);
}

void vm_directory_set_raw(struct vm_directory *d, json_object *entries)
{
	json_object_put(d->raw);
	d->raw = json_object_get(entries);
}

static gboolean is_in_domain(json_object *vm, const char *domain)
{
	json_object *value = json_object_object_get(vm, "failure_domain");

	return !domain || g_strcmp0(json_object_get_string(value), domain) == 0;
}

/* Returns the VMs at a time as an object, by name. */
static json_object *vms_at(const struct vm_directory *d, int64_t until_ms)
{
	json_object *by_name = json_object_new_object();

	for (guint i = 0; i < d->events->len; i++) {
		const struct vm_event *e = d->events->pdata[i];

		if (e->time_ms > until_ms)
			break;
		if (e->value)
			json_object_object_add(by_name, e->vm,
					       json_object_get(e->value));
		else
			json_object_object_del(by_name, e->vm);
	}
	return by_name;
}

static json_object *encode_vm_list(const struct vm_directory *d,
				   const char *domain)
{
	json_object *by_name = vms_at(d, util_monotonic_ms() - d->lag_ms);
	json_object *vms = json_object_new_array();
	json_object *body = json_object_new_object();

	for (size_t i = 0; d->raw && i < json_object_array_length(d->raw); i++)
		json_object_array_add(
			vms,
			json_object_get(json_object_array_get_idx(d->raw, i)));
	json_object_object_foreach(by_name, name, vm)
	{
		(void)name;
		if (is_in_domain(vm, domain))
			json_object_array_add(vms, json_object_get(vm));
	}
	json_object_object_add(body, "vms", vms);
	json_object_put(by_name);
	return body;
}

static char *etag_of(const struct vm_directory *d, const char *text)
{
	char *digest;
	char *etag;

	if (d->mode == VM_DIRECTORY_STUCK)
		return g_strdup(STUCK_ETAG);
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
	etag = g_strdup_printf("\"%s\"", digest);
	g_free(digest);
	return etag;
}

void vm_directory_reply(struct vm_directory *d, struct http_request *r)
{
	gboolean is_plain = d->mode == VM_DIRECTORY_PLAIN;
	const char *known_etag = http_request_header(r, "If-None-Match");
	json_object *body = encode_vm_list(
		d, is_plain ? NULL : http_request_query(r, "failure_domain"));
	const char *text =
		json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
	char *etag = etag_of(d, text);

	d->reads++;
	if (!is_plain)
		http_request_set_reply_header(r, "ETag", etag);
	if (!is_plain && g_strcmp0(known_etag, etag) == 0) {
		http_request_reply_empty(r, SOUP_STATUS_NOT_MODIFIED);
		json_object_put(body);
	} else {
		d->bodies++;
		d->bytes += (int64_t)strlen(text);
		http_request_reply(r, SOUP_STATUS_OK, body);
	}
	g_free(etag);
}
