/**
 * @file
 * A small deployment on loopback for the scripts of the review: a stand-in of
 * the platform's store, stand-ins of runners, clients, and processes of
 * csentryd. All stand-ins run in this process; csentryd runs as on the
 * platform. Only what clients and runners see is judged.
 */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>
#include <stdio.h>

#define ENTRIES 3
#define MAX_RUNNERS 16
#define TENANTS 2

struct tenant {
	const char *name;
	const char *key;
	int guaranteed; /**< accelerators */
};

extern const struct tenant site_tenants[TENANTS];

/** Bounds of the platform, in ms, as in its settings file. */
struct bounds {
	int64_t hold_max_ms;
	int64_t stop_ms;
	int64_t drain_ms;
	int64_t finish_ms;
	int64_t visible_ms;
};

/** A run of a work unit on a runner. */
struct run {
	char *task;
	int64_t number;
	int64_t begin_ms;
	int64_t work_ms;    /**< until it is done, 0 if it lasts */
	int64_t startup_ms; /**< until a lasting one is at work */
	int64_t fail_ms;    /**< age at which it fails, 0 for never */
	int64_t stop_end_ms; /**< when an ordered stop takes effect, or 0 */
	int64_t millicores;
	int64_t accelerators;
	int64_t gang;	     /**< number of members, 0 for no gang */
	gboolean is_waiting; /**< for the others of its gang */
	gboolean is_broken;  /**< another member has ended */
};

struct run_end {
	int64_t number;
	char *task;
	int64_t run;
	const char *how;
};

struct runner_spec {
	const char *id;
	const char *service;
	const char *kind;
	const char *rack;
	int64_t millicores;
	int64_t memory_mb;
	int64_t accelerators;
};

struct runner {
	struct runner_spec spec;
	struct site *site;
	struct http_server *server; /**< NULL once it has left */
	char *address;
	GPtrArray *runs;      /**< of struct run */
	GPtrArray *ends;      /**< of struct run_end, not acknowledged */
	GHashTable *last_run; /**< task to the highest run ended or stopped */
	GPtrArray *holds;     /**< of struct waiting_hold */
	int64_t last_end;
	int64_t fence;
	int64_t until_ms;
	int64_t born_ms;
	int64_t leave_ms; /**< when a draining runner leaves, or 0 */
	gboolean is_unhealthy; /**< answers orders with 503 */
};

/** A queue as the operator configures it. */
struct queue {
	const char *name;
	const char *prefix;
	const char *service;
	int64_t priority;
};

struct entry {
	GPid pid;
	char *frontend;
	char *readiness;
	char *settings;
	char *log;
	struct proxy *path; /**< to the store, NULL for a direct one */
};

struct site {
	struct bounds bounds;
	gboolean has_trouble;
	GHashTable *rows; /**< of the store */
	GPtrArray *feeds; /**< waiting calls of the change feed */
	struct http_server *store;
	char *store_address;
	int64_t version;
	struct runner *runners[MAX_RUNNERS];
	guint runner_count;
	struct entry entries[ENTRIES];
	struct http_client *client;
	GHashTable *starts;   /**< task to the number of its starts */
	GHashTable *end_ms;   /**< task to the time of its last end */
	FILE *record;
	int64_t begin_ms;
	char *folder;
	GMainLoop *loop;
	int code;	      /**< exit status; -1 while open */
	guint first_entry; /**< that clients hand their jobs in at */
	gboolean has_paths; /**< each process has a proxy to the store */
	int64_t config_version;
	gboolean is_key_revoked; /**< of the first tenant */
	/** The write of this job is done but not answered; then on_lost(). */
	const char *lost_job;
	void (*on_lost)(struct site *s);
	/** Age at which the Nth run (from 1) of a task fails, 0 for never. */
	int64_t (*fail_ms)(struct site *s, const char *task, guint nth);
};

int64_t site_ms(const struct site *s); /**< since the begin of the script */
void site_note(struct site *s, const char *format, ...) G_GNUC_PRINTF(2, 3);

void site_put_row(struct site *s, const char *table, const char *key,
		  const char *value);
void site_configure(struct site *s, const struct queue *queues, guint count);
struct runner *site_add_runner(struct site *s, const struct runner_spec *spec);
void site_drain_runner(struct runner *r);
gboolean site_start_entries(struct site *s);
void site_kill_entry(struct site *s, guint i);
void site_restart_entry(struct site *s, guint i);

typedef void (*answer_fn)(struct site *s, guint code, json_object *body,
			  void *data);
/** Sends a client's call; a code of 0 stands for no answer. */
void site_call(struct site *s, guint tenant, guint entry, const char *method,
	       const char *path, const char *body, answer_fn fn, void *data);
/** Hands a job in, again after no answer, 429 or 503, at the next entry. */
void site_submit(struct site *s, guint tenant, const char *path,
		 const char *body,
		 void (*fn)(struct site *s, gboolean is_accepted, void *data),
		 void *data);

/** Returns the runner and the run of a work unit that runs now, or NULL. */
struct run *site_running(const struct site *s, const char *task,
			 struct runner **where);
/** Returns TRUE if a work unit of the job with this prefix runs. */
gboolean site_job_runs(const struct site *s, const char *job);
/** Returns how many work units of a size the sound runners of a service have
 * room for; kind may be NULL. */
int64_t site_room(const struct site *s, const char *service, const char *kind,
		  int64_t millicores, int64_t accelerators);
/** Returns the largest share in use of a service's cores or accelerators. */
double site_share_in_use(const struct site *s, const char *service);
void site_finish(struct site *s, int code, const char *why);
void site_after(struct site *s, int64_t ms, void (*fn)(struct site *s));

/** A script: sets up the deployment, then plays from when it is ready. */
struct scenario {
	const char *name;
	struct bounds bounds;
	int64_t limit_ms; /**< ends the script with status 2 */
	void (*setup)(struct site *s);
	void (*play)(struct site *s);
};

extern const struct scenario scenarios[];

#endif
