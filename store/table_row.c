#include "store/table_row.h"

enum status table_row_decode(const struct platform_result *result,
			     const struct schema *schema, void *out)
{
	struct finding_list findings;
	gboolean is_good;

	if (result->status != STATUS_OK)
		return result->status;
	finding_list_init(&findings);
	is_good = schema_decode_lenient(schema, result->rows[0].value, out, "",
					&findings);
	finding_list_clear(&findings);
	return is_good ? STATUS_OK : STATUS_INVALID;
}
