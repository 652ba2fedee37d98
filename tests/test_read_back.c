#include <glib.h>
#include <string.h>

#include "config/config_acceptance.h"
#include "daemon/job_row_writer.h"
#include "tests/platform_fixture.h"

#define OURS "ours"
#define OTHERS "others"
#define SEEDS 20000
#define MAX_STEPS 60

/* Of the reads in a store in trouble, one in so many is answered. */
#define TROUBLED_READS 40
#define READS 3

/*
 * The acceptance of a configuration against a model of the store: a row, writes
 * under way that may land late or never, answers that may be lost, and another
 * writer.
 */
struct model {
	GRand *rng;
	GString *trace;
	int64_t version;
	struct config_head head;
	guint our_effects;
	guint under_way; /* our writes that may still land */
	gboolean is_troubled;
	struct config_acceptance acceptance;
};

static void note(struct model *m, const char *event)
{
	g_string_append_printf(m->trace, "%s ", event);
}

static void put_head(struct model *m, const char *commit_id)
{
	struct config_head next = { 0 };

	config_head_next(&m->head, "operator", commit_id, &next);
	config_head_clear(&m->head);
	m->head = next;
	m->version++;
}

static gboolean land(struct model *m)
{
	if (m->version != m->acceptance.expected_row_version)
		return FALSE;
	put_head(m, OURS);
	m->our_effects++;
	note(m, "landed");
	return TRUE;
}

/* What may happen at the store while nobody looks. */
static void model_drift(struct model *m)
{
	if (m->under_way && g_rand_int_range(m->rng, 0, 3) == 0) {
		m->under_way--;
		land(m);
	}
	if (g_rand_int_range(m->rng, 0, 8) == 0) {
		put_head(m, OTHERS);
		note(m, "other");
	}
}

static enum status model_commit(struct model *m)
{
	switch (g_rand_int_range(m->rng, 0, 5)) {
	case 0: /* delayed */
		m->under_way++;
		note(m, "commit-delayed");
		return STATUS_UNKNOWN;
	case 1: /* answer lost */
		note(m, "commit-lost-answer");
		land(m);
		return STATUS_UNKNOWN;
	case 2: /* never arrives */
		note(m, "commit-lost");
		return STATUS_UNKNOWN;
	case 3:
		note(m, "commit-refused");
		return STATUS_UNAVAILABLE;
	default:
		note(m, "commit");
		return land(m) ? STATUS_OK : STATUS_CONFLICT;
	}
}

static gboolean is_read_answered(struct model *m)
{
	if (m->is_troubled && m->acceptance.call == ACCEPTANCE_READ_BACK)
		return g_rand_int_range(m->rng, 0, TROUBLED_READS) == 0;
	return g_rand_int_range(m->rng, 0, READS) != 0;
}

static void model_read(struct model *m)
{
	static const struct config_head none;

	if (!is_read_answered(m)) {
		note(m, "read-failed");
		config_acceptance_on_read(&m->acceptance, STATUS_UNAVAILABLE,
					  TABLE_ABSENT, &none);
		return;
	}
	note(m, "read");
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

static gboolean outcome_is_good(struct model *m)
{
	enum acceptance_outcome outcome = m->acceptance.outcome;
	guint effects_then = m->our_effects;
	gboolean is_good = TRUE;

	while (m->under_way) {
		m->under_way--;
		land(m);
	}
	is_good &= m->our_effects <= 1;
	if (outcome == ACCEPTANCE_ACCEPTED)
		is_good &= effects_then == 1;
	if (outcome == ACCEPTANCE_UNAVAILABLE || outcome == ACCEPTANCE_CONFLICT)
		is_good &= m->our_effects == 0;
	return is_good;
}

static enum acceptance_outcome run_model(guint32 seed)
{
	struct model m = { .rng = g_rand_new_with_seed(seed),
			   .trace = g_string_new(NULL) };
	enum acceptance_outcome outcome;

	if (g_rand_boolean(m.rng))
		put_head(&m, OTHERS);
	m.is_troubled = g_rand_boolean(m.rng);
	config_acceptance_init(&m.acceptance, m.head.version, "operator", OURS,
			       FALSE);
	for (int i = 0;
	     i < MAX_STEPS && m.acceptance.call != ACCEPTANCE_FINISHED; i++) {
		model_drift(&m);
		model_call(&m);
	}
	outcome = m.acceptance.outcome;
	if (outcome == ACCEPTANCE_PENDING || !outcome_is_good(&m))
		g_error("seed %u ends %d: %s", seed, outcome, m.trace->str);
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

/* The row of a job over the real client and the platform's stand-in. */
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

/* Reads the row that the case leaves. */
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

/* One version of the row was ever made, by whom the case says. */
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

struct trouble_case {
	const char *path;
	const char *trouble;
	const char *first;   /* account of a writer before, or NULL */
	const char *row;     /* account of the row in the end, or NULL */
	int64_t recovery_ms; /* until the platform is well again */
	enum row_outcome outcome;
};

static const struct trouble_case trouble_cases[] = {
	{ "/read-back/well", "{}", NULL, OURS, 0, ROW_WRITTEN },
	{ "/read-back/lost-answer", "{\"lose_answers\":1}", NULL, OURS, 0,
	  ROW_WRITTEN },
	{ "/read-back/other-first", "{}", OTHERS, OTHERS, 0, ROW_OTHER },
	{ "/read-back/same-first", "{}", OURS, OURS, 0, ROW_SAME },
	{ "/read-back/down-a-while", "{\"mode\":\"down\"}", NULL, OURS, 200,
	  ROW_WRITTEN },
	{ "/read-back/late-write", "{\"mode\":\"slow\",\"slow_ms\":400}", NULL,
	  OURS, 350, ROW_WRITTEN },
	{ "/read-back/down-for-long", "{\"mode\":\"down\"}", NULL, NULL, 60000,
	  ROW_UNKNOWN },
};

static void test_trouble(struct platform_fixture *f, gconstpointer data)
{
	const struct trouble_case *tc = data;
	struct outcome first = { 0 };
	struct outcome o = { 0 };

	if (tc->first) {
		start(f, tc->first, &first);
		g_assert_true(
			cluster_wait(is_done, &first, CLUSTER_CALL_TIMEOUT_MS));
	}
	cluster_control(f->cluster, f->address, tc->trouble);
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
	for (guint i = 0; i < G_N_ELEMENTS(trouble_cases); i++)
		g_test_add(trouble_cases[i].path, struct platform_fixture,
			   &trouble_cases[i], platform_fixture_set_up,
			   test_trouble, platform_fixture_tear_down);
	g_test_add("/read-back/cancel", struct platform_fixture, NULL,
		   platform_fixture_set_up, test_cancel,
		   platform_fixture_tear_down);
	return g_test_run();
}
