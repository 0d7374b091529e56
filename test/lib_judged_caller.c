#include "lib_judged_caller.h"

#include "cleanup.h"
#include "clock.h"
#include "http_reader.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  ENTRIES_MAX = 32,
  ADDRESS_MAX = 64,
  BODY_MAX = 2048,
  TEXT_MAX = 256,
  PERCENT = 100,
  SPLIT_PERCENT = 20, /* bodies that come in two parts */
  SPLIT_MAX_MS = 150,
  CLOSE_PERCENT = 20, /* connections that are not used again */
  PATIENCE_MS = 700,  /* beyond the deadline */
  LEAVE_MAX_MS = 300,
  AWAY_MS = 100, /* after a connection that could not be opened */
  /* Until a refused request is sent again.  */
  AGAIN_MIN_MS = 60,
  AGAIN_MAX_MS = 120
};

static const struct path
{
  const char *name;
  bool once; /* must not run more than once */
} paths[] = { { "/flip/x", true },
              { "/flip/y", true },
              { "/once/stream/x", true },
              { "/stream/x", false },
              { "/get/x", false } };

enum
{
  PATHS = sizeof paths / sizeof *paths
};

struct caller
{
  struct judged_callers *all;
  struct bufferevent *bev; /* null: none */
  marjoram_http_reader *reader;
  struct event *timer;    /* the next step: a request, a part, a limit */
  char id[LEDGER_ID_MAX]; /* "" while no request is in progress */
  char refused_id[LEDGER_ID_MAX]; /* to be sent again; "" if none */
  const struct path *path;
  bool connected;
  bool responded; /* the whole response was read */
  struct ledger_answer answer;
  char body[TEXT_MAX]; /* start of the response's body */
  size_t body_size;
  size_t rest; /* of the request's body, still to be sent */
  int64_t limit_at;
};

struct judged_callers
{
  struct event_base *base;
  marjoram_random *random;
  struct run_ledger *ledger;
  const struct judged_options *options;
  char entries[ENTRIES_MAX][ADDRESS_MAX];
  uint32_t entry_count;
  struct caller *callers;
  uint64_t requests;
  bool stopped;
};

static int64_t
now_ms (void)
{
  return marjoram_clock_now (marjoram_clock_system ());
}

static int64_t
draw (struct caller *caller, int64_t limit)
{
  return marjoram_random_below (caller->all->random, (uint32_t)limit + 1);
}

static bool
draw_percent (struct caller *caller, int percent)
{
  return draw (caller, PERCENT - 1) < percent;
}

static void
wait_for (struct caller *caller, event_callback_fn callback, int64_t ms)
{
  const struct timeval wait = marjoram_clock_timeval (ms > 0 ? ms : 0);

  event_del (caller->timer);
  event_assign (caller->timer, caller->all->base, -1, 0, callback, caller);
  event_add (caller->timer, &wait);
}

static void on_pause_end (evutil_socket_t fd, short what, void *context);

static void
close_connection (struct caller *caller)
{
  if (caller->bev)
    bufferevent_free (caller->bev);
  caller->bev = NULL;
  marjoram_http_reader_destroy (caller->reader);
  caller->reader = NULL;
}

static void
pause_before_next (struct caller *caller, int64_t at_least_ms)
{
  if (caller->all->stopped)
    event_del (caller->timer);
  else if (*caller->refused_id)
    wait_for (caller, on_pause_end,
              at_least_ms + AGAIN_MIN_MS
                  + draw (caller, AGAIN_MAX_MS - AGAIN_MIN_MS));
  else
    wait_for (caller, on_pause_end,
              at_least_ms + draw (caller, caller->all->options->pause_ms));
}

/* Ends the request with what was told of it so far.  */
static void
end_request (struct caller *caller)
{
  char own[TEXT_MAX];

  snprintf (own, sizeof own, "ran %s", caller->id);
  caller->answer.own = strstr (caller->body, own) != NULL;
  run_ledger_answered (caller->all->ledger, now_ms (), caller->id,
                       &caller->answer);
  if (caller->all->options->again_percent > 0 && caller->answer.whole
      && run_ledger_is_promise (caller->answer.status)
      && draw_percent (caller, caller->all->options->again_percent))
    snprintf (caller->refused_id, sizeof caller->refused_id, "%s", caller->id);
  caller->id[0] = '\0';
}

