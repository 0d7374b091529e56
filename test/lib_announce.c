#include "lib_announce.h"

#include "cleanup.h"
#include "clock.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/util.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES_MAX = 16,
  ADDRESS_SIZE = 64,
  ANSWER_TIMEOUT_MS = 1000,
  RETRY_MS = 50
};

struct announcer
{
  struct event_base *base;
  struct event *timer;
  char entries[ENTRIES_MAX][ADDRESS_SIZE];
  int entry_count;
  int current;
  int leave_tries;
  int64_t renew_ms;
  json_int_t sequence;
  bool leaving;
  bool left;
  bool waiting;
  json_t *(*describe) (void *context);
  void *context;
};

static void
schedule_renewal (announcer *self, int64_t ms)
{
  struct timeval delay = { ms / 1000, ms % 1000 * 1000L };

  event_add (self->timer, &delay);
}

static void
post (announcer *self, const char *path, json_t *body,
      void (*on_response) (struct evhttp_request *, void *))
{
  marjoram_auto_free char *text = json_dumps (body, JSON_COMPACT);
  char address[ADDRESS_SIZE];
  char *colon;
  struct evhttp_connection *connection;
  struct evhttp_request *request = evhttp_request_new (on_response, self);
  struct timeval timeout
      = { ANSWER_TIMEOUT_MS / 1000, ANSWER_TIMEOUT_MS % 1000 * 1000L };

  json_decref (body);
  memcpy (address, self->entries[self->current], sizeof address);
  colon = strchr (address, ':');
  *colon = 0;
  connection = evhttp_connection_base_new (self->base, NULL, address,
                                           (uint16_t)atoi (colon + 1));
  evhttp_connection_set_timeout_tv (connection, &timeout);
  evhttp_connection_free_on_completion (connection);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host",
                     self->entries[self->current]);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Connection",
                     "close");
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evbuffer_add (evhttp_request_get_output_buffer (request), text,
                strlen (text));
  evhttp_make_request (connection, request, EVHTTP_REQ_POST, path);
}

static void
on_announce_response (struct evhttp_request *request, void *context)
{
  announcer *self = context;
  int status = request ? evhttp_request_get_response_code (request) : 0;
  bool good = status == HTTP_OK;

  self->waiting = false;
  if (self->leaving && (good || ++self->leave_tries > 2 * self->entry_count))
    {
      self->left = true;
      return;
    }
  if (!good)
    self->current = (self->current + 1) % self->entry_count;
  schedule_renewal (self, good ? self->renew_ms : RETRY_MS);
}

static void
on_renew_timer (evutil_socket_t fd, short what, void *context)
{
  announcer *self = context;
  json_t *body;

  (void)fd;
  (void)what;
  if (self->waiting || self->left)
    return;
  body = self->describe (self->context);
  json_object_set_new (body, "sequence", json_integer (++self->sequence));
  self->waiting = true;
  post (self, self->leaving ? "/v1/upstreams/leave" : "/v1/upstreams/announce",
        body, on_announce_response);
}

announcer *
announcer_create (struct event_base *base, const char *entries,
                  int64_t lease_ms, json_t *(*describe) (void *context),
                  void *context)
{
  announcer *self = marjoram_alloc (sizeof *self);
  marjoram_auto_free char *list = marjoram_strdup (entries);
  char *rest = list;
  char *entry;

  *self = (announcer){ .base = base,
                       .renew_ms = lease_ms / 3,
                       .describe = describe,
                       .context = context };
  while ((entry = strsep (&rest, ",")) && self->entry_count < ENTRIES_MAX)
    if (strchr (entry, ':'))
      snprintf (self->entries[self->entry_count++], ADDRESS_SIZE, "%s", entry);
  self->timer = event_new (base, -1, 0, on_renew_timer, self);
  if (self->entry_count)
    schedule_renewal (self, 0);
  return self;
}

void
announcer_leave (announcer *self)
{
  self->leaving = true;
  self->left = !self->entry_count;
  if (!self->left)
    schedule_renewal (self, 0);
}

bool
announcer_left (const announcer *self)
{
  return self->left;
}

static void
ignore_response (struct evhttp_request *request, void *context)
{
  (void)request;
  (void)context;
}

void
announcer_post (announcer *self, const char *path, json_t *body)
{
  if (self->entry_count)
    post (self, path, body, ignore_response);
  else
    json_decref (body);
}
