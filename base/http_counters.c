#include "base/http_counters.h"

struct total {
	const char *name;
	const char *help;
	size_t offset; /* in struct connection_counts */
};

#define TOTAL(name_, member, help_)                                  \
	{                                                            \
		.name = (name_), .help = (help_),                    \
		.offset = offsetof(struct connection_counts, member) \
	}

static const struct total totals[] = {
	TOTAL("cs_http_connections_refused", refused,
	      "Connections refused: too many"),
	TOTAL("cs_http_connections_evicted", evicted,
	      "Connections closed to make room"),
	TOTAL("cs_http_connections_idle", idle,
	      "Connections closed as idle too long"),
	TOTAL("cs_http_connections_slow", slow,
	      "Connections closed as too slow"),
	TOTAL("cs_http_connections_held", held,
	      "Connections closed as too much memory is held"),
	TOTAL("cs_http_connections_long_heads", heads,
	      "Requests refused: head too long"),
	TOTAL("cs_http_connections_long_bodies", bodies,
	      "Requests refused: body too long"),
	TOTAL("cs_http_connections_unserved", unserved,
	      "Requests refused: too much memory is held"),
};

void http_counters_update(struct counters *counters,
			  struct http_server *const *servers, guint count)
{
	int64_t sums[G_N_ELEMENTS(totals)] = { 0 };
	int64_t held_bytes = 0;
	int64_t open = 0;

	for (guint i = 0; i < count; i++) {
		const struct connection_guard *guard =
			http_server_guard(servers[i]);
		struct connection_counts counts =
			connection_guard_counts(guard);

		open += connection_guard_open_count(guard);
		held_bytes += connection_guard_held(guard);
		for (guint j = 0; j < G_N_ELEMENTS(totals); j++)
			sums[j] += (int64_t)G_STRUCT_MEMBER(uint64_t, &counts,
							    totals[j].offset);
	}
	counter_set(counters_gauge(counters, "cs_http_connections",
				   "Open connections of callers"),
		    open);
	counter_set(counters_gauge(counters, "cs_http_held_bytes",
				   "Memory held for callers' connections"),
		    held_bytes);
	for (guint j = 0; j < G_N_ELEMENTS(totals); j++)
		counter_set(counters_gauge(counters, totals[j].name,
					   totals[j].help),
			    sums[j]);
}
