/* Internals of a keeper, shared by keeper.c (public calls), keeper_transport.c
   (messages), keeper_encoding.c (encoding of values), keeper_accept.c
   (acceptor, disk, learning), keeper_propose.c (proposer) and keeper_confirm.c
   (confirmation that a state is the newest).  */
#ifndef MARJORAM_KEEPER_PRIVATE_H
#define MARJORAM_KEEPER_PRIVATE_H

#include "keeper.h"
#include "keeper_message.h"
#include "keeper_peer.h"
#include "keeper_request.h"

enum
{
  MARJORAM_KEEPER_HEARTBEAT_MS = 1000,
  MARJORAM_KEEPER_CONFIRM_TIMEOUT_MS = 10000,
  /* A peer silent for longer is not relied on for bootstrapping, nor admitted
     as the new keeper of a replacement.  */
  MARJORAM_KEEPER_PEER_TIMEOUT_MS = 3500,
  MARJORAM_KEEPER_STATE_RESEND_MS = 2000,
  MARJORAM_KEEPER_RESEND_MS = 500,
  MARJORAM_KEEPER_ATTEMPT_TIMEOUT_MS = 10000,
  /* An attempt takes up to four writes, as the promise and the acceptance may
     each wait for a write in progress.  It is given twice that.  */
  MARJORAM_KEEPER_ATTEMPT_WRITES = 8,
  /* How many writes a keeper leaves to another's attempt after each message of
     it.  */
  MARJORAM_KEEPER_DEFER_WRITES = 3,
  /* A round of confirmation is repeated after this or, where an answer may
     take longer, after that, and a read that is not confirmed by then also
     starts an attempt.  */
  MARJORAM_KEEPER_CONFIRM_ROUND_MS = 400,
  MARJORAM_KEEPER_BACKOFF_MS = 30,
  MARJORAM_KEEPER_RECOVERY_DELAY_MS = 1000,
  MARJORAM_KEEPER_RECOVERY_JITTER_MS = 2000,
  MARJORAM_KEEPER_BATCH_MAX = 64,
  /* A full or failing disk may accept the next write.  */
  MARJORAM_KEEPER_WRITE_RETRY_MS = 500,
  MARJORAM_KEEPER_TARGETS_MAX = 64,
  /* Bytes; messages up to this size are neither held back nor compressed.  */
  MARJORAM_KEEPER_SMALL_MAX = 4096
};

/* A message waiting for a disk write, or to be processed by this keeper
   itself.  */
struct marjoram_keeper_envelope
{
  STAILQ_ENTRY (marjoram_keeper_envelope) link;
  uint64_t after; /* the write that must be durable first */
  char *slot;     /* of the other keeper */
  char *store_id; /* of the other keeper; null if unknown */
  uint64_t kind;
  int64_t echo;
  uint64_t held_number;
  struct marjoram_ballot ballot;
  struct marjoram_ballot accepted;
  marjoram_value *value;
};

STAILQ_HEAD (marjoram_keeper_envelopes, marjoram_keeper_envelope);

/* One round of confirmation.  */
struct marjoram_keeper_confirm
{
  bool active;
  uint64_t round; /* counts the rounds started */
  int64_t started_at;
  uint64_t number;             /* the highest in the answers */
  struct marjoram_array votes; /* keepers that have answered */
};

struct marjoram_keeper
{
  const struct marjoram_keeper_ops *ops;
  void *context;
  marjoram_random *random;
  char *slot;
  char *store_id;
  char **first;
  size_t first_count;
  uint64_t incarnation;
  int64_t now;
  int64_t ticked_at; /* last tick; 0 before any */

  struct marjoram_acceptor acceptor;
  marjoram_value *chosen; /* the latest value known to be chosen */
  struct marjoram_ballot chosen_ballot;
  marjoram_value
      *previous_chosen; /* chosen before CHOSEN; peers may still hold it */
  marjoram_value *delivered;   /* the one last delivered to the owner */
  marjoram_value *written;     /* the chosen one in the latest write */
  marjoram_bytes *empty_bytes; /* zero bytes, for MARJORAM_KEEPER_REFERENCE */
  uint64_t deliver_after;

