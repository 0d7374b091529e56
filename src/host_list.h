/* Known hosts: liveness, whether they accept callers, and ownership of keys by
   rendezvous hashing.  Pure decision logic.  */
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
  struct marjoram_host_beat heartbeat; /* owns its strings */
  int64_t received_at;
  bool direct;      /* heartbeats arrive directly, not only relayed */
  int64_t lost_at;  /* when it was last found dead; INT64_MIN if never */
  bool is_reported; /* as dead, at a keeper */
  const marjoram_host_list *list;
  uint64_t name_hash; /* for rendezvous hashing */
  UT_hash_handle hh;
};

TAILQ_HEAD (marjoram_listed_hosts, marjoram_listed_host);

enum
{
  MARJORAM_LOOKUP_MAX = 64,        /* addresses per response */
  MARJORAM_HOST_HEARTBEAT_MS = 300 /* shortest interval of hosts' heartbeats */
};

marjoram_host_list *marjoram_host_list_create (void);
void marjoram_host_list_destroy (marjoram_host_list *list);
/* Sets how long relayed heartbeats stay valid, in ms: slightly longer than the
   interval at which all hosts are relayed.  */
void marjoram_host_list_set_relayed_valid (marjoram_host_list *list,
                                           int64_t msec);
/* Sets the heartbeat interval of the entry hosts of REGION.  */
void marjoram_host_list_set_heartbeat_interval (marjoram_host_list *list,
                                                const char *region,
                                                int64_t heartbeat_ms);
/* NAME has shown that it is alive other than by a heartbeat.  */
void marjoram_host_list_heard (marjoram_host_list *list, int64_t now,
                               const char *name);
/* The connection to NAME broke: if its heartbeats arrive directly, it counts
   as dead until the next one.  */
void marjoram_host_list_connection_lost (marjoram_host_list *list, int64_t now,
                                         const char *name);
/* NAME has stated, other than by a heartbeat, that it is leaving.  */
void marjoram_host_list_leaves (marjoram_host_list *list, const char *name);
/* A keeper has found NAME dead: it counts as dead until its next heartbeat,
   unless it has restarted since INCARNATION.  Returns whether it counted as
   alive.  */
bool marjoram_host_list_lost (marjoram_host_list *list, int64_t now,
                              const char *name, uint64_t incarnation);
/* Whether a keeper tells this host which hosts of its region have died.  Those
   need not send it heartbeats then.  */
void marjoram_host_list_set_told_of_losses (marjoram_host_list *list,
                                            bool told);
/* Sets the receive lag of this host, allowed for in all liveness checks.  */
void marjoram_host_list_set_lag (marjoram_host_list *list, int64_t lag_ms);
/* Processes a heartbeat received from its host (DIRECT) or relayed.  Returns
   whether it changed anything besides the host's liveness.  */
bool marjoram_host_list_update (marjoram_host_list *list, int64_t now,
                                const struct marjoram_host_beat *heartbeat,
                                bool direct);
struct marjoram_listed_hosts *
marjoram_host_list_all (marjoram_host_list *list);
/* NULL if NAME is unknown.  */
const struct marjoram_listed_host *
marjoram_host_list_find (const marjoram_host_list *list, const char *name);
bool marjoram_host_list_alive (const struct marjoram_listed_host *host,
                               int64_t now);
/* Whether callers and other regions' hosts may send it requests.  */
bool marjoram_host_list_serves (const struct marjoram_listed_host *host,
                                int64_t now);
/* Whether a caller from another region may be directed to REGION.  */
typedef bool (*marjoram_region_allowed) (void *context, const char *region);

/* Scope of the hosts that a lookup returned.  */
enum marjoram_lookup_scope
{
  MARJORAM_SCOPE_ZONE,
  MARJORAM_SCOPE_REGION,
  MARJORAM_SCOPE_ALLOWED,
  MARJORAM_SCOPE_COUNT
};

/* Looks up entry addresses for a caller in ZONE of REGION: hosts of its zone,
   else of its region, else of the regions that ALLOWED accepts (NULL for all).
   SCOPE is set to the scope used.  The addresses are borrowed.  */
