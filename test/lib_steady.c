#include "lib_steady.h"

#include "cleanup.h"
#include "clock.h"
#include "http_reader.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <inttypes.h>
#include <stdio.h>

enum
{
  STATUS_OK = 200
};

struct caller
{
  struct steady *steady;
  struct bufferevent *bev; /* NULL once the host refuses connections */
  struct event *pause;
  marjoram_http_reader *reader;
  bool connected;
  bool request_sent;
  bool whole;
};

struct steady
{
  struct event_base *base;
  marjoram_random *random;
  struct steady_options options;
  struct steady_counts counts;
  struct caller *callers;
  int64_t requests;
};

/* Response parsing.  */

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
  struct caller *caller = context;

  caller->whole = true;
  return false;
}

static const struct marjoram_http_reader_ops reader_ops
    = { .head = on_head, .body = on_body, .complete = on_complete };

/* Caller state machine.  */

static void
close_connection (struct caller *caller)
{
  if (caller->bev)
    bufferevent_free (caller->bev);
  caller->bev = NULL;
  marjoram_http_reader_destroy (caller->reader);
  caller->reader = NULL;
  event_del (caller->pause);
}

static void
start_pause (struct caller *caller)
{
  struct steady *steady = caller->steady;
  struct timeval pause = marjoram_clock_timeval (marjoram_random_below (
      steady->random, (uint32_t)steady->options.pause_ms + 1));

  event_add (caller->pause, &pause);
}

static void
on_pause_end (evutil_socket_t fd, short what, void *context)
{
  struct caller *caller = context;
  struct steady *steady = caller->steady;

  (void)fd;
  (void)what;
  caller->request_sent = true;
  evbuffer_add_printf (
      bufferevent_get_output (caller->bev), "%s%s: steady-%" PRId64 "\r\n\r\n",
      steady->options.start, steady->options.number, ++steady->requests);
}

static void connect_to_host (struct caller *caller);

static void
on_response (struct caller *caller)
{
  struct steady_counts *counts = &caller->steady->counts;
  const struct http_parser *parser
      = marjoram_http_reader_parser (caller->reader);

  caller->request_sent = caller->whole = false;
  if (parser->status_code == STATUS_OK)
    counts->served++;
  else
    counts->refused++;
  if (http_should_keep_alive (parser))
    {
      start_pause (caller);
      return;
    }
  close_connection (caller);
  connect_to_host (caller);
}

static void
on_read (struct bufferevent *bev, void *context)
{
  struct caller *caller = context;

  marjoram_http_reader_feed (caller->reader, bufferevent_get_input (bev));
  if (caller->whole)
    on_response (caller);
}

static void
on_event (struct bufferevent *bev, short events, void *context)
{
  struct caller *caller = context;
  struct steady_counts *counts = &caller->steady->counts;

  (void)bev;
  if (events & BEV_EVENT_CONNECTED)
    {
      caller->connected = true;
      start_pause (caller);
      return;
    }
  close_connection (caller);
  if (!caller->connected)
    {
      counts->away++;
      return;
    }
  if (caller->request_sent)
    counts->lost++;
  else
    counts->idle++;
  connect_to_host (caller);
}

static void
connect_to_host (struct caller *caller)
{
  struct steady *steady = caller->steady;
  struct sockaddr_storage where;
  int size = sizeof where;

  caller->connected = caller->request_sent = caller->whole = false;
  caller->reader
      = marjoram_http_reader_create (HTTP_RESPONSE, &reader_ops, caller);
  caller->bev
      = bufferevent_socket_new (steady->base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (caller->bev, on_read, NULL, on_event, caller);
  bufferevent_enable (caller->bev, EV_READ | EV_WRITE);
  evutil_parse_sockaddr_port (steady->options.address,
                              (struct sockaddr *)&where, &size);
  if (bufferevent_socket_connect (caller->bev, (struct sockaddr *)&where, size)
      != 0)
    bufferevent_trigger_event (caller->bev, BEV_EVENT_ERROR,
                               BEV_TRIG_DEFER_CALLBACKS);
}

/* Public interface.  */

struct steady *
steady_start (struct event_base *base, marjoram_random *random,
              const struct steady_options *options)
{
  struct steady *steady = marjoram_alloc (sizeof *steady);

  steady->base = base;
  steady->random = random;
  steady->options = *options;
  steady->options.address = marjoram_strdup (options->address);
  steady->options.start = marjoram_strdup (options->start);
  steady->options.number = marjoram_strdup (options->number);
  steady->callers
      = marjoram_alloc ((size_t)options->callers * sizeof *steady->callers);
  for (int i = 0; i < options->callers; i++)
    {
      struct caller *caller = &steady->callers[i];

      caller->steady = steady;
      caller->pause = event_new (base, -1, 0, on_pause_end, caller);
      connect_to_host (caller);
    }
  return steady;
}

void
steady_destroy (struct steady *steady)
{
  for (int i = 0; i < steady->options.callers; i++)
    {
      close_connection (&steady->callers[i]);
      event_free (steady->callers[i].pause);
    }
  free (steady->callers);
  free ((char *)steady->options.address);
  free ((char *)steady->options.start);
  free ((char *)steady->options.number);
  free (steady);
}

const struct steady_counts *
steady_counts (const struct steady *steady)
{
  return &steady->counts;
}
