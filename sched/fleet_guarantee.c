#include "sched/fleet_guarantee.h"

#include "sched/fleet_internal.h"

/* Larger guarantees and tasks are cut to this: sums stay within 64 bits. */
#define MAX_ACCELERATORS (INT64_C(1) << 40)
/* Name that stands for jobs without an account, which have no guarantee. */
#define NO_ACCOUNT ""

struct fleet_account {
	int64_t guaranteed;
	int64_t claimed; /* by placed work and by covered units that wait */
	/* Placed units, of int64_t: the accelerators of a gang or a task that
	 * the guarantee could cover and that isn't being stopped. */
	GArray *placed;
	int64_t placed_total;
	int64_t kept;  /* part of placed_total that the guarantee covers */
	int64_t taken; /* by the searches of this round whose stops are kept */
	int64_t taken_in_search; /* with what the current search takes */
};

static const char *account_of(const struct fleet_job *job)
{
	return job->account ? job->account : NO_ACCOUNT;
}

static void account_free(gpointer data)
{
	struct fleet_account *a = data;

	g_array_unref(a->placed);
	g_free(a);
}

static struct fleet_account *find_account(GHashTable *accounts,
					  const struct fleet_scheduler *s,
					  const struct fleet_job *job)
{
	const char *name = account_of(job);
	struct fleet_account *a = g_hash_table_lookup(accounts, name);

	if (!a) {
		a = g_new0(struct fleet_account, 1);
		a->guaranteed = CLAMP(fleet_config_guaranteed(s->config, name),
				      0, MAX_ACCELERATORS);
		a->placed = g_array_new(FALSE, FALSE, sizeof(int64_t));
		g_hash_table_insert(accounts, (gpointer)name, a);
	}
	return a;
}

static int64_t task_accelerators(const struct fleet_step *step)
{
	return CLAMP(step->spec->accelerators, 0, MAX_ACCELERATORS);
}

/* Returns the accelerators of a task, or of its whole gang. */
static int64_t unit_accelerators(const struct fleet_step *step)
{
	int64_t each = task_accelerators(step);

	return step->spec->is_gang ? each * step->task_count : each;
}

/* Returns TRUE for the placed member of a gang with the lowest index: the gang
 * is counted there, once. */
static gboolean is_first_placed(const struct fleet_task *t)
{
	for (guint i = 0; i < t->index; i++) {
		if (t->step->tasks[i].worker)
			return FALSE;
	}
	return TRUE;
}

static void add_placed_task(struct fleet_account *a, const struct fleet_task *t)
{
	const struct fleet_step *step = t->step;
	int64_t size = unit_accelerators(step);

	if (t->state == TASK_DONE || fleet_job_has_ended(step->job))
		return;
	a->claimed += task_accelerators(step);
	if (t->is_stop_ordered || size > a->guaranteed ||
	    (step->spec->is_gang && !is_first_placed(t)))
		return;
	g_array_append_val(a->placed, size);
	a->placed_total += size;
}

static gint compare_sizes(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	return (*x < *y) - (*x > *y);
}

/* Finds what the guarantee covers of the placed work, largest units first. */
static void measure_kept(struct fleet_account *a)
{
	g_array_sort(a->placed, compare_sizes);
	for (guint i = 0; i < a->placed->len; i++) {
		int64_t size = g_array_index(a->placed, int64_t, i);

		if (a->kept + size <= a->guaranteed)
			a->kept += size;
	}
}

GHashTable *fleet_accounts_new(const struct fleet_scheduler *s)
{
	GHashTable *accounts = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, account_free);
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->fleet.workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct fleet_worker *w = item;

		for (guint i = 0; i < w->tasks->len; i++) {
			const struct fleet_task *t = w->tasks->pdata[i];
			const struct fleet_job *job = t->step->job;

			if (fleet_job_priority(s, job) == 0)
				add_placed_task(find_account(accounts, s, job),
						t);
		}
	}
	g_hash_table_iter_init(&iter, accounts);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		measure_kept(item);
	return accounts;
}

/* Returns how many tasks of a unit the rest of the guarantee covers. */
static guint covered_tasks(const struct fleet_account *a,
			   const struct fleet_unit *u)
{
	int64_t each = task_accelerators(u->step);
	int64_t left = a->guaranteed - a->claimed;
	guint count = u->tasks->len;

	if (!a->guaranteed || left < 0)
		return 0;
	if (each * count <= left)
		return count;
	return u->step->spec->is_gang ? 0 : (guint)(left / each);
}

void fleet_accounts_cover(const struct fleet_round *r, GPtrArray *units)
{
	guint count = units->len;

	for (guint i = 0; i < count; i++) {
		struct fleet_unit *u = units->pdata[i];
		struct fleet_account *a;
		guint covered;

		if (u->priority != 0)
			continue;
		a = find_account(r->accounts, r->s, u->step->job);
		covered = covered_tasks(a, u);
		if (!covered)
			continue;
		if (covered < u->tasks->len)
			g_ptr_array_add(units, fleet_unit_divide(u, covered));
		u->is_guaranteed = TRUE;
		a->claimed += task_accelerators(u->step) * covered;
	}
}

void fleet_accounts_begin_search(const struct fleet_round *r)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, r->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_account *a = item;

		a->taken_in_search = a->taken;
	}
}

void fleet_accounts_keep_search(const struct fleet_round *r)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, r->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_account *a = item;

		a->taken = a->taken_in_search;
	}
}

gboolean fleet_account_take(const struct fleet_round *r,
			    const struct fleet_unit *u,
			    const struct fleet_task *t)
{
	struct fleet_account *a = find_account(r->accounts, r->s, t->step->job);
	int64_t size = unit_accelerators(t->step);

	if (a == find_account(r->accounts, r->s, u->step->job))
		return FALSE;
	/* Units that compete for cores alone have no claim on each other. */
	if (!size)
		return u->step->spec->accelerators > 0;
	if (size > a->guaranteed)
		return TRUE;
	if (a->placed_total - a->taken_in_search - size < a->kept)
		return FALSE;
	a->taken_in_search += size;
	return TRUE;
}

void fleet_account_give_back(const struct fleet_round *r,
			     const struct fleet_task *t)
{
	struct fleet_account *a = find_account(r->accounts, r->s, t->step->job);
	int64_t size = unit_accelerators(t->step);

	if (size <= a->guaranteed)
		a->taken_in_search -= size;
}
