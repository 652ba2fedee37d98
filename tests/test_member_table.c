/*
 * Heartbeats among the members of one failure domain over links that lose
 * messages: size in the real encoding, recovery of lost changes, and failure
 * detection.
 */
#include <glib.h>

#include "link/frame.h"
#include "link/pack.h"
#include "shared/member_heartbeat.h"

#define MAX_MEMBERS 32
/** Limit for heartbeats sent and received by one of 16 processes, bytes/s. */
#define BYTES_AT_16 6000
/** Limit while a member is lost: half of the 24 KB/s of control traffic that a
 *  VM with two processes may cause. */
#define WORST_BYTES_AT_16 12288
/** Heartbeat rounds within which a lost change must arrive. */
#define RECOVERY_ROUNDS 4
#define ROUNDS 20

struct domain {
	guint count;
	guint sends;
	int64_t now_ms;
	struct link_identity identities[MAX_MEMBERS];
	struct member_table tables[MAX_MEMBERS];
	int64_t sent[MAX_MEMBERS][MAX_MEMBERS];	   /* [from][to]: last change */
	gboolean is_cut[MAX_MEMBERS][MAX_MEMBERS]; /* [from][to] */
	gsize bytes;				   /* sent in the last round */
};

static struct link_identity make_identity(const char *prefix, guint i,
					  const char *domain)
{
	return (struct link_identity){
		.node = g_strdup_printf("%s%02u", prefix, i),
		.incarnation = g_strdup("0123456789abcdef0123456789abcdef"),
		.vm = g_strdup_printf("vm%02u", i),
		.failure_domain = g_strdup(domain),
		.http = g_strdup_printf("10.0.0.%u:7000", i),
		.link = g_strdup_printf("10.0.0.%u:7001", i),
		.role = LINK_ROLE_GATEWAY,
	};
}

static struct domain *domain_new(guint count)
{
	struct domain *d = g_new0(struct domain, 1);

	d->count = count;
	for (guint i = 0; i < count; i++) {
		d->identities[i] = make_identity("tov-a-g", i, "tov-a");
		member_table_init(&d->tables[i], &d->identities[i],
				  INT64_C(1800000000000), 0);
	}
	return d;
}

static void domain_free(struct domain *d)
{
	for (guint i = 0; i < d->count; i++) {
		member_table_clear(&d->tables[i]);
		link_identity_clear(&d->identities[i]);
	}
	g_free(d);
}

/* Encodes and decodes a message; returns the size of its frame in bytes. */
static gsize transfer(struct heartbeat *h, struct heartbeat *out)
{
	json_object *sent = heartbeat_encode(h);
	GByteArray *packed = pack_encode(sent);
	json_object *got = pack_decode(packed->data, packed->len);
	gsize bytes = packed->len + FRAME_HEADER_BYTES;
	struct finding_list findings;

	finding_list_init(&findings);
	g_assert_true(schema_decode(&heartbeat_schema, got, out, "", NULL,
				    &findings));
	finding_list_clear(&findings);
	json_object_put(sent);
	json_object_put(got);
	g_byte_array_unref(packed);
	return bytes;
}

/* A cut link drops the message; as on a real link, it counts as sent. */
static void send(struct domain *d, guint from, guint to)
{
	struct member_table *t = &d->tables[from];
	gboolean is_full =
		member_heartbeat_needs_full(t, d->identities[to].node);
	struct heartbeat h = { 0 };
	struct heartbeat got = { 0 };

	member_heartbeat_fill(t, d->now_ms, is_full ? 0 : d->sent[from][to],
			      &d->identities[to], &h);
	d->sent[from][to] = t->changes;
	if (is_full)
		member_heartbeat_record_full(t, d->identities[to].node);
	d->bytes += transfer(&h, &got);
	if (!d->is_cut[from][to])
		member_table_on_heartbeat(&d->tables[to], d->now_ms,
					  &d->identities[from], &got);
	schema_clear(&heartbeat_schema, &h);
	schema_clear(&heartbeat_schema, &got);
}

/* Lets the next process send; their heartbeats are spread over the interval. */
static void send_next(struct domain *d)
{
	guint from = d->sends++ % d->count;

	for (guint to = 0; to < d->count; to++) {
		if (from != to)
			send(d, from, to);
	}
	d->now_ms += MEMBER_HEARTBEAT_MS / d->count;
	for (guint i = 0; i < d->count; i++)
		member_table_step(&d->tables[i], d->now_ms);
}

