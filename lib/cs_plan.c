#include "lib/cs_plan.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_SHARE 1
#define DEFAULT_REQUESTS_PER_S 1000
#define DEFAULT_QUEUED_REQUESTS 1000
#define DEFAULT_RUN_MS 3600000

struct cs_plan {
	struct config_doc doc;
	struct finding_list problems; /**< of calls that failed */
};

static const struct schema *array_schema(const struct config_doc *doc,
					 const GArray *array)
{
	if (array == doc->services)
		return &service_spec_schema;
	if (array == doc->client_accounts)
		return &client_account_schema;
	return &job_spec_schema;
}

struct cs_plan *cs_plan_new(void)
{
	struct cs_plan *plan = g_new0(struct cs_plan, 1);

	plan->doc.format = CONFIG_FORMAT;
	plan->doc.services =
		g_array_new(FALSE, TRUE, sizeof(struct service_spec));
	plan->doc.client_accounts =
		g_array_new(FALSE, TRUE, sizeof(struct client_account));
	plan->doc.jobs = g_array_new(FALSE, TRUE, sizeof(struct job_spec));
	finding_list_init(&plan->problems);
	return plan;
}

void cs_plan_free(struct cs_plan *plan)
{
	config_doc_clear(&plan->doc);
	finding_list_clear(&plan->problems);
	g_free(plan);
}

/* Appends a zeroed element to an array and returns it. */
static gpointer append_element(GArray *array)
{
	g_array_set_size(array, array->len + 1);
	return array->data +
	       (gsize)(array->len - 1) * g_array_get_element_size(array);
}

static int64_t or_default(int64_t value, int64_t fallback)
{
	return value ? value : fallback;
}

void cs_plan_add_service(struct cs_plan *plan, const char *name,
			 const char *const *failure_domains)
{
	struct service_spec *s = append_element(plan->doc.services);

	s->name = g_strdup(name);
	s->failure_domains = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; failure_domains[i]; i++)
		g_ptr_array_add(s->failure_domains,
				g_strdup(failure_domains[i]));
}

void cs_plan_add_client_account(struct cs_plan *plan,
				const struct cs_client_account *account)
{
	struct client_account *a = append_element(plan->doc.client_accounts);

	a->name = g_strdup(account->name);
	a->service = g_strdup(account->service);
	a->share = or_default(account->share, DEFAULT_SHARE);
	a->requests_per_s =
		or_default(account->requests_per_s, DEFAULT_REQUESTS_PER_S);
	a->queued_requests =
		or_default(account->queued_requests, DEFAULT_QUEUED_REQUESTS);
	if (account->token)
		a->token_sha256 = g_compute_checksum_for_string(
			G_CHECKSUM_SHA256, account->token, -1);
	a->guaranteed_shapes =
		g_array_new(FALSE, TRUE, sizeof(struct guaranteed_shape));
}

void cs_plan_add_guaranteed_shape(struct cs_plan *plan,
				  const char *client_account, const char *name,
				  const char *pool, const struct shape *shape)
{
	const struct client_account *a =
		config_doc_find_account(&plan->doc, client_account);
	struct guaranteed_shape *g;

	if (!a) {
		finding_list_add(&plan->problems, client_account,
				 "an account that was added before",
				 "guaranteed shape %s of an unknown account",
				 name);
		return;
	}
	g = append_element(a->guaranteed_shapes);
	g->name = g_strdup(name);
	g->pool = g_strdup(pool);
	g->shape = *shape;
}

void cs_plan_add_job(struct cs_plan *plan, const struct cs_job *job)
{
	struct job_spec *j = append_element(plan->doc.jobs);

	j->name = g_strdup(job->name);
	j->client_account = g_strdup(job->client_account);
	j->pool = g_strdup(job->pool);
	j->class = job->class;
	j->shape = job->shape;
	j->expected_run_ms = or_default(job->expected_run_ms, DEFAULT_RUN_MS);
	j->is_checkpointable = !job->never_checkpoint;
}

/* The first member of each configuration entry is its name. */
static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static json_object *encode_sorted(const struct config_doc *doc)
{
	struct config_doc sorted = *doc;
	GArray **arrays[] = { &sorted.services, &sorted.client_accounts,
			      &sorted.jobs };
	json_object *json;

	for (guint i = 0; i < G_N_ELEMENTS(arrays); i++) {
		gsize size = array_schema(doc, *arrays[i])->size;
		GArray *copy = g_array_new(FALSE, TRUE, size);

		g_array_append_vals(copy, (*arrays[i])->data,
				    (*arrays[i])->len);
		g_array_sort(copy, compare_names);
		*arrays[i] = copy;
	}
	json = config_doc_encode(&sorted);
	for (guint i = 0; i < G_N_ELEMENTS(arrays); i++)
		g_array_free(*arrays[i], TRUE);
	return json;
}

gboolean cs_plan_check(const struct cs_plan *plan,
		       struct finding_list *findings)
{
	struct config_doc decoded = { 0 };
	guint before = finding_list_count(findings);
	json_object *json;

	for (guint i = 0; i < finding_list_count(&plan->problems); i++) {
		const struct finding *f = finding_list_get(&plan->problems, i);

		finding_list_add(findings, f->place, f->allowed, "%s",
				 f->problem);
	}
	/* Decoding the JSON applies the same checks as to a file. */
	json = encode_sorted(&plan->doc);
	config_doc_decode(json, &decoded, NULL, findings);
	config_doc_clear(&decoded);
	json_object_put(json);
	return finding_list_count(findings) == before;
}

char *cs_plan_to_json(const struct cs_plan *plan)
{
	json_object *json = encode_sorted(&plan->doc);
	char *text;

	text = g_strdup(json_object_to_json_string_ext(
		json, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED));
	json_object_put(json);
	return text;
}

int cs_plan_print(struct cs_plan *plan, FILE *out, FILE *errors)
{
	struct finding_list findings;
	gboolean is_good;
	char *text;

	finding_list_init(&findings);
	is_good = cs_plan_check(plan, &findings);
	text = is_good ? cs_plan_to_json(plan) : finding_list_text(&findings);
	fputs(text, is_good ? out : errors);
	if (is_good)
		fputc('\n', out);
	g_free(text);
	finding_list_clear(&findings);
	cs_plan_free(plan);
	return is_good ? EXIT_SUCCESS : EXIT_FAILURE;
}
