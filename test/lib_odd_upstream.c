#include "lib_odd_upstream.h"

#include "cleanup.h"
#include "clock.h"
#include "http_reader.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

enum
{
  BACKLOG = 1024,
  BEAT_MS = 300,
  CALL_TIMEOUT_S = 1,
  WORK_MAX_MS = 20,
  LATE_MAX_MS = 1500,
  COPY_MAX_MS = 300,
  /* From the second arrival of a request to the copy of its first answer, if
     that waits for it, and from that answer if it does not arrive again.  */
  COPY_AFTER_ARRIVAL_MS = 20,
  COPY_WITHOUT_ARRIVAL_MS = 2000,
  DEATHS_IN = 20, /* one in so many of these requests ends its upstream */
  NAME_MAX_BYTES = 48,
  /* Refusals that come late: later than upstreams that refused are avoided. */
  SLOW_MIN_MS = 60,
  SLOW_MS = 60,
  EVENT_MS = 15,
  EVENTS = 3,
  OVERLAP_MS = 400, /* that a former run may last after another one began */
  TEXT_MAX = 512,
  IP_MAX = 64,
  PERCENT = 100
};

#define NOT_RUN "Marjoramproxy-Not-Executed: 1\r\n"

struct odd_connection;

/* How one request is treated: what is written before it runs, whether it runs,
   and how its answer is changed.  */
struct behaviour
{
  const char *name;
  /* Written at once; %s is the request's id.  */
  const char *before;
  const char *header; /* of the answer */
  int status;         /* 0: 200 */
  int arrivals;       /* that it is for; the next one runs for some time */
  bool runs;
  bool bare;   /* the answer has neither id nor seal */
  bool marked; /* it states that the request was not run */
  bool closes; /* the connection, after the answer */
  bool copies; /* the answer comes again some time later */
  /* The copy is held until the request arrives on the connection again.  */
  bool waits;
  bool late;     /* it runs, or is refused, after some time */
  bool slow;     /* it runs for some time */
  bool cut;      /* ends the connection instead of answering */
  bool shortens; /* the body ends before its length */
  bool mute;     /* never answers */
  bool unframed; /* the answer ends with its connection */
  bool early;    /* answers once it has the head */
  bool greets;   /* writes BEFORE, which has no %s, as the connection opens */
  bool dies;     /* the upstream starts anew instead of answering, at times */
  bool renames;  /* under another id */
  /* Another instance took the address before this connection was opened; the
     keepers hear of it as the request comes.  */
  bool replaced;
  bool only_on_demand; /* only if its name is listed */
};

static const struct behaviour plain = { .name = "serve", .runs = true };
static const struct behaviour misdirected
    = { .name = "misdirected", .status = 421 };
static const struct behaviour slow
    = { .name = "serve-slowly", .runs = true, .slow = true };

