/**
 * @file
 * What was decided about recent requests, in a bounded ring.
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
	char *state; /**< queued, sent, or the answer */
	char *reason;
	char *endpoint;	 /**< chosen last */
	char *runner_up; /**< next best endpoint */
	char *choice;	 /**< why that endpoint */
	int64_t attempts;
	int64_t config_version;
	int64_t arrival_ms; /**< wall clock */
	int64_t waited_ms;  /**< until it was first sent */
	int64_t total_ms;
};

struct decision_log;

struct decision_log *decision_log_new(guint size);
void decision_log_free(struct decision_log *log);

/** Adds an entry, which may replace the oldest one. Owned by the log; look it
 * up again by its id after other additions. */
struct decision *decision_log_add(struct decision_log *log,
				  const char *request_id);

/** Returns the entry, or NULL once it has been replaced. */
struct decision *decision_log_find(const struct decision_log *log,
				   const char *request_id);

/** Sets a text of an entry. */
void decision_set(char **member, const char *text);

json_object *decision_encode(const struct decision *d);

#endif
