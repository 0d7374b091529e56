#include "claim_attempt.h"

#include "cleanup.h"

uint64_t
marjoram_claims_slot_bit (int ordinal)
{
  return (uint64_t)1 << ordinal;
}

static int
majority (const marjoram_claims *claims)
{
  return claims->options.slot_count / 2 + 1;
}

static int64_t
wall_now (const marjoram_claims *claims)
{
  return claims->now + claims->wall_offset;
}

bool
marjoram_claims_owns (const marjoram_claims *claims,
                      const struct marjoram_claim_entry *entry)
{
  return entry->owner == (uint64_t)claims->options.self
         && entry->incarnation == claims->options.incarnation;
}

struct marjoram_claim_attempt *
marjoram_claims_find_attempt (const marjoram_claims *claims, uint64_t number)
{
  struct marjoram_claim_attempt *attempt;

  HASH_FIND (hh, claims->by_number, &number, sizeof number, attempt);
  return attempt;
}

struct marjoram_claim_attempt *
marjoram_claims_find_by_key (const marjoram_claims *claims,
                             struct marjoram_hash128 key)
{
  struct marjoram_claim_attempt *attempt;

  HASH_FIND (hh_key, claims->by_key, &key, sizeof key, attempt);
  return attempt;
}

void
marjoram_claims_release_key (marjoram_claims *claims,
                             struct marjoram_claim_attempt *attempt)
{
  if (marjoram_claims_find_by_key (claims, attempt->entry.key) == attempt)
    HASH_DELETE (hh_key, claims->by_key, attempt);
}

void
marjoram_claims_remove_attempt (marjoram_claims *claims,
                                struct marjoram_claim_attempt *attempt)
{
  marjoram_claims_release_key (claims, attempt);
  HASH_DELETE (hh, claims->by_number, attempt);
  TAILQ_REMOVE (&claims->attempts, attempt, link);
  free (attempt->vote_incarnations);
  free (attempt);
}

struct marjoram_claim_message
marjoram_claims_make_message (const marjoram_claims *claims,
                              enum marjoram_claim_kind kind,
                              const struct marjoram_claim_entry *entries,
                              size_t count)
{
  return (struct marjoram_claim_message){
    .kind = kind,
    .incarnation = claims->options.incarnation,
    .known_incarnations
    = { (void *)claims->known_incarnations, claims->options.slot_count },
    .horizon = claims->horizon,
    .entries = { (void *)entries, count },
    .recovered = claims->recovery.done,
  };
}

void
marjoram_claims_send (marjoram_claims *claims, int to,
                      enum marjoram_claim_kind kind,
                      const struct marjoram_claim_entry *entry)
{
  struct marjoram_claim_message m
      = marjoram_claims_make_message (claims, kind, entry, 1);

  claims->ops.send (claims->context, to, &m);
}

void
marjoram_claims_send_all (marjoram_claims *claims,
                          enum marjoram_claim_kind kind,
                          const struct marjoram_claim_entry *entry,
                          uint64_t except)
{
  for (int i = 0; i < claims->options.slot_count; i++)
    if (i != claims->options.self && !(except & marjoram_claims_slot_bit (i)))
      marjoram_claims_send (claims, i, kind, entry);
}

/* Removes the attempt and tells the peers to release its key.  Attempt numbers
   are not reused, so votes that arrive later match no attempt.  */
void
marjoram_claims_abandon (marjoram_claims *claims,
                         struct marjoram_claim_attempt *attempt)
{
  struct marjoram_claim_record *record
      = marjoram_claim_records_get (claims->records, &attempt->entry);

  if (record)
    marjoram_claim_records_remove (claims->records, record);
  if (attempt->phase != MARJORAM_CLAIM_ATTEMPT_WAITING)
    marjoram_claims_send_all (claims, MARJORAM_CLAIM_WITHDRAW, &attempt->entry,
                              0);
  marjoram_claims_remove_attempt (claims, attempt);
}

/* Verdicts are queued until internal state is consistent, because the callback
   may call back into this module.  */
void
marjoram_claims_queue_verdict (marjoram_claims *claims, uint64_t attempt,
                               enum marjoram_claim_verdict verdict,
                               const struct marjoram_stored_answer *kept)
{
  struct marjoram_claim_decision *decision = marjoram_alloc (sizeof *decision);

  decision->attempt = attempt;
  decision->verdict = verdict;
  if (kept)
    {
      decision->kept.status = kept->status;
      decision->kept.body = marjoram_bytes_retain (kept->body);
      if (kept->content_type)
        decision->kept.content_type = marjoram_strdup (kept->content_type);
    }
  STAILQ_INSERT_TAIL (&claims->decisions, decision, link);
}

