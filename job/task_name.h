/**
 * @file
 * Task names, JOB/MEMBERofMEMBERS/ATTEMPT. They identify complete gangs from
 * workers' reports alone, and are never used for two attempts.
 */
#ifndef JOB_TASK_NAME_H
#define JOB_TASK_NAME_H

#include <glib.h>
#include <stdint.h>

struct task_name {
	char *job;
	int64_t member;	 /**< from 0 */
	int64_t members; /**< number of members of the gang */
	int64_t attempt; /**< from 1 */
};

/** Returns the formatted name; free with g_free(). */
char *task_name_format(const char *job, int64_t member, int64_t members,
		       int64_t attempt);

/**
 * Parses a task name.
 *
 * @param name	filled on success; clear with task_name_clear()
 * @return	FALSE if the text is not a task name
 */
gboolean task_name_parse(const char *text, struct task_name *name);
void task_name_clear(struct task_name *name);

#endif
