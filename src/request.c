#include "request.h"

#include "cleanup.h"
#include "digest.h"
#include "host_state.h"
#include "log.h"

#include <stdio.h>
#include <string.h>

struct marjoram_requests *
marjoram_requests_create (void)
{
  struct marjoram_requests *requests = marjoram_alloc (sizeof *requests);

  TAILQ_INIT (&requests->all);
  requests->next_attempt = 1;
  return requests;
}

static void
request_destroy (marjoram_host *host, struct marjoram_request *request)
{
  struct marjoram_requests *requests = host->requests;

  TAILQ_REMOVE (&requests->all, request, all);
  requests->count--;
  if (!request->peer)
    HASH_DELETE (by_call, requests->by_call, request);
  if (request->attempt)
    HASH_DELETE (by_attempt, requests->by_attempt, request);
  if (request->claim)
    HASH_DELETE (by_claim, requests->by_claim, request);
  marjoram_answer_clear (request);
  marjoram_call_destroy (request->call);
  free (request->caller);
  free (request->peer);
  free (request->remote_slot);
  free (request);
}

void
marjoram_requests_destroy (marjoram_host *host)
{
  struct marjoram_request *request;

  while ((request = TAILQ_FIRST (&host->requests->all)))
    request_destroy (host, request);
  free (host->requests);
}

struct marjoram_request *
marjoram_request_create (marjoram_host *host, int64_t now,
                         const struct marjoram_origin_ops *origin,
                         struct marjoram_call *call)
{
  const char *const texts[] = { call->work, call->method, call->path };
  struct marjoram_request *request = marjoram_alloc (sizeof *request);

  request->origin = origin;
  request->call = call;
  request->arrived = now;
  request->remote_zone = -1;
  STAILQ_INIT (&request->chunks);
  request->held = &host->requests->answer_bytes;
  marjoram_digest_request (texts, sizeof texts / sizeof *texts, call->body,
                           request->digest);
  TAILQ_INSERT_TAIL (&host->requests->all, request, all);
  host->requests->count++;
  return request;
}

struct marjoram_request *
marjoram_request_by_attempt (const marjoram_host *host, uint64_t attempt)
{
  struct marjoram_request *request;

  HASH_FIND (by_attempt, host->requests->by_attempt, &attempt, sizeof attempt,
             request);
  return request;
}

/* Returns true if a refusal proves that the request did not run.  If its key
   may have been sent before, only a granted claim shows that no earlier
   sending ran.  */
static bool
refusal_proves_not_run (const struct marjoram_request *request)
{
  return request->call->idempotent || request->call->first_sending
         || request->granted;
}

void
marjoram_request_count_outcome (marjoram_host *host,
                                const struct marjoram_request *request,
                                enum marjoram_outcome outcome)
{
  static const enum marjoram_counter counters[]
      = { MARJORAM_COUNTER_DONE, MARJORAM_COUNTER_NOT_RUN,
          MARJORAM_COUNTER_UNKNOWN };

  marjoram_counters_add (host->counters, counters[outcome], 1);
  if (outcome != MARJORAM_OUTCOME_DONE)
    marjoram_counters_add_refusal (host->counters, request->reason);
}

void
marjoram_request_settle (marjoram_host *host, int64_t now,
                         struct marjoram_request *request)
{
  request->answered = true;
  if (request->peer && !request->abandoned)
    request->orphaned_at = now;
  else
    request_destroy (host, request);
}

/* Withdraws or finishes the claim of a request that ends without an answer.
 */
static void
settle_claim (marjoram_host *host, int64_t now,
              const struct marjoram_request *request)
{
  bool undecided
      = request->claim && request->state == MARJORAM_REQUEST_CLAIMING;
  bool not_run = request->outcome == MARJORAM_OUTCOME_NOT_RUN;

  if (undecided || (request->granted && not_run))
    marjoram_claims_withdraw (host->claims, now, request->claim);
  else if (request->granted)
    marjoram_claims_finish (host->claims, now, request->claim, NULL);
}

