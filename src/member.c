#include "member.h"

#include "cleanup.h"
#include "state.h"

#include <string.h>
#include <uthash.h>

enum
{
  ADDRESS_MAX = 64,
  /* Retention of expired upstreams, so that delayed announcements are
     recognized as stale.  */
  EXPIRED_RETENTION_MS = 10 * 60 * 1000,
  /* Time for an upstream that stood still as well to renew its lease, and for
     the host that it announces itself to to pass that on.  */
  STALL_GRACE_MS = 500,
  /* How long a request that waited in vain keeps others from waiting as
     long: after this one is tried again.  */
  WAITED_VALID_MS = 2000,
  EJECT_FAILURES = 3,
  EJECT_MS = 2000,
  EJECT_DOUBLINGS = 5,
  /* Inverse of the maximum fraction of a work's upstreams that may be
     ejected.  */
  EJECT_MAX_INVERSE = 3
};

static const struct marjoram_field work_name_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_work_name, name,
                          MARJORAM_NAME_MAX) },
};
static const struct marjoram_layout work_name_layout
    = { "work_name", sizeof (struct marjoram_work_name), work_name_fields, 1 };

static const struct marjoram_field announcement_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_announcement, name,
                          MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_announcement, incarnation) },
  { MARJORAM_WIRE_UINT (struct marjoram_announcement, sequence) },
  { MARJORAM_WIRE_STRING (struct marjoram_announcement, zone,
                          MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_announcement, address,
                          ADDRESS_MAX) },
  { MARJORAM_WIRE_BOOL (struct marjoram_announcement, engine) },
  { MARJORAM_WIRE_BOOL (struct marjoram_announcement, fences) },
  { MARJORAM_WIRE_BOOL (struct marjoram_announcement, leaving) },
  { MARJORAM_WIRE_UINT (struct marjoram_announcement, slots) },
  { MARJORAM_WIRE_UINT (struct marjoram_announcement, lease_ms) },
  { MARJORAM_WIRE_UINT (struct marjoram_announcement, running) },
  { MARJORAM_WIRE_UINT (struct marjoram_announcement, waiting) },
  { MARJORAM_WIRE_ARRAY (struct marjoram_announcement, works,
                         MARJORAM_UPSTREAM_WORKS_MAX, &work_name_layout) },
  { MARJORAM_WIRE_UINT (struct marjoram_announcement, heard_by) },
  { MARJORAM_WIRE_ARRAY (struct marjoram_announcement, loadable,
                         MARJORAM_UPSTREAM_WORKS_MAX, &work_name_layout) },
};
const struct marjoram_layout marjoram_announcement_layout
    = { "announcement", sizeof (struct marjoram_announcement),
        announcement_fields,
        sizeof announcement_fields / sizeof *announcement_fields };

struct member
{
  struct marjoram_upstream view;
  struct marjoram_announcement announcement;
  bool expiry_reported;
  UT_hash_handle hh;
};

struct host
{
  bool heard;
  bool draining;
  uint64_t incarnation;
  int64_t last_heartbeat;
};

struct marjoram_members
{
  char *zone;
  int self;
  struct member *by_name;
  struct member **list;
  size_t count;
  size_t capacity;
  uint64_t generation;
  struct host hosts[MARJORAM_MEMBER_SLOTS_MAX];
};

marjoram_members *
marjoram_members_create (const char *zone, int self)
{
  marjoram_members *members = marjoram_alloc (sizeof *members);

  members->zone = marjoram_strdup (zone);
  members->self = self;
  members->generation = 1;
  return members;
}

static void
remove_member (marjoram_members *members, size_t index)
{
  struct member *member = members->list[index];

  /* The uthash macro confuses the analyzer.  */
  HASH_DEL (members->by_name, member); /* NOLINT(clang-analyzer-core.*) */
  members->list[index] = members->list[--members->count];
  members->generation++;
  marjoram_wire_clear (&marjoram_announcement_layout, &member->announcement);
  free (member);
}

void
marjoram_members_destroy (marjoram_members *members)
{
  if (!members)
    return;
  while (members->count > 0)
    remove_member (members, members->count - 1);
  free (members->list);
  free (members->zone);
  free (members);
}

void
marjoram_members_set_self (marjoram_members *members, int self)
{
  members->self = self;
}

