#include "base/log.h"

#include <errno.h>
#include <fcntl.h>
#include <log4c.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/util.h"

#define CATEGORY_NAME "corianderstep"

static log4c_category_t *category;
static char *node_name;
static enum log_level minimum_level = LOG_LEVEL_INFO;

/* Output stream, its rate limiter and the number of dropped lines. */
static struct {
	gboolean is_stdout; /* set to non-blocking; else stderr is used */
	double tokens;	    /* lines that may be written now */
	int64_t refilled_ms;
	uint64_t dropped;
	uint64_t dropped_reported;
} output;

static const struct {
	const char *name;
	int priority;
} levels[] = {
	[LOG_LEVEL_DEBUG] = { "debug", LOG4C_PRIORITY_DEBUG },
	[LOG_LEVEL_INFO] = { "info", LOG4C_PRIORITY_INFO },
	[LOG_LEVEL_WARN] = { "warn", LOG4C_PRIORITY_WARN },
	[LOG_LEVEL_ERROR] = { "error", LOG4C_PRIORITY_ERROR },
};

static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event)
{
	return event->evt_msg;
}

static const log4c_layout_type_t line_layout = {
	.name = "corianderstep_line",
	.format = format_line,
};

static gboolean take_token(void)
{
	int64_t now_ms = util_monotonic_ms();
	double earned = (double)(now_ms - output.refilled_ms) *
			LOG_LINES_PER_S / (double)MS_PER_S;

	output.refilled_ms = now_ms;
	output.tokens = MIN(output.tokens + earned, LOG_LINES_PER_S);
	if (output.tokens < 1)
		return FALSE;
	output.tokens -= 1;
	return TRUE;
}

/* Writes all of a text or nothing, unless it exceeds PIPE_BUF. */
static gboolean write_all_or_nothing(const char *text)
{
	gsize len = strlen(text);
	gssize n;

	do
		n = write(STDOUT_FILENO, text, len);
	while (n < 0 && errno == EINTR);
	return n == (gssize)len;
}

static void write_output(const char *text)
{
	char *with_count = NULL;

	if (output.dropped > output.dropped_reported)
		with_count = g_strdup_printf(
			"event=log_lines_dropped count=%" G_GUINT64_FORMAT
			"\n%s",
			output.dropped - output.dropped_reported, text);
	if (take_token() &&
	    write_all_or_nothing(with_count ? with_count : text))
		output.dropped_reported = output.dropped;
	else
		output.dropped++;
	g_free(with_count);
}

/* Replaces the stream appender of log4c, which prefixes each line. */
static int append_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *event)
{
	if (!output.is_stdout)
		return fputs(event->evt_rendered_msg, stderr);
	write_output(event->evt_rendered_msg);
	return 0;
}

static const log4c_appender_type_t line_appender = {
	.name = "corianderstep_stderr",
	.append = append_line,
};

void log_open(const char *node, enum log_level level)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	log4c_init();
	log4c_layout_type_set(&line_layout);
	layout = log4c_layout_get("corianderstep_lines");
	log4c_layout_set_type(layout, &line_layout);
	log4c_appender_type_set(&line_appender);
	appender = log4c_appender_get("corianderstep_stderr");
	log4c_appender_set_type(appender, &line_appender);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get(CATEGORY_NAME);
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, levels[level].priority);
	g_free(node_name);
	node_name = g_strdup(node);
	minimum_level = level;
}

void log_open_stdout(const char *node, enum log_level level)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	log_open(node, level);
	output.is_stdout = TRUE;
	output.tokens = LOG_LINES_PER_S;
	output.refilled_ms = util_monotonic_ms();
	if (flags < 0 || fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0)
		fprintf(stderr, "can't make standard output non-blocking: %s\n",
			g_strerror(errno));
}

uint64_t log_lines_dropped(void)
{
	return output.dropped;
}

void log_close(void)
{
	if (!category)
		return;
	category = NULL;
	g_clear_pointer(&node_name, g_free);
	log4c_fini();
}

/* Writes the time to the microsecond, so that the lines of several processes
 * can be sorted: a message between them takes less than a millisecond. */
static void log_time(struct log_line *line)
{
	int64_t now_us = util_wall_us();

	g_string_append_printf(
		line->text, "time_ms=%" G_GINT64_FORMAT ".%03" G_GINT64_FORMAT,
		now_us / US_PER_MS, now_us % US_PER_MS);
}

gboolean log_pace_is_due(struct log_pace *p, int64_t now_ms,
			 int64_t interval_ms)
{
	if (now_ms < p->next_ms)
		return FALSE;
	p->next_ms = now_ms + interval_ms;
	return TRUE;
}

void log_begin(struct log_line *line, enum log_level level, const char *event)
{
	line->level = level;
	line->text = NULL;
	if (!category || level < minimum_level)
		return;
	line->text = g_string_sized_new(256);
	log_time(line);
	log_str(line, "level", levels[level].name);
	log_str(line, "node", node_name);
	log_str(line, "event", event);
}

static gboolean needs_quotes(const char *value)
{
	if (!value[0])
		return TRUE;
	for (const char *c = value; *c; c++) {
		if (*c <= ' ' || *c == '"' || *c == '=' || *c == '\\')
			return TRUE;
	}
	return FALSE;
}

void log_str(struct log_line *line, const char *key, const char *value)
{
	if (!line->text)
		return;
	if (line->text->len)
		g_string_append_c(line->text, ' ');
	g_string_append_printf(line->text, "%s=", key);
	if (!value)
		value = "";
	if (needs_quotes(value)) {
		char *escaped = g_strescape(value, NULL);

		g_string_append_printf(line->text, "\"%s\"", escaped);
		g_free(escaped);
		return;
	}
	g_string_append(line->text, value);
}

void log_int(struct log_line *line, const char *key, int64_t value)
{
	if (!line->text)
		return;
	if (line->text->len)
		g_string_append_c(line->text, ' ');
	g_string_append_printf(line->text, "%s=%" G_GINT64_FORMAT, key, value);
}

void log_real(struct log_line *line, const char *key, double value)
{
	if (!line->text)
		return;
	g_string_append_printf(line->text, " %s=%.6g", key, value);
}

void log_end(struct log_line *line)
{
	if (!line->text)
		return;
	g_string_append_c(line->text, '\n');
	log4c_category_log(category, levels[line->level].priority, "%s",
			   line->text->str);
	g_string_free(line->text, TRUE);
	line->text = NULL;
}
