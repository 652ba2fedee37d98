#include "config/config_acceptance.h"

/** Attempts at reading the head back before the outcome is left undecided. */
#define MAX_READ_BACKS 20

void config_acceptance_init(struct config_acceptance *a, int64_t base_version,
			    const char *operator_name, const char *commit_id,
			    gboolean is_dry_run)
{
	*a = (struct config_acceptance){ 0 };
	a->base_version = base_version;
	a->operator_name = g_strdup(operator_name);
	a->commit_id = g_strdup(commit_id);
	a->is_dry_run = is_dry_run;
	a->call = ACCEPTANCE_READ_HEAD;
}

void config_acceptance_clear(struct config_acceptance *a)
{
	g_free(a->operator_name);
	g_free(a->commit_id);
	g_free(a->winning_operator);
	config_head_clear(&a->next);
	*a = (struct config_acceptance){ 0 };
}

static void finish(struct config_acceptance *a, enum acceptance_outcome outcome)
{
	a->call = ACCEPTANCE_FINISHED;
	a->outcome = outcome;
}

static void finish_conflict(struct config_acceptance *a,
			    const struct config_head *head)
{
	const struct config_change *c;

	c = config_head_find(head, a->base_version + 1);
	g_free(a->winning_operator);
	a->winning_operator =
		g_strdup(c ? c->operator_name : head->operator_name);
	finish(a, ACCEPTANCE_CONFLICT);
}

static void on_first_read(struct config_acceptance *a, enum status status,
			  int64_t row_version, const struct config_head *head)
{
	if (status != STATUS_OK && status != STATUS_NOT_FOUND) {
		finish(a, ACCEPTANCE_UNAVAILABLE);
		return;
	}
	a->current_version = head->version;
	if (head->version != a->base_version) {
		finish_conflict(a, head);
		return;
	}
	if (a->is_dry_run) {
		finish(a, ACCEPTANCE_VALID);
		return;
	}
	a->expected_row_version = row_version;
	config_head_make_next(head, a->operator_name, a->commit_id, &a->next);
	a->call = ACCEPTANCE_PUT_BODY;
}

/* Ends without knowing which change follows the base version. */
static void finish_undecided(struct config_acceptance *a)
{
	finish(a, a->is_unresolved ? ACCEPTANCE_UNKNOWN : ACCEPTANCE_CONFLICT);
}

static void on_read_back(struct config_acceptance *a, enum status status,
			 const struct config_head *head)
{
	const struct config_change *c;

	a->read_back_count++;
	if (status != STATUS_OK && status != STATUS_NOT_FOUND) {
		if (a->read_back_count >= MAX_READ_BACKS)
			finish_undecided(a);
		return;
	}
	a->current_version = head->version;
	c = config_head_find(head, a->base_version + 1);
	if (c && g_str_equal(c->commit_id, a->commit_id)) {
		finish(a, ACCEPTANCE_ACCEPTED);
		return;
	}
	if (c || (head->version > a->base_version && !a->is_unresolved)) {
		finish_conflict(a, head);
		return;
	}
	if (head->version > a->base_version ||
	    a->read_back_count >= MAX_READ_BACKS) {
		finish_undecided(a);
		return;
	}
	/* Repeat the same compare-and-set: at most one of them succeeds. */
	a->call = ACCEPTANCE_COMMIT_HEAD;
}

void config_acceptance_on_read(struct config_acceptance *a, enum status status,
			       int64_t row_version,
			       const struct config_head *head)
{
	if (a->call == ACCEPTANCE_READ_HEAD)
		on_first_read(a, status, row_version, head);
	else
		on_read_back(a, status, head);
}

void config_acceptance_on_put(struct config_acceptance *a, enum status status)
{
	if (status == STATUS_OK)
		a->call = ACCEPTANCE_COMMIT_HEAD;
	else
		finish(a, ACCEPTANCE_UNAVAILABLE);
}

void config_acceptance_on_commit(struct config_acceptance *a,
				 enum status status)
{
	if (status == STATUS_OK) {
		a->current_version = a->next.version;
		finish(a, ACCEPTANCE_ACCEPTED);
		return;
	}
	if (status == STATUS_UNKNOWN)
		a->is_unresolved = TRUE;
	if (status == STATUS_CONFLICT || a->is_unresolved)
		a->call = ACCEPTANCE_READ_BACK;
	else
		finish(a, ACCEPTANCE_UNAVAILABLE);
}
