#include "tests/config_world.h"

#include "config/config_version.h"
#include "store/platform.h"

#define PROCESSES 3
#define OPERATORS 2
#define POLL_MS 500
/** Longest time between two changes posted by one operator. */
#define POST_INTERVAL_MAX_MS 1500
/** Time after which the caller gives up on a store call without an answer. */
#define TIMEOUT_MS 1000
/** Delay before the head is read back. */
#define READ_BACK_MS 250
#define LONGEST_CALL_MS 6000
#define LONGEST_PUSH_MS 8000
#define LONGEST_OUTAGE_MS 6000

struct process {
	struct world *world;
	guint index;
	struct config_version current;
	int64_t last_version; /* in force at the last check */
	gboolean is_reading;
};

/* One change posted by an operator; kept until the end to check its outcome. */
struct attempt {
	struct world *world;
	struct config_acceptance acceptance;
	json_object *body;
	int64_t call_number; /* number of the call in flight; answers to other
				calls are ignored */
	gboolean is_finished;
};

struct world {
	struct explorer *e;
	struct config_defects defects;
	struct process processes[PROCESSES];
	GPtrArray *attempts;
	GPtrArray *accepted; /* of char *; [i]: commit id of version i + 1 */
	GHashTable *objects; /* object store: name to body */
	int64_t row_version;
	struct config_head head;
	int64_t down_until_ms; /* end of the store's outage */
	gboolean is_healed;
};

/* A store call in flight. */
struct call {
	struct attempt *attempt;
	int64_t number;
	enum acceptance_call kind;
	enum status status;
	int64_t row_version;
	struct config_head head;
	guint ref_count; /* events that refer to it */
};

struct push {
	struct process *process;
	int64_t version;
	json_object *body;
};

static gboolean accept_any_version(int64_t version, int64_t in_force)
{
	return TRUE;
}

static void copy_head(struct config_head *to, const struct config_head *from)
{
	json_object *json = schema_encode(&config_head_schema, from);
	struct finding_list findings;

	finding_list_init(&findings);
	config_head_clear(to);
	if (from->version > 0)
		schema_decode(&config_head_schema, json, to, "", NULL,
			      &findings);
	finding_list_clear(&findings);
	json_object_put(json);
}

static void call_unref(gpointer data)
{
	struct call *c = data;

	if (--c->ref_count > 0)
		return;
	config_head_clear(&c->head);
	g_free(c);
}

static void push_free(gpointer data)
{
	struct push *p = data;

	json_object_put(p->body);
	g_free(p);
}

static void on_push(void *data)
{
	struct push *p = data;
	struct finding_list findings;

	finding_list_init(&findings);
	config_version_apply(&p->process->current, p->version, p->body,
			     &findings);
	finding_list_clear(&findings);
}

static void send_push(struct world *w, guint to, int64_t version,
		      json_object *body)
{
	struct push *p = g_new0(struct push, 1);

	p->process = &w->processes[to];
	p->version = version;
	p->body = json_object_get(body);
	explorer_schedule(w->e, explorer_delay(w->e, LONGEST_PUSH_MS), on_push,
			  p, push_free);
}

/* Pushes may be lost, duplicated and reordered. */
static void push_to_all(struct world *w, int64_t version, json_object *body)
{
	for (guint i = 0; i < PROCESSES; i++) {
		if (!explorer_chance(w->e, 0.2))
			send_push(w, i, version, body);
		if (explorer_chance(w->e, 0.2))
			send_push(w, i, version, body);
	}
}

/* Head and body are read together; the answer may arrive late. */
static void on_poll(void *data)
{
	struct process *p = data;
	struct world *w = p->world;

	explorer_schedule(w->e, POLL_MS, on_poll, p, NULL);
	if (w->e->now_ms < w->down_until_ms || w->head.version == 0)
		return;
	send_push(w, p->index, w->head.version,
		  g_hash_table_lookup(w->objects, w->head.object));
}

static void advance(struct attempt *a);

