#include "daemon/renewal_service.h"

#include "base/log.h"
#include "base/util.h"
#include "daemon/http_service.h"
#include "daemon/job_service.h"
#include "daemon/pool_runner.h"
#include "daemon/settings_service.h"
#include "daemon/worker_http.h"
#include "job/renewal_delegate.h"
#include "link/link_service.h"
#include "shared/membership_service.h"
#include "shared/pool_lease.h"

#define TIMER_MIN_MS INT64_C(10)
#define TIMER_MAX_MS INT64_C(1000)

struct renewal_service {
	struct service base;
	struct kernel *kernel;
	struct link_service *link;
	GPtrArray *delegates; /**< of struct renewal_delegate, one per pool */
	GHashTable *calls;    /**< set of struct renewal_call */
	guint timer;
	struct counter *renewals;
};

/** A renewal call to a worker in flight. */
struct renewal_call {
	struct renewal_service *service;
	struct renewal_delegate *delegate;
	struct http_call *http;
	char *worker;
	int64_t call_id;
};

static void arm(struct renewal_service *s, int64_t now_ms);

static void renewal_call_free(gpointer data)
{
	struct renewal_call *c = data;

	g_free(c->worker);
	g_free(c);
}

static void on_reply(const struct http_reply *reply, void *data)
{
	struct renewal_call *c = data;
	struct renewal_service *s = c->service;
	struct worker_report report = { 0 };
	int64_t now_ms = util_monotonic_ms();
	enum worker_answer answer;

	answer = worker_http_decode(reply, c->delegate->pool, c->worker,
				    &report);
	renewal_delegate_on_answer(c->delegate, c->worker, c->call_id, answer,
				   &report, now_ms);
	worker_report_clear(&report);
	g_hash_table_remove(s->calls, c);
	arm(s, now_ms);
}

static void renew(struct renewal_service *s, struct renewal_delegate *d,
		  const struct delegated_worker *w)
{
	struct renewal_call *c = g_new0(struct renewal_call, 1);
	struct worker_call call;

	c->service = s;
	c->delegate = d;
	c->worker = g_strdup(w->name);
	c->call_id = w->call_id;
	g_hash_table_add(s->calls, c);
	worker_call_init(&call, d->pool, d->epoch, settings_of(s->kernel)->node,
			 d->lease_ms);
	call.known = g_strdup(w->worker_digest);
	c->http = worker_http_send(s->kernel, w->address, &call, on_reply, c);
	worker_call_clear(&call);
	counter_add(s->renewals, 1);
}

static void send_report(struct renewal_service *s, struct renewal_delegate *d,
			int64_t now_ms)
{
	struct renewal_report report = { 0 };
	json_object *body;

	renewal_report_init(&report);
	if (renewal_delegate_report(d, now_ms, &report)) {
		body = schema_encode(&renewal_report_schema, &report);
		link_service_send(s->link, d->holder, MESSAGE_RENEWAL_REPORT,
				  body);
		json_object_put(body);
	}
	renewal_report_clear(&report);
}

/*
 * Returns TRUE if this process is holder or caretaker of the pool: it then
 * calls the workers itself and is no delegate.
 */
static gboolean has_pool_role(const struct renewal_service *s,
			      const struct renewal_delegate *d, int64_t now_ms)
{
	const struct pool_lease_service *lease =
		(const struct pool_lease_service *)kernel_find(
			s->kernel, POOL_LEASE_SERVICE);
	int64_t epoch;

	return pool_lease_role(lease, d->pool, now_ms, &epoch) !=
	       POOL_ROLE_NONE;
}

static gboolean on_timer(gpointer data)
{
	struct renewal_service *s = data;
	int64_t now_ms = util_monotonic_ms();

	s->timer = 0;
	for (guint i = 0; i < s->delegates->len; i++) {
		struct renewal_delegate *d = s->delegates->pdata[i];
		const struct delegated_worker *w;

		if (has_pool_role(s, d, now_ms))
			continue;
		while ((w = renewal_delegate_next(d, now_ms)))
			renew(s, d, w);
		send_report(s, d, now_ms);
	}
	arm(s, now_ms);
	return G_SOURCE_REMOVE;
}

static void arm(struct renewal_service *s, int64_t now_ms)
{
	int64_t due_ms = now_ms + TIMER_MAX_MS;

	for (guint i = 0; i < s->delegates->len; i++) {
		const struct renewal_delegate *d = s->delegates->pdata[i];

		if (!has_pool_role(s, d, now_ms))
			due_ms = MIN(due_ms, renewal_delegate_due_ms(d));
	}
	if (s->timer)
		g_source_remove(s->timer);
	s->timer = g_timeout_add((guint)MAX(due_ms - now_ms, TIMER_MIN_MS),
				 on_timer, s);
}

