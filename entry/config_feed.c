#include "entry/config_feed.h"

#include "base/log.h"
#include "base/util.h"
#include "entry/entry_store.h"
#include "entry/table_feed.h"
#include "platform/wire_config.h"

/* Long-poll timeout: the store answers by then even without changes. */
#define FEED_WAIT_MS 1500
/* The store counts as unreachable after this time without an answer. */
#define CONTACT_TIMEOUT_MS (FEED_WAIT_MS + 2000)

struct config_feed {
	struct service base;
	struct table_feed *feed;
	struct fleet_config config;
	gboolean has_config;
	int64_t store_offset_ms; /* store minus monotonic clock, 0: unknown */
};

static struct config_feed *find(const struct kernel *k)
{
	return (struct config_feed *)kernel_find(k, CONFIG_FEED_SERVICE);
}

static void log_config(const struct fleet_config *c, const char *event,
		       const char *findings)
{
	struct log_line line;

	log_begin(&line, findings ? LOG_LEVEL_ERROR : LOG_LEVEL_INFO, event);
	log_int(&line, "version", c->version);
	log_int(&line, "routes", c->routes ? c->routes->len : 0);
	log_int(&line, "accounts", c->accounts ? c->accounts->len : 0);
	if (findings)
		log_str(&line, "findings", findings);
	log_end(&line);
}

static void on_row(void *data, const struct table_row *row, int64_t store_ms)
{
	struct config_feed *s = data;
	struct fleet_config config = { 0 };
	struct finding_list findings;
	char *text = NULL;

	if (!g_str_equal(row->key, WIRE_CONFIG_KEY) || row->is_deleted)
		return;
	finding_list_init(&findings);
	if (!wire_config_decode(row->value, &config, &findings)) {
		text = finding_list_text(&findings);
		log_config(&config, "config_refused", text);
	} else if (!s->has_config || config.version > s->config.version) {
		fleet_config_clear(&s->config);
		s->config = config;
		config = (struct fleet_config){ 0 };
		s->has_config = TRUE;
		log_config(&s->config, "config_in_force", NULL);
	}
	fleet_config_clear(&config);
	finding_list_clear(&findings);
	g_free(text);
}

static void on_call_done(void *data, gboolean is_ok, int64_t store_ms)
{
	struct config_feed *s = data;

	if (is_ok && store_ms)
		s->store_offset_ms = store_ms - util_monotonic_ms();
}

static enum status config_feed_start(struct service *base, struct kernel *k)
{
	struct config_feed *s = (struct config_feed *)base;
	struct table_feed_spec spec = {
		.platform = entry_platform_of(k),
		.table = WIRE_CONFIG_TABLE,
		.wait_ms = FEED_WAIT_MS,
		.on_row = on_row,
		.on_call_done = on_call_done,
		.data = s,
	};

	s->feed = table_feed_new(&spec);
	return STATUS_OK;
}

static void config_feed_free(struct service *base)
{
	struct config_feed *s = (struct config_feed *)base;

	table_feed_free(s->feed);
	fleet_config_clear(&s->config);
	g_free(s);
}

static const struct service_class config_feed_class = {
	.name = CONFIG_FEED_SERVICE,
	.start = config_feed_start,
	.free = config_feed_free,
};

struct service *config_feed_new(void)
{
	struct config_feed *s = g_new0(struct config_feed, 1);

	s->base.class = &config_feed_class;
	return &s->base;
}

const struct fleet_config *config_feed_config(const struct kernel *k)
{
	const struct config_feed *s = find(k);

	return s->has_config ? &s->config : NULL;
}

int64_t config_feed_store_clock_ms(const struct kernel *k)
{
	const struct config_feed *s = find(k);

	return s->store_offset_ms ? util_monotonic_ms() + s->store_offset_ms
				  : 0;
}

gboolean config_feed_is_store_reachable(const struct kernel *k)
{
	const struct config_feed *s = find(k);
	int64_t last_answer_ms = table_feed_last_answer_ms(s->feed);

	return last_answer_ms &&
	       util_boot_ms() - last_answer_ms < CONTACT_TIMEOUT_MS;
}
