#include "job/job_submission.h"

#include <string.h>

#include "config/config_doc_change.h"

#define NAME_MAX_BYTES 64
#define POOL_MAX_BYTES 130
#define CLASS_UNSET INT64_C(-1)

/** Body of POST /v1/jobs. */
struct submission {
	char *id;
	char *job; /**< name in the configuration, NULL if defined inline */
	char *client_account;
	char *pool;
	int64_t class;
	int64_t run_ms;
	int64_t expected_run_ms;
	int64_t is_checkpointable;
	struct shape shape;
};

#define STRING_FIELD(member, required_, max_)                            \
	{                                                                \
		.name = #member, .type = FIELD_STRING,                   \
		.is_required = (required_),                              \
		.offset = offsetof(struct submission, member), .min = 1, \
		.max = (max_)                                            \
	}
#define TIME_FIELD(member)                                               \
	{                                                                \
		.name = #member, .type = FIELD_INT,                      \
		.offset = offsetof(struct submission, member), .min = 1, \
		.max = JOB_MAX_RUN_MS                                    \
	}

static const struct field_spec fields[] = {
	STRING_FIELD(id, TRUE, JOB_ID_MAX_BYTES),
	STRING_FIELD(job, FALSE, NAME_MAX_BYTES),
	STRING_FIELD(client_account, FALSE, NAME_MAX_BYTES),
	STRING_FIELD(pool, FALSE, POOL_MAX_BYTES),
	{ .name = "class",
	  .type = FIELD_ENUM,
	  .offset = offsetof(struct submission, class),
	  .names = job_class_names,
	  .fallback = CLASS_UNSET },
	TIME_FIELD(run_ms),
	TIME_FIELD(expected_run_ms),
	{ .name = "is_checkpointable",
	  .type = FIELD_BOOL,
	  .offset = offsetof(struct submission, is_checkpointable) },
	{ .name = "shape",
	  .type = FIELD_OBJECT,
	  .offset = offsetof(struct submission, shape),
	  .schema = &shape_schema },
	{ 0 },
};

static const struct schema submission_schema = { sizeof(struct submission),
						 fields };

/* Checks the characters: ids are part of keys, URL paths and task names. */
static void check_id(const char *id, struct finding_list *findings)
{
	const char *allowed = "letters, digits, '.', '_', '-'";

	for (const char *c = id; c && *c; c++) {
		if (g_ascii_isalnum(*c) || strchr("._-", *c))
			continue;
		finding_list_add(findings, "id", allowed, "bad character");
		return;
	}
}

static void check_inline_job(const struct submission *x,
			     struct finding_list *findings)
{
	if (!x->client_account)
		finding_list_add(findings, "client_account",
				 "the name of a client account", "missing");
	if (!x->pool)
		finding_list_add(findings, "pool", "SERVICE.FAILURE_DOMAIN",
				 "missing");
	if (!x->run_ms)
		finding_list_add(findings, "run_ms", "milliseconds, 1 or more",
				 "missing");
	if (!x->shape.members)
		finding_list_add(findings, "shape",
				 "an object with members, accelerators, cores, "
				 "memory_mb and adjacency",
				 "missing");
}

static void check_named_job(const struct submission *x,
			    const struct job_spec *spec,
			    struct finding_list *findings)
{
	if (!spec->name) {
		finding_list_add(findings, "job", "a job of the configuration",
				 "no such job");
		return;
	}
	if (x->client_account || x->pool || x->shape.members ||
	    x->class != CLASS_UNSET)
		finding_list_add(findings, "job", "id, job, run_ms",
				 "a configured job defines its account, pool, "
				 "class and shape");
	if (!x->run_ms && !spec->expected_run_ms)
		finding_list_add(findings, "run_ms", "milliseconds, 1 or more",
				 "missing");
}

static void check_references(const struct job_record *r,
			     const struct config_doc *doc,
			     struct finding_list *findings)
{
	if (!config_doc_find_account(doc, r->client_account))
		finding_list_add(findings, "client_account",
				 "an account of the configuration",
				 "no such account");
	if (!config_doc_has_pool(doc, r->pool))
		finding_list_add(findings, "pool", "SERVICE.FAILURE_DOMAIN",
				 "no such pool");
}

static void fill_named_job(const struct submission *x,
			   const struct job_spec *spec, struct job_record *r)
{
	r->client_account = g_strdup(spec->client_account);
	r->pool = g_strdup(spec->pool);
	r->family = g_strdup(spec->name);
	r->class = spec->class;
	r->shape = spec->shape;
	r->run_ms = x->run_ms ? x->run_ms : spec->expected_run_ms;
	r->expected_run_ms = spec->expected_run_ms;
	r->is_checkpointable = spec->is_checkpointable;
}

static void fill_inline_job(const struct submission *x, struct job_record *r)
{
	r->client_account = g_strdup(x->client_account);
	r->pool = g_strdup(x->pool);
	r->family = g_strdup("");
	r->class = x->class == CLASS_UNSET ? JOB_CLASS_NORMAL : x->class;
	r->shape = x->shape;
	r->run_ms = x->run_ms;
	r->expected_run_ms = x->expected_run_ms;
	r->is_checkpointable = x->is_checkpointable;
}

static void make_record(const struct submission *x, const struct job_spec *spec,
			struct job_record *r)
{
	r->id = g_strdup(x->id);
	if (x->job)
		fill_named_job(x, spec, r);
	else
		fill_inline_job(x, r);
	if (!r->expected_run_ms)
		r->expected_run_ms = r->run_ms;
	r->state = JOB_QUEUED;
	r->reason = g_strdup("submitted");
	r->placement = g_ptr_array_new_with_free_func(g_free);
}

gboolean job_submission_decode(json_object *body, const struct config_doc *doc,
			       const struct config_body *jobs,
			       struct job_record *r,
			       struct finding_list *findings)
{
	struct submission x = { 0 };
	struct job_spec spec = { 0 };

	if (!schema_decode(&submission_schema, body, &x, "", NULL, findings))
		goto out;
	check_id(x.id, findings);
	if (x.job) {
		if (!config_doc_decode_job(jobs, x.job, &spec))
			schema_clear(&job_spec_schema, &spec);
		check_named_job(&x, &spec, findings);
	} else {
		check_inline_job(&x, findings);
	}
	if (finding_list_count(findings))
		goto out;
	make_record(&x, &spec, r);
	check_references(r, doc, findings);
out:
	schema_clear(&job_spec_schema, &spec);
	schema_clear(&submission_schema, &x);
	return finding_list_count(findings) == 0;
}