int
marjoram_members_self (const marjoram_members *members)
{
  return members->self;
}

const char *
marjoram_members_zone (const marjoram_members *members)
{
  return members->zone;
}

static struct member *
find_member (const marjoram_members *members, const char *name)
{
  struct member *member;

  /* Names received from other hosts may be missing.  */
  if (!name)
    return NULL;
  HASH_FIND_STR (members->by_name, name, member);
  return member;
}

static void
copy_names (struct marjoram_array *to, const struct marjoram_array *from)
{
  const struct marjoram_work_name *names = from->items;
  struct marjoram_work_name *copies
      = marjoram_alloc ((from->count + 1) * sizeof *copies);

  for (size_t i = 0; i < from->count; i++)
    copies[i].name = names[i].name ? marjoram_strdup (names[i].name) : NULL;
  to->items = copies;
  to->count = from->count;
}

static void
copy_announcement (struct marjoram_announcement *to,
                   const struct marjoram_announcement *from)
{
  *to = *from;
  to->name = marjoram_strdup (from->name);
  to->zone = marjoram_strdup (from->zone);
  to->address = from->address ? marjoram_strdup (from->address) : NULL;
  copy_names (&to->works, &from->works);
  copy_names (&to->loadable, &from->loadable);
}

static bool
same_works (const struct marjoram_array *a, const struct marjoram_array *b)
{
  const struct marjoram_work_name *x = a->items;
  const struct marjoram_work_name *y = b->items;

  if (a->count != b->count)
    return false;
  for (size_t i = 0; i < a->count; i++)
    if (!x[i].name || !y[i].name || strcmp (x[i].name, y[i].name) != 0)
      return false;
  return true;
}

static struct member *
add_member (marjoram_members *members, int64_t now,
            const struct marjoram_announcement *announcement)
{
  struct member *member = marjoram_alloc (sizeof *member);
  size_t size;

  copy_announcement (&member->announcement, announcement);
  member->view.announcement = &member->announcement;
  member->view.since = now;
  HASH_ADD_KEYPTR (hh, members->by_name, member->announcement.name,
                   strlen (member->announcement.name), member);
  if (members->count == members->capacity)
    {
      members->capacity = members->capacity ? 2 * members->capacity : 16;
      /* NOLINTNEXTLINE(bugprone-sizeof-expression): an array of pointers.  */
      size = members->capacity * sizeof *members->list;
      members->list = realloc (members->list, size);
      if (!members->list)
        abort ();
    }
  members->list[members->count++] = member;
  members->generation++;
  return member;
}

/* Incarnation and sequence keep a delayed announcement from bringing back an
   upstream that has left or restarted.  Leaving is final for an incarnation,
   so that a renewal that arrives out of order does not attract new
   requests.  */
static bool
is_stale (const struct member *member,
          const struct marjoram_announcement *announcement)
{
  const struct marjoram_announcement *known = &member->announcement;

  if (announcement->incarnation != known->incarnation)
    return announcement->incarnation < known->incarnation;
  if (announcement->leaving)
    return known->leaving;
  return known->leaving || announcement->sequence <= known->sequence;
}

static int64_t
lease_duration (const struct marjoram_announcement *announcement,
                bool from_peer)
{
  uint64_t lease = announcement->lease_ms;

  if (lease > MARJORAM_LEASE_MAX_MS)
    return MARJORAM_LEASE_MAX_MS;
  /* A relayed lease is the remainder of the original and must not be
     extended.  */
  if (!from_peer && lease < MARJORAM_LEASE_MIN_MS)
    return MARJORAM_LEASE_MIN_MS;
  return (int64_t)lease;
}

static void
reset_health (struct member *member, int64_t now)
{
  member->view.since = now;
  member->view.failures = 0;
  member->view.ejections = 0;
  member->view.ejected_until = 0;
}

static void
update_member (marjoram_members *members, int64_t now, struct member *member,
               const struct marjoram_announcement *announcement)
{
  struct marjoram_announcement old = member->announcement;

  if (!same_works (&old.works, &announcement->works))
    members->generation++;
  if (old.incarnation != announcement->incarnation
      || now >= member->view.expires || member->view.dead)
    reset_health (member, now);
  copy_announcement (&member->announcement, announcement);
  if (old.incarnation == announcement->incarnation
      && old.sequence > member->announcement.sequence)
    member->announcement.sequence = old.sequence;
  /* The hash table key points to the name.  */
  free (member->announcement.name);
  member->announcement.name = old.name;
  old.name = NULL;
  marjoram_wire_clear (&marjoram_announcement_layout, &old);
}

