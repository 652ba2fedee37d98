/**
 * @file
 * Keeps one process's copy of the platform's list of VMs for all its services:
 * the own failure domain's part is read each second, the other parts in turn
 * and less often, all with the ETag of what is held. A list is decoded only
 * when it changed. The last list stays in force while the platform can't be
 * reached. Steps are driven from outside, so that tests have their own time.
 */
#ifndef STORE_VM_READER_H
#define STORE_VM_READER_H

#include <glib.h>
#include <stdint.h>

#include "base/counters.h"
#include "store/platform.h"
#include "store/vm_list.h"

/** How often vm_reader_step() is to be called. */
#define VM_READER_STEP_MS 1000

struct vm_reader;

struct vm_reader_spec {
	struct platform *platform;
	const char *failure_domain; /**< of this process */
	struct counters *counters;
	uint32_t seed; /**< of the jitter */
};

typedef void (*vm_reader_fn)(const struct vm_list *list, void *data);

struct vm_reader *vm_reader_new(const struct vm_reader_spec *spec);
void vm_reader_free(struct vm_reader *r);

/** Reads what is due. */
void vm_reader_step(struct vm_reader *r, int64_t now_ms);

/**
 * Reads the VMs of other failure domains ahead of their time, as far as the
 * bytes allow it: the own one has no endpoint left.
 */
void vm_reader_read_ahead(struct vm_reader *r);

/** Returns the list in force, NULL before the first was read. */
const struct vm_list *vm_reader_list(const struct vm_reader *r);

/** Calls a function with each new list, not with the one in force. */
void vm_reader_subscribe(struct vm_reader *r, vm_reader_fn fn, void *data);

#endif
