#include "base/status.h"

#include <stdarg.h>

#define MESSAGE_BYTES 512

static char last_message[MESSAGE_BYTES];

static const char *const names[STATUS_COUNT] = {
	[STATUS_OK] = "ok",
	[STATUS_INVALID] = "invalid",
	[STATUS_NOT_FOUND] = "not_found",
	[STATUS_CONFLICT] = "conflict",
	[STATUS_REFUSED] = "refused",
	[STATUS_UNAVAILABLE] = "unavailable",
	[STATUS_UNKNOWN] = "unknown",
	[STATUS_EXPIRED] = "expired",
	[STATUS_FULL] = "full",
};

const char *status_name(enum status status)
{
	return (unsigned int)status < STATUS_COUNT ? names[status] : "unknown";
}

enum status status_fail(enum status status, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_vsnprintf(last_message, sizeof(last_message), format, args);
	va_end(args);
	return status;
}

const char *status_last_message(void)
{
	return last_message;
}