static struct renewal_delegate *find_delegate(const struct renewal_service *s,
					      const char *pool)
{
	for (guint i = 0; i < s->delegates->len; i++) {
		struct renewal_delegate *d = s->delegates->pdata[i];

		if (g_str_equal(d->pool, pool))
			return d;
	}
	return NULL;
}

static gboolean is_domain_scheduler(const struct renewal_service *s,
				    const struct link_identity *from)
{
	return from->role == LINK_ROLE_SCHEDULER &&
	       g_str_equal(from->failure_domain,
			   settings_of(s->kernel)->failure_domain);
}

static void on_heartbeat(const struct link_identity *from,
			 const struct heartbeat *h, void *data)
{
	struct renewal_service *s = data;

	for (guint i = 0; is_domain_scheduler(s, from) && i < h->pools->len;
	     i++) {
		const struct heartbeat_pool *p =
			&g_array_index(h->pools, struct heartbeat_pool, i);
		struct renewal_delegate *d = find_delegate(s, p->pool);

		if (!p->is_holder)
			continue;
		if (!d) {
			d = renewal_delegate_new(p->pool);
			g_ptr_array_add(s->delegates, d);
		}
		renewal_delegate_on_holder(d, from->node, p->epoch);
	}
}

static void on_report(const struct link_identity *from, json_object *body,
		      void *data)
{
	struct renewal_service *s = data;
	struct renewal_report report = { 0 };
	struct renewal_grant grant = { 0 };
	struct finding_list findings;
	struct pool_runner *p = NULL;
	json_object *answer;

	finding_list_init(&findings);
	renewal_grant_init(&grant);
	if (is_domain_scheduler(s, from) &&
	    schema_decode_lenient(&renewal_report_schema, body, &report, "",
				  &findings))
		p = job_service_find(s->kernel, report.pool);
	if (p &&
	    pool_runner_on_renewal_report(p, from->node, &report, &grant)) {
		answer = schema_encode(&renewal_grant_schema, &grant);
		link_service_send(s->link, from->node, MESSAGE_RENEWAL_GRANT,
				  answer);
		json_object_put(answer);
	}
	renewal_grant_clear(&grant);
	renewal_report_clear(&report);
	finding_list_clear(&findings);
}

static void on_grant(const struct link_identity *from, json_object *body,
		     void *data)
{
	struct renewal_service *s = data;
	struct renewal_grant grant = { 0 };
	struct finding_list findings;
	struct renewal_delegate *d = NULL;
	int64_t now_ms = util_monotonic_ms();

	finding_list_init(&findings);
	if (schema_decode_lenient(&renewal_grant_schema, body, &grant, "",
				  &findings))
		d = find_delegate(s, grant.pool);
	if (d) {
		renewal_delegate_on_grant(d, from->node, &grant, now_ms);
		arm(s, now_ms);
	}
	renewal_grant_clear(&grant);
	finding_list_clear(&findings);
}

static enum status renewal_service_start(struct service *base, struct kernel *k)
{
	struct renewal_service *s = (struct renewal_service *)base;

	s->kernel = k;
	s->link = (struct link_service *)kernel_find(k, LINK_SERVICE);
	s->renewals = counters_counter(kernel_counters(k), "cs_renewals",
				       "Renewals for other holders");
	link_service_set_handler(s->link, MESSAGE_RENEWAL_REPORT, on_report, s);
	link_service_set_handler(s->link, MESSAGE_RENEWAL_GRANT, on_grant, s);
	membership_service_subscribe(membership_of(k), on_heartbeat, s);
	arm(s, util_monotonic_ms());
	return STATUS_OK;
}

static void renewal_service_free(struct service *base)
{
	struct renewal_service *s = (struct renewal_service *)base;
	GHashTableIter iter;
	gpointer item;

	if (s->timer)
		g_source_remove(s->timer);
	g_hash_table_iter_init(&iter, s->calls);
	while (g_hash_table_iter_next(&iter, &item, NULL))
		http_call_cancel(((struct renewal_call *)item)->http);
	g_hash_table_unref(s->calls);
	g_ptr_array_unref(s->delegates);
	g_free(s);
}

static const struct service_class renewal_service_class = {
	.name = RENEWAL_SERVICE,
	.start = renewal_service_start,
	.free = renewal_service_free,
};

struct service *renewal_service_new(void)
{
	struct renewal_service *s = g_new0(struct renewal_service, 1);

	s->base.class = &renewal_service_class;
	s->delegates = g_ptr_array_new_with_free_func(
		(GDestroyNotify)renewal_delegate_free);
	s->calls = g_hash_table_new_full(NULL, NULL, renewal_call_free, NULL);
	return &s->base;
}
