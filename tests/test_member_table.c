/*
 * What the members of one failure domain tell each other over links that lose
 * messages: bytes by the real codecs, and how a lost change is found again.
 */
#include <glib.h>

#include "link/frame.h"
#include "link/pack.h"
#include "shared/member_heartbeat.h"

#define MAX_MEMBERS 32
/** Of heartbeats sent and received by one of 16 processes, per second. */
#define BYTES_AT_16 6000
/** Half of the 24 KB/s for control of a VM with two processes. */
#define WORST_BYTES_AT_16 12288
/** Rounds of heartbeats within which a lost change must be known. */
#define RECOVERY_ROUNDS 4
#define ROUNDS 20

struct domain {
	guint count;
	guint turns;
	int64_t now_ms;
	struct link_identity identities[MAX_MEMBERS];
	struct member_table tables[MAX_MEMBERS];
	int64_t sent[MAX_MEMBERS][MAX_MEMBERS]; /* last change, from, to */
	gboolean is_cut[MAX_MEMBERS][MAX_MEMBERS];
	gsize bytes; /* of the last round */
};

static struct link_identity identity(const char *stem, guint i,
				     const char *domain)
{
	return (struct link_identity){
		.node = g_strdup_printf("%s%02u", stem, i),
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
		d->identities[i] = identity("tov-a-g", i, "tov-a");
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

/* Carries a message through the real codecs; returns the bytes of its frame. */
static gsize carry(struct heartbeat *h, struct heartbeat *out)
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

/* A cut loses the message; the sender takes it for sent, as over a link. */
static void send(struct domain *d, guint from, guint to)
{
	struct member_table *t = &d->tables[from];
	gboolean is_all = member_heartbeat_owes_all(t, d->identities[to].node);
	struct heartbeat h = { 0 };
	struct heartbeat got = { 0 };

	member_heartbeat_fill(t, d->now_ms, is_all ? 0 : d->sent[from][to],
			      &d->identities[to], &h);
	d->sent[from][to] = t->changes;
	if (is_all)
		member_heartbeat_told_all(t, d->identities[to].node);
	d->bytes += carry(&h, &got);
	if (!d->is_cut[from][to])
		member_table_on_heartbeat(&d->tables[to], d->now_ms,
					  &d->identities[from], &got);
	schema_clear(&heartbeat_schema, &h);
	schema_clear(&heartbeat_schema, &got);
}

/* The next process sends; all heartbeats are spread over their period. */
static void turn(struct domain *d)
{
	guint from = d->turns++ % d->count;

	for (guint to = 0; to < d->count; to++) {
		if (from != to)
			send(d, from, to);
	}
	d->now_ms += MEMBER_HEARTBEAT_MS / d->count;
	for (guint i = 0; i < d->count; i++)
		member_table_step(&d->tables[i], d->now_ms);
}

static void round_of(struct domain *d)
{
	d->bytes = 0;
	for (guint i = 0; i < d->count; i++)
		turn(d);
}

static void rounds(struct domain *d, guint count)
{
	for (guint i = 0; i < count; i++)
		round_of(d);
}

static const struct member *seen(const struct domain *d, guint by, guint node)
{
	return member_table_find(&d->tables[by], d->identities[node].node);
}

/* Bytes that one process sends and receives in a second with nothing new. */
static double idle_bytes(guint count)
{
	struct domain *d = domain_new(count);
	double bytes;

	rounds(d, ROUNDS);
	bytes = 2.0 * (double)d->bytes / count;
	domain_free(d);
	return bytes;
}

/* With twice the members a process has (2n - 1) / (n - 1) times the links. */
static void test_bytes(void)
{
	static const guint counts[] = { 4, 8, 16 };

	g_assert_cmpfloat(idle_bytes(16), <, BYTES_AT_16);
	for (guint i = 0; i < G_N_ELEMENTS(counts); i++) {
		guint n = counts[i];

		g_test_message("%u members: %.0f bytes/s", n, idle_bytes(n));
		g_assert_cmpfloat(idle_bytes(2 * n) / (2 * n - 1), <=,
				  1.02 * idle_bytes(n) / (n - 1));
	}
}

static void set_cut_off(struct domain *d, guint node, gboolean is_cut)
{
	for (guint i = 0; i < d->count; i++) {
		d->is_cut[node][i] = is_cut;
		d->is_cut[i][node] = is_cut;
	}
}

/* A member is lost to all and comes back. */
static void test_worst_bytes(void)
{
	struct domain *d = domain_new(16);

	rounds(d, ROUNDS);
	for (guint i = 0; i < 2 * ROUNDS; i++) {
		set_cut_off(d, 1, i < ROUNDS);
		round_of(d);
		g_test_message("round %u: %.0f bytes/s", i,
			       2.0 * (double)d->bytes / d->count);
		g_assert_cmpfloat(2.0 * (double)d->bytes / d->count, <,
				  WORST_BYTES_AT_16);
	}
	g_assert_cmpint(seen(d, 0, 1)->record.state, ==, MEMBER_ALIVE);
	domain_free(d);
}

/* What one member learns while a link loses all messages. */
struct lost_case {
	const char *name;
	enum member_state state;
	int64_t generation;
	int64_t version;
};

static const struct lost_case lost_cases[] = {
	{ "a far member is new", MEMBER_ALIVE, 5, 0 },
	{ "a far member leaves", MEMBER_LEAVING, 1, 1 },
	{ "a far member has died", MEMBER_DEAD, 1, 0 },
	{ "a far member has another incarnation", MEMBER_ALIVE, 2, 0 },
	{ "a far member has refuted", MEMBER_ALIVE, 1, 3 },
};

static void test_lost_change(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(lost_cases); i++) {
		const struct lost_case *c = &lost_cases[i];
		struct domain *d = domain_new(2);
		struct member_record far = { .generation = 1 };
		const struct member *m;

		g_test_message("%s", c->name);
		far.identity = identity("kess-b-g", i, "kess-b");
		if (c->generation < 5)
			member_table_merge(&d->tables[0], 0, &far);
		rounds(d, ROUNDS);
		far.state = c->state;
		far.generation = c->generation;
		far.state_version = c->version;
		member_table_merge(&d->tables[0], d->now_ms, &far);
		d->is_cut[0][1] = TRUE;
		round_of(d);
		d->is_cut[0][1] = FALSE;
		rounds(d, RECOVERY_ROUNDS);
		m = member_table_find(&d->tables[1], far.identity.node);
		g_assert_nonnull(m);
		g_assert_cmpint(m->record.state, ==, c->state);
		g_assert_cmpint(m->record.generation, ==, c->generation);
		g_assert_cmpint(m->record.state_version, ==, c->version);
		member_record_clear(&far);
		domain_free(d);
	}
}

/* What is lost of a partition's two sides is found again by both. */
static void test_partition(void)
{
	struct domain *d = domain_new(4);

	rounds(d, ROUNDS);
	for (guint i = 0; i < 4; i++) {
		for (guint j = 0; j < 4; j++)
			d->is_cut[i][j] = i / 2 != j / 2;
	}
	rounds(d, ROUNDS);
	g_assert_cmpint(seen(d, 0, 3)->record.state, ==, MEMBER_DEAD);
	g_assert_cmpint(seen(d, 0, 1)->record.state, ==, MEMBER_ALIVE);
	for (guint i = 0; i < 4; i++) {
		for (guint j = 0; j < 4; j++)
			d->is_cut[i][j] = FALSE;
	}
	rounds(d, RECOVERY_ROUNDS);
	for (guint i = 0; i < 4; i++) {
		for (guint j = 0; j < 4; j++)
			g_assert_cmpint(seen(d, i, j)->record.state, ==,
					MEMBER_ALIVE);
	}
	domain_free(d);
}

/* Who hears whom, as evidence for those who don't: no member is suspected
 * while a link is cut one way, nor while the views change at the same time. */
static void test_one_way(void)
{
	struct domain *d = domain_new(5);
	struct member_record far = { .generation = 1 };

	rounds(d, ROUNDS);
	d->is_cut[1][2] = TRUE;
	d->is_cut[1][3] = TRUE;
	far.identity = identity("kess-b-g", 0, "kess-b");
	for (guint i = 0; i < ROUNDS; i++) {
		far.generation++;
		member_table_merge(&d->tables[i % 4], d->now_ms, &far);
		round_of(d);
		for (guint j = 0; j < d->count; j++)
			g_assert_cmpint(seen(d, j, 1)->record.state, ==,
					MEMBER_ALIVE);
	}
	member_record_clear(&far);
	domain_free(d);
}

/* What others say of a member that is heard here is told to it, so that it
 * refutes it also to those that it doesn't reach. */
static void test_dispute(void)
{
	struct domain *d = domain_new(3);
	struct member_record said = { 0 };

	rounds(d, ROUNDS);
	member_record_copy(&said, &seen(d, 0, 1)->record);
	said.state = MEMBER_DEAD;
	member_table_merge(&d->tables[0], d->now_ms, &said);
	rounds(d, 2);
	g_assert_cmpint(seen(d, 2, 1)->record.state_version, ==,
			said.state_version + 1);
	g_assert_cmpint(seen(d, 0, 1)->record.state, ==, MEMBER_ALIVE);
	member_record_clear(&said);
	domain_free(d);
}

/* Evidence that is told in short must not outlast what was heard: a member
 * is dead to all within the stated times of its last message, also when the
 * links between others are cut one way. */
static void test_detection(void)
{
	struct domain *d = domain_new(5);
	int64_t died_ms;

	rounds(d, ROUNDS);
	d->is_cut[0][2] = TRUE;
	d->is_cut[1][2] = TRUE;
	rounds(d, ROUNDS);
	/* The second one to send in the round that is over. */
	died_ms = d->now_ms - MEMBER_HEARTBEAT_MS * (d->count - 1) / d->count;
	for (guint j = 0; j < d->count; j++)
		d->is_cut[1][j] = TRUE;
	while (d->now_ms - died_ms < MEMBER_SUSPECT_MS + MEMBER_DEAD_MS)
		turn(d);
	for (guint j = 0; j < d->count; j++) {
		if (j != 1)
			g_assert_cmpint(seen(d, j, 1)->record.state, ==,
					MEMBER_DEAD);
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
