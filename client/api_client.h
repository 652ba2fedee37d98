/**
 * @file
 * Blocking HTTP calls to the entry VMs, for command-line programs. Like a load
 * balancer, a client with several addresses tries the next one only if nothing
 * was sent to the previous one (STATUS_UNAVAILABLE).
 */
#ifndef CLIENT_API_CLIENT_H
#define CLIENT_API_CLIENT_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/status.h"

struct api_client;

struct api_reply {
	enum status status; /**< see struct http_reply */
	guint code;	    /**< HTTP status code, 0 without an answer */
	json_object *body;  /**< may be NULL; free with api_reply_clear() */
	char *text;	    /**< raw body, may be NULL */
	char *address;	    /**< the address called last */
};

/**
 * Returns a new client.
 *
 * @param addresses	"IP:PORT", NULL-terminated
 * @param token		bearer token, or NULL
 * @param timeout_ms	of each call to one address
 */
struct api_client *api_client_new(const char *const *addresses,
				  const char *token, int64_t timeout_ms);
void api_client_free(struct api_client *c);

/**
 * Makes one call and blocks until it ends; the addresses are tried in order.
 *
 * @param reply	filled in; release with api_reply_clear()
 */
void api_client_call(struct api_client *c, const char *method, const char *path,
		     json_object *body, struct api_reply *reply);

/** Makes one call to the given address only; otherwise as api_client_call(). */
void api_client_call_at(struct api_client *c, const char *address,
			const char *method, const char *path, json_object *body,
			struct api_reply *reply);

void api_reply_clear(struct api_reply *reply);

#endif
