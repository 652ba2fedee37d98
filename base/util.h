/**
 * @file
 * Small helpers that every module may use.
 */
#ifndef BASE_UTIL_H
#define BASE_UTIL_H

#include <glib.h>
#include <stdint.h>

#define MS_PER_S INT64_C(1000)
#define US_PER_MS INT64_C(1000)

/** Returns the monotonic time in milliseconds. */
int64_t util_monotonic_ms(void);

/**
 * Returns the monotonic time in milliseconds, the time that the VM was
 * suspended included.
 */
int64_t util_boot_ms(void);

/** Returns the wall clock in milliseconds since the epoch. */
int64_t util_wall_ms(void);

/** Returns a new random identifier of 32 hexadecimal digits; free it. */
char *util_random_id(void);

/**
 * Splits "ADDRESS:PORT" into its parts.
 *
 * @param text	an IPv4 address in numbers, a colon and a port
 * @param host	set to a new string on success; free it
 * @param port	set to the port on success
 * @return	FALSE when @text has another form
 */
gboolean util_parse_endpoint(const char *text, char **host, uint16_t *port);

/** Mixes a number so that sums of mixed ones tell sets apart. */
uint64_t util_mix64(uint64_t x);

#endif
