#include "gateway_private.h"

#include "cleanup.h"
#include "event_log.h"
#include "retry_after.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

enum
{
  STATUS_TOO_MANY_REQUESTS = 429,
  STATUS_UNAVAILABLE = 503,
  STATUS_SERVER_ERROR = 500,
  SUCCESS = 2, /* status class 2xx */
  RETRY_TIME_MIN_MS = 30,
  /* Time for an upstream's own answer after one that names no request.  */
  UNNAMED_WAIT_MS = 250,
  /* Attempts allowed beyond max_upstreams, for upstreams that refused without
     running the request.  */
  EXTRA_ATTEMPTS = 2,
  /* Stopping hosts that a request is sent to one after the other.  */
  LEAVING_HOSTS_MAX = 3,
  /* Idle timeout of resumable streams: above the pauses of a busy engine and
     below the 2 s after which callers give up.  */
  STREAM_IDLE_MS = 1500,
  EVENT_BYTES_MAX = 1024 * 1024, /* one event of a stream */
  /* Body of a refusal, which is not passed on.  */
  REFUSAL_BYTES_MAX = 64 * 1024,
  /* Events of a stream beyond one for each token that the caller allows: each
     has one at least, but there may be some without any.  */
  EVENTS_PER_TOKEN = 2,
  EVENTS_EXTRA = 64,
  /* Part of the limit of all answers that remains when it is exceeded.  */
  REMAINING_PART = 4,
  PARTS_TEXT_MAX = 160, /* bytes of a log line */
  NUMBER_TEXT_MAX = 24  /* likewise */
};

static struct marjoram_exchange *
find_attempt (marjoram_gateway *gateway, uint64_t attempt)
{
  struct marjoram_exchange *exchange;

  HASH_FIND (by_attempt, gateway->by_attempt, &attempt, sizeof attempt,
             exchange);
  return exchange;
}

static bool
is_success (const struct marjoram_exchange *exchange)
{
  return exchange->status / 100 == SUCCESS;
}

const char *
marjoram_exchange_answer_id (const struct marjoram_exchange *exchange)
{
  if (exchange->unnamed_until)
    return "none";
  return exchange->status != 0 ? "own" : "-";
}

/* ---- Retries. ---- */

/* Why the exchange may not be sent once more after its last attempt; null if
   it may.  */
static const char *
retry_denial (marjoram_gateway *gateway,
              const struct marjoram_exchange *exchange, int64_t now)
{
  const bool not_run = exchange->runs.proof != MARJORAM_PROOF_NONE;

  if (!not_run && !exchange->repeatable)
    return "may-have-run";
  /* Only the forwarding host retries, so that attempts do not multiply.  */
  if (!not_run && exchange->forwarded)
    return "first-host-decides";
  if (marjoram_exchange_answer_time (gateway, exchange, now)
      < RETRY_TIME_MIN_MS)
    return "no-time";
  if (exchange->runs.unproven >= exchange->max_upstreams
      || exchange->attempts_sent >= exchange->max_upstreams + EXTRA_ATTEMPTS)
    return "upstreams-used";
  if (!marjoram_exchange_may_repeat (gateway, exchange, now))
    return "budget-used";
  return NULL;
}

bool
marjoram_exchange_may_retry (marjoram_gateway *gateway,
                             const struct marjoram_exchange *exchange,
                             int64_t now)
{
  return retry_denial (gateway, exchange, now) == NULL;
}

/* Writes the ids of all parts of the prompt but the last, which no other
   request has, in hexadecimal; as many as fit.  */
static void
write_shared_parts (const struct marjoram_exchange *exchange, char *text,
                    size_t size)
{
  const struct marjoram_call_metadata *metadata = &exchange->metadata;
  size_t used = 0;

  snprintf (text, size, "-");
  for (size_t i = 0; i + 1 < metadata->part_count && used < size; i++)
    used += (size_t)snprintf (text + used, size - used, "%s%" PRIx64,
                              i > 0 ? "," : "", metadata->parts[i].id);
}

static void
write_retry_after (const struct marjoram_exchange *exchange, char *text,
                   size_t size)
{
  if (!exchange->has_retry_after)
    snprintf (text, size, "-");
  else if (exchange->retry_after_ms < 0)
    snprintf (text, size, "invalid");
  else
    snprintf (text, size, "%" PRId64, exchange->retry_after_ms);
}

