/* The hosts that are heard of: which live, which take callers, which of them
   owns a task.  Pure decisions.  */
#ifndef MARJORAM_HOST_LIST_H
#define MARJORAM_HOST_LIST_H

#include "gateway_message.h"

#include <stdbool.h>
#include <sys/queue.h>
#include <uthash.h>

typedef struct marjoram_host_list marjoram_host_list;

struct marjoram_listed_host
{
  TAILQ_ENTRY (marjoram_listed_host) link;
  struct marjoram_host_beat beat; /* owns its texts */
  int64_t heard_at;
  bool direct;     /* its own beats come here, not only others' word of it */
  int64_t lost_at; /* the connection to it; INT64_MIN: never */
  const marjoram_host_list *list;
  uint64_t name_hash; /* for rendezvous hashing */
  UT_hash_handle hh;
};

TAILQ_HEAD (marjoram_listed_hosts, marjoram_listed_host);

enum
{
  MARJORAM_LOOKUP_MAX = 64 /* addresses in one answer; callers take no more */
};

marjoram_host_list *marjoram_host_list_create (void);
void marjoram_host_list_destroy (marjoram_host_list *list);
/* How long others' word of a host holds: a little more than they take to tell
   all of them again.  By default as keepers tell one another, every five
   seconds.  */
void marjoram_host_list_set_told_valid (marjoram_host_list *list,
                                        int64_t msec);
/* Entry hosts of REGION beat only every BEAT_MS.  */
void marjoram_host_list_set_beat (marjoram_host_list *list, const char *region,
                                  int64_t beat_ms);
/* The connection to NAME broke: if its own beats come here, it counts as dead
   until the next one.  */
void marjoram_host_list_lost (marjoram_host_list *list, int64_t now,
                              const char *name);
/* This host hears all beats LATE_MS late, until the next word of it.  */
void marjoram_host_list_set_late (marjoram_host_list *list, int64_t late_ms);
/* A beat from its host itself (DIRECT) or as passed on.  Returns whether it
   told anything new but that the host lives.  */
bool marjoram_host_list_hear (marjoram_host_list *list, int64_t now,
                              const struct marjoram_host_beat *beat,
                              bool direct);
struct marjoram_listed_hosts *
marjoram_host_list_all (marjoram_host_list *list);
/* Null if NAME is not known.  */
const struct marjoram_listed_host *
marjoram_host_list_find (const marjoram_host_list *list, const char *name);
bool marjoram_host_list_alive (const struct marjoram_listed_host *host,
                               int64_t now);
/* Whether callers and hosts of other regions may send it requests.  */
bool marjoram_host_list_serves (const struct marjoram_listed_host *host,
                                int64_t now);
/* Whether a caller of another region may be sent to REGION.  */
typedef bool (*marjoram_region_allowed) (void *context, const char *region);

/* Which hosts a look-up found.  */
enum marjoram_lookup_reach
{
  MARJORAM_REACH_ZONE,
  MARJORAM_REACH_REGION,
  MARJORAM_REACH_ALLOWED,
  MARJORAM_REACH_COUNT
};

/* The hosts that a caller of ZONE in REGION may connect to: of its zone, else
   of its region, else of the regions that are ALLOWED; REACH tells which.
   Borrowed.  */
size_t marjoram_host_list_lookup (marjoram_host_list *list, int64_t now,
                                  const char *zone, const char *region,
                                  marjoram_region_allowed allowed,
                                  void *context,
                                  const char *addresses[MARJORAM_LOOKUP_MAX],
                                  enum marjoram_lookup_reach *reach);
/* The serving host of REGION that has the highest claim to KEY by rendezvous
   hashing; null if there is none.  */
const char *marjoram_host_list_owner (marjoram_host_list *list, int64_t now,
                                      const char *region, const char *key);
/* Hosts that serve, of any region, and that have told this one themselves what
   their regions offer.  Valid until the next call with LIST.  */
struct marjoram_host_view
{
  struct marjoram_listed_host **hosts;
  size_t count;
};
const struct marjoram_host_view *
marjoram_host_list_offering (marjoram_host_list *list, int64_t now);
/* The same, of hosts of REGION that serve.  */
const struct marjoram_host_view *
marjoram_host_list_of_region (marjoram_host_list *list, int64_t now,
                              const char *region);
/* The claim of the host to KEY in rendezvous hashing.  */
uint64_t marjoram_listed_host_claim (const struct marjoram_listed_host *host,
                                     const char *key);
/* What HOST's region offers for SERVICE; null if nothing.  */
const struct marjoram_host_offer *
marjoram_listed_host_offer (const struct marjoram_listed_host *host,
                            const char *service);
/* The same among these hosts and OWN, a host that is not in the list.  */
const char *marjoram_host_list_owner_with (marjoram_host_list *list,
                                           int64_t now, const char *region,
                                           const char *key, const char *own);
/* Entry hosts of REGION that take requests.  */
size_t marjoram_host_list_serving (marjoram_host_list *list, int64_t now,
                                   const char *region);
/* Entry hosts that were heard of lately, alive or not.  */
size_t marjoram_host_list_entries (marjoram_host_list *list);
/* Forgets those that were silent for long.  */
void marjoram_host_list_tick (marjoram_host_list *list, int64_t now);

#endif
