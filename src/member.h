/* Members of one availability zone: its entry hosts, as heard of by their
   heartbeats, and its upstreams, which announce themselves to any of its hosts
   and are spread to the others.  Pure decisions.  */
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
  /* A host whose heartbeats stop is taken as gone after this time.  */
  MARJORAM_HOST_SILENT_MS = 2000
};

/* What an upstream says of itself, and what hosts tell each other of it.  */
struct marjoram_announcement
{
  char *name;
  uint64_t incarnation; /* the upstream's own, growing with each start */
  uint64_t sequence;    /* of this incarnation's announcements */
  char *zone;
  char *address; /* IP:port */
  bool engine;   /* a model engine, else a plain service */
  bool fences;   /* refuses orders with an old fencing number */
  bool leaving;
  uint64_t slots; /* requests that it runs at once */
  uint64_t lease_ms;
  uint64_t running; /* reported load, lagging */
  uint64_t waiting;
  struct marjoram_array works; /* of struct marjoram_work_name */
  uint64_t heard_by;           /* ordinal of the host that it announced to */
  struct marjoram_array loadable; /* of struct marjoram_work_name: models that
                                     it could load on order */
};

struct marjoram_work_name
{
  char *name;
};

extern const struct marjoram_layout marjoram_announcement_layout;

enum marjoram_announce_result
{
  MARJORAM_ANNOUNCE_NEW,       /* spread it */
  MARJORAM_ANNOUNCE_RENEWED,   /* spread it with the next batch */
  MARJORAM_ANNOUNCE_STALE,     /* older incarnation or sequence */
  MARJORAM_ANNOUNCE_WRONG_ZONE /* not this host's zone */
};

/* An upstream as known here.  The pointer stays valid as long as
   marjoram_members_generation is the same.  */
struct marjoram_upstream
{
  const struct marjoram_announcement *announcement;
  int64_t expires;    /* lease end by this host's clock */
  int64_t since;      /* when it was first heard of */
  int64_t reported;   /* when its load was last reported */
  unsigned in_flight; /* requests of this host there */
  unsigned started;   /* of this host since the last report */
  unsigned finished;  /* of this host since the last report */
  unsigned failures;  /* in a row */
  unsigned ejections; /* since it last worked well */
  int64_t ejected_until;
  bool dead; /* found dead, and not heard of since */
};

marjoram_members *marjoram_members_create (const char *zone, int self);
void marjoram_members_destroy (marjoram_members *members);
/* Once the configuration tells this host's ordinal; -1 before.  */
void marjoram_members_set_self (marjoram_members *members, int self);
/* The ordinal, and the zone that it was created with.  */
int marjoram_members_self (const marjoram_members *members);
const char *marjoram_members_zone (const marjoram_members *members);

/* From the upstream itself or, if LEARNT, from another host of the zone.  The
   lease runs from NOW by this host's clock.  */
enum marjoram_announce_result
marjoram_members_announce (marjoram_members *members, int64_t now,
                           const struct marjoram_announcement *announcement,
                           bool learnt);
/* Known, but neither leaving, expired nor found dead; null if not.  */
const struct marjoram_upstream *
marjoram_members_find (const marjoram_members *members, int64_t now,
                       const char *name);
/* What to tell another host of the zone: OUT borrows the announcement's
   strings and carries only the rest of the lease, so that passing it on never
   prolongs it.  False if nothing is to be told of INDEX: expired, and not
   leaving.  */
bool marjoram_members_relay (const marjoram_members *members, int64_t now,
                             size_t index, struct marjoram_announcement *out);
/* Whether UPSTREAM may get new work.  */
bool marjoram_upstream_usable (const struct marjoram_upstream *upstream,
                               int64_t now);
/* Grows whenever an index of marjoram_members_at or a list of works changes;
   for those who keep an index of their own.  */
uint64_t marjoram_members_generation (const marjoram_members *members);
/* All known ones, leaving and expired ones too until they are dropped.  */
size_t marjoram_members_count (const marjoram_members *members);
const struct marjoram_upstream *
marjoram_members_at (const marjoram_members *members, size_t index);
/* A request starts or ends at an upstream.  */
void marjoram_members_started (marjoram_members *members, const char *name);
void marjoram_members_ended (marjoram_members *members, int64_t now,
                             const char *name, bool failed);
/* Takes the upstream out for a time that doubles with each repetition.  False,
   and nothing done, if too many of those that share a work are out already:
   a slow replica is better than none, and a fault that shows at all of them is
   not theirs.  */
bool marjoram_members_eject (marjoram_members *members, int64_t now,
                             const char *name);
/* The upstream was found dead: no new work until it announces itself with a
   newer incarnation or a later sequence.  */
void marjoram_members_died (marjoram_members *members, int64_t now,
                            const char *name);
/* Drops what is long expired.  EXPIRED is called for each upstream whose lease
   has just run out.  */
void marjoram_members_tick (marjoram_members *members, int64_t now,
                            void (*expired) (void *context, const char *name),
                            void *context);

/* Entry hosts of the zone, this one included, that are heard and not
   draining.  */
int marjoram_members_hosts (const marjoram_members *members, int64_t now);
/* Entry hosts of the zone: a heartbeat was heard.  */
void marjoram_members_heard (marjoram_members *members, int64_t now,
                             int ordinal, uint64_t incarnation, bool draining);
bool marjoram_members_host_alive (const marjoram_members *members, int64_t now,
                                  int ordinal);
bool marjoram_members_host_draining (const marjoram_members *members,
                                     int ordinal);

#endif
