#include "client/api_client.h"

#include <string.h>

#include "base/http_client.h"

#define MAX_CONNECTIONS 4

struct api_client {
	char **addresses;
	char *authorization;
	int64_t timeout_ms;
	struct http_client *http;
	GMainLoop *loop;
	struct api_reply *reply; /**< of the call in flight */
};

struct api_client *api_client_new(const char *const *addresses,
				  const char *token, int64_t timeout_ms)
{
	struct api_client *c = g_new0(struct api_client, 1);

	c->addresses = g_strdupv((char **)addresses);
	if (token)
		c->authorization = g_strdup_printf("Bearer %s", token);
	c->timeout_ms = timeout_ms;
	c->http = http_client_new(MAX_CONNECTIONS, MAX_CONNECTIONS);
	c->loop = g_main_loop_new(NULL, FALSE);
	return c;
}

void api_client_free(struct api_client *c)
{
	http_client_free(c->http);
	g_main_loop_unref(c->loop);
	g_strfreev(c->addresses);
	g_free(c->authorization);
	g_free(c);
}

static void on_reply(const struct http_reply *http, void *data)
{
	struct api_client *c = data;

	c->reply->status = http->status;
	c->reply->code = http->code;
	c->reply->body = json_object_get(http->body);
	c->reply->text = g_strdup(http->text);
	g_main_loop_quit(c->loop);
}

void api_client_call_at(struct api_client *c, const char *address,
			const char *method, const char *path, json_object *body,
			struct api_reply *reply)
{
	const char *headers[] = { "Authorization", c->authorization, NULL };
	struct http_call_spec spec = {
		.method = method,
		.address = address,
		.path = path,
		.body = body,
		.timeout_ms = c->timeout_ms,
		.headers = c->authorization ? headers : NULL,
		.on_reply = on_reply,
		.data = c,
	};

	memset(reply, 0, sizeof(*reply));
	reply->address = g_strdup(address);
	c->reply = reply;
	http_client_send(c->http, &spec);
	g_main_loop_run(c->loop);
}

void api_client_call(struct api_client *c, const char *method, const char *path,
		     json_object *body, struct api_reply *reply)
{
	memset(reply, 0, sizeof(*reply));
	reply->status = STATUS_UNAVAILABLE;
	for (char **a = c->addresses; *a; a++) {
		api_reply_clear(reply);
		api_client_call_at(c, *a, method, path, body, reply);
		if (reply->status != STATUS_UNAVAILABLE)
			return;
	}
}

void api_reply_clear(struct api_reply *reply)
{
	g_clear_pointer(&reply->body, json_object_put);
	g_clear_pointer(&reply->text, g_free);
	g_clear_pointer(&reply->address, g_free);
}
