#include "request.h"

#include "cleanup.h"
#include "host_state.h"
#include "log.h"

#include <stdio.h>
#include <string.h>

static void
peer_head (marjoram_host *host, struct marjoram_request *request,
           const struct marjoram_head *head, int64_t length)
{
  struct marjoram_head copy = *head;

  (void)length;
  copy.request = request->peer_number;
  if (request->peer_session)
    host->ops->reply (host->context, request->peer, request->peer_session,
                      MARJORAM_FRAME_HEAD, &copy);
}

static void
peer_data (marjoram_host *host, struct marjoram_request *request,
           marjoram_bytes *bytes)
{
  struct marjoram_data data
      = { request->peer_number,
          request->delivered - marjoram_bytes_size (bytes), bytes };

  if (request->peer_session)
    host->ops->reply (host->context, request->peer, request->peer_session,
                      MARJORAM_FRAME_DATA, &data);
}

static void
reply_end (marjoram_host *host, struct marjoram_request *request,
           int64_t retry_ms)
{
  struct marjoram_end end = { .request = request->peer_number,
                              .outcome = request->outcome,
                              .reason = request->reason,
                              .length = request->delivered,
                              .retry_ms = retry_ms,
                              .crashes = request->crashes };

  if (request->peer_session)
    host->ops->reply (host->context, request->peer, request->peer_session,
                      MARJORAM_FRAME_END, &end);
}

static void
peer_end (marjoram_host *host, struct marjoram_request *request)
{
  reply_end (host, request, 0);
}

static void
peer_fail (marjoram_host *host, struct marjoram_request *request,
           int64_t retry_ms)
{
  reply_end (host, request, retry_ms);
}

static const struct marjoram_origin_ops peer_origin
    = { peer_head, peer_data, peer_end, peer_fail };

static char *
copy_text (const char *text)
{
  return marjoram_strdup (text ? text : "");
}

static struct marjoram_call *
make_call (const struct marjoram_forward *forward)
{
  struct marjoram_call *call = marjoram_alloc (sizeof *call);
  struct marjoram_head from = { .headers = forward->headers };
  struct marjoram_head to;

  marjoram_request_copy_head (&to, &from);
  call->headers = to.headers;
  call->work = copy_text (forward->work);
  call->method = copy_text (forward->method);
  call->path = copy_text (forward->path);
  call->token = marjoram_strdup ("");
  call->body = marjoram_bytes_retain (forward->body);
  call->key = forward->key ? marjoram_strdup (forward->key) : NULL;
  call->idempotent = forward->key == NULL;
  /* Whether the key was sent before is checked by the forwarding host.  */
  call->first_sending = true;
  call->stream = forward->stream;
  call->class = forward->class == MARJORAM_CLASS_OVERNIGHT
                    ? MARJORAM_CLASS_OVERNIGHT
                    : MARJORAM_CLASS_INTERACTIVE;
  call->prompt_tokens = forward->prompt_tokens;
  call->answer_tokens = forward->answer_tokens;
  call->prefix_hash = forward->prefix_hash;
  return call;
}

static struct marjoram_request *
find_forwarded (const marjoram_host *host, const char *slot,
                uint64_t incarnation, uint64_t number)
{
  struct marjoram_request *request;

  TAILQ_FOREACH (request, &host->requests->all, all)
  {
    if (request->peer && request->peer_number == number
        && request->peer_incarnation == incarnation
        && strcmp (request->peer, slot) == 0)
      return request;
  }
  return NULL;
}

static void
reply_not_run (marjoram_host *host, const char *slot, uint64_t session,
               uint64_t number, enum marjoram_reason reason)
{
  struct marjoram_end end = { .request = number,
                              .outcome = MARJORAM_OUTCOME_NOT_RUN,
                              .reason = reason,
                              .retry_ms = MARJORAM_RETRY_AFTER_MS };

  marjoram_counters_add_refusal (host->counters, reason);
  host->ops->reply (host->context, slot, session, MARJORAM_FRAME_END, &end);
}

/* Validates a forwarded request by this host's configuration.  The sender's
   may be older, and must not override a residency rule that has changed since.
 */
