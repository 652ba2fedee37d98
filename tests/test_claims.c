#include <glib.h>
#include <string.h>

#include "request/claim.h"

/*
 * Table-driven cases: the inputs to one attempt, in order, and the step that
 * the state machine returns for each. A row of the claim table is written as
 * "STATE:COMMIT_ID:INCARNATION:VERSION", with ":ATTEMPT" if it is numbered.
 */

enum input_kind {
	INPUT_END,
	INPUT_READ,
	INPUT_WRITE,
	INPUT_CLAIM,
	INPUT_REFUSE,
	INPUT_DONE,
	INPUT_PEER,
	INPUT_WAITED,
	INPUT_DEADLINE,
};

struct input {
	enum input_kind kind;
	int value;	      /* enum status, or enum claim_peer */
	const char *row;      /* row that was read, NULL for none */
	enum claim_step step; /* expected */
};

struct claim_case {
	const char *description;
	int64_t attempt;
	enum claim_step first_step;
	struct input inputs[8];
	enum answer_kind answer; /* expected if the last step is to answer */
	enum reason reason;
};

#define OWN "own"
#define READ_OK(row_, step_)                       \
	{                                          \
		INPUT_READ, STATUS_OK, row_, step_ \
	}
#define READ_ABSENT(step_)                                \
	{                                                 \
		INPUT_READ, STATUS_NOT_FOUND, NULL, step_ \
	}
#define READ_DOWN(step_)                                \
	{                                               \
		INPUT_READ, STATUS_UNKNOWN, NULL, step_ \
	}
#define WRITE(status_, step_)                     \
	{                                         \
		INPUT_WRITE, status_, NULL, step_ \
	}
#define CLAIM(step_)                        \
	{                                   \
		INPUT_CLAIM, 0, NULL, step_ \
	}
#define REFUSE(step_)                        \
	{                                    \
		INPUT_REFUSE, 0, NULL, step_ \
	}
#define PEER(peer_, step_)                     \
	{                                      \
		INPUT_PEER, peer_, NULL, step_ \
	}