static void
log_attempt (const marjoram_gateway *gateway,
             const struct marjoram_exchange *exchange, int64_t now,
             enum marjoram_reason reason, const char *denial)
{
  struct marjoram_repeat_usage usage;
  char parts[PARTS_TEXT_MAX];
  char retry_after[NUMBER_TEXT_MAX];

  write_retry_after (exchange, retry_after, sizeof retry_after);
  marjoram_repeat_budget_get_usage (gateway->budget, exchange->service,
                                    &usage);
  write_shared_parts (exchange, parts, sizeof parts);
  marjoram_event (
      MARJORAM_EVENT_ATTEMPT,
      "id=%s failed=%s retry=%s service=%s upstream=%s build=%s host=%s "
      "status=%d framing=%s unfinished=%zu events=%d arrivals=%d runs=%d "
      "lag_ms=%" PRId64 " repeats=%" PRIu64 " repeats_allowed=%.1f "
      "attempt_events=%d retry_after_ms=%s paused_ms=%" PRId64 " forwarded=%d "
      "queued=%d attempt=%" PRIu64 " connection=%" PRIu64
      " connection_requests=%zu proof=%s answer_id=%s parts=%s",
      exchange->metadata.id, marjoram_reason_name (reason),
      denial ? denial : "yes", exchange->service,
      *exchange->upstream ? exchange->upstream : "-",
      *exchange->build ? exchange->build : "-",
      *exchange->host ? exchange->host : "-", exchange->status,
      marjoram_framing_name (exchange->framing),
      marjoram_exchange_unfinished (exchange), exchange->events_sent,
      exchange->attempts_sent, exchange->runs.unproven,
      gateway->ops->lag_ms (gateway->context), usage.repeats, usage.allowed,
      exchange->attempt_events, retry_after,
      marjoram_placement_paused_ms (gateway->placement, now,
                                    exchange->upstream),
      exchange->forwarded, exchange->queued_since != 0, exchange->runs.attempt,
      exchange->connection.connection, exchange->connection.requests,
      marjoram_run_proof_name (exchange->runs.proof),
      marjoram_exchange_answer_id (exchange), parts);
}

/* To be called after each change of the exchange's body or events.  */
static void
count_held (marjoram_gateway *gateway, struct marjoram_exchange *exchange)
{
  const size_t held = evbuffer_get_length (exchange->body)
                      + marjoram_exchange_unfinished (exchange);

  gateway->answer_bytes += held - exchange->answer_held;
  exchange->answer_held = held;
}

static void
reset_answer (marjoram_gateway *gateway, struct marjoram_exchange *exchange)
{
  exchange->status = 0;
  exchange->framing = MARJORAM_FRAMING_NONE;
  exchange->refused = false;
  exchange->refusal_bytes = 0;
  exchange->is_signed = false;
  exchange->has_retry_after = false;
  marjoram_header_list_clear (&exchange->headers);
  evbuffer_drain (exchange->body, evbuffer_get_length (exchange->body));
  if (exchange->events)
    marjoram_event_stream_resume (exchange->events);
  count_held (gateway, exchange);
  if (exchange->state == MARJORAM_EXCHANGE_HEAD)
    exchange->state = MARJORAM_EXCHANGE_OPEN;
}

static void
retry (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
       int64_t now, enum marjoram_reason reason)
{
  log_attempt (gateway, exchange, now, reason, NULL);
  marjoram_metrics_add (gateway->options.metrics,
                        exchange->state == MARJORAM_EXCHANGE_STREAMING
                            ? MARJORAM_METRIC_RESUMED
                            : MARJORAM_METRIC_REPEATS,
                        1);
  reset_answer (gateway, exchange);
  exchange->repeat_taken = false;
  marjoram_exchange_send (gateway, exchange, now);
}

static void
fail (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
      int64_t now, enum marjoram_reason reason)
{
  struct marjoram_refusal refusal = { reason, STATUS_UNAVAILABLE, 0 };

  if (!marjoram_exchange_may_have_run (exchange))
    refusal.retry_ms = marjoram_exchange_retry_ms (gateway, exchange, now);
  marjoram_exchange_refuse (gateway, exchange, now, &refusal);
}

void
marjoram_exchange_retry (marjoram_gateway *gateway,
                         struct marjoram_exchange *exchange, int64_t now,
                         enum marjoram_reason reason)
{
  const char *denial = retry_denial (gateway, exchange, now);

