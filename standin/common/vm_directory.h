/**
 * @file
 * The platform stand-in's lagging list of VMs: conditional reads by ETag, a
 * filter by failure domain, counts of what was answered, and switches for a
 * platform that has neither or answers "not modified" for ever.
 */
#ifndef STANDIN_VM_DIRECTORY_H
#define STANDIN_VM_DIRECTORY_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/http_server.h"

enum vm_directory_mode {
	VM_DIRECTORY_FULL,  /**< ETag and filter */
	VM_DIRECTORY_PLAIN, /**< neither */
	VM_DIRECTORY_STUCK, /**< one ETag for ever */
};

extern const char *const vm_directory_mode_names[];

struct vm_directory {
	GPtrArray *events; /**< of struct vm_event, by time */
	json_object *raw;  /**< array of entries taken as they are, or NULL */
	int64_t lag_ms;
	int64_t mode;	/**< enum vm_directory_mode */
	int64_t reads;	/**< calls for the list */
	int64_t bodies; /**< of them answered with a list */
	int64_t bytes;	/**< of these bodies */
};

void vm_directory_init(struct vm_directory *d);

/** Adds or replaces the VMs of an array. */
void vm_directory_add(struct vm_directory *d, json_object *vms);
void vm_directory_remove(struct vm_directory *d, const char *vm);

/** Replaces the entries that are listed as they are, sound or not. */
void vm_directory_set_raw(struct vm_directory *d, json_object *entries);

/** Answers GET /vms. */
void vm_directory_reply(struct vm_directory *d, struct http_request *r);

#endif
