/**
 * @file
 * Problems found in an input, collected with their place and reported together.
 * All are counted, the first ones are kept: an input may have a problem in
 * every few bytes.
 */
#ifndef BASE_FINDING_H
#define BASE_FINDING_H

#include <glib.h>

/* Limits of what a list keeps. */
#define FINDING_MAX_KEPT 1000
#define FINDING_MAX_KEPT_BYTES ((gsize)256 << 10)

struct finding {
	char *place;   /**< file, line and path, or the path in a body */
	char *problem; /**< what is wrong */
	char *allowed; /**< what would be accepted */
};

struct finding_list {
	GPtrArray *items;      /**< of struct finding, those that are kept */
	guint count;	       /**< of all findings */
	gsize kept_bytes;      /**< length of the texts that are kept */
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

/** Returns the number of all findings. */
guint finding_list_count(const struct finding_list *list);

/** Returns the number of findings that finding_list_get() returns. */
guint finding_list_kept(const struct finding_list *list);
const struct finding *finding_list_get(const struct finding_list *list,
				       guint index);

/**
 * Returns the findings as text, one per line, and how many were left out; free
 * it with g_free().
 */
char *finding_list_text(const struct finding_list *list);

/** Prints all findings on standard error, one per line. */
void finding_list_print(const struct finding_list *list);

#endif
