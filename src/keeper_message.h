/* Messages between keepers, and the record that a keeper stores on disk.  */
#ifndef MARJORAM_KEEPER_MESSAGE_H
#define MARJORAM_KEEPER_MESSAGE_H

#include "keeper.h"
#include "register.h"

enum marjoram_keeper_kind
{
  MARJORAM_KEEPER_HEARTBEAT, /* sent once a second */
  MARJORAM_KEEPER_HEARTBEAT_REPLY,
  MARJORAM_KEEPER_PREPARE,   /* ballot */
  MARJORAM_KEEPER_PROMISE,   /* ballot, accepted ballot and value */
  MARJORAM_KEEPER_REJECT,    /* requested ballot; accepted: the promised one */
  MARJORAM_KEEPER_ACCEPT,    /* ballot, value */
  MARJORAM_KEEPER_ACCEPTED,  /* ballot; accepted: the promised one */
  MARJORAM_KEEPER_CHOSEN,    /* ballot whose value is chosen */
  MARJORAM_KEEPER_LEARN,     /* ballot and value that is chosen */
  MARJORAM_KEEPER_CONFIRM,   /* echo */
  MARJORAM_KEEPER_CONFIRMED, /* echo of the CONFIRM, held number */
  /* Ballot of an attempt that ended without a value.  Unknown to earlier
     releases, which ignore it.  */
  MARJORAM_KEEPER_ENDED
};

/* Encoding of a value in a message.  A peer that does not announce the
   encodings it can read is of an earlier release and gets the first one.  */
enum marjoram_keeper_encoding
{
  MARJORAM_KEEPER_PLAIN, /* the packed value */
  MARJORAM_KEEPER_COMPRESSED,
  MARJORAM_KEEPER_DELTA,    /* compressed against the value of BASE_HASH */
  MARJORAM_KEEPER_REFERENCE /* no bytes; equal to the value of BASE_HASH */
};

/* Each message carries the sender's store and incarnation, and what the sender
   last saw of the receiver's, so that a store restored from an older copy is
   detected.  */
struct marjoram_keeper_message
{
  uint64_t kind; /* enum marjoram_keeper_kind */
  char *store_id;
  uint64_t incarnation;
  uint64_t base;       /* durable writes at the start of this incarnation */
  uint64_t writes;     /* durable now */
  char *seen_store_id; /* last seen in the receiver's slot; may be null */
  uint64_t seen_incarnation;
  uint64_t seen_writes;
  uint64_t number; /* of the latest chosen state delivered by the sender */
  /* HEARTBEAT: the sender's clock in ms; CONFIRM: the number of its round; in
     a reply, that of the message replied to.  */
  int64_t echo;
  struct marjoram_ballot ballot;
  struct marjoram_ballot accepted;
  marjoram_bytes *value; /* marjoram_state_layout, in ENCODING */
  uint64_t encoding;     /* enum marjoram_keeper_encoding */
  struct marjoram_value_hash
      base_hash;         /* hash of the base; DELTA, REFERENCE */
  uint64_t max_encoding; /* the highest encoding that the sender can read */
  struct marjoram_value_hash
      accepted_hash; /* hash of its last accepted value */
  /* CONFIRMED: the highest number of a state that the sender has accepted or
     knows to be chosen.  */
  uint64_t held_number;
};

/* What was last seen of a store.  */
struct marjoram_keeper_seen
{
  char *store_id;
  uint64_t incarnation;
  uint64_t writes;
};

enum
{
  MARJORAM_KEEPER_SEEN_MAX = 32
};

struct marjoram_keeper_record
{
  uint64_t writes;
  bool rolled_back; /* restored from an older copy; may not vote */
  struct marjoram_ballot promised;
  struct marjoram_ballot accepted;
  marjoram_bytes *value;
  struct marjoram_ballot chosen_ballot;
  marjoram_bytes *chosen; /* null if there is none or it equals VALUE */
  bool value_is_chosen;
  struct marjoram_array seen; /* of struct marjoram_keeper_seen */
};

extern const struct marjoram_layout marjoram_keeper_record_layout;

#endif
