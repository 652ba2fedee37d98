/**
 * @file
 * Code shared by the stand-ins for external systems: command line, listening,
 * replies and registration with the platform. Used for tests and benchmarks
 * only, not part of the product.
 */
#ifndef STANDIN_COMMON_STANDIN_H
#define STANDIN_COMMON_STANDIN_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/http_server.h"
#include "base/schema.h"

#define STANDIN_VMS_PER_RACK 8
#define STANDIN_VERSION "stand-in 1"

/** Listen address of a stand-in and the VM data it registers. */
struct standin_options {
	char *listen;	/**< "IP:PORT", port 0 for any free port */
	char *platform; /**< "IP:PORT" to register with, or NULL */
	char *vm;	/**< name, or name prefix if count is above one */
	char *service;
	char *failure_domain;
	char *rack; /**< name, or name prefix if count is above one */
	gint count; /**< VMs in this process */
};

/** A VM as registered in the platform's VM list. */
struct standin_vm {
	char *name;
	const char *role; /**< "endpoint" or "worker" */
	char *rack;
	char *address;
	int64_t accelerators;
	int64_t cores;
	int64_t memory_mb;
};

/** Value of an omitted member of a control body. */
#define STANDIN_UNSET INT64_C(-1)

/* Schema entries for the members of a stand-in's struct control_body. */
#define STANDIN_FIELD(name_, member, type_)              \
	.name = (name_), .type = (type_),                \
	.offset = offsetof(struct control_body, member), \
	.fallback = STANDIN_UNSET
#define STANDIN_FLAG(name_, member)                      \
	{                                                \
		STANDIN_FIELD(name_, member, FIELD_BOOL) \
	}
#define STANDIN_INT(member, max_)                                        \
	{                                                                \
		STANDIN_FIELD(#member, member, FIELD_INT), .max = (max_) \
	}
#define STANDIN_ENUM(member, names_)                                          \
	{                                                                     \
		STANDIN_FIELD(#member, member, FIELD_ENUM), .names = (names_) \
	}

/** Sets *member unless value is STANDIN_UNSET. */
void standin_set_if_given(int64_t *member, int64_t value);

/**
 * Parses the common options and those in entries; sets defaults.
 *
 * @return	FALSE if the program must exit with *exit_code
 */
gboolean standin_options_parse(struct standin_options *o,
			       const GOptionEntry *entries, const char *summary,
			       int argc, char **argv, int *exit_code);

/**
 * Starts listening for the VM with an index, prints "listening IP:PORT" on
 * standard output and sets name, rack and address of the VM. A port other than
 * 0 is incremented by the index.
 *
 * @return	FALSE after printing the error on standard error
 */
gboolean standin_listen(const struct standin_options *o, guint index,
			struct http_server *server, struct standin_vm *vm);

/** Frees name, rack and address. */
void standin_vm_clear(struct standin_vm *vm);

/**
 * Registers VMs with the platform stand-in if --platform was given; retries
 * until it succeeds.
 */
void standin_register(const struct standin_options *o,
		      const struct standin_vm *vms, guint count);

/** Decodes a request body; replies 400 and returns FALSE if it is invalid. */
gboolean standin_decode(struct http_request *r, const struct schema *schema,
			void *out);

/** Replies 200 with an empty object. */
void standin_reply_ok(struct http_request *r);

#endif
