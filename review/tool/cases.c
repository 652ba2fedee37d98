/* The cases that are scripts; each is started by its folder's run.sh. */
#include "site.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP "{\"Count\":1,\"Cpu\":500,\"MemMb\":100,\"EstimateMs\":300}"

/* ------------------------------------------------------- outgrown-row --- */

#define ORDINARY_JOBS 45

/*
 * A repeated job comes besides ordinary ones. Its progress outgrows a row of
 * the store; no job's progress is stored from then on, and no job starts.
 */
static void outgrown_row(void)
{
	int repeats = has_trouble() ? 3000 : 300;
	int accepted[ORDINARY_JOBS] = { 0 };
	int never = 0, unfinished = 0, calm_s = 0;
	char body[400], path[64];

	store_start();
	put_config(1, NULL, NULL);
	workers_start(4);
	entries_start(2);
	sleep_ms(1000);
	snprintf(body, sizeof(body),
		 "{\"Spec\":\"run_ms=20\",\"Steps\":[{\"Count\":1,\"Cpu\":500,"
		 "\"MemMb\":100,\"EstimateMs\":20}],\"RepeatCount\":%d,"
		 "\"FirstMs\":%lld,\"IntervalMs\":40}",
		 repeats, (long long)wall_ms());
	note("the repeated job has %d occurrences of one work unit, one each "
	     "40 ms",
	     repeats);
	if (submit(0, "/spot/00000000000000aa", body).code != 200)
		finish(2);
	for (int i = 0; i < ORDINARY_JOBS; i++) {
		snprintf(path, sizeof(path), "/spot/%016x", 0xb000 + i);
		accepted[i] =
			submit(i % 2, path,
			       "{\"Spec\":\"run_ms=300\",\"Steps\":[" STEP "]}")
				.code == 200;
		sleep_ms(1000);
	}
	note("end of the traffic; the repeated job: %d starts, %d ends done; "
	     "commits refused as too large: %d",
	     workers_starts("00000000000000aa."),
	     workers_ends("00000000000000aa."), store_refused_oversize);
	sleep_ms(14000); /* finish_s */
	/* The runners have room for over 500 such work units. */
	for (int i = 0; i < 4; i++, sleep_ms(1000))
		calm_s += workers_running() < 100;
	for (int i = 0; i < ORDINARY_JOBS; i++) {
		struct reply r;
		char prefix[32];

		if (!accepted[i])
			continue;
		snprintf(path, sizeof(path), "/spot/%016x", 0xb000 + i);
		snprintf(prefix, sizeof(prefix), "%016x.", 0xb000 + i);
		r = get(i % 2, path);
		if (strstr(r.body, "completed"))
			continue;
		unfinished++;
		if (!workers_starts(prefix))
			never++;
		note("client: GET %s -> %d %s; starts so far: %d", path, r.code,
		     r.body, workers_starts(prefix));
	}
	note("%d of %d accepted jobs aren't completed, %d of them have never "
	     "been started; under a fifth of the "
	     "runners' room was in use in %d of the last 4 s",
	     unfinished, ORDINARY_JOBS, never, calm_s);
	finish(never && calm_s == 4 ? 1 : unfinished ? 2 : 0);
}

/* ------------------------------------------------------- hopeless-job --- */

#define HOPELESS_STEPS 100
#define JOBS_BEFORE 8
#define JOBS_AFTER 12

static void submit_ordinary(int i, bool *accepted)
{
	char path[64];

	snprintf(path, sizeof(path), "/spot/%016x", 0xb000 + i);
	*accepted = submit(i % 3, path,
			   "{\"Spec\":\"run_ms=300\",\"Steps\":[" STEP "]}")
			    .code == 200;
	sleep_ms(1000);
}

