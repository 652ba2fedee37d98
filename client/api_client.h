/**
 * @file
 * Blocking calls to the entry VMs, for command-line programs. With several
 * addresses a call goes to the next one when it certainly did nothing at the
 * first, as a balancer would do.
 */
#ifndef CLIENT_API_CLIENT_H
#define CLIENT_API_CLIENT_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/status.h"

struct api_client;

struct api_reply {
	enum status status; /**< as struct http_reply has it */
	guint code;	    /**< HTTP status code, 0 without an answer */
	json_object *body;  /**< may be NULL; free with api_reply_clear() */
	char *text;	    /**< the body as it came, may be NULL */
	char *address;	    /**< that answered */
};

/**
 * Returns a new client.
 *
 * @param addresses	"IP:PORT", ends with NULL
 * @param token		bearer token, or NULL
 */
struct api_client *api_client_new(const char *const *addresses,
				  const char *token, int64_t timeout_ms);
void api_client_free(struct api_client *c);

/** Makes one call and waits for its end. */
void api_client_call(struct api_client *c, const char *method, const char *path,
		     json_object *body, struct api_reply *reply);

/** Makes one call to one of the addresses only. */
void api_client_call_at(struct api_client *c, const char *address,
			const char *method, const char *path, json_object *body,
			struct api_reply *reply);

void api_reply_clear(struct api_reply *reply);

#endif
