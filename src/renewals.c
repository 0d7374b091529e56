#include "host_state.h"

#include "cleanup.h"

#include <string.h>

enum
{
  RENEWAL_INTERVAL_MAX_MS = 1000,
  /* Batches that the other hosts get within the shortest lease in them.  They
     hold a lease no longer than this host does, so an interval of a whole
     lease would let it end there between two batches.  */
  BATCHES_PER_LEASE = 4,
  /* Every 16th announcement is broadcast in full, for hosts that have dropped
     the upstream.  */
  FULL_ANNOUNCEMENT_EVERY = 16
};

/* An upstream whose lease was renewed since the last batch.  */
struct marjoram_renewed
{
  char *name;
  UT_hash_handle hh;
};

/* Brings the next batch forward for an upstream with a short lease.  */
static void
set_batch_due (marjoram_host *host, const struct marjoram_upstream *upstream)
{
  int64_t interval_ms
      = (upstream->expires - upstream->reported) / BATCHES_PER_LEASE;
  int64_t due;

  if (interval_ms > RENEWAL_INTERVAL_MAX_MS)
    interval_ms = RENEWAL_INTERVAL_MAX_MS;
  due = host->renewals_sent + interval_ms;
  if (!host->renewed || due < host->renewals_due)
    host->renewals_due = due;
}

void
marjoram_renewals_add (marjoram_host *host, int64_t now, const char *name)
{
  const struct marjoram_upstream *upstream
      = marjoram_members_find (host->members, now, name);
  struct marjoram_renewed *renewed;

  if (!upstream)
    return;
  set_batch_due (host, upstream);
  HASH_FIND_STR (host->renewed, name, renewed);
  if (renewed)
    return;
  renewed = marjoram_alloc (sizeof *renewed);
  renewed->name = marjoram_strdup (name);
  HASH_ADD_KEYPTR (hh, host->renewed, renewed->name, strlen (renewed->name),
                   renewed);
}

void
marjoram_renewals_destroy (marjoram_host *host)
{
  struct marjoram_renewed *renewed;
  struct marjoram_renewed *next;

  HASH_ITER (hh, host->renewed, renewed, next)
  {
    /* False positive in uthash.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DEL (host->renewed, renewed);
    free (renewed->name);
    free (renewed);
  }
}

static bool
fill_renewal (const marjoram_host *host, int64_t now, const char *name,
              struct marjoram_renewal *renewal)
{
  const struct marjoram_upstream *upstream
      = marjoram_members_find (host->members, now, name);

  if (!upstream)
    return false;
  renewal->name = upstream->announcement->name;
  renewal->incarnation = upstream->announcement->incarnation;
  renewal->sequence = upstream->announcement->sequence;
  renewal->lease_ms = (uint64_t)(upstream->expires - now);
  renewal->running = upstream->announcement->running;
  renewal->waiting = upstream->announcement->waiting;
  return true;
}

/* Sends the pending renewals to every host of the zone in one batch, which
   costs far less than one full announcement for each.  */
void
marjoram_renewals_tick (marjoram_host *host, int64_t now)
{
  struct marjoram_renewal items[MARJORAM_RENEWALS_MAX];
  struct marjoram_renewals renewals = { { items, 0 } };
  struct marjoram_renewed *renewed;
  struct marjoram_renewed *next;

  if (!host->renewed || now < host->renewals_due)
    return;
  host->renewals_sent = now;
  HASH_ITER (hh, host->renewed, renewed, next)
  {
    if (renewals.items.count < MARJORAM_RENEWALS_MAX
        && fill_renewal (host, now, renewed->name,
                         &items[renewals.items.count]))
      renewals.items.count++;
  }
  marjoram_host_send_zone (host, MARJORAM_FRAME_RENEWALS, &renewals);
  marjoram_renewals_destroy (host);
}

/* Includes upstreams marked dead here: a renewal shows that they are alive.
 */
static const struct marjoram_upstream *
find_known (const marjoram_host *host, const char *name)
{
  for (size_t i = 0; i < marjoram_members_count (host->members); i++)
    {
      const struct marjoram_upstream *upstream
          = marjoram_members_at (host->members, i);

      if (strcmp (upstream->announcement->name, name) == 0)
        return upstream;
    }
  return NULL;
}

static void
apply_one (marjoram_host *host, int64_t now,
           const struct marjoram_renewal *renewal)
{
  const struct marjoram_upstream *upstream
      = renewal->name ? find_known (host, renewal->name) : NULL;
  struct marjoram_announcement announcement;

  if (!upstream || upstream->announcement->leaving
      || upstream->announcement->incarnation != renewal->incarnation)
    return;
  announcement = *upstream->announcement;
  announcement.sequence = renewal->sequence;
  announcement.lease_ms = renewal->lease_ms;
  announcement.running = renewal->running;
  announcement.waiting = renewal->waiting;
  marjoram_members_announce (host->members, now, &announcement, true);
}

void
marjoram_renewals_apply (marjoram_host *host, int64_t now,
                         const struct marjoram_renewals *renewals)
{
  const struct marjoram_renewal *items = renewals->items.items;

  for (size_t i = 0; i < renewals->items.count; i++)
    apply_one (host, now, &items[i]);
}

static bool
same_names (const struct marjoram_array *a, const struct marjoram_array *b)
{
  const struct marjoram_work_name *x = a->items;
  const struct marjoram_work_name *y = b->items;

  if (a->count != b->count)
    return false;
  for (size_t i = 0; i < a->count; i++)
    if (strcmp (x[i].name, y[i].name) != 0)
      return false;
  return true;
}

bool
marjoram_renewals_need_announcement (
    const marjoram_host *host, int64_t now,
    const struct marjoram_announcement *announcement)
{
  const struct marjoram_upstream *upstream
      = marjoram_members_find (host->members, now, announcement->name);
  const struct marjoram_announcement *known;

  if (!upstream || announcement->leaving
      || announcement->sequence % FULL_ANNOUNCEMENT_EVERY == 0)
    return true;
  known = upstream->announcement;
  return known->incarnation != announcement->incarnation
         || known->slots != announcement->slots
         || strcmp (known->address, announcement->address) != 0
         || !same_names (&known->works, &announcement->works)
         || !same_names (&known->loadable, &announcement->loadable);
}
