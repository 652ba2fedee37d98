#include <glib.h>
#include <string.h>

#include "base/util.h"
#include "tests/platform_fixture.h"

/* Copy of the result of a call. */
struct outcome {
	gboolean is_done;
	enum status status;
	guint row_count;
	int64_t version; /* of the first row */
	char *text;	 /* rows as "KEY=VALUE ", the object, the body or the
			    conflicting key */
};

static void on_result(const struct platform_result *r, void *data)
{
	struct outcome *o = data;
	GString *text = g_string_new(NULL);

	g_assert_false(o->is_done);
	o->is_done = TRUE;
	o->status = r->status;
	o->row_count = r->row_count;
	o->version = r->row_count ? r->rows[0].version : 0;
	for (guint i = 0; i < r->row_count; i++) {
		g_string_append(text, r->rows[i].key);
		if (r->rows[i].value)
			g_string_append_printf(
				text, "=%s",
				json_object_get_string(r->rows[i].value));
		g_string_append_c(text, ' ');
	}
	if (r->object)
		g_string_append(text,
				json_object_to_json_string_ext(
					r->object, JSON_C_TO_STRING_PLAIN));
	if (r->bytes)
		g_string_append_len(text, g_bytes_get_data(r->bytes, NULL),
				    (gssize)g_bytes_get_size(r->bytes));
	if (r->conflict_key)
		g_string_append(text, r->conflict_key);
	o->text = g_string_free(text, FALSE);
}

static gboolean is_done(void *data)
{
	return ((struct outcome *)data)->is_done;
}

static void wait_for(struct outcome *o)
{
	g_assert_false(o->is_done); /* a callback never runs within the call */
	g_assert_true(cluster_wait(is_done, o, CLUSTER_CALL_TIMEOUT_MS));
}

static struct outcome commit(struct platform_fixture *f,
			     const struct table_write *w, guint count)
{
	struct outcome o = { 0 };

	platform_commit(f->platform, w, count, on_result, &o);
	wait_for(&o);
	return o;
}

static enum status put(struct platform_fixture *f, const char *key,
		       int64_t expected, const char *value, int64_t *version)
{
	json_object *json = value ? json_object_new_string(value) : NULL;
	struct table_write w = { .table = "t",
				 .key = key,
				 .expected_version = expected,
				 .value = json };
	struct outcome o = commit(f, &w, 1);

	json_object_put(json);
	g_free(o.text);
	if (version)
		*version = o.version;
	return o.status;
}

static struct outcome get(struct platform_fixture *f, const char *key)
{
	struct outcome o = { 0 };

	platform_read(f->platform, "t", key, on_result, &o);
	wait_for(&o);
	return o;
}

static void assert_row(struct platform_fixture *f, const char *key,
		       const char *text)
{
	struct outcome o = get(f, key);

	g_assert_cmpint(o.status, ==, text ? STATUS_OK : STATUS_NOT_FOUND);
	if (text)
		g_assert_cmpstr(o.text, ==, text);
	g_free(o.text);
}

/* Which version a write expects its row to have. */
enum expected {
	EXPECT_ABSENT,
	EXPECT_UNUSED, /* a version that no write returned */
	EXPECT_FIRST,  /* version of the first write */
	EXPECT_LAST,   /* version of the last write */
};

static const struct {
	enum expected expected;
	enum status status;
	const char *value;
	const char *row; /* row after the write, NULL if absent */
} set_cases[] = {
	{ EXPECT_UNUSED, STATUS_CONFLICT, "x", NULL },
	{ EXPECT_ABSENT, STATUS_OK, "x", "a/b c=x " },
	{ EXPECT_ABSENT, STATUS_CONFLICT, "y", "a/b c=x " },
	{ EXPECT_FIRST, STATUS_OK, "y", "a/b c=y " },
	{ EXPECT_FIRST, STATUS_CONFLICT, NULL, "a/b c=y " },
	{ EXPECT_LAST, STATUS_OK, NULL, NULL },
	{ EXPECT_LAST, STATUS_CONFLICT, "z", NULL },
	{ EXPECT_ABSENT, STATUS_OK, "z", "a/b c=z " },
	{ EXPECT_FIRST, STATUS_CONFLICT, "y", "a/b c=z " },
};

