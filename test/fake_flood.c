/* Fake upstream that answers each request with bytes without end, or with a
   broken head and the end of the connection.  The last part of the request's
   path names what is sent; see kinds.  Logs how much was sent when the caller
   closes the connection.  */
#include "cleanup.h"
#include "header_list.h"
#include "http_reader.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BACKLOG = 256,
  /* Bytes that are kept ready to be sent on each connection.  */
  READY = 64 * 1024
};

#define OWN                                                                   \
  "Marjoramproxy-Attempt-Id: %s\r\nMarjoramproxy-Response-Seal: s\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"
#define CLOSE "Connection: close\r\n"
#define BODY "Content-Length: 4\r\n\r\nbody"
#define CHUNKS "Transfer-Encoding: chunked\r\n"
#define TEXT_32 "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
#define LINES_32                                                              \
  "\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n"

/* START, in which %s is the request's id, is sent once, then REPEATED or, if
   that is null, the end of the connection.  */
static const struct kind
{
  const char *name;
  const char *start;
  const char *repeated;
} kinds[] = {
  { "junk", "", "what is this? " },
  { "blank", "", "\r\n" },
  { "reason", "HTTP/1.1 200 O", "K" },
  { "fields", "HTTP/1.1 200 OK\r\n" OWN, "X-More: 1\r\n" },
  { "name", "HTTP/1.1 200 OK\r\n" OWN, "x" },
  { "value", "HTTP/1.1 200 OK\r\n" OWN "X-Long: ", "v" },
  { "spaces", "HTTP/1.1 200 OK\r\n" OWN "X-Long: ", " " },
  { "interim", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "strays", "",
    "HTTP/1.1 200 OK\r\nMarjoramproxy-Attempt-Id: another\r\n"
    "Content-Length: 4\r\n\r\nbody" },
  { "stray",
    "HTTP/1.1 200 OK\r\nMarjoramproxy-Attempt-Id: another\r\n" CHUNKS "\r\n",
    "4\r\nbody\r\n" },
  { "body", "HTTP/1.1 200 OK\r\n" OWN CLOSE "\r\n", "b" },
  { "length", "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 999999999999\r\n\r\n",
    "b" },
  { "chunks", "HTTP/1.1 200 OK\r\n" OWN CHUNKS "\r\n",
    "20\r\n" TEXT_32 "\r\n" },
  { "extension", "HTTP/1.1 200 OK\r\n" OWN CHUNKS "\r\n4;", "e" },
  { "extensions", "HTTP/1.1 200 OK\r\n" OWN CHUNKS "\r\n",
    "1;eeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeee\r\nb\r\n" },
  { "trailers", "HTTP/1.1 200 OK\r\n" OWN CHUNKS "\r\n0\r\n",
    "X-More: 1\r\n" },
  { "refusal",
    "HTTP/1.1 503 Busy\r\n" OWN CLOSE "Marjoramproxy-Not-Executed: 1\r\n\r\n",
    "b" },
  { "failure", "HTTP/1.1 500 Failed\r\n" OWN CLOSE "\r\n", "b" },
  { "event", "HTTP/1.1 200 OK\r\n" OWN EVENTS CHUNKS "\r\n",
    "20\r\n" TEXT_32 "\r\n" },
  { "lines", "HTTP/1.1 200 OK\r\n" OWN EVENTS CHUNKS "\r\n",
    "8\r\ndata: a\n\r\n" },
  { "empty", "HTTP/1.1 200 OK\r\n" OWN EVENTS CHUNKS "\r\n",
    "20\r\n" LINES_32 "\r\n" },
  { "events", "HTTP/1.1 200 OK\r\n" OWN EVENTS CHUNKS "\r\n",
    "9\r\ndata: a\n\n\r\n" },
  { "status-000", "HTTP/1.1 000 OK\r\n" OWN BODY, NULL },
  { "status-20", "HTTP/1.1 20 OK\r\n" OWN BODY, NULL },
  { "status-999", "HTTP/1.1 999 OK\r\n" OWN BODY, NULL },
  { "length-sign", "HTTP/1.1 200 OK\r\n" OWN "Content-Length: +4\r\n\r\nbody",
    NULL },
  { "length-name", "HTTP/1.1 200 OK\r\n" OWN "Content Length: 4\r\n\r\nbo",
    NULL },
  { "length-folded",
    "HTTP/1.1 200 OK\r\n" OWN "X-More: 1\r\n Content-Length: 4\r\n\r\nbo",
    NULL },
  { "coding",
    "HTTP/1.1 200 OK\r\n" OWN
    "Transfer-Encoding: chXnked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    NULL },
  { "coding-name",
    "HTTP/1.1 200 OK\r\n" OWN
    "Transfer Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    NULL },
  { "coding-other",
    "HTTP/1.1 200 OK\r\n" OWN
    "Kransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    NULL },
  { "line", "HTTP/1.1 200 OK\r\n" OWN "what is this\r\n" BODY, NULL },
  { "name-blank", "HTTP/1.1 200 OK\r\n" OWN "X More: 1\r\n" BODY, NULL },
  { "name-control", "HTTP/1.1 200 OK\r\n" OWN "X-\001More: 1\r\n" BODY, NULL },
  { "head-cut", "HTTP/1.1 200 OK\r\n" OWN "Content-Le", NULL },
  { "head-cut-line", "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 4\r\n", NULL },
  { "head-cut-interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" OWN,
    NULL },
  { "events-coding",
    "HTTP/1.1 200 OK\r\n" OWN EVENTS
    "Transfer-Encoding: chXnked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n",
    NULL },
  { "events-name",
    "HTTP/1.1 200 OK\r\n" OWN EVENTS "X More: 1\r\n" CHUNKS
    "\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n",
    NULL },
  { "events-status",
    "HTTP/1.1 000 OK\r\n" OWN EVENTS CHUNKS
    "\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n",
    NULL },
};

struct connection
{
  struct bufferevent *bev;
  marjoram_http_reader *reader;
  const struct kind *kind;
  size_t sent;
};

static void
destroy (struct connection *connection)
{
  if (connection->kind)
    printf ("kind=%s sent=%zu\n", connection->kind->name, connection->sent);
  fflush (stdout);
  bufferevent_free (connection->bev);
  marjoram_http_reader_destroy (connection->reader);
  free (connection);
}

static const struct kind *
find_kind (const char *target)
{
  const char *name = strrchr (target, '/');

  for (size_t i = 0; name && i < sizeof kinds / sizeof *kinds; i++)
    if (strcmp (name + 1, kinds[i].name) == 0)
      return &kinds[i];
  return NULL;
}

static void
fill (struct connection *connection)
{
  struct evbuffer *output = bufferevent_get_output (connection->bev);
  const char *repeated = connection->kind->repeated;
  const size_t size = repeated ? strlen (repeated) : 0;

  while (repeated && evbuffer_get_length (output) < READY)
    {
      evbuffer_add (output, repeated, size);
      connection->sent += size;
    }
}

static bool
on_head (void *context, bool *skip_body)
{
  (void)context;
  (void)skip_body;
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

static bool
on_complete (void *context)
{
  struct connection *connection = context;
  const char *id = marjoram_header_list_get (
      marjoram_http_reader_headers (connection->reader),
      "Marjoramproxy-Attempt-Id");

  connection->kind
      = find_kind (marjoram_http_reader_target (connection->reader));
  if (!connection->kind)
    return false;
  evbuffer_add_printf (bufferevent_get_output (connection->bev),
                       connection->kind->start, id ? id : "");
  fill (connection);
  return false;
}

static const struct marjoram_http_reader_ops reader_ops
    = { .head = on_head, .body = on_body, .complete = on_complete };

static void
on_read (struct bufferevent *bev, void *context)
{
  struct connection *connection = context;
  struct evbuffer *input = bufferevent_get_input (bev);

  if (connection->kind)
    evbuffer_drain (input, evbuffer_get_length (input));
  else
    marjoram_http_reader_feed (connection->reader, input);
}

static void
on_written (struct bufferevent *bev, void *context)
{
  struct connection *connection = context;

  if (!connection->kind)
    return;
  fill (connection);
  if (evbuffer_get_length (bufferevent_get_output (bev)) == 0)
    destroy (connection);
}

static void
on_event (struct bufferevent *bev, short events, void *context)
{
  (void)bev;
  if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    destroy (context);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *context)
{
  struct connection *connection = marjoram_alloc (sizeof *connection);

  (void)address;
  (void)size;
  (void)context;
  connection->reader
      = marjoram_http_reader_create (HTTP_REQUEST, &reader_ops, connection);
  connection->bev = bufferevent_socket_new (evconnlistener_get_base (listener),
                                            fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (connection->bev, on_read, on_written, on_event,
                     connection);
  bufferevent_setwatermark (connection->bev, EV_WRITE, READY / 2, 0);
  bufferevent_enable (connection->bev, EV_READ | EV_WRITE);
}

int
main (int argc, char **argv)
{
  struct event_base *base = event_base_new ();
  struct sockaddr_storage addr;
  int size = sizeof addr;

  signal (SIGPIPE, SIG_IGN);
  if (argc != 2
      || evutil_parse_sockaddr_port (argv[1], (struct sockaddr *)&addr, &size)
             != 0
      || !evconnlistener_new_bind (base, on_accept, NULL,
                                   LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE
                                       | LEV_OPT_CLOSE_ON_EXEC,
                                   BACKLOG, (struct sockaddr *)&addr, size))
    {
      fprintf (stderr, "usage: fake_flood IP:PORT\n");
      return EXIT_FAILURE;
    }
  event_base_dispatch (base);
  return EXIT_SUCCESS;
}