static void
destroy_decision (struct marjoram_claim_decision *decision)
{
  free (decision->kept.content_type);
  marjoram_bytes_release (decision->kept.body);
  free (decision);
}

void
marjoram_claims_cancel_verdict (marjoram_claims *claims, uint64_t attempt)
{
  struct marjoram_claim_decision *decision = STAILQ_FIRST (&claims->decisions);

  while (decision && decision->attempt != attempt)
    decision = STAILQ_NEXT (decision, link);
  if (!decision)
    return;
  STAILQ_REMOVE (&claims->decisions, decision, marjoram_claim_decision, link);
  destroy_decision (decision);
}

void
marjoram_claims_deliver_verdicts (marjoram_claims *claims)
{
  struct marjoram_claim_decision *decision;

  while ((decision = STAILQ_FIRST (&claims->decisions)))
    {
      STAILQ_REMOVE_HEAD (&claims->decisions, link);
      claims->ops.decided (claims->context, decision->attempt,
                           decision->verdict,
                           decision->kept.status ? &decision->kept : NULL);
      destroy_decision (decision);
    }
}

static void
decide (marjoram_claims *claims, struct marjoram_claim_attempt *attempt,
        enum marjoram_claim_verdict verdict,
        const struct marjoram_stored_answer *kept)
{
  marjoram_claims_queue_verdict (claims, attempt->entry.number, verdict, kept);
  attempt->decided = true;
  if (verdict == MARJORAM_CLAIM_RUN)
    attempt->phase = MARJORAM_CLAIM_ATTEMPT_GRANTED;
}

/* Breaks ties between attempts that block each other: a granted rival wins,
   then the host with the lower ordinal.  A waiting attempt has no votes and
   always loses.  */
static bool
yields_to_rival (const marjoram_claims *claims,
                 const struct marjoram_claim_attempt *attempt,
                 const struct marjoram_claim_entry *rival)
{
  return attempt->phase == MARJORAM_CLAIM_ATTEMPT_WAITING
         || rival->state == MARJORAM_CLAIM_GRANTED
         || rival->owner < (uint64_t)claims->options.self;
}

/* Processes a conflicting attempt for ATTEMPT's key, as reported by host
   FROM.  */
void
marjoram_claims_handle_conflict (marjoram_claims *claims,
                                 struct marjoram_claim_attempt *attempt,
                                 int from, uint64_t incarnation,
                                 const struct marjoram_claim_entry *entry)
{
  struct marjoram_claim_answers *answers = &attempt->answers;

  if (attempt->decided || marjoram_claim_same_attempt (entry, &attempt->entry))
    return;
  if (!marjoram_hash128_equal (entry->digest, attempt->entry.digest))
    decide (claims, attempt, MARJORAM_CLAIM_MISMATCH, NULL);
  else if (entry->state == MARJORAM_CLAIM_DONE && entry->kept.status)
    decide (claims, attempt, MARJORAM_CLAIM_REPLAY, &entry->kept);
  else if (entry->state == MARJORAM_CLAIM_DONE)
    answers->done |= marjoram_claims_slot_bit (from);
  else if (entry->incarnation < claims->known_incarnations[entry->owner].value)
    answers->lost |= marjoram_claims_slot_bit (from);
  else if (entry->owner != (uint64_t)from || entry->incarnation != incarnation)
    answers->held |= marjoram_claims_slot_bit (from);
  else if (yields_to_rival (claims, attempt, entry))
    decide (claims, attempt, MARJORAM_CLAIM_RUNNING, NULL);
  else
    answers->rival |= marjoram_claims_slot_bit (from);
}

/* Counts votes cast by the latest known incarnation of each host only.  A
   restarted host has lost its earlier votes and may vote for another attempt,
   so counting them could give two attempts a majority.  */
static int
count_votes (const marjoram_claims *claims,
             const struct marjoram_claim_attempt *attempt)
{
  int votes = 0;

  for (int i = 0; i < claims->options.slot_count; i++)
    if (attempt->answers.yes & marjoram_claims_slot_bit (i)
        && attempt->vote_incarnations[i]
               >= claims->known_incarnations[i].value)
      votes++;
  return votes;
}

void
marjoram_claims_evaluate (marjoram_claims *claims,
                          struct marjoram_claim_attempt *attempt)
{
  const struct marjoram_claim_answers *answers = &attempt->answers;
  uint64_t all
      = marjoram_claims_slot_bit (claims->options.slot_count - 1) * 2 - 1;
  int blocked = __builtin_popcountll (answers->blocked);
  int spare = claims->options.slot_count - majority (claims);

