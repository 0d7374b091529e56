#include "lib_engine.h"

#include "cleanup.h"
#include "clock.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

static const char *const fault_names[FAULT_COUNT]
    = { "none",         "cut-length",  "cut-chunks",     "cut-bare",
        "two-framings", "two-lengths", "double",         "silent",
        "slow",         "refuse",      "refuse-not-run", "exit-after",
        "crash" };

int64_t
engine_now (void)
{
  return marjoram_clock_now (marjoram_clock_system ());
}

void
engine_record (struct engine *engine, const char *event, const char *id,
               const char *key, const char *digest, json_int_t number)
{
  json_t *line;
  char *text;
  size_t size;

  if (engine->history_fd < 0)
    return;
  line = json_pack ("{ss ss ss ss ss ss sI sI}", "event", event, "upstream",
                    engine->options.name, "zone", engine->options.zone,
                    "request", id, "key", key, "digest", digest, "number",
                    number, "ms", (json_int_t)engine_now ());
  text = json_dumps (line, JSON_COMPACT);
  json_decref (line);
  size = strlen (text);
  text[size] = '\n';
  if (write (engine->history_fd, text, size + 1) < 0)
    perror ("history");
  free (text);
}

void
engine_record_run (struct run *run, const char *event)
{
  engine_record (run->engine, event, run->id, run->key, run->digest,
                 run->produced);
}

/* Fault injection.  */

void
engine_set_fault (struct engine *engine, const char *name, int count,
                  const char *match)
{
  engine->fault = FAULT_NONE;
  for (int i = 0; i < FAULT_COUNT; i++)
    if (name && strcmp (fault_names[i], name) == 0)
      engine->fault = (enum fault)i;
  engine->fault_left = count;
  snprintf (engine->fault_match, NAME_SIZE, "%s", match ? match : "");
}

enum fault
engine_pick_fault (struct engine *engine, const char *text)
{
  if (engine->options.crash_on && strstr (text, engine->options.crash_on))
    return FAULT_CRASH;
  if (engine->fault == FAULT_NONE || !engine->fault_left
      || !strstr (text, engine->fault_match))
    return FAULT_NONE;
  if (engine->fault_left > 0)
    engine->fault_left--;
  return engine->fault;
}

/* Prefix cache.  */

static void
cache_remove (struct engine *engine, int index)
{
  memmove (engine->cache + index, engine->cache + index + 1,
           (size_t)(engine->cached - index - 1) * sizeof engine->cache[0]);
  engine->cached--;
}

static json_t *
hash_text (uint64_t hash)
{
  return json_sprintf ("%016" PRIx64, hash);
}

bool
engine_cache_use (struct engine *engine, const char *prompt)
{
  uint64_t hash;
  bool found = false;

  if (!engine->options.cache_size || strlen (prompt) < PREFIX_BYTES)
    return false;
  hash = XXH64 (prompt, PREFIX_BYTES, 0);
  for (int i = 0; i < engine->cached && !found; i++)
    if (engine->cache[i] == hash)
      {
        found = true;
        cache_remove (engine, i);
      }
  if (!found)
    json_array_append_new (engine->cache_added, hash_text (hash));
  if (engine->cached == engine->options.cache_size)
    {
      json_array_append_new (engine->cache_removed,
                             hash_text (engine->cache[0]));
      cache_remove (engine, 0);
    }
  engine->cache[engine->cached++] = hash;
  return found;
}

void
engine_report_cache (evutil_socket_t fd, short what, void *context)
{
  struct engine *engine = context;
  json_t *body;

  (void)fd;
  (void)what;
  if (!json_array_size (engine->cache_added)
      && !json_array_size (engine->cache_removed))
    return;
  body = json_pack ("{ss sI sI sO sO}", "name", engine->options.name,
                    "incarnation", (json_int_t)engine->incarnation, "sequence",
                    ++engine->cache_sequence, "added", engine->cache_added,
                    "removed", engine->cache_removed);
  if (engine->options.cache_gap
      && engine->cache_sequence % engine->options.cache_gap == 0)
    json_decref (body);
  else
    announcer_post (engine->announcer, "/v1/upstreams/cache", body);
  json_decref (engine->cache_added);
  json_decref (engine->cache_removed);
  engine->cache_added = json_array ();
  engine->cache_removed = json_array ();
}

/* Runs.  */

static void
detach_reader (struct run *run)
{
  struct evhttp_connection *connection;

  if (!run->reader)
    return;
  connection = evhttp_request_get_connection (run->reader);
  if (connection)
    evhttp_connection_set_closecb (connection, NULL, NULL);
  run->reader = NULL;
  run->replied = false;
}

static void
on_reader_close (struct evhttp_connection *connection, void *context)
{
  struct run *run = context;

  (void)connection;
  run->reader = NULL;
  run->replied = false;
  run->gone_ms = engine_now ();
}

