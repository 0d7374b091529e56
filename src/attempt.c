#include "request.h"

#include "cleanup.h"
#include "host_state.h"
#include "log.h"

#include <stdio.h>
#include <string.h>

void
marjoram_attempt_release (marjoram_host *host, int64_t now,
                          struct marjoram_request *request, bool failed)
{
  if (!request->attempt)
    return;
  HASH_DELETE (by_attempt, host->requests->by_attempt, request);
  request->attempt = 0;
  if (request->state == MARJORAM_REQUEST_REMOTE)
    marjoram_router_forward_ended (host->router, now, request->remote_zone,
                                   request->work, failed);
  else
    {
      marjoram_members_request_ended (host->members, now, request->upstream,
                                      failed);
      marjoram_suspects_ended (host->suspects, now, request->upstream,
                               request->digest);
    }
}

void
marjoram_attempt_begin (marjoram_host *host, int64_t now,
                        struct marjoram_request *request)
{
  request->attempt = host->requests->next_attempt++;
  request->attempt_started = now;
  request->progress = now;
  request->first_byte = 0;
  request->resume_timeout = MARJORAM_UPSTREAM_SILENT_MS;
  request->resuming = false;
  request->revoke_pending = false;
  request->received = 0;
  marjoram_answer_clear (request);
  HASH_ADD (by_attempt, host->requests->by_attempt, attempt,
            sizeof request->attempt, request);
}

enum
{
  RESERVE_JITTER_MS = 500
};

static void
run_at_upstream (marjoram_host *host, int64_t now,
                 struct marjoram_request *request)
{
  const struct marjoram_call *call = request->call;
  struct marjoram_run run = { 0 };

  request->state = MARJORAM_REQUEST_LOCAL;
  request->attempt_started = now;
  request->progress = now;
  run.address = request->address;
  run.id = request->id;
  run.method = call->method;
  run.path = call->path;
  run.headers = &call->headers;
  run.body = call->body;
  run.key = call->idempotent ? NULL : call->key;
  run.class = call->class;
  run.fresh = !call->idempotent;
  marjoram_log (MARJORAM_LOG_DEBUG, "request %s: sending to upstream %s",
                request->id, request->upstream);
  host->ops->run (host->context, request->attempt, &run);
}

/* Starts the request at the chosen upstream.  Two suspects must not run at the
   same upstream, since its crash would then convict neither, and two hosts may
   dispatch suspects at the same time.  So a suspect first announces its
   upstream to the zone, and runs after MARJORAM_RESERVE_MS if no other suspect
   was announced there.  */
static void
run_locally (marjoram_host *host, int64_t now,
             struct marjoram_request *request,
             const struct marjoram_choice *choice)
{
  const struct marjoram_upstream *upstream
      = marjoram_members_find (host->members, now, choice->upstream);

  marjoram_attempt_begin (host, now, request);
  snprintf (request->upstream, sizeof request->upstream, "%s",
            choice->upstream);
  snprintf (request->address, sizeof request->address, "%s",
            upstream->announcement->address);
  request->can_resume = upstream->announcement->engine;
  request->upstream_incarnation = upstream->announcement->incarnation;
  marjoram_members_request_started (host->members, request->upstream);
  marjoram_suspects_started (host->suspects, now, request->upstream,
                             request->digest);
  if (marjoram_suspects_get (host->suspects, now, request->digest)
      == MARJORAM_SUSPICION_SUSPECT)
    request->state = MARJORAM_REQUEST_RESERVING;
  else
    run_at_upstream (host, now, request);
}

void
marjoram_attempt_finish_reservation (marjoram_host *host, int64_t now,
                                     struct marjoram_request *request)
{
  if (marjoram_suspects_may_start (host->suspects, now, request->upstream,
                                   request->digest))
    {
      run_at_upstream (host, now, request);
      return;
    }
  /* Random jitter, so that conflicting suspects don't collide again.  */
  marjoram_attempt_release (host, now, request, false);
  request->state = MARJORAM_REQUEST_WAITING;
  request->progress
      = now + marjoram_random_below (host->random, RESERVE_JITTER_MS);
}

void
marjoram_attempt_query (const marjoram_host *host,
                        const struct marjoram_request *request,
                        struct marjoram_query *query)
{
  const struct marjoram_call *call = request->call;

  memset (query, 0, sizeof *query);
  query->caller
      = marjoram_config_find_caller_by_name (host->config, request->caller);
  query->work = marjoram_config_find_work (host->config, call->work);
  query->class = call->class;
  query->deadline = request->deadline;
  query->prompt_tokens = call->prompt_tokens;
  query->answer_tokens = call->answer_tokens;
  query->prefix_hash = call->prefix_hash;
  query->digest = request->digest;
  query->forwarded = request->peer != NULL;
  query->no_local_upstream = request->no_local_upstream;
  query->tried_count = request->tried_count;
  for (int i = 0; i < request->tried_count; i++)
    query->tried[i] = request->tried[i];
  query->zones_tried_count = request->zones_tried_count;
  memcpy (query->zones_tried, request->zones_tried, sizeof query->zones_tried);
}

static bool
was_tried (const struct marjoram_request *request, const char *upstream)
{
  for (int i = 0; i < request->tried_count; i++)
    if (strcmp (request->tried[i], upstream) == 0)
      return true;
  return false;
}

