#include <glib.h>
#include <string.h>

#include "request/claim.h"
#include "request/claim_expiry.h"

/*
 * Cases: the inputs to one attempt, in order, and the step that each gives.
 * Rows: "STATE:COMMIT_ID:INCARNATION:VERSION", then ":ATTEMPT" if numbered.
 */

enum input_kind {
	INPUT_END,
	INPUT_READ,
	INPUT_WRITE,
	INPUT_TAKE,
	INPUT_REFUSE,
	INPUT_DONE,
	INPUT_PEER,
	INPUT_WAITED,
	INPUT_DEADLINE,
};

struct input {
	enum input_kind kind;
	int value; /* enum status, or enum claim_peer */
	const char *row;
	enum claim_step step;
};

struct claim_case {
	const char *what;
	int64_t attempt;
	enum claim_step begin;
	struct input inputs[8];
	enum answer_kind answer; /* when the last step is to answer */
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
#define TAKE(step_)                        \
	{                                  \
		INPUT_TAKE, 0, NULL, step_ \
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
	{ "first attempt wins at once",
	  1,
	  CLAIM_STEP_READY,
	  { TAKE(CLAIM_STEP_WRITE), WRITE(STATUS_OK, CLAIM_STEP_LANDED) },
	  0,
	  0 },
	{ "a retry reads first",
	  0,
	  CLAIM_STEP_READ,
	  { READ_ABSENT(CLAIM_STEP_READY), TAKE(CLAIM_STEP_WRITE),
	    WRITE(STATUS_OK, CLAIM_STEP_LANDED) },
	  0,
	  0 },
	{ "lost answer of a claim that took effect",
	  1,
	  CLAIM_STEP_READY,
	  { TAKE(CLAIM_STEP_WRITE), WRITE(STATUS_UNKNOWN, CLAIM_STEP_READ),
	    READ_OK("claimed:own:me:5", CLAIM_STEP_LANDED) },
	  0,
	  0 },
	{ "lost answer of a claim that took no effect is written again",
	  1,
	  CLAIM_STEP_READY,
	  { TAKE(CLAIM_STEP_WRITE), WRITE(STATUS_UNKNOWN, CLAIM_STEP_READ),
	    READ_ABSENT(CLAIM_STEP_WRITE),
	    WRITE(STATUS_OK, CLAIM_STEP_LANDED) },
	  0,
	  0 },
	{ "a claim that takes effect late still is its own",
	  1,
	  CLAIM_STEP_READY,
	  { TAKE(CLAIM_STEP_WRITE), WRITE(STATUS_UNKNOWN, CLAIM_STEP_READ),
	    READ_ABSENT(CLAIM_STEP_WRITE),
	    WRITE(STATUS_CONFLICT, CLAIM_STEP_READ),
	    READ_OK("claimed:own:me:5", CLAIM_STEP_LANDED) },
	  0,
	  0 },
	{ "no platform: a first attempt certainly did not run",
	  1,
	  CLAIM_STEP_READY,
	  { TAKE(CLAIM_STEP_WRITE),
	    WRITE(STATUS_UNAVAILABLE, CLAIM_STEP_ANSWER) },
	  ANSWER_NOT_RUN,
	  REASON_PLATFORM_DOWN },
	{ "no platform: an earlier attempt can't be ruled out",
	  0,
	  CLAIM_STEP_READ,
	  { READ_DOWN(CLAIM_STEP_ANSWER) },
	  ANSWER_UNKNOWN,
	  REASON_CLAIM_UNREACHABLE },
	{ "platform down after the claim was sent",
	  1,
	  CLAIM_STEP_READY,
	  { TAKE(CLAIM_STEP_WRITE),
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
	{ "a retry of what ended unknown",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("unknown:other:peer:5", CLAIM_STEP_ANSWER) },
	  ANSWER_UNKNOWN,
	  REASON_LOST_ANSWER },
	{ "claimant alive, then done",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("claimed:other:peer:5", CLAIM_STEP_ASK),
	    PEER(CLAIM_PEER_PENDING, CLAIM_STEP_WAIT),
	    { INPUT_WAITED, 0, NULL, CLAIM_STEP_ASK },
	    PEER(CLAIM_PEER_ENDED, CLAIM_STEP_READ),
	    READ_OK("done:other:peer:6", CLAIM_STEP_ANSWER) },
	  ANSWER_DONE,
	  REASON_NONE },
	{ "claimant dead: never a second run",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("claimed:other:peer:5", CLAIM_STEP_ASK),
	    PEER(CLAIM_PEER_ENDED, CLAIM_STEP_READ),
	    READ_OK("claimed:other:peer:5", CLAIM_STEP_ANSWER) },
	  ANSWER_UNKNOWN,
	  REASON_CLAIMANT_GONE },
	{ "claimant silent until the deadline",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("claimed:other:peer:5", CLAIM_STEP_ASK),
	    PEER(CLAIM_PEER_SILENT, CLAIM_STEP_WAIT),
	    { INPUT_DEADLINE, 0, NULL, CLAIM_STEP_ANSWER } },
	  ANSWER_UNKNOWN,
	  REASON_CLAIMED_ELSEWHERE },
	{ "an earlier request of this life of the process was lost",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("claimed:other:me:5", CLAIM_STEP_ANSWER) },
	  ANSWER_UNKNOWN,
	  REASON_CLAIMANT_GONE },
	{ "a refused key may be claimed by a later attempt",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("not run:other:peer:5", CLAIM_STEP_READY),
	    TAKE(CLAIM_STEP_WRITE), WRITE(STATUS_OK, CLAIM_STEP_LANDED) },
	  0,
	  0 },
	{ "an attempt that waited while a later one was refused",
	  0,
	  CLAIM_STEP_READ,
	  { READ_ABSENT(CLAIM_STEP_READY), TAKE(CLAIM_STEP_WRITE),
	    WRITE(STATUS_CONFLICT, CLAIM_STEP_READ),
	    READ_OK("not run:other:peer:5", CLAIM_STEP_ANSWER) },
	  ANSWER_NOT_RUN,
	  REASON_SUPERSEDED },
	{ "a numbered attempt after a refused one",
	  3,
	  CLAIM_STEP_READ,
	  { READ_ABSENT(CLAIM_STEP_READY), TAKE(CLAIM_STEP_WRITE),
	    WRITE(STATUS_CONFLICT, CLAIM_STEP_READ),
	    READ_OK("not run:other:peer:5:2", CLAIM_STEP_WRITE),
	    WRITE(STATUS_OK, CLAIM_STEP_LANDED) },
	  0,
	  0 },
	{ "a numbered attempt before a refused one",
	  1,
	  CLAIM_STEP_READY,
	  { TAKE(CLAIM_STEP_WRITE), WRITE(STATUS_CONFLICT, CLAIM_STEP_READ),
	    READ_OK("not run:other:peer:5:2", CLAIM_STEP_ANSWER) },
	  ANSWER_NOT_RUN,
	  REASON_SUPERSEDED },
	{ "a refusal is written before it is answered",
	  0,
	  CLAIM_STEP_READ,
	  { READ_ABSENT(CLAIM_STEP_READY), REFUSE(CLAIM_STEP_WRITE),
	    WRITE(STATUS_OK, CLAIM_STEP_LANDED) },
	  0,
	  0 },
	{ "a refusal that meets another claim",
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
	  { TAKE(CLAIM_STEP_WRITE),
	    WRITE(STATUS_OK, CLAIM_STEP_LANDED),
	    { INPUT_DONE, 0, NULL, CLAIM_STEP_WRITE },
	    WRITE(STATUS_UNKNOWN, CLAIM_STEP_READ),
	    READ_OK("claimed:own:me:5", CLAIM_STEP_WRITE),
	    WRITE(STATUS_CONFLICT, CLAIM_STEP_READ),
	    READ_OK("done:own:me:6", CLAIM_STEP_LANDED) },
	  0,
	  0 },
	{ "a row that can't be read as a claim",
	  0,
	  CLAIM_STEP_READ,
	  { READ_OK("odd:other:peer:5", CLAIM_STEP_ANSWER) },
	  ANSWER_UNKNOWN,
	  REASON_CLAIM_UNREACHABLE },
};