static const struct claim_case cases[] = {
	{ "a first attempt claims without a read",
	  1,
	  CLAIM_STEP_READY,
	  { CLAIM(CLAIM_STEP_WRITE), WRITE(STATUS_OK, CLAIM_STEP_WRITTEN) },
	  0,
	  0 },
	{ "an unnumbered attempt reads before it claims",
	  0,
	  CLAIM_STEP_READ,
	  { READ_ABSENT(CLAIM_STEP_READY), CLAIM(CLAIM_STEP_WRITE),
	    WRITE(STATUS_OK, CLAIM_STEP_WRITTEN) },
	  0,
	  0 },
	{ "a claim with a lost reply took effect",
	  1,
	  CLAIM_STEP_READY,
	  { CLAIM(CLAIM_STEP_WRITE), WRITE(STATUS_UNKNOWN, CLAIM_STEP_READ),
	    READ_OK("claimed:own:me:5", CLAIM_STEP_WRITTEN) },
	  0,
	  0 },
	{ "a claim with a lost reply took no effect and is written again",
	  1,
	  CLAIM_STEP_READY,
	  { CLAIM(CLAIM_STEP_WRITE), WRITE(STATUS_UNKNOWN, CLAIM_STEP_READ),
	    READ_ABSENT(CLAIM_STEP_WRITE),
	    WRITE(STATUS_OK, CLAIM_STEP_WRITTEN) },
	  0,
	  0 },
	{ "a claim that takes effect late is recognised by its commit id",
	  1,
	  CLAIM_STEP_READY,
	  { CLAIM(CLAIM_STEP_WRITE), WRITE(STATUS_UNKNOWN, CLAIM_STEP_READ),
	    READ_ABSENT(CLAIM_STEP_WRITE),
	    WRITE(STATUS_CONFLICT, CLAIM_STEP_READ),
	    READ_OK("claimed:own:me:5", CLAIM_STEP_WRITTEN) },
	  0,
	  0 },
	{ "platform unavailable: a first attempt did not run",
	  1,
	  CLAIM_STEP_READY,
	  { CLAIM(CLAIM_STEP_WRITE),
	    WRITE(STATUS_UNAVAILABLE, CLAIM_STEP_ANSWER) },
	  ANSWER_NOT_RUN,
	  REASON_PLATFORM_DOWN },
	{ "platform unavailable: an earlier attempt can't be ruled out",
	  0,
	  CLAIM_STEP_READ,
	  { READ_DOWN(CLAIM_STEP_ANSWER) },
	  ANSWER_UNKNOWN,
	  REASON_CLAIM_UNREACHABLE },
	{ "platform unavailable after the claim was sent",
	  1,
	  CLAIM_STEP_READY,
	  { CLAIM(CLAIM_STEP_WRITE),
	    WRITE(STATUS_UNKNOWN, CLAIM_STEP_READ),
	    READ_DOWN(CLAIM_STEP_WAIT),
	    { INPUT_DEADLINE, 0, NULL, CLAIM_STEP_ANSWER } },
	  ANSWER_NOT_RUN,
	  REASON_PLATFORM_DOWN },
	{ "a retry gets the recorded result",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("done:other:peer:5", CLAIM_STEP_ANSWER) },
	  ANSWER_DONE,
	  REASON_NONE },
	{ "a retry of a request that ended unknown",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("unknown:other:peer:5", CLAIM_STEP_ANSWER) },
	  ANSWER_UNKNOWN,
	  REASON_LOST_ANSWER },
	{ "the claimant is running, then done",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("claimed:other:peer:5", CLAIM_STEP_ASK),
	    PEER(CLAIM_PEER_PENDING, CLAIM_STEP_WAIT),
	    { INPUT_WAITED, 0, NULL, CLAIM_STEP_ASK },
	    PEER(CLAIM_PEER_ENDED, CLAIM_STEP_READ),
	    READ_OK("done:other:peer:6", CLAIM_STEP_ANSWER) },
	  ANSWER_DONE,
	  REASON_NONE },
	{ "the claimant is gone: no second run",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("claimed:other:peer:5", CLAIM_STEP_ASK),
	    PEER(CLAIM_PEER_ENDED, CLAIM_STEP_READ),
	    READ_OK("claimed:other:peer:5", CLAIM_STEP_ANSWER) },
	  ANSWER_UNKNOWN,
	  REASON_CLAIMANT_GONE },
	{ "the claimant does not reply before the deadline",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("claimed:other:peer:5", CLAIM_STEP_ASK),
	    PEER(CLAIM_PEER_SILENT, CLAIM_STEP_WAIT),
	    { INPUT_DEADLINE, 0, NULL, CLAIM_STEP_ANSWER } },
	  ANSWER_UNKNOWN,
	  REASON_CLAIMED_ELSEWHERE },
	{ "an earlier claim of this incarnation was lost",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("claimed:other:me:5", CLAIM_STEP_ANSWER) },
	  ANSWER_UNKNOWN,
	  REASON_CLAIMANT_GONE },
	{ "a refused key may be claimed by a later attempt",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("not run:other:peer:5", CLAIM_STEP_READY),
	    CLAIM(CLAIM_STEP_WRITE), WRITE(STATUS_OK, CLAIM_STEP_WRITTEN) },
	  0,
	  0 },
	{ "an attempt is barred by a refusal written while it waited",
	  0,
	  CLAIM_STEP_READ,
	  { READ_ABSENT(CLAIM_STEP_READY), CLAIM(CLAIM_STEP_WRITE),
	    WRITE(STATUS_CONFLICT, CLAIM_STEP_READ),
	    READ_OK("not run:other:peer:5", CLAIM_STEP_ANSWER) },
	  ANSWER_NOT_RUN,
	  REASON_SUPERSEDED },
	{ "a numbered attempt claims after an earlier one was refused",
	  3,
	  CLAIM_STEP_READ,
	  { READ_ABSENT(CLAIM_STEP_READY), CLAIM(CLAIM_STEP_WRITE),
	    WRITE(STATUS_CONFLICT, CLAIM_STEP_READ),
	    READ_OK("not run:other:peer:5:2", CLAIM_STEP_WRITE),
	    WRITE(STATUS_OK, CLAIM_STEP_WRITTEN) },
	  0,
	  0 },
	{ "a numbered attempt is barred by a later refused one",
	  1,
	  CLAIM_STEP_READY,
	  { CLAIM(CLAIM_STEP_WRITE), WRITE(STATUS_CONFLICT, CLAIM_STEP_READ),
	    READ_OK("not run:other:peer:5:2", CLAIM_STEP_ANSWER) },
	  ANSWER_NOT_RUN,
	  REASON_SUPERSEDED },
	{ "a refusal is written before the answer",
	  0,
	  CLAIM_STEP_READ,
	  { READ_ABSENT(CLAIM_STEP_READY), REFUSE(CLAIM_STEP_WRITE),
	    WRITE(STATUS_OK, CLAIM_STEP_WRITTEN) },
	  0,
	  0 },
	{ "a refusal conflicts with another claim",
	  0,
	  CLAIM_STEP_READ,
	  { READ_ABSENT(CLAIM_STEP_READY), REFUSE(CLAIM_STEP_WRITE),
	    WRITE(STATUS_CONFLICT, CLAIM_STEP_READ),
	    READ_OK("claimed:other:peer:5", CLAIM_STEP_ASK) },
	  0,
	  0 },
	{ "the result replaces the claim",
	  1,
	  CLAIM_STEP_READY,
	  { CLAIM(CLAIM_STEP_WRITE),
	    WRITE(STATUS_OK, CLAIM_STEP_WRITTEN),
	    { INPUT_DONE, 0, NULL, CLAIM_STEP_WRITE },
	    WRITE(STATUS_UNKNOWN, CLAIM_STEP_READ),
	    READ_OK("claimed:own:me:5", CLAIM_STEP_WRITE),
	    WRITE(STATUS_CONFLICT, CLAIM_STEP_READ),
	    READ_OK("done:own:me:6", CLAIM_STEP_WRITTEN) },
	  0,
	  0 },
	{ "a row with an invalid state",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("odd:other:peer:5", CLAIM_STEP_ANSWER) },
	  ANSWER_UNKNOWN,
	  REASON_CLAIM_UNREACHABLE },
};