  uint64_t base;     /* durable writes at the start of this incarnation */
  uint64_t sequence; /* of the latest change in memory */
  uint64_t durable;  /* of the latest durable change */
  bool writing;
  int64_t write_started_at;
  int64_t write_ms;  /* duration of the last write */
  bool write_failed; /* the last write failed: memory is ahead of the disk */
  int64_t write_retry_at;
  bool rolled_back;     /* the store was restored from an older copy */
  bool confirmed;       /* a majority has seen this incarnation */
  int64_t confirm_by;   /* when one peer is enough; 0 before the first event */
  bool bootstrapped;    /* a state beyond the initial one exists */
  bool answering;       /* the owner is in its callback for an answer */
  int64_t admission_ms; /* as in the options */
  int64_t first_learnt_at; /* 0 if this store started with a state */

  struct marjoram_keeper_peers peers;
  struct marjoram_keeper_requests requests;
  struct marjoram_keeper_envelopes
      pending_replies;                    /* waiting for a disk write */
  struct marjoram_keeper_envelopes inbox; /* from this keeper to itself */

  struct marjoram_keeper_confirm confirm;
  struct marjoram_attempt attempt;
  uint64_t round; /* the highest ballot round seen */
  int failures;
  int64_t started_at;
  int64_t resend_at;
  int64_t retry_at;
  /* First and last message of another keeper's attempt; 0 if none.  */
  int64_t rival_since;
  int64_t rival_at;
  struct marjoram_ballot rival; /* the highest ballot of such an attempt */
  int64_t deferred_since; /* this keeper's next attempt; 0 if it is not */
  int64_t deferred_ms;    /* before the current attempt */
  int64_t recover_at;     /* 0 if there is no unfinished work */
  int64_t heartbeat_at;
};

struct marjoram_keeper_envelope *marjoram_keeper_envelope_create (
    const char *slot, const char *store_id, uint64_t kind,
    const struct marjoram_ballot *ballot,
    const struct marjoram_ballot *accepted, marjoram_value *value);
void
marjoram_keeper_envelope_destroy (struct marjoram_keeper_envelope *envelope);
void
marjoram_keeper_envelopes_clear (struct marjoram_keeper_envelopes *envelopes);
/* Encodes VALUE into MESSAGE in the most compact form that PEER can read; PEER
   may be null.  MESSAGE borrows from VALUE.  */
void marjoram_keeper_encode_value (const marjoram_keeper *keeper,
                                   const struct marjoram_keeper_peer *peer,
                                   marjoram_value *value,
                                   struct marjoram_keeper_message *message);
/* Decodes the value in MESSAGE; null if that is not possible here.  */
marjoram_value *
marjoram_keeper_decode_value (const marjoram_keeper *keeper,
                              const struct marjoram_keeper_message *message);
/* Takes ownership of ENVELOPE.  */
void marjoram_keeper_send_envelope (marjoram_keeper *keeper,
                                    struct marjoram_keeper_envelope *envelope);
void
marjoram_keeper_send_when_durable (marjoram_keeper *keeper,
                                   struct marjoram_keeper_envelope *envelope);
/* Fills TARGETS with the slots of all possible keepers, including this one. */
size_t marjoram_keeper_targets (const marjoram_keeper *keeper,
                                const char **targets);
/* STORE_ID is the receiver's, null if unknown.  */
void marjoram_keeper_send_heartbeat (marjoram_keeper *keeper, const char *slot,
                                     const char *store_id);
void marjoram_keeper_broadcast_heartbeat (marjoram_keeper *keeper);
/* Sends a heartbeat to each peer that was sent a large message since its last
   one.  */
void marjoram_keeper_probe_busy_peers (marjoram_keeper *keeper);

/* The value that defines the current members; null before any.  */
marjoram_value *marjoram_keeper_current_value (const marjoram_keeper *keeper);
bool marjoram_keeper_may_vote (const marjoram_keeper *keeper);
void marjoram_keeper_check_confirmed (marjoram_keeper *keeper);
void marjoram_keeper_learn (marjoram_keeper *keeper,
                            const struct marjoram_ballot *ballot,
                            marjoram_value *value);
/* Delivers the chosen state to the owner if it changed.  */
void marjoram_keeper_deliver_chosen (marjoram_keeper *keeper);
/* The same for the chosen state in the write that has completed.  */
void marjoram_keeper_deliver_written (marjoram_keeper *keeper);
/* Starts the next write, if one is due.  */
void marjoram_keeper_flush (marjoram_keeper *keeper);
bool marjoram_keeper_load (marjoram_keeper *keeper,
                           const marjoram_bytes *packed,
                           struct marjoram_error *err);
