#include "claim_attempt.h"

#include "cleanup.h"

#include <string.h>

/* A restarted host has lost its votes.  Until it has recovered them from its
   peers it votes only for keys issued after the horizon.  The previous
   incarnation cannot have voted for those, since it refused keys issued more
   than KEY_LEAD_MAX_MS ahead of its clock.  */
static void
set_clock (marjoram_claims *claims, int64_t now, int64_t wall)
{
  claims->now = now;
  claims->wall_offset = wall - now;
  if (wall > claims->wall_max)
    claims->wall_max = wall;
  if (claims->started)
    return;
  claims->started = true;
  claims->started_at = now;
  claims->horizon = wall + KEY_LEAD_MAX_MS + CLOCK_STEP_MAX_MS;
  claims->own_horizon = claims->horizon;
  claims->issue_floor = claims->horizon;
}

static void
refuse_duplicate (marjoram_claims *claims, uint64_t number,
                  const struct marjoram_claim_attempt *existing,
                  struct marjoram_hash128 digest)
{
  marjoram_claims_queue_verdict (
      claims, number,
      marjoram_hash128_equal (existing->entry.digest, digest)
          ? MARJORAM_CLAIM_RUNNING
          : MARJORAM_CLAIM_MISMATCH,
      NULL);
}

static void
acquire (marjoram_claims *claims, const struct marjoram_claim_entry *entry)
{
  const struct marjoram_claim_attempt *existing
      = marjoram_claims_find_by_key (claims, entry->key);
  struct marjoram_claim_attempt *attempt;

  if (existing)
    {
      refuse_duplicate (claims, entry->number, existing, entry->digest);
      return;
    }
  if (marjoram_claims_key_expired (claims, (int64_t)entry->issued))
    {
      marjoram_claims_queue_verdict (claims, entry->number,
                                     MARJORAM_CLAIM_EXPIRED, NULL);
      return;
    }
  attempt = marjoram_claims_add_attempt (claims, entry);
  marjoram_claims_vote_locally (claims, attempt);
  if (!attempt->decided)
    marjoram_claims_request_votes (claims, attempt);
  marjoram_claims_evaluate (claims, attempt);
  marjoram_claims_remove_refused (claims, attempt);
}

void
marjoram_claims_acquire (marjoram_claims *claims, int64_t now, int64_t wall,
                         uint64_t attempt, const char *key, int64_t issued_ms,
                         const char *digest)
{
  struct marjoram_claim_entry entry
      = { .key = marjoram_hash128_from_text (key),
          .digest = marjoram_hash128_from_text (digest),
          .owner = (uint64_t)claims->options.self,
          .incarnation = claims->options.incarnation,
          .number = attempt,
          .issued = issued_ms > 0 ? (uint64_t)issued_ms : 0,
          .state = MARJORAM_CLAIM_PENDING };

  set_clock (claims, now, wall);
  acquire (claims, &entry);
  marjoram_claims_deliver_verdicts (claims);
}

void
marjoram_claims_withdraw (marjoram_claims *claims, int64_t now,
                          uint64_t attempt)
{
  struct marjoram_claim_attempt *found
      = marjoram_claims_find_attempt (claims, attempt);

  claims->now = now;
  marjoram_claims_cancel_verdict (claims, attempt);
  if (found && found->phase != MARJORAM_CLAIM_ATTEMPT_FINISHING)
    marjoram_claims_abandon (claims, found);
}

static void
send_finish (marjoram_claims *claims, struct marjoram_claim_attempt *attempt)
{
  struct marjoram_claim_entry entry = attempt->entry;
  const struct marjoram_claim_record *record
      = marjoram_claim_records_get (claims->records, &entry);

  if (record)
    marjoram_claim_record_to_entry (record, &entry);
  marjoram_claims_send_all (claims, MARJORAM_CLAIM_FINISH, &entry,
                            attempt->acknowledged);
  attempt->resend_at
      = claims->now + ((int64_t)FINISH_RESEND_MS << attempt->send_count);
  attempt->send_count++;
}