void
marjoram_request_refuse (marjoram_host *host, int64_t now,
                         struct marjoram_request *request,
                         enum marjoram_outcome outcome,
                         enum marjoram_reason reason, int64_t retry_ms)
{
  marjoram_attempt_release (host, now, request, true);
  if (outcome == MARJORAM_OUTCOME_NOT_RUN && request->may_have_run)
    outcome = MARJORAM_OUTCOME_UNKNOWN;
  if (outcome == MARJORAM_OUTCOME_NOT_RUN && !refusal_proves_not_run (request))
    outcome = MARJORAM_OUTCOME_UNKNOWN;
  request->outcome = outcome;
  request->reason = reason;
  settle_claim (host, now, request);
  marjoram_request_count_outcome (host, request, outcome);
  marjoram_log (MARJORAM_LOG_INFO, "request %s: outcome %s, reason %s",
                request->id, marjoram_outcome_name (outcome),
                marjoram_reason_name (reason));
  if (!request->abandoned)
    request->origin->fail (host, request, retry_ms);
  marjoram_request_settle (host, now, request);
}

void
marjoram_request_abandon (marjoram_host *host, int64_t now,
                          struct marjoram_request *request)
{
  request->abandoned = true;
  if (request->answered)
    {
      request_destroy (host, request);
      return;
    }
  /* A non-idempotent request that may have started runs on: its answer is
     stored for replay when the caller sends the key again.  */
  if (!request->call->idempotent
      && (request->granted || request->claim
          || request->state == MARJORAM_REQUEST_REMOTE || request->peer))
    return;
  marjoram_counters_add (host->counters, MARJORAM_COUNTER_CANCELLED, 1);
  marjoram_attempt_cancel (host, now, request);
  request_destroy (host, request);
}

/* Ends a request for REASON before its answer has begun.  The caller is told
   at once; a non-idempotent request that may have started runs on, abandoned.
 */
static void
give_up (marjoram_host *host, int64_t now, struct marjoram_request *request,
         enum marjoram_reason reason)
{
  bool running = request->state != MARJORAM_REQUEST_CLAIMING
                 && request->state != MARJORAM_REQUEST_WAITING
                 && request->state != MARJORAM_REQUEST_RESERVING;

  bool local = request->state == MARJORAM_REQUEST_LOCAL && request->attempt;

  if (request->call->idempotent || !running)
    {
      marjoram_attempt_cancel (host, now, request);
      /* After the cancellation, which clears the wait.  */
      if (local && reason == MARJORAM_REASON_DEADLINE)
        marjoram_members_request_waited (host->members, now, request->upstream,
                                         now - request->attempt_started);
      marjoram_request_refuse (host, now, request,
                               running ? MARJORAM_OUTCOME_UNKNOWN
                                       : MARJORAM_OUTCOME_NOT_RUN,
                               reason, 0);
      return;
    }
  request->outcome = MARJORAM_OUTCOME_UNKNOWN;
  request->reason = reason;
  marjoram_request_count_outcome (host, request, MARJORAM_OUTCOME_UNKNOWN);
  request->origin->fail (host, request, MARJORAM_RETRY_AFTER_MS);
  request->abandoned = true;
}

/* Returns true if the upstream's lease has expired.  An upstream that
   deregistered still finishes its requests, so it does not count.  */
static bool
is_lease_expired (const marjoram_host *host, int64_t now, const char *name)
{
  for (size_t i = 0; i < marjoram_members_count (host->members); i++)
    {
      const struct marjoram_upstream *upstream
          = marjoram_members_at (host->members, i);

      if (strcmp (upstream->announcement->name, name) == 0)
        return !upstream->announcement->leaving && now >= upstream->expires;
    }
  return true;
}

static void
fail_silent_attempt (marjoram_host *host, int64_t now,
                     struct marjoram_request *request)
{
  host->ops->cancel (host->context, request->attempt);
  marjoram_members_mark_dead (host->members, now, request->upstream);
  marjoram_request_failed (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                           MARJORAM_REASON_UPSTREAM_SILENT,
                           MARJORAM_RETRY_AFTER_MS, false);
}

static void
resume_answer (marjoram_host *host, int64_t now,
               struct marjoram_request *request)
{
  request->resuming = true;
  request->progress = now;
  /* Exponential backoff: limits the load of resumes on an engine with
     thousands of slow streams.  */
  if (request->resume_timeout < MARJORAM_RESUME_INTERVAL_MAX_MS)
    request->resume_timeout *= 2;
  host->ops->resume (host->context, request->attempt, request->address,
                     request->id, request->received);
}