static const struct behaviour behaviours[] = {
  { .name = "refuse", .status = 503, .marked = true },
  { .name = "refuse-429", .status = 429, .marked = true },
  { .name = "refuse-421", .status = 421 },
  { .name = "refuse-again", .status = 503, .marked = true, .copies = true },
  { .name = "refuse-twice",
    .status = 503,
    .marked = true,
    .copies = true,
    .late = true,
    .arrivals = 2 },
  { .name = "refuse-once-503",
    .status = 503,
    .marked = true,
    .copies = true,
    .waits = true,
    .arrivals = 1,
    .only_on_demand = true },
  { .name = "refuse-once-429",
    .status = 429,
    .marked = true,
    .copies = true,
    .waits = true,
    .arrivals = 1,
    .only_on_demand = true },
  { .name = "refuse-once-408",
    .status = 408,
    .marked = true,
    .copies = true,
    .waits = true,
    .arrivals = 1,
    .only_on_demand = true },
  { .name = "refuse-once-421",
    .status = 421,
    .copies = true,
    .waits = true,
    .arrivals = 1,
    .only_on_demand = true },
  { .name = "replaced",
    .status = 421,
    .copies = true,
    .waits = true,
    .late = true,
    .arrivals = 1,
    .replaced = true,
    .only_on_demand = true },
  { .name = "refuse-early", .status = 503, .marked = true, .early = true },
  { .name = "nameless-503",
    .before = "HTTP/1.1 503 Busy\r\n" NOT_RUN "Content-Length: 0\r\n\r\n",
    .runs = true },
  { .name = "nameless-421",
    .before = "HTTP/1.1 421 Elsewhere\r\nContent-Length: 0\r\n\r\n",
    .runs = true },
  { .name = "other-503",
    .before = "HTTP/1.1 503 Busy\r\nMarjoramproxy-Attempt-Id: another\r\n" //
    NOT_RUN "Content-Length: 0\r\n\r\n",
    .runs = true },
  { .name = "interim-503",
    .before = "HTTP/1.1 103 Early Hints\r\nMarjoramproxy-Attempt-Id: "
              "%s\r\n" NOT_RUN "\r\n",
    .runs = true },
  { .name = "greet-503",
    .before = "HTTP/1.1 503 Busy\r\n" NOT_RUN "Content-Length: 0\r\n\r\n",
    .runs = true,
    .greets = true },
  { .name = "run-503",
    .runs = true,
    .status = 503,
    .header = "Retry-After: 0.05\r\n" },
  { .name = "run-429",
    .runs = true,
    .status = 429,
    .header = "Retry-After: 0.05\r\n" },
  { .name = "run-408", .runs = true, .status = 408, .closes = true },
  { .name = "run-bare-503", .runs = true, .status = 503, .bare = true },
  { .name = "run-bare-429", .runs = true, .status = 429, .bare = true },
  { .name = "run-bare-503-close",
    .runs = true,
    .status = 503,
    .bare = true,
    .closes = true },
  { .name = "run-500", .runs = true, .status = 500 },
  { .name = "cut", .runs = true, .cut = true },
  { .name = "short", .runs = true, .shortens = true },
  { .name = "late", .runs = true, .late = true },
  { .name = "mute", .runs = true, .mute = true },
  { .name = "again", .runs = true, .copies = true },
  { .name = "restart", .runs = true, .dies = true },
  { .name = "replace", .runs = true, .dies = true, .renames = true },
  { .name = "unframed", .runs = true, .unframed = true },
};

enum
{
  BEHAVIOURS = sizeof behaviours / sizeof *behaviours
};

struct odd_upstream
{
  struct event_base *base;
  marjoram_random *random;
  struct run_ledger *ledger;
  const struct odd_upstream_options *options;
  struct evconnlistener *listener;
  struct event *beat;
  LIST_HEAD (, odd_connection) connections;
  char id[NAME_MAX_BYTES]; /* of this incarnation */
  int incarnation;
  int64_t started_at;
  int sequence;
  int keeper; /* index of the current keeper */
};

/* One run of a request.  */
struct run
{
  LIST_ENTRY (run) link;
  struct odd_connection *connection; /* null once that has ended */
  struct odd_upstream *upstream;
  const struct behaviour *how;
  char id[LEDGER_ID_MAX];
  bool stream;
  int next_event;
  bool refusal;
  bool begun;
  struct event *timer;
};

/* Of all upstreams of this process, with copies of answers.  */
static LIST_HEAD (, run) runs = LIST_HEAD_INITIALIZER (runs);

struct odd_connection
{
  LIST_ENTRY (odd_connection) link;
  struct odd_upstream *upstream;
  struct bufferevent *bev;
  marjoram_http_reader *reader;
  struct run *run;
  bool answered_early; /* the body of the request is still to come */
  bool has_greeted;    /* it carried no request yet */
  bool closing;
};

void
odd_upstream_list (void)
{
  for (size_t i = 0; i < BEHAVIOURS; i++)
    printf ("%s\n", behaviours[i].name);
}

/* ---- Choice.  ---- */

