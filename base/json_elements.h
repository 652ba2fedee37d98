/**
 * @file
 * Walks the elements of one array in a large JSON body, of which one element
 * is held parsed at a time. json-c parses the values.
 */
#ifndef BASE_JSON_ELEMENTS_H
#define BASE_JSON_ELEMENTS_H

#include <glib.h>
#include <json-c/json.h>

#include "base/finding.h"

/** @param element	not owned, NULL for a null */
typedef void (*json_element_fn)(json_object *element, void *data);

/**
 * Calls a function with each element of an array that is a member of the
 * body's object. Other members are passed over. Elements may have been given
 * out before a body turns out to be unsound.
 *
 * @param findings	gets why there is no such array, or what is unsound
 * @return		TRUE when the whole body is sound and has the array
 */
gboolean json_elements_each(GBytes *body, const char *member,
			    json_element_fn fn, void *data,
			    struct finding_list *findings);

#endif