static void test_compare_and_set(struct platform_fixture *f, gconstpointer data)
{
	int64_t versions[] = { [EXPECT_ABSENT] = 0, [EXPECT_UNUSED] = 5, 0, 0 };

	for (guint i = 0; i < G_N_ELEMENTS(set_cases); i++) {
		int64_t version = 0;

		g_assert_cmpint(put(f, "a/b c", versions[set_cases[i].expected],
				    set_cases[i].value, &version),
				==, set_cases[i].status);
		assert_row(f, "a/b c", set_cases[i].row);
		if (set_cases[i].status != STATUS_OK)
			continue;
		g_assert_cmpint(version, >, versions[EXPECT_LAST]);
		versions[EXPECT_LAST] = version;
		if (!versions[EXPECT_FIRST])
			versions[EXPECT_FIRST] = version;
	}
}

static void test_all_or_nothing(struct platform_fixture *f, gconstpointer data)
{
	json_object *json = json_object_new_string("v");
	struct table_write bad[] = { { .table = "t",
				       .key = "a",
				       .expected_version = 0,
				       .value = json },
				     { .table = "u",
				       .key = "b",
				       .expected_version = 9,
				       .value = json } };
	struct table_write good[] = { { .table = "t",
					.key = "a",
					.expected_version = 0,
					.value = json },
				      { .table = "u",
					.key = "b",
					.expected_version = 0,
					.value = json } };
	struct outcome o = commit(f, bad, 2);

	g_assert_cmpint(o.status, ==, STATUS_CONFLICT);
	g_assert_cmpstr(o.text, ==, "b");
	g_free(o.text);
	assert_row(f, "a", NULL);
	o = commit(f, good, 2);
	g_assert_cmpint(o.status, ==, STATUS_OK);
	g_assert_cmpuint(o.row_count, ==, 2);
	g_free(o.text);
	assert_row(f, "a", "a=v ");
	json_object_put(json);
}

static void test_scan(struct platform_fixture *f, gconstpointer data)
{
	struct outcome o = { 0 };

	put(f, "p/2", 0, "2", NULL);
	put(f, "p/1", 0, "1", NULL);
	put(f, "q/1", 0, "3", NULL);
	platform_scan(f->platform, "t", "p/", on_result, &o);
	wait_for(&o);
	g_assert_cmpstr(o.text, ==, "p/1=1 p/2=2 ");
	g_free(o.text);
}

static void test_objects(struct platform_fixture *f, gconstpointer data)
{
	json_object *json = json_object_new_string("v");
	struct outcome o = { 0 };
	struct outcome missing = { 0 };

	platform_object_put(f->platform, "a/b", json, on_result, &o);
	wait_for(&o);
	g_free(o.text);
	o.is_done = FALSE;
	platform_object_get(f->platform, "a/b", on_result, &o);
	platform_object_get(f->platform, "c", on_result, &missing);
	wait_for(&o);
	g_assert_cmpstr(o.text, ==, "\"v\"");
	if (!missing.is_done)
		wait_for(&missing);
	g_assert_cmpint(missing.status, ==, STATUS_NOT_FOUND);
	g_free(o.text);
	g_free(missing.text);
	json_object_put(json);
}

static void test_vm_list(struct platform_fixture *f, gconstpointer data)
{
	const struct vm_list_query query = { NULL, NULL };
	struct outcome o = { 0 };

	cluster_control(f->cluster, f->address,
			"{\"add_vms\":[{\"vm\":\"w1\"}]}");
	platform_vm_list(f->platform, &query, on_result, &o);
	wait_for(&o);
	g_assert_cmpstr(o.text, ==, "{\"vms\":[{\"vm\":\"w1\"}]}");
	g_free(o.text);
}

/*
 * Results of calls during a fault of the platform, and whether the write took
 * effect.
 */
struct platform_fault_case {
	const char *path;
	const char *fault;    /* body of the /control call */
	const char *recovery; /* body of the /control call that ends it */
	enum status write;
	enum status read;
	gboolean has_effect; /* the row exists after the recovery */
};