static void submit_hopeless(int repeats)
{
	char *body = malloc(65536);
	size_t len =
		(size_t)sprintf(body, "{\"Spec\":\"run_ms=20\",\"Steps\":[");

	for (int i = 0; i < HOPELESS_STEPS; i++)
		len += (size_t)sprintf(
			body + len,
			"%s{\"Count\":1,\"Cpu\":500,\"MemMb\":100,\"Gpu\":16,"
			"\"EstimateMs\":300}",
			i ? "," : "");
	sprintf(body + len,
		"],\"RepeatCount\":%d,\"FirstMs\":%lld,\"IntervalMs\":1000}",
		repeats, (long long)wall_ms() - repeats * 1000LL);
	note("one job comes whose work units need 16 of a runner's 8 GPUs: %d "
	     "steps of one work unit, %d occurrences that are due",
	     HOPELESS_STEPS, repeats);
	if (submit(0, "/spot/00000000000000aa", body).code != 200)
		finish(2);
	free(body);
}

/*
 * One job that can never be done comes among ordinary ones. Planning its
 * waiting work units takes each holder longer than its lease allows.
 */
static void hopeless_job(void)
{
	bool accepted[JOBS_BEFORE + JOBS_AFTER] = { false };
	int never = 0, accepted_count = 0, idle = 0, taken = 0;

	store_start();
	spot_priority = 0;
	put_config(1, NULL, NULL);
	workers_start(48);
	entries_start(3);
	sleep_ms(1000);
	for (int i = 0; i < JOBS_BEFORE; i++)
		submit_ordinary(i, &accepted[i]);
	submit_hopeless(has_trouble() ? 1000 : 1);
	for (int i = JOBS_BEFORE; i < JOBS_BEFORE + JOBS_AFTER; i++)
		submit_ordinary(i, &accepted[i]);
	note("end of the traffic");
	sleep_ms(14000); /* finish_s */
	for (int i = 0; i < 40; i++, sleep_ms(100))
		idle += workers_running() == 0;
	for (int i = 0; i < 3; i++) {
		note("VM %d took the pool over %d times", i,
		     log_count(i, "event=lease_acquired"));
		taken += log_count(i, "event=lease_acquired");
	}
	for (int i = 0; i < JOBS_BEFORE + JOBS_AFTER; i++) {
		char prefix[32];

		snprintf(prefix, sizeof(prefix), "%016x.", 0xb000 + i);
		accepted_count += accepted[i];
		if (!accepted[i] || workers_starts(prefix))
			continue;
		never++;
		note("job %.16s was accepted and has never been started",
		     prefix);
	}
	note("%d of %d accepted jobs that can be done have never been started; "
	     "no work unit ran in %d of the last 40 tenths of a second; %d "
	     "takeovers",
	     never, accepted_count, idle, taken);
	/* All runners are idle but for the few ordinary jobs. */
	finish(never ? 1 : 0);
}

/* ------------------------------------------------------ reserved-rack --- */

#define BULK_JOBS 20

/*
 * A gang waits for a whole rack on which a service runs. The rack is reserved
 * for the gang, and jobs of lower priority wait for good beside idle runners.
 */
static void reserved_rack(void)
{
	bool accepted[BULK_JOBS] = { false };
	int never = 0;
	char path[64];

	store_start();
	put_config(1, "bulk", NULL);
	workers_start(8);
	entries_start(2);
	sleep_ms(2000);
	note("a service takes one of the 8 GPUs of each of the 8 runners");
	if (submit(0, "/spot/00000000000000a1",
		   "{\"Spec\":\"run_ms=1000000\",\"Steps\":[{\"Count\":8,"
		   "\"Cpu\":500,\"MemMb\":100,\"Gpu\":1,\"EstimateMs\":300,"
		   "\"LongRunning\":true,\"MaxPerServer\":1}]}")
		    .code != 200)
		finish(2);
	sleep_ms(2000);
	note("%d work units of the service run",
	     workers_starts("00000000000000a1."));
	if (has_trouble()) {
		note("a gang comes that needs all 8 GPUs of all 8 runners");
		if (submit(1, "/spot/00000000000000a2",
			   "{\"Spec\":\"run_ms=1000\",\"Steps\":[{\"Count\":8,"
			   "\"Cpu\":500,\"MemMb\":100,\"Gpu\":8,"
			   "\"EstimateMs\":300,\"Gang\":true,\"SameRack\":true}"
			   "]}")
			    .code != 200)
			finish(2);
	}
	sleep_ms(4000);
	for (int i = 0; i < BULK_JOBS; i++, sleep_ms(500)) {
		snprintf(path, sizeof(path), "/bulk/%016x", 0xe000 + i);
		accepted[i] =
			submit(i % 2, path,
			       "{\"Spec\":\"run_ms=300\",\"Steps\":[" STEP "]}")
				.code == 200;
	}
	note("end of the traffic");
	sleep_ms(14000 + 3000); /* finish_s, and 3 s more */
	for (int i = 0; i < BULK_JOBS; i++) {
		char prefix[32];

		snprintf(prefix, sizeof(prefix), "%016x.", 0xe000 + i);
		never += accepted[i] && !workers_starts(prefix);
	}
	note("%d of %d jobs of priority 2 have never been started; %d work "
	     "units run, with 8 of 64 GPUs, 4 of 512 cores",
	     never, BULK_JOBS, workers_running());
	finish(never ? 1 : 0);
}

