/**
 * @file
 * Messages between the holder of the pool and the delegates, sent as frames of
 * link/link_connection.h.
 *
 * A call names the time, on the delegate's own clock (util_boot_ms()), after
 * which it is void, so that a delegate that was paused sends nothing that the
 * holder has given up. For that the delegate tells its clock after the HELLO
 * and in each reply; no calls are sent to it before.
 */
#ifndef ENTRY_DELEGATE_MESSAGE_H
#define ENTRY_DELEGATE_MESSAGE_H

enum delegate_message {
	/**
	 * First message of the holder: {"token"}, the token in the delegate's
	 * row. The delegate ignores calls until it has received it.
	 */
	DELEGATE_MESSAGE_HELLO = 1,
	/**
	 * Request to call a worker: {"number", "method", "address", "path",
	 * "headers", "timeout_ms", "silent_ms", "send_until_ms", "body"}. The
	 * number identifies the call in its reply. A call that can't be sent by
	 * "send_until_ms", or lacks it, is answered as not sent.
	 */
	DELEGATE_MESSAGE_CALL = 2,
	/**
	 * Outcome of the call with that number: {"number", "status", "code",
	 * "was_resent", "is_expired", "boot_ms", "body"}.
	 */
	DELEGATE_MESSAGE_REPLY = 3,
	/** Answer of the delegate to an accepted HELLO: {"boot_ms"}. */
	DELEGATE_MESSAGE_CLOCK = 4,
};

#endif
