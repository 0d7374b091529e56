/* What a keeper knows of the others' stores, and whether its own was restored
   from an older copy.  */
#ifndef MARJORAM_KEEPER_PEER_H
#define MARJORAM_KEEPER_PEER_H

#include "keeper_message.h"

#include <sys/queue.h>

struct marjoram_keeper_peer
{
  TAILQ_ENTRY (marjoram_keeper_peer) link;
  struct marjoram_keeper_seen seen;
  char *slot;         /* null until heard in this life of ours */
  int64_t heard_at;   /* time of the last message */
  int64_t echo;       /* our time of the last greeting that it answered */
  int64_t learned_at; /* time when it was last sent a state; INT64_MIN */
  uint64_t number;    /* the highest that it knows chosen */
  bool knows_us;      /* it has met this life of our store */
  uint64_t reads;     /* the last form of a value that it reads */
  struct marjoram_value_mark held; /* what it accepted last */
  int64_t large_at; /* when the last large message went; INT64_MIN */
  bool asked_large; /* greeted since, to learn that it has come */
  bool held_back;   /* a further one was not sent while it was on its way */
};

TAILQ_HEAD (marjoram_keeper_peers, marjoram_keeper_peer);

/* Takes in what MESSAGE from SLOT tells of its sender.  Null if the message
   must not count: it comes from an earlier life, or from a store that was
   restored from an older copy.  */
struct marjoram_keeper_peer *
marjoram_keeper_peers_hear (struct marjoram_keeper_peers *peers, int64_t now,
                            const char *slot,
                            const struct marjoram_keeper_message *message);
/* By store; null if it was never heard of.  */
struct marjoram_keeper_peer *
marjoram_keeper_peers_find (const struct marjoram_keeper_peers *peers,
                            const char *store_id);
/* The store last heard in SLOT since SINCE; null if none.  */
struct marjoram_keeper_peer *
marjoram_keeper_peers_slot (const struct marjoram_keeper_peers *peers,
                            const char *slot, int64_t since);
/* The store that last answered a greeting sent to SLOT at SINCE or later; null
   if none did.  */
struct marjoram_keeper_peer *
marjoram_keeper_peers_answered (const struct marjoram_keeper_peers *peers,
                                const char *slot, int64_t since);
/* Whether the last large message to PEER may still be on its way: no greeting
   that was sent after it, over the same connection or a later one, has been
   answered.  */
bool marjoram_keeper_peer_is_busy (const struct marjoram_keeper_peer *peer);
/* Puts the stores seen into RECORD, to be cleared with it, and takes them in
   again.  */
void marjoram_keeper_peers_save (const struct marjoram_keeper_peers *peers,
                                 struct marjoram_keeper_record *record);
void marjoram_keeper_peers_load (struct marjoram_keeper_peers *peers,
                                 const struct marjoram_keeper_record *record);
void marjoram_keeper_peers_clear (struct marjoram_keeper_peers *peers);

/* Whether a peer saw a life of our store, or writes to it, that the disk we
   started from knows nothing of.  */
bool marjoram_keeper_rolled_back (uint64_t incarnation, uint64_t base,
                                  uint64_t seen_incarnation,
                                  uint64_t seen_writes);

#endif
