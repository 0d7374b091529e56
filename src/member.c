#include "member.h"

#include "cleanup.h"
#include "state.h"

#include <string.h>
#include <uthash.h>

enum
{
  ADDRESS_MAX = 64,
  /* An expired upstream is remembered this long, so that an old announcement
     that still travels between hosts is known as stale.  */
  FORGET_MS = 10 * 60 * 1000,
  EJECT_FAILURES = 3,
  EJECT_MS = 2000,
  EJECT_DOUBLINGS = 5,
  /* At most one in so many of the upstreams of a work is out at a time.  */
  EJECT_PART = 3
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
  bool told_expired;
  UT_hash_handle hh;
};

struct host
{
  bool heard;
  bool draining;
  uint64_t incarnation;
  int64_t last;
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
drop (marjoram_members *members, size_t index)
{
  struct member *member = members->list[index];

  /* uthash's macro misleads the analyzer.  */
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
    drop (members, members->count - 1);
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
lookup (const marjoram_members *members, const char *name)
{
  struct member *member;

  /* Names come from other hosts, too.  */
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
add (marjoram_members *members, int64_t now,
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
      /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers.  */
      size = members->capacity * sizeof *members->list;
      members->list = realloc (members->list, size);
      if (!members->list)
        abort ();
    }
  members->list[members->count++] = member;
  members->generation++;
  return member;
}

/* Stops two things.  An announcement that was delayed between hosts would
   bring back an upstream that has left or restarted since: incarnation and
   sequence tell the order.  And a renewal that overtook the leave, or comes
   from an upstream that does not know that it leaves, would give it new work:
   a leave holds for its whole incarnation, in whichever order it comes.  */
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
lease_of (const struct marjoram_announcement *announcement, bool learnt)
{
  uint64_t lease = announcement->lease_ms;

  if (lease > MARJORAM_LEASE_MAX_MS)
    return MARJORAM_LEASE_MAX_MS;
  /* What another host passes on is the rest of a lease and stays as short as
     it is.  */
  if (!learnt && lease < MARJORAM_LEASE_MIN_MS)
    return MARJORAM_LEASE_MIN_MS;
  return (int64_t)lease;
}

static void
restart (struct member *member, int64_t now)
{
  member->view.since = now;
  member->view.failures = 0;
  member->view.ejections = 0;
  member->view.ejected_until = 0;
}

static void
replace (marjoram_members *members, int64_t now, struct member *member,
         const struct marjoram_announcement *announcement)
{
  struct marjoram_announcement old = member->announcement;

  if (!same_works (&old.works, &announcement->works))
    members->generation++;
  if (old.incarnation != announcement->incarnation
      || now >= member->view.expires || member->view.dead)
    restart (member, now);
  copy_announcement (&member->announcement, announcement);
  if (old.incarnation == announcement->incarnation
      && old.sequence > member->announcement.sequence)
    member->announcement.sequence = old.sequence;
  /* The hash refers to the name's bytes.  */
  free (member->announcement.name);
  member->announcement.name = old.name;
  old.name = NULL;
  marjoram_wire_clear (&marjoram_announcement_layout, &old);
}

enum marjoram_announce_result
marjoram_members_announce (marjoram_members *members, int64_t now,
                           const struct marjoram_announcement *announcement,
                           bool learnt)
{
  struct member *member;
  bool is_new;

  if (!announcement->name || !announcement->zone
      || strcmp (announcement->zone, members->zone) != 0)
    return MARJORAM_ANNOUNCE_WRONG_ZONE;
  member = lookup (members, announcement->name);
  if (member && is_stale (member, announcement))
    return MARJORAM_ANNOUNCE_STALE;
  is_new = !member
           || member->announcement.incarnation != announcement->incarnation
           || announcement->leaving;
  if (member)
    replace (members, now, member, announcement);
  else
    member = add (members, now, announcement);
  member->view.expires = now + lease_of (announcement, learnt);
  member->view.reported = now;
  member->view.started = 0;
  member->view.finished = 0;
  member->view.dead = false;
  member->told_expired = false;
  return is_new ? MARJORAM_ANNOUNCE_NEW : MARJORAM_ANNOUNCE_RENEWED;
}

const struct marjoram_upstream *
marjoram_members_find (const marjoram_members *members, int64_t now,
                       const char *name)
{
  const struct member *member = lookup (members, name);

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
  int64_t rest = member->view.expires - now;

  if (!member->announcement.leaving && (rest <= 0 || member->view.dead))
    return false;
  *out = member->announcement;
  out->lease_ms = rest > 0 ? (uint64_t)rest : 0;
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
marjoram_members_started (marjoram_members *members, const char *name)
{
  struct member *member = lookup (members, name);

  if (!member)
    return;
  member->view.in_flight++;
  member->view.started++;
}

void
marjoram_members_ended (marjoram_members *members, int64_t now,
                        const char *name, bool failed)
{
  struct member *member = lookup (members, name);

  if (!member)
    return;
  if (member->view.in_flight > 0)
    member->view.in_flight--;
  member->view.finished++;
  if (!failed)
    {
      member->view.failures = 0;
      return;
    }
  member->view.failures++;
  if (member->view.failures >= EJECT_FAILURES
      && marjoram_members_eject (members, now, name))
    member->view.failures = 0;
}

static bool
share_work (const struct member *a, const struct member *b)
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
  struct member *member = lookup (members, name);
  unsigned doublings;
  size_t alive = 0;
  size_t out = 0;

  if (!member || now < member->view.ejected_until)
    return false;
  for (size_t i = 0; i < members->count; i++)
    {
      const struct member *other = members->list[i];

      if (other->announcement.leaving || now >= other->view.expires
          || !share_work (member, other))
        continue;
      alive++;
      if (other != member
          && (other->view.dead || now < other->view.ejected_until))
        out++;
    }
  /* Stops the ejection of nearly all when a fault hits every replica: the
     last ones would break down under the load of the others.  */
  if ((out + 1) * EJECT_PART > alive)
    return false;
  doublings = member->view.ejections < EJECT_DOUBLINGS ? member->view.ejections
                                                       : EJECT_DOUBLINGS;
  member->view.ejections++;
  member->view.ejected_until = now + ((int64_t)EJECT_MS << doublings);
  member->view.since = member->view.ejected_until;
  return true;
}

void
marjoram_members_died (marjoram_members *members, int64_t now,
                       const char *name)
{
  struct member *member = lookup (members, name);

  (void)now;
  if (member)
    member->view.dead = true;
}

void
marjoram_members_tick (marjoram_members *members, int64_t now,
                       void (*expired) (void *context, const char *name),
                       void *context)
{
  for (size_t i = members->count; i-- > 0;)
    {
      struct member *member = members->list[i];

      if (now < member->view.expires)
        continue;
      if (!member->told_expired)
        {
          member->told_expired = true;
          if (expired)
            expired (context, member->announcement.name);
        }
      if (now >= member->view.expires + FORGET_MS
          && member->view.in_flight == 0)
        drop (members, i);
    }
}

void
marjoram_members_heard (marjoram_members *members, int64_t now, int ordinal,
                        uint64_t incarnation, bool draining)
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
  host->last = now;
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
         && now < members->hosts[ordinal].last + MARJORAM_HOST_SILENT_MS;
}

bool
marjoram_members_host_draining (const marjoram_members *members, int ordinal)
{
  return ordinal >= 0 && ordinal < MARJORAM_MEMBER_SLOTS_MAX
         && members->hosts[ordinal].draining;
}

int
marjoram_members_hosts (const marjoram_members *members, int64_t now)
{
  int count = 0;

  for (int i = 0; i < MARJORAM_MEMBER_SLOTS_MAX; i++)
    if (marjoram_members_host_alive (members, now, i)
        && (i == members->self || !members->hosts[i].draining))
      count++;
  return count;
}
