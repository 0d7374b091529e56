#include "gateway_private.h"

#include "cleanup.h"
#include "event_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  STATUS_BAD_REQUEST = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_BAD_GATEWAY = 502,
  STATUS_UNAVAILABLE = 503,
  STATUS_GATEWAY_TIMEOUT = 504,
  /* Retry-After of a host that has no configuration yet, which it obtains
     within a few round trips.  */
  NO_CONFIG_RETRY_MS = 300,
  /* Safety margin by which the proxy answers before the caller's deadline.  */
  DEADLINE_MARGIN_MS = 20,
  /* Period after a configuration change in which the previous timeouts still
     apply.  Must be below the 3 s within which a change has to take
     effect.  */
  CONFIG_CHANGE_GRACE_MS = 2000,
  /* For STARTUP_MS after its start a host may not have its configuration or
     its upstreams yet.  Requests received in that period wait up to
     STARTUP_WAIT_MS for them: keepers report within that time, and upstreams
     with their next heartbeat if the keepers have just started too.  */
  STARTUP_MS = 4000,
  STARTUP_WAIT_MS = 500,
  /* An upstream that sends no data for any request of this host for this long
     is considered stalled.  A batch of an engine takes about 10 ms.  */
  UPSTREAM_STALL_MS = 800,
  /* Retry-After of a stopping host: another host can serve the request at
     once.  */
  DRAINING_RETRY_MS = 20,
  /* Interval between checks of an attempt that is idle but not abandoned.  */
  IDLE_CHECK_MS = 200,
  WAIT_TEXT_MAX = 128 /* bytes of a log line */
};

static void
update_features (marjoram_gateway *gateway)
{
  struct marjoram_load_features needed = { 0 };

  if (gateway->table)
    needed = marjoram_load_features_of_table (gateway->table);
  gateway->features = gateway->options.load;
  marjoram_load_features_add (&gateway->features, &needed);
  marjoram_placement_set_features (gateway->placement, &gateway->features);
}

marjoram_gateway *
marjoram_gateway_create (const struct marjoram_gateway_options *options,
                         const struct marjoram_gateway_ops *ops, void *context,
                         int64_t now)
{
  marjoram_gateway *gateway = marjoram_alloc (sizeof *gateway);

  gateway->options = *options;
  gateway->region = marjoram_strdup (options->place.region);
  gateway->host = marjoram_strdup (options->place.host);
  gateway->ops = ops;
  gateway->context = context;
  gateway->placement = marjoram_placement_create (&options->place);
  gateway->budget = marjoram_repeat_budget_create (&options->repeats, now);
  gateway->crashes = marjoram_crash_list_create ();
  gateway->queue = marjoram_wait_queue_create ();
  gateway->queue_rates = marjoram_queue_rates_create ();
  gateway->shortages = marjoram_shortages_create ();
  gateway->windows = marjoram_forward_windows_create ();
  gateway->room = marjoram_room_share_create ();
  gateway->lease = marjoram_key_lease_create (options->key_lease_ms);
  gateway->quotas
      = marjoram_quota_pool_create (&marjoram_gateway_quota_ops, gateway);
  gateway->origins = marjoram_stream_origins_create ();
  gateway->created_at = now;
  gateway->drain = marjoram_drain_window_none ();
  if (gateway->options.answers.answer_bytes == 0)
    gateway->options.answers
        = (struct marjoram_answer_limits){ MARJORAM_BODY_MAX,
                                           (size_t)2 * MARJORAM_BODY_MAX };
  update_features (gateway);
  return gateway;
}

marjoram_placement *
marjoram_gateway_placement (marjoram_gateway *gateway)
{
  return gateway->placement;
}

marjoram_repeat_budget *
marjoram_gateway_budget (marjoram_gateway *gateway)
{
  return gateway->budget;
}

marjoram_crash_list *
marjoram_gateway_crash_list (marjoram_gateway *gateway)
{
  return gateway->crashes;
}

marjoram_quota_pool *
marjoram_gateway_quota_pool (marjoram_gateway *gateway)
{
  return gateway->quotas;
}

const marjoram_forward_windows *
marjoram_gateway_forward_windows (const marjoram_gateway *gateway)
{
  return gateway->windows;
}

marjoram_room_share *
marjoram_gateway_room_share (marjoram_gateway *gateway)
{
  return gateway->room;
}

