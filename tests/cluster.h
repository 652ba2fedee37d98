/**
 * @file
 * Test harness for real processes: starts the built programs, keeps their
 * settings and logs in a temporary folder, calls them over HTTP and ends them.
 */
#ifndef TESTS_CLUSTER_H
#define TESTS_CLUSTER_H

#include <gio/gio.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/http_client.h"
#include "base/status.h"

#define CLUSTER_CALL_TIMEOUT_MS 5000

/** Builds the NULL-terminated argument list that cluster_spawn() takes. */
#define CLUSTER_ARGS(...) ((const char *const[]){ __VA_ARGS__, NULL })

struct cluster {
	char *dir; /**< temporary folder for settings and logs */
	struct http_client *client;
	GPtrArray *processes; /**< of struct cluster_process */
	gboolean keeps_logs;  /**< cluster_free() keeps the folder */
};

struct cluster_process {
	GSubprocess *subprocess;
	char *log_path; /**< path of the file with stdout and stderr */
};

struct cluster_reply {
	enum status status; /**< outcome of the call */
	guint code;	    /**< HTTP status code, 0 if unanswered */
	json_object *body;  /**< parsed body, owned */
	char *text;	    /**< body as received, owned */
	char *retry_after;  /**< the Retry-After header, owned, or NULL */
};

/** Contents of a daemon's settings file. A NULL or 0 member takes its default;
 * without one the setting is left out. */
struct cluster_node_spec {
	const char *node;
	const char *failure_domain; /**< default "tov-a" */
	const char *region;	    /**< default "tov" */
	const char *service;	    /**< default "salkhi" */
	const char *http;
	const char *link;
	const char *link_public; /**< default none */
	const char *platform;
	const char *operator_token;  /**< default none */
	const char *link_secret;     /**< default none */
	const char *const *seeds;    /**< NULL-terminated; default none */
	int64_t platform_timeout_ms; /**< default 500 */
	int64_t drain_timeout_ms;    /**< default 3000 */
	int64_t impossible_grace_ms; /**< default none */
	int64_t memory_mb;	     /**< default none */
	int64_t descriptors;	     /**< default none */
};

/** Contents of an entry VM's settings file. */
struct cluster_entry_spec {
	guint index;	       /**< the node is named "e" and this number */
	const char *frontend;  /**< listen address for clients */
	const char *readiness; /**< listen address of the readiness endpoint */
	const char *internal;  /**< listen address for other entry VMs */
	const char *forward;   /**< the same, for forwarded requests; or NULL */
	const char *store;     /**< address of the platform's store */
	int64_t writes_per_s;  /**< write limit of the store */
	int64_t lease_ms;      /**< longest lease that workers grant */
	guint delegate_min_workers; /**< smallest pool with delegation */
	int64_t memory_mb;	    /**< 0: default */
	int64_t descriptors;	    /**< 0: default */
};

typedef gboolean (*cluster_condition)(void *data);

struct cluster *cluster_new(void);

/**
 * Ends all processes, asserts that no log contains a sanitizer report and
 * removes the temporary folder unless keeps_logs is set.
 */
void cluster_free(struct cluster *c);

/** Returns "127.0.0.1:PORT" with a port that is free now; owned by the caller.
 */
char *cluster_reserve_address(void);

/**
 * Starts a program from the build's bin folder; asserts that it starts.
 *
 * @param log_name	name of its log without ".log", unique in the cluster
 * @param args		its arguments, NULL-terminated; may be NULL
 * @return		the process, owned by the cluster
 */
struct cluster_process *cluster_spawn(struct cluster *c, const char *program,
				      const char *log_name,
				      const char *const *args);

/** Limits the descriptors of processes started from now on; 0: no limit. */
void cluster_limit_descriptors(guint max);

/** Writes a settings file from @node and starts a daemon with it. */
struct cluster_process *
cluster_spawn_node(struct cluster *c, const char *program,
		   const struct cluster_node_spec *node);

/** Starts an entry VM's daemon; @log_name as in cluster_spawn(). */
struct cluster_process *
cluster_spawn_entry(struct cluster *c, const struct cluster_entry_spec *entry,
		    const char *log_name);

/** Returns TRUE if an entry VM's readiness endpoint answers 200. */
gboolean cluster_entry_is_ready(struct cluster *c, const char *readiness);

/** Writes a file into the temporary folder; returns its path, to be freed. */
char *cluster_write_file(struct cluster *c, const char *name, const char *text);

/** Writes a settings file and returns its path, to be freed. */
char *cluster_write_settings(struct cluster *c,
			     const struct cluster_node_spec *node);

/**
 * Waits for a line "listening IP:PORT" in a stand-in's log; asserts that it
 * comes within 20 s.
 *
 * @param index		number of matching lines to skip
 * @return		the address, to be freed
 */
char *cluster_listen_address(struct cluster_process *p, guint index);

/**
 * Waits for a line "KEY VALUE" in a log; asserts that it comes within 20 s.
 *
 * @param index		number of matching lines to skip
 * @return		the value, to be freed
 */
char *cluster_log_value(struct cluster_process *p, const char *key,
			guint index);

/** Sends a signal, such as SIGKILL, SIGSTOP or SIGCONT. */
void cluster_signal(struct cluster_process *p, int signal_number);

/**
 * Waits until a process has exited.
 *
 * @return	its exit code, 128 plus the signal that ended it, or -1 if it
 *		still runs after @timeout_ms
 */
int cluster_wait_exit(struct cluster_process *p, int64_t timeout_ms);

/** Returns TRUE if a process runs. */
gboolean cluster_is_running(const struct cluster_process *p);

/**
 * Sends an HTTP request and runs the main loop until its outcome is known.
 *
 * @param body		JSON text, or NULL
 * @param headers	pairs of name and value, NULL-terminated; may be NULL
 * @return		the reply, to be released with cluster_reply_clear()
 */
struct cluster_reply cluster_call(struct cluster *c, const char *method,
				  const char *address, const char *path,
				  const char *body, const char *const *headers,
				  int64_t timeout_ms);
void cluster_reply_clear(struct cluster_reply *r);

/** Posts to /control of a stand-in and asserts that it answers 200. */
void cluster_control(struct cluster *c, const char *address, const char *body);

/** Runs the main loop until a condition holds; returns FALSE on timeout. */
gboolean cluster_wait(cluster_condition condition, void *data,
		      int64_t timeout_ms);

/**
 * Opens many connections at the same time; asserts that each is established
 * within a second, before TCP would send a lost first packet again.
 *
 * @param port		of the server, at 127.0.0.1
 */
void cluster_connect_burst(uint16_t port);

/** Runs the main loop for a time. */
void cluster_sleep(int64_t time_ms);

/** Returns the number of log lines that contain a text. */
guint cluster_count_lines(const struct cluster_process *p, const char *text);

#endif
