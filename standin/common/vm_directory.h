/**
 * @file
 * VM list of the platform stand-in, served with a lag: conditional reads by
 * ETag, filter by failure domain and read counters. It can also act as a
 * platform without ETag and filter, or as one that always answers 304.
 */
#ifndef STANDIN_VM_DIRECTORY_H
#define STANDIN_VM_DIRECTORY_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/http_server.h"

enum vm_directory_mode {
	VM_DIRECTORY_FULL,  /**< supports ETag and filter */
	VM_DIRECTORY_PLAIN, /**< supports neither */
	VM_DIRECTORY_STUCK, /**< the ETag never changes */
};

extern const char *const vm_directory_mode_names[];

struct vm_directory {
	GPtrArray *events; /**< of struct vm_event, oldest first */
	json_object *raw;  /**< array of entries listed unchecked, or NULL */
	int64_t lag_ms;
	int64_t mode;	/**< enum vm_directory_mode */
	int64_t reads;	/**< GET /vms requests */
	int64_t bodies; /**< replies with a list, not 304 */
	int64_t bytes;	/**< size of these lists */
};

void vm_directory_init(struct vm_directory *d);

/** Adds or replaces the VMs in an array; any other JSON type is ignored. */
void vm_directory_add(struct vm_directory *d, json_object *vms);
void vm_directory_remove(struct vm_directory *d, const char *vm);

/** Replaces the entries listed unchecked, so that they may be invalid. */
void vm_directory_set_raw(struct vm_directory *d, json_object *entries);

/** Replies to GET /vms. */
void vm_directory_reply(struct vm_directory *d, struct http_request *r);

#endif
