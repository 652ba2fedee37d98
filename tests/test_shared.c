#include <glib.h>
#include <string.h>

#include "config/config_body.h"
#include "config/config_delta.h"
#include "config/config_doc.h"
#include "shared/member_table.h"
#include "shared/pool_share.h"

#define ACCOUNT(name, share) \
	"{\"name\":\"" name "\",\"service\":\"s\",\"share\":" share "}"
#define BODY(accounts)                                                     \
	"{\"format\":1,\"services\":[{\"name\":\"s\",\"failure_domains\":" \
	"[\"a\"]}],\"client_accounts\":[" accounts "]}"

struct delta_case {
	const char *base; /* NULL: no base */
	const char *body;
	guint set;     /* accounts added or changed by the delta */
	guint removed; /* accounts removed by it */
};

static const struct delta_case delta_cases[] = {
	{ NULL, BODY(ACCOUNT("x", "1")), 1, 0 },
	{ BODY(ACCOUNT("x", "1")), BODY(ACCOUNT("x", "1")), 0, 0 },
	{ BODY(ACCOUNT("x", "1")), BODY(ACCOUNT("x", "2")), 1, 0 },
	{ BODY(ACCOUNT("x", "1") "," ACCOUNT("y", "1")),
	  BODY(ACCOUNT("y", "1") "," ACCOUNT("z", "3")), 1, 1 },
	{ BODY(ACCOUNT("x", "1")), BODY(""), 0, 1 },
};

static struct config_body *parse(const char *text)
{
	json_object *json = json_tokener_parse(text);
	struct config_body *b = config_body_new(json);

	json_object_put(json);
	return b;
}

static void test_delta(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(delta_cases); i++) {
		const struct delta_case *c = &delta_cases[i];
		struct config_body *base = c->base ? parse(c->base) : NULL;
		struct config_body *body = parse(c->body);
		struct config_body *result = NULL;
		json_object *json;
		struct config_delta d = { 0 };
		struct config_list_delta *accounts;
		struct config_doc doc = { 0 };
		struct finding_list findings;

		finding_list_init(&findings);
		config_delta_make(base, 1, body, 2, &d);
		accounts = &g_array_index(d.lists, struct config_list_delta, 1);
		g_assert_cmpuint(json_object_array_length(accounts->set), ==,
				 c->set);
		g_assert_cmpuint(accounts->removed->len, ==, c->removed);
		g_assert_cmpint(config_delta_apply(&d, base, &result), ==,
				STATUS_OK);
		json = config_body_encode(result);
		g_assert_true(config_doc_decode(json, &doc, NULL, &findings));
		json_object_put(json);
		config_doc_clear(&doc);
		finding_list_clear(&findings);
		schema_clear(&config_delta_schema, &d);
		config_body_unref(base);
		config_body_unref(body);
		config_body_unref(result);
	}
}

/* A delta applied to another base must be rejected by its base digest. */
static void test_delta_wrong_base(void)
{
	struct config_body *base = parse(BODY(ACCOUNT("x", "1")));
	struct config_body *other = parse(BODY(ACCOUNT("y", "1")));
	struct config_body *body = parse(BODY(ACCOUNT("x", "2")));
	struct config_body *result = NULL;
	struct config_delta d = { 0 };

	config_delta_make(base, 1, body, 2, &d);
	g_assert_cmpint(config_delta_apply(&d, other, &result), ==,
			STATUS_CONFLICT);
	g_assert_null(result);
	schema_clear(&config_delta_schema, &d);
	config_body_unref(base);
	config_body_unref(other);
	config_body_unref(body);
}

static GPtrArray *make_names(const char *prefix, guint count)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < count; i++)
		g_ptr_array_add(out, g_strdup_printf("%s%02u", prefix, i));
	return out;
}

static const struct {
	guint pools;
	guint members;
} share_cases[] = {
	{ 1, 1 }, { 1, 8 }, { 8, 8 }, { 20, 8 }, { 3, 2 }, { 16, 5 },
};

/*
 * Each pool has one first candidate, and no member is first candidate for more
 * pools than its even share, rounded up.
 */