/* --------------------------------------------------- refused-then-run --- */

static bool writes_job(json_object *tx)
{
	const char *text = json_object_to_json_string(tx);

	return strstr(text, "00000000000000cc") && strstr(text, "\"jobs\"");
}

/*
 * A VM is cut off from the store when it has just stored a job, and the job's
 * key is taken away. The client is answered 401, and the job runs.
 */
static void refused_then_run(void)
{
	struct reply r;
	int64_t began;
	int vm = 0;

	store_start();
	put_config(1, NULL, "key-2");
	workers_start(4);
	entries_start(3);
	sleep_ms(6000);
	while (vm < 2 && log_count(vm, "event=lease_acquired"))
		vm++; /* a VM that doesn't hold the pool */
	if (has_trouble())
		store_cuts_after = writes_job;
	began = now_ms();
	put_config_later(300, 2);
	r = call(frontends[vm], "POST", "/spot/00000000000000cc", "key-2",
		 "{\"Spec\":\"run_ms=300\",\"Steps\":[" STEP "]}", 3000);
	note("client: POST with key-2 at VM %d -> %d after %lld ms: %s", vm,
	     r.code, (long long)(now_ms() - began), r.body);
	sleep_ms(began + CUT_MS - now_ms());
	store_heal();
	sleep_ms(4000);
	note("the job was started %d times",
	     workers_starts("00000000000000cc."));
	if (r.code == 200)
		finish(workers_ends("00000000000000cc.") == 1 ? 0 : 2);
	/* After no answer, a 502 or a 504 the client would ask again. */
	if (!r.code || r.code == 502 || r.code == 504)
		finish(0);
	finish(workers_starts("00000000000000cc.") ? 1 : 0);
}

/* ------------------------------------------------------ other-service --- */

#define TILE_JOBS 10

/*
 * Many urgent jobs come at once on one service. Jobs on another service, whose
 * runners are idle, are kept waiting.
 */
static void other_service(void)
{
	bool accepted[TILE_JOBS] = { false };
	int never = 0, urgent = has_trouble() ? 16 : 1;
	char path[64];

	store_start();
	second_service_from = 8;
	put_two_services(1);
	workers_start(12);
	entries_start(2);
	sleep_ms(2000);
	note("%d urgent jobs come on salkhi, each of one work unit of 60 s "
	     "with "
	     "8 GPUs; it has 8 runners with 8 GPUs",
	     urgent);
	for (int i = 0; i < urgent; i++) {
		snprintf(path, sizeof(path), "/spot/%016x", 0x2000 + i);
		if (submit(i % 2, path,
			   "{\"Spec\":\"run_ms=60000\",\"Steps\":[{\"Count\":1,"
			   "\"Cpu\":500,\"MemMb\":100,\"Gpu\":8,"
			   "\"EstimateMs\":60000}]}")
			    .code != 200)
			finish(2);
	}
	sleep_ms(1000);
	for (int i = 0; i < TILE_JOBS; i++, sleep_ms(500)) {
		snprintf(path, sizeof(path), "/tiles/%016x", 0x3000 + i);
		accepted[i] = submit(i % 2, path,
				     "{\"Spec\":\"run_ms=300\",\"Steps\":[{"
				     "\"Count\":1,\"Cpu\":500,\"MemMb\":100,"
				     "\"Gpu\":1,\"EstimateMs\":300}]}")
				      .code == 200;
	}
	note("end of the traffic");
	sleep_ms(14000 + 3000); /* finish_s, and 3 s more */
	for (int i = 0; i < TILE_JOBS; i++) {
		snprintf(path, sizeof(path), "%016x.", 0x3000 + i);
		never += accepted[i] && !workers_starts(path);
	}
	note("%d of %d jobs on gobi have never been started; its 4 runners "
	     "with "
	     "32 GPUs are idle",
	     never, TILE_JOBS);
	finish(never ? 1 : 0);
}