  if (!denial)
    {
      retry (gateway, exchange, now, reason);
      return;
    }
  log_attempt (gateway, exchange, now, reason, denial);
  fail (gateway, exchange, now, reason);
}

/* ---- What an answer's head states. ---- */

static void
copy_headers (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
              const struct marjoram_header_list *headers)
{
  const struct marjoram_dialect_ops *dialect = gateway->options.dialect->ops;

  marjoram_header_list_clear (&exchange->headers);
  for (size_t i = 0; i < headers->count; i++)
    if (!marjoram_header_list_is_hop_by_hop (headers, headers->items[i].name)
        && dialect->passes_to_caller (headers->items[i].name))
      marjoram_header_list_add (&exchange->headers, headers->items[i].name,
                                headers->items[i].value);
}

/* Whether an answer names the request.  Upstreams repeat its id, so that any
   other answer is late, belongs to another request, or was made by something
   that did not read the request.  */
static bool
is_answer_to (const struct marjoram_exchange *exchange,
              const struct marjoram_response_metadata *metadata)
{
  return strcmp (metadata->id, exchange->metadata.id) == 0;
}

/* Records an answer that is not the exchange's own.  One without an id may be
   all that comes, for example from a proxy before the upstream.  */
static void
skip_answer (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
             int64_t now, const struct marjoram_response_metadata *metadata)
{
  marjoram_metrics_add (gateway->options.metrics,
                        *metadata->id ? MARJORAM_METRIC_STRAY_ANSWERS
                                      : MARJORAM_METRIC_ANSWERS_WITHOUT_ID,
                        1);
  if (!*metadata->id && !exchange->unnamed_until)
    exchange->unnamed_until = now + UNNAMED_WAIT_MS;
}

/* Whether an answer to a streaming route consists of events.  */
static bool
is_event_stream (const struct marjoram_header_list *headers)
{
  static const char type[] = "text/event-stream";
  const char *text = marjoram_header_list_get (headers, "Content-Type");

  return !text || strncasecmp (text, type, strlen (type)) == 0;
}

static void
record_first (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
              int64_t now)
{
  int64_t error;

  marjoram_placement_response_started (gateway->placement, now,
                                       exchange->attempt);
  marjoram_forwarded_request_began (&exchange->forward, now);
  if (exchange->first_event_at)
    return;
  exchange->first_event_at = now;
  error = now - exchange->received_at - exchange->estimated_wait_ms;
  marjoram_metrics_observe (gateway->options.metrics, MARJORAM_TIMING_FIRST,
                            now - exchange->received_at);
  marjoram_metrics_observe (gateway->options.metrics, MARJORAM_TIMING_ESTIMATE,
                            error < 0 ? -error : error);
}

/* Whether the response is of the upstream that the request was sent to, not of
   another one that has its address.  */
static bool
is_from_upstream (const struct marjoram_exchange *exchange,
                  const struct marjoram_response_metadata *metadata)
{
  return !metadata->wrong_upstream
         && (!*metadata->upstream
             || strcmp (metadata->upstream, exchange->upstream) == 0);
}

static void
record_retry_after (marjoram_gateway *gateway,
                    const struct marjoram_exchange *exchange, int64_t now)
{
  const bool is_valid = exchange->retry_after_ms >= 0;

  if (!exchange->has_retry_after
      || (exchange->status != STATUS_UNAVAILABLE
          && exchange->status != STATUS_TOO_MANY_REQUESTS))
    return;
  if (is_valid
      && (exchange->retry_after_ms == 0
          || !marjoram_placement_set_retry_after (gateway->placement, now,
                                                  exchange->attempt,
                                                  exchange->retry_after_ms)))
    return;
  marjoram_metrics_add (gateway->options.metrics, MARJORAM_METRIC_RETRY_AFTERS,
                        1);
  marjoram_event (MARJORAM_EVENT_UPSTREAM,
                  "id=%s service=%s retry_after=%s retry_after_ms=%" PRId64,
                  exchange->upstream, exchange->service,
                  is_valid ? "kept" : "invalid", exchange->retry_after_ms);
}

