/**
 * @file
 * Decoded form of the configuration that operators apply: services, client
 * accounts with their guaranteed shapes, and jobs. Its JSON form is in
 * docs/PROTOCOLS.md.
 */
#ifndef CONFIG_CONFIG_DOC_H
#define CONFIG_CONFIG_DOC_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/finding.h"
#include "base/schema.h"

/** The only supported format number of a configuration. */
#define CONFIG_FORMAT 1
#define GANG_MAX_MEMBERS 256

enum adjacency {
	ADJACENCY_NONE,	  /**< members anywhere in the pool */
	ADJACENCY_RACK,	  /**< all members in one rack */
	ADJACENCY_WORKER, /**< all members on one worker */
	ADJACENCY_COUNT,
};

enum job_class {
	JOB_CLASS_URGENT,
	JOB_CLASS_NORMAL,
	JOB_CLASS_BULK,
	JOB_CLASS_COUNT,
};

/** Resources of a gang: equal members, and how close together they must run. */
struct shape {
	int64_t members;      /**< 1 to GANG_MAX_MEMBERS */
	int64_t accelerators; /**< per member */
	int64_t cores;	      /**< per member */
	int64_t memory_mb;    /**< per member */
	int64_t adjacency;    /**< enum adjacency */
};

/** Shape of a gang that is guaranteed to an account in a pool. */
struct guaranteed_shape {
	char *name;
	char *pool; /**< SERVICE.FAILURE_DOMAIN */
	struct shape shape;
};

struct client_account {
	char *name;
	char *service;
	int64_t share;		 /**< weight in fair sharing among accounts */
	int64_t requests_per_s;	 /**< limit over all gateways together */
	int64_t queued_requests; /**< limit per gateway and request class */
	/** Of the callers' token, in hexadecimal; NULL: no token is needed. */
	char *token_sha256;
	GArray *guaranteed_shapes; /**< of struct guaranteed_shape */
};

struct job_spec {
	char *name;
	char *client_account;
	char *pool;    /**< SERVICE.FAILURE_DOMAIN */
	int64_t class; /**< enum job_class */
	struct shape shape;
	int64_t expected_run_ms;
	int64_t is_checkpointable; /**< boolean */
};

struct service_spec {
	char *name;
	GPtrArray *failure_domains; /**< of char * */
};

struct config_doc {
	int64_t format;
	GArray *services;	 /**< of struct service_spec */
	GArray *client_accounts; /**< of struct client_account */
	GArray *jobs;		 /**< of struct job_spec */
};

extern const struct schema config_doc_schema;
extern const struct schema client_account_schema;
extern const struct schema job_spec_schema;
extern const struct schema service_spec_schema;
extern const struct schema shape_schema;
extern const char *const adjacency_names[];
extern const char *const job_class_names[];

/**
 * Decodes and checks a configuration.
 *
 * @param doc		a zeroed struct; config_doc_clear() it in any case
 * @param source	source text for the places of findings, or NULL
 * @return		TRUE when there are no findings
 */
gboolean config_doc_decode(json_object *json, struct config_doc *doc,
			   const struct schema_source *source,
			   struct finding_list *findings);

/**
 * As config_doc_decode(), for a configuration that was accepted by a process of
 * perhaps a later program version: unknown members are ignored.
 */
gboolean config_doc_decode_accepted(json_object *json, struct config_doc *doc,
				    struct finding_list *findings);

/**
 * Checks what the schema can't express: names are valid and unique, references
 * to services, accounts and pools resolve, and shapes fit their adjacency.
 *
 * @return	TRUE when there are no findings
 */
gboolean config_doc_check(const struct config_doc *doc,
			  const struct schema_source *source,
			  struct finding_list *findings);

void config_doc_clear(struct config_doc *doc);

/** Encodes a configuration in a stable order; free with json_object_put(). */
json_object *config_doc_encode(const struct config_doc *doc);

/** Returns the account with a name, or NULL. */
const struct client_account *
config_doc_find_account(const struct config_doc *doc, const char *name);

/** Returns TRUE if @pool is SERVICE.FAILURE_DOMAIN of a configured service. */
gboolean config_doc_has_pool(const struct config_doc *doc, const char *pool);

/** Returns the number of accelerators of all members of a shape. */
int64_t shape_accelerators(const struct shape *s);

#endif
