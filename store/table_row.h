/**
 * @file
 * Decodes the row that was read from the table service.
 */
#ifndef STORE_TABLE_ROW_H
#define STORE_TABLE_ROW_H

#include "base/schema.h"
#include "store/platform.h"

/**
 * Decodes the row of a platform_read() that has ended. Unknown members are
 *passed over, as the writer may be of a later version.
 *
 * @param out	a zeroed struct of the schema; clear it in any case
 * @return	the status of the read, or STATUS_INVALID when the row is not as
 *		the schema has it
 */
enum status table_row_decode(const struct platform_result *result,
			     const struct schema *schema, void *out);

#endif