/* ------------------------------------------------------- not-counted --- */

#define WAITING_JOBS 4

static void submit_waiting(int first, int count, const char *step)
{
	char path[64], body[400];

	snprintf(body, sizeof(body),
		 "{\"Spec\":\"run_ms=20000\",\"Steps\":[%s]}", step);
	for (int i = first; i < first + count; i++) {
		snprintf(path, sizeof(path), "/spot/%016x", 0xd000 + i);
		if (submit(i % 2, path, body).code != 200)
			finish(2);
	}
}

/* Asks for the number of waiting jobs; counts the answers under half of it. */
static int ask_pending(int waiting, int64_t until_ms, int *asked)
{
	int wrong = 0;

	for (int i = 0; now_ms() < until_ms; i++, sleep_ms(100)) {
		long n = pending_of(i % 2, "/spot/");

		if (n < 0)
			continue;
		++*asked;
		if (2 * n >= waiting)
			continue;
		if (!wrong++)
			note("client: GET /spot/ at VM %d -> Pending %ld; %d "
			     "accepted jobs haven't begun",
			     i % 2, n, waiting);
	}
	return wrong;
}

/*
 * Jobs that only one runner can run wait as it refuses starts; they are no
 * longer counted as pending.
 */
static void not_counted(void)
{
	static const char step[] =
		"{\"Count\":1,\"Cpu\":500,\"MemMb\":100,\"EstimateMs\":300,"
		"\"Requirements\":\"b\"}";
	int asked = 0, wrong;
	int64_t began;

	store_start();
	put_config(1, NULL, NULL);
	workers_start(9);
	entries_start(2);
	sleep_ms(4000);
	began = now_ms();
	if (has_trouble()) {
		note("runner 0, the only one with label b, answers starts with "
		     "503 for %d ms",
		     GREY_MS);
		refusing_worker = 0;
	}
	submit_waiting(0, WAITING_JOBS, step);
	sleep_ms(VISIBLE_MS + 2000 + 100);
	wrong = ask_pending(WAITING_JOBS - workers_starts("000000000000d"),
			    began + GREY_MS - 100, &asked);
	if (workers_starts("000000000000d") && has_trouble())
		finish(2);
	refusing_worker = -1;
	note("%d of %d answers were wrong", wrong, asked);
	sleep_ms(4000);
	note("%d of the jobs have begun by now",
	     workers_starts("000000000000d"));
	finish(!asked ? 2 : wrong > asked / 2 ? 1 : wrong ? 2 : 0);
}

/* ---------------------------------------------------- late-queue-row --- */

static bool is_armed;

static bool writes_queue_once(json_object *tx)
{
	if (!is_armed || !strstr(json_object_to_json_string(tx), "\"queues\""))
		return false;
	is_armed = false;
	return true;
}

/*
 * The write of the numbers of waiting jobs gets no answer and is done seconds
 * later, after a newer one. The old numbers are shown from then on.
 */