marjoram_key_lease *
marjoram_gateway_key_lease (marjoram_gateway *gateway)
{
  return gateway->lease;
}

void
marjoram_gateway_set_answer_limits (
    marjoram_gateway *gateway, const struct marjoram_answer_limits *limits)
{
  gateway->options.answers = *limits;
}

void
marjoram_gateway_set_load (marjoram_gateway *gateway,
                           const struct marjoram_load_features *load)
{
  gateway->options.load = *load;
  update_features (gateway);
}

const struct marjoram_load_features *
marjoram_gateway_features (const marjoram_gateway *gateway)
{
  return &gateway->features;
}

void
marjoram_gateway_set_table (marjoram_gateway *gateway, int64_t now,
                            const struct marjoram_route_table *table)
{
  gateway->previous_table = gateway->table;
  gateway->previous_set_at = gateway->table_set_at;
  gateway->table = table;
  gateway->table_set_at = now;
  update_features (gateway);
  marjoram_room_share_set_table (gateway->room, table);
  marjoram_customer_index_destroy (gateway->customers);
  gateway->customers = NULL;
}

void
marjoram_gateway_set_drain (marjoram_gateway *gateway,
                            const struct marjoram_drain_window *window)
{
  gateway->drain = *window;
}

bool
marjoram_gateway_forwards_to (const marjoram_gateway *gateway,
                              const char *host)
{
  const struct marjoram_exchange *exchange;
  const struct marjoram_exchange *next;

  HASH_ITER (by_call, gateway->by_call, exchange, next)
  {
    if (strcmp (exchange->host, host) == 0)
      return true;
  }
  return false;
}

bool
marjoram_gateway_is_forwarded_to (const marjoram_gateway *gateway,
                                  uint64_t attempt, const char *host)
{
  const struct marjoram_exchange *exchange;

  HASH_FIND (by_attempt, gateway->by_attempt, &attempt, sizeof attempt,
             exchange);
  return exchange && *exchange->host && strcmp (exchange->host, host) == 0;
}

size_t
marjoram_gateway_request_count (const marjoram_gateway *gateway)
{
  return HASH_CNT (by_call, gateway->by_call);
}

const char *
marjoram_exchange_digest (struct marjoram_exchange *exchange)
{
  const struct marjoram_http_request *request = exchange->request;
  const char *host = marjoram_header_list_get (&request->headers, "Host");
  const char *const texts[]
      = { host ? host : "", request->method, request->target };

  if (!*exchange->digest)
    marjoram_digest_request (texts, sizeof texts / sizeof *texts,
                             request->body, exchange->digest);
  return exchange->digest;
}

/* ---- Completion. ---- */

static void
destroy (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
         int64_t now)
{
  marjoram_quota_pool_release (gateway->quotas, now, &exchange->quota,
                               marjoram_exchange_may_have_run (exchange));
  HASH_DELETE (by_call, gateway->by_call, exchange);
  marjoram_wait_queue_remove (gateway->queue, &exchange->waiter);
  marjoram_forwarded_request_cancelled (&exchange->forward);
  marjoram_http_request_destroy (exchange->request);
  marjoram_header_list_clear (&exchange->headers);
  marjoram_event_stream_destroy (exchange->events);
  evbuffer_free (exchange->body);
  gateway->answer_bytes -= exchange->answer_held;
  free (exchange);
}

void
marjoram_gateway_destroy (marjoram_gateway *gateway)
{
  struct marjoram_exchange *exchange;
  struct marjoram_exchange *next;

  if (!gateway)
    return;
  HASH_ITER (by_call, gateway->by_call, exchange, next)
  {
    if (exchange->attempt)
      HASH_DELETE (by_attempt, gateway->by_attempt, exchange);
    destroy (gateway, exchange, exchange->received_at);
  }
  marjoram_placement_destroy (gateway->placement);
  marjoram_repeat_budget_destroy (gateway->budget);
  marjoram_crash_list_destroy (gateway->crashes);
  marjoram_wait_queue_destroy (gateway->queue);
  marjoram_queue_rates_destroy (gateway->queue_rates);
  marjoram_shortages_destroy (gateway->shortages);
  marjoram_forward_windows_destroy (gateway->windows);
  marjoram_room_share_destroy (gateway->room);
  marjoram_key_lease_destroy (gateway->lease);
  marjoram_quota_pool_destroy (gateway->quotas);
  marjoram_customer_index_destroy (gateway->customers);
  marjoram_stream_origins_destroy (gateway->origins);
  marjoram_gateway_destroy_checks (gateway);
  free (gateway->region);
  free (gateway->host);
  free (gateway);
}

