/* The parts of a keeper, shared by keeper.c (the owner's calls), keeper_mail.c
   (messages), keeper_parcel.c (values in messages), keeper_accept.c (votes,
   disk, what is chosen) and keeper_propose.c (attempts to replace the value).
 */
#ifndef MARJORAM_KEEPER_PRIVATE_H
#define MARJORAM_KEEPER_PRIVATE_H

#include "keeper.h"
#include "keeper_message.h"
#include "keeper_peer.h"
#include "keeper_request.h"

enum
{
  MARJORAM_KEEPER_GREET_MS = 1000,
  MARJORAM_KEEPER_MEET_MS = 10000,
  /* A peer silent for longer is not counted on for a first start, or as the
     new keeper of a replacement.  */
  MARJORAM_KEEPER_ALIVE_MS = 3500,
  MARJORAM_KEEPER_LEARN_AGAIN_MS = 2000,
  MARJORAM_KEEPER_RESEND_MS = 500,
  MARJORAM_KEEPER_ATTEMPT_MS = 10000,
  MARJORAM_KEEPER_BACKOFF_MS = 30,
  MARJORAM_KEEPER_BACKOFF_DOUBLINGS = 6,
  MARJORAM_KEEPER_SETTLE_MS = 1000,
  MARJORAM_KEEPER_SETTLE_SPREAD_MS = 2000,
  MARJORAM_KEEPER_BATCH_MAX = 64,
  /* A disk that was full, or refused a write, may take the next one.  */
  MARJORAM_KEEPER_REWRITE_MS = 500,
  MARJORAM_KEEPER_TARGETS_MAX = 64,
  /* Bytes; what fits into a few packets is not worth holding back or
     compressing.  */
  MARJORAM_KEEPER_SMALL = 4096
};

/* A message as it waits, for the disk or for this keeper itself.  */
struct marjoram_keeper_envelope
{
  STAILQ_ENTRY (marjoram_keeper_envelope) link;
  uint64_t after; /* the write that has to be durable */
  char *slot;     /* of the other side */
  char *store_id; /* of the other side, null if unknown */
  uint64_t kind;
  int64_t echo;
  struct marjoram_ballot ballot;
  struct marjoram_ballot accepted;
  marjoram_value *value;
};

STAILQ_HEAD (marjoram_keeper_envelopes, marjoram_keeper_envelope);

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

  struct marjoram_acceptor acceptor;
  marjoram_value *chosen; /* the highest known to be chosen */
  struct marjoram_ballot chosen_ballot;
  marjoram_value *former;    /* chosen before it; others may hold it still */
  marjoram_value *announced; /* the one given to the owner */
  marjoram_bytes *nothing;   /* no bytes, for values that need none */
  uint64_t announce_after;

  uint64_t base;     /* writes on disk when this life began */
  uint64_t sequence; /* of the last change in memory */
  uint64_t durable;  /* of the last change on disk */
  bool writing;
  bool broken;        /* a write failed: memory is ahead of the disk */
  int64_t rewrite_at; /* when the failed write is tried again */
  bool barred;        /* the store was restored from an older copy */
  bool met;           /* a majority knows this life of the store */
  int64_t met_by;     /* when fewer will do; 0 before the first event */
  bool formed;        /* somewhere a change was chosen */

  struct marjoram_keeper_peers peers;
  struct marjoram_keeper_requests requests;
  struct marjoram_keeper_envelopes replies; /* until the disk is done */
  struct marjoram_keeper_envelopes inbox;   /* from this keeper to itself */

  struct marjoram_attempt attempt;
  uint64_t round; /* the highest met */
  int failures;
  int64_t started_at;
  int64_t resend_at;
  int64_t retry_at;
  int64_t settle_at; /* 0 while there is nothing to settle */
  int64_t greet_at;
};

struct marjoram_keeper_envelope *marjoram_keeper_envelope_create (
    const char *slot, const char *store_id, uint64_t kind,
    const struct marjoram_ballot *ballot,
    const struct marjoram_ballot *accepted, marjoram_value *value);
void
marjoram_keeper_envelope_destroy (struct marjoram_keeper_envelope *envelope);
void
marjoram_keeper_envelopes_clear (struct marjoram_keeper_envelopes *envelopes);
/* keeper_parcel.c: puts VALUE into MESSAGE, as briefly as PEER can read it.
   MESSAGE borrows from VALUE; PEER may be null.  */
void marjoram_keeper_wrap (const marjoram_keeper *keeper,
                           const struct marjoram_keeper_peer *peer,
                           marjoram_value *value,
                           struct marjoram_keeper_message *message);
/* The value in MESSAGE; null if it can't be read here.  */
marjoram_value *
marjoram_keeper_unwrap (const marjoram_keeper *keeper,
                        const struct marjoram_keeper_message *message);
/* Sends ENVELOPE and takes it over.  */
void marjoram_keeper_post (marjoram_keeper *keeper,
                           struct marjoram_keeper_envelope *envelope);
void
marjoram_keeper_post_when_durable (marjoram_keeper *keeper,
                                   struct marjoram_keeper_envelope *envelope);
/* Fills TARGETS with all slots that may be keepers, this one included.  */
size_t marjoram_keeper_targets (const marjoram_keeper *keeper,
                                const char **targets);
/* STORE_ID is the receiver's, null if unknown.  */
void marjoram_keeper_greet (marjoram_keeper *keeper, const char *slot,
                            const char *store_id);
void marjoram_keeper_greet_all (marjoram_keeper *keeper);
/* Greets those that were sent a large message since they were greeted.  */
void marjoram_keeper_greet_busy (marjoram_keeper *keeper);

/* The value whose members this keeper goes by, null before any.  */
marjoram_value *marjoram_keeper_current (const marjoram_keeper *keeper);
bool marjoram_keeper_may_vote (const marjoram_keeper *keeper);
void marjoram_keeper_check_met (marjoram_keeper *keeper);
void marjoram_keeper_learn (marjoram_keeper *keeper,
                            const struct marjoram_ballot *ballot,
                            marjoram_value *value);
/* Gives news to the owner, if there are any.  */
void marjoram_keeper_announce (marjoram_keeper *keeper);
/* Starts the next write, if one is due.  */
void marjoram_keeper_flush (marjoram_keeper *keeper);
bool marjoram_keeper_load (marjoram_keeper *keeper,
                           const marjoram_bytes *packed,
                           struct marjoram_error *err);
/* Whether a first state may be formed, as far as this keeper knows.  */
bool marjoram_keeper_may_form (const marjoram_keeper *keeper);
void marjoram_keeper_answer_decided (marjoram_keeper *keeper);

/* A majority has confirmed the chosen state: answers the reads that came
   before the attempt that did so.  */
void marjoram_keeper_answer_reads (marjoram_keeper *keeper);
void marjoram_keeper_start_attempt (marjoram_keeper *keeper);
void marjoram_keeper_fail_attempt (marjoram_keeper *keeper);
/* Asks each target that has not answered in this phase.  */
void marjoram_keeper_ask_phase (marjoram_keeper *keeper);
/* The store that REQUEST would admit: it answered a greeting sent since the
   request came, and holds all that is known chosen.  Null if it is not
   ready.  */
const char *
marjoram_keeper_ready_store (const marjoram_keeper *keeper,
                             const struct marjoram_keeper_request *request);

void
marjoram_keeper_on_greet (marjoram_keeper *keeper,
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
marjoram_keeper_on_chosen (marjoram_keeper *keeper,
                           const struct marjoram_keeper_envelope *envelope);

#endif