static void
record_leaving (marjoram_gateway *gateway,
                const struct marjoram_exchange *exchange, int64_t now)
{
  if (!marjoram_placement_set_leaving (gateway->placement, now,
                                       exchange->attempt))
    return;
  marjoram_metrics_add (gateway->options.metrics,
                        MARJORAM_METRIC_LEAVING_ANSWERS, 1);
  marjoram_event (MARJORAM_EVENT_UPSTREAM, "id=%s service=%s leaving=told",
                  exchange->upstream, exchange->service);
}

/* Records what a response of the exchange's upstream states about it.  */
static void
record_statements (marjoram_gateway *gateway,
                   const struct marjoram_exchange *exchange, int64_t now,
                   const struct marjoram_response_metadata *metadata)
{
  record_retry_after (gateway, exchange, now);
  if (metadata->leaving)
    record_leaving (gateway, exchange, now);
  if (metadata->cold_ms > 0)
    marjoram_placement_set_cold (gateway->placement, now, exchange->upstream,
                                 metadata->cold_ms);
  if (marjoram_placement_set_refusals_tolerated (gateway->placement, now,
                                                 exchange->attempt,
                                                 metadata->refusals_tolerated))
    marjoram_event (
        MARJORAM_EVENT_UPSTREAM, "id=%s service=%s refusals_tolerated=%.3f",
        exchange->upstream, exchange->service, metadata->refusals_tolerated);
  if (!marjoram_placement_set_rate_limit (
          gateway->placement, now, exchange->attempt, metadata->rate_limit))
    return;
  marjoram_metrics_add (gateway->options.metrics, MARJORAM_METRIC_RATE_LIMITS,
                        1);
  marjoram_event (MARJORAM_EVENT_UPSTREAM, "id=%s service=%s rate_limit=%.3f",
                  exchange->upstream, exchange->service, metadata->rate_limit);
}

static enum marjoram_framing
read_framing (const struct marjoram_header_list *headers)
{
  if (marjoram_header_list_has_token (headers, "Transfer-Encoding", "chunked"))
    return MARJORAM_FRAMING_CHUNKS;
  if (marjoram_header_list_get (headers, "Content-Length"))
    return MARJORAM_FRAMING_LENGTH;
  return MARJORAM_FRAMING_CLOSE;
}

static void
read_retry_after (struct marjoram_exchange *exchange,
                  const struct marjoram_header_list *headers)
{
  const char *text = marjoram_header_list_get (headers, "Retry-After");

  exchange->has_retry_after = text != NULL;
  exchange->retry_after_ms = -1;
  marjoram_retry_after_parse (text, &exchange->retry_after_ms);
}

/* ---- Attempts that are given up.  ---- */

static void
end_refused (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
             int64_t now)
{
  marjoram_run_record_prove (&exchange->runs, exchange->attempt,
                             MARJORAM_PROOF_UPSTREAM);
  marjoram_exchange_end_attempt (gateway, exchange, now,
                                 exchange->wrong_upstream
                                     ? MARJORAM_ATTEMPT_WRONG_UPSTREAM
                                     : MARJORAM_ATTEMPT_REFUSED);
  marjoram_exchange_record_not_started (gateway, exchange);
  marjoram_exchange_retry (gateway, exchange, now,
                           MARJORAM_REASON_UPSTREAM_REFUSED);
}

/* A refusal tells all with its head, so that the rest need not be awaited.  */
static void
skip_refusal (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
              int64_t now, size_t size)
{
  const uint64_t attempt = exchange->attempt;

  exchange->refusal_bytes += size;
  if (exchange->refusal_bytes <= REFUSAL_BYTES_MAX)
    return;
  if (!*exchange->host)
    gateway->ops->cancel (gateway->context, attempt);
  end_refused (gateway, exchange, now);
}

/* Gives the attempt up, whose answer is too large.  No crash: an upstream that
   sends too much is alive.  */
static void
end_oversized (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
               int64_t now)
{
  marjoram_metrics_add (gateway->options.metrics,
                        MARJORAM_METRIC_ANSWERS_TOO_LARGE, 1);
  marjoram_exchange_drop_attempt (gateway, exchange, now,
                                  MARJORAM_ATTEMPT_BROKEN);
  exchange->forwarded_out = false;
  exchange->relayed = false;
  marjoram_exchange_retry (gateway, exchange, now,
                           MARJORAM_REASON_ANSWER_TOO_LARGE);
}