enum marjoram_announce_result
marjoram_members_announce (marjoram_members *members, int64_t now,
                           const struct marjoram_announcement *announcement,
                           bool from_peer)
{
  struct member *member;
  bool is_new;

  if (!announcement->name || !announcement->zone
      || strcmp (announcement->zone, members->zone) != 0)
    return MARJORAM_ANNOUNCE_WRONG_ZONE;
  member = find_member (members, announcement->name);
  if (member && is_stale (member, announcement))
    return MARJORAM_ANNOUNCE_STALE;
  is_new = !member
           || member->announcement.incarnation != announcement->incarnation
           || announcement->leaving;
  if (member)
    update_member (members, now, member, announcement);
  else
    member = add_member (members, now, announcement);
  member->view.expires = now + lease_duration (announcement, from_peer);
  member->view.lease_end = member->view.expires;
  member->view.reported = now;
  member->view.started = 0;
  member->view.finished = 0;
  member->view.dead = false;
  member->expiry_reported = false;
  return is_new ? MARJORAM_ANNOUNCE_NEW : MARJORAM_ANNOUNCE_RENEWED;
}

const struct marjoram_upstream *
marjoram_members_get (const marjoram_members *members, const char *name)
{
  const struct member *member = find_member (members, name);

  return member ? &member->view : NULL;
}

const struct marjoram_upstream *
marjoram_members_find (const marjoram_members *members, int64_t now,
                       const char *name)
{
  const struct member *member = find_member (members, name);

  if (!member || member->announcement.leaving || member->view.dead
      || now >= member->view.expires)
    return NULL;
  return &member->view;
}

bool
marjoram_members_relay (const marjoram_members *members, int64_t now,
                        size_t index, struct marjoram_announcement *out)
{
  const struct member *member = members->list[index];
  int64_t remaining = member->view.expires - now;

  if (!member->announcement.leaving && (remaining <= 0 || member->view.dead))
    return false;
  *out = member->announcement;
  out->lease_ms = remaining > 0 ? (uint64_t)remaining : 0;
  return true;
}

bool
marjoram_upstream_usable (const struct marjoram_upstream *upstream,
                          int64_t now)
{
  return !upstream->dead && !upstream->announcement->leaving
         && now < upstream->expires && now >= upstream->ejected_until;
}

uint64_t
marjoram_members_generation (const marjoram_members *members)
{
  return members->generation;
}

size_t
marjoram_members_count (const marjoram_members *members)
{
  return members->count;
}

const struct marjoram_upstream *
marjoram_members_at (const marjoram_members *members, size_t index)
{
  return &members->list[index]->view;
}

void
marjoram_members_request_started (marjoram_members *members, const char *name)
{
  struct member *member = find_member (members, name);

  if (!member)
    return;
  member->view.in_flight++;
  member->view.started++;
}

void
marjoram_members_request_waited (marjoram_members *members, int64_t now,
                                 const char *name, int64_t waited_ms)
{
  struct member *member = find_member (members, name);

  if (!member)
    return;
  member->view.waited_ms = waited_ms;
  member->view.waited_at = now;
}

int64_t
marjoram_upstream_least_wait_ms (const struct marjoram_upstream *upstream,
                                 int64_t now)
{
  return now < upstream->waited_at + WAITED_VALID_MS ? upstream->waited_ms : 0;
}

void
marjoram_members_request_ended (marjoram_members *members, int64_t now,
                                const char *name, bool failed)
{
  struct member *member = find_member (members, name);

  if (!member)
    return;
  if (member->view.in_flight > 0)
    member->view.in_flight--;
  member->view.finished++;
  if (!failed)
    {
      member->view.failures = 0;
      member->view.waited_ms = 0;
      return;
    }
  member->view.failures++;
  if (member->view.failures >= EJECT_FAILURES
      && marjoram_members_eject (members, now, name))
    member->view.failures = 0;
}

