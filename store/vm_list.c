#include "store/vm_list.h"

#include <string.h>

#include "base/json_elements.h"
#include "base/util.h"

#define NAME_MAX_BYTES 128
#define MAX_VMS 100000

static const char *const role_names[] = { "endpoint", "worker", "entry", NULL };
static const char *const state_names[] = { "live", "leaving", NULL };

/* Decoded form of an entry. */
struct vm_body {
	char *vm;
	int64_t role;
	char *service;
	char *failure_domain;
	char *rack;
	int64_t state;
	char *address;
	int64_t accelerators;
	int64_t cores;
	int64_t memory_mb;
};

#define STRING_FIELD(member, required_)                     \
	{                                                   \
		.name = #member, .type = FIELD_STRING,      \
		.is_required = (required_),                 \
		.offset = offsetof(struct vm_body, member), \
		.min = (required_), .max = NAME_MAX_BYTES   \
	}
#define INT_FIELD(member)                                                    \
	{                                                                    \
		.name = #member, .type = FIELD_INT,                          \
		.offset = offsetof(struct vm_body, member), .max = INT32_MAX \
	}
#define ENUM_FIELD(member, required_, names_)                                 \
	{                                                                     \
		.name = #member, .type = FIELD_ENUM,                          \
		.is_required = (required_),                                   \
		.offset = offsetof(struct vm_body, member), .names = (names_) \
	}

static const struct field_spec vm_fields[] = {
	STRING_FIELD(vm, TRUE),
	ENUM_FIELD(role, TRUE, role_names),
	STRING_FIELD(service, TRUE),
	STRING_FIELD(failure_domain, TRUE),
	STRING_FIELD(rack, FALSE),
	ENUM_FIELD(state, FALSE, state_names),
	STRING_FIELD(address, TRUE),
	INT_FIELD(accelerators),
	INT_FIELD(cores),
	INT_FIELD(memory_mb),
	{ 0 },
};

const struct schema vm_entry_schema = { sizeof(struct vm_body), vm_fields };

/* For service, failure domain and rack, which many entries have in common. */
static char *intern_string(const char *text)
{
	return text ? g_ref_string_new_intern(text) : NULL;
}

static void release_string(const char *text)
{
	if (text)
		g_ref_string_release((char *)text);
}

static struct vm_entry *entry_new(const struct vm_body *b)
{
	size_t name_size = strlen(b->vm) + 1;
	size_t address_size = strlen(b->address) + 1;
	struct vm_entry *vm = g_malloc0(sizeof(*vm) + name_size + address_size);

	vm->ref_count = 1;
	vm->service = intern_string(b->service);
	vm->failure_domain = intern_string(b->failure_domain);
	vm->rack = intern_string(b->rack);
	vm->role = (uint8_t)b->role;
	vm->state = (uint8_t)b->state;
	vm->accelerators = (int32_t)b->accelerators;
	vm->cores = (int32_t)b->cores;
	vm->memory_mb = (int32_t)b->memory_mb;
	memcpy(vm->vm, b->vm, name_size);
	vm->address = memcpy(vm->vm + name_size, b->address, address_size);
	return vm;
}

static struct vm_entry *entry_ref(struct vm_entry *vm)
{
	vm->ref_count++;
	return vm;
}

static void entry_unref(gpointer data)
{
	struct vm_entry *vm = data;

	if (--vm->ref_count > 0)
		return;
	release_string(vm->service);
	release_string(vm->failure_domain);
	release_string(vm->rack);
	g_free(vm);
}