static void late_queue_row(void)
{
	static const char step[] =
		"{\"Count\":1,\"Cpu\":500,\"MemMb\":100,\"Gpu\":16,"
		"\"EstimateMs\":300}";
	int asked = 0, wrong;

	store_start();
	put_config(1, NULL, NULL);
	workers_start(4);
	entries_start(2);
	sleep_ms(4000);
	store_late_ms = 4000;
	store_is_late = writes_queue_once;
	is_armed = has_trouble();
	submit_waiting(0, 1, step);
	sleep_ms(1500);
	submit_waiting(1, 5, step);
	sleep_ms(1500);
	note("client: GET /spot/ -> Pending %ld", pending_of(0, "/spot/"));
	sleep_ms(2500 + STABLE_WINDOW_MS);
	wrong = ask_pending(6, now_ms() + 15000, &asked);
	note("%d of %d answers were wrong", wrong, asked);
	finish(!asked || is_armed ? 2 : wrong > asked / 2 ? 1 : wrong ? 2 : 0);
}

/* --------------------------------------------------- cancelled-then-run --- */

#define LEAVES_MS 500
#define FREEZE_MS 4000

/*
 * A VM freezes before it reads a submission. The client leaves, and cancels
 * the job at another VM, which answers 410. When the VM wakes, the job runs.
 */
static void cancelled_then_run(void)
{
	int64_t began, acked, started = 0, seen = 0;
	struct reply r;
	int vm = 0, other;

	store_start();
	put_config(1, NULL, NULL);
	workers_start(4);
	entries_start(3);
	sleep_ms(6000);
	while (vm < 2 && log_count(vm, "event=lease_acquired"))
		vm++; /* a VM that doesn't hold the pool */
	other = (vm + 1) % 3;
	began = now_ms();
	if (has_trouble()) {
		note("VM %d freezes (it doesn't hold the pool)", vm);
		kill(entries[vm], SIGSTOP);
	}
	r = call(frontends[vm], "POST", "/spot/00000000000000dd", KEY,
		 "{\"Spec\":\"run_ms=20000\",\"Steps\":[" STEP "]}", LEAVES_MS);
	note("client: POST at VM %d -> %d; the client leaves", vm, r.code);
	r = cancel(other, "/spot/00000000000000dd");
	acked = now_ms();
	if (r.code != 200 && r.code != 410)
		finish(2);
	while (now_ms() < acked + 15000) {
		if (has_trouble() && now_ms() >= began + FREEZE_MS) {
			kill(entries[vm], SIGCONT);
			if (!seen++)
				note("VM %d wakes", vm);
		}
		if (!started && workers_starts("00000000000000dd.")) {
			started = now_ms();
			note("the job's work unit is started %lld ms after the "
			     "acknowledgement of the cancel",
			     (long long)(started - acked));
		}
		sleep_ms(5);
	}
	r = get(other, "/spot/00000000000000dd");
	note("15 s after the acknowledgement: GET -> %d %s; its work unit %s",
	     r.code, r.body,
	     workers_run("00000000000000dd.") ? "runs" : "doesn't run");
	finish(started > acked + CANCEL_MS || workers_run("00000000000000dd.")
		       ? 1
		       : 0);
}

/* ----------------------------------------------------- delegated-twice --- */

#define WHOLE_JOBS 40
#define RESTARTS 25 /* of 128, as the site's share of 0.2 */

/*
 * A VM that passes orders on to runners freezes. Its orders are given another
 * way; runners that have carried them out restart. When the VM wakes, it gives
 * the old orders again.
 */