/* ---- Responses.  ---- */

static bool
on_head (void *context, bool *skip_body)
{
  struct caller *caller = context;
  const struct marjoram_header_list *headers
      = marjoram_http_reader_headers (caller->reader);

  (void)skip_body;
  caller->answer.status
      = (int)marjoram_http_reader_parser (caller->reader)->status_code;
  caller->answer.sealed
      = marjoram_header_list_get (headers, "Marjoramproxy-Response-Seal");
  return true;
}

static bool
on_body (void *context, const char *data, size_t size)
{
  struct caller *caller = context;
  const size_t room = sizeof caller->body - 1 - caller->body_size;
  const size_t kept = size < room ? size : room;

  memcpy (caller->body + caller->body_size, data, kept);
  caller->body_size += kept;
  caller->body[caller->body_size] = '\0';
  return true;
}

static bool
on_complete (void *context)
{
  struct caller *caller = context;

  if (caller->answer.status / 100 == 1)
    return true;
  caller->answer.whole = true;
  caller->responded = true;
  return false;
}

static const struct marjoram_http_reader_ops reader_ops
    = { .head = on_head, .body = on_body, .complete = on_complete };

static void
on_read (struct bufferevent *bev, void *context)
{
  struct caller *caller = context;
  const struct http_parser *parser
      = marjoram_http_reader_parser (caller->reader);
  bool reusable;

  marjoram_http_reader_feed (caller->reader, bufferevent_get_input (bev));
  if (!caller->responded || !*caller->id)
    return;
  reusable = http_should_keep_alive (parser) && caller->rest == 0
             && !draw_percent (caller, CLOSE_PERCENT);
  end_request (caller);
  if (!reusable)
    close_connection (caller);
  pause_before_next (caller, 0);
}

/* ---- Requests.  ---- */

static void
on_limit (evutil_socket_t fd, short what, void *context)
{
  struct caller *caller = context;

  (void)fd;
  (void)what;
  end_request (caller);
  close_connection (caller);
  pause_before_next (caller, 0);
}

static void
write_body (struct caller *caller, size_t size)
{
  static const char padding[BODY_MAX] = "body";

  evbuffer_add (bufferevent_get_output (caller->bev), padding, size);
  caller->rest -= size;
}

static void
on_second_part (evutil_socket_t fd, short what, void *context)
{
  struct caller *caller = context;

  (void)fd;
  (void)what;
  write_body (caller, caller->rest);
  wait_for (caller, on_limit, caller->limit_at - now_ms ());
}

static int64_t
draw_deadline (struct caller *caller)
{
  const struct judged_options *options = caller->all->options;

  return options->deadline_min_ms
         + draw (caller, options->deadline_max_ms - options->deadline_min_ms);
}

static void
write_head (struct caller *caller, int64_t deadline)
{
  evbuffer_add_printf (bufferevent_get_output (caller->bev),
                       "POST %s?%s HTTP/1.1\r\nHost: a.example\r\n"
                       "Marjoramproxy-Attempt-Id: %s\r\n"
                       "Marjoramproxy-Deadline-Ms: %" PRId64 "\r\n"
                       "Content-Length: %zu\r\n\r\n",
                       caller->path->name, caller->id, caller->id, deadline,
                       caller->rest);
}

static void
choose_request (struct caller *caller)
{
  struct judged_callers *all = caller->all;

  if (*caller->refused_id)
    {
      snprintf (caller->id, sizeof caller->id, "%s", caller->refused_id);
      caller->refused_id[0] = '\0';
      run_ledger_asked_again (all->ledger, caller->id);
      return;
    }
  caller->path = &paths[draw (caller, PATHS - 1)];
  snprintf (caller->id, sizeof caller->id, "id-%" PRIu64, ++all->requests);
  run_ledger_asked (all->ledger, caller->id, caller->path->once);
}