static bool
is_enabled (const struct odd_upstream *upstream, const struct behaviour *how)
{
  const char *list = upstream->options->behaviours;
  const size_t size = strlen (how->name);

  for (const char *at = list; at; at = strchr (at, ','))
    {
      at += *at == ',';
      if (strncmp (at, how->name, size) == 0 && (!at[size] || at[size] == ','))
        return true;
    }
  return !list && !how->only_on_demand;
}

static const struct behaviour *
choose (struct odd_upstream *upstream, bool greets)
{
  const struct behaviour *found[BEHAVIOURS];
  uint32_t count = 0;

  if (marjoram_random_below (upstream->random, PERCENT)
      >= (uint32_t)upstream->options->percent)
    return &plain;
  for (size_t i = 0; i < BEHAVIOURS; i++)
    if (is_enabled (upstream, &behaviours[i]))
      found[count++] = &behaviours[i];
  if (count == 0)
    return &plain;
  found[0] = found[marjoram_random_below (upstream->random, count)];
  return found[0]->greets == greets ? found[0] : &plain;
}

/* ---- Answers.  ---- */

static struct evbuffer *
output_of (const struct run *run)
{
  return bufferevent_get_output (run->connection->bev);
}

static int
status_of (const struct run *run)
{
  return run->how->status ? run->how->status : 200;
}

static void
write_head (const struct run *run, struct evbuffer *output, int length)
{
  const struct behaviour *how = run->how;

  evbuffer_add_printf (output, "HTTP/1.1 %d Answer\r\n%s", status_of (run),
                       how->header ? how->header : "");
  if (!how->bare)
    evbuffer_add_printf (output, "Marjoramproxy-Attempt-Id: %s\r\n", run->id);
  if (!how->bare && how->runs)
    {
      evbuffer_add_printf (output, "Marjoramproxy-Response-Seal: seal\r\n");
      run_ledger_sealed (run->upstream->ledger, run->id, status_of (run));
    }
  if (how->marked)
    evbuffer_add_printf (output, NOT_RUN);
  if (how->closes || how->unframed)
    evbuffer_add_printf (output, "Connection: close\r\n");
  if (length >= 0)
    evbuffer_add_printf (output, "Content-Length: %d\r\n", length);
  else if (!how->unframed)
    evbuffer_add_printf (output, "Transfer-Encoding: chunked\r\n");
}

static void
write_answer (const struct run *run)
{
  struct evbuffer *output = output_of (run);
  char body[TEXT_MAX];
  int size = 0;

  if (run->how->runs)
    size = snprintf (body, sizeof body, "ran %s", run->id);
  write_head (run, output,
              run->how->unframed   ? -1
              : run->how->shortens ? size + TEXT_MAX
                                   : size);
  evbuffer_add (output, "\r\n", 2);
  evbuffer_add (output, body, (size_t)size);
}

static void
run_destroy (struct run *run)
{
  if (run->connection && run->connection->run == run)
    run->connection->run = NULL;
  LIST_REMOVE (run, link);
  event_free (run->timer);
  free (run);
}

static void
wait_for (struct run *run, event_callback_fn callback, int64_t ms)
{
  const struct timeval wait = marjoram_clock_timeval (ms);

  if (run->timer)
    event_free (run->timer);
  run->timer = event_new (run->upstream->base, -1, 0, callback, run);
  event_add (run->timer, &wait);
}

static struct run *
run_create (struct odd_upstream *upstream, struct odd_connection *connection,
            const struct behaviour *how, const char *id)
{
  struct run *run = marjoram_alloc (sizeof *run);

  run->upstream = upstream;
  run->connection = connection;
  run->how = how;
  snprintf (run->id, sizeof run->id, "%s", id ? id : "");
  LIST_INSERT_HEAD (&runs, run, link);
  return run;
}

static void connection_destroy (struct odd_connection *connection);
static void read_next (struct odd_connection *connection);

