#include "store/vm_scope.h"

#include <string.h>

#include "base/util.h"

#define ETAG_MAX_BYTES 256
/*
 * Minimum interval and mean byte rate of unconditional reads, which recover
 * from a platform that never changes its ETag.
 */
#define UNCONDITIONAL_MIN_MS INT64_C(60000)
#define UNCONDITIONAL_BYTES_PER_S INT64_C(50)
/* Relative to the time until the next read. */
#define JITTER_SHARE 0.2

/*
 * Read rate of a kind of scope. After a burst of bodies, reads are delayed to
 * keep the mean byte rate, also if the platform sends no ETags.
 */
struct pace {
	int64_t min_ms; /* minimum interval */
	int64_t bytes_per_s;
	int64_t burst; /* number of bodies */
	double jitter; /* relative to the interval */
};

static const struct pace paces[] = {
	[VM_SCOPE_OWN] = { 900, 4000, 8, 0 },
	[VM_SCOPE_WHOLE] = { 5000, 250, 4, JITTER_SHARE },
	[VM_SCOPE_OTHER] = { 10000, 250, 4, JITTER_SHARE },
};

struct vm_scope *vm_scope_new(enum vm_scope_kind kind,
			      const char *failure_domain)
{
	struct vm_scope *s = g_new0(struct vm_scope, 1);

	s->kind = kind;
	s->body_pace.bytes_per_s = paces[kind].bytes_per_s;
	s->failure_domain = g_strdup(failure_domain);
	s->list_ms = -1;
	vm_list_init(&s->list);
	return s;
}

void vm_scope_free(struct vm_scope *s)
{
	vm_list_clear(&s->list);
	g_free(s->failure_domain);
	g_free(s->etag);
	g_free(s->digest);
	g_free(s);
}

const char *vm_scope_etag(const struct vm_scope *s, int64_t now_ms)
{
	if (s->is_etag_unreliable || now_ms >= s->unconditional_ms)
		return NULL;
	return s->etag;
}

static void count_body(struct vm_scope *s, int64_t bytes, int64_t now_ms)
{
	byte_pace_add(&s->body_pace, bytes, now_ms);
	s->body_bytes = bytes;
	s->unconditional_ms =
		now_ms + MAX(UNCONDITIONAL_MIN_MS,
			     bytes * MS_PER_S / UNCONDITIONAL_BYTES_PER_S);
}

static gboolean decode(struct vm_scope *s, GBytes *body,
		       const struct vm_list *known,
		       struct finding_list *findings)
{
	struct vm_list list;

	vm_list_init(&list);
	if (!vm_list_decode_bytes(&list, body, findings)) {
		vm_list_clear(&list);
		return FALSE;
	}
	vm_list_share(&list, known);
	vm_list_drop_index(&list);
	vm_list_clear(&s->list);
	s->list = list;
	return TRUE;
}

/*
 * Returns TRUE if a changed body has the ETag of the last one and the ETags are
 * still relied on; they no longer are from then on.
 */
static gboolean is_etag_reused(const struct vm_scope *s, const char *etag)
{
	return !s->is_etag_unreliable && etag && g_strcmp0(etag, s->etag) == 0;
}

static void store_etag(struct vm_scope *s, const char *etag)
{
	if (etag && strlen(etag) > ETAG_MAX_BYTES)
		etag = NULL;
	if (g_strcmp0(etag, s->etag) == 0)
		return;
	g_free(s->etag);
	s->etag = g_strdup(etag);
}

enum vm_scope_change vm_scope_update(struct vm_scope *s,
				     const struct platform_result *result,
				     const struct vm_list *known,
				     int64_t now_ms,
				     struct finding_list *findings)
{
	char *digest =
		g_compute_checksum_for_bytes(G_CHECKSUM_SHA256, result->bytes);
	enum vm_scope_change change = VM_SCOPE_UNCHANGED;

	count_body(s, (int64_t)g_bytes_get_size(result->bytes), now_ms);
	if (g_strcmp0(digest, s->digest) == 0)
		goto out;
	if (!decode(s, result->bytes, known, findings)) {
		g_free(digest);
		return VM_SCOPE_INVALID;
	}
	change = VM_SCOPE_CHANGED;
	if (is_etag_reused(s, result->etag)) {
		s->is_etag_unreliable = TRUE;
		change = VM_SCOPE_CHANGED_SAME_ETAG;
	}
	s->list_ms = now_ms;
out:
	store_etag(s, result->etag);
	g_free(s->digest);
	s->digest = digest;
	return change;
}

void vm_scope_schedule_next(struct vm_scope *s, int64_t now_ms, double jitter)
{
	const struct pace *p = &paces[s->kind];
	double factor = 1 + p->jitter * (2 * jitter - 1);
	int64_t delay_ms = byte_pace_delay_ms(&s->body_pace,
					      p->burst * s->body_bytes, now_ms);

	s->earliest_ms = now_ms + delay_ms;
	delay_ms = MAX(delay_ms, p->min_ms);
	s->next_ms = now_ms + (int64_t)((double)delay_ms * factor);
}
