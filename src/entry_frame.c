#include "entry_private.h"

#include "cleanup.h"
#include "event_log.h"

#include <inttypes.h>
#include <string.h>

enum
{
  STATUS_UNAVAILABLE = 503,
  DECIMAL = 10,
  /* Retry-After of a host that holds too many bodies of requests.  */
  FULL_RETRY_MS = 1000,
  /* Upstreams of a batch that are logged one by one.  */
  LOGGED_ITEMS_MAX = 8,
  /* Time without a piece before the state is requested from the next keeper
     that announced it.  Far above the transfer time of a piece on a busy
     link.  */
  PIECE_TIMEOUT_MS = 2000,
  /* Upper bound of the backoff, for congested links.  */
  PIECE_TIMEOUT_MAX_MS = 8000
};

/* ---- Replicated state.  ---- */

static void
op_ask (void *context, const char *keeper,
        const struct marjoram_state_ask *ask)
{
  struct marjoram_entry *self = context;

  marjoram_host_links_send (self->parts->links, keeper,
                            MARJORAM_FRAME_STATE_ASK, ask);
}

static void
op_fetched (void *context, const struct marjoram_state *state,
            const struct marjoram_fetch_stats *stats)
{
  struct marjoram_entry *self = context;

  marjoram_event (MARJORAM_EVENT_CONFIG,
                  "state=fetched number=%" PRIu64 " base=%" PRIu64
                  " bytes=%zu pieces=%d ms=%" PRId64 " keeper=%s",
                  state->number, stats->base, stats->bytes, stats->pieces,
                  stats->ms, stats->keeper);
  marjoram_entry_apply_state (self, state);
}

static void
op_failed (void *context, const struct marjoram_fetch_stats *stats,
           const struct marjoram_error *err)
{
  (void)context;
  marjoram_event (MARJORAM_EVENT_CONFIG,
                  "state=unreadable base=%" PRIu64 " bytes=%zu keeper=%s "
                  "why=\"%s\"",
                  stats->base, stats->bytes, stats->keeper, err->message);
}

const struct marjoram_state_fetch_options marjoram_entry_fetch_options
    = { .piece_timeout_ms = PIECE_TIMEOUT_MS,
        .piece_timeout_max_ms = PIECE_TIMEOUT_MAX_MS };

const struct marjoram_state_fetch_ops marjoram_entry_fetch_ops
    = { .ask = op_ask, .fetched = op_fetched, .failed = op_failed };

static bool
is_in_same_region (struct marjoram_entry *self, const char *host)
{
  const struct marjoram_listed_host *listed
      = marjoram_host_list_find (self->parts->hosts, host);

  return listed
         && strcmp (listed->heartbeat.region, self->parts->settings->region)
                == 0;
}

static void
handle_state_announcement (struct marjoram_entry *self, const char *host,
                           const struct marjoram_state_news *announcement)
{
  marjoram_state_fetch_announced (self->fetch, marjoram_entry_now (self), host,
                                  is_in_same_region (self, host),
                                  announcement->number);
}

/* ---- Upstreams and requests.  ---- */

static void
handle_upstream_batch (struct marjoram_entry *self, const char *host,
                       uint64_t session,
                       const struct marjoram_news_batch *batch)
{
  const struct marjoram_news_item *items = batch->items.items;
  int64_t now = marjoram_entry_now (self);
  size_t changed = 0;

  for (size_t i = 0; i < batch->items.count; i++)
    {
      struct marjoram_upstream_heartbeat heartbeat;
      enum marjoram_registry_result result;

      if (!marjoram_registry_unpack (&items[i], &heartbeat))
        continue;
      result = marjoram_registry_update (self->registry, now, &heartbeat,
                                         items[i].age_ms);
      changed += result == MARJORAM_REGISTRY_CHANGED;
      if (result == MARJORAM_REGISTRY_CHANGED
          && batch->items.count <= LOGGED_ITEMS_MAX)
        marjoram_event (MARJORAM_EVENT_UPSTREAM,
                        "id=%s state=%d service=%s address=%s zone=%s "
                        "build=%s born=%" PRId64 " seq=%" PRId64
                        " cold_ms=%" PRId64 " age_ms=%" PRId64 " keeper=%s",
                        heartbeat.id, (int)heartbeat.state, heartbeat.service,
                        heartbeat.address, heartbeat.zone,
                        *heartbeat.build ? heartbeat.build : "-",
                        heartbeat.started_at, heartbeat.sequence,
                        heartbeat.cold_ms, items[i].age_ms, host);
    }
  if (changed > 0 && batch->items.count > LOGGED_ITEMS_MAX)
    marjoram_event (MARJORAM_EVENT_UPSTREAM,
                    "state=batch count=%zu changed=%zu keeper=%s",
                    batch->items.count, changed, host);
  if (batch->has_known)
    marjoram_registry_set_known (self->registry, now - batch->known_ms);
  if (batch->is_last)
    marjoram_registry_unvouch_before (self->registry, batch->asked_at);
  if (batch->ticket)
    {
      const struct marjoram_news_seen seen = { batch->ticket };

      marjoram_host_links_reply (self->parts->links, host, session,
                                 MARJORAM_FRAME_NEWS_SEEN, &seen);
    }
}

