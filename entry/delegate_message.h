/**
 * @file
 * What the holder of the pool and the delegates send each other, in frames of
 * link/link_connection.h.
 */
#ifndef ENTRY_DELEGATE_MESSAGE_H
#define ENTRY_DELEGATE_MESSAGE_H

/** Where delegates are registered: one row a VM, by its name. */
#define DELEGATE_TABLE "delegates"

enum delegate_message {
	/** From the holder, first: {"token"} as the delegate's row has it. */
	DELEGATE_MESSAGE_HELLO = 1,
	/**
	 * A call to make: {"number", "method", "address", "path", "headers",
	 * "timeout_ms", "silent_ms", "body"}.
	 */
	DELEGATE_MESSAGE_CALL = 2,
	/** Its outcome: {"number", "status", "code", "was_resent", "body"}. */
	DELEGATE_MESSAGE_REPLY = 3,
};

#endif
