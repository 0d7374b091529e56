#include "gateway_private.h"

#include "cleanup.h"
#include "event_log.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

enum
{
  STATUS_NOT_FOUND = 404,
  STATUS_UNAVAILABLE = 503,
  /* Idle timeout before the first event, in addition to IDLE_WAIT_FACTOR times
     the estimated wait.  */
  IDLE_MS = 900,
  IDLE_WAIT_FACTOR = 3,
  /* Minimum time left to the latency target; below it the deadline is
     used.  */
  TARGET_MIN_MS = 5,
  FAILED_CONNECTIONS_MAX = 4,
  /* Failed connections after which another host of the region is asked.  */
  RELAY_AFTER_FAILED = 2,
  REFUSED_RETRY_MS = 250,
  URGENCY_MAX = 9
};

/* ---- Attempts.  ---- */

void
marjoram_exchange_start_attempt (marjoram_gateway *gateway,
                                 struct marjoram_exchange *exchange,
                                 int64_t now)
{
  marjoram_wait_queue_remove (gateway->queue, &exchange->waiter);
  if (exchange->state == MARJORAM_EXCHANGE_WAITING)
    exchange->state = MARJORAM_EXCHANGE_OPEN;
  exchange->attempt = ++gateway->next_attempt;
  memset (&exchange->connection, 0, sizeof exchange->connection);
  exchange->attempt_events = 0;
  exchange->attempt_begun = false;
  exchange->unnamed_until = 0;
  exchange->attempt_sent_at = now;
  HASH_ADD (by_attempt, gateway->by_attempt, attempt, sizeof exchange->attempt,
            exchange);
  marjoram_metrics_add (gateway->options.metrics, MARJORAM_METRIC_ATTEMPTS, 1);
}

void
marjoram_exchange_end_attempt (marjoram_gateway *gateway,
                               struct marjoram_exchange *exchange, int64_t now,
                               enum marjoram_attempt_end how)
{
  if (!exchange->attempt)
    return;
  marjoram_placement_attempt_ended (gateway->placement, now, exchange->attempt,
                                    how);
  marjoram_exchange_forward_ended (exchange, now, how);
  marjoram_exchange_return_room (gateway, exchange, now, how);
  HASH_DELETE (by_attempt, gateway->by_attempt, exchange);
  exchange->attempt = 0;
  exchange->idle_deadline = INT64_MAX;
}

void
marjoram_exchange_drop_attempt (marjoram_gateway *gateway,
                                struct marjoram_exchange *exchange,
                                int64_t now, enum marjoram_attempt_end how)
{
  uint64_t attempt = exchange->attempt;

  if (!attempt)
    return;
  marjoram_exchange_end_attempt (gateway, exchange, now, how);
  if (*exchange->host)
    gateway->ops->cancel_forward (gateway->context, exchange->host, attempt);
  else
    gateway->ops->cancel (gateway->context, attempt);
}

/* ---- Request message. ---- */

int64_t
marjoram_exchange_time_left (const struct marjoram_exchange *exchange,
                             int64_t now)
{
  return exchange->deadline_at - now;
}

int64_t
marjoram_exchange_answer_time (const marjoram_gateway *gateway,
                               const struct marjoram_exchange *exchange,
                               int64_t now)
{
  const int64_t ends_at
      = exchange->stream ? gateway->drain.exit_at : gateway->drain.answer_by;

  return (exchange->deadline_at < ends_at ? exchange->deadline_at : ends_at)
         - now;
}

const char *
marjoram_exchange_last_event (const struct marjoram_exchange *exchange)
{
  return exchange->events ? marjoram_event_stream_last_id (exchange->events)
                          : NULL;
}

