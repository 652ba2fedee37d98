/**
 * @file
 * A client's connection as the HTTP library reads it, with limits: the length
 * and the lines of a request's head, which the library doesn't or only loosely
 * limits, what is read in one turn of the main loop, and the bytes of a body
 * that was refused.
 *
 * The stream hands over a head to its last byte and nothing after it in the
 * same read, so that it knows where each head begins and ends.
 */
#ifndef BASE_REQUEST_STREAM_H
#define BASE_REQUEST_STREAM_H

#include <gio/gio.h>
#include <stdint.h>

struct request_stream_limits {
	gsize head_bytes;
	guint head_lines;      /**< empty lines before a head included */
	gsize discarded_bytes; /**< of a body that was refused */
};

struct request_stream_events {
	/** Bytes were read; returns FALSE if the connection must be closed. */
	gboolean (*on_input)(GSocket *socket, gsize bytes, void *data);
	/** The head exceeds a limit; the connection is closed. */
	void (*on_long_head)(GIOStream *stream, void *data);
	/** A refused body exceeds its limit; the connection is closed. */
	void (*on_long_body)(void *data);
	void *data;
};

#define REQUEST_TYPE_STREAM (request_stream_get_type())
G_DECLARE_FINAL_TYPE(RequestStream, request_stream, REQUEST, STREAM, GIOStream)

/**
 * @param connection	closed with the stream
 * @param limits	copied
 * @param events	copied; its data must outlive the stream
 */
RequestStream *request_stream_new(GSocketConnection *connection,
				  const struct request_stream_limits *limits,
				  const struct request_stream_events *events);

/** Returns the stream of a connection by its remote address, or NULL. */
RequestStream *request_stream_of(GSocketAddress *remote);

/** Returns the remote address, the same object in each call. */
GSocketAddress *request_stream_remote(RequestStream *s);

GSocket *request_stream_socket(RequestStream *s);

/** Closes a socket and has libsoup notice it, if a stream has the socket. */
void request_stream_close_socket(GSocket *socket);

/** The next bytes are the head of a request. */
void request_stream_expect_head(RequestStream *s);

/** The body that follows was refused: it is read but not reported. */
void request_stream_discard_body(RequestStream *s);

#endif
