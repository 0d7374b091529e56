/* Paxos rules of the replicated register, without messaging: ballots,
   acceptors, quorums, and the prepare and accept phases of one attempt to
   replace the value.  A value is a complete state and lists the member keepers
   that choose it by majority.  During a membership change it needs a majority
   of both the old and the new members.  */
#ifndef MARJORAM_REGISTER_H
#define MARJORAM_REGISTER_H

#include "state.h"

/* Ballots are unique: a proposer does not reuse a round within one incarnation
   of its store, and incarnation and store id identify that run.  */
struct marjoram_ballot
{
  uint64_t round;
  uint64_t incarnation;
  uint64_t proposer; /* hash of the store id */
};

int marjoram_ballot_compare (const struct marjoram_ballot *a,
                             const struct marjoram_ballot *b);
/* The ballot that an acceptor promises the proposer of BALLOT when it accepts
   a value that begins a membership change, so that the value that completes it
   needs no prepare phase.  */
struct marjoram_ballot
marjoram_ballot_next (const struct marjoram_ballot *ballot);

/* An immutable, reference-counted state with its packed form.  */
typedef struct marjoram_value marjoram_value;

/* A cryptographic hash that identifies a value by its packed form.  Zero
   stands for no value.  */
struct marjoram_value_hash
{
  uint64_t high;
  uint64_t low;
};

/* Takes ownership of STATE.  */
marjoram_value *marjoram_value_create (struct marjoram_state *state);
/* Returns null and sets ERR if PACKED is not a valid state.  */
marjoram_value *marjoram_value_unpack (marjoram_bytes *packed,
                                       struct marjoram_error *err);
marjoram_value *marjoram_value_retain (marjoram_value *value);
/* VALUE may be null.  */
void marjoram_value_release (marjoram_value *value);
const struct marjoram_state *
marjoram_value_state (const marjoram_value *value);
/* The result is owned by VALUE.  */
marjoram_bytes *marjoram_value_packed (const marjoram_value *value);
struct marjoram_value_hash marjoram_value_hash (marjoram_value *value);
bool marjoram_value_hash_equal (const struct marjoram_value_hash *a,
                                const struct marjoram_value_hash *b);
/* Returns the compressed packed form, or a delta against BASE unless that is
   null.  The result is cached and owned by VALUE; only the delta against the
   most recent base is retained.  */
marjoram_bytes *marjoram_value_compressed (marjoram_value *value,
                                           marjoram_value *base);
/* Compares packed forms.  Null is equal to null only.  */
bool marjoram_value_equal (const marjoram_value *a, const marjoram_value *b);
/* Returns the state's number, or 0 if VALUE is null.  */
uint64_t marjoram_value_number (const marjoram_value *value);

/* Returns true if VALUE lists the stores of the first keepers and contains no
   changes.  Such a value needs all keepers in both phases: a keeper that loses
   its disk comes back with a new store id and could help two initial values
   to a majority each.  Until one is chosen, a later one may replace it.  */
bool marjoram_value_is_initial (const marjoram_value *value);

/* Acceptor state of one keeper.  Must be durable before a reply is sent.  */
struct marjoram_acceptor
{
  struct marjoram_ballot promised;
  struct marjoram_ballot accepted;
  marjoram_value *value;
};

/* Promises to accept no ballot below BALLOT.  Returns false if a higher ballot
   was already promised.  */
bool marjoram_acceptor_prepare (struct marjoram_acceptor *acceptor,
                                const struct marjoram_ballot *ballot);
/* Accepts VALUE.  Returns false if a higher ballot was promised, other than
   the next one with the same value.  */
bool marjoram_acceptor_accept (struct marjoram_acceptor *acceptor,
                               const struct marjoram_ballot *ballot,
                               marjoram_value *value);
/* Stores a value known to be chosen at BALLOT, regardless of promises.
   Returns false if a value with the same or a higher ballot is present.  */
bool marjoram_acceptor_learn (struct marjoram_acceptor *acceptor,
                              const struct marjoram_ballot *ballot,
                              marjoram_value *value);

/* Returns true if VOTES, a list of members, contains a majority of STATE's
   members and, during a membership change, of its next members.  A vote with a
   store id other than the member's does not count, since a new store lacks the
   member's promises.  */
bool marjoram_quorum (const struct marjoram_array *votes,
                      const struct marjoram_state *state);

enum marjoram_phase
{
  MARJORAM_PHASE_IDLE,
  MARJORAM_PHASE_PREPARE,
  MARJORAM_PHASE_ACCEPT
};

/* One proposal attempt.  */
struct marjoram_attempt
{
  enum marjoram_phase phase;
  struct marjoram_ballot ballot;
  struct marjoram_array votes;    /* received in the current phase */
  struct marjoram_array promised; /* ACCEPT: the votes of PREPARE */
  struct marjoram_array next;     /* those that promised the next ballot */
  struct marjoram_ballot best_ballot;
  marjoram_value *best; /* accepted value with the highest ballot seen */
  marjoram_value *proposed;
};

void marjoram_attempt_start (struct marjoram_attempt *attempt,
                             const struct marjoram_ballot *ballot);
void marjoram_attempt_stop (struct marjoram_attempt *attempt);
/* Records a promise.  ACCEPTED and VALUE are the ballot and value that the
   voter had accepted; VALUE may be null.  */
void marjoram_attempt_promised (struct marjoram_attempt *attempt,
                                const char *slot, const char *store_id,
                                const struct marjoram_ballot *accepted,
                                marjoram_value *value);
/* Returns true if the promises form a quorum of the members of the best value.
   An initial value must also equal CHOSEN, the value known to be chosen.  */
bool marjoram_attempt_read (const struct marjoram_attempt *attempt,
                            const marjoram_value *chosen);
/* Returns true if an initial value may be proposed: every slot of FIRST has
   promised, and no value beyond an initial one was reported.  This keeps
   keepers with empty disks from starting a second history next to an existing
   one.  */
bool
marjoram_attempt_may_propose_initial (const struct marjoram_attempt *attempt,
                                      char *const *first, size_t count);
void marjoram_attempt_propose (struct marjoram_attempt *attempt,
                               marjoram_value *value);
void marjoram_attempt_accepted (struct marjoram_attempt *attempt,
                                const char *slot, const char *store_id);
/* Records the ballot that a voter had promised when it accepted.  */
void marjoram_attempt_promised_next (struct marjoram_attempt *attempt,
                                     const char *slot, const char *store_id,
                                     const struct marjoram_ballot *promised);
/* Returns true if the proposed value is chosen: accepted by a quorum both of
   its own members and of its predecessor's.  An initial value must be accepted
   by all its members.  */
bool marjoram_attempt_chosen (const struct marjoram_attempt *attempt);
/* Continues with the next ballot, in the accept phase and with the proposed
   value, which is chosen, as the value read.  Returns false and changes
   nothing unless a quorum of its members promised that ballot when it accepted
   the value.  */
bool marjoram_attempt_continue (struct marjoram_attempt *attempt);

#endif
