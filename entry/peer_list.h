/**
 * @file
 * Entry VMs that may serve a request for this one, and the choice among them.
 * Pure: no clock, no sockets.
 */
#ifndef ENTRY_PEER_LIST_H
#define ENTRY_PEER_LIST_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

struct peer {
	char *node;
	char *address; /**< "IP:PORT" for forwarded requests */
	char *failure_domain;
	double cpu_share;	/**< CPU limit in cores */
	int64_t avoid_until_ms; /**< after a failure */
	guint seen_scan;	/**< number of the last scan that listed it */
};

struct peer_list {
	char *self;	      /**< node that is never chosen */
	char *failure_domain; /**< of this VM */
	GHashTable *peers;    /**< node to struct peer */
	guint scan;	      /**< number of the current scan */
};

void peer_list_init(struct peer_list *l, const char *self,
		    const char *failure_domain);
void peer_list_clear(struct peer_list *l);

/** Begins a scan of the table; peers that it doesn't list are dropped. */
void peer_list_begin_scan(struct peer_list *l);

/** Adds or updates a peer from its row; an unusable row is ignored. */
void peer_list_add(struct peer_list *l, const char *node, json_object *row);

void peer_list_end_scan(struct peer_list *l);

/**
 * Chooses a peer for an attempt at a request, at random with a weight by
 * processor share. The first attempt prefers this VM's own failure domain,
 * later ones the others: a whole domain may be cut off.
 *
 * @param tried		nodes that are not chosen again, of char *
 * @return		NULL if there is none
 */
struct peer *peer_list_pick(const struct peer_list *l, const GPtrArray *tried,
			    int64_t now_ms, GRand *rng);

/** Avoids a peer that did not serve a request, until a time. */
void peer_list_avoid(struct peer_list *l, const char *node, int64_t until_ms);

#endif
