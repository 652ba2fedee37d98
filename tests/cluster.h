/**
 * @file
 * Harness of the tests over real processes: starts programs of the build in a
 * temporary folder, calls them over HTTP and ends them by their ids.
 */
#ifndef TESTS_CLUSTER_H
#define TESTS_CLUSTER_H

#include <gio/gio.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/http_client.h"
#include "base/status.h"

#define CLUSTER_CALL_TIMEOUT_MS 5000

/** Arguments of a program, as cluster_spawn() takes them. */
#define CLUSTER_ARGS(...) ((const char *const[]){ __VA_ARGS__, NULL })

struct cluster {
	char *dir; /**< temporary folder with settings and logs */
	struct http_client *client;
	GPtrArray *processes; /**< of struct cluster_process */
	gboolean keeps_logs;  /**< cluster_free() leaves the folder */
};

struct cluster_process {
	GSubprocess *subprocess;
	char *log; /**< file with standard output and error */
};

struct cluster_reply {
	enum status status;
	guint code;	   /**< HTTP status code, 0 without an answer */
	json_object *body; /**< owned; cluster_reply_clear() */
	char *text;	   /**< the body as it came, owned */
};

/** What a settings file is made of; NULL members take a default. */
struct cluster_node {
	const char *node;
	const char *failure_domain; /**< "tov-a" */
	const char *region;	    /**< "tov" */
	const char *service;	    /**< "salkhi" */
	const char *http;
	const char *link;
	const char *link_public; /**< none */
	const char *platform;
	const char *operator_token; /**< none */
	const char *link_secret;    /**< none */
	const char *const *seeds;   /**< ends with NULL; none */
	int64_t platform_timeout_ms;
	int64_t drain_timeout_ms;
	int64_t impossible_grace_ms;
};

/** What the settings of an entry VM's process are made of. */
struct cluster_entry {
	guint index; /**< its VM is "e" and this number */
	const char *frontend;
	const char *readiness;
	const char *internal;
	const char *store;
	int64_t writes_per_s; /**< of the store */
	int64_t lease_ms;
	guint delegate_min_workers;
};

typedef gboolean (*cluster_condition)(void *data);

struct cluster *cluster_new(void);

/**
 * Ends all processes by their ids, asserts that no log has a sanitizer's
 * report and removes the temporary folder.
 */
void cluster_free(struct cluster *c);

/** Returns "127.0.0.1:PORT" with a port that is free now; free it. */
char *cluster_address(void);

/**
 * Starts a program of the build's bin folder.
 *
 * @param log_name	name of its log, unique in the cluster
 * @param args		its arguments, ends with NULL; may be NULL
 */
struct cluster_process *cluster_spawn(struct cluster *c, const char *program,
				      const char *log_name,
				      const char *const *args);

/** Starts a daemon of the build with settings made from @node. */
struct cluster_process *cluster_spawn_node(struct cluster *c,
					   const char *program,
					   const struct cluster_node *node);

/** Starts the program of an entry VM; @log_name as in cluster_spawn(). */
struct cluster_process *cluster_spawn_entry(struct cluster *c,
					    const struct cluster_entry *entry,
					    const char *log_name);

/** Tells whether an entry VM says at @readiness that it takes connections. */
gboolean cluster_entry_is_ready(struct cluster *c, const char *readiness);

/** Writes a file into the temporary folder; returns its name, free it. */
char *cluster_write_file(struct cluster *c, const char *name, const char *text);

/** Writes a settings file and returns its name; free it. */
char *cluster_write_settings(struct cluster *c,
			     const struct cluster_node *node);

/**
 * Waits for the line "listening IP:PORT" of an index in a stand-in's log and
 * returns the address; free it.
 */
char *cluster_listening(struct cluster_process *p, guint index);

/** Waits for a line "KEY VALUE" in a log and returns the value; free it. */
char *cluster_log_value(struct cluster_process *p, const char *key,
			guint index);

/** Sends a signal, such as SIGKILL, SIGSTOP or SIGCONT. */
void cluster_signal(struct cluster_process *p, int signal_number);

/** Waits until a process has ended and returns its exit code, -1 if late. */
int cluster_wait_exit(struct cluster_process *p, int64_t timeout_ms);

/** Tells whether a process runs. */
gboolean cluster_is_running(const struct cluster_process *p);

/**
 * Calls over HTTP and waits for the outcome.
 *
 * @param body		JSON text, or NULL
 * @param headers	pairs of name and value, ends with NULL; may be NULL
 */
struct cluster_reply cluster_call(struct cluster *c, const char *method,
				  const char *address, const char *path,
				  const char *body, const char *const *headers,
				  int64_t timeout_ms);
void cluster_reply_clear(struct cluster_reply *r);

/** Posts to /control of a stand-in and asserts that it was taken. */
void cluster_control(struct cluster *c, const char *address, const char *body);

/** Runs the main loop until a condition holds; FALSE when it runs out. */
gboolean cluster_wait(cluster_condition condition, void *data,
		      int64_t timeout_ms);

/** Runs the main loop for a time. */
void cluster_sleep(int64_t time_ms);

/** Returns how many lines of a log hold a text. */
guint cluster_grep(const struct cluster_process *p, const char *text);

#endif