/* Name of the limit that ended the request, for the log.  */
static const char *
limit_name (const struct marjoram_exchange *exchange,
            enum marjoram_reason reason)
{
  if (reason == MARJORAM_REASON_DEADLINE)
    return exchange->is_caller_deadline ? "caller-patience" : "route-timeout";
  if (reason == MARJORAM_REASON_OVERLOAD)
    return marjoram_place_limit_name (exchange->place.limit);
  return "none";
}

const char *
marjoram_framing_name (enum marjoram_framing framing)
{
  static const char *const names[] = { [MARJORAM_FRAMING_NONE] = "none",
                                       [MARJORAM_FRAMING_LENGTH] = "length",
                                       [MARJORAM_FRAMING_CHUNKS] = "chunks",
                                       [MARJORAM_FRAMING_CLOSE] = "close" };

  return names[framing];
}

size_t
marjoram_exchange_unfinished (const struct marjoram_exchange *exchange)
{
  return exchange->events ? marjoram_event_stream_unfinished (exchange->events)
                          : 0;
}

/* Time since the last event was sent to the caller; -1 if none was.  */
static int64_t
since_last_event_ms (const struct marjoram_exchange *exchange, int64_t now)
{
  return exchange->last_event_at ? now - exchange->last_event_at : -1;
}

static void
log_end (const marjoram_gateway *gateway,
         const struct marjoram_exchange *exchange, int64_t now,
         const char *outcome, enum marjoram_reason reason, int status)
{
  char wait[WAIT_TEXT_MAX];
  int64_t first_ms = exchange->first_event_at
                         ? exchange->first_event_at - exchange->received_at
                         : -1;

  marjoram_exchange_write_wait (gateway, exchange, now, wait, sizeof wait);
  marjoram_event (
      MARJORAM_EVENT_REQUEST,
      "id=%s outcome=%s reason=%s status=%d ms=%" PRId64 " first_ms=%" PRId64
      " objective_ms=%" PRId64 " estimate_ms=%" PRId64 " backlog_ms=%" PRId64
      " copied=%" PRId64
      " candidates=%d usable=%d unreachable=%d cold=%d reported_lost=%d "
      "rate_limited=%d retry_after=%d full=%d other_build=%d "
      "news_age_ms=%" PRId64 " zones_number=%" PRIu64 " zones_age_ms=%" PRId64
      " zones_evacuated=%zu"
      " limit=%s framing=%s unfinished=%zu events=%d quiet_ms=%" PRId64
      " pause_ms=%" PRId64
      " route=%s service=%s customer=%s priority=%d config=%" PRIu64
      " upstream=%s build=%s host=%s arrivals=%d unreached=%d forwarded=%d"
      " last_event=%s resumes=%s share=%s part=%d attempt=%" PRIu64
      " maybe_run=%d proof=%s answer_id=%s%s",
      *exchange->metadata.id ? exchange->metadata.id : "-", outcome,
      marjoram_reason_name (reason), status, now - exchange->received_at,
      first_ms, exchange->objective_ms, exchange->estimated_wait_ms,
      exchange->place.backlog_ms, exchange->place.copied_tokens,
      exchange->place.candidates, exchange->place.usable,
      exchange->place.excluded[MARJORAM_EXCLUDED_UNREACHABLE],
      exchange->place.excluded[MARJORAM_EXCLUDED_COLD],
      exchange->place.excluded[MARJORAM_EXCLUDED_REPORTED_LOST],
      exchange->place.excluded[MARJORAM_EXCLUDED_RATE],
      exchange->place.excluded[MARJORAM_EXCLUDED_RETRY_AFTER],
      exchange->place.excluded[MARJORAM_EXCLUDED_ROOM],
      exchange->place.excluded[MARJORAM_EXCLUDED_BUILD],
      exchange->place.heartbeat_age_ms, exchange->place.zones.number,
      exchange->place.zones.age_ms, exchange->place.zones.evacuated,
      limit_name (exchange, reason), marjoram_framing_name (exchange->framing),
      marjoram_exchange_unfinished (exchange), exchange->events_sent,
      since_last_event_ms (exchange, now), exchange->longest_gap_ms,
      *exchange->route ? exchange->route : "-",
      *exchange->service ? exchange->service : "-",
      *exchange->customer ? exchange->customer : "-", exchange->priority,
      exchange->config, *exchange->upstream ? exchange->upstream : "-",
      *exchange->build ? exchange->build : "-",
      *exchange->host ? exchange->host : "-", exchange->attempts_sent,
      exchange->failed_connections, exchange->forwarded,
      *exchange->metadata.last_event ? exchange->metadata.last_event : "-",
      *exchange->metadata.resumes ? exchange->metadata.resumes : "-",
      marjoram_exchange_room_name (exchange),
      exchange->room.verdict == MARJORAM_ROOM_UNKNOWN ? -1
                                                      : exchange->room.part,
      exchange->runs.attempt, exchange->runs.unproven,
      marjoram_run_proof_name (exchange->runs.proof),
      marjoram_exchange_answer_id (exchange), wait);
}