void
marjoram_claims_finish (marjoram_claims *claims, int64_t now, uint64_t attempt,
                        const struct marjoram_stored_answer *kept)
{
  struct marjoram_claim_attempt *found
      = marjoram_claims_find_attempt (claims, attempt);
  struct marjoram_claim_entry entry;

  claims->now = now;
  if (!found || found->phase != MARJORAM_CLAIM_ATTEMPT_GRANTED)
    return;
  found->phase = MARJORAM_CLAIM_ATTEMPT_FINISHING;
  found->entry.state = MARJORAM_CLAIM_DONE;
  marjoram_claims_release_key (claims, found);
  entry = found->entry;
  if (kept && marjoram_bytes_size (kept->body) <= MARJORAM_KEPT_BODY_MAX
      && (!kept->content_type
          || strlen (kept->content_type) <= MARJORAM_KEPT_TYPE_MAX))
    entry.kept = *kept;
  marjoram_claims_store_record (claims, &entry);
  if (claims->options.slot_count == 1)
    marjoram_claims_remove_attempt (claims, found);
  else
    send_finish (claims, found);
}

/* Reports the outcome of ENTRY, if it has one, to a peer that still holds it
   as pending.  Does nothing if ENTRY is not owned by this host.  */
static void
report_outcome (marjoram_claims *claims, int to,
                const struct marjoram_claim_entry *entry)
{
  const struct marjoram_claim_attempt *attempt
      = marjoram_claims_find_attempt (claims, entry->number);
  const struct marjoram_claim_record *record;
  struct marjoram_claim_entry done;

  if (!marjoram_claims_owns (claims, entry)
      || (attempt && attempt->phase != MARJORAM_CLAIM_ATTEMPT_FINISHING))
    return;
  record = marjoram_claim_records_get (claims->records, entry);
  if (!record || record->state != MARJORAM_CLAIM_DONE)
    {
      marjoram_claims_send (claims, to, MARJORAM_CLAIM_WITHDRAW, entry);
      return;
    }
  marjoram_claim_record_to_entry (record, &done);
  marjoram_claims_send (claims, to, MARJORAM_CLAIM_FINISH, &done);
}

/* Handles ASK and PROBE.  */
static void
handle_vote_request (marjoram_claims *claims, int from,
                     const struct marjoram_claim_message *m,
                     const struct marjoram_claim_entry *entry)
{
  struct marjoram_claim_entry entries[1 + REPORTED_ATTEMPTS_MAX] = { *entry };
  struct marjoram_claim_message reply;
  enum marjoram_claim_vote given = MARJORAM_VOTE_NONE;
  size_t count;

  if (entry->owner != (uint64_t)from || entry->incarnation != m->incarnation)
    return;
  if (m->kind == MARJORAM_CLAIM_ASK)
    given = marjoram_claims_cast_vote (claims, entry);
  count = marjoram_claims_list_attempts (claims, entry->key, entries + 1);
  marjoram_claims_check_owners (claims, entry, entries + 1, count);
  reply = marjoram_claims_make_message (claims, MARJORAM_CLAIM_ANSWER, entries,
                                        1 + count);
  reply.vote = given;
  claims->ops.send (claims->context, from, &reply);
}

static void
clear_answers (struct marjoram_claim_answers *answers, uint64_t mask)
{
  answers->yes &= ~mask;
  answers->blocked &= ~mask;
  answers->blocked_recovering &= ~mask;
  answers->held &= ~mask;
  answers->rival &= ~mask;
  answers->lost &= ~mask;
  answers->done &= ~mask;
}

static void
handle_answer (marjoram_claims *claims, int from,
               const struct marjoram_claim_message *m)
{
  const struct marjoram_claim_entry *entries = m->entries.items;
  struct marjoram_claim_attempt *attempt
      = marjoram_claims_find_attempt (claims, entries[0].number);

  if (!marjoram_claims_owns (claims, &entries[0]))
    return;
  if (!attempt || attempt->decided)
    {
      if (m->vote == MARJORAM_VOTE_YES)
        report_outcome (claims, from, &entries[0]);
      return;
    }
  clear_answers (&attempt->answers, marjoram_claims_slot_bit (from));
  attempt->answers.responded |= marjoram_claims_slot_bit (from);
  attempt->vote_incarnations[from] = m->incarnation;
  if (m->vote == MARJORAM_VOTE_YES)
    attempt->answers.yes |= marjoram_claims_slot_bit (from);
  else if (m->vote == MARJORAM_VOTE_BLOCKED)
    marjoram_claims_set_blocked (&attempt->answers, from, m->recovered);
  for (size_t i = 1; i < m->entries.count; i++)
    {
      report_outcome (claims, from, &entries[i]);
      marjoram_claims_handle_conflict (claims, attempt, from, m->incarnation,
                                       &entries[i]);
    }
  marjoram_claims_evaluate (claims, attempt);
  marjoram_claims_remove_refused (claims, attempt);
}

