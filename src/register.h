/* The rules of the replicated register, without messages: ballots, acceptors,
   quorums, and the two phases of one attempt to replace the value.  A value is
   a whole state; it names the keepers whose majority chooses it, and during a
   change of members it needs a majority of the old and of the new ones.  */
#ifndef MARJORAM_REGISTER_H
#define MARJORAM_REGISTER_H

#include "state.h"

/* Used once: a proposer never repeats a round within a life of its store, and
   a life's incarnation and the store's id belong to no other.  */
struct marjoram_ballot
{
  uint64_t round;
  uint64_t incarnation;
  uint64_t proposer; /* hash of the store id */
};

int marjoram_ballot_compare (const struct marjoram_ballot *a,
                             const struct marjoram_ballot *b);

/* An immutable state and its packed form, with a reference count.  */
typedef struct marjoram_value marjoram_value;

/* A cryptographic hash of a value's packed form, which stands for it: another
   value's is another one.  Zero for no value.  */
struct marjoram_value_mark
{
  uint64_t high;
  uint64_t low;
};

/* Takes over STATE.  */
marjoram_value *marjoram_value_create (struct marjoram_state *state);
/* Null with ERR set if PACKED is no state.  */
marjoram_value *marjoram_value_unpack (marjoram_bytes *packed,
                                       struct marjoram_error *err);
marjoram_value *marjoram_value_retain (marjoram_value *value);
/* A null pointer is allowed.  */
void marjoram_value_release (marjoram_value *value);
const struct marjoram_state *
marjoram_value_state (const marjoram_value *value);
/* Still owned by VALUE.  */
marjoram_bytes *marjoram_value_packed (const marjoram_value *value);
struct marjoram_value_mark marjoram_value_mark (marjoram_value *value);
bool marjoram_value_mark_equal (const struct marjoram_value_mark *a,
                                const struct marjoram_value_mark *b);
/* The packed form compressed, against that of BASE unless it is null; made
   once.  Still owned by VALUE, for the last base only.  */
marjoram_bytes *marjoram_value_compressed (marjoram_value *value,
                                           marjoram_value *base);
/* Null equals null only.  */
bool marjoram_value_equal (const marjoram_value *a, const marjoram_value *b);
/* 0 for null.  */
uint64_t marjoram_value_number (const marjoram_value *value);

/* Whether VALUE has no changes yet, only the stores of the first keepers.  A
   disk may be lost before or after such a value was accepted there, and comes
   back as another store; counted by majorities, two founding values could both
   win with its help.  So each needs all keepers, in both phases, and until one
   is chosen a later one may take its place.  */
bool marjoram_value_is_founding (const marjoram_value *value);

/* What one keeper has promised and accepted; durable before it is told.  */
struct marjoram_acceptor
{
  struct marjoram_ballot promised;
  struct marjoram_ballot accepted;
  marjoram_value *value;
};

/* Whether BALLOT is promised, so that no lower one will be accepted.  */
bool marjoram_acceptor_prepare (struct marjoram_acceptor *acceptor,
                                const struct marjoram_ballot *ballot);
bool marjoram_acceptor_accept (struct marjoram_acceptor *acceptor,
                               const struct marjoram_ballot *ballot,
                               marjoram_value *value);
/* Takes a value known to be chosen at BALLOT, whatever was promised; false if
   a later one is held.  */
bool marjoram_acceptor_learn (struct marjoram_acceptor *acceptor,
                              const struct marjoram_ballot *ballot,
                              marjoram_value *value);

/* Whether VOTES, a list of members, hold a majority of the members of STATE,
   and of its next ones.  A slot with another store than the member's does not
   count: that disk has forgotten what the member promised.  */
bool marjoram_quorum (const struct marjoram_array *votes,
                      const struct marjoram_state *state);

enum marjoram_phase
{
  MARJORAM_PHASE_IDLE,
  MARJORAM_PHASE_PREPARE,
  MARJORAM_PHASE_ACCEPT
};

/* One proposer's attempt.  */
struct marjoram_attempt
{
  enum marjoram_phase phase;
  struct marjoram_ballot ballot;
  struct marjoram_array votes;    /* of the phase's answers */
  struct marjoram_array promised; /* ACCEPT: the votes of PREPARE */
  struct marjoram_ballot best_ballot;
  marjoram_value *best; /* the highest accepted value that was read */
  marjoram_value *proposed;
};

void marjoram_attempt_start (struct marjoram_attempt *attempt,
                             const struct marjoram_ballot *ballot);
void marjoram_attempt_stop (struct marjoram_attempt *attempt);
/* ACCEPTED and VALUE are what the voter had accepted; VALUE may be null.  */
void marjoram_attempt_promised (struct marjoram_attempt *attempt,
                                const char *slot, const char *store_id,
                                const struct marjoram_ballot *accepted,
                                marjoram_value *value);
/* Whether the read is whole: a quorum of the highest value that was found.  A
   founding value is built upon only if it is CHOSEN, the one known to be.  */
bool marjoram_attempt_read (const struct marjoram_attempt *attempt,
                            const marjoram_value *chosen);
/* Whether each slot of FIRST promised and none holds more than a founding
   value: only then may one be formed, so that emptied disks can't form a
   second one beside a keeper that remembers what the first became.  */
bool marjoram_attempt_may_form (const struct marjoram_attempt *attempt,
                                char *const *first, size_t count);
void marjoram_attempt_propose (struct marjoram_attempt *attempt,
                               marjoram_value *value);
void marjoram_attempt_accepted (struct marjoram_attempt *attempt,
                                const char *slot, const char *store_id);
/* Whether the proposed value is chosen: accepted by a quorum of its own
   members and of those of the value before it; a founding value by all.  */
bool marjoram_attempt_chosen (const struct marjoram_attempt *attempt);

#endif