bool
marjoram_exchange_may_have_run (const struct marjoram_exchange *exchange)
{
  return marjoram_run_record_may_have_run (&exchange->runs);
}

static struct marjoram_request_failure
make_failure (const struct marjoram_exchange *exchange,
              const struct marjoram_refusal *refusal)
{
  struct marjoram_request_failure failure
      = { .outcome = marjoram_run_record_outcome (&exchange->runs),
          .reason = refusal->reason,
          .status = refusal->status,
          .retry_ms = refusal->retry_ms,
          .unreached = exchange->attempts_sent == 0 };

  if (failure.outcome == MARJORAM_OUTCOME_NOT_RUN)
    return failure;
  failure.status = refusal->reason == MARJORAM_REASON_DEADLINE
                       ? STATUS_GATEWAY_TIMEOUT
                       : STATUS_BAD_GATEWAY;
  failure.retry_ms = 0;
  return failure;
}

void
marjoram_exchange_refuse (marjoram_gateway *gateway,
                          struct marjoram_exchange *exchange, int64_t now,
                          const struct marjoram_refusal *refusal)
{
  marjoram_metrics *metrics = gateway->options.metrics;
  const struct marjoram_request_failure failure
      = make_failure (exchange, refusal);
  uint64_t call = exchange->call;

  marjoram_exchange_count_refusal (gateway, exchange, now, failure.reason);
  exchange->wait.retry_ms = failure.retry_ms;
  marjoram_exchange_record_wait_end (gateway, exchange, now);
  marjoram_exchange_drop_attempt (gateway, exchange, now,
                                  MARJORAM_ATTEMPT_CANCELLED);
  marjoram_metrics_add (metrics,
                        failure.outcome == MARJORAM_OUTCOME_NOT_RUN
                            ? MARJORAM_METRIC_NOT_RUN
                            : MARJORAM_METRIC_UNKNOWN,
                        1);
  marjoram_metrics_add_refusal (metrics, failure.reason);
  log_end (gateway, exchange, now, marjoram_outcome_name (failure.outcome),
           failure.reason, failure.status);
  if (exchange->state == MARJORAM_EXCHANGE_STREAMING)
    gateway->ops->reply_abort (gateway->context, call);
  else
    gateway->ops->reply_failure (gateway->context, call, &failure);
  destroy (gateway, exchange, now);
}

void
marjoram_exchange_finish (marjoram_gateway *gateway,
                          struct marjoram_exchange *exchange, int64_t now,
                          bool whole)
{
  marjoram_metrics *metrics = gateway->options.metrics;

  marjoram_metrics_add (
      metrics, whole ? MARJORAM_METRIC_ANSWERED : MARJORAM_METRIC_UNKNOWN, 1);
  if (whole)
    marjoram_crash_list_add_answer (gateway->crashes,
                                    marjoram_exchange_digest (exchange));
  marjoram_metrics_observe (metrics, MARJORAM_TIMING_TOTAL,
                            now - exchange->received_at);
  log_end (gateway, exchange, now, whole ? "done" : "cut",
           MARJORAM_REASON_NONE, exchange->status);
  destroy (gateway, exchange, now);
}

