#include "daemon/bad_body.h"

#include "base/log.h"

void bad_body_log(const char *pool, const char *from,
		  const struct finding_list *findings)
{
	char *text = finding_list_text(findings);
	struct log_line line;

	log_begin(&line, LOG_LEVEL_ERROR, "bad_body");
	log_str(&line, "pool", pool);
	log_str(&line, "from", from);
	log_str(&line, "findings", text);
	log_end(&line);
	g_free(text);
}
