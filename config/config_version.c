#include "config/config_version.h"

static gboolean is_higher(int64_t version, int64_t in_force)
{
	return version > in_force;
}

void config_version_init(struct config_version *v)
{
	*v = (struct config_version){ .is_newer = is_higher };
}

void config_version_clear(struct config_version *v)
{
	config_doc_clear(&v->doc);
	if (v->body)
		json_object_put(v->body);
	v->body = NULL;
	v->version = 0;
}

enum status config_version_offer(struct config_version *v, int64_t version,
				 json_object *body,
				 struct finding_list *findings)
{
	struct config_doc doc = { 0 };

	if (!v->is_newer(version, v->version))
		return status_fail(STATUS_CONFLICT,
				   "version %" G_GINT64_FORMAT
				   " is in force already",
				   v->version);
	if (!config_doc_decode_accepted(body, &doc, findings)) {
		config_doc_clear(&doc);
		return status_fail(STATUS_INVALID, "configuration is unsound");
	}
	config_version_clear(v);
	v->version = version;
	v->doc = doc;
	v->body = json_object_get(body);
	return STATUS_OK;
}
