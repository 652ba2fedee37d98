#include "shared/member_table.h"

#include <string.h>

#include "shared/pool_share.h"

/** Time between two steps that shows that this process was paused. */
#define PAUSE_MS INT64_C(1500)
/** Time of the last heartbeat of a member that was never heard. */
#define NEVER_MS (-MEMBER_FORGET_MS)

static void member_free(gpointer data)
{
	struct member *m = data;

	member_record_clear(&m->record);
	g_free(m);
}

static gint compare_members(gconstpointer a, gconstpointer b)
{
	const struct member *x = *(const struct member *const *)a;
	const struct member *y = *(const struct member *const *)b;

	return strcmp(x->record.identity.node, y->record.identity.node);
}

static struct member *add_member(struct member_table *t,
				 const struct member_record *record,
				 int64_t now_ms)
{
	struct member *m = g_new0(struct member, 1);

	member_record_copy(&m->record, record);
	m->heard_ms = NEVER_MS;
	m->indirect_ms = now_ms;
	m->suspect_ms = now_ms;
	m->ended_ms = now_ms;
	m->change = ++t->changes;
	m->full_sync_mismatches = MEMBER_FULL_SYNC_MISMATCHES;
	g_ptr_array_add(t->members, m);
	g_ptr_array_sort(t->members, compare_members);
	return m;
}

static gboolean has_ended(const struct member *m)
{
	return m->record.state == MEMBER_DEAD || m->record.state == MEMBER_LEFT;
}

static void update_view(struct member_table *t)
{
	int64_t digest = MEMBER_VIEW_NONE;

	if (t->view.count > 0 && t->view.entries[0].change == t->changes)
		return;
	for (guint i = 0; i < t->members->len; i++) {
		const struct member *m = g_ptr_array_index(t->members, i);

		if (!has_ended(m))
			digest = member_view_add(digest, &m->record);
	}
	member_view_record(&t->view, digest, t->changes);
}

void member_table_init(struct member_table *t, const struct link_identity *self,
		       int64_t generation, int64_t now_ms)
{
	struct member_record record = { .generation = generation };

	*t = (struct member_table){ .rules = &member_rules_default };
	t->members = g_ptr_array_new_with_free_func(member_free);
	t->step_ms = now_ms;
	record.identity = *self;
	t->self = add_member(t, &record, now_ms);
	update_view(t);
}

void member_table_clear(struct member_table *t)
{
	g_clear_pointer(&t->members, g_ptr_array_unref);
}

struct member *member_table_find(const struct member_table *t, const char *node)
{
	for (guint i = 0; i < t->members->len; i++) {
		struct member *m = g_ptr_array_index(t->members, i);

		if (g_str_equal(m->record.identity.node, node))
			return m;
	}
	return NULL;
}

gboolean member_table_is_same_domain(const struct member_table *t,
				     const struct member *m)
{
	return g_str_equal(m->record.identity.failure_domain,
			   t->self->record.identity.failure_domain);
}

gboolean member_is_live(const struct member *m)
{
	return m->record.state == MEMBER_ALIVE ||
	       m->record.state == MEMBER_SUSPECT;
}

static int64_t silence_ms(const struct member *m, int64_t now_ms)
{
	return now_ms - MAX(m->heard_ms, m->indirect_ms);
}

static void set_state(struct member_table *t, struct member *m, int64_t now_ms,
		      enum member_state state)
{
	m->record.state = state;
	m->change = ++t->changes;
	if (state == MEMBER_SUSPECT)
		m->suspect_ms = now_ms;
	if (has_ended(m))
		m->ended_ms = now_ms;
}

/* Overrides another member's record of this process by a higher version. */
static void refute(struct member_table *t, const struct member_record *remote)
{
	struct member_record *own = &t->self->record;

	if (remote->generation < own->generation)
		return;
	if (!g_str_equal(remote->identity.incarnation,
			 own->identity.incarnation)) {
		own->generation = remote->generation + 1;
		own->state_version = 0;
		t->self->change = ++t->changes;
		return;
	}
	if (!t->rules->is_newer_state(remote, own))
		return;
	own->state_version = remote->state_version + 1;
	t->self->change = ++t->changes;
}

/* Returns TRUE if a record reports a member as lost that is heard here. */
static gboolean contradicts(const struct member_table *t,
			    const struct member *m,
			    const struct member_record *record, int64_t now_ms)
{
	return record->generation == m->record.generation &&
	       member_table_is_same_domain(t, m) &&
	       (record->state == MEMBER_SUSPECT ||
		record->state == MEMBER_DEAD) &&
	       silence_ms(m, now_ms) < MEMBER_SUSPECT_MS;
}

/*
 * Keeps the reported state to send it to the member, whose refutation also
 * reaches processes that don't hear it.
 */
static void record_dispute(struct member *m, const struct member_record *remote)
{
	m->is_disputed = TRUE;
	m->disputed_state = remote->state;
	m->disputed_version = remote->state_version;
}

