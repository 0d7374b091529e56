/* The role of an entry host: takes callers' requests and brings them to
   upstreams of its region, or to an entry host of another one.  */
#include "role.h"

#include "agreed.h"
#include "cleanup.h"
#include "event_log.h"
#include "gateway.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  REPORT_MS = 100, /* loads to the other hosts of the region */
  /* How long requests are still taken after the signal to stop: callers keep
     an address for two seconds, and what is taken must end before the limit
     of the drain.  */
  CLOSE_AFTER_MS = 2000,
  /* When a refused caller may come again: at once, to another host.  */
  DRAINING_RETRY_MS = 20,
  CLIENT_TICK_MS = 100,
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_UNAVAILABLE = 503,
  MSEC_PER_SEC = 1000,
  NUMBER_TEXT_MAX = 32
};

/* Calls that come from other hosts have numbers apart from callers'.  */
#define FORWARDED_CALL (UINT64_C (1) << 63)

/* A request that another host forwarded here.  */
struct inbound
{
  uint64_t call;
  char *host;
  uint64_t session;
  uint64_t request; /* the other host's number */
  uint64_t offset;  /* bytes of the answer's body that were sent */
  UT_hash_handle hh;
};

struct entry_role
{
  struct marjoram_role role;
  const struct marjoram_role_parts *parts;
  marjoram_registry *registry;
  marjoram_gateway *gateway;
  marjoram_http_server *server;
  marjoram_http_client *client;
  struct marjoram_route_table *table;
  struct marjoram_route_table *former; /* the gateway's */
  struct marjoram_names evacuated;
  uint64_t config_number;
  struct inbound *inbound;
  uint64_t next_call;
  int64_t reported_at;
  int64_t client_ticked_at;
  int64_t stopped_at;
  bool closed;
  struct marjoram_array offers; /* of struct marjoram_host_offer */
};

static int64_t
now_of (const struct entry_role *self)
{
  return marjoram_clock_now (self->parts->clock);
}

/* ---- Answers to callers and to other hosts.  ---- */

static struct inbound *
find_inbound (struct entry_role *self, uint64_t call)
{
  struct inbound *inbound;

  HASH_FIND (hh, self->inbound, &call, sizeof call, inbound);
  return inbound;
}