static void
write_headers (marjoram_gateway *gateway,
               const struct marjoram_exchange *exchange, int64_t now,
               const char *copy_from, struct marjoram_header_list *headers)
{
  const struct marjoram_dialect_ops *dialect = gateway->options.dialect->ops;
  const struct marjoram_http_request *request = exchange->request;
  const struct marjoram_run_metadata metadata = {
    .caller_timeout_ms
    = marjoram_exchange_answer_time (gateway, exchange, now),
    .upstream = exchange->upstream,
    .last_event = marjoram_exchange_last_event (exchange),
    .copy_from = copy_from,
    .customer = *exchange->customer ? exchange->customer : NULL,
    .urgency = !exchange->stream                  ? -1
               : exchange->priority < URGENCY_MAX ? exchange->priority
                                                  : URGENCY_MAX,
  };

  for (size_t i = 0; i < request->headers.count; i++)
    {
      const struct marjoram_header *header = &request->headers.items[i];

      if (!marjoram_header_list_is_hop_by_hop (&request->headers, header->name)
          && dialect->passes_to_upstream (header->name))
        marjoram_header_list_add (headers, header->name, header->value);
    }
  dialect->write_run (&metadata, headers);
}

static marjoram_bytes *
write_message (marjoram_gateway *gateway,
               const struct marjoram_exchange *exchange, int64_t now,
               const char *copy_from)
{
  const struct marjoram_http_request *request = exchange->request;
  struct marjoram_header_list headers = { 0 };
  struct evbuffer *buffer = evbuffer_new ();
  marjoram_bytes *message;

  write_headers (gateway, exchange, now, copy_from, &headers);
  evbuffer_add_printf (buffer, "%s %s HTTP/1.1\r\n", request->method,
                       request->target);
  for (size_t i = 0; i < headers.count; i++)
    evbuffer_add_printf (buffer, "%s: %s\r\n", headers.items[i].name,
                         headers.items[i].value);
  if (request->has_body)
    evbuffer_add_printf (buffer, "Content-Length: %zu\r\n",
                         marjoram_bytes_size (request->body));
  evbuffer_add (buffer, "\r\n", 2);
  evbuffer_add (buffer, marjoram_bytes_data (request->body),
                marjoram_bytes_size (request->body));
  message = marjoram_bytes_create (evbuffer_pullup (buffer, -1),
                                   evbuffer_get_length (buffer));
  marjoram_header_list_clear (&headers);
  evbuffer_free (buffer);
  return message;
}

/* ---- Refusals. ---- */

static void
refuse (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
        int64_t now, enum marjoram_reason reason, int64_t retry_ms)
{
  const struct marjoram_refusal refusal
      = { reason, STATUS_UNAVAILABLE, retry_ms };

  marjoram_exchange_refuse (gateway, exchange, now, &refusal);
}

/* ---- Sending to an upstream of this region. ---- */

static void
add_tried (struct marjoram_exchange *exchange, const char *upstream)
{
  if (exchange->tried_count == MARJORAM_TRIED_MAX)
    return;
  snprintf (exchange->tried[exchange->tried_count++], MARJORAM_ID_MAX, "%s",
            upstream);
}

static void
make_query (const marjoram_gateway *gateway,
            const struct marjoram_exchange *exchange,
            const struct marjoram_service_rule *service, int64_t now,
            struct marjoram_place_query *query)
{
  memset (query, 0, sizeof *query);
  query->service = service;
  query->metadata = &exchange->metadata;
  query->priority = exchange->priority;
  query->time_left_ms = exchange->target_at - now;
  if (query->time_left_ms < TARGET_MIN_MS)
    query->time_left_ms = marjoram_exchange_time_left (exchange, now);
  query->time_left_ms = marjoram_exchange_place_time_ms (
      gateway, exchange, now, query->time_left_ms);
  query->allow_tried = true;
  /* A request that has been sent is not told when to retry.  */
  query->allow_engine_queue = exchange->attempts_sent > 0;
  query->build = marjoram_exchange_required_build (exchange);
  for (size_t i = 0; i < exchange->tried_count; i++)
    query->tried[query->tried_count++] = exchange->tried[i];
}

