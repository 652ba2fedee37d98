/**
 * @file
 * Frames exchanged by the system's processes: a 4-byte length (big endian, of
 * the bytes after it), one byte each of version and type, and a msgpack body.
 * No I/O.
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
	GByteArray *buffer; /**< received bytes of frames not yet returned */
	gsize max_body_bytes;
	gboolean is_corrupt; /**< all further input is discarded */
};

/**
 * Appends an encoded frame to a buffer; STATUS_FULL if the body exceeds
 * FRAME_MAX_BODY_BYTES.
 */
enum status frame_write(GByteArray *out, uint8_t type, const void *body,
			gsize body_bytes);

void frame_reader_init(struct frame_reader *r, gsize max_body_bytes);
void frame_reader_clear(struct frame_reader *r);

/** Adds received bytes, split at any position. */
void frame_reader_feed(struct frame_reader *r, const void *data, gsize bytes);

/**
 * Removes the next complete frame from the buffer.
 *
 * @param out	set on STATUS_OK; release with frame_clear()
 * @return	STATUS_OK, STATUS_NOT_FOUND if more bytes are needed, or
 *		STATUS_INVALID, also for all later calls, if the stream is
 *		corrupt
 */
enum status frame_reader_next(struct frame_reader *r, struct frame *out);

void frame_clear(struct frame *f);

#endif
