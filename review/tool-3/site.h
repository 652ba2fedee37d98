/**
 * @file
 * A small deployment for a case: the platform's store and the runners, played
 * by this process, and entry VMs, which run the project's program. All
 * addresses are loopback addresses.
 */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define SITE_MAX_ENTRIES 4
#define SITE_MAX_RUNNERS 16

/* Bounds and limits of the settings, as on our pages for khuree-wind. */
#define SITE_HOLD_MAX_MS 10000
#define SITE_STOP_MS 200
#define SITE_FINISH_MS 14000
#define SITE_MEMORY_MB 260

#define SITE_SERVICE "dele69a"
#define SITE_CPU 64000
#define SITE_MEM_MB 131072
#define SITE_GPU 8

struct entry_vm {
	guint index;
	pid_t pid;  /* 0 while it doesn't run */
	guint ends; /* ends of its process that the case did not cause */
	guint killed_for_memory;
	int64_t peak_kb;
	int64_t restart_ms; /* when it is started again, 0 for never */
	char *frontend;
	char *readiness;
	char *settings; /* file name */
	char *log;
};

struct run {
	char *task;
	int64_t number;
	int64_t begin_ms;
	int64_t work_ms; /* INT64_MAX for a unit that lasts */
	int64_t stop_ms; /* when an ordered stop takes effect, 0 for none */
	gboolean will_fail;
};

struct runner {
	char *id;
	char *address;
	char *kind;
	char *rack;
	int64_t born_ms; /* Unix time */
	int64_t fence;
	int64_t until_ms; /* end of the lease on its clock */
	int64_t last_end; /* number of the last end */
	GPtrArray *runs;  /* of struct run */
	GPtrArray *ends;  /* of json_object, not yet forgotten */
	GHashTable *gone; /* task to the highest run stopped or ended here */
	GPtrArray *holds; /* of struct hold */
	struct http_server *server;
};

/** A start that a runner has begun. */
struct start {
	char *task;
	int64_t number;
	struct runner *runner;
	char *kind; /* of the runner at that time */
	int64_t begin_ms;
	int64_t end_ms; /* 0 while it runs */
	char *how;	/* of its end */
	gboolean is_end_acked;
};

struct site {
	FILE *record;
	int64_t began_ms;
	struct entry_vm entries[SITE_MAX_ENTRIES];
	guint entry_count;
	struct runner runners[SITE_MAX_RUNNERS];
	guint runner_count;
	GPtrArray *starts; /* of struct start */
	GHashTable *rows;
	GPtrArray *feeds;
	int64_t version;
	struct http_server *store;
	char *store_address;
	pid_t relay_pid;
	char *relay_control;	       /* NULL without a relay */
	char *paths[SITE_MAX_ENTRIES]; /* to the store, through the relay */
	struct http_client *client;
	const char *key;	/* of the client, see site_call() */
	char *folder;		/* temporary */
	gboolean is_store_busy; /* answers 503 */
};

struct answer {
	guint code; /* 0 for no answer */
	char *text;
};

/** @param limit_ms	the process ends with status 2 after this time */
struct site *site_new(const char *record_file, int64_t limit_ms);
/** Ends all processes and removes the temporary folder. */
void site_free(struct site *s);

G_GNUC_PRINTF(2, 3)
void site_note(struct site *s, const char *format, ...);

struct runner *site_add_runner(struct site *s, const char *kind,
			       const char *rack);
/** Writes the runner's entry into the store. */
void runner_register(struct site *s, struct runner *r);

/** Puts the project's relay between the store and each entry VM that follows.
 */
void site_start_relay(struct site *s);
/** Makes the open channels between an entry VM and the store go silent. */
void site_silence(struct site *s, guint entry);

/** Writes the desired state. */
void site_configure(struct site *s, const char *config);

void site_add_entry(struct site *s);
void entry_start(struct site *s, struct entry_vm *e);
void entry_kill(struct site *s, struct entry_vm *e, int sig);
/** Returns the resident memory of a process, in kB. */
int64_t entry_memory_kb(const struct entry_vm *e);

/** Plays the site for some time. */
void site_run(struct site *s, int64_t ms);
typedef gboolean (*site_check)(struct site *s, void *data);
/** Plays the site until a condition holds; FALSE if it doesn't in time. */
gboolean site_wait(struct site *s, site_check check, void *data, int64_t ms);
/** Waits until all entry VMs are ready and a job can be accepted. */
gboolean site_wait_ready(struct site *s);

/** Sends a client's request to an entry VM. */
struct answer site_call(struct site *s, guint entry, const char *method,
			const char *path, json_object *body);
/** Sends some GET requests of clients at the same time, and waits for all. */
void site_burst(struct site *s, guint entry, const char *path, guint count);
/** Submits a job given as JSON text, as a client with retries. */
guint site_submit(struct site *s, guint entry, const char *path,
		  const char *body);
/** Returns the "State" of a job, to be freed; "" if there is none. */
char *site_state(struct site *s, guint entry, const char *path);

int64_t site_now_ms(const struct site *s);
/** Returns the number of runs of a job that are at work now. */
guint site_running(const struct site *s, const char *job);
/** Returns how many runs of a job have begun. */
guint site_starts(const struct site *s, const char *job);

#endif