/* Whether the answer states a length over the limit.  */
static bool
states_oversize (const marjoram_gateway *gateway,
                 const struct marjoram_exchange *exchange,
                 const struct marjoram_header_list *headers)
{
  const char *text = marjoram_header_list_get (headers, "Content-Length");

  return text && strcmp (exchange->request->method, "HEAD") != 0
         && strtoull (text, NULL, 10) > gateway->options.answers.answer_bytes;
}

/* ---- Answer heads.  ---- */

bool
marjoram_gateway_head (marjoram_gateway *gateway, int64_t now,
                       uint64_t attempt, int status,
                       struct marjoram_header_list *headers)
{
  struct marjoram_exchange *exchange = find_attempt (gateway, attempt);
  struct marjoram_response_metadata metadata;

  if (!exchange)
    return false;
  gateway->options.dialect->ops->read_answer (status, headers, &metadata);
  if (!is_answer_to (exchange, &metadata))
    {
      skip_answer (gateway, exchange, now, &metadata);
      return false;
    }
  if (!metadata.not_run && states_oversize (gateway, exchange, headers))
    {
      end_oversized (gateway, exchange, now);
      return true;
    }
  exchange->status = status;
  exchange->is_signed = metadata.signed_by_upstream;
  /* A host to which the exchange was forwarded states that in another way.  */
  exchange->refused = metadata.not_run && !*exchange->host;
  exchange->unnamed_until = 0;
  exchange->wrong_upstream = metadata.wrong_upstream;
  read_retry_after (exchange, headers);
  if (*exchange->upstream)
    {
      exchange->framing = read_framing (headers);
      marjoram_placement_head_received (gateway->placement, now, attempt);
      if (is_from_upstream (exchange, &metadata))
        {
          record_statements (gateway, exchange, now, &metadata);
          marjoram_exchange_check_alive (gateway, exchange, now);
        }
    }
  if (exchange->state == MARJORAM_EXCHANGE_STREAMING)
    return true;
  copy_headers (gateway, exchange, headers);
  exchange->has_events
      = exchange->stream && is_success (exchange) && is_event_stream (headers);
  if (exchange->has_events)
    {
      exchange->state = MARJORAM_EXCHANGE_HEAD;
      if (!exchange->events)
        exchange->events = marjoram_event_stream_create ();
    }
  else
    record_first (gateway, exchange, now);
  return true;
}

/* ---- Answer data.  ---- */

static void
flush_stream (marjoram_gateway *gateway, struct marjoram_exchange *exchange)
{
  size_t size = evbuffer_get_length (exchange->body);

  if (exchange->state != MARJORAM_EXCHANGE_STREAMING)
    {
      exchange->state = MARJORAM_EXCHANGE_STREAMING;
      gateway->ops->reply_head (gateway->context, exchange->call,
                                exchange->status, &exchange->headers, -1);
    }
  if (size == 0)
    return;
  gateway->ops->reply_data (gateway->context, exchange->call,
                            evbuffer_pullup (exchange->body, -1), size);
  evbuffer_drain (exchange->body, size);
  exchange->stream_passed += size;
  count_held (gateway, exchange);
}

static void
record_events (struct marjoram_exchange *exchange, int64_t now, size_t events)
{
  int64_t gap_ms = exchange->last_event_at ? now - exchange->last_event_at : 0;

  if (gap_ms > exchange->longest_gap_ms)
    exchange->longest_gap_ms = gap_ms;
  exchange->last_event_at = now;
  exchange->events_sent += (int)events;
  exchange->attempt_events += (int)events;
}

static struct marjoram_exchange *
find_largest_answer (marjoram_gateway *gateway)
{
  struct marjoram_exchange *largest = NULL;
  struct marjoram_exchange *exchange;
  struct marjoram_exchange *next;

  HASH_ITER (by_call, gateway->by_call, exchange, next)
  {
    if (exchange->attempt
        && (!largest || exchange->answer_held > largest->answer_held))
      largest = exchange;
  }
  return largest;
}

/* Gives up the largest answers if all of them together are too large.  Far
   more than needed: many answers without end then end early instead of one by
   one, each after taking up what the one before it had.  */
static void
bound_answers (marjoram_gateway *gateway, int64_t now)
{
  const size_t limit = gateway->options.answers.total_bytes;
  struct marjoram_exchange *largest;

  if (gateway->answer_bytes <= limit)
    return;
  while (gateway->answer_bytes > limit / REMAINING_PART
         && (largest = find_largest_answer (gateway)) != NULL
         && largest->answer_held > 0)
    end_oversized (gateway, largest, now);
}

