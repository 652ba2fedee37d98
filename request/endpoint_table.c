#include "request/endpoint_table.h"

#include <string.h>

#define NO_TIME INT64_C(-1)
/** Window of the moving average of the occupancy. */
#define OCCUPANCY_EWMA_REPORTS 32
#define REFUSED_BACKOFF_MS INT64_C(20)
/** Time after which a list that shows a leaving endpoint as live is believed;
 *  longer than the list lags behind. */
#define LEAVING_EXPIRY_MS INT64_C(60000)
/** Limit of requests in flight at an endpoint without a recent report. */
#define PROBE_LIMIT 1u
/** Slow start after an ejection: the limit grows by one in each interval. */
#define SLOW_START_STEP_MS INT64_C(1000)

static void endpoint_free(gpointer data)
{
	struct endpoint *e = data;

	g_free(e->name);
	g_free(e->address);
	g_free(e->failure_domain);
	g_free(e);
}

struct endpoint_table *endpoint_table_new(const char *failure_domain)
{
	struct endpoint_table *t = g_new0(struct endpoint_table, 1);

	t->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   endpoint_free);
	t->endpoints = g_ptr_array_new();
	for (int i = 0; i < ENDPOINT_ROOM_COUNT; i++)
		t->by_room[i] = g_ptr_array_new();
	g_queue_init(&t->refused);
	t->failure_domain = g_strdup(failure_domain);
	t->gateway_count = 1;
	return t;
}

void endpoint_table_free(struct endpoint_table *t)
{
	g_hash_table_unref(t->by_name);
	g_ptr_array_unref(t->endpoints);
	for (int i = 0; i < ENDPOINT_ROOM_COUNT; i++)
		g_ptr_array_unref(t->by_room[i]);
	g_queue_clear(&t->refused);
	g_free(t->failure_domain);
	g_free(t);
}

static void set_room(struct endpoint_table *t, struct endpoint *e,
		     enum endpoint_room room)
{
	struct endpoint *last;
	GPtrArray *list;

	if (e->room == room)
		return;
	if (e->room != ENDPOINT_ROOM_NONE) {
		list = t->by_room[e->room];
		last = g_ptr_array_index(list, list->len - 1);
		list->pdata[e->room_index] = last;
		last->room_index = e->room_index;
		g_ptr_array_set_size(list, (gint)list->len - 1);
	}
	e->room = room;
	if (room != ENDPOINT_ROOM_NONE) {
		list = t->by_room[room];
		e->room_index = (int32_t)list->len;
		g_ptr_array_add(list, e);
	}
}

static uint32_t slow_start_limit(const struct endpoint *e, int64_t now_ms)
{
	int64_t steps;

	if (e->readmitted_ms == NO_TIME)
		return ENDPOINT_MAX_CONNECTIONS;
	steps = (now_ms - e->readmitted_ms) / SLOW_START_STEP_MS;
	return (uint32_t)CLAMP(steps + 1, 1, ENDPOINT_MAX_CONNECTIONS);
}

uint32_t endpoint_limit(const struct endpoint_table *t,
			const struct endpoint *e, int64_t now_ms)
{
	uint32_t max_connections =
		MAX(ENDPOINT_MAX_CONNECTIONS / t->gateway_count, 1);
	uint32_t limit = e->share;

	if (e->state != ENDPOINT_LIVE)
		return 0;
	if (e->report_ms == NO_TIME ||
	    now_ms - e->report_ms > ENDPOINT_REPORT_MAX_AGE_MS)
		limit = MAX(limit, PROBE_LIMIT);
	else if (e->slots > e->others_busy)
		limit = MAX(limit, e->slots - e->others_busy);
	limit = MIN(limit, slow_start_limit(e, now_ms));
	return MIN(MIN(limit, e->slots), max_connections);
}

static enum endpoint_room classify_room(const struct endpoint_table *t,
					const struct endpoint *e,
					int64_t now_ms)
{
	if (now_ms < e->refused_until_ms)
		return ENDPOINT_ROOM_NONE;
	if (e->in_flight >= endpoint_limit(t, e, now_ms))
		return ENDPOINT_ROOM_NONE;
	if (e->reach == ENDPOINT_REMOTE)
		return ENDPOINT_ROOM_REMOTE;
	return e->in_flight < e->share ? ENDPOINT_ROOM_OWN
				       : ENDPOINT_ROOM_BORROWED;
}

