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
  ANSWER_MAX = 1024 * 1024
};

/* The query of one engine.  */
struct question
{
  uint64_t number;
  char engine[MARJORAM_ID_MAX];
  bool is_good;          /* response is valid so far */
  struct evbuffer *body; /* NULL once completed */
  UT_hash_handle by_number;
  UT_hash_handle by_engine;
};

struct marjoram_engine_survey
{
  const struct marjoram_dialect *dialect;
  const struct marjoram_engine_survey_ops *ops;
  void *context;
  marjoram_http_client *client;
  struct question *questions; /* keyed by number */
  struct question *by_engine;
  uint64_t next_number;
  size_t open;
};

static struct question *
find (marjoram_engine_survey *survey, uint64_t number)
{
  struct question *question;

  HASH_FIND (by_number, survey->questions, &number, sizeof number, question);
  return question && question->body ? question : NULL;
}

static bool
was_asked (const marjoram_engine_survey *survey, const char *engine)
{
  struct question *question;

  HASH_FIND (by_engine, survey->by_engine, engine, strlen (engine), question);
  return question != NULL;
}

static void
end_question (marjoram_engine_survey *survey, struct question *question)
{
  if (!question->body)
    return;
  evbuffer_free (question->body);
  question->body = NULL;
  survey->open--;
}

static bool
on_head (void *context, uint64_t number, int status,
         struct marjoram_header_list *headers)
{
  struct question *question = find (context, number);

  (void)headers;
  if (question)
    question->is_good = status == STATUS_OK;
  return true;
}

static void
on_data (void *context, uint64_t number, const char *data, size_t size)
{
  struct question *question = find (context, number);

  if (!question || !question->is_good)
    return;
  if (evbuffer_get_length (question->body) + size > ANSWER_MAX)
    question->is_good = false;
  else
    evbuffer_add (question->body, data, size);
}

static bool
read_answer (marjoram_engine_survey *survey, const struct question *question,
             struct marjoram_prompt_parts *parts)
{
  return question->is_good
         && survey->dialect->ops->read_kept (
             (const char *)evbuffer_pullup (question->body, -1),
             evbuffer_get_length (question->body), parts);
}

static void
on_end (void *context, uint64_t number, enum marjoram_http_end how)
{
  marjoram_engine_survey *survey = context;
  struct question *question = find (survey, number);
  struct marjoram_prompt_parts parts = { 0 };
  bool known;

  if (!question)
    return;
  known = how == MARJORAM_HTTP_COMPLETE
          && read_answer (survey, question, &parts);
  marjoram_event (MARJORAM_EVENT_UPSTREAM, "id=%s survey=%s parts=%zu",
                  question->engine, known ? "answered" : "failed",
                  parts.count);
  if (known)
    survey->ops->kept (survey->context, question->engine, parts.items,
                       parts.count);
  free (parts.items);
  end_question (survey, question);
}

static void
on_lost (void *context, const char *address)
{
  (void)context;
  (void)address;
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
  struct question *question;
  struct question *next;

  if (!survey)
    return;
  HASH_CLEAR (by_engine, survey->by_engine);
  HASH_ITER (by_number, survey->questions, question, next)
  {
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (by_number, survey->questions, question);
    end_question (survey, question);
    free (question);
  }
  marjoram_http_client_destroy (survey->client);
  free (survey);
}

void
marjoram_engine_survey_ask (marjoram_engine_survey *survey, const char *engine,
                            const char *address)
{
  struct marjoram_http_send send = { .address = address };
  struct question *question;
  char message[MESSAGE_MAX];
  int size;

  if (was_asked (survey, engine))
    return;
  size = snprintf (message, sizeof message,
                   "GET %s HTTP/1.1\r\nHost: %s\r\n"
                   "Connection: close\r\n\r\n",
                   survey->dialect->kept_target, address);
  question = marjoram_alloc (sizeof *question);
  question->number = ++survey->next_number;
  snprintf (question->engine, sizeof question->engine, "%s", engine);
  question->body = evbuffer_new ();
  HASH_ADD (by_number, survey->questions, number, sizeof question->number,
            question);
  HASH_ADD (by_engine, survey->by_engine, engine, strlen (question->engine),
            question);
  survey->open++;
  send.attempt = question->number;
  send.message = marjoram_bytes_create (message, (size_t)size);
  marjoram_http_client_send (survey->client, &send);
  marjoram_bytes_release (send.message);
}

void
marjoram_engine_survey_tick (marjoram_engine_survey *survey)
{
  /* No lag has been measured yet on a newly started host.  */
  marjoram_http_client_tick (survey->client, 0);
}

size_t
marjoram_engine_survey_open (const marjoram_engine_survey *survey)
{
  return survey->open;
}