static void
send_to (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
         int64_t now, const struct marjoram_place *place,
         const struct marjoram_place_query *query)
{
  struct marjoram_http_send send = { 0 };

  if (!marjoram_exchange_take_trial (gateway, exchange, now))
    return;
  if (!marjoram_exchange_take_repeat (gateway, exchange, now))
    {
      refuse (gateway, exchange, now, MARJORAM_REASON_RETRY_BUDGET,
              REFUSED_RETRY_MS);
      return;
    }
  snprintf (exchange->upstream, sizeof exchange->upstream, "%s",
            place->upstream->heartbeat.id);
  exchange->upstream_started_at = place->upstream->heartbeat.started_at;
  snprintf (exchange->build, sizeof exchange->build, "%s",
            place->upstream->heartbeat.build);
  exchange->host[0] = '\0';
  exchange->estimated_wait_ms = place->wait_ms;
  marjoram_exchange_record_start (gateway, exchange, now, place);
  marjoram_exchange_start_attempt (gateway, exchange, now);
  marjoram_placement_attempt_started (
      gateway->placement, now, exchange->attempt, exchange->upstream, query);
  marjoram_exchange_use_room (gateway, exchange, now);
  add_tried (exchange, exchange->upstream);
  exchange->attempts_sent++;
  marjoram_run_record_sent (&exchange->runs, exchange->attempt);
  if (exchange->repeatable)
    exchange->idle_deadline
        = now + IDLE_MS + IDLE_WAIT_FACTOR * place->wait_ms;
  send.attempt = exchange->attempt;
  send.id = exchange->metadata.id;
  send.address = place->upstream->heartbeat.address;
  send.message = write_message (
      gateway, exchange, now,
      place->copy_from ? place->copy_from->heartbeat.address : NULL);
  send.head_only = strcmp (exchange->request->method, "HEAD") == 0;
  send.fresh_only = !exchange->repeatable;
  gateway->ops->send (gateway->context, &send, &exchange->connection);
  marjoram_bytes_release (send.message);
}

/* ---- Placement. ---- */

static bool
may_wait (const marjoram_gateway *gateway,
          const struct marjoram_exchange *exchange, int64_t now)
{
  return exchange->state == MARJORAM_EXCHANGE_WAITING
         && marjoram_exchange_may_wait (gateway, exchange, now);
}

/* Whether upstreams are there and only their own limits rule them out.  */
static bool
is_limited (const struct marjoram_place *chosen)
{
  return chosen->excluded[MARJORAM_EXCLUDED_RATE] > 0
         || chosen->excluded[MARJORAM_EXCLUDED_RETRY_AFTER] > 0
         || chosen->excluded[MARJORAM_EXCLUDED_ROOM] > 0;
}

static enum marjoram_reason
refusal_reason (const struct marjoram_place *chosen)
{
  if (chosen->outcome != MARJORAM_PLACE_NONE || is_limited (chosen))
    return MARJORAM_REASON_OVERLOAD;
  return chosen->candidates == 0
                 && chosen->excluded[MARJORAM_EXCLUDED_BUILD] > 0
             ? MARJORAM_REASON_OTHER_BUILD
             : MARJORAM_REASON_NO_UPSTREAM;
}

static void
refuse_place (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
              int64_t now, const struct marjoram_place *chosen)
{
  const bool none = chosen->outcome == MARJORAM_PLACE_NONE;
  int64_t retry_ms;

  if (none && chosen->candidates == 0 && may_wait (gateway, exchange, now))
    return;
  retry_ms = marjoram_shortages_retry_ms (gateway->shortages, now,
                                          exchange->service, chosen->retry_ms);
  retry_ms
      = marjoram_exchange_room_retry_ms (gateway, exchange, now, retry_ms);
  refuse (gateway, exchange, now, refusal_reason (chosen),
          marjoram_exchange_return_ms (gateway, exchange, now, retry_ms));
}