/* The connection goes on with the next request.  */
static void
finish (struct run *run)
{
  struct odd_connection *connection = run->connection;
  const struct behaviour *how = run->how;

  run_destroy (run);
  if (!connection)
    return;
  if (how->closes || how->unframed || how->shortens)
    {
      connection->closing = true;
      if (evbuffer_get_length (bufferevent_get_output (connection->bev)) == 0)
        connection_destroy (connection);
      return;
    }
  read_next (connection);
}

static void
on_copy (evutil_socket_t fd, short what, void *context)
{
  struct run *run = context;

  (void)fd;
  (void)what;
  if (run->connection)
    write_answer (run);
  run_destroy (run);
}

/* The copy comes while the connection goes on with other requests.  */
static void
schedule_copy (struct run *run)
{
  struct run *copy
      = run_create (run->upstream, run->connection, run->how, run->id);

  wait_for (copy, on_copy,
            run->how->waits
                ? COPY_WITHOUT_ARRIVAL_MS
                : marjoram_random_below (run->upstream->random, COPY_MAX_MS));
}

/* The copy of an answer to REQUEST that waits for it on its connection.  */
static void
hasten_copy (const struct run *request)
{
  struct run *copy;

  LIST_FOREACH (copy, &runs, link)
  if (copy != request && copy->connection == request->connection
      && copy->how->waits && strcmp (copy->id, request->id) == 0)
    wait_for (copy, on_copy, COPY_AFTER_ARRIVAL_MS);
}

/* ---- Runs.  ---- */

struct overlap
{
  struct odd_upstream *upstream;
  struct run *former;
  char id[LEDGER_ID_MAX];
};

static void
on_overlap_end (evutil_socket_t fd, short what, void *context)
{
  struct overlap *overlap = context;
  struct run *run;

  (void)fd;
  (void)what;
  LIST_FOREACH (run, &runs, link)
  if (run == overlap->former && strcmp (run->id, overlap->id) == 0
      && run->begun && run->connection)
    run_ledger_overlapped (overlap->upstream->ledger, overlap->id);
  free (overlap);
}

static void
check_overlap (struct run *run)
{
  const struct timeval wait = marjoram_clock_timeval (OVERLAP_MS);
  struct run *former;

  LIST_FOREACH (former, &runs, link)
  {
    struct overlap *overlap;

    if (!former->begun || former == run || strcmp (former->id, run->id) != 0)
      continue;
    overlap = marjoram_alloc (sizeof *overlap);
    *overlap = (struct overlap){ run->upstream, former, "" };
    snprintf (overlap->id, sizeof overlap->id, "%s", run->id);
    event_base_once (run->upstream->base, -1, EV_TIMEOUT, on_overlap_end,
                     overlap, &wait);
  }
}

static void
on_event_due (evutil_socket_t fd, short what, void *context)
{
  struct run *run = context;
  char text[TEXT_MAX];
  int size;

  (void)fd;
  (void)what;
  if (!run->connection)
    {
      run_destroy (run);
      return;
    }
  size = snprintf (text, sizeof text, "id: %d\ndata: ran %s\n\n",
                   run->next_event, run->id);
  if (run->how->unframed)
    evbuffer_add (output_of (run), text, (size_t)size);
  else
    evbuffer_add_printf (output_of (run), "%x\r\n%s\r\n", size, text);
  if (run->next_event++ < EVENTS)
    {
      wait_for (run, on_event_due, EVENT_MS);
      return;
    }
  if (!run->how->unframed)
    evbuffer_add_printf (output_of (run), "0\r\n\r\n");
  finish (run);
}

static void
start_stream (struct run *run)
{
  struct evbuffer *output = output_of (run);

  write_head (run, output, -1);
  evbuffer_add_printf (output, "Content-Type: text/event-stream\r\n\r\n");
  wait_for (run, on_event_due, EVENT_MS);
}

/* The process ends, and another one has its address; KEPT, if not null, was
   opened to that one.  */
