/*
 * Small deployment for the review cases: a store and workers as stand-ins that
 * follow the platform's pages, and entry VMs (csentryd) as separate processes.
 */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define MAX_ENTRIES_VM 8
#define MAX_WORKERS 160
#define ADDRESS_BYTES 32

/* Values of the pages for the site khuree-wind. */
#define STABLE_WINDOW_MS 3000
#define CANCEL_MS 3000
#define VISIBLE_MS 3000
#define STOP_MS 200
#define LEASE_MS 10000
#define ROW_BYTES 65536
#define CALL_BYTES 1000000
#define GREY_MS 6500
#define CUT_MS 5500
#define HOST "queue.example"
#define KEY "key-1"

int64_t now_ms(void);
int64_t wall_ms(void);
void sleep_ms(int64_t ms);

/* Appends a line with the time since the start of the case to record.txt. */
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Ends all started processes and exits; 0: the rule held, 1: it was broken, 2:
 * the case couldn't run. */
void finish(int code) __attribute__((noreturn));
bool has_trouble(void);

struct reply {
	int code; /* 0: no answer */
	char body[4096];
};

/* One call on a new connection. */
struct reply call(const char *address, const char *method, const char *path,
		  const char *key, const char *body, int timeout_ms);

/* --- the store --- */
void store_start(void);
/* Writes a row as the operator or a runner does; returns its version. */
int64_t store_put(const char *table, const char *key, const char *json);
void store_drop(const char *table, const char *key);
/* Commits that the predicate selects are done after delay_ms, not answered. */
extern bool (*store_is_late)(json_object *tx);
/* The VM whose commit it selects is cut off from the store once this is done,
 * before the answer. */
extern bool (*store_cuts_after)(json_object *tx);
void store_heal(void);
extern int store_late_ms;
extern int
	store_refused_oversize; /* commits refused for a limit of the pages */

/* --- the workers --- */
extern int refusing_worker; /* answers starts with 503, does nothing; or -1 */
/* The first one has the label "b", the others "a". */
void workers_start(int count);
/* Runners from this one on are of the service gobi, not salkhi. */
extern int second_service_from;
int workers_running(void);		/* runs at work now */
int workers_starts(const char *prefix); /* starts of tasks so named */
int workers_ends(const char *prefix);	/* ends "done" of tasks so named */
/* Restarts up to count workers that have completed a task so named, under the
 * ids that they had; returns how many. */
int workers_restart(const char *prefix, int count);
/* Starts of such tasks after an end "done" that AckCursor had reached. */
int workers_starts_after_end(const char *prefix);
bool workers_run(const char *prefix); /* such a task runs now */

/* --- the entry VMs --- */
extern char frontends[MAX_ENTRIES_VM][ADDRESS_BYTES];
extern char readiness[MAX_ENTRIES_VM][ADDRESS_BYTES];
extern pid_t entries[MAX_ENTRIES_VM];
void entries_start(int count); /* waits until all are ready */
/* Counts the lines of an entry's log that contain a text. */
int log_count(int entry, const char *text);

/* --- the operator and clients --- */
extern int spot_priority; /* 1 */
/* A desired state with a queue /spot/ of this priority and, if named, a further
 * one of priority 2. */
void put_config(int version, const char *further_route,
		const char *further_key);
/* A queue /spot/ of priority 0 on the service salkhi, and a queue /tiles/ of
 * priority 1 on the service gobi. */
void put_two_services(int version);
/* put_config() beside the caller after some time. */
void put_config_later(int delay_ms, int version);
struct reply submit(int entry, const char *path, const char *body);
struct reply get(int entry, const char *path);
struct reply cancel(int entry, const char *path);
long pending_of(int entry, const char *path);
#endif