void
engine_attach (struct run *run, struct evhttp_request *request, size_t offset,
               bool chunked)
{
  detach_reader (run);
  run->chunked = chunked;
  run->reader = request;
  run->offset = offset;
  run->gone_ms = 0;
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_reader_close, run);
}

/* Frees runs that ended more than KEEP_MS ago.  */
static void
free_expired_runs (struct engine *engine, int64_t now)
{
  struct run *run;

  while ((run = STAILQ_FIRST (&engine->kept)) && now - run->done_ms >= KEEP_MS)
    {
      STAILQ_REMOVE_HEAD (&engine->kept, kept);
      detach_reader (run);
      free (run->answer);
      free (run);
    }
}

/* Releases the run's batch slot or queue entry.  */
static void
finish (struct run *run, enum run_state state)
{
  if (run->state == RUN_WAITING)
    run->engine->waiting--;
  if (run->state == RUN_RUNNING)
    run->engine->running--;
  run->state = state;
  run->done_ms = engine_now ();
  TAILQ_REMOVE (&run->engine->active, run, active);
  STAILQ_INSERT_TAIL (&run->engine->kept, run, kept);
}

/* Writes HEAD and SIZE bytes of BODY directly to the socket, bypassing the
   framing of evhttp, and closes the connection if CUT.  */
static void
send_raw (struct run *run, const char *head, const char *body, size_t size,
          bool cut)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (run->reader);
  int fd = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));

  if (send (fd, head, strlen (head), MSG_NOSIGNAL) < 0
      || send (fd, body, size, MSG_NOSIGNAL) < 0)
    perror ("send");
  detach_reader (run);
  if (cut)
    evhttp_connection_free (connection);
}

/* Sends a truncated or misframed response, according to the run's fault.  */
static void
send_broken_response (struct run *run)
{
  size_t half = run->size / 2;
  char head[NAME_SIZE * 2];
  char chunk[32];

  engine_record_run (run, "broken");
  finish (run, RUN_ENDED);
  if (run->replied)
    {
      evhttp_connection_free (evhttp_request_get_connection (run->reader));
      return;
    }
  if (run->fault == FAULT_CUT_LENGTH)
    snprintf (head, sizeof head,
              "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", run->size);
  else if (run->fault == FAULT_CUT_CHUNKS)
    snprintf (head, sizeof head,
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%zx\r\n",
              half);
  else if (run->fault == FAULT_CUT_BARE)
    snprintf (head, sizeof head, "HTTP/1.1 200 OK\r\n\r\n");
  else if (run->fault == FAULT_TWO_LENGTHS)
    snprintf (head, sizeof head,
              "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
              "Content-Length: %zu\r\n\r\n",
              half, run->size);
  else
    {
      snprintf (chunk, sizeof chunk, "%zx", half);
      snprintf (head, sizeof head,
                "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
                "Transfer-Encoding: chunked\r\n\r\n%s\r\n",
                half, chunk);
    }
  send_raw (run, head, run->answer, half, true);
}

static void
send_response_twice (struct run *run)
{
  char head[NAME_SIZE];
  int fd = bufferevent_getfd (evhttp_connection_get_bufferevent (
      evhttp_request_get_connection (run->reader)));

  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", run->size);
  if (send (fd, head, strlen (head), MSG_NOSIGNAL) < 0
      || send (fd, run->answer, run->size, MSG_NOSIGNAL) < 0)
    perror ("send");
  send_raw (run, head, run->answer, run->size, false);
}

static void
send_head (struct run *run)
{
  evhttp_add_header (evhttp_request_get_output_headers (run->reader),
                     "Content-Type",
                     run->stream ? "text/event-stream" : "application/json");
  if (run->id[0])
    evhttp_add_header (evhttp_request_get_output_headers (run->reader),
                       "Marjoram-Request", run->id);
  run->replied = true;
  if (run->chunked)
    evhttp_send_reply_start (run->reader, HTTP_OK, NULL);
}

/* Sends the reader the part of the answer that it has not received yet.  */
void
engine_deliver (struct run *run)
{
  struct evbuffer *buffer;
  struct evhttp_request *request = run->reader;

  if (!request || run->fault == FAULT_SILENT
      || (!run->chunked && run->state != RUN_DONE))
    return;
  if (run->fault == FAULT_DOUBLE && run->state == RUN_DONE)
    {
      send_response_twice (run);
      return;
    }
  if (!run->replied)
    send_head (run);
  buffer = evbuffer_new ();
  evbuffer_add (buffer, run->answer + run->offset, run->ready - run->offset);
  run->offset = run->ready;
  if (!run->chunked)
    {
      detach_reader (run);
      evhttp_send_reply (request, HTTP_OK, NULL, buffer);
    }
  else
    {
      if (evbuffer_get_length (buffer))
        evhttp_send_reply_chunk (request, buffer);
      if (run->reader && run->state == RUN_DONE)
        {
          detach_reader (run);
          evhttp_send_reply_end (request);
        }
    }
  evbuffer_free (buffer);
}