static void
send_request (struct caller *caller)
{
  struct judged_callers *all = caller->all;
  const int64_t deadline = draw_deadline (caller);

  caller->answer = (struct ledger_answer){ 0 };
  caller->responded = false;
  caller->body_size = 0;
  caller->body[0] = '\0';
  choose_request (caller);
  caller->rest = (size_t)draw (caller, BODY_MAX);
  caller->limit_at = now_ms () + deadline + PATIENCE_MS;
  if (draw_percent (caller, all->options->leave_percent))
    caller->limit_at = now_ms () + draw (caller, LEAVE_MAX_MS);
  write_head (caller, deadline);
  if (draw_percent (caller, SPLIT_PERCENT) && caller->rest > 1)
    {
      write_body (caller, caller->rest / 2);
      wait_for (caller, on_second_part, draw (caller, SPLIT_MAX_MS));
      return;
    }
  write_body (caller, caller->rest);
  wait_for (caller, on_limit, caller->limit_at - now_ms ());
}

static void
on_event (struct bufferevent *bev, short what, void *context)
{
  struct caller *caller = context;

  (void)bev;
  if (what & BEV_EVENT_CONNECTED)
    {
      caller->connected = true;
      send_request (caller);
      return;
    }
  if (!*caller->id)
    {
      close_connection (caller);
      if (!caller->connected)
        pause_before_next (caller, AWAY_MS);
      return;
    }
  end_request (caller);
  close_connection (caller);
  pause_before_next (caller, 0);
}

static void
open_connection (struct caller *caller)
{
  struct judged_callers *all = caller->all;
  const char *entry
      = all->entries[draw (caller, (int64_t)all->entry_count - 1)];
  struct sockaddr_storage where;
  int size = sizeof where;

  caller->connected = false;
  caller->reader
      = marjoram_http_reader_create (HTTP_RESPONSE, &reader_ops, caller);
  caller->bev = bufferevent_socket_new (all->base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (caller->bev, on_read, NULL, on_event, caller);
  bufferevent_enable (caller->bev, EV_READ | EV_WRITE);
  evutil_parse_sockaddr_port (entry, (struct sockaddr *)&where, &size);
  if (bufferevent_socket_connect (caller->bev, (struct sockaddr *)&where, size)
      != 0)
    bufferevent_trigger_event (caller->bev, BEV_EVENT_ERROR,
                               BEV_TRIG_DEFER_CALLBACKS);
}

static void
on_pause_end (evutil_socket_t fd, short what, void *context)
{
  struct caller *caller = context;

  (void)fd;
  (void)what;
  if (caller->bev && caller->connected)
    send_request (caller);
  else if (!caller->bev)
    open_connection (caller);
}

/* ---- All callers.  ---- */

static void
read_entries (struct judged_callers *all, const char *list)
{
  while (list && *list && all->entry_count < ENTRIES_MAX)
    {
      const char *end = strchr (list, ',');

      snprintf (all->entries[all->entry_count++], ADDRESS_MAX, "%.*s",
                end ? (int)(end - list) : ADDRESS_MAX - 1, list);
      list = end ? end + 1 : NULL;
    }
}

struct judged_callers *
judged_callers_start (struct event_base *base, marjoram_random *random,
                      struct run_ledger *ledger,
                      const struct judged_options *options)
{
  struct judged_callers *all = marjoram_alloc (sizeof *all);

  all->base = base;
  all->random = random;
  all->ledger = ledger;
  all->options = options;
  read_entries (all, options->entries);
  all->callers
      = marjoram_alloc ((size_t)options->callers * sizeof *all->callers);
  for (int i = 0; i < options->callers; i++)
    {
      struct caller *caller = &all->callers[i];

      caller->all = all;
      caller->timer = event_new (base, -1, 0, on_pause_end, caller);
      pause_before_next (caller, 0);
    }
  return all;
}

void
judged_callers_stop (struct judged_callers *callers)
{
  callers->stopped = true;
  for (int i = 0; i < callers->options->callers; i++)
    if (!*callers->callers[i].id)
      {
        event_del (callers->callers[i].timer);
        close_connection (&callers->callers[i]);
      }
}

void
judged_callers_destroy (struct judged_callers *callers)
{
  if (!callers)
    return;
  for (int i = 0; i < callers->options->callers; i++)
    {
      close_connection (&callers->callers[i]);
      event_free (callers->callers[i].timer);
    }
  free (callers->callers);
  free (callers);
}