static void run_one_round(struct domain *d)
{
	d->bytes = 0;
	for (guint i = 0; i < d->count; i++)
		send_next(d);
}

static void run_rounds(struct domain *d, guint count)
{
	for (guint i = 0; i < count; i++)
		run_one_round(d);
}

static const struct member *member_seen_by(const struct domain *d, guint by,
					   guint node)
{
	return member_table_find(&d->tables[by], d->identities[node].node);
}

/* Returns the bytes/s that one process sends and receives without changes. */
static double measure_idle_bytes(guint count)
{
	struct domain *d = domain_new(count);
	double bytes;

	run_rounds(d, ROUNDS);
	bytes = 2.0 * (double)d->bytes / count;
	domain_free(d);
	return bytes;
}

/*
 * Traffic must grow no faster than the number of links: with twice the members
 * a process has (2n - 1) / (n - 1) times the links.
 */
static void test_bytes(void)
{
	static const guint counts[] = { 4, 8, 16 };

	g_assert_cmpfloat(measure_idle_bytes(16), <, BYTES_AT_16);
	for (guint i = 0; i < G_N_ELEMENTS(counts); i++) {
		guint n = counts[i];

		g_test_message("%u members: %.0f bytes/s", n,
			       measure_idle_bytes(n));
		g_assert_cmpfloat(measure_idle_bytes(2 * n) / (2 * n - 1), <=,
				  1.02 * measure_idle_bytes(n) / (n - 1));
	}
}

static void set_isolated(struct domain *d, guint node, gboolean is_cut)
{
	for (guint i = 0; i < d->count; i++) {
		d->is_cut[node][i] = is_cut;
		d->is_cut[i][node] = is_cut;
	}
}

/* Traffic must stay limited while a member is cut off from all and returns. */
static void test_worst_bytes(void)
{
	struct domain *d = domain_new(16);

	run_rounds(d, ROUNDS);
	for (guint i = 0; i < 2 * ROUNDS; i++) {
		set_isolated(d, 1, i < ROUNDS);
		run_one_round(d);
		g_test_message("round %u: %.0f bytes/s", i,
			       2.0 * (double)d->bytes / d->count);
		g_assert_cmpfloat(2.0 * (double)d->bytes / d->count, <,
				  WORST_BYTES_AT_16);
	}
	g_assert_cmpint(member_seen_by(d, 0, 1)->record.state, ==,
			MEMBER_ALIVE);
	domain_free(d);
}

/* A change that one member learns of while a link drops all messages. */
struct lost_case {
	const char *name;
	enum member_state state;
	int64_t generation;
	int64_t version;
};

static const struct lost_case lost_cases[] = {
	{ "a member of another domain is new", MEMBER_ALIVE, 5, 0 },
	{ "a member of another domain leaves", MEMBER_LEAVING, 1, 1 },
	{ "a member of another domain has died", MEMBER_DEAD, 1, 0 },
	{ "a member of another domain has another incarnation", MEMBER_ALIVE, 2,
	  0 },
	{ "a member of another domain has refuted", MEMBER_ALIVE, 1, 3 },
};

static void test_lost_change(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(lost_cases); i++) {
		const struct lost_case *c = &lost_cases[i];
		struct domain *d = domain_new(2);
		struct member_record remote = { .generation = 1 };
		const struct member *m;

		g_test_message("%s", c->name);
		remote.identity = make_identity("kess-b-g", i, "kess-b");
		if (c->generation < 5)
			member_table_merge(&d->tables[0], 0, &remote);
		run_rounds(d, ROUNDS);
		remote.state = c->state;
		remote.generation = c->generation;
		remote.state_version = c->version;
		member_table_merge(&d->tables[0], d->now_ms, &remote);
		d->is_cut[0][1] = TRUE;
		run_one_round(d);
		d->is_cut[0][1] = FALSE;
		run_rounds(d, RECOVERY_ROUNDS);
		m = member_table_find(&d->tables[1], remote.identity.node);
		g_assert_nonnull(m);
		g_assert_cmpint(m->record.state, ==, c->state);
		g_assert_cmpint(m->record.generation, ==, c->generation);
		g_assert_cmpint(m->record.state_version, ==, c->version);
		member_record_clear(&remote);
		domain_free(d);
	}
}

