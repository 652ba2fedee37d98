/**
 * @file
 * Log of the decisions on recent requests, in a ring buffer.
 */
#ifndef REQUEST_DECISION_LOG_H
#define REQUEST_DECISION_LOG_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

struct decision {
	char *request_id;
	char *client_account;
	char *class;
	char *state; /**< "queued", "sent", or the answer */
	char *reason;
	char *endpoint;	 /**< last endpoint chosen */
	char *runner_up; /**< next best endpoint */
	char *choice;	 /**< why the endpoint was chosen */
	int64_t attempts;
	int64_t config_version;
	int64_t arrival_ms; /**< wall clock */
	int64_t waited_ms;  /**< from arrival to the first dispatch */
	int64_t total_ms;   /**< from arrival to the answer */
};

struct decision_log;

struct decision_log *decision_log_new(guint size);
void decision_log_free(struct decision_log *log);

/**
 * Adds an entry; a full log drops its oldest. The log owns the entry: the
 * pointer is valid only until it is replaced, so look it up again by its id
 * after other additions.
 */
struct decision *decision_log_add(struct decision_log *log,
				  const char *request_id);

/** Returns the entry, or NULL if it has been replaced or never existed. */
struct decision *decision_log_find(const struct decision_log *log,
				   const char *request_id);

/** Replaces a text member of an entry by a copy of @text. */
void decision_set(char **member, const char *text);

json_object *decision_encode(const struct decision *d);

#endif
