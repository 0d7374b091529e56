#include "register.h"

#include "cleanup.h"
#include "compress.h"

#include <sodium.h>
#include <string.h>

enum
{
  /* Keeps the parity, by which keepers tell attempts with a membership change
     from others.  */
  ROUNDS_TO_NEXT = 2
};

/* The hash and the compressed forms are computed on first use and cached,
   since a value is sent repeatedly and to several keepers.  */
struct marjoram_value
{
  int references;
  struct marjoram_state *state;
  marjoram_bytes *packed;
  struct marjoram_value_hash hash; /* zero until computed */
  marjoram_bytes *compressed;
  marjoram_bytes *delta; /* against the value identified by BASE */
  struct marjoram_value_hash base;
};

static int
compare_uint64 (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

int
marjoram_ballot_compare (const struct marjoram_ballot *a,
                         const struct marjoram_ballot *b)
{
  int order = compare_uint64 (a->round, b->round);

  if (order == 0)
    order = compare_uint64 (a->incarnation, b->incarnation);
  if (order == 0)
    order = compare_uint64 (a->proposer, b->proposer);
  return order;
}

static marjoram_value *
create_value (struct marjoram_state *state, marjoram_bytes *packed)
{
  marjoram_value *value = marjoram_alloc (sizeof *value);

  value->references = 1;
  value->state = state;
  value->packed = packed;
  return value;
}

marjoram_value *
marjoram_value_create (struct marjoram_state *state)
{
  return create_value (state,
                       marjoram_wire_pack (&marjoram_state_layout, state));
}

static bool
has_members (const struct marjoram_state *state)
{
  const struct marjoram_keeper_member *members = state->members.items;
  const struct marjoram_keeper_member *next = state->next_members.items;

  for (size_t i = 0; i < state->members.count; i++)
    if (!members[i].slot || !members[i].store_id)
      return false;
  for (size_t i = 0; i < state->next_members.count; i++)
    if (!next[i].slot || !next[i].store_id)
      return false;
  return state->members.count > 0;
}

marjoram_value *
marjoram_value_unpack (marjoram_bytes *packed, struct marjoram_error *err)
{
  struct marjoram_state *state = marjoram_wire_unpack (
      &marjoram_state_layout, marjoram_bytes_data (packed),
      marjoram_bytes_size (packed), err);

  if (!state)
    return NULL;
  if (!has_members (state))
    {
      marjoram_state_destroy (state);
      marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                          "state has no keepers, or a keeper without slot or "
                          "store id; check that all keepers run the same "
                          "release");
      return NULL;
    }
  return create_value (state, marjoram_bytes_retain (packed));
}

marjoram_value *
marjoram_value_retain (marjoram_value *value)
{
  if (value)
    value->references++;
  return value;
}

void
marjoram_value_release (marjoram_value *value)
{
  if (!value || --value->references > 0)
    return;
  marjoram_state_destroy (value->state);
  marjoram_bytes_release (value->packed);
  marjoram_bytes_release (value->compressed);
  marjoram_bytes_release (value->delta);
  free (value);
}

const struct marjoram_state *
marjoram_value_state (const marjoram_value *value)
{
  return value->state;
}

marjoram_bytes *
marjoram_value_packed (const marjoram_value *value)
{
  return value->packed;
}

bool
marjoram_value_hash_equal (const struct marjoram_value_hash *a,
                           const struct marjoram_value_hash *b)
{
  return a->high == b->high && a->low == b->low;
}

struct marjoram_value_hash
marjoram_value_hash (marjoram_value *value)
{
  static const struct marjoram_value_hash none;

  if (!value)
    return none;
  if (marjoram_value_hash_equal (&value->hash, &none))
    crypto_generichash ((unsigned char *)&value->hash, sizeof value->hash,
                        marjoram_bytes_data (value->packed),
                        marjoram_bytes_size (value->packed), NULL, 0);
  return value->hash;
}

static marjoram_bytes *
delta_against (marjoram_value *value, marjoram_value *base)
{
  struct marjoram_value_hash hash = marjoram_value_hash (base);

  if (value->delta && marjoram_value_hash_equal (&value->base, &hash))
    return value->delta;
  marjoram_bytes_release (value->delta);
  value->delta = marjoram_compress (value->packed, base->packed);
  value->base = hash;
  return value->delta;
}