/* Resumes a waiting attempt for KEY after a conflicting one was withdrawn.  */
static void
retry_key (marjoram_claims *claims, struct marjoram_hash128 key)
{
  struct marjoram_claim_attempt *attempt
      = marjoram_claims_find_by_key (claims, key);

  if (!attempt || attempt->phase != MARJORAM_CLAIM_ATTEMPT_WAITING)
    return;
  marjoram_claims_vote_locally (claims, attempt);
  if (!attempt->decided)
    marjoram_claims_request_votes (claims, attempt);
  marjoram_claims_evaluate (claims, attempt);
  marjoram_claims_remove_refused (claims, attempt);
}

static void
handle_withdraw (marjoram_claims *claims, int from,
                 const struct marjoram_claim_entry *entry)
{
  struct marjoram_claim_record *record
      = marjoram_claim_records_get (claims->records, entry);

  if (!record || entry->owner != (uint64_t)from
      || record->state == MARJORAM_CLAIM_DONE)
    return;
  marjoram_claim_records_remove (claims->records, record);
  retry_key (claims, entry->key);
}

static void
handle_finish (marjoram_claims *claims, int from,
               const struct marjoram_claim_entry *entry)
{
  struct marjoram_claim_entry acknowledged = *entry;

  if (entry->state != MARJORAM_CLAIM_DONE)
    return;
  if (!marjoram_claims_key_expired (claims, (int64_t)entry->issued))
    marjoram_claims_store_record (claims, entry);
  acknowledged.kept = (struct marjoram_stored_answer){ 0 };
  marjoram_claims_send (claims, from, MARJORAM_CLAIM_FINISHED, &acknowledged);
}

static void
handle_finished (marjoram_claims *claims, int from,
                 const struct marjoram_claim_entry *entry)
{
  struct marjoram_claim_attempt *attempt
      = marjoram_claims_find_attempt (claims, entry->number);
  uint64_t all
      = marjoram_claims_slot_bit (claims->options.slot_count - 1) * 2 - 1;

  if (!marjoram_claims_owns (claims, entry) || !attempt
      || attempt->phase != MARJORAM_CLAIM_ATTEMPT_FINISHING)
    return;
  attempt->acknowledged |= marjoram_claims_slot_bit (from);
  if ((attempt->acknowledged | marjoram_claims_slot_bit (claims->options.self))
      == all)
    marjoram_claims_remove_attempt (claims, attempt);
}

static void
send_state (marjoram_claims *claims, int to, uint64_t since)
{
  struct marjoram_claim_entry *entries
      = marjoram_alloc (MARJORAM_CLAIM_ENTRIES_MAX * sizeof *entries);
  struct marjoram_claim_message m = marjoram_claims_make_message (
      claims, MARJORAM_CLAIM_STATE, entries, 0);
  size_t bytes = 0;

  m.since = since;
  m.cursor = since;
  while (m.entries.count < MARJORAM_CLAIM_ENTRIES_MAX
         && bytes < STATE_BODY_BYTES)
    {
      const struct marjoram_claim_record *record
          = marjoram_claim_records_after (claims->records, to, m.cursor);

      if (!record)
        break;
      marjoram_claim_record_to_entry (record, &entries[m.entries.count]);
      bytes += marjoram_bytes_size (entries[m.entries.count].kept.body);
      m.entries.count++;
      m.cursor = record->serial;
    }
  m.more = marjoram_claim_records_after (claims->records, to, m.cursor);
  claims->ops.send (claims->context, to, &m);
  free (entries);
}

static void
request_state (marjoram_claims *claims, int peer)
{
  struct marjoram_claim_message m;

  if (!marjoram_claim_recovery_needs (&claims->recovery, peer))
    return;
  m = marjoram_claims_make_message (claims, MARJORAM_CLAIM_RECOVER, NULL, 0);
  m.since = claims->recovery.peers[peer].cursor;
  claims->ops.send (claims->context, peer, &m);
}