/* Whether the stream has more events than the answer can have tokens.  */
static bool
has_excess_events (const struct marjoram_exchange *exchange)
{
  const int64_t tokens = exchange->metadata.answer_tokens_max;

  return tokens > 0
         && exchange->events_sent > EVENTS_PER_TOKEN * tokens + EVENTS_EXTRA;
}

static bool
is_oversized (const marjoram_gateway *gateway,
              const struct marjoram_exchange *exchange)
{
  return has_excess_events (exchange)
         || exchange->stream_passed + evbuffer_get_length (exchange->body)
                > gateway->options.answers.answer_bytes
         || marjoram_exchange_unfinished (exchange) > EVENT_BYTES_MAX;
}

/* Adds DATA to the exchange's answer.  Returns the number of events that it
   completes.  */
static size_t
add_data (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
          const void *data, size_t size)
{
  size_t events = 0;

  if (exchange->has_events && is_success (exchange))
    events = marjoram_event_stream_feed (exchange->events, data, size,
                                         exchange->body);
  else
    evbuffer_add (exchange->body, data, size);
  count_held (gateway, exchange);
  return events;
}

static void
pass_events (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
             int64_t now, size_t events)
{
  record_first (gateway, exchange, now);
  record_events (exchange, now, events);
  marjoram_exchange_record_begin (gateway, exchange, now, false);
  marjoram_exchange_keep_build (gateway, exchange, now);
  if (exchange->repeatable)
    exchange->idle_deadline = now + STREAM_IDLE_MS;
  flush_stream (gateway, exchange);
}

void
marjoram_gateway_data (marjoram_gateway *gateway, int64_t now,
                       uint64_t attempt, const void *data, size_t size)
{
  struct marjoram_exchange *exchange = find_attempt (gateway, attempt);
  size_t events;

  if (!exchange)
    return;
  if (exchange->refused)
    {
      skip_refusal (gateway, exchange, now, size);
      return;
    }
  marjoram_placement_data_received (gateway->placement, now, attempt);
  events = add_data (gateway, exchange, data, size);
  if (is_oversized (gateway, exchange))
    {
      end_oversized (gateway, exchange, now);
      return;
    }
  if (events > 0)
    pass_events (gateway, exchange, now, events);
  bound_answers (gateway, now);
}

/* ---- End of the answer. ---- */

static void
deliver (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
         int64_t now)
{
  size_t size = evbuffer_get_length (exchange->body);

  marjoram_exchange_record_begin (gateway, exchange, now, true);
  gateway->ops->reply_head (gateway->context, exchange->call, exchange->status,
                            &exchange->headers, (int64_t)size);
  gateway->ops->reply_data (gateway->context, exchange->call,
                            evbuffer_pullup (exchange->body, -1), size);
  gateway->ops->reply_end (gateway->context, exchange->call);
  marjoram_exchange_finish (gateway, exchange, now, true);
}

static void
end_stream (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
            int64_t now)
{
  marjoram_exchange_record_begin (gateway, exchange, now, true);
  marjoram_exchange_end_attempt (gateway, exchange, now,
                                 MARJORAM_ATTEMPT_SERVED);
  flush_stream (gateway, exchange);
  gateway->ops->reply_end (gateway->context, exchange->call);
  marjoram_exchange_finish (gateway, exchange, now, true);
}

/* Retries a failure reported by the upstream; if that is not allowed, the
   upstream's answer is relayed.  */
static void
end_failed (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
            int64_t now)
{
  const char *denial;

  marjoram_exchange_end_attempt (gateway, exchange, now,
                                 MARJORAM_ATTEMPT_FAILED);
  denial = retry_denial (gateway, exchange, now);
  if (!denial)
    retry (gateway, exchange, now, MARJORAM_REASON_UPSTREAM_FAILED);
  else if (exchange->state == MARJORAM_EXCHANGE_STREAMING)
    fail (gateway, exchange, now, MARJORAM_REASON_UPSTREAM_FAILED);
  else
    deliver (gateway, exchange, now);
}

static void
end_broken (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
            int64_t now)
{
  marjoram_exchange_end_attempt (gateway, exchange, now,
                                 MARJORAM_ATTEMPT_BROKEN);
  exchange->forwarded_out = false;
  exchange->relayed = false;
  marjoram_exchange_retry (gateway, exchange, now,
                           MARJORAM_REASON_UPSTREAM_FAILED);
}

