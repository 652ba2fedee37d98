#include "store/vm_scope.h"

#include <string.h>

#include "base/util.h"

#define ETAG_MAX_BYTES 256
/** Reads without condition, that mend an ETag which stays for ever. */
#define WHOLE_MIN_MS INT64_C(60000)
#define WHOLE_BYTES_PER_S INT64_C(50)
/** Of the time to the next read. */
#define JITTER 0.2

/*
 * How often a kind is read. After a burst of bodies the reads are spread so
 * that bodies stay below a rate, also on a platform without ETags.
 */
struct pace {
	int64_t min_ms;
	int64_t bytes_per_s;
	int64_t burst; /* bodies */
	double jitter;
};

static const struct pace paces[] = {
	[VM_SCOPE_OWN] = { 900, 4000, 8, 0 },
	[VM_SCOPE_WHOLE] = { 5000, 250, 4, JITTER },
	[VM_SCOPE_OTHER] = { 10000, 250, 4, JITTER },
};

struct vm_scope *vm_scope_new(enum vm_scope_kind kind,
			      const char *failure_domain)
{
	struct vm_scope *s = g_new0(struct vm_scope, 1);

	s->kind = kind;
	s->bytes.bytes_per_s = paces[kind].bytes_per_s;
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
	if (s->is_distrusted || now_ms >= s->whole_ms)
		return NULL;
	return s->etag;
}

static void count_body(struct vm_scope *s, int64_t bytes, int64_t now_ms)
{
	byte_pace_add(&s->bytes, bytes, now_ms);
	s->body_bytes = bytes;
	s->whole_ms = now_ms +
		      MAX(WHOLE_MIN_MS, bytes * MS_PER_S / WHOLE_BYTES_PER_S);
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
	vm_list_pack(&list);
	vm_list_clear(&s->list);
	s->list = list;
	return TRUE;
}

/* An ETag that stayed with another body is not relied on again. */
static gboolean has_lied(const struct vm_scope *s, const char *etag)
{
	return !s->is_distrusted && etag && g_strcmp0(etag, s->etag) == 0;
}

static void keep_etag(struct vm_scope *s, const char *etag)
{
	if (etag && strlen(etag) > ETAG_MAX_BYTES)
		etag = NULL;
	if (g_strcmp0(etag, s->etag) == 0)
		return;
	g_free(s->etag);
	s->etag = g_strdup(etag);
}

enum vm_scope_change vm_scope_take(struct vm_scope *s,
				   const struct platform_result *result,
				   const struct vm_list *known, int64_t now_ms,
				   struct finding_list *findings)
{
	char *digest =
		g_compute_checksum_for_bytes(G_CHECKSUM_SHA256, result->bytes);
	enum vm_scope_change change = VM_SCOPE_SAME;

	count_body(s, (int64_t)g_bytes_get_size(result->bytes), now_ms);
	if (g_strcmp0(digest, s->digest) == 0)
		goto out;
	if (!decode(s, result->bytes, known, findings)) {
		g_free(digest);
		return VM_SCOPE_REFUSED;
	}
	change = VM_SCOPE_CHANGED;
	if (has_lied(s, result->etag)) {
		s->is_distrusted = TRUE;
		change = VM_SCOPE_CHANGED_UNTOLD;
	}
	s->list_ms = now_ms;
out:
	keep_etag(s, result->etag);
	g_free(s->digest);
	s->digest = digest;
	return change;
}

void vm_scope_plan(struct vm_scope *s, int64_t now_ms, double jitter)
{
	const struct pace *p = &paces[s->kind];
	double factor = 1 + p->jitter * (2 * jitter - 1);
	int64_t delay_ms =
		byte_pace_delay_ms(&s->bytes, p->burst * s->body_bytes, now_ms);

	s->paced_ms = now_ms + delay_ms;
	delay_ms = MAX(delay_ms, p->min_ms);
	s->next_ms = now_ms + (int64_t)((double)delay_ms * factor);
}
