/**
 * @file
 * Iterates over an array in a large JSON body with only one parsed element in
 * memory at a time. json-c parses the values.
 */
#ifndef BASE_JSON_ELEMENTS_H
#define BASE_JSON_ELEMENTS_H

#include <glib.h>
#include <json-c/json.h>

#include "base/finding.h"

/** @param element	borrowed, NULL for a JSON null */
typedef void (*json_element_fn)(json_object *element, void *data);

/**
 * Calls a function with each element of an array that is a member of the
 * top-level object. Other members are skipped. The function may already have
 * been called for some elements when a syntax error is found.
 *
 * @param findings	receives the syntax error or the missing array
 * @return		TRUE if the whole body is valid and has the array
 */
gboolean json_elements_each(GBytes *body, const char *member,
			    json_element_fn fn, void *data,
			    struct finding_list *findings);

#endif
