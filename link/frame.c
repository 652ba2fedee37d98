#include "link/frame.h"

#include <string.h>

#define LENGTH_BYTES 4
#define VERSION_OFFSET 4
#define TYPE_OFFSET 5
/** Header bytes included in the length field. */
#define COUNTED_HEADER_BYTES (FRAME_HEADER_BYTES - LENGTH_BYTES)

enum status frame_write(GByteArray *out, uint8_t type, const void *body,
			gsize body_bytes)
{
	uint8_t header[FRAME_HEADER_BYTES];
	uint32_t length;

	if (body_bytes > FRAME_MAX_BODY_BYTES)
		return status_fail(STATUS_FULL,
				   "frame body of %zu bytes exceeds 4 MiB",
				   body_bytes);
	length = GUINT32_TO_BE((uint32_t)body_bytes + COUNTED_HEADER_BYTES);
	memcpy(header, &length, LENGTH_BYTES);
	header[VERSION_OFFSET] = FRAME_VERSION;
	header[TYPE_OFFSET] = type;
	g_byte_array_append(out, header, sizeof(header));
	if (body_bytes > 0)
		g_byte_array_append(out, body, (guint)body_bytes);
	return STATUS_OK;
}

void frame_reader_init(struct frame_reader *r, gsize max_body_bytes)
{
	r->buffer = g_byte_array_new();
	r->max_body_bytes = max_body_bytes;
	r->is_corrupt = FALSE;
}

void frame_reader_clear(struct frame_reader *r)
{
	g_clear_pointer(&r->buffer, g_byte_array_unref);
}

void frame_reader_feed(struct frame_reader *r, const void *data, gsize bytes)
{
	if (!r->is_corrupt)
		g_byte_array_append(r->buffer, data, (guint)bytes);
}

static enum status mark_corrupt(struct frame_reader *r, const char *problem)
{
	r->is_corrupt = TRUE;
	g_byte_array_set_size(r->buffer, 0);
	return status_fail(STATUS_INVALID, "frame: %s", problem);
}

enum status frame_reader_next(struct frame_reader *r, struct frame *out)
{
	uint32_t length;
	gsize body_bytes;

	if (r->is_corrupt)
		return STATUS_INVALID;
	if (r->buffer->len < FRAME_HEADER_BYTES)
		return STATUS_NOT_FOUND;
	memcpy(&length, r->buffer->data, LENGTH_BYTES);
	length = GUINT32_FROM_BE(length);
	if (length < COUNTED_HEADER_BYTES)
		return mark_corrupt(r, "length field below 2");
	body_bytes = length - COUNTED_HEADER_BYTES;
	if (body_bytes > r->max_body_bytes)
		return mark_corrupt(r, "length field above the maximum");
	if (r->buffer->data[VERSION_OFFSET] != FRAME_VERSION)
		return mark_corrupt(r, "unsupported frame version");
	if (r->buffer->len < FRAME_HEADER_BYTES + body_bytes)
		return STATUS_NOT_FOUND;
	out->type = r->buffer->data[TYPE_OFFSET];
	out->body = g_byte_array_sized_new((guint)body_bytes);
	g_byte_array_append(out->body, r->buffer->data + FRAME_HEADER_BYTES,
			    (guint)body_bytes);
	g_byte_array_remove_range(r->buffer, 0,
				  (guint)(FRAME_HEADER_BYTES + body_bytes));
	return STATUS_OK;
}

void frame_clear(struct frame *f)
{
	g_clear_pointer(&f->body, g_byte_array_unref);
}