static bool
have_common_work (const struct member *a, const struct member *b)
{
  const struct marjoram_work_name *x = a->announcement.works.items;
  const struct marjoram_work_name *y = b->announcement.works.items;

  for (size_t i = 0; i < a->announcement.works.count; i++)
    for (size_t j = 0; j < b->announcement.works.count; j++)
      if (x[i].name && y[j].name && strcmp (x[i].name, y[j].name) == 0)
        return true;
  return false;
}

bool
marjoram_members_eject (marjoram_members *members, int64_t now,
                        const char *name)
{
  struct member *member = find_member (members, name);
  unsigned doublings;
  size_t alive = 0;
  size_t unavailable = 0;

  if (!member || now < member->view.ejected_until)
    return false;
  for (size_t i = 0; i < members->count; i++)
    {
      const struct member *other = members->list[i];

      if (other->announcement.leaving || now >= other->view.expires
          || !have_common_work (member, other))
        continue;
      alive++;
      if (other != member
          && (other->view.dead || now < other->view.ejected_until))
        unavailable++;
    }
  /* Keeps some replicas in service when a fault affects all of them: the
     remaining ones would be overloaded.  */
  if ((unavailable + 1) * EJECT_MAX_INVERSE > alive)
    return false;
  doublings = member->view.ejections < EJECT_DOUBLINGS ? member->view.ejections
                                                       : EJECT_DOUBLINGS;
  member->view.ejections++;
  member->view.ejected_until = now + ((int64_t)EJECT_MS << doublings);
  member->view.since = member->view.ejected_until;
  return true;
}

void
marjoram_members_mark_dead (marjoram_members *members, int64_t now,
                            const char *name)
{
  struct member *member = find_member (members, name);

  (void)now;
  if (member)
    member->view.dead = true;
}

void
marjoram_members_tick (marjoram_members *members, int64_t now,
                       marjoram_members_expired *expired, void *context)
{
  for (size_t i = members->count; i-- > 0;)
    {
      struct member *member = members->list[i];

      if (now < member->view.expires)
        continue;
      if (!member->expiry_reported)
        {
          member->expiry_reported = true;
          if (expired)
            expired (context, now, &member->view);
        }
      if (now >= member->view.expires + EXPIRED_RETENTION_MS
          && member->view.in_flight == 0)
        remove_member (members, i);
    }
}

static void
extend_lease (struct marjoram_upstream *upstream, int64_t now)
{
  int64_t granted_ms = upstream->lease_end - upstream->reported;
  int64_t end = now + STALL_GRACE_MS;

  if (end > upstream->lease_end + granted_ms)
    end = upstream->lease_end + granted_ms;
  if (end > upstream->expires)
    upstream->expires = end;
}

void
marjoram_members_stalled (marjoram_members *members, int64_t before,
                          int64_t now)
{
  for (size_t i = 0; i < members->count; i++)
    if (members->list[i]->view.expires > before)
      extend_lease (&members->list[i]->view, now);
}

void
marjoram_members_record_heartbeat (marjoram_members *members, int64_t now,
                                   int ordinal, uint64_t incarnation,
                                   bool draining)
{
  struct host *host;

  if (ordinal < 0 || ordinal >= MARJORAM_MEMBER_SLOTS_MAX)
    return;
  host = &members->hosts[ordinal];
  if (host->heard && incarnation < host->incarnation)
    return;
  host->heard = true;
  host->incarnation = incarnation;
  host->draining = draining;
  host->last_heartbeat = now;
}

bool
marjoram_members_host_alive (const marjoram_members *members, int64_t now,
                             int ordinal)
{
  if (ordinal < 0 || ordinal >= MARJORAM_MEMBER_SLOTS_MAX)
    return false;
  if (ordinal == members->self)
    return true;
  return members->hosts[ordinal].heard
         && now < members->hosts[ordinal].last_heartbeat
                      + MARJORAM_HOST_TIMEOUT_MS;
}

bool
marjoram_members_host_draining (const marjoram_members *members, int ordinal)
{
  return ordinal >= 0 && ordinal < MARJORAM_MEMBER_SLOTS_MAX
         && members->hosts[ordinal].draining;
}

int
marjoram_members_count_hosts (const marjoram_members *members, int64_t now)
{
  int count = 0;

  for (int i = 0; i < MARJORAM_MEMBER_SLOTS_MAX; i++)
    if (marjoram_members_host_alive (members, now, i)
        && (i == members->self || !members->hosts[i].draining))
      count++;
  return count;
}
