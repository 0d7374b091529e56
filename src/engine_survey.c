#include "engine_survey.h"

#include "cleanup.h"
#include "event_log.h"
#include "http_client.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  STATUS_OK = 200,
  MESSAGE_MAX = 512,
  /* Response size limit in bytes.  */
  ANSWER_MAX = 1024 * 1024,
  /* Queries sent between two ticks.  */
  QUERIES_PER_TICK = 4,
  QUERY_LIMIT_MS = 5000
};

struct query
{
  uint64_t number;
  char engine[MARJORAM_ID_MAX];
  bool is_valid;         /* response is valid so far */
  struct evbuffer *body; /* NULL once completed */
  int64_t deadline;
  UT_hash_handle by_number;
  UT_hash_handle by_engine;
};

struct marjoram_engine_survey
{
  struct marjoram_clock *clock;
  const struct marjoram_dialect *dialect;
  const struct marjoram_engine_survey_ops *ops;
  void *context;
  marjoram_http_client *client;
  struct query *queries; /* keyed by number */
  struct query *by_engine;
  uint64_t next_number;
  size_t pending;
  int sent; /* since the last tick */
};

static struct query *
find_pending (marjoram_engine_survey *survey, uint64_t number)
{
  struct query *query;

  HASH_FIND (by_number, survey->queries, &number, sizeof number, query);
  return query && query->body ? query : NULL;
}

static bool
was_queried (const marjoram_engine_survey *survey, const char *engine)
{
  struct query *query;

  HASH_FIND (by_engine, survey->by_engine, engine, strlen (engine), query);
  return query != NULL;
}

static void
end_query (marjoram_engine_survey *survey, struct query *query)
{
  if (!query->body)
    return;
  evbuffer_free (query->body);
  query->body = NULL;
  survey->pending--;
}

static void
give_up (marjoram_engine_survey *survey, struct query *query, const char *why)
{
  marjoram_event (MARJORAM_EVENT_UPSTREAM, "id=%s survey=%s", query->engine,
                  why);
  end_query (survey, query);
  marjoram_http_client_cancel (survey->client, query->number);
}

static bool
on_head (void *context, uint64_t number, int status,
         struct marjoram_header_list *headers)
{
  struct query *query = find_pending (context, number);

  (void)headers;
  if (query)
    query->is_valid = status == STATUS_OK;
  return true;
}

static void
on_data (void *context, uint64_t number, const char *data, size_t size)
{
  marjoram_engine_survey *survey = context;
  struct query *query = find_pending (survey, number);

  if (!query)
    return;
  if (!query->is_valid)
    give_up (survey, query, "refused");
  else if (evbuffer_get_length (query->body) + size > ANSWER_MAX)
    give_up (survey, query, "too-large");
  else
    evbuffer_add (query->body, data, size);
}

static bool
read_answer (marjoram_engine_survey *survey, const struct query *query,
             struct marjoram_prompt_parts *parts)
{
  return query->is_valid
         && survey->dialect->ops->read_cached_prompts (
             (const char *)evbuffer_pullup (query->body, -1),
             evbuffer_get_length (query->body), parts);
}

static void
on_end (void *context, uint64_t number, enum marjoram_http_outcome outcome)
{
  marjoram_engine_survey *survey = context;
  struct query *query = find_pending (survey, number);
  struct marjoram_prompt_parts parts = { 0 };
  bool valid;

  if (!query)
    return;
  valid = outcome == MARJORAM_HTTP_COMPLETE
          && read_answer (survey, query, &parts);
  marjoram_event (MARJORAM_EVENT_UPSTREAM, "id=%s survey=%s parts=%zu",
                  query->engine, valid ? "answered" : "failed", parts.count);
  if (valid)
    survey->ops->cached (survey->context, query->engine, parts.items,
                         parts.count);
  free (parts.items);
  end_query (survey, query);
}

static void
on_lost (void *context, const char *address, bool was_open)
{
  (void)context;
  (void)address;
  (void)was_open;
}

static void
on_connected (void *context, const char *address)
{
  (void)context;
  (void)address;
}

static const struct marjoram_http_client_ops client_ops
    = { .head = on_head,
        .data = on_data,
        .end = on_end,
        .lost = on_lost,
        .connected = on_connected };

marjoram_engine_survey *
marjoram_engine_survey_create (struct event_base *base,
                               struct marjoram_clock *clock,
                               const struct marjoram_dialect *dialect,
                               const struct marjoram_engine_survey_ops *ops,
                               void *context)
{
  marjoram_engine_survey *survey = marjoram_alloc (sizeof *survey);

  survey->clock = clock;
  survey->dialect = dialect;
  survey->ops = ops;
  survey->context = context;
  survey->client
      = marjoram_http_client_create (base, clock, &client_ops, survey);
  return survey;
}

void
marjoram_engine_survey_destroy (marjoram_engine_survey *survey)
{
  struct query *query;
  struct query *next;

  if (!survey)
    return;
  HASH_CLEAR (by_engine, survey->by_engine);
  HASH_ITER (by_number, survey->queries, query, next)
  {
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (by_number, survey->queries, query);
    end_query (survey, query);
    free (query);
  }
  marjoram_http_client_destroy (survey->client);
  free (survey);
}

void
marjoram_engine_survey_query (marjoram_engine_survey *survey,
                              const char *engine, const char *address)
{
  struct marjoram_http_send send = { .address = address };
  struct query *query;
  char message[MESSAGE_MAX];
  int size;

  if (survey->sent == QUERIES_PER_TICK || was_queried (survey, engine))
    return;
  survey->sent++;
  size = snprintf (message, sizeof message,
                   "GET %s HTTP/1.1\r\nHost: %s\r\n"
                   "Connection: close\r\n\r\n",
                   survey->dialect->cached_prompts_target, address);
  query = marjoram_alloc (sizeof *query);
  query->number = ++survey->next_number;
  snprintf (query->engine, sizeof query->engine, "%s", engine);
  query->body = evbuffer_new ();
  query->deadline = marjoram_clock_now (survey->clock) + QUERY_LIMIT_MS;
  HASH_ADD (by_number, survey->queries, number, sizeof query->number, query);
  HASH_ADD (by_engine, survey->by_engine, engine, strlen (query->engine),
            query);
  survey->pending++;
  send.attempt = query->number;
  send.message = marjoram_bytes_create (message, (size_t)size);
  marjoram_http_client_send (survey->client, &send, NULL);
  marjoram_bytes_release (send.message);
}

static void
end_late_queries (marjoram_engine_survey *survey)
{
  const int64_t now = marjoram_clock_now (survey->clock);
  struct query *query;
  struct query *next;

  HASH_ITER (by_number, survey->queries, query, next)
  {
    if (query->body && now >= query->deadline)
      give_up (survey, query, "too-late");
  }
}

void
marjoram_engine_survey_tick (marjoram_engine_survey *survey)
{
  survey->sent = 0;
  if (survey->pending > 0)
    end_late_queries (survey);
  /* No lag has been measured yet on a newly started host.  */
  marjoram_http_client_tick (survey->client, 0);
}

size_t
marjoram_engine_survey_pending (const marjoram_engine_survey *survey)
{
  return survey->pending;
}