static void merge(struct member_table *t, int64_t now_ms,
		  const struct member_record *record)
{
	struct member *m = member_table_find(t, record->identity.node);
	gboolean is_new_generation;

	if (!m) {
		add_member(t, record, now_ms);
		return;
	}
	if (m == t->self) {
		refute(t, record);
		return;
	}
	if (contradicts(t, m, record, now_ms)) {
		record_dispute(m, record);
		return;
	}
	is_new_generation = record->generation > m->record.generation;
	if (!member_record_merge(&m->record, record, t->rules))
		return;
	if (is_new_generation) {
		m->indirect_ms = now_ms;
		m->is_disputed = FALSE;
	}
	set_state(t, m, now_ms, (enum member_state)m->record.state);
}

void member_table_merge(struct member_table *t, int64_t now_ms,
			const struct member_record *record)
{
	merge(t, now_ms, record);
	update_view(t);
}

static void apply_heard(struct member_table *t, int64_t now_ms,
			const struct heartbeat *h)
{
	for (guint i = 0; i < h->heard->len; i++) {
		const struct heard_member *heard =
			&g_array_index(h->heard, struct heard_member, i);
		struct member *m = member_table_find(t, heard->node);

		if (m && heard->generation == m->record.generation)
			m->indirect_ms =
				MAX(m->indirect_ms, now_ms - heard->age_ms);
	}
}

static gboolean is_silent_to(const struct heartbeat *h, const struct member *m)
{
	return h->silent &&
	       g_ptr_array_find_with_equal_func(
		       h->silent, m->record.identity.node, g_str_equal, NULL);
}

/*
 * Records as heard the members that the sender implies by its view: all in it
 * except for the silent ones. This requires that the view was also this
 * process's own; members that have changed since then aren't implied.
 */
static void apply_view(struct member_table *t, int64_t now_ms,
		       const struct member *from, const struct heartbeat *h)
{
	int64_t view = h->base == MEMBER_VIEW_NONE ? h->view : h->base;
	int64_t change = member_view_find(&t->view, view);

	if (view == MEMBER_VIEW_NONE || !member_table_is_same_domain(t, from))
		return;
	for (guint i = 0; i < t->members->len; i++) {
		struct member *m = g_ptr_array_index(t->members, i);

		if (m != t->self && m != from && m->change <= change &&
		    member_is_live(m) && member_table_is_same_domain(t, m) &&
		    !is_silent_to(h, m))
			m->indirect_ms =
				MAX(m->indirect_ms, now_ms - h->heard_age_ms);
	}
}

/*
 * Counts consecutive heartbeats with a differing view. While neither view
 * changes, full heartbeats become rarer; a change of either makes the next one
 * due soon.
 */
static void compare_view(const struct member_table *t, struct member *from,
			 int64_t view)
{
	int64_t own = member_view_digest(&t->view);
	gboolean is_same = view == MEMBER_VIEW_NONE || view == own;
	gboolean has_view_changed =
		view != from->reported_view || own != from->compared_view;

	from->reported_view = view;
	from->compared_view = own;
	from->mismatches = is_same ? 0 : from->mismatches + 1;
	if (is_same)
		from->full_sync_mismatches = MEMBER_FULL_SYNC_MISMATCHES;
	else if (has_view_changed)
		from->full_sync_mismatches =
			MIN(from->full_sync_mismatches,
			    from->mismatches + MEMBER_FULL_SYNC_MISMATCHES - 1);
}

void member_table_on_heartbeat(struct member_table *t, int64_t now_ms,
			       const struct link_identity *from,
			       const struct heartbeat *h)
{
	struct member_record record = {
		.identity = *from,
		.generation = h->generation,
		.state = h->state,
		.state_version = h->state_version,
		.config_version = h->config_version,
		.status_version = h->status_version,
	};
	struct member *m;

	merge(t, now_ms, &record);
	m = member_table_find(t, from->node);
	if (m && m != t->self && m->record.generation == h->generation) {
		m->heard_ms = now_ms;
		if (m->record.state == MEMBER_SUSPECT ||
		    m->record.state == MEMBER_DEAD)
			set_state(t, m, now_ms, MEMBER_ALIVE);
	}
	apply_heard(t, now_ms, h);
	for (guint i = 0; i < h->records->len; i++)
		merge(t, now_ms,
		      &g_array_index(h->records, struct member_record, i));
	update_view(t);
	if (!m || m == t->self)
		return;
	/* A sender with an older generation doesn't know the newer one yet;
	 * its view is compared so that it gets all records. */
	compare_view(t, m, h->view);
	if (m->record.generation == h->generation)
		apply_view(t, now_ms, m, h);
}

static void step_member(struct member_table *t, struct member *m,
			int64_t now_ms)
{
	gboolean is_silent = silence_ms(m, now_ms) >= MEMBER_SUSPECT_MS;

	switch ((enum member_state)m->record.state) {
	case MEMBER_ALIVE:
		if (is_silent)
			set_state(t, m, now_ms,
				  m->hint == VM_HINT_LEAVING ? MEMBER_LEFT
							     : MEMBER_SUSPECT);
		break;
	case MEMBER_SUSPECT:
		if (!is_silent)
			set_state(t, m, now_ms, MEMBER_ALIVE);
		else if (m->hint == VM_HINT_ABSENT ||
			 now_ms - m->suspect_ms >= MEMBER_DEAD_MS)
			set_state(t, m, now_ms, MEMBER_DEAD);
		break;
	case MEMBER_LEAVING:
		if (is_silent)
			set_state(t, m, now_ms, MEMBER_LEFT);
		break;
	default:
		break;
	}
}