/* Whether the connection ended the answer before the stream's first event, so
   that nothing shows that the upstream had no event to send.  */
static bool
is_closed_without_events (const struct marjoram_exchange *exchange)
{
  return exchange->framing == MARJORAM_FRAMING_CLOSE
         && exchange->events_sent == 0 && !*exchange->metadata.last_event;
}

/* Whether a stream of events ended before its upstream had sent all of it,
   although its framing says that it is complete.  */
static bool
is_broken_off (struct marjoram_exchange *exchange)
{
  return !marjoram_event_stream_finish (exchange->events, exchange->body)
         || is_closed_without_events (exchange);
}

static void
end_broken_off (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
                int64_t now)
{
  if (exchange->framing == MARJORAM_FRAMING_CLOSE)
    marjoram_exchange_record_crash (gateway, exchange, now);
  end_broken (gateway, exchange, now);
}

/* Whether the answer's status tells callers that the request did not run,
   which the upstream has not stated.  */
static bool
promises_without_proof (const marjoram_gateway *gateway,
                        const struct marjoram_exchange *exchange)
{
  return !exchange->refused
         && gateway->options.dialect->ops->promises_not_run (exchange->status);
}

/* The upstream's answer is not passed on.  */
static void
end_unproven (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
              int64_t now)
{
  marjoram_metrics_add (gateway->options.metrics,
                        MARJORAM_METRIC_REFUSALS_WITHOUT_PROOF, 1);
  marjoram_exchange_end_attempt (gateway, exchange, now,
                                 MARJORAM_ATTEMPT_FAILED);
  marjoram_exchange_retry (gateway, exchange, now,
                           MARJORAM_REASON_UPSTREAM_FAILED);
}

static void
end_complete (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
              int64_t now)
{
  if (exchange->refused)
    end_refused (gateway, exchange, now);
  else if (promises_without_proof (gateway, exchange))
    end_unproven (gateway, exchange, now);
  else if (exchange->status >= STATUS_SERVER_ERROR
           || (exchange->state == MARJORAM_EXCHANGE_STREAMING
               && !is_success (exchange)))
    end_failed (gateway, exchange, now);
  /* A success without the upstream's signature may be a stray answer.  */
  else if (is_success (exchange) && !exchange->is_signed)
    end_broken (gateway, exchange, now);
  else if (exchange->has_events && is_broken_off (exchange))
    end_broken_off (gateway, exchange, now);
  else if (exchange->has_events)
    end_stream (gateway, exchange, now);
  else
    {
      marjoram_exchange_end_attempt (gateway, exchange, now,
                                     MARJORAM_ATTEMPT_SERVED);
      deliver (gateway, exchange, now);
    }
}

static void
end_unsent (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
            int64_t now)
{
  marjoram_run_record_prove (&exchange->runs, exchange->attempt,
                             MARJORAM_PROOF_UNSENT);
  marjoram_exchange_end_attempt (gateway, exchange, now,
                                 MARJORAM_ATTEMPT_UNREACHED);
  exchange->attempts_sent--;
  exchange->failed_connections++;
  marjoram_exchange_record_not_started (gateway, exchange);
  log_attempt (gateway, exchange, now, MARJORAM_REASON_NO_UPSTREAM, NULL);
  marjoram_exchange_send (gateway, exchange, now);
}

void
marjoram_gateway_end (marjoram_gateway *gateway, int64_t now, uint64_t attempt,
                      enum marjoram_http_outcome how)
{
  struct marjoram_exchange *exchange = find_attempt (gateway, attempt);

  if (!exchange)
    return;
  switch (how)
    {
    case MARJORAM_HTTP_COMPLETE:
      end_complete (gateway, exchange, now);
      break;
    case MARJORAM_HTTP_UNSENT:
      end_unsent (gateway, exchange, now);
      break;
    case MARJORAM_HTTP_OVERSIZED:
      end_oversized (gateway, exchange, now);
      break;
    case MARJORAM_HTTP_BROKEN:
      /* What answered, although without naming the request, is alive.  */
      if (*exchange->upstream && !exchange->unnamed_until)
        marjoram_exchange_record_crash (gateway, exchange, now);
      end_broken (gateway, exchange, now);
      break;
    }
}