  if (attempt->decided)
    return;
  if (!answers->done && count_votes (claims, attempt) >= majority (claims))
    decide (claims, attempt, MARJORAM_CLAIM_RUN, NULL);
  else if (answers->responded != all)
    return;
  else if (answers->done || answers->lost)
    decide (claims, attempt, MARJORAM_CLAIM_LOST, NULL);
  else if (blocked > spare)
    decide (claims, attempt, MARJORAM_CLAIM_EXPIRED, NULL);
}

/* Decides an attempt whose deadline has passed.  NO_QUORUM is returned only if
   no host reported a conflicting attempt.  */
void
marjoram_claims_time_out (marjoram_claims *claims,
                          struct marjoram_claim_attempt *attempt)
{
  const struct marjoram_claim_answers *answers = &attempt->answers;

  if (answers->done || answers->lost || answers->blocked_recovering
      || (answers->held && !answers->rival))
    decide (claims, attempt, MARJORAM_CLAIM_LOST, NULL);
  else if (answers->rival)
    decide (claims, attempt, MARJORAM_CLAIM_RUNNING, NULL);
  else if (answers->blocked)
    decide (claims, attempt, MARJORAM_CLAIM_EXPIRED, NULL);
  else
    decide (claims, attempt, MARJORAM_CLAIM_NO_QUORUM, NULL);
}

bool
marjoram_claims_key_expired (const marjoram_claims *claims, int64_t issued)
{
  return issued < claims->wall_max - claims->options.retention_ms;
}

static bool
key_blocked (const marjoram_claims *claims, int64_t issued)
{
  return issued < claims->horizon
         || marjoram_claims_key_expired (claims, issued);
}

/* Refuses keys that the next incarnation's horizon might not cover: after a
   restart this host could vote for them a second time.  Only its own horizon
   is used, since the clock of a peer may be ahead.  */
static bool
key_too_far_ahead (const marjoram_claims *claims, int64_t issued)
{
  return issued > wall_now (claims) + KEY_LEAD_MAX_MS
         && issued > claims->own_horizon;
}

void
marjoram_claims_store_record (marjoram_claims *claims,
                              const struct marjoram_claim_entry *entry)
{
  marjoram_claim_records_put (claims->records, entry, claims->wall_max,
                              claims->now + claims->options.replay_ms);
}

/* Returns the local vote for ENTRY, and records it if granted.  */
enum marjoram_claim_vote
marjoram_claims_cast_vote (marjoram_claims *claims,
                           const struct marjoram_claim_entry *entry)
{
  const struct marjoram_claim_record *record
      = marjoram_claim_records_find (claims->records, entry->key);

  if (key_blocked (claims, entry->issued))
    return MARJORAM_VOTE_BLOCKED;
  for (; record; record = record->next)
    {
      struct marjoram_claim_entry held;

      marjoram_claim_record_to_entry (record, &held);
      if (!marjoram_claim_same_attempt (&held, entry)
          || held.state == MARJORAM_CLAIM_DONE)
        return MARJORAM_VOTE_HELD;
    }
  if (key_too_far_ahead (claims, entry->issued))
    return MARJORAM_VOTE_NONE;
  marjoram_claims_store_record (claims, entry);
  return MARJORAM_VOTE_YES;
}

/* Fills HELD with up to REPORTED_ATTEMPTS_MAX known attempts for KEY.  Returns
   their count.  */
size_t
marjoram_claims_list_attempts (const marjoram_claims *claims,
                               struct marjoram_hash128 key,
                               struct marjoram_claim_entry *held)
{
  const struct marjoram_claim_record *record
      = marjoram_claim_records_find (claims->records, key);
  const struct marjoram_claim_attempt *attempt
      = marjoram_claims_find_by_key (claims, key);
  size_t count = 0;
  bool listed = false;

  for (; record && count < REPORTED_ATTEMPTS_MAX - 1; record = record->next)
    {
      marjoram_claim_record_to_entry (record, &held[count]);
      if (attempt
          && marjoram_claim_same_attempt (&held[count], &attempt->entry))
        {
          listed = true;
          if (attempt->phase == MARJORAM_CLAIM_ATTEMPT_GRANTED)
            held[count].state = MARJORAM_CLAIM_GRANTED;
        }
      count++;
    }
  if (attempt && !listed && attempt->phase != MARJORAM_CLAIM_ATTEMPT_WAITING)
    {
      held[count] = attempt->entry;
      if (attempt->phase == MARJORAM_CLAIM_ATTEMPT_GRANTED)
        held[count].state = MARJORAM_CLAIM_GRANTED;
      count++;
    }
  return count;
}