static void
try_recovery (marjoram_claims *claims)
{
  bool wait_for_recovering
      = claims->now < claims->started_at + claims->options.timeout_ms;

  marjoram_claim_recovery_try_finish (&claims->recovery,
                                      claims->known_incarnations,
                                      wait_for_recovering, &claims->horizon);
}

static void
handle_state (marjoram_claims *claims, int from,
              const struct marjoram_claim_message *m)
{
  const struct marjoram_claim_entry *entries = m->entries.items;
  int self = claims->options.self;

  /* Addressed to an earlier incarnation of this host.  */
  if (((struct marjoram_claim_incarnation *)m->known_incarnations.items)[self]
          .value
      != claims->options.incarnation)
    return;
  if (!marjoram_claim_recovery_receive (&claims->recovery, from, m))
    return;
  for (size_t i = 0; i < m->entries.count; i++)
    if (!marjoram_claims_key_expired (claims, (int64_t)entries[i].issued))
      marjoram_claims_store_record (claims, &entries[i]);
  if (m->more)
    request_state (claims, from);
  else
    try_recovery (claims);
}

static void
learn_incarnations (marjoram_claims *claims, int from,
                    const struct marjoram_claim_message *m)
{
  const struct marjoram_claim_incarnation *known_incarnations
      = m->known_incarnations.items;

  for (size_t i = 0; i < m->known_incarnations.count; i++)
    if (known_incarnations[i].value > claims->known_incarnations[i].value)
      claims->known_incarnations[i].value = known_incarnations[i].value;
  if (m->incarnation > claims->known_incarnations[from].value)
    claims->known_incarnations[from].value = m->incarnation;
  if (m->horizon > claims->issue_floor)
    claims->issue_floor = m->horizon;
}

static bool
well_formed (const marjoram_claims *claims, int from,
             const struct marjoram_claim_message *m)
{
  const struct marjoram_claim_entry *entries = m->entries.items;
  uint64_t slots = claims->options.slot_count;
  bool entries_optional
      = m->kind == MARJORAM_CLAIM_RECOVER || m->kind == MARJORAM_CLAIM_STATE;

  if (from < 0 || from >= claims->options.slot_count
      || from == claims->options.self || m->known_incarnations.count != slots)
    return false;
  for (size_t i = 0; i < m->entries.count; i++)
    if (entries[i].owner >= slots || entries[i].state > MARJORAM_CLAIM_DONE)
      return false;
  return entries_optional || m->entries.count > 0;
}

/* Messages from an earlier incarnation are ignored, except for WITHDRAW and
   FINISH: an outcome reported by the owner stays valid after its restart.  */
static bool
is_stale (const marjoram_claims *claims, int from,
          const struct marjoram_claim_message *m)
{
  return m->incarnation < claims->known_incarnations[from].value
         && m->kind != MARJORAM_CLAIM_WITHDRAW
         && m->kind != MARJORAM_CLAIM_FINISH;
}

static void
handle_message (marjoram_claims *claims, int from,
                const struct marjoram_claim_message *m)
{
  const struct marjoram_claim_entry *entries = m->entries.items;

  switch (m->kind)
    {
    case MARJORAM_CLAIM_ASK:
    case MARJORAM_CLAIM_PROBE:
      handle_vote_request (claims, from, m, entries);
      break;
    case MARJORAM_CLAIM_ANSWER:
      handle_answer (claims, from, m);
      break;
    case MARJORAM_CLAIM_CHECK:
      report_outcome (claims, from, entries);
      break;
    case MARJORAM_CLAIM_WITHDRAW:
      handle_withdraw (claims, from, entries);
      break;
    case MARJORAM_CLAIM_FINISH:
      handle_finish (claims, from, entries);
      break;
    case MARJORAM_CLAIM_FINISHED:
      handle_finished (claims, from, entries);
      break;
    case MARJORAM_CLAIM_RECOVER:
      send_state (claims, from, m->since);
      break;
    case MARJORAM_CLAIM_STATE:
      handle_state (claims, from, m);
      break;
    default:
      break;
    }
}