size_t marjoram_host_list_lookup (marjoram_host_list *list, int64_t now,
                                  const char *zone, const char *region,
                                  marjoram_region_allowed allowed,
                                  void *context,
                                  const char *addresses[MARJORAM_LOOKUP_MAX],
                                  enum marjoram_lookup_scope *scope);
/* The serving host of REGION that owns KEY by rendezvous hashing; NULL if
   there is none.  */
const char *marjoram_host_list_owner (marjoram_host_list *list, int64_t now,
                                      const char *region, const char *key);
/* Serving hosts of all regions whose heartbeats carry offers.  Valid until the
   next call with LIST.  */
struct marjoram_host_slice
{
  struct marjoram_listed_host **hosts;
  size_t count;
};
const struct marjoram_host_slice *
marjoram_host_list_offering (marjoram_host_list *list, int64_t now);
/* The same for all serving hosts of REGION.  */
const struct marjoram_host_slice *
marjoram_host_list_of_region (marjoram_host_list *list, int64_t now,
                              const char *region);
/* The same for all live hosts of REGION that are not leaving, ready or not. */
const struct marjoram_host_slice *
marjoram_host_list_live (marjoram_host_list *list, int64_t now,
                         const char *region);
/* Weight of HOST for KEY in rendezvous hashing.  */
uint64_t marjoram_listed_host_weight (const struct marjoram_listed_host *host,
                                      const char *key);
/* Capacity that HOST's region offers for SERVICE; NULL if none.  */
const struct marjoram_host_offer *
marjoram_listed_host_offer (const struct marjoram_listed_host *host,
                            const char *service);
/* Like marjoram_host_list_owner, with host OWN, which is not in the list, as a
   further candidate.  */
const char *marjoram_host_list_owner_with (marjoram_host_list *list,
                                           int64_t now, const char *region,
                                           const char *key, const char *own);
/* Number of serving hosts of REGION that precede OWN, which need not be in the
   list, for KEY by rendezvous hashing.  */
size_t marjoram_host_list_rank (marjoram_host_list *list, int64_t now,
                                const char *region, const char *key,
                                const char *own);
/* The ready keeper of ZONE that owns KEY by rendezvous hashing, with keeper
   OWN as a further candidate unless it is NULL; NULL if there is none.  */
const char *marjoram_host_list_keeper (marjoram_host_list *list, int64_t now,
                                       const char *zone, const char *key,
                                       const char *own);
/* The last time at which hosts of ZONE were known, entry hosts and keepers,
   and all were dead, as when the zone has lost power or is cut off; INT64_MIN
   if never.  */
int64_t marjoram_host_list_zone_dark_at (marjoram_host_list *list, int64_t now,
                                         const char *zone);
/* Number of serving entry hosts of REGION.  */
size_t marjoram_host_list_serving_count (marjoram_host_list *list, int64_t now,
                                         const char *region);
/* The same with host OWN, whether it is in the list or not.  */
size_t marjoram_host_list_serving_count_with (marjoram_host_list *list,
                                              int64_t now, const char *region,
                                              const char *own);
/* Number of serving hosts of REGION that offer anything, that is, whose
   connections to upstreams work, and host OWN.  */
size_t marjoram_host_list_sharing_count_with (marjoram_host_list *list,
                                              int64_t now, const char *region,
                                              const char *own);
/* Number of known entry hosts, alive or not.  A host is usually not in its own
   list.  */
size_t marjoram_host_list_entry_count (marjoram_host_list *list);
/* Hosts that have died, or are alive again.  */
struct marjoram_host_events
{
  struct marjoram_lost_hosts lost;
  struct marjoram_lost_hosts watched; /* those of them that this keeper watches
                                         for the others */
  struct marjoram_host_beats found;
};

/* Whether HOST sends this keeper heartbeats often enough for it to tell others
   of the host's death.  */
bool marjoram_listed_host_is_watched (const struct marjoram_listed_host *host);
/* Lists the changes since the last call among the hosts of REGION whose
   heartbeats arrive directly.  The caller frees the items of all three, which
   borrow their strings.  */
void marjoram_host_list_take_events (marjoram_host_list *list, int64_t now,
                                     const char *region,
                                     struct marjoram_host_events *events);
/* Drops hosts that have been silent for long.  */
void marjoram_host_list_tick (marjoram_host_list *list, int64_t now);

#endif