static bool
runs_work (const struct marjoram_announcement *announcement, const char *name)
{
  const struct marjoram_work_name *work = announcement->works.items;

  for (size_t i = 0; i < announcement->works.count; i++)
    if (strcmp (work[i].name, name) == 0)
      return true;
  return false;
}

/* Returns true if the request is a suspect and usable upstreams remain that it
   has not tried.  They are occupied by other suspects, so the request waits
   for those to end instead of being refused.  */
static bool
must_wait_for_suspects (const marjoram_host *host, int64_t now,
                        const struct marjoram_request *request)
{
  if (marjoram_suspects_get (host->suspects, now, request->digest)
      != MARJORAM_SUSPICION_SUSPECT)
    return false;
  for (size_t i = 0; i < marjoram_members_count (host->members); i++)
    {
      const struct marjoram_upstream *upstream
          = marjoram_members_at (host->members, i);

      if (marjoram_upstream_usable (upstream, now)
          && runs_work (upstream->announcement, request->call->work)
          && !was_tried (request, upstream->announcement->name))
        return true;
    }
  return false;
}

void
marjoram_attempt_dispatch (marjoram_host *host, int64_t now,
                           struct marjoram_request *request)
{
  struct marjoram_choice choice = { 0 };
  struct marjoram_query query;

  marjoram_attempt_query (host, request, &query);
  if (query.caller < 0 || query.work < 0)
    {
      marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                               MARJORAM_REASON_CONFIG_CHANGED, 0);
      return;
    }
  request->work = query.work;
  marjoram_router_choose (host->router, now, &query, &choice);
  switch (choice.verdict)
    {
    case MARJORAM_VERDICT_LOCAL:
      run_locally (host, now, request, &choice);
      return;
    case MARJORAM_VERDICT_FORWARD:
      request->no_local_upstream = choice.no_local_upstream;
      marjoram_forward_send (host, now, request, choice.zone, false);
      return;
    case MARJORAM_VERDICT_REFUSE:
      break;
    }
  if (choice.reason != MARJORAM_REASON_CONVICTED
      && must_wait_for_suspects (host, now, request))
    {
      request->state = MARJORAM_REQUEST_WAITING;
      request->progress = now;
      return;
    }
  if (request->reason == MARJORAM_REASON_NONE
      || choice.reason == MARJORAM_REASON_CONVICTED)
    request->reason = choice.reason;
  marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                           request->reason, choice.retry_ms);
}

static void
add_tried (struct marjoram_request *request)
{
  if (request->state == MARJORAM_REQUEST_REMOTE)
    {
      if (request->zones_tried_count < MARJORAM_TRIED_MAX)
        request->zones_tried[request->zones_tried_count++]
            = request->remote_zone;
    }
  else if (request->tried_count < MARJORAM_TRIED_MAX)
    memcpy (request->tried[request->tried_count++], request->upstream,
            sizeof request->upstream);
}

/* Only the host that received the request from its caller retries, so that
   attempts don't multiply along the path.  A retry requires an idempotent
   request or proof that the attempt did not run, and that no part of an answer
   has been delivered: output of two upstreams is never mixed.  */
static bool
may_retry (marjoram_host *host, int64_t now,
           const struct marjoram_request *request,
           enum marjoram_outcome outcome)
{
  if (request->peer || request->abandoned || request->head_delivered)
    return false;
  if (outcome != MARJORAM_OUTCOME_NOT_RUN && !request->call->idempotent)
    return false;
  if (now >= request->deadline
      || request->tried_count + request->zones_tried_count
             >= MARJORAM_TRIED_MAX)
    return false;
  return marjoram_router_retry (host->router, now);
}

/* A non-idempotent request whose key belongs to another zone has no claim
   here.  It is sent to that zone again: routed from here it would run
   unclaimed, and a resend by the caller would run it a second time.  */
static void
retry (marjoram_host *host, int64_t now, struct marjoram_request *request)
{
  if (request->call->idempotent || request->granted)
    marjoram_attempt_dispatch (host, now, request);
  else
    marjoram_request_start (host, now, request);
}

void
marjoram_request_failed (marjoram_host *host, int64_t now,
                         struct marjoram_request *request,
                         enum marjoram_outcome outcome,
                         enum marjoram_reason reason, int64_t retry_ms,
                         bool final)
{
  bool answer_started = request->head_delivered;

  add_tried (request);
  marjoram_attempt_release (host, now, request, true);
  if (outcome != MARJORAM_OUTCOME_NOT_RUN)
    request->may_have_run = true;
  if (!final && may_retry (host, now, request, outcome))
    {
      marjoram_counters_add_retry (host->counters, reason);
      marjoram_log (MARJORAM_LOG_INFO, "request %s: retrying after %s",
                    request->id, marjoram_reason_name (reason));
      request->reason = reason;
      retry (host, now, request);
      return;
    }
  marjoram_request_refuse (host, now, request,
                           answer_started ? MARJORAM_OUTCOME_UNKNOWN : outcome,
                           reason, retry_ms);
}

void
marjoram_attempt_cancel (marjoram_host *host, int64_t now,
                         struct marjoram_request *request)
{
  if (!request->attempt)
    return;
  if (request->state == MARJORAM_REQUEST_REMOTE)
    marjoram_forward_cancel (host, request);
  else
    host->ops->cancel (host->context, request->attempt);
  marjoram_attempt_release (host, now, request, false);
}