void
marjoram_claims_receive (marjoram_claims *claims, int64_t now, int from,
                         const struct marjoram_claim_message *m)
{
  if (!claims->started || !well_formed (claims, from, m))
    return;
  claims->now = now;
  if (is_stale (claims, from, m))
    return;
  learn_incarnations (claims, from, m);
  handle_message (claims, from, m);
  marjoram_claims_deliver_verdicts (claims);
}

static void
tick_attempt (marjoram_claims *claims, struct marjoram_claim_attempt *attempt)
{
  if (attempt->phase == MARJORAM_CLAIM_ATTEMPT_FINISHING)
    {
      if (claims->now < attempt->resend_at)
        return;
      if (attempt->send_count >= FINISH_SENDS_MAX)
        marjoram_claims_remove_attempt (claims, attempt);
      else
        send_finish (claims, attempt);
      return;
    }
  if (attempt->phase == MARJORAM_CLAIM_ATTEMPT_GRANTED)
    return;
  marjoram_claims_vote_locally (claims, attempt);
  marjoram_claims_evaluate (claims, attempt);
  if (!attempt->decided && claims->now >= attempt->deadline)
    marjoram_claims_time_out (claims, attempt);
  if (!attempt->decided)
    marjoram_claims_request_votes (claims, attempt);
  marjoram_claims_remove_refused (claims, attempt);
}

void
marjoram_claims_tick (marjoram_claims *claims, int64_t now, int64_t wall)
{
  struct marjoram_claim_attempt *attempt, *next;
  int64_t retention = claims->options.retention_ms;

  set_clock (claims, now, wall);
  for (int i = 0; i < claims->options.slot_count; i++)
    request_state (claims, i);
  try_recovery (claims);
  for (attempt = TAILQ_FIRST (&claims->attempts); attempt; attempt = next)
    {
      next = TAILQ_NEXT (attempt, link);
      tick_attempt (claims, attempt);
    }
  /* Records are held longer than the retention period because a key may carry
     an issue time up to KEY_LEAD_MAX_MS after the vote.  */
  marjoram_claim_records_expire (
      claims->records,
      claims->wall_max - retention - KEY_LEAD_MAX_MS - CLOCK_STEP_MAX_MS, now);
  marjoram_claims_deliver_verdicts (claims);
}

marjoram_claims *
marjoram_claims_create (const struct marjoram_claims_options *options,
                        const struct marjoram_claims_ops *ops, void *context)
{
  marjoram_claims *claims = marjoram_alloc (sizeof *claims);

  claims->options = *options;
  claims->ops = *ops;
  claims->context = context;
  claims->records = marjoram_claim_records_create ();
  claims->known_incarnations[options->self].value = options->incarnation;
  marjoram_claim_recovery_init (&claims->recovery, options->slot_count,
                                options->self);
  TAILQ_INIT (&claims->attempts);
  STAILQ_INIT (&claims->decisions);
  return claims;
}

void
marjoram_claims_destroy (marjoram_claims *claims)
{
  struct marjoram_claim_attempt *attempt, *next;

  if (!claims)
    return;
  for (attempt = TAILQ_FIRST (&claims->attempts); attempt; attempt = next)
    {
      next = TAILQ_NEXT (attempt, link);
      marjoram_claims_cancel_verdict (claims, attempt->entry.number);
      marjoram_claims_remove_attempt (claims, attempt);
    }
  marjoram_claim_records_destroy (claims->records);
  free (claims);
}

bool
marjoram_claims_ready (const marjoram_claims *claims)
{
  return claims->started
         && (claims->recovery.done
             || claims->now
                    >= claims->started_at + claims->options.timeout_ms);
}

int64_t
marjoram_claims_issue_time (const marjoram_claims *claims, int64_t wall)
{
  int64_t floor = claims->issue_floor;

  return wall > floor ? wall : floor;
}

size_t
marjoram_claims_count (const marjoram_claims *claims)
{
  return marjoram_claim_records_count (claims->records);
}

size_t
marjoram_claims_memory (const marjoram_claims *claims)
{
  size_t each = sizeof (struct marjoram_claim_attempt)
                + claims->options.slot_count * sizeof (uint64_t);

  return sizeof *claims + marjoram_claim_records_memory (claims->records)
         + HASH_COUNT (claims->by_number) * each;
}