static void claim_make(struct claim *c, const char *commit_id,
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

static enum claim_step feed_row(struct claim *c, const struct input *in)
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

static enum claim_step feed(struct claim *c, const struct input *in)
{
	switch (in->kind) {
	case INPUT_READ:
		if (in->row)
			return feed_row(c, in);
		return claim_on_read(c, in->value, NULL);
	case INPUT_WRITE:
		return claim_on_write(c, in->value, 5);
	case INPUT_TAKE:
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

		g_test_message("%s", cases[i].what);
		claim_make(&c, OWN, "me", cases[i].attempt);
		step = claim_begin(&c);
		g_assert_cmpint(step, ==, cases[i].begin);
		for (const struct input *in = cases[i].inputs; in->kind; in++) {
			step = feed(&c, in);
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
 * Seeded interleavings: several attempts of one key over one row, with writes
 * that take effect late, lost answers, failing reads and attempts that die.
 */

#define ATTEMPTS 4
#define MAX_STEPS 400
#define SEEDS 20000
/* With rows that expire: ticks of the model are its time. */
#define EXPIRY_STEPS 2400
#define EXPIRY_SEEDS 4000
#define PERIOD_MS 120

/* What is taken out, to see whether the model notices. */
enum plant {
	PLANT_NONE,
	PLANT_EARLY,	/* rows go an epoch after they were written */
	PLANT_LATE_RUN, /* an attempt that took too long still runs */
	PLANT_STALE,	/* rows carry an epoch that was read long ago */
	PLANT_RELEASE,	/* a claim in doubt is taken back however late */
	PLANTS,
};

enum model_state {
	MODEL_UNBORN,
	MODEL_WORKING,
	MODEL_ENDED, /* answered, and the row is settled or given up */
	MODEL_DEAD,
};

struct attempt {
	struct claim claim;
	enum model_state state;
	enum claim_step step;
	gboolean has_run;
	gboolean is_answered;
	enum answer_kind answer;
	/* A write on its way to the table. */
	json_object *write;
	int64_t write_version;
	guint born;		  /* place in the order in which they began */
	struct claim_epoch epoch; /* as its process knows it */
	int64_t begin_ms;
	int64_t sent_ms;   /* of the write on its way */
	int64_t paused_ms; /* does nothing before */
};

struct model {
	GRand *rand;
	struct attempt attempts[ATTEMPTS];
	json_object *value;
	int64_t version;
	int64_t counter;
	guint runs;
	guint not_run_answers;
	guint born; /* attempts so far */
	gboolean is_numbered;
	guint last_refused; /* newest attempt that was answered "not run" */
	guint faults;
	/* Rows that expire. */
	gboolean is_expiring;
	enum plant plant;
	int64_t now_ms;
	int64_t epoch; /* in the table */
	int64_t epoch_ms;
	int64_t last_sent_ms; /* of the last write that took effect */
	struct claim_epoch sweeper;
	int64_t late_delete; /* version, 0 for none on its way */
	guint deleted;
};

static gboolean chance(struct model *m, double p)
{
	return g_rand_double(m->rand) < p;
}

static gboolean apply_write(struct model *m, struct attempt *a)
{
	int64_t current = m->value ? m->version : TABLE_ABSENT;
	gboolean is_good = current == a->write_version;

	if (is_good) {
		m->last_sent_ms = MAX(m->last_sent_ms, a->sent_ms);
		json_object_put(m->value);
		m->value = a->write;
		m->version = ++m->counter;
	} else {
		json_object_put(a->write);
	}
	a->write = NULL;
	return is_good;
}

static void note_answer(struct model *m, struct attempt *a,
			enum answer_kind kind)
{
	if (a->is_answered)
		return;
	a->is_answered = TRUE;
	a->answer = kind;
	if (kind != ANSWER_NOT_RUN)
		return;
	/* It speaks for this attempt and all earlier ones of the key. */
	for (guint i = 0; i < ATTEMPTS; i++)
		m->faults += m->attempts[i].has_run &&
			     m->attempts[i].born <= a->born;
	m->last_refused = MAX(m->last_refused, a->born);
	m->not_run_answers++;
}

static void model_run(struct model *m, struct attempt *a)
{
	g_assert_false(a->has_run);
	a->has_run = TRUE;
	m->runs++;
	m->faults += m->runs != 1 || a->born <= m->last_refused;
}

static gboolean is_too_late(const struct model *m, const struct attempt *a)
{
	return m->is_expiring && m->plant != PLANT_LATE_RUN &&
	       !claim_epoch_is_in_time(&a->epoch, a->begin_ms, m->now_ms);
}

static void step_landed(struct model *m, struct attempt *a)
{
	enum answer_kind kind = chance(m, 0.7) ? ANSWER_DONE : ANSWER_UNKNOWN;

	if (a->claim.is_background) {
		a->state = MODEL_ENDED;
	} else if (is_too_late(m, a)) {
		note_answer(m, a, ANSWER_UNKNOWN);
		a->claim.is_background = TRUE;
		a->step = claim_write(&a->claim, CLAIM_UNKNOWN, REASON_NONE,
				      NULL);
	} else if (a->claim.own.state == CLAIM_CLAIMED) {
		if (chance(m, 0.2)) {
			kind = ANSWER_NOT_RUN;
		} else {
			model_run(m, a);
		}
		note_answer(m, a, kind);
		a->claim.is_background = TRUE;
		a->step = claim_write(&a->claim,
				      kind == ANSWER_DONE      ? CLAIM_DONE
				      : kind == ANSWER_UNKNOWN ? CLAIM_UNKNOWN
							       : CLAIM_NOT_RUN,
				      REASON_NONE, NULL);
	} else {
		note_answer(m, a, ANSWER_NOT_RUN);
		a->state = MODEL_ENDED;
	}
}

static void step_answer(struct model *m, struct attempt *a)
{
	gboolean may_stand = !a->claim.is_background && a->claim.is_in_doubt;

	note_answer(m, a, a->claim.answer);
	if (!may_stand) {
		a->state = MODEL_ENDED;
		return;
	}
	a->claim.is_background = TRUE;
	a->step = claim_write(&a->claim,
			      m->plant != PLANT_RELEASE && is_too_late(m, a)
				      ? CLAIM_UNKNOWN
				      : CLAIM_NOT_RUN,
			      REASON_NONE, NULL);
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

/* A write may take effect now, later or never; its answer may be lost. */
static void step_write(struct model *m, struct attempt *a)
{
	if (a->write)
		apply_write(m, a);
	if (m->is_expiring)
		a->claim.own.epoch =
			m->plant == PLANT_STALE
				? a->epoch.value
				: claim_epoch_for_row(&a->epoch, m->now_ms);
	a->sent_ms = m->now_ms;
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

		if (other->state == MODEL_UNBORN ||
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
		note_answer(m, a, ANSWER_NOT_RUN);
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
	case CLAIM_STEP_LANDED:
		step_landed(m, a);
		break;
	case CLAIM_STEP_ANSWER:
		step_answer(m, a);
		break;
	}
}

static void learn_epoch(struct model *m, struct claim_epoch *e)
{
	claim_epoch_on_read(e, STATUS_OK, m->epoch, m->epoch, m->now_ms,
			    m->now_ms);
}

static gboolean is_working(const struct model *m, const char *id)
{
	for (guint i = 0; i < ATTEMPTS; i++) {
		const struct attempt *a = &m->attempts[i];

		if (a->state == MODEL_WORKING &&
		    g_str_equal(a->claim.own.request_id, id))
			return TRUE;
	}
	return FALSE;
}

static gboolean may_go(struct model *m, const struct claim_row *row)
{
	gboolean is_claimed = row->state == CLAIM_CLAIMED;

	if (m->plant == PLANT_EARLY)
		return row->epoch && m->sweeper.value > row->epoch;
	switch (claim_epoch_fate(&m->sweeper, row->epoch, is_claimed,
				 m->now_ms)) {
	case CLAIM_FATE_GO:
		return TRUE;
	case CLAIM_FATE_ASK:
		return !is_working(m, row->request_id);
	case CLAIM_FATE_ADOPT:
		json_object_object_add(m->value, "epoch",
				       json_object_new_int64(m->sweeper.value));
		m->version = ++m->counter;
		return FALSE;
	default:
		return FALSE;
	}
}

static void apply_delete(struct model *m)
{
	if (m->value && m->late_delete == m->version) {
		g_clear_pointer(&m->value, json_object_put);
		m->deleted++;
	}
	m->late_delete = 0;
}

/* A delete may take effect now, later or never. */
static void sweep(struct model *m)
{
	struct claim_row row = { 0 };
	struct finding_list findings;

	if (m->late_delete && chance(m, 0.3))
		apply_delete(m);
	if (!m->value || m->late_delete)
		return;
	finding_list_init(&findings);
	g_assert_true(schema_decode(&claim_row_schema, m->value, &row, "", NULL,
				    &findings));
	if (may_go(m, &row) && chance(m, 0.9)) {
		m->late_delete = m->version;
		if (chance(m, 0.5))
			apply_delete(m);
	}
	schema_clear(&claim_row_schema, &row);
	finding_list_clear(&findings);
}

static void expiry_tick(struct model *m, struct attempt *a)
{
	m->now_ms++;
	if (m->now_ms - m->epoch_ms >= PERIOD_MS && chance(m, 0.1)) {
		m->epoch++;
		m->epoch_ms = m->now_ms;
	}
	if (chance(m, 0.05))
		learn_epoch(m, &m->sweeper);
	if (chance(m, 0.1))
		sweep(m);
	if (chance(m, 0.02))
		learn_epoch(m, &a->epoch);
	if (a->state == MODEL_WORKING && chance(m, 0.01))
		a->paused_ms =
			m->now_ms + g_rand_int_range(m->rand, 1, 5 * PERIOD_MS);
}

/* Callers keep to the retention. */
static gboolean may_retry(const struct model *m)
{
	return !m->is_expiring || !m->last_sent_ms ||
	       m->now_ms - m->last_sent_ms < PERIOD_MS;
}

static void model_tick(struct model *m)
{
	guint n = (guint)g_rand_int_range(m->rand, 0, ATTEMPTS);
	struct attempt *a = &m->attempts[n];
	char *id;

	if (m->is_expiring)
		expiry_tick(m, a);
	if (a->write && chance(m, 0.1))
		apply_write(m, a);
	if (m->now_ms < a->paused_ms)
		return;
	if (a->state == MODEL_WORKING && chance(m, 0.02)) {
		a->state = MODEL_DEAD;
	} else if (a->state == MODEL_WORKING) {
		advance(m, a);
	} else if (a->state == MODEL_UNBORN &&
		   chance(m, m->is_expiring ? 0.02 : 0.1) && may_retry(m)) {
		id = g_strdup_printf("%u", n);
		a->born = ++m->born;
		a->begin_ms = m->now_ms;
		claim_make(&a->claim, id, id, m->is_numbered ? a->born : 0);
		a->state = MODEL_WORKING;
		a->step = claim_begin(&a->claim);
		/* Without numbers, the order is that of the first reads. */
		if (!m->is_numbered)
			advance(m, a);
		g_free(id);
	}
}

static void model_clear(struct model *m)
{
	for (guint i = 0; i < ATTEMPTS; i++) {
		if (m->attempts[i].state != MODEL_UNBORN)
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
			model_tick(&m);
		g_assert_cmpuint(m.faults, ==, 0);
		runs += m.runs;
		not_run += m.not_run_answers;
		model_clear(&m);
	}
	/* The interleavings are worth something only if both happen often. */
	g_assert_cmpuint(runs, >, SEEDS / 4);
	g_assert_cmpuint(not_run, >, SEEDS / 4);
}

static guint run_expiring(guint32 seed, enum plant plant, guint *deleted)
{
	struct model m = { .rand = g_rand_new_with_seed(seed),
			   .is_numbered = seed % 2,
			   .is_expiring = TRUE,
			   .plant = plant,
			   .epoch = 1 };
	guint faults;

	claim_epoch_init(&m.sweeper, PERIOD_MS);
	for (guint i = 0; i < ATTEMPTS; i++)
		claim_epoch_init(&m.attempts[i].epoch, PERIOD_MS);
	for (int i = 0; i < EXPIRY_STEPS; i++)
		model_tick(&m);
	faults = m.faults;
	*deleted += m.deleted;
	model_clear(&m);
	return faults;
}

static void test_expiry_seeds(void)
{
	guint deleted = 0;
	guint faults;

	for (guint32 seed = 1; seed <= EXPIRY_SEEDS; seed++) {
		g_test_message("seed %u", seed);
		faults = run_expiring(seed, PLANT_NONE, &deleted);
		g_assert_cmpuint(faults, ==, 0);
	}
	g_assert_cmpuint(deleted, >, EXPIRY_SEEDS / 4);
}

static void test_expiry_planted(void)
{
	for (enum plant plant = PLANT_EARLY; plant < PLANTS; plant++) {
		guint deleted = 0;
		guint32 seed = 1;

		while (seed <= EXPIRY_SEEDS &&
		       !run_expiring(seed, plant, &deleted))
			seed++;
		g_test_message("plant %u found by seed %u", (guint)plant, seed);
		g_assert_cmpuint(seed, <=, EXPIRY_SEEDS);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claims/cases", test_cases);
	g_test_add_func("/claims/interleavings", test_interleavings);
	g_test_add_func("/claims/expiry/seeds", test_expiry_seeds);
	g_test_add_func("/claims/expiry/planted", test_expiry_planted);
	return g_test_run();
}