static void claim_setup(struct claim *c, const char *commit_id,
			const char *incarnation, int64_t attempt)
{
	const struct claim_spec spec = {
		.request_id = commit_id,
		.node = "n",
		.incarnation = incarnation,
		.address = "127.0.0.1:1",
		.commit_id = commit_id,
		.attempt = attempt,
	};

	claim_init(c, &spec);
}

static enum claim_step apply_row(struct claim *c, const struct input *in)
{
	char **parts = g_strsplit(in->row, ":", 5);
	struct table_row row = { .key = "a/k" };
	enum claim_step step;

	row.version = g_ascii_strtoll(parts[3], NULL, 10);
	row.value = json_object_new_object();
	json_object_object_add(row.value, "request_id",
			       json_object_new_string(parts[1]));
	json_object_object_add(row.value, "node", json_object_new_string("n"));
	json_object_object_add(row.value, "incarnation",
			       json_object_new_string(parts[2]));
	json_object_object_add(row.value, "address",
			       json_object_new_string("127.0.0.1:1"));
	json_object_object_add(row.value, "state",
			       json_object_new_string(parts[0]));
	json_object_object_add(row.value, "result", json_object_new_int(1));
	if (parts[4])
		json_object_object_add(row.value, "attempt",
				       json_object_new_int(parts[4][0] - '0'));
	json_object_object_add(row.value, "commit_id",
			       json_object_new_string(parts[1]));
	step = claim_on_read(c, STATUS_OK, &row);
	json_object_put(row.value);
	g_strfreev(parts);
	return step;
}

static enum claim_step apply_input(struct claim *c, const struct input *in)
{
	switch (in->kind) {
	case INPUT_READ:
		if (in->row)
			return apply_row(c, in);
		return claim_on_read(c, in->value, NULL);
	case INPUT_WRITE:
		return claim_on_write(c, in->value, 5);
	case INPUT_CLAIM:
		return claim_write(c, CLAIM_CLAIMED, REASON_NONE, NULL);
	case INPUT_REFUSE:
		return claim_write(c, CLAIM_NOT_RUN, REASON_SHED, NULL);
	case INPUT_DONE:
		c->is_background = TRUE;
		return claim_write(c, CLAIM_DONE, REASON_NONE, NULL);
	case INPUT_PEER:
		return claim_on_peer(c, in->value);
	case INPUT_WAITED:
		return claim_on_waited(c);
	default:
		return claim_on_deadline(c);
	}
}

static void test_cases(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		enum claim_step step;
		struct claim c;

		g_test_message("%s", cases[i].description);
		claim_setup(&c, OWN, "me", cases[i].attempt);
		step = claim_begin(&c);
		g_assert_cmpint(step, ==, cases[i].first_step);
		for (const struct input *in = cases[i].inputs; in->kind; in++) {
			step = apply_input(&c, in);
			g_assert_cmpint(step, ==, in->step);
		}
		if (step == CLAIM_STEP_ANSWER) {
			g_assert_cmpint(c.answer, ==, cases[i].answer);
			g_assert_cmpint(c.reason, ==, cases[i].reason);
		}
		claim_clear(&c);
	}
}

/*
 * Seeded random interleavings of several attempts for one key on one row, with
 * delayed writes, lost replies, failing reads and crashing attempts. They guard
 * against a second run of the request, and against the answer "not run" for an
 * attempt if it or an earlier one ran.
 */