/* Asks the owners of pending attempts that conflict with ENTRY for their
   outcome.  Their replies clear attempts whose WITHDRAW was lost.  */
void
marjoram_claims_check_owners (marjoram_claims *claims,
                              const struct marjoram_claim_entry *entry,
                              const struct marjoram_claim_entry *held,
                              size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (!marjoram_claim_same_attempt (&held[i], entry)
        && held[i].state != MARJORAM_CLAIM_DONE
        && held[i].owner != (uint64_t)claims->options.self)
      marjoram_claims_send (claims, (int)held[i].owner, MARJORAM_CLAIM_CHECK,
                            &held[i]);
}

/* The refusal of a recovering host is not final, as it may vote once it has
   recovered.  If it is still recovering at the deadline, the verdict is LOST,
   because an attempt from before its restart may have run.  */
void
marjoram_claims_set_blocked (struct marjoram_claim_answers *answers, int from,
                             bool recovered)
{
  if (recovered)
    answers->blocked |= marjoram_claims_slot_bit (from);
  else
    answers->blocked_recovering |= marjoram_claims_slot_bit (from);
}

/* Checks the local records for conflicts with ATTEMPT and casts the local
   vote.  */
void
marjoram_claims_vote_locally (marjoram_claims *claims,
                              struct marjoram_claim_attempt *attempt)
{
  struct marjoram_claim_entry held[REPORTED_ATTEMPTS_MAX];
  size_t count
      = marjoram_claims_list_attempts (claims, attempt->entry.key, held);
  struct marjoram_claim_answers *answers = &attempt->answers;
  uint64_t self = marjoram_claims_slot_bit (claims->options.self);

  answers->responded |= self;
  answers->blocked &= ~self;
  answers->blocked_recovering &= ~self;
  answers->held &= ~self;
  answers->lost &= ~self;
  answers->done &= ~self;
  for (size_t i = 0; i < count; i++)
    marjoram_claims_handle_conflict (claims, attempt, claims->options.self, 0,
                                     &held[i]);
  marjoram_claims_check_owners (claims, &attempt->entry, held, count);
  if (attempt->decided || answers->yes & self)
    return;
  switch (marjoram_claims_cast_vote (claims, &attempt->entry))
    {
    case MARJORAM_VOTE_YES:
      answers->yes |= self;
      attempt->vote_incarnations[claims->options.self]
          = claims->options.incarnation;
      attempt->phase = MARJORAM_CLAIM_ATTEMPT_ASKING;
      break;
    case MARJORAM_VOTE_BLOCKED:
      marjoram_claims_set_blocked (answers, claims->options.self,
                                   claims->recovery.done);
      attempt->phase = MARJORAM_CLAIM_ATTEMPT_ASKING;
      break;
    default:
      break;
    }
}

void
marjoram_claims_request_votes (marjoram_claims *claims,
                               const struct marjoram_claim_attempt *attempt)
{
  marjoram_claims_send_all (claims,
                            attempt->phase == MARJORAM_CLAIM_ATTEMPT_ASKING
                                ? MARJORAM_CLAIM_ASK
                                : MARJORAM_CLAIM_PROBE,
                            &attempt->entry, 0);
}

void
marjoram_claims_remove_refused (marjoram_claims *claims,
                                struct marjoram_claim_attempt *attempt)
{
  if (attempt->decided && attempt->phase < MARJORAM_CLAIM_ATTEMPT_GRANTED)
    marjoram_claims_abandon (claims, attempt);
}

struct marjoram_claim_attempt *
marjoram_claims_add_attempt (marjoram_claims *claims,
                             const struct marjoram_claim_entry *entry)
{
  struct marjoram_claim_attempt *attempt = marjoram_alloc (sizeof *attempt);

  attempt->entry = *entry;
  attempt->deadline = claims->now + claims->options.timeout_ms;
  attempt->vote_incarnations = marjoram_alloc (
      claims->options.slot_count * sizeof *attempt->vote_incarnations);
  HASH_ADD (hh, claims->by_number, entry.number, sizeof entry->number,
            attempt);
  HASH_ADD (hh_key, claims->by_key, entry.key, sizeof entry->key, attempt);
  TAILQ_INSERT_TAIL (&claims->attempts, attempt, link);
  return attempt;
}
