/**
 * @file
 * Keeps one process's copy of the platform's list of VMs for all its services.
 * The process's own failure domain is read every second, the others less
 * often, all by conditional reads with the ETag of the last copy. A list is
 * decoded only when it changed. The last list stays in use while the platform
 * is unavailable. The caller drives the steps, so that tests control the time.
 */
#ifndef STORE_VM_READER_H
#define STORE_VM_READER_H

#include <glib.h>
#include <stdint.h>

#include "base/counters.h"
#include "store/platform.h"
#include "store/vm_list.h"

/** Interval at which vm_reader_step() must be called. */
#define VM_READER_STEP_MS 1000

struct vm_reader;

struct vm_reader_spec {
	struct platform *platform;
	const char *failure_domain; /**< of this process */
	struct counters *counters;
	uint32_t seed; /**< of the generator of the jitter */
};

typedef void (*vm_reader_fn)(const struct vm_list *list, void *data);

struct vm_reader *vm_reader_new(const struct vm_reader_spec *spec);
void vm_reader_free(struct vm_reader *r);

/** Starts the reads that are due. */
void vm_reader_step(struct vm_reader *r, int64_t now_ms);

/**
 * Reads the VMs of other failure domains before they are due, within the byte
 * rate limit. Called when the own failure domain has no endpoint left.
 */
void vm_reader_read_ahead(struct vm_reader *r);

/** Returns the current list, NULL before the first read. Not owned. */
const struct vm_list *vm_reader_list(const struct vm_reader *r);

/** Calls a function with each later list, not with the current one. */
void vm_reader_subscribe(struct vm_reader *r, vm_reader_fn fn, void *data);

#endif