static struct marjoram_exchange *
find_call (marjoram_gateway *gateway, uint64_t call)
{
  struct marjoram_exchange *exchange;

  HASH_FIND (by_call, gateway->by_call, &call, sizeof call, exchange);
  return exchange;
}

/* Closing the connection tells the upstream to stop work on the request.  */
void
marjoram_gateway_caller_disconnected (marjoram_gateway *gateway, int64_t now,
                                      uint64_t call)
{
  struct marjoram_exchange *exchange = find_call (gateway, call);

  if (!exchange)
    return;
  marjoram_exchange_drop_attempt (gateway, exchange, now,
                                  MARJORAM_ATTEMPT_CANCELLED);
  marjoram_metrics_add (gateway->options.metrics, MARJORAM_METRIC_CALLER_LEFT,
                        1);
  marjoram_exchange_record_wait_end (gateway, exchange, now);
  log_end (gateway, exchange, now, "caller-left", MARJORAM_REASON_NONE,
           exchange->status);
  destroy (gateway, exchange, now);
}

/* ---- Admission. ---- */

static void
refuse_at_once (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
                int64_t now, enum marjoram_reason reason, int status,
                int64_t retry_ms)
{
  const struct marjoram_refusal refusal = { reason, status, retry_ms };

  marjoram_exchange_refuse (gateway, exchange, now, &refusal);
}

void
marjoram_exchange_refuse_draining (marjoram_gateway *gateway,
                                   struct marjoram_exchange *exchange,
                                   int64_t now)
{
  refuse_at_once (gateway, exchange, now, MARJORAM_REASON_DRAINING,
                  STATUS_UNAVAILABLE, DRAINING_RETRY_MS);
}

/* Hosts apply a configuration at slightly different times.  For
   CONFIG_CHANGE_GRACE_MS after a change the longer of the old and the new
   timeout applies, so that a change does not cut answers in progress.  */
static int64_t
effective_timeout (const marjoram_gateway *gateway, const char *host,
                   const struct marjoram_exchange *exchange,
                   const struct marjoram_route_rule *route)
{
  const struct marjoram_route_rule *previous = NULL;

  if (gateway->previous_table
      && exchange->received_at
             < gateway->table_set_at + CONFIG_CHANGE_GRACE_MS)
    previous = marjoram_route_table_find (gateway->previous_table, host,
                                          exchange->request->target);
  return previous && previous->timeout_ms > route->timeout_ms
             ? previous->timeout_ms
             : route->timeout_ms;
}

static void
set_deadline (struct marjoram_exchange *exchange, int64_t timeout_ms)
{
  int64_t caller_timeout = exchange->metadata.caller_timeout_ms;

  exchange->wait.tried_ms
      = marjoram_queue_tried_ms (timeout_ms, caller_timeout);
  exchange->deadline_at = exchange->received_at + timeout_ms;
  exchange->is_caller_deadline
      = caller_timeout > 0 && caller_timeout - DEADLINE_MARGIN_MS < timeout_ms;
  if (exchange->is_caller_deadline)
    exchange->deadline_at
        = exchange->received_at + caller_timeout - DEADLINE_MARGIN_MS;
}

/* Recomputes the deadline from the current configuration.  Returns whether it
   lies after NOW.  */
static bool
extend_deadline (const marjoram_gateway *gateway,
                 struct marjoram_exchange *exchange, int64_t now)
{
  const char *host
      = marjoram_header_list_get (&exchange->request->headers, "Host");
  const struct marjoram_route_rule *route = marjoram_route_table_find (
      gateway->table, host ? host : "", exchange->request->target);

  if (route)
    set_deadline (exchange,
                  effective_timeout (gateway, host, exchange, route));
  return now < exchange->deadline_at;
}

bool
marjoram_exchange_may_wait (const marjoram_gateway *gateway,
                            const struct marjoram_exchange *exchange,
                            int64_t now)
{
  return now < gateway->created_at + STARTUP_MS && !exchange->forwarded
         && exchange->attempts_sent == 0
         && now < exchange->received_at + STARTUP_WAIT_MS;
}

/* Finds the route and sends or refuses the request, or leaves it waiting where
   marjoram_exchange_may_wait allows that or it waits for its quota.  */