static void delegated_twice(void)
{
	static const char body[] =
		"{\"Spec\":\"run_ms=300\",\"Steps\":[{\"Count\":1,"
		"\"Cpu\":64000,\"MemMb\":1000,\"Gpu\":8,\"EstimateMs\":300}]}";
	int64_t frozen_ms, woken_ms = 0, end_ms;
	int holder = 0, frozen, other, n;
	char path[64];

	store_start();
	put_config(1, NULL, NULL);
	workers_start(128);
	entries_start(3);
	sleep_ms(8000);
	while (holder < 2 && !log_count(holder, "event=lease_acquired"))
		holder++;
	frozen = (holder + 1) % 3;
	other = (holder + 2) % 3;
	frozen_ms = now_ms();
	if (has_trouble()) {
		note("VM %d freezes; VM %d holds the pool", frozen, holder);
		kill(entries[frozen], SIGSTOP);
	}
	for (int i = 0; i < WHOLE_JOBS; i++) {
		snprintf(path, sizeof(path), "/spot/%016x", 0xf000 + i);
		if (submit(other, path, body).code != 200)
			finish(2);
	}
	while (now_ms() < frozen_ms + 3200)
		sleep_ms(5);
	note("%d of %d work units have ended done",
	     workers_ends("000000000000f"), WHOLE_JOBS);
	n = workers_restart("000000000000f", RESTARTS);
	note("%d runners restart under the ids that they had", n);
	end_ms = now_ms() + 10000;
	while (now_ms() < end_ms) {
		if (has_trouble() && !woken_ms &&
		    now_ms() >= frozen_ms + FREEZE_MS) {
			kill(entries[frozen], SIGCONT);
			woken_ms = now_ms();
			note("VM %d wakes", frozen);
		}
		sleep_ms(10);
	}
	n = workers_starts_after_end("000000000000f");
	note("%d starts, %d ends done of %d work units; %d starts came after "
	     "an "
	     "end that had been taken note of",
	     workers_starts("000000000000f"), workers_ends("000000000000f"),
	     WHOLE_JOBS, n);
	finish(n ? 1 : workers_ends("000000000000f") < WHOLE_JOBS ? 2 : 0);
}

/* ------------------------------------------------------------ long-job --- */

/*
 * A work unit of ten minutes reports its progress in whole percent, one each
 * six seconds. It counts as stalled and is stopped again and again.
 */
static void long_job(void)
{
	int run_ms = has_trouble() ? 600000 : 60000;
	int64_t idle_since = 0, longest = 0, end_ms;
	char body[300];

	store_start();
	put_config(1, NULL, NULL);
	workers_start(9);
	entries_start(2);
	sleep_ms(2000);
	snprintf(body, sizeof(body),
		 "{\"Spec\":\"run_ms=%d\",\"Steps\":[{\"Count\":1,\"Cpu\":500,"
		 "\"MemMb\":100,\"EstimateMs\":%d,\"Requirements\":\"b\"}]}",
		 run_ms, run_ms);
	note("a job of one work unit of %d s; one of the 9 runners has the "
	     "label that it needs",
	     run_ms / 1000);
	if (submit(0, "/spot/00000000000000ee", body).code != 200)
		finish(2);
	note("end of the traffic");
	sleep_ms(14000); /* finish_s */
	end_ms = now_ms() + 60000;
	while (now_ms() < end_ms && !workers_ends("00000000000000ee.")) {
		if (workers_run("00000000000000ee."))
			idle_since = 0;
		else if (!idle_since)
			idle_since = now_ms();
		if (idle_since && now_ms() - idle_since > longest)
			longest = now_ms() - idle_since;
		sleep_ms(20);
	}
	note("%d starts, %d ends done; from finish_s on the longest time "
	     "without "
	     "a run was %lld ms; the runner was idle meanwhile",
	     workers_starts("00000000000000ee."),
	     workers_ends("00000000000000ee."), (long long)longest);
	finish(longest >= 3000				  ? 1
	       : workers_starts("00000000000000ee.") != 1 ? 2
							  : 0);
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*fn)(void);
	} cases[] = {
		{ "outgrown-row", outgrown_row },
		{ "reserved-rack", reserved_rack },
		{ "refused-then-run", refused_then_run },
		{ "cancelled-then-run", cancelled_then_run },
		{ "delegated-twice", delegated_twice },
		{ "long-job", long_job },
		{ "other-service", other_service },
		{ "not-counted", not_counted },
		{ "late-queue-row", late_queue_row },
		{ "hopeless-job", hopeless_job },
	};

	for (size_t i = 0; argc == 2 && i < sizeof(cases) / sizeof(*cases);
	     i++) {
		if (!strcmp(argv[1], cases[i].name))
			cases[i].fn();
	}
	fprintf(stderr, "usage: review-case NAME\n");
	return 2;
}