static const struct platform_fault_case platform_fault_cases[] = {
	{ "/platform/down", "{\"mode\":\"down\"}", "{\"mode\":\"ok\"}",
	  STATUS_UNKNOWN, STATUS_UNAVAILABLE, FALSE },
	{ "/platform/cut", "{\"cut\":[\"tov-a\",\"tov-b\"]}", "{\"cut\":[]}",
	  STATUS_UNKNOWN, STATUS_UNAVAILABLE, FALSE },
	{ "/platform/cut-other", "{\"cut\":[\"tov-b\"]}", "{\"cut\":[]}",
	  STATUS_OK, STATUS_OK, TRUE },
	{ "/platform/slow", "{\"mode\":\"slow\",\"slow_ms\":50}",
	  "{\"mode\":\"ok\"}", STATUS_OK, STATUS_OK, TRUE },
	{ "/platform/too-slow", "{\"mode\":\"slow\",\"slow_ms\":600}",
	  "{\"mode\":\"ok\"}", STATUS_UNKNOWN, STATUS_UNAVAILABLE, TRUE },
	{ "/platform/lost-answer", "{\"lose_answers\":1}", "{}", STATUS_UNKNOWN,
	  STATUS_OK, TRUE },
	{ "/platform/lost-answer-of-table",
	  "{\"lose_answers\":1,\"lose_table\":\"t\"}", "{}", STATUS_UNKNOWN,
	  STATUS_OK, TRUE },
	{ "/platform/lost-answer-of-other-table",
	  "{\"lose_answers\":1,\"lose_table\":\"u\"}", "{}", STATUS_OK,
	  STATUS_OK, TRUE },
};

static void test_platform_fault(struct platform_fixture *f, gconstpointer data)
{
	const struct platform_fault_case *tc = data;
	struct outcome o;

	g_assert_cmpint(put(f, "before", 0, "x", NULL), ==, STATUS_OK);
	cluster_control(f->cluster, f->address, tc->fault);
	g_assert_cmpint(put(f, "a", 0, "v", NULL), ==, tc->write);
	o = get(f, "before");
	g_assert_cmpint(o.status, ==, tc->read);
	g_free(o.text);
	cluster_control(f->cluster, f->address, tc->recovery);
	/* A delayed write may still be applied. */
	cluster_sleep(2 * PLATFORM_FIXTURE_TIMEOUT_MS);
	assert_row(f, "a", tc->has_effect ? "a=v " : NULL);
}

static void test_connection_refused(struct platform_fixture *f,
				    gconstpointer data)
{
	char *address = cluster_reserve_address();
	struct platform_spec spec = { .kind = "http",
				      .address = address,
				      .failure_domain = "tov-a",
				      .timeout_ms = PLATFORM_FIXTURE_TIMEOUT_MS,
				      .counters = &f->counters };
	struct platform *kept = f->platform;

	f->platform = platform_new(&spec);
	g_assert_cmpint(put(f, "a", 0, "v", NULL), ==, STATUS_UNAVAILABLE);
	platform_free(f->platform);
	spec.kind = "none";
	g_assert_null(platform_new(&spec));
	f->platform = kept;
	g_free(address);
}

static void test_forget(struct platform_fixture *f, gconstpointer data)
{
	struct outcome forgotten = { 0 };
	struct outcome kept = { 0 };

	platform_read(f->platform, "t", "a", on_result, &forgotten);
	platform_read(f->platform, "t", "a", on_result, &kept);
	platform_forget(f->platform, &forgotten);
	wait_for(&kept);
	cluster_sleep(50);
	g_assert_false(forgotten.is_done);
	g_free(kept.text);
}

static int64_t counter_value(struct platform_fixture *f, const char *name)
{
	return counters_counter(&f->counters, name, "")->value;
}

static gboolean is_platform_reachable(void *data)
{
	struct outcome o = get(data, "a");

	g_free(o.text);
	return o.status == STATUS_NOT_FOUND;
}

/* After a few failures the breaker opens and only probes are sent. */
static void test_breaker(struct platform_fixture *f, gconstpointer data)
{
	int64_t sent;

	cluster_control(f->cluster, f->address, "{\"mode\":\"down\"}");
	for (int i = 0; i < 5; i++)
		g_assert_cmpint(put(f, "a", 0, "v", NULL), ==, STATUS_UNKNOWN);
	sent = counter_value(f, "cs_platform_writes_total");
	for (int i = 0; i < 20; i++)
		g_assert_cmpint(put(f, "a", 0, "v", NULL), ==,
				STATUS_UNAVAILABLE);
	g_assert_cmpint(counter_value(f, "cs_platform_writes_total"), ==, sent);
	g_assert_cmpint(counter_value(f, "cs_platform_openings_total"), ==, 1);
	cluster_control(f->cluster, f->address, "{\"mode\":\"ok\"}");
	g_assert_true(cluster_wait(is_platform_reachable, f, 3000));
	g_assert_cmpint(put(f, "a", 0, "v", NULL), ==, STATUS_OK);
}

