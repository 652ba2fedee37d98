#include "shared/member_heartbeat.h"

/** Maximum age of the last heartbeat of a member that isn't listed by name: one
 *  heartbeat interval plus delay. */
#define MAX_HEARD_AGE_MS INT64_C(1250)
/** Limit for the doubling of member.full_sync_mismatches. */
#define MAX_FULL_SYNC_MISMATCHES 32U

static void add_heard(const struct member *m, int64_t age_ms, GArray *out)
{
	struct heard_member heard = {
		.node = g_strdup(m->record.identity.node),
		.generation = m->record.generation,
		.age_ms = MAX(age_ms, 0),
	};

	g_array_append_val(out, heard);
}

static void add_record(const struct member *m, GArray *out)
{
	struct member_record record = { 0 };

	member_record_copy(&record, &m->record);
	g_array_append_val(out, record);
}

/* Adds the disputed state for the member to refute, if it is still newer. */
static void add_disputed(const struct member_table *t, const struct member *m,
			 GArray *out)
{
	struct member_record record = { 0 };

	member_record_copy(&record, &m->record);
	record.state = m->disputed_state;
	record.state_version = m->disputed_version;
	if (t->rules->is_newer_state(&record, &m->record))
		g_array_append_val(out, record);
	else
		member_record_clear(&record);
}

/*
 * Returns the last change under the receiver's view, or -1 if that view is
 * unknown here or too old.
 */
static int64_t base_change(const struct member_table *t, int64_t now_ms,
			   const struct member *to)
{
	if (!to || now_ms - to->heard_ms > MAX_HEARD_AGE_MS ||
	    to->reported_view == MEMBER_VIEW_NONE)
		return -1;
	return member_view_find(&t->view, to->reported_view);
}

/* Lists the member by name if it deviates from the receiver's view. */
static void fill_member(const struct member *m, int64_t now_ms, int64_t change,
			gboolean list_all, struct heartbeat *out)
{
	int64_t age_ms = now_ms - m->heard_ms;
	gboolean is_implied = member_is_live(m) && age_ms <= MAX_HEARD_AGE_MS &&
			      m->change <= change;

	if (is_implied)
		out->heard_age_ms = MAX(out->heard_age_ms, age_ms);
	else if (member_is_live(m) || m->change > change)
		g_ptr_array_add(out->silent, g_strdup(m->record.identity.node));
	if ((list_all || !is_implied) && age_ms < MEMBER_SUSPECT_MS)
		add_heard(m, age_ms, out->heard);
}

static void fill_heard(const struct member_table *t, int64_t now_ms,
		       const struct member *to, struct heartbeat *out)
{
	int64_t change = base_change(t, now_ms, to);
	gboolean list_all = change < 0;

	if (list_all)
		change = t->changes;
	else if (to->reported_view != out->view)
		out->base = to->reported_view;
	for (guint i = 0; i < t->members->len; i++) {
		const struct member *m = g_ptr_array_index(t->members, i);

		if (m != t->self && m != to &&
		    member_table_is_same_domain(t, m))
			fill_member(m, now_ms, change, list_all, out);
	}
}

/*
 * Returns TRUE if the receiver detects the member's silence by itself, as each
 * process of a domain does. Only the suspected member itself is sent the
 * record, to refute it. Full heartbeats contain the record nevertheless.
 */
static gboolean is_detected_by_receiver(const struct member_table *t,
					const struct member *m,
					const struct link_identity *to)
{
	return m->record.state == MEMBER_SUSPECT &&
	       member_table_is_same_domain(t, m) &&
	       g_str_equal(to->failure_domain,
			   m->record.identity.failure_domain) &&
	       !g_str_equal(to->node, m->record.identity.node);
}

static void fill_records(const struct member_table *t, int64_t since,
			 const struct link_identity *to, GArray *out)
{
	for (guint i = 0; i < t->members->len; i++) {
		const struct member *m = g_ptr_array_index(t->members, i);

		if (m == t->self || m->change <= since)
			continue;
		if (since == 0 || !is_detected_by_receiver(t, m, to))
			add_record(m, out);
	}
}

void member_heartbeat_fill(const struct member_table *t, int64_t now_ms,
			   int64_t since, const struct link_identity *to,
			   struct heartbeat *out)
{
	const struct member_record *own = &t->self->record;
	const struct member *receiver = member_table_find(t, to->node);

	out->generation = own->generation;
	out->state = own->state;
	out->state_version = own->state_version;
	out->config_version = own->config_version;
	out->status_version = own->status_version;
	out->view = member_view_digest(&t->view);
	out->silent = g_ptr_array_new_with_free_func(g_free);
	out->pools = g_array_new(FALSE, TRUE, sizeof(struct heartbeat_pool));
	out->heard = g_array_new(FALSE, TRUE, sizeof(struct heard_member));
	out->records = g_array_new(FALSE, TRUE, sizeof(struct member_record));
	if (g_str_equal(to->failure_domain, own->identity.failure_domain))
		fill_heard(t, now_ms, receiver, out);
	fill_records(t, since, to, out->records);
	if (receiver && receiver->is_disputed)
		add_disputed(t, receiver, out->records);
}

gboolean member_heartbeat_needs_full(const struct member_table *t,
				     const char *node)
{
	const struct member *m = member_table_find(t, node);

	return m && m->mismatches >= m->full_sync_mismatches;
}

void member_heartbeat_record_full(struct member_table *t, const char *node)
{
	struct member *m = member_table_find(t, node);

	if (m)
		m->full_sync_mismatches = MIN(2 * m->full_sync_mismatches,
					      MAX_FULL_SYNC_MISMATCHES);
}
