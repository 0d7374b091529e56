#include "request.h"

#include "cleanup.h"
#include "host_state.h"

#include <string.h>
#include <strings.h>

enum
{
  /* Larger answers are not stored for replay.  */
  REPLAY_BODY_MAX = 256 * 1024,
  /* Part of the limit of all answers that remains when it is exceeded.  */
  REMAINING_PART = 4
};

static void
clear_chunks (struct marjoram_request *request)
{
  struct marjoram_chunk *chunk;

  while ((chunk = STAILQ_FIRST (&request->chunks)))
    {
      STAILQ_REMOVE_HEAD (&request->chunks, next);
      marjoram_bytes_release (chunk->bytes);
      free (chunk);
    }
  *request->held -= request->chunks_size;
  request->chunks_size = 0;
}

static void
add_chunk (struct marjoram_request *request, marjoram_bytes *bytes)
{
  struct marjoram_chunk *chunk = marjoram_alloc (sizeof *chunk);

  chunk->bytes = marjoram_bytes_retain (bytes);
  STAILQ_INSERT_TAIL (&request->chunks, chunk, next);
  request->chunks_size += marjoram_bytes_size (bytes);
  *request->held += marjoram_bytes_size (bytes);
}

static marjoram_bytes *
join_chunks (const struct marjoram_request *request)
{
  marjoram_auto_free uint8_t *whole = marjoram_alloc (request->chunks_size);
  const struct marjoram_chunk *chunk;
  size_t size = 0;

  STAILQ_FOREACH (chunk, &request->chunks, next)
  {
    memcpy (whole + size, marjoram_bytes_data (chunk->bytes),
            marjoram_bytes_size (chunk->bytes));
    size += marjoram_bytes_size (chunk->bytes);
  }
  return marjoram_bytes_create (whole, size);
}

static void
clear_head (struct marjoram_request *request)
{
  marjoram_wire_clear (marjoram_frame_layout (MARJORAM_FRAME_HEAD),
                       &request->head);
  memset (&request->head, 0, sizeof request->head);
  request->has_head = false;
}

void
marjoram_answer_clear (struct marjoram_request *request)
{
  clear_head (request);
  clear_chunks (request);
}

/* A malformed frame may lack string fields.  */
static char *
copy_text (const char *text)
{
  return marjoram_strdup (text ? text : "");
}

void
marjoram_request_copy_head (struct marjoram_head *copy,
                            const struct marjoram_head *head)
{
  const struct marjoram_header *from = head->headers.items;
  struct marjoram_header *to
      = marjoram_alloc (head->headers.count * sizeof *to);

  *copy = *head;
  copy->headers.items = to;
  copy->upstream = head->upstream ? marjoram_strdup (head->upstream) : NULL;
  for (size_t i = 0; i < head->headers.count; i++)
    {
      to[i].name = copy_text (from[i].name);
      to[i].value = copy_text (from[i].value);
    }
}

/* A streamed answer is delivered as it arrives.  Any other is buffered until
   it is complete, so that a failed attempt can be retried transparently.  */
static bool
is_streamed (const struct marjoram_request *request)
{
  return request->call->stream;
}

static void
deliver_head (marjoram_host *host, struct marjoram_request *request,
              int64_t length)
{
  request->head_delivered = true;
  if (!request->abandoned)
    request->origin->head (host, request, &request->head, length);
}

static void
deliver_bytes (marjoram_host *host, struct marjoram_request *request,
               marjoram_bytes *bytes)
{
  request->delivered += marjoram_bytes_size (bytes);
  if (!request->abandoned)
    request->origin->data (host, request, bytes);
}

void
marjoram_request_head (marjoram_host *host, int64_t now,
                       struct marjoram_request *request,
                       const struct marjoram_head *head)
{
  request->progress = now;
  request->resuming = false;
  if (request->has_head)
    return;
  if (!request->first_byte)
    request->first_byte = now;
  marjoram_request_copy_head (&request->head, head);
  if (!request->head.upstream)
    request->head.upstream = marjoram_strdup (request->upstream);
  request->has_head = true;
  if (is_streamed (request) && !request->head_delivered)
    deliver_head (host, request, -1);
}

/* The body is buffered if it is not streamed, if it may be replayed, or if the
   forwarding host may fetch it again over a new link.  */
