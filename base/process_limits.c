#include "base/process_limits.h"

#include <errno.h>
#include <string.h>
#include <sys/resource.h>

#include "base/log.h"

/* Shares of the process's memory for what its clients make it hold: requests
 * and responses, bytes kept by the kernel, and one body while it is parsed. The
 * rest is for the process itself. */
#define HELD_SHARE 0.2
#define KERNEL_SHARE 0.25
#define PARSED_SHARE 0.125
/* Shares of the descriptors; the rest is for calls of the process. */
#define CLIENT_DESCRIPTOR_SHARE 0.5
#define LINK_DESCRIPTOR_SHARE 0.25
#define BYTES_PER_MB ((int64_t)1 << 20)
/* The kernel doubles the size of a socket's buffer for its own data. */
#define KERNEL_BUFFER_FACTOR 2

/* Connections that the memory for the kernel's buffers and the descriptors are
 * enough for. */
static double max_connections(const struct process_limits *l,
			      const struct http_limits *http)
{
	guint each_bytes = (http->socket_read_bytes + http->socket_send_bytes) *
			   KERNEL_BUFFER_FACTOR;
	double by_memory = (double)(l->memory_mb * BYTES_PER_MB) *
			   KERNEL_SHARE / each_bytes;
	double by_descriptors =
		(double)l->descriptors * CLIENT_DESCRIPTOR_SHARE;

	return MIN(by_memory, by_descriptors);
}

static void log_descriptors(const struct process_limits *l, int64_t allowed,
			    int error)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, "descriptors_limited");
	log_int(&line, "setting", l->descriptors);
	log_int(&line, "allowed", allowed);
	if (error)
		log_str(&line, "reason", strerror(error));
	log_end(&line);
}

void process_limits_apply(struct process_limits *l)
{
	rlim_t wanted = (rlim_t)l->descriptors;
	struct rlimit kernel;
	int error = 0;

	if (getrlimit(RLIMIT_NOFILE, &kernel) < 0) {
		log_descriptors(l, -1, errno);
		return;
	}
	if (kernel.rlim_cur >= wanted)
		return;
	kernel.rlim_cur = MIN(wanted, kernel.rlim_max);
	if (setrlimit(RLIMIT_NOFILE, &kernel) < 0)
		error = errno;
	getrlimit(RLIMIT_NOFILE, &kernel);
	if (kernel.rlim_cur >= wanted)
		return;
	log_descriptors(l, (int64_t)kernel.rlim_cur, error);
	l->descriptors = (int64_t)kernel.rlim_cur;
}

struct http_limits process_limits_http(const struct process_limits *l,
				       double share)
{
	struct http_limits http = *http_default_limits();
	double memory_bytes = (double)(l->memory_mb * BYTES_PER_MB);

	http.connections.max_connections =
		MAX(1, (guint)(max_connections(l, &http) * share));
	http.connections.held_bytes =
		(int64_t)(memory_bytes * HELD_SHARE * share);
	http.parsed_bytes = (gsize)(memory_bytes * PARSED_SHARE);
	return http;
}

guint process_limits_links(const struct process_limits *l, guint wanted)
{
	return MIN(wanted,
		   (guint)((double)l->descriptors * LINK_DESCRIPTOR_SHARE));
}