void vm_list_init(struct vm_list *l)
{
	memset(l, 0, sizeof(*l));
	l->vms = g_ptr_array_new_with_free_func(entry_unref);
	l->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	l->bad_names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void vm_list_clear(struct vm_list *l)
{
	if (!l->vms)
		return;
	g_hash_table_unref(l->bad_names);
	g_hash_table_unref(l->by_name);
	g_ptr_array_unref(l->vms);
	memset(l, 0, sizeof(*l));
}

gboolean vm_list_add(struct vm_list *l, struct vm_entry *vm)
{
	if (g_hash_table_contains(l->by_name, vm->vm))
		return FALSE;
	g_ptr_array_add(l->vms, entry_ref(vm));
	g_hash_table_insert(l->by_name, vm->vm, vm);
	return TRUE;
}

static const char *entry_name(json_object *json)
{
	json_object *name = NULL;

	if (!json_object_is_type(json, json_type_object) ||
	    !json_object_object_get_ex(json, "vm", &name) ||
	    !json_object_is_type(name, json_type_string) ||
	    json_object_get_string_len(name) > NAME_MAX_BYTES)
		return "";
	return json_object_get_string(name);
}

static gboolean is_address(const char *text)
{
	char *host = NULL;
	uint16_t port;
	gboolean is_good = util_parse_endpoint(text, &host, &port);

	g_free(host);
	return is_good;
}

/* Adds an entry; returns FALSE, with a finding, if it is invalid. */
static gboolean add_body(struct vm_list *l, const struct vm_body *b,
			 const char *place, struct finding_list *findings)
{
	struct vm_entry *vm;
	gboolean is_added;

	if (!is_address(b->address)) {
		finding_list_add(findings, place, "IP:PORT", "bad address");
		return FALSE;
	}
	vm = entry_new(b);
	is_added = vm_list_add(l, vm);
	if (!is_added)
		finding_list_add(findings, place, "one entry per VM",
				 "duplicate name");
	entry_unref(vm);
	return is_added;
}

static gboolean decode_and_add(struct vm_list *l, json_object *json,
			       const char *place, struct finding_list *findings)
{
	struct vm_body body = { 0 };
	gboolean is_added = schema_decode_lenient(&vm_entry_schema, json, &body,
						  place, findings) &&
			    add_body(l, &body, place, findings);

	schema_clear(&vm_entry_schema, &body);
	return is_added;
}

/* Prefers the name to the index, which shifts with other entries. */
static char *entry_place(const char *name, size_t index)
{
	if (name[0])
		return g_strdup_printf("vms(%s)", name);
	return g_strdup_printf("vms[%zu]", index);
}

/* Progress of decoding a list. */
struct decode_state {
	struct vm_list *list;
	struct finding_list *findings;
	size_t count; /* entries so far, valid or not */
};

static void decode_entry(json_object *json, void *data)
{
	struct decode_state *d = data;
	const char *name = entry_name(json);
	char *place;

	if (d->count++ >= MAX_VMS)
		return;
	place = entry_place(name, d->count - 1);
	if (!decode_and_add(d->list, json, place, d->findings)) {
		d->list->bad_count++;
		g_hash_table_add(d->list->bad_names, g_strdup(name));
	}
	g_free(place);
}

static gboolean check_count(const struct decode_state *d)
{
	if (d->count > MAX_VMS)
		finding_list_add(d->findings, "vms", "", "too many entries");
	return d->count <= MAX_VMS;
}

gboolean vm_list_decode(struct vm_list *l, json_object *body,
			struct finding_list *findings)
{
	struct decode_state d = { l, findings, 0 };
	json_object *vms = NULL;
	size_t count;

	if (!json_object_is_type(body, json_type_object) ||
	    !json_object_object_get_ex(body, "vms", &vms) ||
	    !json_object_is_type(vms, json_type_array)) {
		finding_list_add(findings, "vms", "an array",
				 "missing or not an array");
		return FALSE;
	}
	count = json_object_array_length(vms);
	for (size_t i = 0; i < count; i++)
		decode_entry(json_object_array_get_idx(vms, i), &d);
	return check_count(&d);
}

gboolean vm_list_decode_bytes(struct vm_list *l, GBytes *body,
			      struct finding_list *findings)
{
	struct decode_state d = { l, findings, 0 };

	return json_elements_each(body, "vms", decode_entry, &d, findings) &&
	       check_count(&d);
}

static gboolean is_equal(const struct vm_entry *a, const struct vm_entry *b)
{
	/* Interned strings are equal if and only if their pointers are. */
	return a->service == b->service &&
	       a->failure_domain == b->failure_domain && a->rack == b->rack &&
	       a->role == b->role && a->state == b->state &&
	       a->accelerators == b->accelerators && a->cores == b->cores &&
	       a->memory_mb == b->memory_mb &&
	       g_str_equal(a->address, b->address);
}

void vm_list_share(struct vm_list *l, const struct vm_list *known)
{
	for (guint i = 0; i < l->vms->len; i++) {
		struct vm_entry *own = l->vms->pdata[i];
		struct vm_entry *other =
			g_hash_table_lookup(known->by_name, own->vm);

		if (!other || other == own || !is_equal(own, other))
			continue;
		g_hash_table_replace(l->by_name, other->vm, other);
		l->vms->pdata[i] = entry_ref(other);
		entry_unref(own);
	}
}

void vm_list_drop_index(struct vm_list *l)
{
	g_hash_table_remove_all(l->by_name);
}

const struct vm_entry *vm_list_find(const struct vm_list *l, const char *vm)
{
	return g_hash_table_lookup(l->by_name, vm);
}

gboolean vm_list_has_name(const struct vm_list *l, const char *vm)
{
	return vm_list_find(l, vm) || g_hash_table_contains(l->bad_names, vm);
}
