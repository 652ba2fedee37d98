/**
 * @file
 * Structured logs: one line of key=value pairs for each event, by log4c.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <glib.h>
#include <stdint.h>

/** Lines a second; several times what a busy holder writes. */
#define LOG_LINES_PER_S 1000

enum log_level {
	LOG_LEVEL_DEBUG,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARN,
	LOG_LEVEL_ERROR,
};

/** A line being built; lives on the caller's stack. */
struct log_line {
	enum log_level level;
	GString *text; /**< NULL when the level is not logged */
};

/**
 * Opens the log on standard error.
 *
 * @param node	the name of this process, part of each line
 */
void log_open(const char *node, enum log_level level);

/**
 * Opens the log on standard output, without ever waiting for its reader: at
 * most LOG_LINES_PER_S are written, and what the reader doesn't take is left
 * out. How many lines were left out is said with the next line that is not.
 */
void log_open_output(const char *node, enum log_level level);

/** Returns the number of lines left out since the log was opened. */
uint64_t log_lines_dropped(void);
void log_close(void);

/** Starts a line for an event, such as "route" or "lease_acquired". */
void log_begin(struct log_line *line, enum log_level level, const char *event);

/** Adds a string; it is quoted when it holds blanks, quotes or controls. */
void log_str(struct log_line *line, const char *key, const char *value);
void log_int(struct log_line *line, const char *key, int64_t value);
void log_real(struct log_line *line, const char *key, double value);

/** Writes the line. */
void log_end(struct log_line *line);

#endif
