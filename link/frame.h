/**
 * @file
 * Frames between the system's processes: four bytes of length (big endian, of
 * what follows), one of version, one of type, and a body in msgpack. Pure.
 */
#ifndef LINK_FRAME_H
#define LINK_FRAME_H

#include <glib.h>
#include <stdint.h>

#include "base/status.h"

#define FRAME_VERSION 1
#define FRAME_HEADER_BYTES 6
#define FRAME_MAX_BODY_BYTES ((gsize)4 << 20)

struct frame {
	uint8_t type;
	GByteArray *body;
};

/** Reassembles frames from a stream of bytes. */
struct frame_reader {
	GByteArray *buffer;
	gsize max_body_bytes;
	gboolean is_corrupt;
};

/** Appends an encoded frame to a buffer; STATUS_FULL when it is too large. */
enum status frame_write(GByteArray *out, uint8_t type, const void *body,
			gsize body_bytes);

void frame_reader_init(struct frame_reader *r, gsize max_body_bytes);
void frame_reader_clear(struct frame_reader *r);

/** Adds bytes as they came. */
void frame_reader_feed(struct frame_reader *r, const void *data, gsize bytes);

/**
 * Takes the next whole frame.
 *
 * @param out	filled on STATUS_OK; frame_clear() it
 * @return	STATUS_OK, STATUS_NOT_FOUND when more bytes are needed, or
 *		STATUS_INVALID when the stream is corrupt for good
 */
enum status frame_reader_next(struct frame_reader *r, struct frame *out);

void frame_clear(struct frame *f);

#endif
