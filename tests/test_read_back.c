#include <glib.h>
#include <string.h>

#include "config/config_acceptance.h"
#include "daemon/job_row_writer.h"
#include "tests/platform_fixture.h"

#define OURS "ours"
#define OTHERS "others"
#define SEEDS 20000
#define MAX_STEPS 60

/** With is_read_back_failing: one read-back in this many is answered. */
#define READ_BACKS_PER_ANSWER 40
/** Of all other reads, one in this many fails. */
#define READS_PER_FAILURE 3

/*
 * Runs the acceptance of a configuration against a model of the store: one row,
 * writes that may take effect late or never, answers that may be lost, and a
 * concurrent writer.
 */
struct model {
	GRand *rng;
	GString *trace;
	int64_t version;
	struct config_head head;
	guint our_commits;
	guint delayed_writes; /* our writes that may still take effect */
	gboolean is_read_back_failing;
	struct config_acceptance acceptance;
};

static void trace_event(struct model *m, const char *event)
{
	g_string_append_printf(m->trace, "%s ", event);
}

static void put_head(struct model *m, const char *commit_id)
{
	struct config_head next = { 0 };

	config_head_make_next(&m->head, "operator", commit_id, &next);
	config_head_clear(&m->head);
	m->head = next;
	m->version++;
}

static gboolean apply_write(struct model *m)
{
	if (m->version != m->acceptance.expected_row_version)
		return FALSE;
	put_head(m, OURS);
	m->our_commits++;
	trace_event(m, "applied");
	return TRUE;
}

/* Events at the store between two calls: a late write, another writer. */
static void model_run_background_events(struct model *m)
{
	if (m->delayed_writes && g_rand_int_range(m->rng, 0, 3) == 0) {
		m->delayed_writes--;
		apply_write(m);
	}
	if (g_rand_int_range(m->rng, 0, 8) == 0) {
		put_head(m, OTHERS);
		trace_event(m, "other");
	}
}

static enum status model_commit(struct model *m)
{
	switch (g_rand_int_range(m->rng, 0, 5)) {
	case 0: /* may take effect later */
		m->delayed_writes++;
		trace_event(m, "commit-delayed");
		return STATUS_UNKNOWN;
	case 1: /* answer lost */
		trace_event(m, "commit-lost-answer");
		apply_write(m);
		return STATUS_UNKNOWN;
	case 2: /* never arrives */
		trace_event(m, "commit-lost");
		return STATUS_UNKNOWN;
	case 3:
		trace_event(m, "commit-refused");
		return STATUS_UNAVAILABLE;
	default:
		trace_event(m, "commit");
		return apply_write(m) ? STATUS_OK : STATUS_CONFLICT;
	}
}

static gboolean is_read_answered(struct model *m)
{
	if (m->is_read_back_failing &&
	    m->acceptance.call == ACCEPTANCE_READ_BACK)
		return g_rand_int_range(m->rng, 0, READ_BACKS_PER_ANSWER) == 0;
	return g_rand_int_range(m->rng, 0, READS_PER_FAILURE) != 0;
}

static void model_read(struct model *m)
{
	static const struct config_head none;

	if (!is_read_answered(m)) {
		trace_event(m, "read-failed");
		config_acceptance_on_read(&m->acceptance, STATUS_UNAVAILABLE,
					  TABLE_ABSENT, &none);
		return;
	}
	trace_event(m, "read");
	config_acceptance_on_read(&m->acceptance,
				  m->version ? STATUS_OK : STATUS_NOT_FOUND,
				  m->version, &m->head);
}

static void model_call(struct model *m)
{
	if (m->acceptance.call == ACCEPTANCE_PUT_BODY)
		config_acceptance_on_put(&m->acceptance, STATUS_OK);
	else if (m->acceptance.call == ACCEPTANCE_COMMIT_HEAD)
		config_acceptance_on_commit(&m->acceptance, model_commit(m));
	else
		model_read(m);
}

static gboolean outcome_is_correct(struct model *m)
{
	enum acceptance_outcome outcome = m->acceptance.outcome;
	guint commits_at_outcome = m->our_commits;
	gboolean is_correct = TRUE;

	while (m->delayed_writes) {
		m->delayed_writes--;
		apply_write(m);
	}
	is_correct &= m->our_commits <= 1;
	if (outcome == ACCEPTANCE_ACCEPTED)
		is_correct &= commits_at_outcome == 1;
	if (outcome == ACCEPTANCE_UNAVAILABLE || outcome == ACCEPTANCE_CONFLICT)
		is_correct &= m->our_commits == 0;
	return is_correct;
}

static enum acceptance_outcome run_model(guint32 seed)
{
	struct model m = { .rng = g_rand_new_with_seed(seed),
			   .trace = g_string_new(NULL) };
	enum acceptance_outcome outcome;

	if (g_rand_boolean(m.rng))
		put_head(&m, OTHERS);
	m.is_read_back_failing = g_rand_boolean(m.rng);
	config_acceptance_init(&m.acceptance, m.head.version, "operator", OURS,
			       FALSE);
	for (int i = 0;
	     i < MAX_STEPS && m.acceptance.call != ACCEPTANCE_FINISHED; i++) {
		model_run_background_events(&m);
		model_call(&m);
	}
	outcome = m.acceptance.outcome;
	if (outcome == ACCEPTANCE_PENDING || !outcome_is_correct(&m))
		g_error("seed %u: missing or wrong outcome %d, events: %s",
			seed, outcome, m.trace->str);
	config_acceptance_clear(&m.acceptance);
	config_head_clear(&m.head);
	g_string_free(m.trace, TRUE);
	g_rand_free(m.rng);
	return outcome;
}