void
marjoram_exchange_admit (marjoram_gateway *gateway,
                         struct marjoram_exchange *exchange, int64_t now)
{
  const char *host
      = marjoram_header_list_get (&exchange->request->headers, "Host");
  const struct marjoram_route_rule *route;

  if (!gateway->table)
    {
      if (!marjoram_exchange_may_wait (gateway, exchange, now))
        refuse_at_once (gateway, exchange, now, MARJORAM_REASON_NO_CONFIG,
                        STATUS_UNAVAILABLE, NO_CONFIG_RETRY_MS);
      return;
    }
  route = marjoram_route_table_find (gateway->table, host ? host : "",
                                     exchange->request->target);
  if (!route)
    {
      refuse_at_once (gateway, exchange, now, MARJORAM_REASON_UNKNOWN_MODEL,
                      STATUS_NOT_FOUND, 0);
      return;
    }
  if (!marjoram_exchange_identify (gateway, exchange, route, now))
    return;
  set_deadline (exchange, effective_timeout (gateway, host, exchange, route));
  if (!marjoram_exchange_find_origin (gateway, exchange, route, now))
    return;
  if (!marjoram_exchange_pay (gateway, exchange, now))
    return;
  marjoram_exchange_send (gateway, exchange, now);
}

static void
count_request (marjoram_gateway *gateway,
               const struct marjoram_exchange *exchange, int64_t now)
{
  const char *host
      = marjoram_header_list_get (&exchange->request->headers, "Host");
  const struct marjoram_route_rule *route
      = gateway->table ? marjoram_route_table_find (
            gateway->table, host ? host : "", exchange->request->target)
                       : NULL;
  const char *service
      = route ? marjoram_route_pick_service (route, exchange->metadata.id)
              : NULL;

  marjoram_metrics_add (gateway->options.metrics,
                        exchange->forwarded ? MARJORAM_METRIC_FORWARDED_IN
                                            : MARJORAM_METRIC_REQUESTS,
                        1);
  if (service && !exchange->forwarded)
    marjoram_repeat_budget_add_request (gateway->budget, now, service);
}

void
marjoram_gateway_receive (marjoram_gateway *gateway, int64_t now,
                          uint64_t call, struct marjoram_http_request *request,
                          const struct marjoram_forwarded *forwarded)
{
  struct marjoram_exchange *exchange = marjoram_alloc (sizeof *exchange);

  exchange->call = call;
  exchange->request = request;
  exchange->forwarded = forwarded != NULL;
  exchange->received_at = now;
  exchange->deadline_at = INT64_MAX;
  exchange->idle_deadline = INT64_MAX;
  exchange->body = evbuffer_new ();
  gateway->options.dialect->ops->read_call (&request->headers,
                                            &exchange->metadata);
  if (forwarded && forwarded->caller_timeout_ms > 0)
    exchange->metadata.caller_timeout_ms = forwarded->caller_timeout_ms;
  if (forwarded && forwarded->customer)
    snprintf (exchange->customer, sizeof exchange->customer, "%s",
              forwarded->customer);
  if (forwarded && forwarded->service)
    snprintf (exchange->required_service, sizeof exchange->required_service,
              "%s", forwarded->service);
  if (forwarded && forwarded->build)
    marjoram_exchange_require_build (exchange, forwarded->build);
  if (!forwarded)
    marjoram_exchange_read_key (gateway, exchange);
  if (forwarded && forwarded->time_left_ms > 0)
    exchange->forwarded_target_at = now + forwarded->time_left_ms;
  HASH_ADD (by_call, gateway->by_call, call, sizeof exchange->call, exchange);
  count_request (gateway, exchange, now);
  if (exchange->metadata.parts_ignored > 0)
    marjoram_event (MARJORAM_EVENT_REQUEST, "id=%s parts_ignored=%zu",
                    exchange->metadata.id, exchange->metadata.parts_ignored);
  if (!*exchange->metadata.id)
    {
      refuse_at_once (gateway, exchange, now, MARJORAM_REASON_BAD_REQUEST,
                      STATUS_BAD_REQUEST, 0);
      return;
    }
  marjoram_exchange_admit (gateway, exchange, now);
  marjoram_quota_pool_serve (gateway->quotas, now);
}

/* ---- Timeouts. ---- */

