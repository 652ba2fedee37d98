#include "store/platform_counters.h"

void platform_counters_init(struct platform_counters *p, struct counters *c)
{
	p->reads = counters_counter(c, "cs_platform_reads_total",
				    "Reads sent to the platform");
	p->writes = counters_counter(c, "cs_platform_writes_total",
				     "Writes sent to the platform");
	p->unknown = counters_counter(
		c, "cs_platform_unknown_total",
		"Writes to the platform whose outcome is not known");
	p->unavailable = counters_counter(
		c, "cs_platform_unavailable_total",
		"Calls to the platform that failed without effect");
	p->refused = counters_counter(
		c, "cs_platform_refused_total",
		"Calls not sent: breaker open or no budget in time");
	p->breaker_openings = counters_counter(c, "cs_platform_openings_total",
					       "Times that the breaker opened");
	p->waiting = counters_gauge(c, "cs_platform_waiting",
				    "Calls that wait for the budget");
	p->sent_bytes = counters_gauge(c, "cs_platform_sent_bytes",
				       "Sent to the platform, with headers");
	p->received_bytes =
		counters_gauge(c, "cs_platform_received_bytes",
			       "Received of the platform, with headers");
	p->latency = counters_histogram(c, "cs_platform_latency_seconds",
					"Time of a call to the platform");
}