static void test_interleavings(void)
{
	guint seen[ACCEPTANCE_UNKNOWN + 1] = { 0 };

	for (guint32 seed = 1; seed <= SEEDS; seed++)
		seen[run_model(seed)]++;
	g_assert_cmpuint(seen[ACCEPTANCE_ACCEPTED], >, 0);
	g_assert_cmpuint(seen[ACCEPTANCE_CONFLICT], >, 0);
	g_assert_cmpuint(seen[ACCEPTANCE_UNKNOWN], >, 0);
	g_assert_cmpuint(seen[ACCEPTANCE_UNAVAILABLE], >, 0);
}

/* Result of writing a job's row by the real client to the platform stand-in. */
struct outcome {
	gboolean is_done;
	enum row_outcome row;
};

static void on_outcome(enum row_outcome row, void *data)
{
	struct outcome *o = data;

	o->is_done = TRUE;
	o->row = row;
}

static gboolean is_done(void *data)
{
	return ((struct outcome *)data)->is_done;
}

static struct job_row_writer *start(struct platform_fixture *f,
				    const char *account, struct outcome *o)
{
	struct job_record r = {
		.id = "j",
		.pool = "train.tov-a",
		.client_account = (char *)account,
		.family = "",
		.shape = { .members = 1, .cores = 1, .memory_mb = 1 },
		.run_ms = 1000,
		.reason = "",
	};

	return job_row_submit(f->platform, &r, on_outcome, o);
}

/* The job's row as read at the end of a case. */
struct row_seen {
	gboolean is_done;
	int64_t version;
	char *account;
};

static void on_row(const struct platform_result *result, void *data)
{
	struct row_seen *seen = data;
	json_object *account;

	seen->is_done = TRUE;
	if (result->status != STATUS_OK)
		return;
	account =
		json_object_object_get(result->rows[0].value, "client_account");
	seen->version = result->rows[0].version;
	seen->account = g_strdup(json_object_get_string(account));
}

static gboolean is_row_seen(void *data)
{
	return ((struct row_seen *)data)->is_done;
}

/* Checks that the row was written exactly once, by the given account. */
static void check_row(struct platform_fixture *f, const char *account)
{
	struct row_seen seen = { 0 };

	platform_read(f->platform, JOBS_TABLE, "train.tov-a/j", on_row, &seen);
	g_assert_true(
		cluster_wait(is_row_seen, &seen, CLUSTER_CALL_TIMEOUT_MS));
	g_assert_cmpint(seen.version, ==, 1);
	g_assert_cmpstr(seen.account, ==, account);
	g_free(seen.account);
}

struct fault_case {
	const char *path;
	const char *fault;
	const char *first;   /* account of an earlier writer, or NULL */
	const char *row;     /* account of the final row; NULL: not checked */
	int64_t recovery_ms; /* until the platform works again */
	enum row_outcome outcome;
};

static const struct fault_case fault_cases[] = {
	{ "/read-back/well", "{}", NULL, OURS, 0, ROW_WRITTEN },
	{ "/read-back/lost-answer", "{\"lose_answers\":1}", NULL, OURS, 0,
	  ROW_WRITTEN },
	{ "/read-back/other-first", "{}", OTHERS, OTHERS, 0, ROW_ID_TAKEN },
	{ "/read-back/same-first", "{}", OURS, OURS, 0, ROW_UNCHANGED },
	{ "/read-back/down-a-while", "{\"mode\":\"down\"}", NULL, OURS, 200,
	  ROW_WRITTEN },
	{ "/read-back/late-write", "{\"mode\":\"slow\",\"slow_ms\":400}", NULL,
	  OURS, 350, ROW_WRITTEN },
	{ "/read-back/down-for-long", "{\"mode\":\"down\"}", NULL, NULL, 60000,
	  ROW_UNKNOWN },
};

static void test_faults(struct platform_fixture *f, gconstpointer data)
{
	const struct fault_case *tc = data;
	struct outcome first = { 0 };
	struct outcome o = { 0 };

	if (tc->first) {
		start(f, tc->first, &first);
		g_assert_true(
			cluster_wait(is_done, &first, CLUSTER_CALL_TIMEOUT_MS));
	}
	cluster_control(f->cluster, f->address, tc->fault);
	start(f, OURS, &o);
	if (!cluster_wait(is_done, &o, MIN(tc->recovery_ms, 10000)))
		cluster_control(f->cluster, f->address, "{\"mode\":\"ok\"}");
	g_assert_true(cluster_wait(is_done, &o, CLUSTER_CALL_TIMEOUT_MS));
	g_assert_cmpint(o.row, ==, tc->outcome);
	if (tc->row)
		check_row(f, tc->row);
}

static void test_cancel(struct platform_fixture *f, gconstpointer data)
{
	struct outcome o = { 0 };

	job_row_writer_free(start(f, OURS, &o));
	cluster_sleep(100);
	g_assert_false(o.is_done);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/read-back/interleavings", test_interleavings);
	for (guint i = 0; i < G_N_ELEMENTS(fault_cases); i++)
		g_test_add(fault_cases[i].path, struct platform_fixture,
			   &fault_cases[i], platform_fixture_set_up,
			   test_faults, platform_fixture_tear_down);
	g_test_add("/read-back/cancel", struct platform_fixture, NULL,
		   platform_fixture_set_up, test_cancel,
		   platform_fixture_tear_down);
	return g_test_run();
}