static void
restart (struct odd_upstream *upstream, bool renames,
         const struct odd_connection *kept)
{
  struct odd_connection *connection;
  struct odd_connection *next;

  for (connection = LIST_FIRST (&upstream->connections); connection;
       connection = next)
    {
      next = LIST_NEXT (connection, link);
      if (connection != kept)
        connection_destroy (connection);
    }
  upstream->started_at = marjoram_clock_wall (marjoram_clock_system ());
  upstream->sequence = 0;
  if (renames)
    snprintf (upstream->id, sizeof upstream->id, "%s-%d",
              upstream->options->id, ++upstream->incarnation);
}

static void
on_worked (evutil_socket_t fd, short what, void *context)
{
  struct run *run = context;
  struct odd_connection *connection = run->connection;

  (void)fd;
  (void)what;
  if (!connection)
    run_destroy (run);
  else if (run->how->dies
           && marjoram_random_below (run->upstream->random, DEATHS_IN) == 0)
    restart (run->upstream, run->how->renames, NULL);
  else if (run->how->cut)
    connection_destroy (connection);
  else if (run->stream && status_of (run) == 200 && !run->how->shortens)
    start_stream (run);
  else if (!run->how->mute)
    {
      write_answer (run);
      if (run->how->copies)
        schedule_copy (run);
      finish (run);
    }
}

static void
begin (struct run *run)
{
  struct odd_upstream *upstream = run->upstream;

  run_ledger_ran (upstream->ledger, run->id, upstream->options->id,
                  run->how->name);
  if (run->connection)
    check_overlap (run);
  run->begun = true;
  wait_for (run, on_worked,
            run->how->slow
                ? SLOW_MIN_MS + SLOW_MS
                : marjoram_random_below (upstream->random, WORK_MAX_MS));
}

/* A request that was read runs even if its connection has ended.  */
static void
on_late (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  begin (context);
}

static void
refuse (struct run *run)
{
  run_ledger_note (run->upstream->ledger, run->id, run->how->name);
  write_answer (run);
  if (run->how->copies)
    schedule_copy (run);
  finish (run);
}

static void
on_late_refusal (evutil_socket_t fd, short what, void *context)
{
  struct run *run = context;

  (void)fd;
  (void)what;
  if (run->connection)
    refuse (run);
  else
    run_destroy (run);
}

/* How the request is treated, by how it was when it came first.  */
static const struct behaviour *
treatment (struct odd_connection *connection, const char *id,
           const struct behaviour *how)
{
  int arrivals;
  const struct behaviour *first = run_ledger_arrived (
      connection->upstream->ledger, id ? id : "", how, &arrivals);

  if (how == &misdirected || first->arrivals == 0)
    return how;
  return arrivals > first->arrivals ? &slow : first;
}

static void
start (struct odd_connection *connection, const struct behaviour *how)
{
  const struct marjoram_header_list *headers
      = marjoram_http_reader_headers (connection->reader);
  const char *id
      = marjoram_header_list_get (headers, "Marjoramproxy-Attempt-Id");
  const char *last = marjoram_header_list_get (headers, "Last-Event-Id");
  struct run *run;

  how = treatment (connection, id, how);
  run = run_create (connection->upstream, connection, how, id);
  run->timer = event_new (run->upstream->base, -1, 0, on_worked, run);
  run->stream
      = strstr (marjoram_http_reader_target (connection->reader), "stream");
  run->next_event = last ? atoi (last) + 1 : 1;
  connection->run = run;
  hasten_copy (run);
  if (how->replaced)
    {
      restart (run->upstream, true, connection);
      event_active (run->upstream->beat, EV_TIMEOUT, 0);
    }
  if (connection->has_greeted)
    run_ledger_note (run->upstream->ledger, run->id, "greet-503");
  connection->has_greeted = false;
  if (how->before && !how->greets)
    evbuffer_add_printf (output_of (run), how->before, run->id);
  if (!how->runs && how->late)
    wait_for (run, on_late_refusal,
              SLOW_MIN_MS
                  + marjoram_random_below (run->upstream->random, SLOW_MS));
  else if (!how->runs)
    refuse (run);
  else if (how->late)
    wait_for (run, on_late,
              marjoram_random_below (run->upstream->random, LATE_MAX_MS));
  else
    begin (run);
}