/* Whether bootstrapping is allowed, as far as this keeper knows.  */
bool marjoram_keeper_may_bootstrap (const marjoram_keeper *keeper);
void marjoram_keeper_answer_decided (marjoram_keeper *keeper);

/* A majority has confirmed the chosen state: answers the reads that were
   received before the attempt started.  */
void marjoram_keeper_answer_attempt_reads (marjoram_keeper *keeper);
/* The same for the reads received before the round of confirmation ROUND
   started.  */
void marjoram_keeper_answer_confirmed_reads (marjoram_keeper *keeper,
                                             uint64_t round);
/* keeper_confirm.c: reads without a ballot.  */
void marjoram_keeper_start_read (marjoram_keeper *keeper,
                                 struct marjoram_keeper_request *request);
void marjoram_keeper_tick_reads (marjoram_keeper *keeper);
/* Notes that the first state that is known to be chosen was learnt.  */
void marjoram_keeper_first_learnt (marjoram_keeper *keeper);
/* keeper_defer.c: when an attempt is left to another keeper.  */
/* The duration to expect of a write, in ms.  */
int64_t marjoram_keeper_expected_write_ms (const marjoram_keeper *keeper);
/* The longest round trip to a keeper that was heard from lately, in ms.  */
int64_t marjoram_keeper_round_trip_ms (const marjoram_keeper *keeper);
/* The time for an answer, with a lost packet on its way, in ms.  */
int64_t marjoram_keeper_answer_ms (const marjoram_keeper *keeper);
/* A message of the keeper in SLOT, null if unknown, belongs to its attempt
   with BALLOT, or names that of a third keeper.  */
void marjoram_keeper_note_rival (marjoram_keeper *keeper, const char *slot,
                                 const struct marjoram_ballot *ballot);
/* The attempt with BALLOT has ended, and so have those with lower ones.  */
void marjoram_keeper_rival_ended (marjoram_keeper *keeper,
                                  const struct marjoram_ballot *ballot);
/* Whether another keeper's attempt is known that is for a membership
   change.  */
bool marjoram_keeper_rival_changes_members (const marjoram_keeper *keeper);
bool marjoram_keeper_must_defer (const marjoram_keeper *keeper);
/* The first round from ROUND on that is of an attempt with a membership
   change, or of one without.  */
uint64_t marjoram_keeper_mark_round (uint64_t round, bool membership_change);
void marjoram_keeper_start_attempt (marjoram_keeper *keeper);
/* BY is the keeper that rejected the attempt; null if none did.  */
void marjoram_keeper_fail_attempt (marjoram_keeper *keeper,
                                   enum marjoram_ballot_end end,
                                   const char *by);
/* Sends the current phase's request to each target that has not answered
   it.  */
void marjoram_keeper_send_phase (marjoram_keeper *keeper);
/* The id of the store that REQUEST would admit; null unless REQUEST is a
   membership change and the store has answered a heartbeat sent after the
   request was received, and holds the state that was chosen at that time.  */
const char *
marjoram_keeper_ready_store (const marjoram_keeper *keeper,
                             const struct marjoram_keeper_request *request);

void
marjoram_keeper_on_heartbeat (marjoram_keeper *keeper,
                              const struct marjoram_keeper_envelope *envelope);
void
marjoram_keeper_on_prepare (marjoram_keeper *keeper,
                            const struct marjoram_keeper_envelope *envelope);
void
marjoram_keeper_on_promise (marjoram_keeper *keeper,
                            const struct marjoram_keeper_envelope *envelope);
void
marjoram_keeper_on_reject (marjoram_keeper *keeper,
                           const struct marjoram_keeper_envelope *envelope);
void
marjoram_keeper_on_accept (marjoram_keeper *keeper,
                           const struct marjoram_keeper_envelope *envelope);
void
marjoram_keeper_on_accepted (marjoram_keeper *keeper,
                             const struct marjoram_keeper_envelope *envelope);
void
marjoram_keeper_on_confirm (marjoram_keeper *keeper,
                            const struct marjoram_keeper_envelope *envelope);
void
marjoram_keeper_on_confirmed (marjoram_keeper *keeper,
                              const struct marjoram_keeper_envelope *envelope);
/* Processes the keeper's messages to itself, then delivers the chosen state
   and starts the next write.  */
void marjoram_keeper_process_pending (marjoram_keeper *keeper);
void
marjoram_keeper_on_chosen (marjoram_keeper *keeper,
                           const struct marjoram_keeper_envelope *envelope);

#endif
