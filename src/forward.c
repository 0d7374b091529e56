#include "request.h"

#include "cleanup.h"
#include "host_state.h"
#include "log.h"

#include <stdio.h>
#include <string.h>

static void
fill_forward (const marjoram_host *host, int64_t now,
              const struct marjoram_request *request, bool claim_at_zone,
              struct marjoram_forward *f)
{
  struct marjoram_call *call = request->call;

  memset (f, 0, sizeof *f);
  f->request = request->attempt;
  f->id = (char *)request->id;
  f->caller = request->caller;
  f->work = call->work;
  f->method = call->method;
  f->path = call->path;
  f->headers = call->headers;
  f->body = call->body;
  f->digest = (char *)request->digest;
  f->key = call->idempotent ? NULL : call->key;
  f->budget_ms = request->deadline - now;
  f->class = call->class;
  f->prompt_tokens = call->prompt_tokens;
  f->answer_tokens = call->answer_tokens;
  f->prefix_hash = call->prefix_hash;
  f->config_number = marjoram_config_number (host->config);
  f->suspicion = marjoram_suspects_get (host->suspects, now, request->digest);
  f->stream = call->stream;
  f->claim_here = claim_at_zone;
  f->no_local_upstream = request->no_local_upstream;
}

/* Returns true if the current configuration's residency rules allow the
   request to run in ZONE.  */
static bool
is_zone_allowed (const marjoram_host *host,
                 const struct marjoram_request *request, int zone)
{
  int caller
      = marjoram_config_find_caller_by_name (host->config, request->caller);
  int work = marjoram_config_find_work (host->config, request->call->work);
  int region = marjoram_config_zone (host->config, zone)->region;

  return caller >= 0 && work >= 0
         && (marjoram_config_allowed (host->config, caller, work) >> region
             & 1);
}

void
marjoram_forward_send (marjoram_host *host, int64_t now,
                       struct marjoram_request *request, int zone,
                       bool claim_at_zone)
{
  struct marjoram_link *link = marjoram_link_to_zone (host, zone);
  struct marjoram_forward forward;

  /* Enforces residency for every forward, however the zone was chosen.  */
  if (!is_zone_allowed (host, request, zone))
    {
      marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                               MARJORAM_REASON_RESIDENCY, 0);
      return;
    }
  if (!link)
    {
      marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                               MARJORAM_REASON_LINK_DOWN,
                               MARJORAM_RETRY_AFTER_MS);
      return;
    }
  marjoram_attempt_begin (host, now, request);
  request->state = MARJORAM_REQUEST_REMOTE;
  request->remote_zone = zone;
  snprintf (request->remote_name, sizeof request->remote_name, "%s",
            marjoram_config_zone (host->config, zone)->name);
  free (request->remote_slot);
  request->remote_slot = marjoram_strdup (link->slot);
  request->remote_incarnation = link->incarnation;
  request->remote_session = link->session;
  fill_forward (host, now, request, claim_at_zone, &forward);
  marjoram_router_forward_started (host->router, now, zone, request->work);
  marjoram_counters_add (host->counters, MARJORAM_COUNTER_FORWARDED_OUT, 1);
  marjoram_log (MARJORAM_LOG_DEBUG, "request %s: forwarding to host %s",
                request->id, link->slot);
  host->ops->send (host->context, link->slot, MARJORAM_FRAME_FORWARD,
                   &forward);
}

void
marjoram_forward_cancel (marjoram_host *host, struct marjoram_request *request)
{
  struct marjoram_cancel cancel = { request->attempt };

  host->ops->send (host->context, request->remote_slot, MARJORAM_FRAME_CANCEL,
                   &cancel);
}

static void
send_revoke (marjoram_host *host, struct marjoram_request *request,
             const struct marjoram_link *link)
{
  struct marjoram_revoke revoke = { request->attempt, request->received };

  request->remote_session = link->session;
  host->ops->send (host->context, request->remote_slot, MARJORAM_FRAME_REVOKE,
                   &revoke);
}

/* Asks for the request's state after its host's link is up again.  If the host
   has restarted it has lost its state and would report "never started" for a
   request that ran, so the attempt fails with an unknown outcome instead.  */
static void
revoke_or_fail (marjoram_host *host, int64_t now,
                struct marjoram_request *request,
                const struct marjoram_link *link)
{
  if (link->incarnation == request->remote_incarnation)
    send_revoke (host, request, link);
  else
    marjoram_request_failed (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                             MARJORAM_REASON_LINK_DOWN,
                             MARJORAM_RETRY_AFTER_MS, false);
}

void
marjoram_forward_link_up (marjoram_host *host, int64_t now, const char *slot)
{
  const struct marjoram_link *link = marjoram_link_find (host, slot);
  struct marjoram_request *request = TAILQ_FIRST (&host->requests->all);
  struct marjoram_request *next;

  for (; request; request = next)
    {
      next = TAILQ_NEXT (request, all);
      if (request->attempt && request->state == MARJORAM_REQUEST_REMOTE
          && request->revoke_pending
          && strcmp (request->remote_slot, slot) == 0)
        revoke_or_fail (host, now, request, link);
    }
}

/* If the link that carried the request was lost or replaced, asks for the
   request by its number over the new link: it may still be running.  */
