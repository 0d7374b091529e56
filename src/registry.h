/* Registered upstreams and their state according to heartbeats.  Used by
   keepers and entry hosts.  Pure decision logic.  */
#ifndef MARJORAM_REGISTRY_H
#define MARJORAM_REGISTRY_H

#include "dialect.h"
#include "gateway_message.h"

#include <sys/queue.h>
#include <uthash.h>

typedef struct marjoram_registry marjoram_registry;

/* The upstreams of one service.  */
struct marjoram_registered_service;
/* The upstreams that have reported one address.  */
struct marjoram_registered_address;

/* Times are in ms of the local monotonic clock.  */
struct marjoram_registered
{
  TAILQ_ENTRY (marjoram_registered) link;
  TAILQ_ENTRY (marjoram_registered) service_link;
  TAILQ_ENTRY (marjoram_registered) address_link;
  TAILQ_ENTRY (marjoram_registered) age_link;
  struct marjoram_registered_service *service;
  struct marjoram_registered_address *address; /* of its latest heartbeat */
  struct marjoram_upstream_heartbeat
      heartbeat;              /* latest heartbeat, durations as received */
  int64_t received_at;        /* when a keeper received the heartbeat */
  int64_t direct_received_at; /* last heartbeat received directly; INT64_MIN if
                              none */
  int64_t cold_until;
  int64_t ends_at; /* INT64_MAX if unknown */
  UT_hash_handle hh;
};

TAILQ_HEAD (marjoram_registered_list, marjoram_registered);

enum marjoram_registry_result
{
  MARJORAM_REGISTRY_STALE,   /* outdated, or from an earlier instance */
  MARJORAM_REGISTRY_RENEWED, /* liveness only */
  MARJORAM_REGISTRY_CHANGED  /* new, or changed state, address or instance */
};

marjoram_registry *marjoram_registry_create (void);
void marjoram_registry_destroy (marjoram_registry *registry);
/* Applies HEARTBEAT, which a keeper received AGE_MS ago.  */
enum marjoram_registry_result
marjoram_registry_update (marjoram_registry *registry, int64_t now,
                          const struct marjoram_upstream_heartbeat *heartbeat,
                          int64_t age_ms);
/* NULL if ID is unknown.  */
struct marjoram_registered *
marjoram_registry_find (const marjoram_registry *registry, const char *id);
struct marjoram_registered_list *
marjoram_registry_all (marjoram_registry *registry);
/* The upstreams of SERVICE, linked by SERVICE_LINK; NULL if there are none. */
struct marjoram_registered_list *
marjoram_registry_of_service (marjoram_registry *registry,
                              const char *service);
/* The upstreams that reported ADDRESS last, linked by ADDRESS_LINK; NULL if
   there are none.  */
struct marjoram_registered_list *
marjoram_registry_of_address (marjoram_registry *registry,
                              const char *address);
size_t marjoram_registry_service_count (const marjoram_registry *registry,
                                        const char *service);
size_t marjoram_registry_count (const marjoram_registry *registry);
/* Whether UPSTREAM accepts new requests: ready, not shutting down, and not
   silent while heartbeats of others arrive.  */
bool marjoram_registry_usable (const marjoram_registry *registry,
                               const struct marjoram_registered *upstream,
                               int64_t now);
/* Drops upstreams that have been silent or gone for long.  */
void marjoram_registry_tick (marjoram_registry *registry, int64_t now);

/* Conversion from and to messages between hosts; a packed item borrows the
   record's strings.  */
void marjoram_registry_pack (const struct marjoram_registered *upstream,
                             int64_t now, struct marjoram_news_item *item);
bool marjoram_registry_unpack (const struct marjoram_news_item *item,
                               struct marjoram_upstream_heartbeat *heartbeat);

#endif
