/**
 * @file
 * Limits of what a process uses of its machine, from its settings, and what of
 * it the clients of a port may use.
 */
#ifndef BASE_PROCESS_LIMITS_H
#define BASE_PROCESS_LIMITS_H

#include <stdint.h>

#include "base/http_server.h"

#define PROCESS_MIN_MEMORY_MB 16
#define PROCESS_DEFAULT_MEMORY_MB 256
#define PROCESS_MIN_DESCRIPTORS 64
#define PROCESS_DEFAULT_DESCRIPTORS 4096

struct process_limits {
	int64_t memory_mb;
	int64_t descriptors;
};

/* Settings (base/schema.h) of a struct that has process_limits as "limits". */
#define PROCESS_LIMIT_FIELDS(struct_)                                   \
	{ .name = "memory_mb",                                          \
	  .type = FIELD_INT,                                            \
	  .offset = offsetof(struct struct_, limits.memory_mb),         \
	  .min = PROCESS_MIN_MEMORY_MB,                                 \
	  .max = INT32_MAX,                                             \
	  .fallback = PROCESS_DEFAULT_MEMORY_MB },                      \
	{                                                               \
		.name = "descriptors", .type = FIELD_INT,               \
		.offset = offsetof(struct struct_, limits.descriptors), \
		.min = PROCESS_MIN_DESCRIPTORS, .max = INT32_MAX,       \
		.fallback = PROCESS_DEFAULT_DESCRIPTORS                 \
	}

/**
 * Has the kernel allow as many descriptors as the limits tell. If it doesn't
 * allow so many, they are lowered, so that the shares of the ports fit.
 */
void process_limits_apply(struct process_limits *l);

/**
 * Returns the limits of an HTTP server.
 *
 * @param share	of what all clients of the process may use, from 0 to 1
 */
struct http_limits process_limits_http(const struct process_limits *l,
				       double share);

/** Returns how many connections a port for other processes may have. */
guint process_limits_links(const struct process_limits *l, guint wanted);

#endif
