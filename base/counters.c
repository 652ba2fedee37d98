#include "base/counters.h"

static const int64_t bucket_limits_us[HISTOGRAM_BUCKETS] = {
	100,   250,   500,    1000,   2500,    5000,	10000,
	25000, 50000, 100000, 250000, 1000000, 5000000, 30000000,
};

static void counter_free(gpointer data)
{
	struct counter *c = data;

	g_free(c->name);
	g_free(c->help);
	g_free(c);
}

static void histogram_free(gpointer data)
{
	struct histogram *h = data;

	g_free(h->name);
	g_free(h->help);
	g_free(h);
}

void counters_init(struct counters *c)
{
	c->counters = g_ptr_array_new_with_free_func(counter_free);
	c->histograms = g_ptr_array_new_with_free_func(histogram_free);
}

void counters_clear(struct counters *c)
{
	g_clear_pointer(&c->counters, g_ptr_array_unref);
	g_clear_pointer(&c->histograms, g_ptr_array_unref);
}

static struct counter *find_or_add(struct counters *c, const char *name,
				   const char *help, gboolean is_gauge)
{
	struct counter *item;

	for (guint i = 0; i < c->counters->len; i++) {
		item = g_ptr_array_index(c->counters, i);
		if (g_str_equal(item->name, name))
			return item;
	}
	item = g_new0(struct counter, 1);
	item->name = g_strdup(name);
	item->help = g_strdup(help);
	item->is_gauge = is_gauge;
	g_ptr_array_add(c->counters, item);
	return item;
}

struct counter *counters_counter(struct counters *c, const char *name,
				 const char *help)
{
	return find_or_add(c, name, help, FALSE);
}

struct counter *counters_gauge(struct counters *c, const char *name,
			       const char *help)
{
	return find_or_add(c, name, help, TRUE);
}

struct histogram *counters_histogram(struct counters *c, const char *name,
				     const char *help)
{
	struct histogram *item;

	for (guint i = 0; i < c->histograms->len; i++) {
		item = g_ptr_array_index(c->histograms, i);
		if (g_str_equal(item->name, name))
			return item;
	}
	item = g_new0(struct histogram, 1);
	item->name = g_strdup(name);
	item->help = g_strdup(help);
	g_ptr_array_add(c->histograms, item);
	return item;
}

void counter_add(struct counter *c, int64_t n)
{
	c->value += n;
}

void counter_set(struct counter *c, int64_t value)
{
	c->value = value;
}

void histogram_record(struct histogram *h, int64_t latency_us)
{
	guint i = 0;

	while (i < HISTOGRAM_BUCKETS && latency_us > bucket_limits_us[i])
		i++;
	h->buckets[i]++;
	h->count++;
	h->sum_us += latency_us;
}

static void append_histogram(GString *text, const struct histogram *h)
{
	uint64_t total = 0;

	g_string_append_printf(text, "# HELP %s %s\n# TYPE %s histogram\n",
			       h->name, h->help, h->name);
	for (guint i = 0; i < HISTOGRAM_BUCKETS; i++) {
		total += h->buckets[i];
		g_string_append_printf(
			text, "%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n",
			h->name, (double)bucket_limits_us[i] / G_USEC_PER_SEC,
			total);
	}
	g_string_append_printf(text,
			       "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
			       h->name, h->count);
	g_string_append_printf(text, "%s_sum %g\n", h->name,
			       (double)h->sum_us / G_USEC_PER_SEC);
	g_string_append_printf(text, "%s_count %" G_GUINT64_FORMAT "\n",
			       h->name, h->count);
}

char *counters_text(const struct counters *c)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < c->counters->len; i++) {
		const struct counter *item = g_ptr_array_index(c->counters, i);

		g_string_append_printf(
			text,
			"# HELP %s %s\n# TYPE %s %s\n%s %" G_GINT64_FORMAT "\n",
			item->name, item->help, item->name,
			item->is_gauge ? "gauge" : "counter", item->name,
			item->value);
	}
	for (guint i = 0; i < c->histograms->len; i++)
		append_histogram(text, g_ptr_array_index(c->histograms, i));
	return g_string_free(text, FALSE);
}
