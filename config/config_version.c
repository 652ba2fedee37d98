#include "config/config_version.h"

#include "config/config_doc_change.h"

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
	g_clear_pointer(&v->body, config_body_unref);
	v->version = 0;
}

static enum status refuse_not_newer(const struct config_version *v)
{
	return status_fail(STATUS_CONFLICT,
			   "not newer than version %" G_GINT64_FORMAT
			   ", which is in force",
			   v->version);
}

enum status config_version_apply(struct config_version *v, int64_t version,
				 json_object *body,
				 struct finding_list *findings)
{
	struct config_doc doc = { 0 };

	if (!v->is_newer(version, v->version))
		return refuse_not_newer(v);
	if (!config_doc_decode_accepted(body, &doc, findings)) {
		config_doc_clear(&doc);
		return status_fail(STATUS_INVALID, "configuration is invalid");
	}
	config_version_clear(v);
	v->version = version;
	v->doc = doc;
	config_doc_drop_jobs(&v->doc);
	v->body = config_body_new(body);
	return STATUS_OK;
}

enum status config_version_apply_delta(struct config_version *v,
				       const struct config_delta *d,
				       struct finding_list *findings)
{
	struct config_body *body = NULL;
	enum status status;

	if (!v->is_newer(d->version, v->version))
		return refuse_not_newer(v);
	if (d->base_version != v->version)
		return status_fail(STATUS_CONFLICT,
				   "delta has base version %" G_GINT64_FORMAT
				   ", which is not in force",
				   d->base_version);
	status = config_delta_apply(d, v->body, &body);
	if (status != STATUS_OK)
		return status;
	if (!config_doc_apply_delta(&v->doc, d, findings)) {
		config_body_unref(body);
		return status_fail(STATUS_INVALID, "configuration is invalid");
	}
	config_body_unref(v->body);
	v->body = body;
	v->version = d->version;
	return STATUS_OK;
}
