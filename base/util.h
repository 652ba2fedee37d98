/**
 * @file
 * Time, identifier and address helpers for all modules.
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
 * Returns the monotonic time in milliseconds, including time during which the
 * VM was suspended.
 */
int64_t util_boot_ms(void);

/** Returns the wall-clock time in milliseconds since the Unix epoch. */
int64_t util_wall_ms(void);

/** Returns the wall-clock time in microseconds since the Unix epoch. */
int64_t util_wall_us(void);

/**
 * Converts a time of util_monotonic_ms() to wall-clock time in milliseconds.
 * Rounds up: an event must not be dated before an earlier util_wall_ms().
 */
int64_t util_wall_at_ms(int64_t monotonic_ms);

/** Returns a random identifier of 32 hex digits; free it with g_free(). */
char *util_random_id(void);

/**
 * Splits "ADDRESS:PORT" into its parts.
 *
 * @param text	a numeric IP address, a colon and a port
 * @param host	set to a new string on success; free it with g_free()
 * @param port	set to the port on success
 * @return	FALSE if @text has another form
 */
gboolean util_parse_endpoint(const char *text, char **host, uint16_t *port);

/** Hashes a number; sums of the hashes serve as fingerprints of sets. */
uint64_t util_mix64(uint64_t x);

#endif