/* ---- Connections.  ---- */

static bool
on_head (void *context, bool *skip_body)
{
  struct odd_connection *connection = context;
  const struct behaviour *how;

  (void)skip_body;
  connection->answered_early = false;
  if (strcmp (marjoram_http_reader_target (connection->reader), "/health")
      == 0)
    return true;
  how = choose (connection->upstream, false);
  if (how->early)
    {
      connection->answered_early = true;
      start (connection, how);
    }
  return true;
}

static bool
on_body (void *context, const char *data, size_t size)
{
  (void)context;
  (void)data;
  (void)size;
  return true;
}

/* Whether the request is for another one that had this address.  */
static bool
is_for_another (const struct odd_connection *connection)
{
  const char *target = marjoram_header_list_get (
      marjoram_http_reader_headers (connection->reader),
      "Marjoramproxy-Target-Instance");

  return target && strcmp (target, connection->upstream->id) != 0;
}

static bool
on_complete (void *context)
{
  struct odd_connection *connection = context;
  const struct behaviour *how;

  if (strcmp (marjoram_http_reader_target (connection->reader), "/health")
      == 0)
    {
      evbuffer_add_printf (bufferevent_get_output (connection->bev),
                           "HTTP/1.1 200 OK\r\nMarjoramproxy-Instance-Id: "
                           "%s\r\nContent-Length: 0\r\n\r\n",
                           connection->upstream->id);
      return true;
    }
  if (connection->answered_early)
    return true;
  how = choose (connection->upstream, false);
  start (connection, is_for_another (connection) ? &misdirected
                     : how->early                ? &plain
                                                 : how);
  return false;
}

static const struct marjoram_http_reader_ops reader_ops
    = { .head = on_head, .body = on_body, .complete = on_complete };

/* Runs that wait for nothing end with their connection.  */
static void
connection_destroy (struct odd_connection *connection)
{
  struct run *run;
  struct run *next;

  for (run = LIST_FIRST (&runs); run; run = next)
    {
      next = LIST_NEXT (run, link);
      if (run->connection != connection)
        continue;
      run->connection = NULL;
      if (!event_pending (run->timer, EV_TIMEOUT, NULL))
        run_destroy (run);
    }
  LIST_REMOVE (connection, link);
  bufferevent_free (connection->bev);
  marjoram_http_reader_destroy (connection->reader);
  free (connection);
}

/* Requests are read one after the other.  */
static void
on_read (struct bufferevent *bev, void *context)
{
  struct odd_connection *connection = context;
  enum marjoram_http_read_result result;

  if (connection->run || connection->closing)
    return;
  result = marjoram_http_reader_feed (connection->reader,
                                      bufferevent_get_input (bev));
  if (result == MARJORAM_HTTP_MALFORMED
      || result == MARJORAM_HTTP_HEAD_TOO_LARGE)
    connection_destroy (connection);
}

