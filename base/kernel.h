/**
 * @file
 * The micro-kernel of a process: services register, find each other by name,
 * and are started in order of registration, drained on SIGTERM and freed in
 * reverse order.
 */
#ifndef BASE_KERNEL_H
#define BASE_KERNEL_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"

struct kernel;
struct service;

struct service_class {
	const char *name;
	/** Starts the service; may look up other services by name. */
	enum status (*start)(struct service *s, struct kernel *k);
	/** Stops accepting new work; may be NULL. */
	void (*drain)(struct service *s);
	/** Returns TRUE if all accepted work is finished; may be NULL. */
	gboolean (*is_idle)(const struct service *s);
	/** Returns the status shown to operators; may be NULL. */
	json_object *(*status)(const struct service *s);
	void (*free)(struct service *s);
};

/** First member of every service. */
struct service {
	const struct service_class *class;
};

/** Returns a new kernel; free with kernel_free(). */
struct kernel *kernel_new(int64_t drain_timeout_ms);

/** Frees the kernel and its services, last registered first. */
void kernel_free(struct kernel *k);

/** Adds a service and takes ownership of it. */
void kernel_register(struct kernel *k, struct service *s);

/** Returns the service of that name, or NULL. */
struct service *kernel_find(const struct kernel *k, const char *name);

/** Returns the counters of this process. */
struct counters *kernel_counters(struct kernel *k);

/** Returns the status of all services by name; json_object_put() it. */
json_object *kernel_status(const struct kernel *k);

/**
 * Starts all services and runs the main loop until SIGTERM or SIGINT has been
 * received and all services are idle or the drain timeout has expired.
 *
 * @return	the status of the first service that failed to start
 */
enum status kernel_run(struct kernel *k);

/** Sets the function called on SIGHUP; without one SIGHUP is ignored. */
void kernel_set_reload_handler(struct kernel *k, void (*fn)(void *data),
			       void *data);

/** Starts draining as SIGTERM does. */
void kernel_drain(struct kernel *k);

/** Returns TRUE once draining has started. */
gboolean kernel_is_draining(const struct kernel *k);

#endif