/* After a partition heals, both sides must see all members alive again. */
static void test_partition(void)
{
	struct domain *d = domain_new(4);

	run_rounds(d, ROUNDS);
	for (guint i = 0; i < 4; i++) {
		for (guint j = 0; j < 4; j++)
			d->is_cut[i][j] = i / 2 != j / 2;
	}
	run_rounds(d, ROUNDS);
	g_assert_cmpint(member_seen_by(d, 0, 3)->record.state, ==, MEMBER_DEAD);
	g_assert_cmpint(member_seen_by(d, 0, 1)->record.state, ==,
			MEMBER_ALIVE);
	for (guint i = 0; i < 4; i++) {
		for (guint j = 0; j < 4; j++)
			d->is_cut[i][j] = FALSE;
	}
	run_rounds(d, RECOVERY_ROUNDS);
	for (guint i = 0; i < 4; i++) {
		for (guint j = 0; j < 4; j++)
			g_assert_cmpint(member_seen_by(d, i, j)->record.state,
					==, MEMBER_ALIVE);
	}
	domain_free(d);
}

/*
 * No member must be suspected while links are cut one way, since others report
 * that they hear it; nor while the views change at the same time.
 */
static void test_one_way(void)
{
	struct domain *d = domain_new(5);
	struct member_record remote = { .generation = 1 };

	run_rounds(d, ROUNDS);
	d->is_cut[1][2] = TRUE;
	d->is_cut[1][3] = TRUE;
	remote.identity = make_identity("kess-b-g", 0, "kess-b");
	for (guint i = 0; i < ROUNDS; i++) {
		remote.generation++;
		member_table_merge(&d->tables[i % 4], d->now_ms, &remote);
		run_one_round(d);
		for (guint j = 0; j < d->count; j++)
			g_assert_cmpint(member_seen_by(d, j, 1)->record.state,
					==, MEMBER_ALIVE);
	}
	member_record_clear(&remote);
	domain_free(d);
}

/*
 * A false report of a member's death must reach the member, so that it refutes
 * the report also at members that it doesn't reach itself.
 */
static void test_dispute(void)
{
	struct domain *d = domain_new(3);
	struct member_record report = { 0 };

	run_rounds(d, ROUNDS);
	member_record_copy(&report, &member_seen_by(d, 0, 1)->record);
	report.state = MEMBER_DEAD;
	member_table_merge(&d->tables[0], d->now_ms, &report);
	run_rounds(d, 2);
	g_assert_cmpint(member_seen_by(d, 2, 1)->record.state_version, ==,
			report.state_version + 1);
	g_assert_cmpint(member_seen_by(d, 0, 1)->record.state, ==,
			MEMBER_ALIVE);
	member_record_clear(&report);
	domain_free(d);
}

/*
 * Reports of who is heard must not prolong a member's life: all must have it as
 * dead within MEMBER_SUSPECT_MS + MEMBER_DEAD_MS of its last message, also
 * while links between others are cut one way.
 */
static void test_detection(void)
{
	struct domain *d = domain_new(5);
	int64_t died_ms;

	run_rounds(d, ROUNDS);
	d->is_cut[0][2] = TRUE;
	d->is_cut[1][2] = TRUE;
	run_rounds(d, ROUNDS);
	/* Process 1 was the second one to send in the last round. */
	died_ms = d->now_ms - MEMBER_HEARTBEAT_MS * (d->count - 1) / d->count;
	for (guint j = 0; j < d->count; j++)
		d->is_cut[1][j] = TRUE;
	while (d->now_ms - died_ms < MEMBER_SUSPECT_MS + MEMBER_DEAD_MS)
		send_next(d);
	for (guint j = 0; j < d->count; j++) {
		if (j != 1)
			g_assert_cmpint(member_seen_by(d, j, 1)->record.state,
					==, MEMBER_DEAD);
	}
	domain_free(d);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/member-table/bytes", test_bytes);
	g_test_add_func("/member-table/worst-bytes", test_worst_bytes);
	g_test_add_func("/member-table/lost-change", test_lost_change);
	g_test_add_func("/member-table/partition", test_partition);
	g_test_add_func("/member-table/one-way", test_one_way);
	g_test_add_func("/member-table/dispute", test_dispute);
	g_test_add_func("/member-table/detection", test_detection);
	return g_test_run();
}