gboolean endpoint_table_update_room(struct endpoint_table *t,
				    struct endpoint *e, int64_t now_ms)
{
	set_room(t, e, classify_room(t, e, now_ms));
	return e->room != ENDPOINT_ROOM_NONE;
}

gboolean endpoint_table_any_has_room(const struct endpoint_table *t)
{
	for (int i = 0; i < ENDPOINT_ROOM_COUNT; i++) {
		if (t->by_room[i]->len > 0)
			return TRUE;
	}
	return FALSE;
}

void endpoint_table_record_refusal(struct endpoint_table *t, struct endpoint *e,
				   int64_t now_ms)
{
	if (now_ms < e->refused_until_ms)
		return;
	e->refused_until_ms = now_ms + REFUSED_BACKOFF_MS;
	g_queue_push_tail(&t->refused, e);
	endpoint_table_update_room(t, e, now_ms);
}

void endpoint_table_end_backoff(struct endpoint_table *t, int64_t now_ms)
{
	struct endpoint *e;

	while ((e = g_queue_peek_head(&t->refused)) &&
	       now_ms >= e->refused_until_ms) {
		g_queue_pop_head(&t->refused);
		endpoint_table_update_room(t, e, now_ms);
	}
}

/* Divides the slots over the gateways so that the shares add up exactly. */
static void set_share(const struct endpoint_table *t, struct endpoint *e)
{
	uint32_t position;

	if (e->reach == ENDPOINT_REMOTE) {
		e->share = 0;
		return;
	}
	position = (g_str_hash(e->name) + t->gateway_rank) % t->gateway_count;
	e->share = e->slots / t->gateway_count;
	if (position < e->slots % t->gateway_count)
		e->share++;
}

void endpoint_table_set_gateways(struct endpoint_table *t, uint32_t count,
				 uint32_t rank)
{
	t->gateway_count = MAX(count, 1);
	t->gateway_rank = rank;
	for (guint i = 0; i < t->endpoints->len; i++)
		set_share(t, g_ptr_array_index(t->endpoints, i));
}

void endpoint_table_set_state(struct endpoint_table *t, struct endpoint *e,
			      enum endpoint_state state, int64_t now_ms)
{
	if (e->state == state)
		return;
	if (e->state == ENDPOINT_EJECTED)
		t->ejected_count--;
	if (e->state == ENDPOINT_LEAVING)
		t->live_count[e->reach]++;
	e->state = state;
	if (state == ENDPOINT_EJECTED)
		t->ejected_count++;
	if (state == ENDPOINT_LEAVING) {
		t->live_count[e->reach]--;
		e->leaving_ms = now_ms;
	}
	endpoint_table_update_room(t, e, now_ms);
}

static struct endpoint *add_endpoint(struct endpoint_table *t,
				     const struct endpoint_spec *spec)
{
	struct endpoint *e = g_new0(struct endpoint, 1);

	e->name = g_strdup(spec->name);
	e->address = g_strdup(spec->address);
	e->failure_domain = g_strdup(spec->failure_domain);
	e->reach = g_str_equal(spec->failure_domain, t->failure_domain)
			   ? ENDPOINT_LOCAL
			   : ENDPOINT_REMOTE;
	e->slots = ENDPOINT_SLOTS;
	e->report_ms = NO_TIME;
	e->readmitted_ms = NO_TIME;
	e->room = ENDPOINT_ROOM_NONE;
	e->index = (int32_t)t->endpoints->len;
	t->live_count[e->reach]++;
	g_ptr_array_add(t->endpoints, e);
	g_hash_table_insert(t->by_name, e->name, e);
	set_share(t, e);
	return e;
}

static void drop_endpoint(struct endpoint_table *t, struct endpoint *e)
{
	struct endpoint *last;

	set_room(t, e, ENDPOINT_ROOM_NONE);
	g_queue_remove(&t->refused, e);
	last = g_ptr_array_index(t->endpoints, t->endpoints->len - 1);
	t->endpoints->pdata[e->index] = last;
	last->index = e->index;
	g_ptr_array_set_size(t->endpoints, (gint)t->endpoints->len - 1);
	g_hash_table_remove(t->by_name, e->name);
}

