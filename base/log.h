/**
 * @file
 * Structured logging with log4c: one line of key=value pairs per event.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <glib.h>
#include <stdint.h>

/** Limit of lines per second; several times what a busy lease holder writes. */
#define LOG_LINES_PER_S 1000

enum log_level {
	LOG_LEVEL_DEBUG,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARN,
	LOG_LEVEL_ERROR,
};

/** A line being built; allocated on the caller's stack. */
struct log_line {
	enum log_level level;
	GString *text; /**< NULL if the level is not logged */
};

/**
 * Opens the log on standard error.
 *
 * @param node	name of this process, written in each line
 */
void log_open(const char *node, enum log_level level);

/**
 * Opens the log on standard output without ever blocking on its reader: lines
 * above LOG_LINES_PER_S and lines that the reader does not accept are dropped.
 * The next line written is preceded by the number of dropped lines.
 */
void log_open_stdout(const char *node, enum log_level level);

/** Returns the number of lines dropped since the process started. */
uint64_t log_lines_dropped(void);
void log_close(void);

/** Shortest interval of lines that tell of a reached limit. */
#define LOG_LIMIT_INTERVAL_MS 10000

/** Bounds how often a line is written; zeroed at first. */
struct log_pace {
	int64_t next_ms; /**< monotonic time from which it may be written */
};

/** Returns TRUE if the line is due; then it isn't for an interval. */
gboolean log_pace_is_due(struct log_pace *p, int64_t now_ms,
			 int64_t interval_ms);

/** Starts a line for an event, such as "route" or "lease_acquired". */
void log_begin(struct log_line *line, enum log_level level, const char *event);

/** Adds a string, quoted and escaped if it contains special characters. */
void log_str(struct log_line *line, const char *key, const char *value);
void log_int(struct log_line *line, const char *key, int64_t value);
void log_real(struct log_line *line, const char *key, double value);

/** Writes the line. */
void log_end(struct log_line *line);

#endif
