/* What is believed of upstreams, from what they say of themselves.  Pure
   decisions; keepers and entry hosts hold one each.  */
#ifndef MARJORAM_REGISTRY_H
#define MARJORAM_REGISTRY_H

#include "dialect.h"
#include "gateway_message.h"

#include <sys/queue.h>
#include <uthash.h>

typedef struct marjoram_registry marjoram_registry;

/* The upstreams of one service.  */
struct marjoram_registered_service;

/* Times are of the local monotonic clock.  */
struct marjoram_registered
{
  TAILQ_ENTRY (marjoram_registered) link;
  TAILQ_ENTRY (marjoram_registered) service_link;
  struct marjoram_registered_service *service;
  struct marjoram_upstream_news news; /* the newest; its spans as they came */
  int64_t heard_at;                   /* when a keeper heard it */
  int64_t spoke_at; /* when it spoke to this host itself; INT64_MIN: never */
  int64_t cold_until;
  int64_t ends_at; /* INT64_MAX if it is not known to end */
  UT_hash_handle hh;
};

TAILQ_HEAD (marjoram_registered_list, marjoram_registered);

enum marjoram_hearing
{
  MARJORAM_HEARING_STALE,   /* older than what is known, or of a former life */
  MARJORAM_HEARING_RENEWED, /* nothing new but that it lives */
  MARJORAM_HEARING_CHANGED  /* new, or another state, address or life */
};

marjoram_registry *marjoram_registry_create (void);
void marjoram_registry_destroy (marjoram_registry *registry);
/* Takes in NEWS that a keeper heard AGE_MS ago.  */
enum marjoram_hearing
marjoram_registry_hear (marjoram_registry *registry, int64_t now,
                        const struct marjoram_upstream_news *news,
                        int64_t age_ms);
/* Null if ID is not known.  */
struct marjoram_registered *
marjoram_registry_find (const marjoram_registry *registry, const char *id);
struct marjoram_registered_list *
marjoram_registry_all (marjoram_registry *registry);
/* The upstreams of SERVICE, linked by SERVICE_LINK; null if there are none. */
struct marjoram_registered_list *
marjoram_registry_of_service (marjoram_registry *registry,
                              const char *service);
size_t marjoram_registry_service_count (const marjoram_registry *registry,
                                        const char *service);
size_t marjoram_registry_count (const marjoram_registry *registry);
/* Whether new work may go there: ready, not about to end, and not silent
   while others are heard.  */
bool marjoram_registry_usable (const marjoram_registry *registry,
                               const struct marjoram_registered *upstream,
                               int64_t now);
/* Drops what has been silent or gone for long.  */
void marjoram_registry_tick (marjoram_registry *registry, int64_t now);

/* For frames between hosts; the item borrows the record's texts.  */
void marjoram_registry_pack (const struct marjoram_registered *upstream,
                             int64_t now, struct marjoram_news_item *item);
bool marjoram_registry_unpack (const struct marjoram_news_item *item,
                               struct marjoram_upstream_news *news);

#endif