static void test_share(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(share_cases); i++) {
		guint p = share_cases[i].pools;
		guint m = share_cases[i].members;
		GPtrArray *pools = make_names("pool", p);
		GPtrArray *members = make_names("node", m);
		guint total = 0;

		for (guint j = 0; j < m; j++) {
			guint first = 0;

			for (guint k = 0; k < p; k++)
				first +=
					pool_share_rank(pools, members,
							pools->pdata[k],
							members->pdata[j]) == 0;
			g_assert_cmpuint(first, <=, (p + m - 1) / m);
			total += first;
		}
		g_assert_cmpuint(total, ==, p);
		g_ptr_array_unref(pools);
		g_ptr_array_unref(members);
	}
}

static struct link_identity make_identity(const char *node, const char *domain)
{
	struct link_identity i = {
		.node = (char *)node,
		.incarnation = (char *)"i",
		.vm = (char *)node,
		.failure_domain = (char *)domain,
		.http = (char *)"127.0.0.1:1",
		.link = (char *)node,
		.role = LINK_ROLE_GATEWAY,
	};

	return i;
}

static void receive_heartbeat(struct member_table *t, int64_t now_ms,
			      const char *node, const char *heard)
{
	struct link_identity from = make_identity(node, "a");
	struct heard_member other = { .node = (char *)heard, .generation = 1 };
	struct heartbeat h = {
		.generation = 1,
		.pools =
			g_array_new(FALSE, TRUE, sizeof(struct heartbeat_pool)),
		.heard = g_array_new(FALSE, TRUE, sizeof(struct heard_member)),
		.records =
			g_array_new(FALSE, TRUE, sizeof(struct member_record)),
	};

	if (heard)
		g_array_append_val(h.heard, other);
	member_table_on_heartbeat(t, now_ms, &from, &h);
	g_array_unref(h.pools);
	g_array_unref(h.heard);
	g_array_unref(h.records);
}

struct silence_case {
	const char *name;
	gboolean others_hear; /* another member still hears it */
	enum vm_hint hint;
	int64_t silent_ms;
	enum member_state state;
};

static const struct silence_case silence_cases[] = {
	{ "short", FALSE, VM_HINT_LISTED, 2750, MEMBER_ALIVE },
	{ "suspect", FALSE, VM_HINT_LISTED, 3000, MEMBER_SUSPECT },
	{ "dead", FALSE, VM_HINT_LISTED, 6000, MEMBER_DEAD },
	{ "absent from the list", FALSE, VM_HINT_ABSENT, 3250, MEMBER_DEAD },
	{ "absent from the list, heard by another", TRUE, VM_HINT_ABSENT, 60000,
	  MEMBER_ALIVE },
	{ "listed as leaving", FALSE, VM_HINT_LEAVING, 3000, MEMBER_LEFT },
	{ "listed, heard by another", TRUE, VM_HINT_LISTED, 60000,
	  MEMBER_ALIVE },
};

static void test_silence(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(silence_cases); i++) {
		const struct silence_case *c = &silence_cases[i];
		struct link_identity self = make_identity("n0", "a");
		struct member_table t;

		g_test_message("%s", c->name);
		member_table_init(&t, &self, 1, 0);
		receive_heartbeat(&t, 0, "n1", NULL);
		receive_heartbeat(&t, 0, "n2", NULL);
		for (int64_t now_ms = 0; now_ms <= c->silent_ms;
		     now_ms += 250) {
			receive_heartbeat(&t, now_ms, "n2",
					  c->others_hear ? "n1" : NULL);
			member_table_find(&t, "n1")->hint = c->hint;
			member_table_step(&t, now_ms);
		}
		g_assert_cmpint(member_table_find(&t, "n1")->record.state, ==,
				c->state);
		member_table_clear(&t);
	}
}

/* A paused process must not treat its own pause as the silence of others. */
static void test_own_pause(void)
{
	struct link_identity self = make_identity("n0", "a");
	struct member_table t;

	member_table_init(&t, &self, 1, 0);
	receive_heartbeat(&t, 0, "n1", NULL);
	member_table_step(&t, 0);
	member_table_step(&t, 60000);
	g_assert_cmpint(member_table_find(&t, "n1")->record.state, ==,
			MEMBER_ALIVE);
	member_table_clear(&t);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/shared/delta", test_delta);
	g_test_add_func("/shared/delta-wrong-base", test_delta_wrong_base);
	g_test_add_func("/shared/pool-share", test_share);
	g_test_add_func("/shared/silence", test_silence);
	g_test_add_func("/shared/own-pause", test_own_pause);
	return g_test_run();
}