static void
copy_route_settings (struct marjoram_exchange *exchange,
                     const struct marjoram_route_table *table,
                     const struct marjoram_route_rule *route,
                     const struct marjoram_customer_rule *customer,
                     const char *service)
{
  exchange->stream = route->stream;
  exchange->repeatable = marjoram_route_may_repeat (route);
  exchange->priority = customer && customer->has_priority ? customer->priority
                                                          : route->priority;
  exchange->max_upstreams = route->max_upstreams;
  exchange->objective_ms = route->objective_ms;
  exchange->config = table->version;
  exchange->target_at
      = exchange->forwarded_target_at
            ? exchange->forwarded_target_at
            : exchange->received_at
                  + (route->objective_ms > 0 ? route->objective_ms
                                             : route->timeout_ms);
  snprintf (exchange->route, sizeof exchange->route, "%s", route->name);
  snprintf (exchange->service, sizeof exchange->service, "%s", service);
}

/* Longest wait in another region that is preferred to this one: up to the
   deadline if no upstream is left here, otherwise up to the shorter of the
   wait here and the time left to the latency target.  */
static int64_t
max_remote_wait (const marjoram_gateway *gateway,
                 const struct marjoram_exchange *exchange, int64_t now,
                 const struct marjoram_place *chosen, int64_t time_left_ms)
{
  const int64_t sort_key
      = marjoram_wait_queue_sort_key (exchange->priority, exchange->target_at)
        + marjoram_exchange_room_key (exchange)
        - marjoram_exchange_precedence_ms (gateway, exchange, now);
  int64_t here_ms;

  if (chosen->outcome == MARJORAM_PLACE_NONE)
    return marjoram_exchange_time_left (exchange, now);
  here_ms
      = marjoram_exchange_measured_wait_ms (gateway, exchange, now, sort_key);
  if (here_ms < 0)
    here_ms = marjoram_gateway_wait_ms (gateway, exchange->service, sort_key,
                                        chosen);
  here_ms += chosen->wait_ms;
  return here_ms < time_left_ms ? here_ms : time_left_ms;
}

/* Longest wait in another region that is better than a refusal.  */
static int64_t
max_useful_wait (const struct marjoram_exchange *exchange, int64_t now,
                 const struct marjoram_place *chosen, int64_t time_left_ms)
{
  return chosen->outcome == MARJORAM_PLACE_NONE
             ? marjoram_exchange_time_left (exchange, now)
             : time_left_ms;
}

static void
choose (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
        int64_t now, struct marjoram_place_query *query,
        struct marjoram_place *chosen)
{
  marjoram_placement_choose (gateway->placement, now, query, chosen);
  exchange->place = *chosen;
  exchange->place.upstream = NULL;
  exchange->place.copy_from = NULL;
  exchange->estimated_wait_ms = chosen->wait_ms;
  query->expected_ms = chosen->wait_ms;
  query->copied_tokens = chosen->copied_tokens;
}

/* Allows upstreams of a zone that is being evacuated, and leaving ones of a
   required build, for requests that no other region can serve.  */
static bool
find_last_resort (marjoram_gateway *gateway,
                  struct marjoram_exchange *exchange, int64_t now,
                  struct marjoram_place_query *query,
                  struct marjoram_place *chosen)
{
  query->last_resort = true;
  choose (gateway, exchange, now, query, chosen);
  return chosen->outcome == MARJORAM_PLACE_FOUND;
}

/* Whether this host's own connections keep the exchange from an upstream.  */
static bool
lacks_connections (const struct marjoram_exchange *exchange,
                   const struct marjoram_place *chosen)
{
  return exchange->failed_connections >= RELAY_AFTER_FAILED
         || (chosen->outcome == MARJORAM_PLACE_NONE
             && chosen->excluded[MARJORAM_EXCLUDED_UNREACHABLE] > 0);
}

/* Whether a stream that is taken up is held, to be tried again with each tick:
   the upstreams that may continue it lost their connections, and the heartbeat
   that tells whether they started again is due.  */
static bool
awaits_heartbeat (const struct marjoram_exchange *exchange, int64_t now,
                  const struct marjoram_place *chosen)
{
  return exchange->state == MARJORAM_EXCHANGE_WAITING
         && !exchange->waiter.queued && chosen->candidates == 0
         && chosen->unconfirmed > 0
         && marjoram_exchange_time_left (exchange, now) > 0;
}