static void
handle_liveness (struct marjoram_entry *self, const char *host,
                 const struct marjoram_liveness *summary)
{
  const int64_t now = marjoram_entry_now (self);
  const struct marjoram_news_ask ask = { now };

  if (summary->silent.count > 0)
    marjoram_event (MARJORAM_EVENT_UPSTREAM,
                    "state=summary live=%" PRIu64 " silent=%zu keeper=%s",
                    summary->count, summary->silent.count, host);
  if (!marjoram_liveness_apply (&self->liveness, self->registry, now, summary))
    return;
  marjoram_event (
      MARJORAM_EVENT_UPSTREAM,
      "state=differs keeper=%s its_count=%" PRIu64 " own_count=%" PRIu64, host,
      summary->count, marjoram_registry_digest (self->registry).count);
  marjoram_host_links_send (self->parts->links, host, MARJORAM_FRAME_NEWS_ASK,
                            &ask);
}

static struct marjoram_http_request *
make_request (const struct marjoram_forward *forward)
{
  const struct marjoram_header *headers = forward->headers.items;
  struct marjoram_http_request *request = marjoram_alloc (sizeof *request);

  request->method = marjoram_strdup (forward->method);
  request->target = marjoram_strdup (forward->path);
  request->has_body = forward->stream || forward->body;
  request->body = forward->body ? marjoram_bytes_retain (forward->body) : NULL;
  for (size_t i = 0; i < forward->headers.count; i++)
    if (headers[i].name && headers[i].value)
      marjoram_header_list_add (&request->headers, headers[i].name,
                                headers[i].value);
  return request;
}

static const struct marjoram_request_failure full
    = { .outcome = MARJORAM_OUTCOME_NOT_RUN,
        .reason = MARJORAM_REASON_OVERLOAD,
        .retry_ms = FULL_RETRY_MS,
        .unreached = true };

static void
handle_forward (struct marjoram_entry *self, const char *host,
                uint64_t session, const struct marjoram_forward *forward)
{
  const struct marjoram_forwarded limits_from_peer
      = { forward->budget_ms, forward->time_left_ms, forward->caller,
          forward->build, forward->service };
  struct marjoram_inbound *inbound;

  if (!forward->method || !forward->path)
    return;
  inbound = marjoram_alloc (sizeof *inbound);
  inbound->call = MARJORAM_FORWARDED_CALL | ++self->next_call;
  inbound->host = marjoram_strdup (host);
  inbound->session = session;
  inbound->request = forward->request;
  inbound->size = marjoram_bytes_size (forward->body);
  HASH_ADD (hh, self->inbound, call, sizeof inbound->call, inbound);
  self->inbound_bytes += inbound->size;
  self->forwarded_at = marjoram_entry_now (self);
  if (self->forwarded_at >= self->drain.accept_until)
    {
      marjoram_metrics_add_refusal (self->parts->metrics,
                                    MARJORAM_REASON_DRAINING);
      marjoram_entry_finish_inbound (self, inbound, &marjoram_entry_draining);
      return;
    }
  /* A body alone always fits.  */
  if (self->inbound_bytes > self->frame_bytes_max
      && self->inbound_bytes > inbound->size)
    {
      marjoram_entry_finish_inbound (self, inbound, &full);
      return;
    }
  marjoram_gateway_receive (self->gateway, marjoram_entry_now (self),
                            inbound->call, make_request (forward),
                            &limits_from_peer);
}

void
marjoram_entry_handle_cancel (struct marjoram_entry *self, const char *host,
                              uint64_t session, uint64_t request)
{
  struct marjoram_inbound *inbound;
  struct marjoram_inbound *next;

  HASH_ITER (hh, self->inbound, inbound, next)
  {
    uint64_t call = inbound->call;

    if (inbound->session != session || strcmp (inbound->host, host) != 0
        || (request != 0 && inbound->request != request))
      continue;
    marjoram_entry_remove_inbound (self, inbound);
    marjoram_gateway_caller_disconnected (self->gateway,
                                          marjoram_entry_now (self), call);
  }
}

/* Whether a frame about ATTEMPT comes from the host that it was forwarded to,
   on this host's own link, on which forwards are sent.  */
static bool
is_reply (const struct marjoram_entry *self, const char *host,
          uint64_t session, uint64_t attempt)
{
  return session == 0
         && marjoram_gateway_is_forwarded_to (self->gateway, attempt, host);
}

static void
handle_head (struct marjoram_entry *self, const struct marjoram_head *head)
{
  struct marjoram_header_list headers
      = { head->headers.items, head->headers.count, head->headers.count };

  marjoram_gateway_forward_head (self->gateway, marjoram_entry_now (self),
                                 head->request, (int)head->status, &headers,
                                 head->build);
}