void endpoint_table_list_begin(struct endpoint_table *t, int64_t now_ms)
{
	t->list_ms = now_ms;
	for (guint i = 0; i < t->endpoints->len; i++)
		((struct endpoint *)t->endpoints->pdata[i])->is_listed = FALSE;
}

void endpoint_table_list_add(struct endpoint_table *t,
			     const struct endpoint_spec *spec)
{
	struct endpoint *e = endpoint_table_find(t, spec->name);

	/* A VM that was replaced under the same name is a new endpoint. */
	if (e && (!g_str_equal(e->address, spec->address) ||
		  !g_str_equal(e->failure_domain, spec->failure_domain))) {
		if (e->in_flight > 0)
			return;
		endpoint_table_set_state(t, e, ENDPOINT_LEAVING, 0);
		drop_endpoint(t, e);
		e = NULL;
	}
	if (!e)
		e = add_endpoint(t, spec);
	e->is_listed = TRUE;
	if (spec->is_leaving)
		endpoint_table_set_state(t, e, ENDPOINT_LEAVING, t->list_ms);
	else if (e->state == ENDPOINT_LEAVING &&
		 (e->is_absent ||
		  t->list_ms - e->leaving_ms > LEAVING_EXPIRY_MS))
		endpoint_table_set_state(t, e, ENDPOINT_LIVE, t->list_ms);
	else
		endpoint_table_update_room(t, e, t->list_ms);
	e->is_absent = FALSE;
}

void endpoint_table_list_end(struct endpoint_table *t)
{
	for (guint i = t->endpoints->len; i > 0; i--) {
		struct endpoint *e = g_ptr_array_index(t->endpoints, i - 1);

		if (e->is_listed)
			continue;
		e->is_absent |= e->state != ENDPOINT_LEAVING;
		endpoint_table_set_state(t, e, ENDPOINT_LEAVING, t->list_ms);
		if (e->in_flight == 0)
			drop_endpoint(t, e);
	}
}

struct endpoint *endpoint_table_find(const struct endpoint_table *t,
				     const char *name)
{
	return g_hash_table_lookup(t->by_name, name);
}

static double local_slots(const struct endpoint_table *t)
{
	return (double)MAX(t->live_count[ENDPOINT_LOCAL], 1) * ENDPOINT_SLOTS;
}

void endpoint_table_record_sent(struct endpoint_table *t, struct endpoint *e,
				int64_t now_ms)
{
	e->in_flight++;
	if (e->reach == ENDPOINT_LOCAL)
		t->occupancy += 1 / local_slots(t);
	endpoint_table_update_room(t, e, now_ms);
}

void endpoint_table_record_ended(struct endpoint_table *t, struct endpoint *e,
				 int64_t now_ms)
{
	e->in_flight--;
	if (e->reach == ENDPOINT_LOCAL)
		t->occupancy = MAX(t->occupancy - 1 / local_slots(t), 0);
	endpoint_table_update_room(t, e, now_ms);
}

void endpoint_table_apply_report(struct endpoint_table *t, struct endpoint *e,
				 uint32_t slots, uint32_t slots_busy,
				 int64_t now_ms)
{
	uint32_t own_busy = e->in_flight > 0 ? e->in_flight - 1 : 0;

	e->slots = slots;
	e->others_busy = slots_busy > own_busy ? slots_busy - own_busy : 0;
	e->report_ms = now_ms;
	set_share(t, e);
	if (e->reach == ENDPOINT_LOCAL && slots > 0)
		t->occupancy += ((double)slots_busy / slots - t->occupancy) /
				OCCUPANCY_EWMA_REPORTS;
	endpoint_table_update_room(t, e, now_ms);
}

void endpoint_table_refresh(struct endpoint_table *t, int64_t now_ms)
{
	for (guint i = 0; i < t->endpoints->len; i++)
		endpoint_table_update_room(t, t->endpoints->pdata[i], now_ms);
}

uint32_t endpoint_table_capacity(const struct endpoint_table *t)
{
	uint32_t slots = t->live_count[ENDPOINT_LOCAL] * ENDPOINT_SLOTS;

	return MAX(slots / t->gateway_count, 1);
}

uint32_t endpoint_busy_slots(const struct endpoint *e)
{
	return e->in_flight + e->others_busy;
}
