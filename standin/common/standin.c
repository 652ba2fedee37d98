#include "standin/common/standin.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/http_client.h"
#include "base/util.h"

#define REGISTER_TIMEOUT_MS 2000
#define REGISTER_RETRY_MS 100
#define DEFAULT_LISTEN "127.0.0.1:0"

static struct http_client *client;

struct registration {
	json_object *body;
	char *platform;
};

static GOptionContext *new_context(struct standin_options *o,
				   const GOptionEntry *entries,
				   const char *summary, gboolean *show_version)
{
	const GOptionEntry common[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &o->listen,
		  "Address to listen on; port 0 for any free port", "IP:PORT" },
		{ "platform", 0, 0, G_OPTION_ARG_STRING, &o->platform,
		  "Platform to register with", "IP:PORT" },
		{ "vm", 0, 0, G_OPTION_ARG_STRING, &o->vm,
		  "VM name, or name prefix if --count is above 1", "NAME" },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &o->service,
		  "Service name", "NAME" },
		{ "failure-domain", 0, 0, G_OPTION_ARG_STRING,
		  &o->failure_domain, "Failure domain", "NAME" },
		{ "rack", 0, 0, G_OPTION_ARG_STRING, &o->rack, "Rack", "NAME" },
		{ "count", 0, 0, G_OPTION_ARG_INT, &o->count,
		  "VMs in this process; 8 per rack", "N" },
		{ "version", 0, 0, G_OPTION_ARG_NONE, show_version,
		  "Print the version and exit", NULL },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, common, NULL);
	if (entries)
		g_option_context_add_main_entries(context, entries, NULL);
	return context;
}

static void set_default(char **text, const char *value)
{
	if (!*text)
		*text = g_strdup(value);
}

gboolean standin_options_parse(struct standin_options *o,
			       const GOptionEntry *entries, const char *summary,
			       int argc, char **argv, int *exit_code)
{
	gboolean show_version = FALSE;
	GOptionContext *context;
	GError *error = NULL;
	gboolean is_good;

	o->count = 1;
	context = new_context(o, entries, summary, &show_version);
	is_good = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	if (!is_good) {
		fprintf(stderr, "%s: %s\n", argv[0], error->message);
		g_error_free(error);
		*exit_code = EXIT_FAILURE;
		return FALSE;
	}
	if (show_version) {
		printf("%s\n", STANDIN_VERSION);
		*exit_code = EXIT_SUCCESS;
		return FALSE;
	}
	set_default(&o->listen, DEFAULT_LISTEN);
	set_default(&o->vm, "vm");
	set_default(&o->service, "salkhi");
	set_default(&o->failure_domain, "tov-a");
	set_default(&o->rack, "r");
	return TRUE;
}

static void name_vm(const struct standin_options *o, guint index,
		    struct standin_vm *vm)
{
	if (o->count == 1) {
		vm->name = g_strdup(o->vm);
		vm->rack = g_strdup(o->rack);
		return;
	}
	vm->name = g_strdup_printf("%s%u", o->vm, index);
	vm->rack =
		g_strdup_printf("%s%u", o->rack, index / STANDIN_VMS_PER_RACK);
}

gboolean standin_listen(const struct standin_options *o, guint index,
			struct http_server *server, struct standin_vm *vm)
{
	char *host = NULL;
	uint16_t port;

	if (!util_parse_endpoint(o->listen, &host, &port)) {
		fprintf(stderr, "bad address %s, expected IP:PORT\n",
			o->listen);
		return FALSE;
	}
	if (port)
		port = (uint16_t)(port + index);
	if (http_server_listen(server, host, port) != STATUS_OK) {
		fprintf(stderr, "%s\n", status_last_message());
		g_free(host);
		return FALSE;
	}
	name_vm(o, index, vm);
	vm->address = g_strdup_printf("%s:%u", host, http_server_port(server));
	printf("listening %s\n", vm->address);
	fflush(stdout);
	g_free(host);
	return TRUE;
}

void standin_vm_clear(struct standin_vm *vm)
{
	g_clear_pointer(&vm->name, g_free);
	g_clear_pointer(&vm->rack, g_free);
	g_clear_pointer(&vm->address, g_free);
}

static void add_string(json_object *json, const char *key, const char *value)
{
	json_object_object_add(json, key, json_object_new_string(value));
}

static void add_int(json_object *json, const char *key, int64_t value)
{
	json_object_object_add(json, key, json_object_new_int64(value));
}

static json_object *encode_vm(const struct standin_options *o,
			      const struct standin_vm *vm)
{
	json_object *json = json_object_new_object();

	add_string(json, "vm", vm->name);
	add_string(json, "role", vm->role);
	add_string(json, "service", o->service);
	add_string(json, "failure_domain", o->failure_domain);
	add_string(json, "rack", vm->rack);
	add_string(json, "state", "live");
	add_string(json, "address", vm->address);
	add_int(json, "accelerators", vm->accelerators);
	add_int(json, "cores", vm->cores);
	add_int(json, "memory_mb", vm->memory_mb);
	return json;
}

static gboolean send_registration(gpointer data);

static void on_registered(const struct http_reply *reply, void *data)
{
	struct registration *r = data;

	if (reply->status != STATUS_OK || reply->code != SOUP_STATUS_OK) {
		g_timeout_add(REGISTER_RETRY_MS, send_registration, r);
		return;
	}
	json_object_put(r->body);
	g_free(r->platform);
	g_free(r);
}

static gboolean send_registration(gpointer data)
{
	struct registration *r = data;
	struct http_call_spec spec = {
		.method = "POST",
		.address = r->platform,
		.path = "/control",
		.body = r->body,
		.timeout_ms = REGISTER_TIMEOUT_MS,
		.on_reply = on_registered,
		.data = r,
	};

	http_client_send(client, &spec);
	return G_SOURCE_REMOVE;
}

void standin_set_if_given(int64_t *member, int64_t value)
{
	if (value != STANDIN_UNSET)
		*member = value;
}

void standin_register(const struct standin_options *o,
		      const struct standin_vm *vms, guint count)
{
	struct registration *r;
	json_object *items;

	if (!o->platform)
		return;
	if (!client)
		client = http_client_new(1, 1);
	r = g_new0(struct registration, 1);
	r->platform = g_strdup(o->platform);
	r->body = json_object_new_object();
	items = json_object_new_array();
	for (guint i = 0; i < count; i++)
		json_object_array_add(items, encode_vm(o, &vms[i]));
	json_object_object_add(r->body, "add_vms", items);
	send_registration(r);
}

gboolean standin_decode(struct http_request *r, const struct schema *schema,
			void *out)
{
	json_object *body = http_request_json(r);
	struct finding_list findings;
	gboolean is_good;

	if (!body)
		return FALSE;
	finding_list_init(&findings);
	is_good = schema_decode(schema, body, out, "", NULL, &findings);
	if (!is_good) {
		schema_clear(schema, out);
		http_request_reply_findings(r, &findings);
	}
	finding_list_clear(&findings);
	return is_good;
}

void standin_reply_ok(struct http_request *r)
{
	http_request_reply(r, SOUP_STATUS_OK, json_object_new_object());
}