/* Excludes a pause of this process from the silence of the others. */
static void discount_pause(struct member_table *t, int64_t now_ms)
{
	int64_t pause_ms = now_ms - t->step_ms;

	if (pause_ms < PAUSE_MS)
		return;
	for (guint i = 0; i < t->members->len; i++) {
		struct member *m = g_ptr_array_index(t->members, i);

		m->heard_ms += pause_ms;
		m->indirect_ms += pause_ms;
		m->suspect_ms += pause_ms;
	}
}

void member_table_step(struct member_table *t, int64_t now_ms)
{
	discount_pause(t, now_ms);
	t->step_ms = now_ms;
	for (guint i = t->members->len; i > 0; i--) {
		struct member *m = g_ptr_array_index(t->members, i - 1);

		if (m == t->self)
			continue;
		if (has_ended(m) && now_ms - m->ended_ms >= MEMBER_FORGET_MS) {
			g_ptr_array_remove_index(t->members, i - 1);
			t->changes++;
		} else if (member_table_is_same_domain(t, m)) {
			step_member(t, m, now_ms);
		}
	}
	update_view(t);
}

int64_t member_table_due_ms(const struct member_table *t)
{
	int64_t due_ms = INT64_MAX;

	for (guint i = 0; i < t->members->len; i++) {
		const struct member *m = g_ptr_array_index(t->members, i);

		if (m == t->self || !member_table_is_same_domain(t, m) ||
		    has_ended(m))
			continue;
		if (m->record.state == MEMBER_SUSPECT)
			due_ms = MIN(due_ms, m->suspect_ms + MEMBER_DEAD_MS);
		else
			due_ms = MIN(due_ms, MAX(m->heard_ms, m->indirect_ms) +
						     MEMBER_SUSPECT_MS);
	}
	return due_ms;
}

void member_table_set_status(struct member_table *t, int64_t config_version)
{
	struct member_record *own = &t->self->record;

	if (own->config_version == config_version)
		return;
	own->config_version = config_version;
	own->status_version++;
}

void member_table_leave(struct member_table *t)
{
	struct member_record *own = &t->self->record;

	if (own->state == MEMBER_LEAVING)
		return;
	own->state = MEMBER_LEAVING;
	own->state_version++;
	t->self->change = ++t->changes;
	update_view(t);
}

GPtrArray *member_table_live(const struct member_table *t, enum link_role role,
			     const char *failure_domain)
{
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < t->members->len; i++) {
		struct member *m = g_ptr_array_index(t->members, i);

		if (member_is_live(m) && m->record.identity.role == role &&
		    g_str_equal(m->record.identity.failure_domain,
				failure_domain))
			g_ptr_array_add(out, m);
	}
	return out;
}

/* Returns TRUE if a member ranks among the first of its domain for a key. */
static gboolean is_among_first(const struct member_table *t,
			       const struct member *m, const char *key,
			       guint count)
{
	uint64_t score = pool_share_score(key, m->record.identity.node);
	guint ahead = 0;

	for (guint i = 0; i < t->members->len; i++) {
		const struct member *other = g_ptr_array_index(t->members, i);

		if (other != m && member_is_live(other) &&
		    g_str_equal(other->record.identity.failure_domain,
				m->record.identity.failure_domain) &&
		    pool_share_score(key, other->record.identity.node) > score)
			ahead++;
	}
	return ahead < count;
}

gboolean member_table_is_elected(const struct member_table *t, const char *task,
				 guint count)
{
	return is_among_first(t, t->self, task, count);
}

/* Returns a key that is the same in either order of the names. */
static char *pair_key(const char *a, const char *b)
{
	return strcmp(a, b) < 0 ? g_strdup_printf("%s|%s", a, b)
				: g_strdup_printf("%s|%s", b, a);
}

/* Returns TRUE if this process and the member bridge their domains. */
static gboolean is_bridged(const struct member_table *t, const struct member *m)
{
	char *key = pair_key(t->self->record.identity.failure_domain,
			     m->record.identity.failure_domain);
	gboolean is_bridge = is_among_first(t, t->self, key, MEMBER_BRIDGES) &&
			     is_among_first(t, m, key, MEMBER_BRIDGES);

	g_free(key);
	return is_bridge;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *member_table_targets(const struct member_table *t)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < t->members->len; i++) {
		const struct member *m = g_ptr_array_index(t->members, i);
		gboolean is_target;

		if (m == t->self || m->record.state == MEMBER_LEFT)
			continue;
		if (member_table_is_same_domain(t, m))
			is_target = TRUE;
		else
			is_target = member_is_live(m) && is_bridged(t, m);
		if (is_target)
			g_ptr_array_add(out, g_strdup(m->record.identity.link));
	}
	g_ptr_array_sort(out, compare_names);
	return out;
}