marjoram_bytes *
marjoram_value_compressed (marjoram_value *value, marjoram_value *base)
{
  if (base)
    return delta_against (value, base);
  if (!value->compressed)
    value->compressed = marjoram_compress (value->packed, NULL);
  return value->compressed;
}

bool
marjoram_value_equal (const marjoram_value *a, const marjoram_value *b)
{
  size_t size;

  if (a == b || !a || !b)
    return a == b;
  size = marjoram_bytes_size (a->packed);
  return size == marjoram_bytes_size (b->packed)
         && memcmp (marjoram_bytes_data (a->packed),
                    marjoram_bytes_data (b->packed), size)
                == 0;
}

uint64_t
marjoram_value_number (const marjoram_value *value)
{
  return value ? value->state->number : 0;
}

bool
marjoram_value_is_initial (const marjoram_value *value)
{
  return value->state->changes.count == 0;
}

static void
set_accepted (struct marjoram_acceptor *acceptor,
              const struct marjoram_ballot *ballot, marjoram_value *value)
{
  marjoram_value *earlier = acceptor->value;

  acceptor->accepted = *ballot;
  acceptor->value = marjoram_value_retain (value);
  marjoram_value_release (earlier);
}

bool
marjoram_acceptor_prepare (struct marjoram_acceptor *acceptor,
                           const struct marjoram_ballot *ballot)
{
  if (marjoram_ballot_compare (ballot, &acceptor->promised) < 0)
    return false;
  acceptor->promised = *ballot;
  return true;
}

struct marjoram_ballot
marjoram_ballot_next (const struct marjoram_ballot *ballot)
{
  struct marjoram_ballot next = *ballot;

  next.round += ROUNDS_TO_NEXT;
  return next;
}

/* Whether the accept request of BALLOT is repeated and only the promise that
   its acceptance implied has followed it.  */
static bool
is_repeated (const struct marjoram_acceptor *acceptor,
             const struct marjoram_ballot *ballot)
{
  const struct marjoram_ballot next = marjoram_ballot_next (ballot);

  return acceptor->value
         && marjoram_ballot_compare (&acceptor->accepted, ballot) == 0
         && marjoram_ballot_compare (&acceptor->promised, &next) == 0;
}

bool
marjoram_acceptor_accept (struct marjoram_acceptor *acceptor,
                          const struct marjoram_ballot *ballot,
                          marjoram_value *value)
{
  if (is_repeated (acceptor, ballot))
    return true;
  if (marjoram_ballot_compare (ballot, &acceptor->promised) < 0)
    return false;
  acceptor->promised = value->state->next_members.count > 0
                           ? marjoram_ballot_next (ballot)
                           : *ballot;
  set_accepted (acceptor, ballot, value);
  return true;
}

/* May ignore promises: a proposer that was promised a higher ballot reads a
   quorum, which already contains the chosen value.  */
bool
marjoram_acceptor_learn (struct marjoram_acceptor *acceptor,
                         const struct marjoram_ballot *ballot,
                         marjoram_value *value)
{
  if (acceptor->value
      && marjoram_ballot_compare (ballot, &acceptor->accepted) <= 0)
    return false;
  if (marjoram_ballot_compare (ballot, &acceptor->promised) > 0)
    acceptor->promised = *ballot;
  set_accepted (acceptor, ballot, value);
  return true;
}

static bool
has_majority (const struct marjoram_array *votes,
              const struct marjoram_array *members)
{
  const struct marjoram_keeper_member *items = members->items;
  size_t count = 0;

  for (size_t i = 0; i < members->count; i++)
    if (marjoram_voters_contain (votes, items[i].slot, items[i].store_id))
      count++;
  return 2 * count > members->count;
}

bool
marjoram_quorum (const struct marjoram_array *votes,
                 const struct marjoram_state *state)
{
  if (!has_majority (votes, &state->members))
    return false;
  return state->next_members.count == 0
         || has_majority (votes, &state->next_members);
}

void
marjoram_attempt_start (struct marjoram_attempt *attempt,
                        const struct marjoram_ballot *ballot)
{
  marjoram_attempt_stop (attempt);
  attempt->phase = MARJORAM_PHASE_PREPARE;
  attempt->ballot = *ballot;
}

void
marjoram_attempt_stop (struct marjoram_attempt *attempt)
{
  marjoram_voters_clear (&attempt->votes);
  marjoram_voters_clear (&attempt->promised);
  marjoram_voters_clear (&attempt->next);
  marjoram_value_release (attempt->best);
  marjoram_value_release (attempt->proposed);
  *attempt = (struct marjoram_attempt){ .phase = MARJORAM_PHASE_IDLE };
}