static void
forget_inbound (struct entry_role *self, struct inbound *inbound)
{
  /* The list macros mislead it.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, self->inbound, inbound);
  free (inbound->host);
  free (inbound);
}

static void
reply (struct entry_role *self, const struct inbound *inbound,
       enum marjoram_frame_type type, const void *message)
{
  marjoram_host_links_reply (self->parts->links, inbound->host,
                             inbound->session, type, message);
}

static void
op_reply_head (void *context, uint64_t call, int status,
               const struct marjoram_header_list *headers, int64_t length)
{
  struct entry_role *self = context;
  struct inbound *inbound = find_inbound (self, call);

  if (!(call & FORWARDED_CALL))
    marjoram_http_server_head (self->server, call, status, headers, length);
  else if (inbound)
    {
      const struct marjoram_head head
          = { .request = inbound->request,
              .status = (uint64_t)status,
              .headers = { headers->items, headers->count } };

      reply (self, inbound, MARJORAM_FRAME_HEAD, &head);
    }
}

static void
op_reply_data (void *context, uint64_t call, const void *bytes, size_t size)
{
  struct entry_role *self = context;
  struct inbound *inbound = find_inbound (self, call);

  if (!(call & FORWARDED_CALL))
    marjoram_http_server_data (self->server, call, bytes, size);
  else if (inbound && size > 0)
    {
      struct marjoram_data data = { inbound->request, inbound->offset,
                                    marjoram_bytes_create (bytes, size) };

      inbound->offset += size;
      reply (self, inbound, MARJORAM_FRAME_DATA, &data);
      marjoram_bytes_release (data.bytes);
    }
}

static void
end_inbound (struct entry_role *self, uint64_t call,
             enum marjoram_outcome outcome, enum marjoram_reason reason,
             int64_t retry_ms)
{
  struct inbound *inbound = find_inbound (self, call);
  struct marjoram_end end
      = { .outcome = outcome, .reason = reason, .retry_ms = retry_ms };

  if (!inbound)
    return;
  end.request = inbound->request;
  end.length = inbound->offset;
  reply (self, inbound, MARJORAM_FRAME_END, &end);
  forget_inbound (self, inbound);
}

static void
op_reply_end (void *context, uint64_t call)
{
  struct entry_role *self = context;

  if (call & FORWARDED_CALL)
    end_inbound (self, call, MARJORAM_OUTCOME_DONE, MARJORAM_REASON_NONE, 0);
  else
    marjoram_http_server_end (self->server, call);
}

static void
op_reply_cut (void *context, uint64_t call)
{
  struct entry_role *self = context;

  if (call & FORWARDED_CALL)
    end_inbound (self, call, MARJORAM_OUTCOME_UNKNOWN,
                 MARJORAM_REASON_UPSTREAM_FAILED, 0);
  else
    marjoram_http_server_cut (self->server, call);
}

static void
answer_refusal (struct entry_role *self, uint64_t call,
                const struct marjoram_no_answer *why)
{
  const char *reason = marjoram_reason_name (why->reason);
  struct marjoram_header_list headers = { 0 };
  char retry[NUMBER_TEXT_MAX];

  marjoram_header_list_add (&headers, "Content-Type", "text/plain");
  if (why->retry_ms > 0 && why->outcome == MARJORAM_OUTCOME_NOT_RUN)
    {
      snprintf (retry, sizeof retry, "%.3f",
                (double)why->retry_ms / MSEC_PER_SEC);
      marjoram_header_list_add (&headers, "Retry-After", retry);
    }
  marjoram_http_server_head (self->server, call, why->status, &headers,
                             (int64_t)strlen (reason));
  marjoram_http_server_data (self->server, call, reason, strlen (reason));
  marjoram_http_server_end (self->server, call);
  marjoram_header_list_clear (&headers);
}

static void
op_reply_none (void *context, uint64_t call,
               const struct marjoram_no_answer *why)
{
  struct entry_role *self = context;

  if (call & FORWARDED_CALL)
    end_inbound (self, call, why->outcome, why->reason, why->retry_ms);
  else
    answer_refusal (self, call, why);
}

/* ---- Requests to upstreams and to other hosts.  ---- */

static void
op_send (void *context, const struct marjoram_http_send *send)
{
  struct entry_role *self = context;

  marjoram_http_client_send (self->client, send);
}

static void
op_cancel (void *context, uint64_t attempt)
{
  struct entry_role *self = context;

  marjoram_http_client_cancel (self->client, attempt);
}

static bool
op_reaches (void *context, const char *host)
{
  struct entry_role *self = context;

  return marjoram_host_links_reaches (self->parts->links, host);
}

static bool
op_forward (void *context, const char *host,
            const struct marjoram_forward *forward)
{
  struct entry_role *self = context;

  return marjoram_host_links_send (self->parts->links, host,
                                   MARJORAM_FRAME_FORWARD, forward);
}

static void
op_cancel_forward (void *context, const char *host, uint64_t attempt)
{
  struct entry_role *self = context;
  const struct marjoram_cancel cancel = { attempt };

  marjoram_host_links_send (self->parts->links, host, MARJORAM_FRAME_CANCEL,
                            &cancel);
}

static const struct marjoram_gateway_ops gateway_ops = {
  .reply_head = op_reply_head,
  .reply_data = op_reply_data,
  .reply_end = op_reply_end,
  .reply_cut = op_reply_cut,
  .reply_none = op_reply_none,
  .send = op_send,
  .cancel = op_cancel,
  .reaches = op_reaches,
  .forward = op_forward,
  .cancel_forward = op_cancel_forward,
};

/* ---- What the tasks tell.  ---- */

static void
server_request (void *context, uint64_t call,
                struct marjoram_http_request *request)
{
  struct entry_role *self = context;
  const struct marjoram_no_answer why
      = { MARJORAM_OUTCOME_NOT_RUN, MARJORAM_REASON_DRAINING,
          STATUS_UNAVAILABLE, DRAINING_RETRY_MS };

  if (!self->closed)
    {
      marjoram_gateway_receive (self->gateway, now_of (self), call, request,
                                false, 0);
      return;
    }
  /* Taken now, a long answer would be cut when the drain reaches its limit. */
  marjoram_http_request_destroy (request);
  marjoram_metrics_refused (self->parts->metrics, MARJORAM_REASON_DRAINING);
  answer_refusal (self, call, &why);
}

static void
server_gone (void *context, uint64_t call)
{
  struct entry_role *self = context;

  marjoram_gateway_gone (self->gateway, now_of (self), call);
}

static void
server_rejected (void *context, int status, const char *why)
{
  struct entry_role *self = context;

  marjoram_metrics_add (self->parts->metrics, MARJORAM_METRIC_REJECTED_INPUT,
                        1);
  marjoram_event (MARJORAM_EVENT_REJECT, "call=request status=%d why=%s",
                  status, why);
}

static const struct marjoram_http_server_ops server_ops = {
  .request = server_request, .gone = server_gone, .rejected = server_rejected
};

static bool
client_head (void *context, uint64_t attempt, int status,
             struct marjoram_header_list *headers)
{
  struct entry_role *self = context;

  return marjoram_gateway_head (self->gateway, now_of (self), attempt, status,
                                headers);
}

static void
client_data (void *context, uint64_t attempt, const char *data, size_t size)
{
  struct entry_role *self = context;

  marjoram_gateway_data (self->gateway, now_of (self), attempt, data, size);
}

static void
client_end (void *context, uint64_t attempt, enum marjoram_http_end how)
{
  struct entry_role *self = context;

  marjoram_gateway_end (self->gateway, now_of (self), attempt, how);
}

static void
client_lost (void *context, const char *address)
{
  struct entry_role *self = context;

  marjoram_metrics_add (self->parts->metrics, MARJORAM_METRIC_UPSTREAMS_LOST,
                        1);
  marjoram_event (MARJORAM_EVENT_UPSTREAM, "address=%s state=connection-lost",
                  address);
  marjoram_placement_lost (marjoram_gateway_placement (self->gateway),
                           now_of (self), address);
}

static void
client_connected (void *context, const char *address)
{
  (void)context;
  (void)address;
}

static const struct marjoram_http_client_ops client_ops
    = { .head = client_head,
        .data = client_data,
        .end = client_end,
        .lost = client_lost,
        .connected = client_connected };

/* ---- Configuration.  ---- */

static void
set_limits (struct entry_role *self)
{
  const struct marjoram_caller_rule *callers = &self->table->callers;
  const struct marjoram_http_limits limits
      = { (size_t)callers->head_bytes, (size_t)callers->body_bytes,
          callers->head_timeout_ms, callers->idle_timeout_ms };

  marjoram_http_server_set_limits (self->server, &limits);
}

/* Zones whose evacuation has ended may have cold upstreams.  */
static void
set_evacuated (struct entry_role *self, struct marjoram_names zones)
{
  struct marjoram_names before = self->evacuated;

  self->evacuated = zones;
  for (size_t i = 0; i < before.count; i++)
    if (self->table && !marjoram_agreed_is_evacuated (&zones, before.items[i]))
      marjoram_placement_restored (marjoram_gateway_placement (self->gateway),
                                   now_of (self), before.items[i],
                                   self->table);
  marjoram_names_clear (&before);
}

static void
set_table (struct entry_role *self, struct marjoram_route_table *table)
{
  struct marjoram_route_table *old = self->former;

  self->former = self->table;
  self->table = table;
  marjoram_gateway_set_table (self->gateway, now_of (self), table);
  marjoram_route_table_destroy (old);
  set_limits (self);
}

/* Numbers only grow, so that a late copy of an older state changes
   nothing.  */
static void
take_state (struct entry_role *self, const struct marjoram_state *state)
{
  struct marjoram_error err = { 0 };
  struct marjoram_route_table *table;

  if (state->number <= self->config_number)
    return;
  table = marjoram_agreed_routes (state, self->parts->dialect, &err);
  self->config_number = state->number;
  if (table)
    set_table (self, table);
  else if (err.kind != MARJORAM_ERROR_NONE)
    marjoram_event (MARJORAM_EVENT_CONFIG,
                    "taken=no number=%" PRIu64 " why=\"%s\"", state->number,
                    err.message);
  set_evacuated (self, marjoram_agreed_evacuations (state));
  marjoram_event (MARJORAM_EVENT_CONFIG,
                  "state=in-force number=%" PRIu64 " version=%" PRIu64
                  " routes=%zu evacuated=%zu",
                  state->number, self->table ? self->table->version : 0,
                  self->table ? self->table->routes.count : 0,
                  self->evacuated.count);
}

static void
take_give (struct entry_role *self, const struct marjoram_config_give *give)
{
  struct marjoram_state *state = marjoram_wire_unpack (
      &marjoram_state_layout, marjoram_bytes_data (give->state),
      marjoram_bytes_size (give->state), NULL);

  if (state)
    take_state (self, state);
  marjoram_state_destroy (state);
}

/* ---- Frames.  ---- */

static void
take_news (struct entry_role *self, const char *host, uint64_t session,
           const struct marjoram_news_batch *batch)
{
  const struct marjoram_news_item *items = batch->items.items;
  int64_t now = now_of (self);

  for (size_t i = 0; i < batch->items.count; i++)
    {
      struct marjoram_upstream_news news;
      enum marjoram_hearing hearing;

      if (!marjoram_registry_unpack (&items[i], &news))
        continue;
      hearing = marjoram_registry_hear (self->registry, now, &news,
                                        items[i].age_ms);
      if (hearing == MARJORAM_HEARING_CHANGED)
        marjoram_event (MARJORAM_EVENT_UPSTREAM,
                        "id=%s state=%d service=%s address=%s zone=%s "
                        "born=%" PRId64 " seq=%" PRId64 " cold_ms=%" PRId64
                        " age_ms=%" PRId64 " keeper=%s",
                        news.id, (int)news.state, news.service, news.address,
                        news.zone, news.born, news.sequence, news.cold_ms,
                        items[i].age_ms, host);
    }
  if (batch->ticket)
    {
      const struct marjoram_news_seen seen = { batch->ticket };

      marjoram_host_links_reply (self->parts->links, host, session,
                                 MARJORAM_FRAME_NEWS_SEEN, &seen);
    }
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

static void
take_forward (struct entry_role *self, const char *host, uint64_t session,
              const struct marjoram_forward *forward)
{
  struct inbound *inbound;

  if (!forward->method || !forward->path)
    return;
  inbound = marjoram_alloc (sizeof *inbound);
  inbound->call = FORWARDED_CALL | ++self->next_call;
  inbound->host = marjoram_strdup (host);
  inbound->session = session;
  inbound->request = forward->request;
  HASH_ADD (hh, self->inbound, call, sizeof inbound->call, inbound);
  marjoram_gateway_receive (self->gateway, now_of (self), inbound->call,
                            make_request (forward), true, forward->budget_ms);
}

static void
take_cancel (struct entry_role *self, const char *host, uint64_t session,
             uint64_t request)
{
  struct inbound *inbound;
  struct inbound *next;

  HASH_ITER (hh, self->inbound, inbound, next)
  {
    uint64_t call = inbound->call;

    if (inbound->session != session || strcmp (inbound->host, host) != 0
        || (request != 0 && inbound->request != request))
      continue;
    forget_inbound (self, inbound);
    marjoram_gateway_gone (self->gateway, now_of (self), call);
  }
}

static void
take_head (struct entry_role *self, const struct marjoram_head *head)
{
  struct marjoram_header_list headers
      = { head->headers.items, head->headers.count, head->headers.count };

  marjoram_gateway_head (self->gateway, now_of (self), head->request,
                         (int)head->status, &headers);
}

static void
take_end (struct entry_role *self, const struct marjoram_end *end)
{
  const struct marjoram_no_answer why
      = { (enum marjoram_outcome)end->outcome,
          end->reason < MARJORAM_REASON_COUNT
              ? (enum marjoram_reason)end->reason
              : MARJORAM_REASON_UPSTREAM_FAILED,
          STATUS_UNAVAILABLE, end->retry_ms };

  if (end->outcome == MARJORAM_OUTCOME_DONE)
    marjoram_gateway_end (self->gateway, now_of (self), end->request,
                          MARJORAM_HTTP_COMPLETE);
  else
    marjoram_gateway_forward_refused (self->gateway, now_of (self),
                                      end->request, &why);
}

static struct entry_role *
self_of (struct marjoram_role *role)
{
  return (struct entry_role *)role;
}

static void
role_frame (struct marjoram_role *role, const char *host, uint64_t session,
            enum marjoram_frame_type type, void *message)
{
  struct entry_role *self = self_of (role);
  const struct marjoram_data *data = message;
  const struct marjoram_cancel *cancel = message;

  switch (type)
    {
    case MARJORAM_FRAME_CONFIG_GIVE:
      take_give (self, message);
      break;
    case MARJORAM_FRAME_NEWS:
      take_news (self, host, session, message);
      break;
    case MARJORAM_FRAME_LOADS:
      marjoram_placement_hear (marjoram_gateway_placement (self->gateway),
                               now_of (self), host, message);
      break;
    case MARJORAM_FRAME_FORWARD:
      take_forward (self, host, session, message);
      break;
    case MARJORAM_FRAME_CANCEL:
      take_cancel (self, host, session, cancel->request);
      break;
    case MARJORAM_FRAME_HEAD:
      take_head (self, message);
      break;
    case MARJORAM_FRAME_DATA:
      marjoram_gateway_data (self->gateway, now_of (self), data->request,
                             marjoram_bytes_data (data->bytes),
                             marjoram_bytes_size (data->bytes));
      break;
    case MARJORAM_FRAME_END:
      take_end (self, message);
      break;
    default:
      break;
    }
  marjoram_wire_destroy (marjoram_frame_layout (type), message);
}

/* ---- The role's other operations.  ---- */

static void
role_beat (struct marjoram_role *role, const char *host, uint64_t session,
           bool first, const struct marjoram_host_beat *beat)
{
  (void)role;
  (void)host;
  (void)session;
  (void)first;
  (void)beat;
}

static void
role_session_closed (struct marjoram_role *role, const char *host,
                     uint64_t session)
{
  take_cancel (self_of (role), host, session, 0);
}

static void
role_link_lost (struct marjoram_role *role, const char *host)
{
  struct entry_role *self = self_of (role);

  marjoram_gateway_link_lost (self->gateway, now_of (self), host);
}

static bool
is_ready (const struct entry_role *self)
{
  return self->table && !self->stopped_at;
}

static void
role_fill_beat (struct marjoram_role *role, struct marjoram_host_beat *beat)
{
  struct entry_role *self = self_of (role);
  const struct marjoram_service_rule *services;
  struct marjoram_host_offer *offers;
  size_t count;

  beat->ready = is_ready (self);
  beat->leaving = self->stopped_at != 0;
  beat->config_number = self->config_number;
  if (!self->table)
    return;
  services = self->table->services.items;
  count = self->table->services.count;
  if (count > MARJORAM_HOST_OFFERS_MAX)
    count = MARJORAM_HOST_OFFERS_MAX;
  free (self->offers.items);
  self->offers.items = offers = marjoram_alloc (count * sizeof *offers);
  self->offers.count = 0;
  for (size_t i = 0; i < count; i++)
    {
      struct marjoram_host_offer *offer = &offers[self->offers.count];

      marjoram_placement_offer (marjoram_gateway_placement (self->gateway),
                                now_of (self), &services[i], offer);
      self->offers.count += offer->upstreams > 0;
    }
  beat->offers = self->offers;
}

static void
role_ask (struct marjoram_role *role, uint64_t ask, const char *method,
          const char *target, const char *body, size_t size)
{
  struct entry_role *self = self_of (role);
  struct marjoram_ask what = { 0 };
  int status = STATUS_NOT_FOUND;

  if (self->parts->dialect->ops->read_ask (method, target, body, size, &what,
                                           NULL)
      && what.kind == MARJORAM_ASK_READY)
    status = is_ready (self) ? STATUS_OK : STATUS_UNAVAILABLE;
  marjoram_ask_server_answer (self->parts->asks, ask, status, "text/plain",
                              NULL, 0);
}

static struct marjoram_repeat_terms
repeat_terms (const struct entry_role *self)
{
  const struct marjoram_gateway_settings *settings = self->parts->settings;
  const struct marjoram_repeat_terms terms
      = { settings->repeat_ratio, settings->repeat_allowance,
          settings->repeat_window_ms };

  return terms;
}

static void
role_reload (struct marjoram_role *role)
{
  struct entry_role *self = self_of (role);
  const struct marjoram_repeat_terms terms = repeat_terms (self);

  marjoram_repeat_budget_set (marjoram_gateway_budget (self->gateway), &terms);
}

static void
report (struct entry_role *self, int64_t now)
{
  struct marjoram_load_report loads;

  if (now < self->reported_at + REPORT_MS)
    return;
  self->reported_at = now;
  marjoram_placement_report (marjoram_gateway_placement (self->gateway), now,
                             &loads);
  marjoram_host_links_tell_region (self->parts->links, MARJORAM_FRAME_LOADS,
                                   &loads);
  marjoram_wire_clear (&marjoram_load_report_layout, &loads);
}

static void
role_tick (struct marjoram_role *role, int64_t now)
{
  struct entry_role *self = self_of (role);

  marjoram_gateway_tick (self->gateway, now);
  report (self, now);
  if (now >= self->client_ticked_at + CLIENT_TICK_MS)
    {
      self->client_ticked_at = now;
      marjoram_http_client_tick (self->client);
      marjoram_http_server_tick (self->server);
      marjoram_registry_tick (self->registry, now);
    }
  if (self->stopped_at && !self->closed
      && now >= self->stopped_at + CLOSE_AFTER_MS)
    {
      self->closed = true;
      marjoram_http_server_close_idle (self->server);
    }
}

static void
role_stop (struct marjoram_role *role, int64_t now)
{
  struct entry_role *self = self_of (role);

  self->stopped_at = now;
  marjoram_http_server_drain (self->server);
}

static bool
role_finished (struct marjoram_role *role, int64_t now)
{
  struct entry_role *self = self_of (role);

  (void)now;
  return self->closed && marjoram_gateway_open (self->gateway) == 0
         && marjoram_http_server_connections (self->server) == 0;
}

static void
role_destroy (struct marjoram_role *role)
{
  struct entry_role *self = self_of (role);
  struct inbound *inbound;
  struct inbound *next;

  HASH_ITER (hh, self->inbound, inbound, next)
  {
    forget_inbound (self, inbound);
  }
  marjoram_gateway_destroy (self->gateway);
  marjoram_http_client_destroy (self->client);
  marjoram_http_server_destroy (self->server);
  marjoram_route_table_destroy (self->table);
  marjoram_route_table_destroy (self->former);
  marjoram_names_clear (&self->evacuated);
  marjoram_registry_destroy (self->registry);
  free (self->offers.items);
  free (self);
}

static const struct marjoram_role_ops role_ops = {
  .frame = role_frame,
  .beat = role_beat,
  .session_closed = role_session_closed,
  .link_lost = role_link_lost,
  .fill_beat = role_fill_beat,
  .ask = role_ask,
  .reload = role_reload,
  .tick = role_tick,
  .stop = role_stop,
  .finished = role_finished,
  .destroy = role_destroy,
};

static const char *
region_of (void *context, const char *zone)
{
  struct entry_role *self = context;

  return marjoram_gateway_settings_region (self->parts->settings, zone);
}

static bool
is_evacuated (void *context, const char *zone)
{
  struct entry_role *self = context;

  return marjoram_agreed_is_evacuated (&self->evacuated, zone);
}

static void
create_gateway (struct entry_role *self)
{
  const struct marjoram_gateway_options options = {
    .dialect = self->parts->dialect,
    .place = { .registry = self->registry,
               .hosts = self->parts->hosts,
               .host = self->parts->settings->ip,
               .region = self->parts->settings->region,
               .region_of = region_of,
               .is_evacuated = is_evacuated,
               .context = self },
    .repeats = repeat_terms (self),
    .metrics = self->parts->metrics,
  };

  self->gateway = marjoram_gateway_create (&options, &gateway_ops, self);
}

struct marjoram_role *
marjoram_entry_role_create (const struct marjoram_role_parts *parts,
                            struct marjoram_error *err)
{
  struct entry_role *self = marjoram_alloc (sizeof *self);

  self->role.ops = &role_ops;
  self->parts = parts;
  self->registry = marjoram_registry_create ();
  create_gateway (self);
  self->client = marjoram_http_client_create (parts->base, parts->clock,
                                              &client_ops, self);
  self->server = marjoram_http_server_create (parts->base, parts->clock,
                                              parts->settings->entry_address,
                                              &server_ops, self, err);
  if (self->server)
    return &self->role;
  role_destroy (&self->role);
  return NULL;
}
