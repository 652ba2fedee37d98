/**
 * @file
 * Types of the frames that the system's processes exchange.
 */
#ifndef LINK_MESSAGE_H
#define LINK_MESSAGE_H

enum message_type {
	MESSAGE_CHALLENGE = 1, /**< struct link_challenge */
	MESSAGE_HELLO,	       /**< struct link_hello */
	MESSAGE_WELCOME,       /**< struct link_hello */
	MESSAGE_PING,	       /**< empty; acknowledged like any frame */
	MESSAGE_ACK,	       /**< empty */
	MESSAGE_REFUSAL,       /**< struct link_refusal; the link is closed */
	/* The types below are handled by other services. */
	MESSAGE_FIRST_SERVICE_TYPE = 16,
	MESSAGE_HEARTBEAT = 16, /**< struct heartbeat */
	MESSAGE_CONFIG_DELTA,	/**< struct config_delta */
	MESSAGE_CONFIG_BODY,	/**< struct config_whole */
	MESSAGE_CONFIG_REQUEST, /**< struct config_request */
	MESSAGE_RENEWAL_REPORT, /**< struct renewal_report */
	MESSAGE_RENEWAL_GRANT,	/**< struct renewal_grant */
};

#endif