static bool
buffers_body (const struct marjoram_request *request)
{
  return !is_streamed (request) || request->granted || request->peer;
}

static struct marjoram_request *
find_largest_answer (marjoram_host *host)
{
  struct marjoram_request *largest = NULL;
  struct marjoram_request *request;

  TAILQ_FOREACH (request, &host->requests->all, all)
  if (request->attempt
      && (!largest || request->chunks_size > largest->chunks_size))
    largest = request;
  return largest;
}

/* Gives up the largest answers if all of them together are too large.  Far
   more than needed, so that many answers without end end early.  */
static void
bound_answers (marjoram_host *host, int64_t now)
{
  const size_t limit = host->settings->max_answers;
  struct marjoram_request *largest;

  if (limit == 0 || host->requests->answer_bytes <= limit)
    return;
  while (host->requests->answer_bytes > limit / REMAINING_PART
         && (largest = find_largest_answer (host)) != NULL
         && largest->chunks_size > 0)
    {
      marjoram_attempt_cancel (host, now, largest);
      clear_chunks (largest);
      marjoram_request_refuse (host, now, largest, MARJORAM_OUTCOME_UNKNOWN,
                               MARJORAM_REASON_ANSWER_TOO_LARGE, 0);
    }
}

/* May end requests, REQUEST too.  */
void
marjoram_request_data (marjoram_host *host, int64_t now,
                       struct marjoram_request *request, marjoram_bytes *bytes)
{
  request->progress = now;
  request->resume_timeout = MARJORAM_UPSTREAM_SILENT_MS;
  request->received += marjoram_bytes_size (bytes);
  if (buffers_body (request))
    add_chunk (request, bytes);
  if (is_streamed (request))
    deliver_bytes (host, request, bytes);
  bound_answers (host, now);
}

static const char *
content_type (const struct marjoram_head *head)
{
  const struct marjoram_header *header = head->headers.items;

  for (size_t i = 0; i < head->headers.count; i++)
    if (strcasecmp (header[i].name, "Content-Type") == 0)
      return header[i].value;
  return NULL;
}

static void
finish_claim (marjoram_host *host, int64_t now,
              struct marjoram_request *request)
{
  struct marjoram_stored_answer kept = { 0 };

  if (request->chunks_size > REPLAY_BODY_MAX)
    {
      marjoram_claims_finish (host->claims, now, request->claim, NULL);
      return;
    }
  kept.status = request->head.status;
  kept.content_type = (char *)content_type (&request->head);
  kept.body = join_chunks (request);
  marjoram_claims_finish (host->claims, now, request->claim, &kept);
  marjoram_bytes_release (kept.body);
}

static void
record_latency (marjoram_host *host, int64_t now,
                const struct marjoram_request *request)
{
  struct marjoram_query query;

  if (!request->attempt || request->state != MARJORAM_REQUEST_LOCAL)
    return;
  marjoram_attempt_query (host, request, &query);
  if (query.caller >= 0 && query.work >= 0)
    marjoram_router_record_latency (
        host->router, now, request->upstream, &query,
        request->first_byte - request->attempt_started,
        now - request->attempt_started, request->call->answer_tokens);
}

void
marjoram_request_done (marjoram_host *host, int64_t now,
                       struct marjoram_request *request)
{
  struct marjoram_chunk *chunk;

  record_latency (host, now, request);
  /* Released before the suspicion is cleared: the end of a run is reported to
     the zone only for a suspect, which would otherwise seem to run there for
     ever.  */
  marjoram_attempt_release (host, now, request, false);
  marjoram_suspects_cleared (host->suspects, now, request->digest);
  request->outcome = MARJORAM_OUTCOME_DONE;
  request->reason = MARJORAM_REASON_NONE;
  if (request->granted)
    finish_claim (host, now, request);
  if (!is_streamed (request))
    {
      deliver_head (host, request, (int64_t)request->received);
      STAILQ_FOREACH (chunk, &request->chunks, next)
      deliver_bytes (host, request, chunk->bytes);
    }
  marjoram_request_count_outcome (host, request, MARJORAM_OUTCOME_DONE);
  if (!request->abandoned)
    request->origin->end (host, request);
  marjoram_request_settle (host, now, request);
}
