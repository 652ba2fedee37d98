/**
 * @file
 * A small deployment on loopback for the cases of this review: entry VMs of
 * csentryd as separate processes, and stand-ins of the platform's store, its
 * runners and its clients in this process. The stand-ins follow PROTOCOL.md of
 * the users' pages.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>
#include <sys/types.h>

/* Bounds of the users' small site aol-slips. */
#define HEARTBEAT_MS 1500
#define STABLE_WINDOW_MS 3000
#define HOLD_MAX_MS 6000
#define GRACE_S 6
#define VISIBLE_MS 3000
#define FINISH_MS 14000
#define RECLAIM_MS 3400
#define GANG_MS 3000
#define CANCEL_MS 3000

#define RUNNER_CPU 32000
#define RUNNER_MEM_MB 65536
#define RUNNER_GPU 8

#define MAX_ENTRIES 4
#define SERVICE "slipdesk"

struct rig;

/* Decides on a write call before the store handles it: a positive value leaves
 * the call unanswered and carries it out that many ms later, if its conditions
 * still hold; 0 handles it as usual. */
typedef int64_t (*late_fn)(struct rig *g, json_object *body);

/** The platform's metadata store. */
struct store;
struct store *store_new(struct rig *g);
void store_free(struct store *s);
char *store_address(const struct store *s);
void store_set_late(struct store *s, late_fn fn);
/** Writes a row as the operator or a runner does. */
void store_put(struct store *s, const char *table, const char *key,
	       const char *value);
void store_remove(struct store *s, const char *table, const char *key);
/** Returns the decoded text of a row, or NULL; free it. */
char *store_text(const struct store *s, const char *table, const char *part,
		 const char *key);

/** One start or end of a run, as a runner saw it. */
struct run_event {
	int64_t at_ms;
	gboolean is_start;
	char *runner;
	char *label; /* kind of the runner's life that it happened in */
	char *task;
	char *spec;
	int64_t run;
	const char *how;  /* of an end */
	gboolean is_late; /* a start that was carried out late */
	int64_t gpu_used; /* on the runner, with this run */
};

/** A runner. */
struct runner;
struct runner *runner_new(struct rig *g, const char *id, const char *kind,
			  const char *rack);
/** Like runner_new(), of another service than SERVICE. */
struct runner *runner_new_of(struct rig *g, const char *service, const char *id,
			     const char *kind, const char *rack);
const char *runner_id(const struct runner *r);
/** Work units that run there, and the accelerators that they use. */
guint runner_running(const struct runner *r);
int64_t runner_gpu_used(const struct runner *r);
/** Ends this life: what runs there is lost, its port is closed. Its entry is
 * removed after three heartbeat intervals of silence. */
void runner_crash(struct runner *r);
/** Starts again under its id and at its address, maybe as another kind. The
 * entry is written after register_ms. */
void runner_restart(struct runner *r, const char *kind, int64_t register_ms);

/** Cuts a runner off from the entry VMs and the store; it runs on. */
void runner_set_cut(struct runner *r, gboolean is_cut);
/** Leaves the next start unanswered and carries it out late_ms later. */
void runner_lose_start(struct runner *r, int64_t late_ms);
/** Share of the orders that get no answer and are carried out late. */
void runner_set_late(struct runner *r, double share);

/** Announces that a runner will leave, in 2 s at the earliest. */
void runner_drain(struct runner *r);
/** Ends a runner; its entry is removed at once. */
void runner_leave(struct runner *r);
/** Starts another runner in the place of one that has left. */
void runner_join(struct runner *r, const char *kind);

/** The store answers no call: 0 never, else 503, a reset (2), silence (3). */
void store_set_down(struct store *s, int mode);

/** An entry VM. */
struct entry {
	char *name;
	char *settings; /* file */
	char *frontend;
	char *readiness;
	pid_t pid;
};

struct rig {
	char *dir; /* temporary files */
	FILE *record;
	int64_t begin_ms;
	gboolean has_trouble; /* environment variable TROUBLE is not 0 */
	struct store *store;
	GPtrArray *runners;
	GArray *events; /* of struct run_event */
	struct entry entries[MAX_ENTRIES];
	guint entry_count;
	struct http_client *client;
	GHashTable *done;	/* tasks whose end "done" was taken note of */
	gboolean is_late_order; /* a late order is being carried out */
};

/** Returns the ms since the rig began. */
int64_t rig_now(const struct rig *g);
void rig_log(struct rig *g, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Runs the stand-ins for a time. */
void rig_wait(struct rig *g, int64_t ms);
/** Starts the process of an entry VM again after it was killed. */
void rig_spawn(struct rig *g, guint entry);
/** Writes the desired state. */
void rig_configure(struct rig *g, const char *text);
/** Starts entry VMs; FALSE unless all become ready. */
gboolean rig_start(struct rig *g, guint entries);

/**
 * Sends a client's call and waits for the answer.
 *
 * @param text	set to the body of the answer, to be freed; may be NULL
 * @return	the status, 0 without an answer
 */
guint rig_call(struct rig *g, guint entry, const char *method, const char *host,
	       const char *path, const char *key, const char *body,
	       char **text);

/** Submits a job with retries as a client does; TRUE if it was accepted. */
gboolean rig_submit(struct rig *g, const char *host, const char *prefix,
		    const char *id, const char *key, const char *body);

/**
 * Submits a job like rig_submit(), without waiting for the answer.
 *
 * @param accepted_ms	set to the time of the acknowledgement, -1 before
 */
void rig_submit_later(struct rig *g, const char *host, const char *prefix,
		      const char *id, const char *key, const char *body,
		      int64_t *accepted_ms);

/** Runs of a task or, if it ends with a dot, of all tasks below it, that are
 * going on now. */
guint rig_running(const struct rig *g, const char *task);
/** Starts of such tasks so far. */
guint rig_starts(const struct rig *g, const char *task);
/** All accelerators in use on runners now. */
int64_t rig_gpu_used(const struct rig *g);

/** A case; returns its exit code. */
typedef int (*case_fn)(struct rig *g);
struct review_case {
	const char *name;
	case_fn run;
};
extern const struct review_case review_cases[];

#endif
