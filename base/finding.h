/**
 * @file
 * Problems found in an input, collected with their place and reported together.
 */
#ifndef BASE_FINDING_H
#define BASE_FINDING_H

#include <glib.h>

struct finding {
	char *place;   /**< file, line and path, or the path in a body */
	char *problem; /**< what is wrong */
	char *allowed; /**< what would be accepted */
};

struct finding_list {
	GPtrArray *items;      /**< of struct finding */
	guint ignored_members; /**< unknown members accepted by the decoder */
};

void finding_list_init(struct finding_list *list);
void finding_list_clear(struct finding_list *list);

/**
 * Adds a finding.
 *
 * @param allowed	what would be accepted, "" for none
 * @param format	printf format of the problem
 */
void finding_list_add(struct finding_list *list, const char *place,
		      const char *allowed, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

guint finding_list_count(const struct finding_list *list);
const struct finding *finding_list_get(const struct finding_list *list,
				       guint index);

/** Returns all findings as text, one per line; free it with g_free(). */
char *finding_list_text(const struct finding_list *list);

/** Prints all findings on standard error, one per line. */
void finding_list_print(const struct finding_list *list);

#endif
