/*
 * Heap memory that is unused after a burst is returned to the system, and the
 * heap is not trimmed again and again for memory that can't be returned.
 */
#include <glib.h>
#include <string.h>

#include "base/counters.h"
#include "base/heap_return.h"
#include "base/kernel.h"
#include "base/process_usage.h"
#include "daemon/heap_service.h"
#include "tests/cluster.h"

#define MB (INT64_C(1) << 20)
#define STEPS 5

/* Unused memory at each step, before and after a trim. */
struct return_case {
	const char *path;
	int64_t unused_kb[STEPS];
	int64_t left_kb[STEPS];	    /* after a trim in that step */
	const char *expected_trims; /* per step: '+' trim, '-' none */
};

static const struct return_case return_cases[] = {
	{ "/heap/return/little",
	  { 900, 1000, 1000, 900, 800 },
	  { 0 },
	  "-----" },
	{ "/heap/return/burst",
	  { 900, 9000, 900, 1000, 900 },
	  { 0, 800 },
	  "-+---" },
	{ "/heap/return/stays",
	  { 6000, 6000, 6100, 6900, 6000 },
	  { 6000 },
	  "+----" },
	{ "/heap/return/grows",
	  { 6000, 7100, 7100, 8200, 8200 },
	  { 6000, 7100, 0, 8200 },
	  "++-+-" },
	{ "/heap/return/shrinks-and-grows",
	  { 6000, 2000, 2500, 3100, 2000 },
	  { 6000, 0, 0, 2000 },
	  "+--+-" },
};

static void test_return(gconstpointer data)
{
	const struct return_case *c = data;
	struct heap_return h = { 0 };

	for (guint i = 0; i < STEPS; i++) {
		gboolean is_due = heap_return_is_due(&h, c->unused_kb[i] << 10);

		g_assert_cmpint(is_due, ==, c->expected_trims[i] == '+');
		if (is_due)
			heap_return_record_unused(&h, c->left_kb[i] << 10);
	}
}

#define BLOCKS 24000
#define BLOCK_BYTES 1000
#ifdef __SANITIZE_ADDRESS__ /* keeps freed blocks and adds its own data */
#define RETURNED_BYTES (-1000 * MB)
#else
#define RETURNED_BYTES (20 * MB)
#endif
/** One block in this many stays allocated, so that the heap end is in use. */
#define KEEP_EVERY 400

static gboolean has_returned(void *data)
{
	return process_usage_private_bytes() <= *(const int64_t *)data;
}

/* Allocates 24 MB in small blocks and frees all but a few of them. */
static void test_burst(void)
{
	struct service *s = heap_service_new();
	struct kernel *k = kernel_new(0);
	GPtrArray *blocks = g_ptr_array_sized_new(BLOCKS);
	int64_t bound;

	kernel_register(k, s);
	g_assert_cmpint(s->class->start(s, k), ==, STATUS_OK);
	for (guint i = 0; i < BLOCKS; i++) {
		char *block = g_malloc(BLOCK_BYTES);

		memset(block, 1, BLOCK_BYTES);
		g_ptr_array_add(blocks, block);
	}
	bound = process_usage_private_bytes() - RETURNED_BYTES;
	for (guint i = 0; i < BLOCKS; i++) {
		if (i % KEEP_EVERY != KEEP_EVERY - 1)
			g_clear_pointer(&blocks->pdata[i], g_free);
	}
	g_assert_true(cluster_wait(has_returned, &bound, 25000));
	for (guint i = 0; i < BLOCKS; i++)
		g_free(blocks->pdata[i]);
	g_ptr_array_unref(blocks);
	kernel_free(k);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(return_cases); i++)
		g_test_add_data_func(return_cases[i].path, &return_cases[i],
				     test_return);
	g_test_add_func("/heap/burst", test_burst);
	return g_test_run();
}
