/* What a keeper knows about the stores of its peers, and detection of a store
   that was restored from an older copy.  */
#ifndef MARJORAM_KEEPER_PEER_H
#define MARJORAM_KEEPER_PEER_H

#include "keeper_message.h"

#include <sys/queue.h>

enum
{
  MARJORAM_KEEPER_ROUND_TRIPS = 8 /* how many are kept of each peer */
};

struct marjoram_keeper_peer
{
  TAILQ_ENTRY (marjoram_keeper_peer) link;
  struct marjoram_keeper_seen seen;
  char *slot; /* null until heard from since our start */
  int64_t last_seen_at;
  int64_t echo; /* when the last heartbeat that it answered was sent */
  /* Round trips of the last heartbeats that it answered.  */
  int64_t round_trips_ms[MARJORAM_KEEPER_ROUND_TRIPS];
  size_t round_trips;     /* how many were measured, ever */
  int64_t state_sent_at;  /* when a state was last sent to it, or INT64_MIN */
  uint64_t number;        /* of the latest chosen state that it delivered */
  bool knows_incarnation; /* it has seen this incarnation of our store */
  uint64_t max_encoding;  /* the highest value encoding that it can read */
  struct marjoram_value_hash
      accepted_hash;     /* hash of its last accepted value */
  int64_t large_sent_at; /* when a large message was last sent, or INT64_MIN */
  bool large_probed;     /* a heartbeat was sent since, to confirm receipt */
  bool large_dropped;    /* another was dropped while it was in flight */
};

TAILQ_HEAD (marjoram_keeper_peers, marjoram_keeper_peer);

/* Updates the sender's entry from MESSAGE.  Returns null if the message must
   be ignored: it is from an earlier incarnation, or from a store that was
   restored from an older copy.  */
struct marjoram_keeper_peer *
marjoram_keeper_peers_update (struct marjoram_keeper_peers *peers, int64_t now,
                              const char *slot,
                              const struct marjoram_keeper_message *message);
/* Finds a peer by store id; null if unknown.  */
struct marjoram_keeper_peer *
marjoram_keeper_peers_find (const struct marjoram_keeper_peers *peers,
                            const char *store_id);
/* The peer most recently heard from in SLOT, at SINCE or later; null if
   none.  */
struct marjoram_keeper_peer *marjoram_keeper_peers_latest_in_slot (
    const struct marjoram_keeper_peers *peers, const char *slot,
    int64_t since);
/* The peer in SLOT that most recently answered a heartbeat sent at SINCE or
   later; null if none.  */
struct marjoram_keeper_peer *marjoram_keeper_peers_latest_answered (
    const struct marjoram_keeper_peers *peers, const char *slot,
    int64_t since);
/* Records that PEER answered a heartbeat MS after it was sent.  */
void marjoram_keeper_peer_add_round_trip (struct marjoram_keeper_peer *peer,
                                          int64_t ms);
/* The shortest of the latest round trips to PEER, in ms: lost packets and
   stalls only lengthen them.  0 before the first one.  */
int64_t
marjoram_keeper_peer_round_trip_ms (const struct marjoram_keeper_peer *peer);
/* Whether the last large message to PEER may still be in flight: no heartbeat
   sent after it has been answered.  */
bool marjoram_keeper_peer_is_busy (const struct marjoram_keeper_peer *peer);
/* Copies the stores seen to RECORD, which owns the copies.  */
void marjoram_keeper_peers_save (const struct marjoram_keeper_peers *peers,
                                 struct marjoram_keeper_record *record);
void marjoram_keeper_peers_load (struct marjoram_keeper_peers *peers,
                                 const struct marjoram_keeper_record *record);
void marjoram_keeper_peers_clear (struct marjoram_keeper_peers *peers);

/* Whether a peer saw an incarnation of our store, or writes to it, that are
   missing on the disk we started from.  */
bool marjoram_keeper_rolled_back (uint64_t incarnation, uint64_t base,
                                  uint64_t seen_incarnation,
                                  uint64_t seen_writes);

#endif