static void
handle_end (struct marjoram_entry *self, const struct marjoram_end *end)
{
  const struct marjoram_request_failure why
      = { .outcome = (enum marjoram_outcome)end->outcome,
          .reason = end->reason < MARJORAM_REASON_COUNT
                        ? (enum marjoram_reason)end->reason
                        : MARJORAM_REASON_UPSTREAM_FAILED,
          .status = STATUS_UNAVAILABLE,
          .retry_ms = end->retry_ms,
          .unreached = end->unreached };

  if (end->outcome == MARJORAM_OUTCOME_DONE)
    marjoram_gateway_end (self->gateway, marjoram_entry_now (self),
                          end->request, MARJORAM_HTTP_COMPLETE);
  else
    marjoram_gateway_forward_refused (self->gateway, marjoram_entry_now (self),
                                      end->request, &why);
}

static void
handle_lease (struct marjoram_entry *self,
              const struct marjoram_lease_grant *grant)
{
  marjoram_key_lease_confirmed (marjoram_gateway_key_lease (self->gateway),
                                marjoram_entry_now (self), grant->asked_at,
                                grant->number);
  marjoram_entry_log_lease (self, marjoram_entry_now (self));
}

static void
handle_quota (struct marjoram_entry *self, const char *host,
              const struct marjoram_quota_grant *grant)
{
  if (grant->customer)
    marjoram_quota_pool_granted (marjoram_gateway_quota_pool (self->gateway),
                                 marjoram_entry_now (self), host, grant);
}

static void
handle_stream_answer (struct marjoram_entry *self,
                      const struct marjoram_stream_answer *answer)
{
  const struct marjoram_stream_origin origin
      = { answer->service, answer->build };

  if (answer->id && answer->keepers > 0)
    marjoram_gateway_only_build_answered (
        self->gateway, marjoram_entry_now (self),
        strtoull (answer->id, NULL, DECIMAL), answer->build, answer->keepers);
  else if (answer->id)
    marjoram_gateway_origin_answered (self->gateway, marjoram_entry_now (self),
                                      answer->call, answer->id,
                                      answer->build ? &origin : NULL);
}

void
marjoram_entry_handle_frame (struct marjoram_entry *self, const char *host,
                             uint64_t session, enum marjoram_frame_type type,
                             void *message)
{
  const struct marjoram_head *head = message;
  const struct marjoram_data *data = message;
  const struct marjoram_end *end = message;
  const struct marjoram_cancel *cancel = message;

  switch (type)
    {
    case MARJORAM_FRAME_STATE_NEWS:
      handle_state_announcement (self, host, message);
      break;
    case MARJORAM_FRAME_STATE_PIECE:
      marjoram_state_fetch_receive_piece (
          self->fetch, marjoram_entry_now (self), host, message);
      break;
    case MARJORAM_FRAME_NEWS:
      handle_upstream_batch (self, host, session, message);
      break;
    case MARJORAM_FRAME_LIVENESS:
      handle_liveness (self, host, message);
      break;
    case MARJORAM_FRAME_LOADS:
      marjoram_placement_apply_report (
          marjoram_gateway_placement (self->gateway),
          marjoram_entry_now (self), host, message);
      break;
    case MARJORAM_FRAME_LOAD_CHANGES:
      marjoram_load_collector_apply_report (
          self->collector, marjoram_entry_now (self), host, message);
      break;
    case MARJORAM_FRAME_LOAD_SUMS:
      marjoram_entry_apply_sums (self, host, message);
      break;
    case MARJORAM_FRAME_ROOM_REPORT:
      marjoram_entry_apply_room_report (self, host, message);
      break;
    case MARJORAM_FRAME_ROOM_SUMS:
      marjoram_entry_apply_room_sums (self, host, message);
      break;
    case MARJORAM_FRAME_LEASE_GRANT:
      handle_lease (self, message);
      break;
    case MARJORAM_FRAME_QUOTA_GRANT:
      handle_quota (self, host, message);
      break;
    case MARJORAM_FRAME_STREAM_ANSWER:
      handle_stream_answer (self, message);
      break;
    case MARJORAM_FRAME_CRASHES:
      marjoram_crash_list_apply (marjoram_gateway_crash_list (self->gateway),
                                 marjoram_entry_now (self), message);
      break;
    case MARJORAM_FRAME_DARK_UPSTREAMS:
      if (is_in_same_region (self, host))
        marjoram_gateway_dark_reported (self->gateway,
                                        marjoram_entry_now (self), message);
      break;
    case MARJORAM_FRAME_FORWARD:
      handle_forward (self, host, session, message);
      break;
    case MARJORAM_FRAME_CANCEL:
      marjoram_entry_handle_cancel (self, host, session, cancel->request);
      break;
    case MARJORAM_FRAME_HEAD:
      if (is_reply (self, host, session, head->request))
        handle_head (self, head);
      break;
    case MARJORAM_FRAME_DATA:
      if (is_reply (self, host, session, data->request))
        marjoram_gateway_data (self->gateway, marjoram_entry_now (self),
                               data->request,
                               marjoram_bytes_data (data->bytes),
                               marjoram_bytes_size (data->bytes));
      break;
    case MARJORAM_FRAME_END:
      if (is_reply (self, host, session, end->request))
        handle_end (self, end);
      break;
    default:
      break;
    }
  marjoram_wire_destroy (marjoram_frame_layout (type), message);
}