static void
read_next (struct odd_connection *connection)
{
  if (evbuffer_get_length (bufferevent_get_input (connection->bev)) > 0)
    bufferevent_trigger (connection->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

static void
on_written (struct bufferevent *bev, void *context)
{
  struct odd_connection *connection = context;

  (void)bev;
  if (connection->closing)
    connection_destroy (connection);
}

static void
on_end (struct bufferevent *bev, short what, void *context)
{
  (void)bev;
  (void)what;
  connection_destroy (context);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *context)
{
  struct odd_connection *connection = marjoram_alloc (sizeof *connection);
  const struct behaviour *how;

  (void)listener;
  (void)address;
  (void)size;
  connection->upstream = context;
  LIST_INSERT_HEAD (&connection->upstream->connections, connection, link);
  connection->reader
      = marjoram_http_reader_create (HTTP_REQUEST, &reader_ops, connection);
  connection->bev = bufferevent_socket_new (connection->upstream->base, fd,
                                            BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (connection->bev, on_read, on_written, on_end, connection);
  how = choose (connection->upstream, true);
  connection->has_greeted = how->greets;
  if (how->greets)
    evbuffer_add_printf (bufferevent_get_output (connection->bev), "%s",
                         how->before);
  bufferevent_enable (connection->bev, EV_READ | EV_WRITE);
}

/* ---- Heartbeats.  ---- */

static void
on_keeper_response (struct evhttp_request *answer, void *context)
{
  struct odd_upstream *upstream = context;

  if (!answer || evhttp_request_get_response_code (answer) / 100 != 2)
    upstream->keeper++;
}

static bool
find_keeper (const struct odd_upstream *upstream, char ip[IP_MAX],
             unsigned int *port)
{
  const char *at = upstream->options->keepers;
  int count = 1;

  for (const char *c = at; *c; c++)
    count += *c == ',';
  for (int i = 0; i < upstream->keeper % count; i++)
    at = strchr (at, ',') + 1;
  return sscanf (at, "%63[^:]:%u", ip, port) == 2;
}

static void
on_beat (evutil_socket_t fd, short what, void *context)
{
  struct odd_upstream *upstream = context;
  const struct odd_upstream_options *options = upstream->options;
  struct evhttp_connection *connection;
  struct evhttp_request *request;
  char ip[IP_MAX];
  char path[TEXT_MAX];
  unsigned int port;

  (void)fd;
  (void)what;
  if (!find_keeper (upstream, ip, &port))
    abort ();
  connection = evhttp_connection_base_new (upstream->base, NULL, ip,
                                           (unsigned short)port);
  evhttp_connection_set_timeout (connection, CALL_TIMEOUT_S);
  evhttp_connection_free_on_completion (connection);
  request = evhttp_request_new (on_keeper_response, upstream);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host", ip);
  evbuffer_add_printf (
      evhttp_request_get_output_buffer (request),
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
      "\"cold_remaining_ms\":0,\"seq\":%d,\"born\":%" PRId64 "}",
      options->service, options->address, options->zone, ++upstream->sequence,
      upstream->started_at);
  snprintf (path, sizeof path, "/-/instances/%s/heartbeat", upstream->id);
  evhttp_make_request (connection, request, EVHTTP_REQ_POST, path);
}

struct odd_upstream *
odd_upstream_create (struct event_base *base, marjoram_random *random,
                     struct run_ledger *ledger,
                     const struct odd_upstream_options *options)
{
  struct odd_upstream *upstream = marjoram_alloc (sizeof *upstream);
  const struct timeval every = marjoram_clock_timeval (BEAT_MS);
  struct sockaddr_storage addr;
  int size = sizeof addr;

  upstream->base = base;
  upstream->random = random;
  upstream->ledger = ledger;
  upstream->options = options;
  LIST_INIT (&upstream->connections);
  snprintf (upstream->id, sizeof upstream->id, "%s", options->id);
  upstream->started_at = marjoram_clock_wall (marjoram_clock_system ());
  if (evutil_parse_sockaddr_port (options->address, (struct sockaddr *)&addr,
                                  &size)
      == 0)
    upstream->listener = evconnlistener_new_bind (
        base, on_accept, upstream,
        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
        BACKLOG, (struct sockaddr *)&addr, size);
  if (!upstream->listener)
    {
      free (upstream);
      return NULL;
    }
  upstream->beat = event_new (base, -1, EV_PERSIST, on_beat, upstream);
  event_add (upstream->beat, &every);
  return upstream;
}

void
odd_upstream_destroy (struct odd_upstream *upstream)
{
  if (!upstream)
    return;
  event_free (upstream->beat);
  evconnlistener_free (upstream->listener);
  free (upstream);
}
