#include "daemon/heap_service.h"

#include <malloc.h>

#include "base/heap_return.h"
#include "base/process_usage.h"

#define CHECK_PERIOD_S 10

struct heap_service {
	struct service base;
	struct heap_return heap;
	guint timer;
	struct counter *returns;
};

/* Returns the private resident bytes in excess of the allocated heap bytes. */
static int64_t unused_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return process_usage_private_bytes() -
	       (int64_t)(info.uordblks + info.hblkhd);
}

static gboolean on_timer(gpointer data)
{
	struct heap_service *s = data;

	if (!heap_return_is_due(&s->heap, unused_bytes()))
		return G_SOURCE_CONTINUE;
	malloc_trim(0);
	counter_add(s->returns, 1);
	heap_return_record_unused(&s->heap, unused_bytes());
	return G_SOURCE_CONTINUE;
}

static enum status heap_service_start(struct service *base, struct kernel *k)
{
	struct heap_service *s = (struct heap_service *)base;

	s->returns = counters_counter(
		kernel_counters(k), "cs_heap_returns_total",
		"Times that unused memory was given back to the system");
	s->timer = g_timeout_add_seconds(CHECK_PERIOD_S, on_timer, s);
	return STATUS_OK;
}

static void heap_service_free(struct service *base)
{
	struct heap_service *s = (struct heap_service *)base;

	if (s->timer)
		g_source_remove(s->timer);
	g_free(s);
}

static const struct service_class heap_service_class = {
	.name = HEAP_SERVICE,
	.start = heap_service_start,
	.free = heap_service_free,
};

struct service *heap_service_new(void)
{
	struct heap_service *s = g_new0(struct heap_service, 1);

	s->base.class = &heap_service_class;
	return &s->base;
}