/* Detects an upstream connection that has gone silent while the request may
   still run.  Sending the request again could run it twice, so an engine is
   asked to resume the answer by request id on a new connection.  A plain
   service can't resume: its attempt fails once its lease has expired too.  */
static void
check_silence (marjoram_host *host, int64_t now,
               struct marjoram_request *request)
{
  int64_t silent = now - request->progress;
  bool timed_out
      = request->can_resume
            ? request->resuming && silent >= MARJORAM_RESUME_WAIT_MS
            : silent >= MARJORAM_SERVICE_SILENT_MS
                  && is_lease_expired (host, now, request->upstream);

  if (timed_out)
    fail_silent_attempt (host, now, request);
  else if (request->can_resume && !request->resuming
           && silent >= request->resume_timeout)
    resume_answer (host, now, request);
}

/* Returns true for a forwarded request whose link was lost and not restored
   within MARJORAM_ORPHAN_MS.  */
static bool
is_orphan (const struct marjoram_request *request, int64_t now)
{
  return request->peer && !request->peer_session && !request->abandoned
         && now - request->orphaned_at >= MARJORAM_ORPHAN_MS;
}

/* Returns true for an abandoned request at a host that has been unreachable
   until MARJORAM_ORPHAN_MS after the deadline.  */
static bool
is_unreachable (const struct marjoram_request *request, int64_t now)
{
  return request->abandoned && request->revoke_pending
         && request->state == MARJORAM_REQUEST_REMOTE
         && now - request->deadline >= MARJORAM_ORPHAN_MS;
}

/* Whether the request may still get an error in place of its answer.  */
static bool
has_no_answer (const struct marjoram_request *request)
{
  return !request->answered && !request->abandoned && !request->head_delivered
         && !(request->peer && request->has_head);
}

static void
tick_request (marjoram_host *host, int64_t now,
              struct marjoram_request *request)
{
  if (request->answered)
    {
      if (now - request->orphaned_at >= MARJORAM_ORPHAN_MS)
        request_destroy (host, request);
      return;
    }
  if (is_orphan (request, now))
    {
      marjoram_request_abandon (host, now, request);
      return;
    }
  if (is_unreachable (request, now))
    {
      marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                               MARJORAM_REASON_LINK_DOWN, 0);
      return;
    }
  if (now >= request->deadline && has_no_answer (request))
    {
      give_up (host, now, request, MARJORAM_REASON_DEADLINE);
      return;
    }
  if (request->state == MARJORAM_REQUEST_LOCAL && request->attempt)
    check_silence (host, now, request);
  else if (request->state == MARJORAM_REQUEST_RESERVING && request->attempt
           && now - request->progress >= MARJORAM_RESERVE_MS)
    marjoram_attempt_finish_reservation (host, now, request);
  else if (request->state == MARJORAM_REQUEST_WAITING
           && now - request->progress >= MARJORAM_RESERVE_MS)
    marjoram_attempt_dispatch (host, now, request);
  else if (request->state == MARJORAM_REQUEST_REMOTE)
    marjoram_forward_tick (host, now, request);
  else if (request->state == MARJORAM_REQUEST_PROBING
           && now - request->progress >= MARJORAM_PROBE_MS)
    marjoram_request_failed (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                             MARJORAM_REASON_UPSTREAM_FAILED, 0, false);
}

void
marjoram_requests_tick (marjoram_host *host, int64_t now)
{
  struct marjoram_request *request = TAILQ_FIRST (&host->requests->all);
  struct marjoram_request *next;

  for (; request; request = next)
    {
      next = TAILQ_NEXT (request, all);
      tick_request (host, now, request);
    }
}

void
marjoram_requests_give_up (marjoram_host *host, int64_t now)
{
  struct marjoram_request *request = TAILQ_FIRST (&host->requests->all);
  struct marjoram_request *next;

  for (; request; request = next)
    {
      next = TAILQ_NEXT (request, all);
      if (has_no_answer (request))
        give_up (host, now, request, MARJORAM_REASON_DRAINING);
    }
}
