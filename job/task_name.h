/**
 * @file
 * Names of tasks, JOB/MEMBERofMEMBERS/ATTEMPT: a worker's report alone tells
 * which gangs are whole, and no name is used for two attempts.
 */
#ifndef JOB_TASK_NAME_H
#define JOB_TASK_NAME_H

#include <glib.h>
#include <stdint.h>

struct task_name {
	char *job;
	int64_t member;	 /**< from 0 */
	int64_t members; /**< of the whole gang */
	int64_t attempt; /**< from 1 */
};

/** Returns the text of a name; free it. */
char *task_name_format(const char *job, int64_t member, int64_t members,
		       int64_t attempt);

/**
 * Parses a text.
 *
 * @param name	filled on success; task_name_clear() it
 * @return	FALSE when the text has another form
 */
gboolean task_name_parse(const char *text, struct task_name *name);
void task_name_clear(struct task_name *name);

#endif