static void finish_call(struct call *c, enum status status)
{
	struct attempt *a = c->attempt;

	if (c->number != a->call_number || a->is_finished)
		return;
	a->call_number++;
	if (c->kind == ACCEPTANCE_PUT_BODY)
		config_acceptance_on_put(&a->acceptance, status);
	else if (c->kind == ACCEPTANCE_COMMIT_HEAD)
		config_acceptance_on_commit(&a->acceptance, status);
	else
		config_acceptance_on_read(&a->acceptance, status,
					  c->row_version, &c->head);
	advance(a);
}

static void on_answer(void *data)
{
	struct call *c = data;

	finish_call(c, c->status);
}

static void on_timeout(void *data)
{
	struct call *c = data;

	finish_call(c, c->kind == ACCEPTANCE_READ_HEAD ||
				       c->kind == ACCEPTANCE_READ_BACK
			       ? STATUS_UNAVAILABLE
			       : STATUS_UNKNOWN);
}

static enum status commit(struct world *w, struct attempt *a)
{
	const struct config_head *next = &a->acceptance.next;

	if (a->acceptance.expected_row_version != w->row_version &&
	    !w->defects.ignore_base)
		return STATUS_CONFLICT;
	w->row_version++;
	copy_head(&w->head, next);
	explorer_trace(w->e, "head: version %" G_GINT64_FORMAT " by %s",
		       next->version, next->commit_id);
	if (next->version != (int64_t)w->accepted->len + 1)
		explorer_fail(w->e, "accepted versions do not rise by one");
	g_ptr_array_add(w->accepted, g_strdup(next->commit_id));
	return STATUS_OK;
}

/* The call reaches the store. */
static void on_effect(void *data)
{
	struct call *c = data;
	struct world *w = c->attempt->world;

	if (w->e->now_ms < w->down_until_ms)
		return;
	c->status = STATUS_OK;
	if (c->kind == ACCEPTANCE_PUT_BODY)
		g_hash_table_insert(
			w->objects,
			g_strdup(c->attempt->acceptance.next.object),
			json_object_get(c->attempt->body));
	else if (c->kind == ACCEPTANCE_COMMIT_HEAD)
		c->status = commit(w, c->attempt);
	else
		copy_head(&c->head, &w->head);
	c->row_version = w->row_version;
	if (c->kind >= ACCEPTANCE_COMMIT_HEAD && explorer_chance(w->e, 0.2))
		return; /* the answer is lost */
	c->ref_count++;
	explorer_schedule(w->e, explorer_delay(w->e, TIMEOUT_MS), on_answer, c,
			  call_unref);
}

static void finish(struct attempt *a)
{
	struct world *w = a->world;

	a->is_finished = TRUE;
	explorer_trace(w->e, "%s finished with outcome %d",
		       a->acceptance.commit_id, a->acceptance.outcome);
	if (a->acceptance.outcome == ACCEPTANCE_ACCEPTED)
		push_to_all(w, a->acceptance.next.version, a->body);
}

static void advance(struct attempt *a)
{
	struct world *w = a->world;
	struct call *c;
	int64_t delay_ms = 0;

	if (a->acceptance.call == ACCEPTANCE_FINISHED) {
		finish(a);
		return;
	}
	c = g_new0(struct call, 1);
	c->attempt = a;
	c->number = a->call_number;
	c->kind = a->acceptance.call;
	c->ref_count = 1;
	if (c->kind == ACCEPTANCE_READ_BACK)
		delay_ms = READ_BACK_MS;
	if (!explorer_chance(w->e, 0.05)) {
		c->ref_count++;
		explorer_schedule(
			w->e, delay_ms + explorer_delay(w->e, LONGEST_CALL_MS),
			on_effect, c, call_unref);
	}
	explorer_schedule(w->e, delay_ms + TIMEOUT_MS, on_timeout, c,
			  call_unref);
}

static json_object *make_body(guint number)
{
	char *text =
		g_strdup_printf("{\"format\":1,\"services\":[{\"name\":\"s%u\","
				"\"failure_domains\":[\"a\"]}]}",
				number);
	json_object *body = json_tokener_parse(text);

	g_free(text);
	return body;
}