static void
add_vote (struct marjoram_array *votes, const char *slot, const char *store_id)
{
  struct marjoram_keeper_member *vote = marjoram_voters_find (votes, slot);

  if (!vote)
    {
      marjoram_voters_add (votes, slot, store_id);
      return;
    }
  free (vote->store_id);
  vote->store_id = marjoram_strdup (store_id);
}

void
marjoram_attempt_promised (struct marjoram_attempt *attempt, const char *slot,
                           const char *store_id,
                           const struct marjoram_ballot *accepted,
                           marjoram_value *value)
{
  add_vote (&attempt->votes, slot, store_id);
  if (!value)
    return;
  if (attempt->best
      && marjoram_ballot_compare (accepted, &attempt->best_ballot) <= 0)
    return;
  marjoram_value_release (attempt->best);
  attempt->best = marjoram_value_retain (value);
  attempt->best_ballot = *accepted;
}

bool
marjoram_attempt_read (const struct marjoram_attempt *attempt,
                       const marjoram_value *chosen)
{
  const marjoram_value *best = attempt->best;

  if (!best)
    return false;
  if (marjoram_value_is_initial (best) && !marjoram_value_equal (best, chosen))
    return false;
  return marjoram_quorum (&attempt->votes, best->state);
}

bool
marjoram_attempt_may_propose_initial (const struct marjoram_attempt *attempt,
                                      char *const *first, size_t count)
{
  if (count == 0
      || (attempt->best && !marjoram_value_is_initial (attempt->best)))
    return false;
  for (size_t i = 0; i < count; i++)
    if (!marjoram_voters_find (&attempt->votes, first[i]))
      return false;
  return true;
}

void
marjoram_attempt_propose (struct marjoram_attempt *attempt,
                          marjoram_value *value)
{
  attempt->phase = MARJORAM_PHASE_ACCEPT;
  attempt->proposed = marjoram_value_retain (value);
  attempt->promised = attempt->votes;
  attempt->votes = (struct marjoram_array){ NULL, 0 };
}

void
marjoram_attempt_accepted (struct marjoram_attempt *attempt, const char *slot,
                           const char *store_id)
{
  add_vote (&attempt->votes, slot, store_id);
}

void
marjoram_attempt_promised_next (struct marjoram_attempt *attempt,
                                const char *slot, const char *store_id,
                                const struct marjoram_ballot *promised)
{
  const struct marjoram_ballot next = marjoram_ballot_next (&attempt->ballot);

  if (marjoram_ballot_compare (promised, &next) == 0)
    add_vote (&attempt->next, slot, store_id);
}

static bool
has_all_members (const struct marjoram_array *votes,
                 const struct marjoram_array *members)
{
  const struct marjoram_keeper_member *items = members->items;

  for (size_t i = 0; i < members->count; i++)
    if (!marjoram_voters_contain (votes, items[i].slot, items[i].store_id))
      return false;
  return true;
}

bool
marjoram_attempt_chosen (const struct marjoram_attempt *attempt)
{
  const struct marjoram_state *state = attempt->proposed->state;

  if (marjoram_value_is_initial (attempt->proposed))
    return has_all_members (&attempt->votes, &state->members);
  return marjoram_quorum (&attempt->votes, attempt->best->state)
         && marjoram_quorum (&attempt->votes, state);
}

/* The quorum that accepted the proposed value has accepted nothing between the
   two ballots, so that its promises report this value as the highest.  */
bool
marjoram_attempt_continue (struct marjoram_attempt *attempt)
{
  const struct marjoram_ballot next = marjoram_ballot_next (&attempt->ballot);

  if (!marjoram_quorum (&attempt->next, attempt->proposed->state))
    return false;
  marjoram_voters_clear (&attempt->votes);
  marjoram_voters_clear (&attempt->promised);
  marjoram_value_release (attempt->best);
  attempt->phase = MARJORAM_PHASE_PREPARE;
  attempt->best = attempt->proposed;
  attempt->best_ballot = attempt->ballot;
  attempt->proposed = NULL;
  attempt->ballot = next;
  attempt->votes = attempt->next;
  attempt->next = (struct marjoram_array){ NULL, 0 };
  return true;
}
