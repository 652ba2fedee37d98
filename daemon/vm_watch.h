/**
 * @file
 * Follows the platform's list of VMs for one service: its endpoints, and the
 * gateways that share them, which run on the entry VMs.
 */
#ifndef DAEMON_VM_WATCH_H
#define DAEMON_VM_WATCH_H

#include <glib.h>
#include <stdint.h>

#include "store/vm_reader.h"
#include "request/endpoint_table.h"

struct vm_watch;

struct vm_watch_spec {
	struct vm_reader *reader;
	struct endpoint_table *endpoints;
	const char *service;
	const char *failure_domain;
	const char *vm; /**< name of the VM that this process runs on */
	/** Called after each list that was applied to @endpoints. */
	void (*on_change)(void *data);
	void *data;
};

/** Strings and objects of the spec are not owned and outlive the watch. */
struct vm_watch *vm_watch_new(const struct vm_watch_spec *spec);
void vm_watch_free(struct vm_watch *w);

/**
 * Returns the number of live entry VMs of the service in all failure domains,
 * at least 1.
 */
uint32_t vm_watch_gateways(const struct vm_watch *w);

#endif
