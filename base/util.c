#include "base/util.h"

#include <gio/gio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define RANDOM_ID_WORDS 4
#define RANDOM_ID_DIGITS 32

int64_t util_monotonic_ms(void)
{
	return g_get_monotonic_time() / US_PER_MS;
}

int64_t util_boot_ms(void)
{
	struct timespec t = { 0 };

	clock_gettime(CLOCK_BOOTTIME, &t);
	return (int64_t)t.tv_sec * MS_PER_S + t.tv_nsec / (US_PER_MS * 1000);
}

int64_t util_wall_ms(void)
{
	return util_wall_us() / US_PER_MS;
}

int64_t util_wall_us(void)
{
	return g_get_real_time();
}

int64_t util_wall_at_ms(int64_t monotonic_ms)
{
	/* In this order, a pause between the readings dates it later. */
	int64_t monotonic_us = g_get_monotonic_time();
	int64_t offset_us = util_wall_us() - monotonic_us;

	/* Both readings are rounded down, so the offset may lack 1 us. */
	offset_us++;
	return monotonic_ms + (offset_us + US_PER_MS - 1) / US_PER_MS;
}

char *util_random_id(void)
{
	GString *id = g_string_sized_new(RANDOM_ID_DIGITS);

	for (int i = 0; i < RANDOM_ID_WORDS; i++)
		g_string_append_printf(id, "%08x", g_random_int());
	return g_string_free(id, FALSE);
}

gboolean util_parse_endpoint(const char *text, char **host, uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	guint64 number = 0;
	char *head;

	if (!colon)
		return FALSE;
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 0, UINT16_MAX, &number,
					NULL))
		return FALSE;
	head = g_strndup(text, colon - text);
	if (!g_hostname_is_ip_address(head)) {
		g_free(head);
		return FALSE;
	}
	*host = head;
	*port = (uint16_t)number;
	return TRUE;
}

/* The finalizer of splitmix64. */
uint64_t util_mix64(uint64_t x)
{
	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return x ^ (x >> 31);
}
