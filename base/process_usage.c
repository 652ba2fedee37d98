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

struct resident {
	int64_t all_bytes;
	int64_t file_bytes; /* pages backed by files, part of all_bytes */
};

/* Returns zeroes if STATM_FILE can't be read. */
static struct resident read_resident(void)
{
	struct resident r = { 0 };
	int64_t page_bytes = sysconf(_SC_PAGESIZE);
	char *text = NULL;
	char **fields;

	if (!g_file_get_contents(STATM_FILE, &text, NULL, NULL))
		return r;
	fields = g_strsplit(text, " ", 4);
	if (g_strv_length(fields) > 2) {
		r.all_bytes = g_ascii_strtoll(fields[1], NULL, 10) * page_bytes;
		r.file_bytes =
			g_ascii_strtoll(fields[2], NULL, 10) * page_bytes;
	}
	g_strfreev(fields);
	g_free(text);
	return r;
}

int64_t process_usage_private_bytes(void)
{
	struct resident r = read_resident();

	return r.all_bytes - r.file_bytes;
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
		    read_resident().all_bytes);
	counter_set(counters_gauge(counters, "cs_process_peak_bytes",
				   "Peak resident memory, bytes"),
		    usage.ru_maxrss * BYTES_PER_KB);
}
