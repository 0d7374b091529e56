/* Registered upstreams and their state according to heartbeats.  Used by
   keepers and entry hosts.  Pure decision logic.  */
#ifndef MARJORAM_REGISTRY_H
#define MARJORAM_REGISTRY_H

#include "address.h"
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
  TAILQ_ENTRY (marjoram_registered) checked_link;
  struct marjoram_registered_service *service;
  struct marjoram_registered_address *address; /* of its latest heartbeat */
  struct marjoram_upstream_heartbeat
      heartbeat;              /* latest heartbeat, durations as received */
  int64_t received_at;        /* when a keeper received the heartbeat */
  int64_t direct_received_at; /* last heartbeat received directly; INT64_MIN if
                              none */
  int64_t cold_until;
  int64_t ends_at; /* INT64_MAX if unknown */
  /* When it said that it leaves; INT64_MIN if it does not, or had said so
     before it was known here.  */
  int64_t leaving_at;
  bool is_told_leaving; /* by an answer of this instance */
  /* At a host: whether its keeper's summaries renew it, and when it was named
     last.  */
  bool is_vouched;
  int64_t named_at;
  uint64_t digest; /* part of it in the digest of the registry */
  /* At a keeper: the keeper that passed on the latest heartbeat, "" if this
     one heard it; until when its silence is put down to that keeper; and since
     when hosts are told that it is silent, 0 if they are not.  */
  char via[MARJORAM_IP_MAX];
  int64_t limbo_until;
  int64_t silent_since;
  UT_hash_handle hh;
};

TAILQ_HEAD (marjoram_registered_list, marjoram_registered);

enum
{
  /* Age of the last heartbeat up to which summaries renew an upstream.
     Upstreams repeat heartbeats each two seconds, and keepers pass them on
     within two.  */
  MARJORAM_VOUCHED_AGE_MS = 5000
};

/* Identifies a set of upstreams and their state.  */
struct marjoram_registry_digest
{
  uint64_t count;
  uint64_t sum;
};

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
/* The build of all upstreams that SERVICE has had since SINCE; null if there
   were several or none, or what was there is not known for so long.  */
const char *marjoram_registry_only_build (const marjoram_registry *registry,
                                          const char *service, int64_t since);
/* All upstreams since SINCE have been heard here, or listed by a host that
   did. Upstreams heard by keepers from their start on are known once those are
   silent that were there before.  */
void marjoram_registry_set_known (marjoram_registry *registry, int64_t since);
void marjoram_registry_set_known_from_start (marjoram_registry *registry,
                                             int64_t started_at);
/* For how long all upstreams are known, in ms: at most as long as records of
   those that are gone are kept, negative if not yet.  */
int64_t marjoram_registry_known_ms (const marjoram_registry *registry,
                                    int64_t now);
size_t marjoram_registry_count (const marjoram_registry *registry);
/* Whether UPSTREAM accepts new requests: ready, not shutting down, and not
   silent while heartbeats of others arrive.  */
bool marjoram_registry_usable (const marjoram_registry *registry,
                               const struct marjoram_registered *upstream,
                               int64_t now);
/* An answer of the instance of upstream ID that started at STARTED_AT, to this
   host or another one, says that it leaves.  That holds until it starts again,
   whatever its heartbeats say, and is not passed on by
   marjoram_registry_pack.  Returns whether that is new.  */
bool marjoram_registry_set_leaving (marjoram_registry *registry, int64_t now,
                                    const char *id, int64_t started_at);
/* Whether UPSTREAM has only just said that it leaves, and still serves for a
   while what no other upstream can.  */
bool
marjoram_registry_still_serves (const marjoram_registry *registry,
                                const struct marjoram_registered *upstream,
                                int64_t now);
/* Drops upstreams that have been silent or gone for long; checks some of them
   with each call.  */
void marjoram_registry_tick (marjoram_registry *registry, int64_t now);

/* ---- Renewal by summaries.  ---- */

/* Whether a keeper's summaries renew upstreams; if not, each is renewed by its
   own heartbeats.  */
void marjoram_registry_use_summaries (marjoram_registry *registry, bool use);
/* A keeper heard all vouched upstreams within the last WITHIN_MS.  */
void marjoram_registry_vouch (marjoram_registry *registry, int64_t now,
                              int64_t within_ms);
/* ID is no longer vouched for; its last heartbeat is AGE_MS old.  */
void marjoram_registry_set_silent (marjoram_registry *registry, int64_t now,
                                   const char *id, int64_t age_ms);
/* Ends the vouching for upstreams that were last named before SINCE.  */
void marjoram_registry_unvouch_before (marjoram_registry *registry,
                                       int64_t since);
/* Of the vouched upstreams.  */
struct marjoram_registry_digest
marjoram_registry_digest (const marjoram_registry *registry);
/* The part of one upstream in a digest.  */
uint64_t
marjoram_registered_digest (const struct marjoram_registered *upstream);
/* The latest time at which UPSTREAM is known to have been alive.  */
int64_t
marjoram_registry_heard_at (const marjoram_registry *registry,
                            const struct marjoram_registered *upstream);
/* At a keeper: whether UPSTREAM counts as heard lately.  */
bool marjoram_registered_is_live (const struct marjoram_registered *upstream,
                                  int64_t now);

/* Conversion from and to messages between hosts; a packed item borrows the
   record's strings.  */
void marjoram_registry_pack (const struct marjoram_registered *upstream,
                             int64_t now, struct marjoram_news_item *item);
bool marjoram_registry_unpack (const struct marjoram_news_item *item,
                               struct marjoram_upstream_heartbeat *heartbeat);

#endif
