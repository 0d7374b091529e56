#include "host_state.h"

#include "cleanup.h"
#include "log.h"

#include <stdio.h>
#include <string.h>

static void
caller_head (marjoram_host *host, struct marjoram_request *request,
             const struct marjoram_head *head, int64_t length)
{
  struct marjoram_answer_info info = { 0 };

  info.id = request->id;
  info.upstream = head->upstream;
  /* By name, as a newer configuration may not have a zone with that index.  */
  info.zone = request->state == MARJORAM_REQUEST_REMOTE ? request->remote_name
                                                        : host->settings->zone;
  info.replayed
      = head->upstream && strcmp (head->upstream, MARJORAM_REPLAYED) == 0;
  host->ops->reply_head (host->context, request->call->number, head, &info,
                         length);
}

static void
caller_data (marjoram_host *host, struct marjoram_request *request,
             marjoram_bytes *bytes)
{
  host->ops->reply_data (host->context, request->call->number, bytes);
}

static void
caller_end (marjoram_host *host, struct marjoram_request *request)
{
  host->ops->reply_end (host->context, request->call->number);
}

static void
caller_fail (marjoram_host *host, struct marjoram_request *request,
             int64_t retry_ms)
{
  struct marjoram_refusal refusal
      = { request->id, request->outcome, request->reason, retry_ms };

  /* Once the head has been sent, the response can only be truncated, so that
     the caller can detect that it is incomplete.  */
  if (request->head_delivered)
    host->ops->reply_abort (host->context, request->call->number);
  else
    host->ops->reply_refusal (host->context, request->call->number, &refusal);
}

static const struct marjoram_origin_ops caller_origin
    = { caller_head, caller_data, caller_end, caller_fail };

/* Performs the checks that need no other host.  Sets the request's caller and
   deadline.  */
static enum marjoram_reason
check_call (marjoram_host *host, int64_t now, struct marjoram_request *request,
            int64_t *retry_ms)
{
  const struct marjoram_call *call = request->call;
  int caller;
  int work;

  *retry_ms = MARJORAM_RETRY_AFTER_MS;
  if (!marjoram_host_ready (host))
    return MARJORAM_REASON_NO_CONFIG;
  if (host->draining)
    return MARJORAM_REASON_DRAINING;
  if (host->requests->count > host->settings->max_requests)
    return MARJORAM_REASON_OVERLOAD;
  *retry_ms = 0;
  caller = marjoram_config_find_caller_by_token (host->config, call->token);
  if (caller < 0)
    return MARJORAM_REASON_UNKNOWN_CALLER;
  work = marjoram_config_find_work (host->config, call->work);
  if (work < 0)
    return MARJORAM_REASON_UNKNOWN_MODEL;
  request->caller
      = marjoram_strdup (marjoram_config_caller (host->config, caller)->name);
  request->deadline
      = now
        + (call->deadline_ms
               ? call->deadline_ms
               : marjoram_config_work (host->config, work)->deadline_ms);
  return marjoram_router_admit (host->router, now, caller, retry_ms);
}

void
marjoram_host_call (marjoram_host *host, int64_t now,
                    struct marjoram_call *call)
{
  struct marjoram_request *request
      = marjoram_request_create (host, now, &caller_origin, call);
  enum marjoram_reason reason;
  int64_t retry_ms;

  host->now = now;
  HASH_ADD (by_call, host->requests->by_call, call->number,
            sizeof call->number, request);
  snprintf (request->id, sizeof request->id, "%s-%llx-%llx",
            host->settings->slot, (unsigned long long)host->incarnation,
            (unsigned long long)call->number);
  marjoram_counters_add (host->counters, MARJORAM_COUNTER_REQUESTS, 1);
  reason = check_call (host, now, request, &retry_ms);
  if (reason != MARJORAM_REASON_NONE)
    marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                             reason, retry_ms);
  else
    marjoram_request_start (host, now, request);
  marjoram_host_deliver_claim_results (host, now);
}

void
marjoram_host_caller_disconnected (marjoram_host *host, int64_t now,
                                   uint64_t call)
{
  struct marjoram_request *request;

  host->now = now;
  HASH_FIND (by_call, host->requests->by_call, &call, sizeof call, request);
  if (request)
    marjoram_request_abandon (host, now, request);
  marjoram_host_deliver_claim_results (host, now);
}
