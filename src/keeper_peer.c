#include "keeper_peer.h"

#include "cleanup.h"

#include <string.h>

struct marjoram_keeper_peer *
marjoram_keeper_peers_find (const struct marjoram_keeper_peers *peers,
                            const char *store_id)
{
  struct marjoram_keeper_peer *peer;

  TAILQ_FOREACH (peer, peers, link)
  if (strcmp (peer->seen.store_id, store_id) == 0)
    return peer;
  return NULL;
}

struct marjoram_keeper_peer *
marjoram_keeper_peers_latest_in_slot (
    const struct marjoram_keeper_peers *peers, const char *slot, int64_t since)
{
  struct marjoram_keeper_peer *peer, *last = NULL;

  TAILQ_FOREACH (peer, peers, link)
  if (peer->slot && strcmp (peer->slot, slot) == 0
      && peer->last_seen_at >= since
      && (!last || peer->last_seen_at > last->last_seen_at))
    last = peer;
  return last;
}

struct marjoram_keeper_peer *
marjoram_keeper_peers_latest_answered (
    const struct marjoram_keeper_peers *peers, const char *slot, int64_t since)
{
  struct marjoram_keeper_peer *peer, *last = NULL;

  TAILQ_FOREACH (peer, peers, link)
  if (peer->slot && strcmp (peer->slot, slot) == 0 && peer->echo >= since
      && (!last || peer->echo > last->echo))
    last = peer;
  return last;
}

static void
free_peer (struct marjoram_keeper_peer *peer)
{
  free (peer->seen.store_id);
  free (peer->slot);
  free (peer);
}

/* The list is ordered by time of last message, oldest first.  */
static void
evict_oldest (struct marjoram_keeper_peers *peers)
{
  struct marjoram_keeper_peer *oldest = TAILQ_FIRST (peers);
  struct marjoram_keeper_peer *peer;
  size_t count = 0;

  TAILQ_FOREACH (peer, peers, link)
  count++;
  if (count < MARJORAM_KEEPER_SEEN_MAX)
    return;
  TAILQ_REMOVE (peers, oldest, link);
  free_peer (oldest);
}

static struct marjoram_keeper_peer *
add_peer (struct marjoram_keeper_peers *peers, const char *store_id)
{
  struct marjoram_keeper_peer *peer;

  evict_oldest (peers);
  peer = marjoram_alloc (sizeof *peer);
  peer->seen.store_id = marjoram_strdup (store_id);
  peer->last_seen_at = INT64_MIN;
  peer->echo = INT64_MIN;
  peer->state_sent_at = INT64_MIN;
  peer->large_sent_at = INT64_MIN;
  TAILQ_INSERT_TAIL (peers, peer, link);
  return peer;
}

static bool
is_current (const struct marjoram_keeper_peer *peer,
            const struct marjoram_keeper_message *message)
{
  if (message->incarnation == peer->seen.incarnation)
    return true;
  return message->incarnation > peer->seen.incarnation
         && message->base >= peer->seen.writes;
}

static void
update_peer (struct marjoram_keeper_peer *peer, int64_t now, const char *slot,
             const struct marjoram_keeper_message *message)
{
  if (peer->seen.incarnation != message->incarnation)
    {
      peer->seen.incarnation = message->incarnation;
      peer->knows_incarnation = false;
      peer->echo = INT64_MIN;
      peer->state_sent_at = INT64_MIN;
      peer->large_sent_at = INT64_MIN;
      peer->large_dropped = false;
      peer->number = 0;
    }
  if (message->writes > peer->seen.writes)
    peer->seen.writes = message->writes;
  if (message->number > peer->number)
    peer->number = message->number;
  if (!peer->slot || strcmp (peer->slot, slot) != 0)
    {
      free (peer->slot);
      peer->slot = marjoram_strdup (slot);
    }
  peer->last_seen_at = now;
  peer->max_encoding = message->max_encoding;
  peer->accepted_hash = message->accepted_hash;
}

struct marjoram_keeper_peer *
marjoram_keeper_peers_update (struct marjoram_keeper_peers *peers, int64_t now,
                              const char *slot,
                              const struct marjoram_keeper_message *message)
{
  struct marjoram_keeper_peer *peer
      = marjoram_keeper_peers_find (peers, message->store_id);

  if (!peer)
    peer = add_peer (peers, message->store_id);
  if (!is_current (peer, message))
    return NULL;
  update_peer (peer, now, slot, message);
  TAILQ_REMOVE (peers, peer, link);
  TAILQ_INSERT_TAIL (peers, peer, link);
  return peer;
}

void
marjoram_keeper_peer_add_round_trip (struct marjoram_keeper_peer *peer,
                                     int64_t ms)
{
  peer->round_trips_ms[peer->round_trips % MARJORAM_KEEPER_ROUND_TRIPS] = ms;
  peer->round_trips++;
}

int64_t
marjoram_keeper_peer_round_trip_ms (const struct marjoram_keeper_peer *peer)
{
  int64_t shortest = peer->round_trips > 0 ? peer->round_trips_ms[0] : 0;

  for (size_t i = 1; i < peer->round_trips && i < MARJORAM_KEEPER_ROUND_TRIPS;
       i++)
    if (peer->round_trips_ms[i] < shortest)
      shortest = peer->round_trips_ms[i];
  return shortest;
}

bool
marjoram_keeper_peer_is_busy (const struct marjoram_keeper_peer *peer)
{
  return peer->large_sent_at != INT64_MIN && peer->echo <= peer->large_sent_at;
}

void
marjoram_keeper_peers_save (const struct marjoram_keeper_peers *peers,
                            struct marjoram_keeper_record *record)
{
  struct marjoram_keeper_seen *items
      = marjoram_alloc (MARJORAM_KEEPER_SEEN_MAX * sizeof *items);
  struct marjoram_keeper_peer *peer;

  record->seen = (struct marjoram_array){ items, 0 };
  TAILQ_FOREACH (peer, peers, link)
  {
    items[record->seen.count] = peer->seen;
    items[record->seen.count++].store_id
        = marjoram_strdup (peer->seen.store_id);
  }
}

void
marjoram_keeper_peers_load (struct marjoram_keeper_peers *peers,
                            const struct marjoram_keeper_record *record)
{
  const struct marjoram_keeper_seen *items = record->seen.items;

  for (size_t i = 0; i < record->seen.count; i++)
    if (items[i].store_id)
      {
        struct marjoram_keeper_peer *peer
            = add_peer (peers, items[i].store_id);

        peer->seen.incarnation = items[i].incarnation;
        peer->seen.writes = items[i].writes;
      }
}

void
marjoram_keeper_peers_clear (struct marjoram_keeper_peers *peers)
{
  struct marjoram_keeper_peer *peer = TAILQ_FIRST (peers);

  while (peer)
    {
      struct marjoram_keeper_peer *next = TAILQ_NEXT (peer, link);

      free_peer (peer);
      peer = next;
    }
  TAILQ_INIT (peers);
}

bool
marjoram_keeper_rolled_back (uint64_t incarnation, uint64_t base,
                             uint64_t seen_incarnation, uint64_t seen_writes)
{
  if (seen_incarnation == 0 || seen_incarnation == incarnation)
    return false;
  return seen_incarnation > incarnation || seen_writes > base;
}