#define ATTEMPTS 4
#define MAX_STEPS 400
#define SEEDS 20000

enum model_state {
	MODEL_NOT_STARTED,
	MODEL_WORKING,
	MODEL_ENDED, /* answered; the row is final or was given up */
	MODEL_CRASHED,
};

struct attempt {
	struct claim claim;
	enum model_state state;
	enum claim_step step;
	gboolean has_run;
	gboolean is_answered;
	enum answer_kind answer;
	/* A write that has not reached the table. */
	json_object *write;
	int64_t write_version;
	guint order; /* order in which the attempts began, from 1 */
};

struct model {
	GRand *rand;
	struct attempt attempts[ATTEMPTS];
	json_object *value; /* the row, NULL if absent */
	int64_t version;    /* of the row */
	int64_t counter;    /* last version assigned */
	guint runs;
	guint not_run_answers;
	guint begun; /* attempts begun */
	gboolean is_numbered;
	guint last_refused; /* order of the latest attempt answered "not run" */
};

static gboolean chance(struct model *m, double p)
{
	return g_rand_double(m->rand) < p;
}

static gboolean apply_write(struct model *m, struct attempt *a)
{
	int64_t current = m->value ? m->version : TABLE_ABSENT;
	gboolean is_applied = current == a->write_version;

	if (is_applied) {
		json_object_put(m->value);
		m->value = a->write;
		m->version = ++m->counter;
	} else {
		json_object_put(a->write);
	}
	a->write = NULL;
	return is_applied;
}

static void record_answer(struct model *m, struct attempt *a,
			  enum answer_kind kind)
{
	if (a->is_answered)
		return;
	a->is_answered = TRUE;
	a->answer = kind;
	if (kind != ANSWER_NOT_RUN)
		return;
	/* "Not run" covers this attempt and all earlier ones for the key. */
	for (guint i = 0; i < ATTEMPTS; i++)
		g_assert_false(m->attempts[i].has_run &&
			       m->attempts[i].order <= a->order);
	m->last_refused = MAX(m->last_refused, a->order);
	m->not_run_answers++;
}

static void model_run(struct model *m, struct attempt *a)
{
	g_assert_false(a->has_run);
	a->has_run = TRUE;
	m->runs++;
	g_assert_cmpuint(m->runs, ==, 1);
	g_assert_cmpuint(a->order, >, m->last_refused);
}

static void step_written(struct model *m, struct attempt *a)
{
	enum answer_kind kind = chance(m, 0.7) ? ANSWER_DONE : ANSWER_UNKNOWN;

	if (a->claim.is_background) {
		a->state = MODEL_ENDED;
	} else if (a->claim.own.state == CLAIM_CLAIMED) {
		if (chance(m, 0.2)) {
			kind = ANSWER_NOT_RUN;
		} else {
			model_run(m, a);
		}
		record_answer(m, a, kind);
		a->claim.is_background = TRUE;
		a->step = claim_write(&a->claim,
				      kind == ANSWER_DONE      ? CLAIM_DONE
				      : kind == ANSWER_UNKNOWN ? CLAIM_UNKNOWN
							       : CLAIM_NOT_RUN,
				      REASON_NONE, NULL);
	} else {
		record_answer(m, a, ANSWER_NOT_RUN);
		a->state = MODEL_ENDED;
	}
}

static void step_answer(struct model *m, struct attempt *a)
{
	gboolean may_be_written =
		!a->claim.is_background && a->claim.is_unresolved;

	record_answer(m, a, a->claim.answer);
	if (!may_be_written) {
		a->state = MODEL_ENDED;
		return;
	}
	a->claim.is_background = TRUE;
	a->step = claim_write(&a->claim, CLAIM_NOT_RUN, REASON_NONE, NULL);
}

static void step_read(struct model *m, struct attempt *a)
{
	const struct table_row row = { .key = "a/k",
				       .version = m->version,
				       .value = m->value };

	if (chance(m, 0.1))
		a->step = claim_on_read(&a->claim, STATUS_UNKNOWN, NULL);
	else if (m->value)
		a->step = claim_on_read(&a->claim, STATUS_OK, &row);
	else
		a->step = claim_on_read(&a->claim, STATUS_NOT_FOUND, NULL);
}