void
marjoram_exchange_end_foreign (marjoram_gateway *gateway,
                               struct marjoram_exchange *exchange, int64_t now)
{
  marjoram_exchange_drop_attempt (gateway, exchange, now,
                                  MARJORAM_ATTEMPT_BROKEN);
  marjoram_exchange_retry (gateway, exchange, now,
                           MARJORAM_REASON_UPSTREAM_FAILED);
}

void
marjoram_exchange_check_unnamed (marjoram_gateway *gateway,
                                 struct marjoram_exchange *exchange,
                                 int64_t now)
{
  if (exchange->unnamed_until && now >= exchange->unnamed_until)
    marjoram_exchange_end_foreign (gateway, exchange, now);
}

/* Whether this region may serve a request that another one refused without
   running it.  */
static bool
may_serve_refused (const marjoram_gateway *gateway,
                   const struct marjoram_exchange *exchange, int64_t now)
{
  return !marjoram_exchange_may_have_run (exchange)
         && now < exchange->target_at
         && marjoram_exchange_may_run_here (gateway, exchange);
}

/* Sends a request that another region refused to this region's upstreams.  If
   upstreams there received it, that is a repeat.  Returns whether it was
   sent.  */
static bool
send_refused_here (marjoram_gateway *gateway,
                   struct marjoram_exchange *exchange, int64_t now,
                   const struct marjoram_request_failure *why)
{
  const char *denial;

  if (!may_serve_refused (gateway, exchange, now))
    return false;
  if (why->unreached)
    {
      log_attempt (gateway, exchange, now, why->reason, NULL);
      marjoram_exchange_send (gateway, exchange, now);
      return true;
    }
  denial = retry_denial (gateway, exchange, now);
  if (denial)
    {
      log_attempt (gateway, exchange, now, why->reason, denial);
      return false;
    }
  retry (gateway, exchange, now, why->reason);
  return true;
}

/* Sends a request on that a stopping host refused.  That host's news may have
   been overtaken by the forward.  Returns whether it was sent.  */
static bool
send_to_staying_host (marjoram_gateway *gateway,
                      struct marjoram_exchange *exchange, int64_t now,
                      const struct marjoram_request_failure *why)
{
  if (why->reason != MARJORAM_REASON_DRAINING || !why->unreached
      || exchange->hosts_leaving == LEAVING_HOSTS_MAX
      || (marjoram_exchange_may_have_run (exchange)
          && retry_denial (gateway, exchange, now)))
    return false;
  exchange->hosts_leaving++;
  exchange->forwarded_out = false;
  exchange->relayed = false;
  marjoram_host_list_leaves (gateway->options.place.hosts, exchange->host);
  log_attempt (gateway, exchange, now, why->reason, NULL);
  marjoram_exchange_send (gateway, exchange, now);
  return true;
}

void
marjoram_gateway_forward_refused (marjoram_gateway *gateway, int64_t now,
                                  uint64_t attempt,
                                  const struct marjoram_request_failure *why)
{
  struct marjoram_exchange *exchange = find_attempt (gateway, attempt);
  struct marjoram_refusal refusal
      = { why->reason, STATUS_UNAVAILABLE, why->retry_ms };

  if (!exchange)
    return;
  if (why->outcome != MARJORAM_OUTCOME_NOT_RUN)
    {
      end_broken (gateway, exchange, now);
      return;
    }
  marjoram_run_record_prove (&exchange->runs, attempt, MARJORAM_PROOF_HOST);
  marjoram_exchange_forward_refused (gateway, exchange, now, why->reason);
  marjoram_exchange_end_attempt (gateway, exchange, now,
                                 MARJORAM_ATTEMPT_REFUSED);
  marjoram_metrics_add (gateway->options.metrics,
                        MARJORAM_METRIC_FORWARDS_REFUSED, 1);
  if (why->unreached)
    exchange->attempts_sent--;
  if (send_to_staying_host (gateway, exchange, now, why)
      || send_refused_here (gateway, exchange, now, why))
    return;
  if (gateway->features.balance_regions && refusal.retry_ms == 0
      && !marjoram_exchange_may_have_run (exchange))
    refusal.retry_ms = marjoram_exchange_retry_ms (gateway, exchange, now);
  marjoram_exchange_refuse (gateway, exchange, now, &refusal);
}
