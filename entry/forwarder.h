/**
 * @file
 * Hands client requests over to other entry VMs while the platform's store
 * turns this VM away. The other VM handles a request as if the client had sent
 * it there, and hands it over no further.
 */
#ifndef ENTRY_FORWARDER_H
#define ENTRY_FORWARDER_H

#include "base/http_client.h"
#include "base/http_server.h"
#include "base/kernel.h"

#define FORWARDER_SERVICE "forwarder"

/** Carries the Host header of the client's request. */
#define FORWARD_HOST_HEADER "Cs-Client-Host"

/**
 * In a forwarded request, the least configuration version that may decide on
 * it; in the answer, the version that did. So a client that keeps asking one VM
 * never meets an older configuration after a newer one.
 */
#define FORWARD_VERSION_HEADER "Cs-Config-Version"

/**
 * @param reply		the answer of the peer that decided on the request, or
 *			NULL if none did
 * @param may_have_run	an attempt without a definite answer may have taken
 *			effect; @reply knows nothing of it
 */
typedef void (*forward_fn)(const struct http_reply *reply,
			   gboolean may_have_run, void *data);

struct service *forwarder_new(void);

/** Returns the highest configuration version that a peer has answered by. */
int64_t forwarder_seen_version(const struct kernel *k);

/**
 * Forwards a request to one peer after another until one answers it, within the
 * time given.
 *
 * @param request	must stay unanswered until the callback
 * @param path		the request's path
 * @param body		of the request, or NULL; borrowed until the callback
 * @return		FALSE if no peer is known to serve requests; @fn is then
 *			not called
 */
gboolean forwarder_send(const struct kernel *k,
			const struct http_request *request, const char *method,
			const char *path, json_object *body, int64_t timeout_ms,
			forward_fn fn, void *data);

#endif
