#include "base/process_usage.h"

#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#define STATM_FILE "/proc/self/statm"
#define BYTES_PER_KB INT64_C(1024)

static int64_t timeval_us(const struct timeval *t)
{
	return (int64_t)t->tv_sec * G_USEC_PER_SEC + t->tv_usec;
}

/* Returns 0 where the system does not tell. */
static int64_t resident_bytes(void)
{
	int64_t pages = 0;
	char *text = NULL;
	char **fields;

	if (!g_file_get_contents(STATM_FILE, &text, NULL, NULL))
		return 0;
	fields = g_strsplit(text, " ", 3);
	if (fields[0] && fields[1])
		pages = g_ascii_strtoll(fields[1], NULL, 10);
	g_strfreev(fields);
	g_free(text);
	return pages * sysconf(_SC_PAGESIZE);
}

void process_usage_update(struct counters *counters)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	counter_set(counters_gauge(counters, "cs_process_cpu_us",
				   "Processor time used, microseconds"),
		    timeval_us(&usage.ru_utime) + timeval_us(&usage.ru_stime));
	counter_set(counters_gauge(counters, "cs_process_resident_bytes",
				   "Resident memory, bytes"),
		    resident_bytes());
	counter_set(counters_gauge(counters, "cs_process_peak_bytes",
				   "Peak resident memory, bytes"),
		    usage.ru_maxrss * BYTES_PER_KB);
}
