#include "base/process_limits.h"

/* Share of the process's memory for the requests and responses that its clients
 * make it hold. */
#define HELD_SHARE 0.2
/* Share of the descriptors for clients; the rest is for calls of the process.
 */
#define CLIENT_DESCRIPTOR_SHARE 0.5
#define BYTES_PER_MB ((int64_t)1 << 20)

struct http_limits process_limits_http(const struct process_limits *l,
				       double share)
{
	struct http_limits http = *http_default_limits();
	double memory_bytes = (double)(l->memory_mb * BYTES_PER_MB);

	http.connections.max_connections =
		MAX(1, (guint)((double)l->descriptors *
			       CLIENT_DESCRIPTOR_SHARE * share));
	http.connections.held_bytes =
		(int64_t)(memory_bytes * HELD_SHARE * share);
	return http;
}