static void
time_out (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
          int64_t now)
{
  static const struct marjoram_refusal refusal
      = { MARJORAM_REASON_DEADLINE, STATUS_UNAVAILABLE, 0 };

  marjoram_exchange_refuse (gateway, exchange, now, &refusal);
}

/* Time up to which this host has processed its input.  Answers may be delayed
   on this host's own link for seconds, so idle timeouts are measured against
   this time instead of the clock.  The lag is bounded, so dead upstreams are
   still detected.  */
static int64_t
input_time (const marjoram_gateway *gateway, int64_t now)
{
  return now - gateway->ops->lag_ms (gateway->context);
}

/* The end of a stream that has begun has no other form than that of its
   connection.  What waits has not been started, and another host can.  */
static bool
is_ended_by_drain (const marjoram_gateway *gateway,
                   const struct marjoram_exchange *exchange, int64_t now)
{
  if (exchange->state == MARJORAM_EXCHANGE_STREAMING)
    return false;
  return now >= (exchange->attempt || marjoram_exchange_may_have_run (exchange)
                     ? gateway->drain.answer_by
                     : gateway->drain.start_until);
}

/* An upstream that sends data for any request is alive, even if it delays this
   one: a loaded engine may set a request aside for seconds and resume it.  A
   stalled upstream is abandoned only if the request may be sent once more and
   another place accepts it, since a stream that is cut otherwise is lost.  For
   a forwarded request the forwarding host decides.  */
static bool
should_abandon (marjoram_gateway *gateway,
                const struct marjoram_exchange *exchange, int64_t now)
{
  int64_t data_received_at = marjoram_placement_last_received_at (
      gateway->placement, exchange->attempt);

  return input_time (gateway, now) >= data_received_at + UPSTREAM_STALL_MS
         && marjoram_exchange_may_retry (gateway, exchange, now)
         && marjoram_exchange_has_other_place (gateway, exchange, now);
}

static void
check_idle (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
            int64_t now)
{
  if (!should_abandon (gateway, exchange, now))
    {
      exchange->idle_deadline = input_time (gateway, now) + IDLE_CHECK_MS;
      return;
    }
  marjoram_exchange_drop_attempt (gateway, exchange, now,
                                  MARJORAM_ATTEMPT_TIMED_OUT);
  marjoram_exchange_retry (gateway, exchange, now,
                           MARJORAM_REASON_UPSTREAM_SILENT);
}

void
marjoram_gateway_tick (marjoram_gateway *gateway, int64_t now)
{
  struct marjoram_exchange *exchange;
  struct marjoram_exchange *next;

  marjoram_gateway_check_upstreams (gateway, now);
  HASH_ITER (by_call, gateway->by_call, exchange, next)
  {
    if (is_ended_by_drain (gateway, exchange, now))
      marjoram_exchange_refuse_draining (gateway, exchange, now);
    else if (exchange->state == MARJORAM_EXCHANGE_WAITING
             && !exchange->waiter.queued)
      marjoram_exchange_admit (gateway, exchange, now);
    else if (now >= exchange->deadline_at
             && !extend_deadline (gateway, exchange, now))
      time_out (gateway, exchange, now);
    else if (exchange->attempt && exchange->unnamed_until)
      marjoram_exchange_check_unnamed (gateway, exchange,
                                       input_time (gateway, now));
    else if (exchange->attempt
             && input_time (gateway, now) >= exchange->idle_deadline)
      check_idle (gateway, exchange, now);
  }
  marjoram_quota_pool_tick (gateway->quotas, now);
  marjoram_gateway_update_hosts (gateway, now);
  marjoram_gateway_retry_queued (gateway, now);
  marjoram_forward_windows_tick (gateway->windows, now);
  marjoram_placement_tick (gateway->placement, now);
  marjoram_gateway_tick_crashes (gateway, now);
  marjoram_stream_origins_expire (gateway->origins, now);
}

void
marjoram_gateway_link_lost (marjoram_gateway *gateway, int64_t now,
                            const char *host)
{
  struct marjoram_exchange *exchange;
  struct marjoram_exchange *next;

  HASH_ITER (by_call, gateway->by_call, exchange, next)
  {
    if (exchange->attempt && strcmp (exchange->host, host) == 0)
      marjoram_gateway_end (gateway, now, exchange->attempt,
                            MARJORAM_HTTP_BROKEN);
  }
}
