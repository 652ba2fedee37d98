#include <glib.h>
#include <string.h>

#include "base/util.h"
#include "platform/resolved_commit.h"
#include "tests/platform_fixture.h"

#define OURS "ours"
#define OTHERS "others"
#define SEEDS 20000
#define MAX_STEPS 60

/*
 * The decision against a model of the store: a row, writes under way that may
 * land late or never, answers that may be lost, and another writer.
 */
struct model {
	GRand *rng;
	GString *trace;
	int64_t version;
	char holder; /* '-' nobody, 'u' us, 'o' another */
	guint our_effects;
	guint under_way; /* our writes that may still land */
	int64_t expected;
};

static void note(struct model *m, const char *event)
{
	g_string_append_printf(m->trace, "%s ", event);
}

static gboolean land(struct model *m)
{
	if (m->version != m->expected)
		return FALSE;
	m->version++;
	m->holder = 'u';
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
		m->version++;
		m->holder = 'o';
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

static enum read_back_action model_read(struct model *m, struct read_back *r)
{
	if (g_rand_int_range(m->rng, 0, 3) == 0) {
		note(m, "read-failed");
		return read_back_on_read(r, STATUS_UNAVAILABLE, 0, NULL);
	}
	note(m, "read");
	if (!m->version)
		return read_back_on_read(r, STATUS_NOT_FOUND, 0, NULL);
	return read_back_on_read(r, STATUS_OK, m->version,
				 m->holder == 'u' ? OURS : OTHERS);
}

static gboolean outcome_is_good(struct model *m, const struct read_back *r)
{
	guint effects_then = m->our_effects;
	gboolean is_good = TRUE;

	while (m->under_way) {
		m->under_way--;
		land(m);
	}
	is_good &= m->our_effects <= 1;
	if (r->status == STATUS_OK)
		is_good &= effects_then == 1;
	if (r->status == STATUS_UNAVAILABLE)
		is_good &= m->our_effects == 0;
	if (r->status == STATUS_CONFLICT)
		is_good &= m->our_effects == effects_then;
	if (r->status == STATUS_CONFLICT && !r->may_have_been_in_force)
		is_good &= m->our_effects == 0;
	return is_good;
}

static enum status run_model(guint32 seed)
{
	struct model m = { .rng = g_rand_new_with_seed(seed),
			   .trace = g_string_new(NULL),
			   .holder = '-' };
	enum read_back_action next = READ_BACK_COMMIT;
	struct read_back r;

	if (g_rand_boolean(m.rng)) {
		m.version = 7;
		m.holder = 'o';
	}
	m.expected = m.version;
	read_back_init(&r, OURS, m.expected, 3, 8);
	for (int i = 0; i < MAX_STEPS && next != READ_BACK_DONE; i++) {
		model_drift(&m);
		next = next == READ_BACK_COMMIT
			       ? read_back_on_commit(&r, model_commit(&m))
			       : model_read(&m, &r);
	}
	if (next != READ_BACK_DONE || !outcome_is_good(&m, &r))
		g_error("seed %u ends %s: %s", seed, status_name(r.status),
			m.trace->str);
	g_string_free(m.trace, TRUE);
	g_rand_free(m.rng);
	return r.status;
}

static void test_interleavings(void)
{
	guint seen[STATUS_COUNT] = { 0 };

	for (guint32 seed = 1; seed <= SEEDS; seed++)
		seen[run_model(seed)]++;
	g_assert_cmpuint(seen[STATUS_OK], >, 0);
	g_assert_cmpuint(seen[STATUS_CONFLICT], >, 0);
	g_assert_cmpuint(seen[STATUS_UNKNOWN], >, 0);
	g_assert_cmpuint(seen[STATUS_UNAVAILABLE], >, 0);
}

/* The same over the real client and the platform's stand-in. */
struct outcome {
	gboolean is_done;
	enum status status;
	gboolean may_have;
	char *row_id; /* commit id of the row that decided */
};

static void on_outcome(const struct platform_result *r, gboolean may_have,
		       void *data)
{
	struct outcome *o = data;
	json_object *id = NULL;

	o->is_done = TRUE;
	o->status = r->status;
	o->may_have = may_have;
	if (r->row_count && r->rows[0].value)
		id = json_object_object_get(r->rows[0].value, COMMIT_ID_MEMBER);
	o->row_id = g_strdup(id ? json_object_get_string(id) : "");
}

static gboolean is_done(void *data)
{
	return ((struct outcome *)data)->is_done;
}

static json_object *value_of(const char *commit_id)
{
	json_object *value = json_object_new_object();

	json_object_object_add(value, COMMIT_ID_MEMBER,
			       json_object_new_string(commit_id));
	return value;
}

static struct resolved_commit *start(struct platform_fixture *f,
				     const char *commit_id, struct outcome *o)
{
	json_object *value = value_of(commit_id);
	struct table_write w = { "t", "a", TABLE_ABSENT, value };
	struct resolved_commit *c;

	c = platform_commit_resolved(f->platform, &w, 1, on_outcome, o);
	json_object_put(value);
	return c;
}

struct trouble_case {
	const char *path;
	const char *trouble;
	const char *row_id;  /* of the row that decided */
	int64_t recovery_ms; /* until the platform is well again */
	enum status status;
	gboolean other_first; /* another writer has the row already */
};

static const struct trouble_case trouble_cases[] = {
	{ "/read-back/well", "{}", "", 0, STATUS_OK, FALSE },
	{ "/read-back/lost-answer", "{\"lose_answers\":1}", OURS, 0, STATUS_OK,
	  FALSE },
	{ "/read-back/other-first", "{}", OTHERS, 0, STATUS_CONFLICT, TRUE },
	{ "/read-back/down-a-while", "{\"mode\":\"down\"}", "", 200, STATUS_OK,
	  FALSE },
	{ "/read-back/late-write", "{\"mode\":\"slow\",\"slow_ms\":400}", OURS,
	  350, STATUS_OK, FALSE },
	{ "/read-back/down-for-long", "{\"mode\":\"down\"}", "", 60000,
	  STATUS_UNKNOWN, FALSE },
};

static void test_trouble(struct platform_fixture *f, gconstpointer data)
{
	const struct trouble_case *tc = data;
	struct outcome other = { 0 };
	struct outcome o = { 0 };

	if (tc->other_first) {
		start(f, OTHERS, &other);
		g_assert_true(
			cluster_wait(is_done, &other, CLUSTER_CALL_TIMEOUT_MS));
	}
	cluster_control(f->cluster, f->address, tc->trouble);
	start(f, OURS, &o);
	if (!cluster_wait(is_done, &o, MIN(tc->recovery_ms, 10000)))
		cluster_control(f->cluster, f->address, "{\"mode\":\"ok\"}");
	g_assert_true(cluster_wait(is_done, &o, CLUSTER_CALL_TIMEOUT_MS));
	g_assert_cmpint(o.status, ==, tc->status);
	if (tc->row_id[0])
		g_assert_cmpstr(o.row_id, ==, tc->row_id);
	g_free(other.row_id);
	g_free(o.row_id);
}

static void test_cancel(struct platform_fixture *f, gconstpointer data)
{
	json_object *value = json_object_new_object();
	struct table_write w = { "t", "a", TABLE_ABSENT, value };
	struct outcome o = { 0 };

	g_assert_null(platform_commit_resolved(f->platform, &w, 1, on_outcome,
					       &o)); /* no commit id */
	resolved_commit_cancel(start(f, OURS, &o));
	cluster_sleep(100);
	g_assert_false(o.is_done);
	json_object_put(value);
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