/* A write takes effect now, later or never; its reply may be lost. */
static void step_write(struct model *m, struct attempt *a)
{
	if (a->write)
		apply_write(m, a);
	a->write = claim_row_value(&a->claim);
	a->write_version = a->claim.version;
	if (chance(m, 0.3)) {
		a->step = claim_on_write(&a->claim, STATUS_UNKNOWN, 0);
	} else if (chance(m, 0.05)) {
		g_clear_pointer(&a->write, json_object_put);
		a->step = claim_on_write(&a->claim, STATUS_UNAVAILABLE, 0);
	} else if (apply_write(m, a)) {
		a->step = claim_on_write(&a->claim, STATUS_OK, m->version);
	} else {
		a->step = claim_on_write(&a->claim, STATUS_CONFLICT, 0);
	}
}

static void step_ask(struct model *m, struct attempt *a)
{
	enum claim_peer peer = CLAIM_PEER_SILENT;

	for (guint i = 0; i < ATTEMPTS; i++) {
		const struct attempt *other = &m->attempts[i];

		if (other->state == MODEL_NOT_STARTED ||
		    !g_str_equal(other->claim.own.request_id,
				 a->claim.peer_request_id))
			continue;
		if (other->state == MODEL_WORKING)
			peer = CLAIM_PEER_PENDING;
		else
			peer = CLAIM_PEER_ENDED;
	}
	a->step = claim_on_peer(&a->claim, peer);
}

static void step_ready(struct model *m, struct attempt *a)
{
	if (chance(m, 0.7)) {
		a->step = claim_write(&a->claim, CLAIM_CLAIMED, REASON_NONE,
				      NULL);
	} else if (claim_is_first(&a->claim)) {
		record_answer(m, a, ANSWER_NOT_RUN);
		a->state = MODEL_ENDED;
	} else {
		a->step = claim_write(&a->claim, CLAIM_NOT_RUN, REASON_SHED,
				      NULL);
	}
}

static void advance(struct model *m, struct attempt *a)
{
	switch (a->step) {
	case CLAIM_STEP_READ:
		step_read(m, a);
		break;
	case CLAIM_STEP_WRITE:
		step_write(m, a);
		break;
	case CLAIM_STEP_ASK:
		step_ask(m, a);
		break;
	case CLAIM_STEP_WAIT:
		if (chance(m, 0.1) && !a->claim.is_background)
			a->step = claim_on_deadline(&a->claim);
		else
			a->step = claim_on_waited(&a->claim);
		break;
	case CLAIM_STEP_READY:
		step_ready(m, a);
		break;
	case CLAIM_STEP_WRITTEN:
		step_written(m, a);
		break;
	case CLAIM_STEP_ANSWER:
		step_answer(m, a);
		break;
	}
}

static void model_step(struct model *m)
{
	guint n = (guint)g_rand_int_range(m->rand, 0, ATTEMPTS);
	struct attempt *a = &m->attempts[n];
	char *id;

	if (a->write && chance(m, 0.1))
		apply_write(m, a);
	if (a->state == MODEL_WORKING && chance(m, 0.02)) {
		a->state = MODEL_CRASHED;
	} else if (a->state == MODEL_WORKING) {
		advance(m, a);
	} else if (a->state == MODEL_NOT_STARTED && chance(m, 0.1)) {
		id = g_strdup_printf("%u", n);
		a->order = ++m->begun;
		claim_setup(&a->claim, id, id, m->is_numbered ? a->order : 0);
		a->state = MODEL_WORKING;
		a->step = claim_begin(&a->claim);
		/* Unnumbered attempts are ordered by their first reads. */
		if (!m->is_numbered)
			advance(m, a);
		g_free(id);
	}
}

static void model_clear(struct model *m)
{
	for (guint i = 0; i < ATTEMPTS; i++) {
		if (m->attempts[i].state != MODEL_NOT_STARTED)
			claim_clear(&m->attempts[i].claim);
		json_object_put(m->attempts[i].write);
	}
	json_object_put(m->value);
	g_rand_free(m->rand);
}

static void test_interleavings(void)
{
	guint runs = 0;
	guint not_run = 0;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct model m = { .rand = g_rand_new_with_seed(seed),
				   .is_numbered = seed % 2 };

		g_test_message("seed %u", seed);
		for (int i = 0; i < MAX_STEPS; i++)
			model_step(&m);
		runs += m.runs;
		not_run += m.not_run_answers;
		model_clear(&m);
	}
	/* Both outcomes must be frequent for the checks to be meaningful. */
	g_assert_cmpuint(runs, >, SEEDS / 4);
	g_assert_cmpuint(not_run, >, SEEDS / 4);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claims/cases", test_cases);
	g_test_add_func("/claims/interleavings", test_interleavings);
	return g_test_run();
}