static void
place (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
       const struct marjoram_route_rule *route,
       const struct marjoram_service_rule *service, int64_t now)
{
  struct marjoram_place_query query;
  struct marjoram_place chosen;
  bool found;
  bool yields;

  make_query (gateway, exchange, service, now, &query);
  if (!marjoram_exchange_allows_region (gateway, exchange, route,
                                        gateway->region))
    {
      if (!marjoram_exchange_forward (
              gateway, exchange, route, now,
              marjoram_exchange_time_left (exchange, now))
          && !may_wait (gateway, exchange, now))
        refuse (gateway, exchange, now, MARJORAM_REASON_RESIDENCY,
                REFUSED_RETRY_MS);
      return;
    }
  choose (gateway, exchange, now, &query, &chosen);
  if (lacks_connections (exchange, &chosen)
      && marjoram_exchange_relay (gateway, exchange, now))
    return;
  marjoram_exchange_judge_room (gateway, exchange, now, service, &chosen);
  yields = marjoram_exchange_yields_room (gateway, exchange, now, &chosen);
  found = chosen.outcome == MARJORAM_PLACE_FOUND && !yields
          && marjoram_exchange_is_next (gateway, exchange, now, &chosen);
  if (found
      && (marjoram_exchange_follow_session (gateway, exchange, route, now,
                                            &chosen, query.time_left_ms)
          || marjoram_exchange_spill (gateway, exchange, route, now, &chosen,
                                      query.time_left_ms)))
    return;
  if (!found
      && marjoram_exchange_forward (gateway, exchange, route, now,
                                    max_remote_wait (gateway, exchange, now,
                                                     &chosen,
                                                     query.time_left_ms)))
    return;
  if (!found && chosen.candidates == 0)
    found = find_last_resort (gateway, exchange, now, &query, &chosen);
  if (found)
    send_to (gateway, exchange, now, &chosen, &query);
  else if (!awaits_heartbeat (exchange, now, &chosen)
           && !marjoram_exchange_wait (gateway, exchange, now, &chosen)
           && !marjoram_exchange_forward_instead (
               gateway, exchange, route, now,
               max_useful_wait (exchange, now, &chosen, query.time_left_ms)))
    refuse_place (gateway, exchange, now, &chosen);
}

static const struct marjoram_route_rule *
find_route (const marjoram_gateway *gateway,
            const struct marjoram_exchange *exchange)
{
  const char *host
      = marjoram_header_list_get (&exchange->request->headers, "Host");

  return marjoram_route_table_find (gateway->table, host ? host : "",
                                    exchange->request->target);
}

const struct marjoram_route_rule *
marjoram_exchange_route (const marjoram_gateway *gateway,
                         const struct marjoram_exchange *exchange)
{
  return find_route (gateway, exchange);
}

bool
marjoram_exchange_may_run_here (const marjoram_gateway *gateway,
                                const struct marjoram_exchange *exchange)
{
  const struct marjoram_route_rule *route = find_route (gateway, exchange);

  return route
         && marjoram_exchange_allows_region (gateway, exchange, route,
                                             gateway->region);
}

bool
marjoram_exchange_has_other_place (marjoram_gateway *gateway,
                                   const struct marjoram_exchange *exchange,
                                   int64_t now)
{
  const struct marjoram_route_rule *route = find_route (gateway, exchange);
  const struct marjoram_service_rule *service
      = marjoram_route_table_service (gateway->table, exchange->service);
  struct marjoram_place_query query;
  struct marjoram_place chosen;

  if (!route || !service || exchange->build_rule == MARJORAM_BUILD_NONE)
    return false;
  make_query (gateway, exchange, service, now, &query);
  query.allow_tried = false;
  if (marjoram_exchange_allows_region (gateway, exchange, route,
                                       gateway->region))
    {
      marjoram_placement_choose (gateway->placement, now, &query, &chosen);
      if (chosen.outcome == MARJORAM_PLACE_FOUND
          || (lacks_connections (exchange, &chosen)
              && marjoram_exchange_may_relay (gateway, exchange, now)))
        return true;
    }
  return exchange->state != MARJORAM_EXCHANGE_STREAMING
         && marjoram_exchange_may_forward (gateway, exchange, route, now,
                                           query.time_left_ms);
}

