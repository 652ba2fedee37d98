/**
 * @file
 * Decodes a row read from the table service.
 */
#ifndef STORE_TABLE_ROW_H
#define STORE_TABLE_ROW_H

#include "base/schema.h"
#include "store/platform.h"

/**
 * Decodes the row in the result of a platform_read(). Unknown members are
 * ignored, because a later version may have written the row.
 *
 * @param out	a zeroed struct; call schema_clear() in any case
 * @return	the status of the read, or STATUS_INVALID if the row doesn't
 *		match the schema
 */
enum status table_row_decode(const struct platform_result *result,
			     const struct schema *schema, void *out);

#endif
