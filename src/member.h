/* Membership of one availability zone: its entry hosts, tracked by heartbeats,
   and its upstreams, which announce themselves to any host of the zone and are
   propagated to the others.  Performs no I/O.  */
#ifndef MARJORAM_MEMBER_H
#define MARJORAM_MEMBER_H

#include "wire.h"

#include <stdbool.h>

typedef struct marjoram_members marjoram_members;

enum
{
  MARJORAM_UPSTREAM_WORKS_MAX = 32,
  MARJORAM_MEMBER_SLOTS_MAX = 64,
  MARJORAM_LEASE_MIN_MS = 1000,
  MARJORAM_LEASE_MAX_MS = 60000,
  /* A host is considered down if no heartbeat arrives for this long.  */
  MARJORAM_HOST_TIMEOUT_MS = 2000
};

/* Self-description of an upstream, also exchanged between hosts.  */
struct marjoram_announcement
{
  char *name;
  uint64_t incarnation; /* set by the upstream; grows with each start */
  uint64_t sequence;    /* of announcements within the incarnation */
  char *zone;
  char *address; /* IP:port */
  bool engine;   /* a model engine rather than a plain service */
  bool fences;   /* rejects orders with a stale fencing token */
  bool leaving;
  uint64_t slots; /* maximum concurrent requests */
  uint64_t lease_ms;
  uint64_t running; /* last reported load */
  uint64_t waiting;
  struct marjoram_array works;    /* of struct marjoram_work_name */
  uint64_t heard_by;              /* ordinal of the host that received it */
  struct marjoram_array loadable; /* of struct marjoram_work_name: models that
                                     it can load on order */
};

struct marjoram_work_name
{
  char *name;
};

extern const struct marjoram_layout marjoram_announcement_layout;

enum marjoram_announce_result
{
  MARJORAM_ANNOUNCE_NEW,     /* propagate at once */
  MARJORAM_ANNOUNCE_RENEWED, /* propagate with the next batch */
  MARJORAM_ANNOUNCE_STALE,   /* older incarnation or sequence */
  MARJORAM_ANNOUNCE_WRONG_ZONE
};

/* An upstream as known to this host.  The pointer is valid while
   marjoram_members_generation is unchanged.  */
struct marjoram_upstream
{
  const struct marjoram_announcement *announcement;
  int64_t expires;    /* end of the lease by this host's clock */
  int64_t lease_end;  /* the same without the time added after a stall */
  int64_t since;      /* time of its first announcement, or of its return */
  int64_t reported;   /* time of the last load report */
  unsigned in_flight; /* requests of this host there */
  unsigned started;   /* of this host since the last report */
  unsigned finished;  /* of this host since the last report */
  unsigned failures;  /* consecutive */
  unsigned ejections; /* since it last restarted or returned */
  int64_t ejected_until;
  bool dead;         /* detected as dead, and no announcement since */
  int64_t waited_ms; /* how long a request of this host last waited there in
                        vain, until its deadline; 0 if none */
  int64_t waited_at; /* end of that wait */
};

marjoram_members *marjoram_members_create (const char *zone, int self);
void marjoram_members_destroy (marjoram_members *members);
/* Sets the ordinal of this host once the configuration assigns it; -1
   before.  */
void marjoram_members_set_self (marjoram_members *members, int self);
int marjoram_members_self (const marjoram_members *members);
const char *marjoram_members_zone (const marjoram_members *members);

/* Processes an announcement received from the upstream itself or, if
   FROM_PEER, from another host of the zone.  The lease starts at NOW by this
   host's clock.  */
enum marjoram_announce_result
marjoram_members_announce (marjoram_members *members, int64_t now,
                           const struct marjoram_announcement *announcement,
                           bool from_peer);
/* Returns null only if the upstream is unknown.  */
const struct marjoram_upstream *
marjoram_members_get (const marjoram_members *members, const char *name);
/* Returns null if the upstream is unknown, leaving, expired or dead.  */
const struct marjoram_upstream *
marjoram_members_find (const marjoram_members *members, int64_t now,
                       const char *name);
/* Fills OUT with the announcement to relay to another host of the zone.  OUT
   borrows the strings and holds only the remaining lease, so that relaying
   cannot extend it.  Returns false if the upstream at INDEX has expired or is
   dead, and is not leaving.  */
bool marjoram_members_relay (const marjoram_members *members, int64_t now,
                             size_t index, struct marjoram_announcement *out);
/* Whether UPSTREAM may receive new requests.  */
bool marjoram_upstream_usable (const struct marjoram_upstream *upstream,
                               int64_t now);
/* Changes whenever an index of marjoram_members_at or a list of works changes;
   used to invalidate derived indexes.  */
uint64_t marjoram_members_generation (const marjoram_members *members);
/* Number of known upstreams, including leaving and expired ones.  */
size_t marjoram_members_count (const marjoram_members *members);
const struct marjoram_upstream *
marjoram_members_at (const marjoram_members *members, size_t index);
void marjoram_members_request_started (marjoram_members *members,
                                       const char *name);
/* A request waited at the upstream for WAITED_MS until its deadline without
   being answered.  */
void marjoram_members_request_waited (marjoram_members *members, int64_t now,
                                      const char *name, int64_t waited_ms);
/* How long a request must be expected to wait for a slot at a full UPSTREAM
   after others have waited in vain, in ms; 0 if none has lately.  */
int64_t
marjoram_upstream_least_wait_ms (const struct marjoram_upstream *upstream,
                                 int64_t now);
void marjoram_members_request_ended (marjoram_members *members, int64_t now,
                                     const char *name, bool failed);
/* Ejects the upstream for a time that doubles with each ejection.  Returns
   false, with no effect, if too many upstreams that share a work are already
   ejected or dead: a fault that all replicas show is unlikely to be their
   own.  */
bool marjoram_members_eject (marjoram_members *members, int64_t now,
                             const char *name);
/* Marks the upstream as dead until a newer incarnation or a later sequence is
   announced.  */
void marjoram_members_mark_dead (marjoram_members *members, int64_t now,
                                 const char *name);
/* This host stood still from BEFORE to NOW: leases that ended meanwhile go on
   for a moment, at most twice as long as granted, in which renewals that
   arrived are read.  */
void marjoram_members_stalled (marjoram_members *members, int64_t before,
                               int64_t now);
typedef void
marjoram_members_expired (void *context, int64_t now,
                          const struct marjoram_upstream *upstream);
/* Removes long-expired upstreams, and calls EXPIRED, which may be null, for
   each upstream whose lease has just ended.  */
void marjoram_members_tick (marjoram_members *members, int64_t now,
                            marjoram_members_expired *expired, void *context);

/* Number of live entry hosts that are not draining, including this one.  */
int marjoram_members_count_hosts (const marjoram_members *members,
                                  int64_t now);
void marjoram_members_record_heartbeat (marjoram_members *members, int64_t now,
                                        int ordinal, uint64_t incarnation,
                                        bool draining);
bool marjoram_members_host_alive (const marjoram_members *members, int64_t now,
                                  int ordinal);
bool marjoram_members_host_draining (const marjoram_members *members,
                                     int ordinal);

#endif
