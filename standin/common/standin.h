/**
 * @file
 * What the stand-ins for outside systems share: command line, listening,
 * replies and registration at the platform. No part of the product.
 */
#ifndef STANDIN_COMMON_STANDIN_H
#define STANDIN_COMMON_STANDIN_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/http_server.h"
#include "base/schema.h"

#define STANDIN_RACK_WORKERS 8
#define STANDIN_VERSION "stand-in 1"

/** Where a stand-in listens and what it tells the platform of itself. */
struct standin_options {
	char *listen;	/**< "IP:PORT", port 0 takes a free one */
	char *platform; /**< "IP:PORT" to register at, or NULL */
	char *vm;	/**< name, or its stem when count is above one */
	char *service;
	char *failure_domain;
	char *rack; /**< name, or its stem when count is above one */
	gint count; /**< VMs in this process */
};

/** One VM as the platform lists it. */
struct standin_vm {
	char *name;
	const char *role; /**< "endpoint" or "worker" */
	char *rack;
	char *address;
	int64_t accelerators;
	int64_t cores;
	int64_t memory_mb;
};

/** Value of a member of a control body that was not given. */
#define STANDIN_UNSET INT64_C(-1)

/* Fields of a stand-in's struct control_body, for its schema. */
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

/** Takes a member of a control body over, if it was given. */
void standin_set(int64_t *member, int64_t value);

/**
 * Parses the command line: the common options and those of the program.
 *
 * @return	FALSE when the program is to end with *exit_code
 */
gboolean standin_options_parse(struct standin_options *o,
			       const GOptionEntry *entries, const char *summary,
			       int argc, char **argv, int *exit_code);

/**
 * Listens with a server for the VM of an index, prints "listening IP:PORT" on
 * standard output and fills in name, rack and address of the VM.
 */
gboolean standin_listen(const struct standin_options *o, guint index,
			struct http_server *server, struct standin_vm *vm);

void standin_vm_clear(struct standin_vm *vm);

/** Registers VMs at the platform's stand-in; retries until it is there. */
void standin_register(const struct standin_options *o,
		      const struct standin_vm *vms, guint count);

/** Decodes a request's body; answers 400 and returns FALSE on findings. */
gboolean standin_decode(struct http_request *r, const struct schema *schema,
			void *out);

/** Answers 200 with an empty object. */
void standin_reply_done(struct http_request *r);

#endif
