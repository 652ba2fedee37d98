/*
 * Messages of the simulated nodes to workers and to each other, which may be
 * lost, delayed, duplicated and reordered.
 */
#include "tests/gang_sim_internal.h"

static void copy_call(struct worker_call *to, const struct worker_call *from)
{
	worker_call_init(to, from->pool, from->epoch, from->holder,
			 from->lease_ms);
	to->known = g_strdup(from->known);
	for (guint i = 0; i < from->commands->len; i++) {
		struct worker_command c =
			g_array_index(from->commands, struct worker_command, i);

		c.task = g_strdup(c.task);
		g_array_append_val(to->commands, c);
	}
}

void gang_sim_call_worker(const char *worker, const char *address,
			  int64_t call_id, const struct worker_call *call,
			  void *data)
{
	struct sim_node *n = data;
	struct gang_sim *s = n->sim;
	struct sim_event *timeout =
		gang_sim_event_new(s, EVENT_CALL_ANSWER, n->index);
	int copies = gang_sim_has_faults(s) && gang_sim_chance(s, 5) ? 2 : 1;
	int64_t epoch;

	n->op_count++;
	timeout->worker = (guint)(worker[1] - '0');
	timeout->call_id = call_id;
	timeout->answer = WORKER_FAILED;
	gang_sim_post(s, timeout, CALL_TIMEOUT_MS);
	if (gang_sim_role(s, n->index, &epoch) == POOL_ROLE_NONE)
		return;
	if (s->now_ms < n->cut_until_ms[timeout->worker] ||
	    (gang_sim_has_faults(s) && gang_sim_chance(s, 3)))
		return;
	for (int i = 0; i < copies; i++) {
		struct sim_event *e =
			gang_sim_event_new(s, EVENT_CALL, n->index);

		e->worker = timeout->worker;
		e->call_id = call_id;
		copy_call(&e->call, call);
		e->is_answered =
			!gang_sim_has_faults(s) || !gang_sim_chance(s, 4);
		gang_sim_post(s, e, gang_sim_network_ms(s));
	}
}

static void delegate_call(struct sim_node *n, const struct delegated_worker *w)
{
	struct gang_sim *s = n->sim;
	struct sim_event *timeout =
		gang_sim_event_new(s, EVENT_CALL_ANSWER, n->index);
	struct sim_event *e;

	timeout->is_delegate_call = TRUE;
	timeout->worker = (guint)(w->name[1] - '0');
	timeout->call_id = w->call_id;
	timeout->answer = WORKER_FAILED;
	gang_sim_post(s, timeout, CALL_TIMEOUT_MS);
	if (s->now_ms < n->cut_until_ms[timeout->worker] ||
	    (gang_sim_has_faults(s) && gang_sim_chance(s, 3)))
		return;
	e = gang_sim_event_new(s, EVENT_CALL, n->index);
	e->is_delegate_call = TRUE;
	e->worker = timeout->worker;
	e->call_id = w->call_id;
	worker_call_init(&e->call, n->delegate->pool, n->delegate->epoch, "n",
			 n->delegate->lease_ms);
	e->call.known = g_strdup(w->worker_digest);
	e->is_answered = !gang_sim_has_faults(s) || !gang_sim_chance(s, 4);
	s->shared_renewals++;
	gang_sim_post(s, e, gang_sim_network_ms(s));
}

static void copy_body(const struct schema *schema, const void *from, void *to)
{
	json_object *body = schema_encode(schema, from);
	struct finding_list findings;

	finding_list_init(&findings);
	g_assert_true(schema_decode(schema, body, to, "", NULL, &findings));
	finding_list_clear(&findings);
	json_object_put(body);
}

/* Sends a report or a grant to the other node; exactly one of them is set. */
static void send_on_link(struct gang_sim *s, guint to,
			 const struct renewal_report *report,
			 const struct renewal_grant *grant)
{
	int copies = gang_sim_has_faults(s) && gang_sim_chance(s, 5) ? 2 : 1;

	if (s->now_ms < s->link_cut_until_ms ||
	    (gang_sim_has_faults(s) && gang_sim_chance(s, 5)))
		return;
	for (int i = 0; i < copies; i++) {
		struct sim_event *e = gang_sim_event_new(
			s, report ? EVENT_REPORT : EVENT_GRANT, to);

		if (report)
			copy_body(&renewal_report_schema, report, &e->renewals);
		else
			copy_body(&renewal_grant_schema, grant, &e->grant);
		gang_sim_post(s, e, gang_sim_network_ms(s));
	}
}

void gang_sim_on_report(struct gang_sim *s, struct sim_event *e)
{
	struct sim_node *n = &s->nodes[e->node];
	struct renewal_grant grant = { 0 };
	int64_t epoch;

	renewal_grant_init(&grant);
	if (gang_sim_role(s, e->node, &epoch) == POOL_ROLE_HOLDER &&
	    n->role == POOL_ROLE_HOLDER &&
	    scheduler_on_renewal_report(n->scheduler,
					s->nodes[1 - e->node].name,
					&e->renewals, s->now_ms, &grant))
		send_on_link(s, 1 - e->node, NULL, &grant);
	renewal_grant_clear(&grant);
}

void gang_sim_on_grant(struct gang_sim *s, struct sim_event *e)
{
	struct renewal_delegate *d = s->nodes[e->node].delegate;

	renewal_delegate_on_grant(d, s->nodes[1 - e->node].name, &e->grant,
				  s->now_ms);
	if (s->defect == DEFECT_GRANT_FOREVER && d->valid_until_ms)
		d->valid_until_ms = INT64_MAX;
}

void gang_sim_tick_delegate(struct gang_sim *s, struct sim_node *n)
{
	const struct sim_node *other = &s->nodes[1 - n->index];
	const struct delegated_worker *w;
	struct renewal_report report = { 0 };
	int64_t epoch;

	if (s->now_ms >= s->link_cut_until_ms &&
	    s->now_ms >= other->paused_until_ms && gang_sim_chance(s, 10) &&
	    gang_sim_role(s, other->index, &epoch) == POOL_ROLE_HOLDER)
		renewal_delegate_on_holder(n->delegate, other->name, epoch);
	if (n->role != POOL_ROLE_NONE)
		return;
	while ((w = renewal_delegate_next(n->delegate, s->now_ms)))
		delegate_call(n, w);
	renewal_report_init(&report);
	if (renewal_delegate_report(n->delegate, s->now_ms, &report))
		send_on_link(s, other->index, &report, NULL);
	renewal_report_clear(&report);
}

void gang_sim_on_delegate_answer(struct gang_sim *s, struct sim_event *e)
{
	renewal_delegate_on_answer(s->nodes[e->node].delegate,
				   s->workers[e->worker].name, e->call_id,
				   e->answer, &e->report, s->now_ms);
}