struct burst {
	guint replies;
	guint succeeded;
	guint unavailable;
};

static void on_burst_result(const struct platform_result *r, void *data)
{
	struct burst *b = data;

	b->replies++;
	b->succeeded += r->status == STATUS_OK;
	b->unavailable += r->status == STATUS_UNAVAILABLE;
}

#define BURST_WRITES 400
#define BUDGET_PER_S 100     /* write rate, also the burst size */
#define BUDGET_UNRESERVED 75 /* the rest is reserved for leases and claims */

static gboolean burst_is_over(void *data)
{
	return ((struct burst *)data)->replies == BURST_WRITES;
}

/* Sends more writes than the budget allows and waits for all results. */
static void send_burst(struct platform_fixture *f, struct burst *b)
{
	json_object *json = json_object_new_string("v");

	for (int i = 0; i < BURST_WRITES; i++) {
		char *key = g_strdup_printf("k%d", i);
		struct table_write w = { .table = "t",
					 .key = key,
					 .expected_version = 0,
					 .value = json };

		platform_commit(f->platform, &w, 1, on_burst_result, b);
		g_free(key);
	}
	g_assert_true(cluster_wait(burst_is_over, b, CLUSTER_CALL_TIMEOUT_MS));
	json_object_put(json);
}

/* Returns the platform's number of commits. */
static int64_t count_commits(struct platform_fixture *f)
{
	struct cluster_reply r =
		cluster_call(f->cluster, "GET", f->address, "/control/writes",
			     NULL, NULL, CLUSTER_CALL_TIMEOUT_MS);
	int64_t commits = json_object_get_int64(
		json_object_object_get(r.body, "commits"));

	cluster_reply_clear(&r);
	return commits;
}

/* Writes beyond the budget fail as unavailable and are never sent. */
static void test_budget(struct platform_fixture *f, gconstpointer data)
{
	int64_t before = counter_value(f, "cs_platform_writes_total");
	int64_t since_ms = util_monotonic_ms();
	struct burst b = { 0 };
	int64_t commits;
	int64_t took_ms;
	int64_t sent;

	send_burst(f, &b);
	took_ms = util_monotonic_ms() - since_ms;
	sent = counter_value(f, "cs_platform_writes_total") - before;
	g_assert_cmpint(sent, >=, BUDGET_UNRESERVED);
	g_assert_cmpint(sent, <=,
			BUDGET_PER_S + 1 + took_ms * BUDGET_PER_S / MS_PER_S);
	g_assert_cmpint(b.unavailable, >=, BURST_WRITES - sent);
	commits = count_commits(f);
	g_assert_cmpint(commits, >=, b.succeeded);
	g_assert_cmpint(commits, <=, BURST_WRITES - b.unavailable);
}

static const struct {
	const char *path;
	void (*test)(struct platform_fixture *f, gconstpointer data);
} cases[] = {
	{ "/platform/breaker", test_breaker },
	{ "/platform/budget", test_budget },
	{ "/platform/compare-and-set", test_compare_and_set },
	{ "/platform/all-or-nothing", test_all_or_nothing },
	{ "/platform/scan", test_scan },
	{ "/platform/objects", test_objects },
	{ "/platform/vm-list", test_vm_list },
	{ "/platform/nothing-there", test_connection_refused },
	{ "/platform/forget", test_forget },
};

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add(cases[i].path, struct platform_fixture, NULL,
			   platform_fixture_set_up, cases[i].test,
			   platform_fixture_tear_down);
	for (guint i = 0; i < G_N_ELEMENTS(platform_fault_cases); i++)
		g_test_add(platform_fault_cases[i].path,
			   struct platform_fixture, &platform_fault_cases[i],
			   platform_fixture_set_up, test_platform_fault,
			   platform_fixture_tear_down);
	return g_test_run();
}