static void
check_link (marjoram_host *host, int64_t now, struct marjoram_request *request)
{
  const struct marjoram_link *link
      = marjoram_link_find (host, request->remote_slot);
  bool lost = !link || !link->up || link->session != request->remote_session;

  if (!lost)
    return;
  request->revoke_pending = true;
  request->progress = now;
  if (link && link->up)
    revoke_or_fail (host, now, request, link);
}

void
marjoram_forward_tick (marjoram_host *host, int64_t now,
                       struct marjoram_request *request)
{
  if (!request->attempt)
    return;
  if (!request->revoke_pending)
    check_link (host, now, request);
  else if (request->call->idempotent && !request->head_delivered
           && now - request->progress >= MARJORAM_REVOKE_WAIT_MS)
    /* No new link in time: an idempotent request is retried elsewhere.  */
    marjoram_request_failed (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                             MARJORAM_REASON_LINK_DOWN,
                             MARJORAM_RETRY_AFTER_MS, false);
}

static void
handle_data (marjoram_host *host, int64_t now,
             struct marjoram_request *request,
             const struct marjoram_data *data)
{
  /* Skips data already received over an earlier link.  A gap can't be filled,
     so the attempt fails.  */
  if (data->offset < request->received)
    return;
  if (data->offset > request->received)
    {
      marjoram_forward_cancel (host, request);
      marjoram_request_failed (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                               MARJORAM_REASON_UPSTREAM_FAILED, 0, false);
      return;
    }
  marjoram_request_data (host, now, request, data->bytes);
}

static bool
forbids_retry (enum marjoram_reason reason)
{
  return reason == MARJORAM_REASON_CONVICTED
         || reason == MARJORAM_REASON_CLAIM_BUSY
         || reason == MARJORAM_REASON_CLAIM_MISMATCH
         || reason == MARJORAM_REASON_CLAIM_NO_QUORUM
         || reason == MARJORAM_REASON_KEY_EXPIRED
         || reason == MARJORAM_REASON_KEY_MISSING
         || reason == MARJORAM_REASON_BAD_REQUEST;
}

static void
update_suspicion (marjoram_host *host, int64_t now,
                  const struct marjoram_request *request,
                  const struct marjoram_end *end)
{
  struct marjoram_suspect_message suspect = { 0 };

  if (end->crashes == 0)
    return;
  suspect.digest = (char *)request->digest;
  suspect.crashes = end->crashes;
  suspect.suspicion = end->reason == MARJORAM_REASON_CONVICTED
                          ? MARJORAM_SUSPICION_CONVICTED
                          : MARJORAM_SUSPICION_SUSPECT;
  marjoram_host_process_suspect (host, now, request->remote_slot, &suspect);
}

static void
handle_end (marjoram_host *host, int64_t now, struct marjoram_request *request,
            const struct marjoram_end *end)
{
  enum marjoram_reason reason = (enum marjoram_reason)end->reason;

  update_suspicion (host, now, request, end);
  if (end->outcome == MARJORAM_OUTCOME_DONE)
    {
      if (request->has_head && end->length == request->received)
        marjoram_request_done (host, now, request);
      else
        marjoram_request_failed (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                                 MARJORAM_REASON_UPSTREAM_FAILED, 0, false);
      return;
    }
  if (end->outcome > MARJORAM_OUTCOME_UNKNOWN
      || end->reason >= MARJORAM_REASON_COUNT)
    reason = MARJORAM_REASON_UPSTREAM_FAILED;
  marjoram_request_failed (host, now, request,
                           end->outcome == MARJORAM_OUTCOME_NOT_RUN
                               ? MARJORAM_OUTCOME_NOT_RUN
                               : MARJORAM_OUTCOME_UNKNOWN,
                           reason, end->retry_ms, forbids_retry (reason));
}

static void
handle_revoked (marjoram_host *host, int64_t now,
                struct marjoram_request *request,
                const struct marjoram_revoked *revoked)
{
  if (!request->revoke_pending)
    return;
  request->revoke_pending = false;
  request->progress = now;
  if (revoked->never_started)
    marjoram_request_failed (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                             MARJORAM_REASON_LINK_DOWN,
                             MARJORAM_RETRY_AFTER_MS, false);
  else if (!revoked->known)
    marjoram_request_failed (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                             MARJORAM_REASON_LINK_DOWN, 0, true);
}

/* A frame is accepted only from the host that its attempt was sent to.  */
void
marjoram_forward_handle_frame (marjoram_host *host, int64_t now,
                               const char *slot, enum marjoram_frame_type type,
                               const void *message)
{
  uint64_t number = *(const uint64_t *)message;
  struct marjoram_request *request
      = marjoram_request_by_attempt (host, number);

  if (!request || request->state != MARJORAM_REQUEST_REMOTE
      || strcmp (request->remote_slot, slot) != 0)
    return;
  request->progress = now;
  switch (type)
    {
    case MARJORAM_FRAME_HEAD:
      marjoram_request_head (host, now, request, message);
      break;
    case MARJORAM_FRAME_DATA:
      handle_data (host, now, request, message);
      break;
    case MARJORAM_FRAME_END:
      handle_end (host, now, request, message);
      break;
    case MARJORAM_FRAME_REVOKED:
      handle_revoked (host, now, request, message);
      break;
    default:
      break;
    }
}
