#include "tests/fake_vms.h"

#include <string.h>

struct list_call {
	char *domain; /* filter, NULL for all VMs */
	char *etag;
	platform_fn fn;
	void *data;
};

static void list_call_free(gpointer data)
{
	struct list_call *c = data;

	g_free(c->domain);
	g_free(c->etag);
	g_free(c);
}

static void fake_vm_list(struct platform *base,
			 const struct vm_list_query *query, platform_fn fn,
			 void *data)
{
	struct fake_vms *f = (struct fake_vms *)base;
	struct list_call *c = g_new0(struct list_call, 1);

	c->domain = g_strdup(query->failure_domain);
	c->etag = g_strdup(query->etag);
	c->fn = fn;
	c->data = data;
	g_ptr_array_add(f->pending_calls, c);
}

static void fake_forget(struct platform *base, const void *data)
{
	struct fake_vms *f = (struct fake_vms *)base;

	for (guint i = 0; i < f->pending_calls->len; i++) {
		struct list_call *c = f->pending_calls->pdata[i];

		if (c->data == data)
			c->fn = NULL;
	}
}

static const struct platform_class fake_class = {
	.name = "fake",
	.vm_list = fake_vm_list,
	.forget = fake_forget,
};

void fake_vms_init(struct fake_vms *f, const struct fake_vms_behaviour *b,
		   guint vms)
{
	memset(f, 0, sizeof(*f));
	f->base.class = &fake_class;
	f->behaviour = b;
	f->vm_count = vms;
	f->is_leaving = g_new0(guint8, vms);
	f->pending_calls = g_ptr_array_new_with_free_func(list_call_free);
}

void fake_vms_clear(struct fake_vms *f)
{
	g_ptr_array_unref(f->pending_calls);
	g_free(f->is_leaving);
}

void fake_vms_toggle(struct fake_vms *f, guint vm)
{
	f->is_leaving[vm] = !f->is_leaving[vm];
	f->versions[vm % FAKE_DOMAINS]++;
	f->versions[FAKE_DOMAINS]++;
}

static char *fake_list_json(const struct fake_vms *f, int domain)
{
	GString *text = g_string_new("{\"vms\":[");

	for (guint i = 0; i < f->vm_count; i++) {
		gboolean is_leaving =
			f->is_leaving[i] || (f->is_second_replica && i == 0);

		if (domain != FAKE_DOMAINS && domain != (int)(i % FAKE_DOMAINS))
			continue;
		g_string_append_printf(
			text,
			"%s{\"vm\":\"vm-%06u\",\"role\":\"worker\",\"service\":"
			"\"salkhi\",\"failure_domain\":\"d%u\",\"rack\":\"rack-"
			"%04u\",\"state\":\"%s\",\"address\":\"10.1.%u.%u:7301"
			"\",\"accelerators\":8,\"cores\":64,\"memory_mb\":"
			"131072}",
			text->str[text->len - 1] == '[' ? "" : ",", i,
			i % FAKE_DOMAINS, i / 40,
			is_leaving ? "leaving" : "live", i / 256, i % 256);
	}
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static void answer_body(struct fake_vms *f, const struct list_call *c,
			int domain, const char *etag)
{
	char *text = f->body_override ? g_strdup(f->body_override)
				      : fake_list_json(f, domain);
	GBytes *body = g_bytes_new_take(text, strlen(text));
	struct platform_result result = { .status = STATUS_OK,
					  .bytes = body,
					  .etag = etag };

	f->bytes += g_bytes_get_size(body);
	c->fn(&result, c->data);
	g_bytes_unref(body);
}

static void answer(struct fake_vms *f, const struct list_call *c)
{
	const struct fake_vms_behaviour *b = f->behaviour;
	struct platform_result unchanged = { .status = STATUS_OK,
					     .is_unchanged = TRUE };
	struct platform_result refused = { .status = STATUS_INVALID };
	int domain = FAKE_DOMAINS;
	char *etag = NULL;

	f->reads++;
	f->bytes += FAKE_HEADER_BYTES;
	f->is_second_replica = b->alternates_replicas && f->reads % 2;
	if (c->domain && b->has_filter)
		domain = c->domain[1] - '0';
	if (b->has_constant_etag)
		etag = g_strdup("\"1\"");
	else if (b->has_etag)
		etag = g_strdup_printf("\"%" G_GUINT64_FORMAT "-%d\"",
				       f->versions[domain],
				       f->is_second_replica);
	if (c->domain && b->refuses_filter)
		c->fn(&refused, c->data);
	else if (etag && g_strcmp0(etag, c->etag) == 0)
		c->fn(&unchanged, c->data);
	else
		answer_body(f, c, domain, etag);
	g_free(etag);
}

void fake_vms_step(struct fake_vms *f, struct vm_reader *r, int64_t now_ms)
{
	vm_reader_step(r, now_ms);
	while (f->pending_calls->len > 0) {
		struct list_call *c =
			g_ptr_array_steal_index(f->pending_calls, 0);

		if (c->fn)
			answer(f, c);
		list_call_free(c);
	}
}