static void
complete (struct run *run)
{
  run->ready = run->size;
  engine_record_run (run, "end");
  if (run->fault == FAULT_EXIT_AFTER)
    _exit (CRASH_STATUS);
  finish (run, RUN_DONE);
}

/* Advances RUN by one batch iteration.  */
static void
advance (struct run *run, int64_t step_us)
{
  if (run->prefill_us > 0)
    {
      run->prefill_us
          -= run->fault == FAULT_SLOW ? step_us / SLOW_FACTOR : step_us;
      return;
    }
  if (run->fault == FAULT_CRASH && run->produced)
    {
      engine_record_run (run, "crash");
      _exit (CRASH_STATUS);
    }
  if (run->fault == FAULT_SLOW)
    run->prefill_us = step_us * SLOW_FACTOR;
  run->produced
      = run->engine->options.service ? run->tokens : run->produced + 1;
  if (run->fault >= FAULT_CUT_LENGTH && run->fault <= FAULT_TWO_LENGTHS
      && 2 * run->produced >= run->tokens && run->reader)
    {
      send_broken_response (run);
      return;
    }
  if (run->produced >= run->tokens)
    complete (run);
  else if (run->stream)
    run->ready = fake_stream_size (run->digest, run->produced);
  engine_deliver (run);
}

/* Detects a connection closed by the reader. evhttp does not read from the
   socket while a request is pending.  */
static bool
reader_disconnected (struct run *run)
{
  char byte;
  int fd = bufferevent_getfd (evhttp_connection_get_bufferevent (
      evhttp_request_get_connection (run->reader)));

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Cancels runs whose reader disconnected more than linger_ms ago.  */
static void
cancel_abandoned_runs (struct engine *engine, int64_t now)
{
  struct run *run;
  struct run *next;

  for (run = TAILQ_FIRST (&engine->active); run; run = next)
    {
      next = TAILQ_NEXT (run, active);
      if (run->reader && reader_disconnected (run))
        evhttp_connection_free (evhttp_request_get_connection (run->reader));
      if (run->gone_ms && now - run->gone_ms >= engine->options.linger_ms)
        {
          engine_record_run (run,
                             run->state == RUN_RUNNING ? "cancel" : "drop");
          finish (run, RUN_ENDED);
        }
    }
  free_expired_runs (engine, now);
}

static struct run *
next_waiting (struct engine *engine)
{
  struct run *best = NULL;
  struct run *run;

  TAILQ_FOREACH (run, &engine->active, active)
  {
    if (run->state == RUN_WAITING && (!best || run->priority < best->priority))
      best = run;
  }
  return best;
}

static void
admit (struct engine *engine)
{
  while (engine->waiting && engine->running < engine->options.slots)
    {
      struct run *run = next_waiting (engine);

      run->state = RUN_RUNNING;
      engine->waiting--;
      engine->running++;
      engine_record_run (run, "start");
    }
}

static void
step_once (struct engine *engine)
{
  struct run *run;
  struct run *next;

  admit (engine);
  for (run = TAILQ_FIRST (&engine->active); run; run = next)
    {
      next = TAILQ_NEXT (run, active);
      if (run->state == RUN_RUNNING)
        advance (run, (int64_t)engine->options.token_ms * 1000);
    }
}

void
engine_step (evutil_socket_t fd, short what, void *context)
{
  struct engine *engine = context;
  int64_t now = engine_now ();

  (void)fd;
  (void)what;
  cancel_abandoned_runs (engine, now);
  if (now - engine->stepped_ms > LATE_MS)
    engine->stepped_ms = now - LATE_MS;
  for (; engine->stepped_ms < now;
       engine->stepped_ms += engine->options.token_ms)
    step_once (engine);
  if (engine->stopping && !engine->running && !engine->waiting
      && announcer_left (engine->announcer))
    event_base_loopexit (engine->base, NULL);
}

void
engine_add (struct run *run, struct evhttp_request *reader)
{
  TAILQ_INSERT_TAIL (&run->engine->active, run, active);
  run->engine->waiting++;
  engine_attach (run, reader, 0, run->stream);
}

struct run *
engine_find (struct engine *engine, const char *id)
{
  struct run *run;

  TAILQ_FOREACH (run, &engine->active, active)
  {
    if (strcmp (run->id, id) == 0)
      return run;
  }
  STAILQ_FOREACH (run, &engine->kept, kept)
  {
    if (strcmp (run->id, id) == 0)
      return run;
  }
  return NULL;
}