int64_t
marjoram_exchange_retry_ms (marjoram_gateway *gateway,
                            const struct marjoram_exchange *exchange,
                            int64_t now)
{
  const struct marjoram_service_rule *service
      = marjoram_route_table_service (gateway->table, exchange->service);
  struct marjoram_place_query query;
  struct marjoram_place chosen;

  if (!service || !marjoram_exchange_may_run_here (gateway, exchange))
    return REFUSED_RETRY_MS;
  make_query (gateway, exchange, service, now, &query);
  marjoram_placement_choose (gateway->placement, now, &query, &chosen);
  return marjoram_exchange_return_ms (gateway, exchange, now,
                                      chosen.outcome == MARJORAM_PLACE_FOUND
                                          ? REFUSED_RETRY_MS
                                          : chosen.retry_ms);
}

/* Whether the exchange would be started so late in a stop of this host that
   another host serves it more surely.  */
static bool
is_late_in_drain (const marjoram_gateway *gateway,
                  const struct marjoram_exchange *exchange, int64_t now)
{
  const int64_t ends_at = now
                          + (int64_t)marjoram_placement_request_ms (
                              gateway->placement, exchange->service);

  return (now >= gateway->drain.start_until
          || ends_at > gateway->drain.answer_by)
         && !marjoram_exchange_may_have_run (exchange);
}

/* Looks up the route on each attempt, so that a retry follows the current
   configuration.  */
void
marjoram_exchange_send (marjoram_gateway *gateway,
                        struct marjoram_exchange *exchange, int64_t now)
{
  const struct marjoram_route_table *table = gateway->table;
  const struct marjoram_route_rule *route = find_route (gateway, exchange);
  const char *service;
  const struct marjoram_service_rule *rule;

  if (route && *exchange->required_service
      && !marjoram_route_has_service (route, exchange->required_service))
    {
      refuse (gateway, exchange, now, MARJORAM_REASON_CONFIG_CHANGED,
              REFUSED_RETRY_MS);
      return;
    }
  service = route ? marjoram_exchange_service (exchange, route) : NULL;
  rule = service ? marjoram_route_table_service (table, service) : NULL;
  if (!rule)
    {
      const struct marjoram_refusal refusal
          = { MARJORAM_REASON_CONFIG_CHANGED, STATUS_NOT_FOUND, 0 };

      marjoram_exchange_refuse (gateway, exchange, now, &refusal);
      return;
    }
  if (!marjoram_exchange_check_key (gateway, exchange, now))
    return;
  copy_route_settings (exchange, table, route,
                       marjoram_exchange_customer (gateway, exchange),
                       service);
  /* The configuration may have changed since the last attempt.  */
  if (marjoram_exchange_may_have_run (exchange) && !exchange->repeatable)
    {
      refuse (gateway, exchange, now, MARJORAM_REASON_CONFIG_CHANGED, 0);
      return;
    }
  if (marjoram_exchange_refuse_crashing (gateway, exchange, now))
    return;
  if (is_late_in_drain (gateway, exchange, now))
    {
      marjoram_exchange_refuse_draining (gateway, exchange, now);
      return;
    }
  if (exchange->build_rule == MARJORAM_BUILD_NONE)
    {
      refuse (gateway, exchange, now, MARJORAM_REASON_BUILD_UNKNOWN,
              REFUSED_RETRY_MS);
      return;
    }
  if (exchange->failed_connections >= FAILED_CONNECTIONS_MAX)
    {
      refuse (gateway, exchange, now, MARJORAM_REASON_NO_UPSTREAM,
              REFUSED_RETRY_MS);
      return;
    }
  place (gateway, exchange, route, rule, now);
}