static enum marjoram_reason
check_forward (const marjoram_host *host,
               const struct marjoram_forward *forward)
{
  int caller;
  int work;
  int region;

  if (!host->config || host->zone < 0)
    return MARJORAM_REASON_NO_CONFIG;
  if (host->draining)
    return MARJORAM_REASON_DRAINING;
  if (!forward->caller || !forward->work || !forward->id)
    return MARJORAM_REASON_BAD_REQUEST;
  caller = marjoram_config_find_caller_by_name (host->config, forward->caller);
  work = marjoram_config_find_work (host->config, forward->work);
  if (caller < 0 || work < 0)
    return MARJORAM_REASON_CONFIG_CHANGED;
  region = marjoram_config_zone (host->config, host->zone)->region;
  if (!(marjoram_config_allowed (host->config, caller, work) >> region & 1))
    return MARJORAM_REASON_RESIDENCY;
  if (forward->budget_ms <= 0)
    return MARJORAM_REASON_DEADLINE;
  return MARJORAM_REASON_NONE;
}

void
marjoram_relay_accept (marjoram_host *host, int64_t now, const char *slot,
                       uint64_t session, uint64_t incarnation,
                       const struct marjoram_forward *forward)
{
  struct marjoram_sender *sender
      = marjoram_sender_get (host, slot, incarnation);
  enum marjoram_reason reason = check_forward (host, forward);
  struct marjoram_request *request;

  if (incarnation < sender->incarnation || forward->request <= sender->highest)
    return;
  sender->highest = forward->request;
  if (reason != MARJORAM_REASON_NONE)
    {
      reply_not_run (host, slot, session, forward->request, reason);
      return;
    }
  marjoram_counters_add (host->counters, MARJORAM_COUNTER_FORWARDED_IN, 1);
  request
      = marjoram_request_create (host, now, &peer_origin, make_call (forward));
  snprintf (request->id, sizeof request->id, "%s", forward->id);
  request->caller = marjoram_strdup (forward->caller);
  request->peer = marjoram_strdup (slot);
  request->peer_incarnation = incarnation;
  request->peer_session = session;
  request->peer_number = forward->request;
  request->claim_here = forward->claim_here;
  request->no_local_upstream
      = forward->no_local_upstream || forward->claim_here;
  request->deadline = now + forward->budget_ms;
  if (forward->suspicion != MARJORAM_SUSPICION_NONE)
    {
      struct marjoram_suspect_message suspect = { 0 };

      suspect.digest = request->digest;
      suspect.suspicion = forward->suspicion;
      suspect.crashes = 1;
      marjoram_suspects_apply (host->suspects, now, &suspect);
    }
  marjoram_request_start (host, now, request);
}

static void
resend_answer (marjoram_host *host, struct marjoram_request *request,
               uint64_t offset)
{
  struct marjoram_chunk *chunk;
  uint64_t position = 0;

  if (request->head_delivered)
    peer_head (host, request, &request->head, -1);
  STAILQ_FOREACH (chunk, &request->chunks, next)
  {
    struct marjoram_data data
        = { request->peer_number, position, chunk->bytes };

    /* Skips what the forwarding host has received.  It receives whole chunks
       only, so OFFSET is the start of one.  */
    if (position >= offset && position < request->delivered)
      host->ops->reply (host->context, request->peer, request->peer_session,
                        MARJORAM_FRAME_DATA, &data);
    position += marjoram_bytes_size (chunk->bytes);
  }
  if (request->answered)
    reply_end (host, request, 0);
}

void
marjoram_relay_revoke (marjoram_host *host, const char *slot, uint64_t session,
                       uint64_t incarnation,
                       const struct marjoram_revoke *revoke)
{
  struct marjoram_sender *sender
      = marjoram_sender_get (host, slot, incarnation);
  struct marjoram_request *request
      = find_forwarded (host, slot, incarnation, revoke->request);
  struct marjoram_revoked revoked = { revoke->request, false, false };

  if (request)
    {
      request->peer_session = session;
      revoked.known = true;
    }
  else if (revoke->request > sender->highest)
    {
      sender->highest = revoke->request;
      revoked.never_started = true;
    }
  host->ops->reply (host->context, slot, session, MARJORAM_FRAME_REVOKED,
                    &revoked);
  if (request)
    resend_answer (host, request, revoke->offset);
}

void
marjoram_relay_session_closed (marjoram_host *host, int64_t now,
                               const char *slot, uint64_t session)
{
  struct marjoram_request *request;

  TAILQ_FOREACH (request, &host->requests->all, all)
  {
    if (request->peer && request->peer_session == session
        && strcmp (request->peer, slot) == 0)
      {
        request->peer_session = 0;
        request->orphaned_at = now;
      }
  }
}

void
marjoram_relay_cancel (marjoram_host *host, int64_t now, const char *slot,
                       uint64_t incarnation,
                       const struct marjoram_cancel *cancel)
{
  struct marjoram_request *request
      = find_forwarded (host, slot, incarnation, cancel->request);

  if (request)
    marjoram_request_abandon (host, now, request);
}