static void on_post(void *data)
{
	struct world *w = data;
	struct attempt *a;
	char *commit_id;

	if (w->is_healed)
		return;
	explorer_schedule(w->e, explorer_range(w->e, 0, POST_INTERVAL_MAX_MS),
			  on_post, w, NULL);
	if (explorer_chance(w->e, 0.1))
		w->down_until_ms = w->e->now_ms +
				   explorer_range(w->e, 0, LONGEST_OUTAGE_MS);
	a = g_new0(struct attempt, 1);
	commit_id = g_strdup_printf("c%u", w->attempts->len);
	a->world = w;
	a->body = make_body(w->attempts->len);
	config_acceptance_init(&a->acceptance, w->processes[0].current.version,
			       "o", commit_id, FALSE);
	g_ptr_array_add(w->attempts, a);
	g_free(commit_id);
	advance(a);
}

static void attempt_free(gpointer data)
{
	struct attempt *a = data;

	config_acceptance_clear(&a->acceptance);
	json_object_put(a->body);
	g_free(a);
}

static void body_free(gpointer data)
{
	json_object_put(data);
}

static void *world_new(struct explorer *e, const void *defects)
{
	struct world *w = g_new0(struct world, 1);

	w->e = e;
	if (defects)
		w->defects = *(const struct config_defects *)defects;
	w->attempts = g_ptr_array_new_with_free_func(attempt_free);
	w->accepted = g_ptr_array_new_with_free_func(g_free);
	w->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   body_free);
	for (guint i = 0; i < PROCESSES; i++) {
		struct process *p = &w->processes[i];

		p->world = w;
		p->index = i;
		config_version_init(&p->current);
		if (w->defects.ignore_versions)
			p->current.is_newer = accept_any_version;
		explorer_schedule(e, explorer_range(e, 0, POLL_MS), on_poll, p,
				  NULL);
	}
	for (guint i = 0; i < OPERATORS; i++)
		explorer_schedule(e, 0, on_post, w, NULL);
	return w;
}

static void world_check(void *data)
{
	struct world *w = data;

	for (guint i = 0; i < PROCESSES; i++) {
		struct process *p = &w->processes[i];

		if (p->current.version < p->last_version)
			explorer_fail(w->e, "version falls on process %u", i);
		p->last_version = p->current.version;
		if (p->current.version > (int64_t)w->accepted->len)
			explorer_fail(w->e, "version in force not accepted");
	}
}

static void world_heal(void *data)
{
	struct world *w = data;

	w->is_healed = TRUE;
	w->down_until_ms = 0;
}

static gboolean was_accepted(const struct world *w, const struct attempt *a)
{
	return g_ptr_array_find_with_equal_func(
		w->accepted, a->acceptance.commit_id, g_str_equal, NULL);
}

/*
 * Checks that the outcomes reported to operators still hold after delayed
 * writes, and that every process has the accepted version.
 */
static void world_check_settled(void *data)
{
	struct world *w = data;

	for (guint i = 0; i < w->attempts->len; i++) {
		const struct attempt *a = g_ptr_array_index(w->attempts, i);
		enum acceptance_outcome outcome = a->acceptance.outcome;

		if (outcome == ACCEPTANCE_ACCEPTED && !was_accepted(w, a))
			explorer_fail(w->e,
				      "%s was reported accepted but is not",
				      a->acceptance.commit_id);
		if ((outcome == ACCEPTANCE_CONFLICT ||
		     outcome == ACCEPTANCE_UNAVAILABLE) &&
		    was_accepted(w, a))
			explorer_fail(
				w->e,
				"%s was reported refused but was accepted",
				a->acceptance.commit_id);
	}
	for (guint i = 0; i < PROCESSES; i++) {
		if (w->processes[i].current.version != w->head.version)
			explorer_fail(w->e,
				      "process %u lacks the accepted version",
				      i);
	}
}

static void world_free(void *data)
{
	struct world *w = data;

	for (guint i = 0; i < PROCESSES; i++)
		config_version_clear(&w->processes[i].current);
	g_ptr_array_unref(w->attempts);
	g_ptr_array_unref(w->accepted);
	g_hash_table_unref(w->objects);
	config_head_clear(&w->head);
	g_free(w);
}

const struct explorer_world config_world = {
	.name = "config",
	.new = world_new,
	.check = world_check,
	.heal = world_heal,
	.check_settled = world_check_settled,
	.free = world_free,
	.fault_phase_ms = 20000,
	.settle_phase_ms = 60000,
};
