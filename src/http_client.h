/* The task of connections to upstreams: keeps them open between requests, one
   request at a time on each, and tells precisely how an attempt ended, so that
   its owner knows whether it may have run.  */
#ifndef MARJORAM_HTTP_CLIENT_H
#define MARJORAM_HTTP_CLIENT_H

#include "bytes.h"
#include "clock.h"
#include "header_list.h"

#include <event2/event.h>

typedef struct marjoram_http_client marjoram_http_client;

enum marjoram_http_end
{
  MARJORAM_HTTP_COMPLETE, /* the whole answer came */
  MARJORAM_HTTP_UNSENT,   /* no byte was sent: it has not run */
  MARJORAM_HTTP_BROKEN    /* reset, closed or malformed: may have run */
};

struct marjoram_http_send
{
  uint64_t attempt;
  const char *address; /* IP:port */
  marjoram_bytes *message;
  bool head_only; /* the method is HEAD */
  /* Only over a connection that has shown to be alive just now, or a new one:
     for what can't be sent twice.  */
  bool careful;
};

struct marjoram_http_client_ops
{
  /* The head of an answer; returns false if it belongs to another request, and
     is then skipped.  */
  bool (*head) (void *context, uint64_t attempt, int status,
                struct marjoram_header_list *headers);
  void (*data) (void *context, uint64_t attempt, const char *data,
                size_t size);
  void (*end) (void *context, uint64_t attempt, enum marjoram_http_end how);
  /* A connection to ADDRESS was refused or reset while it was unused, or was
     lost under a request: the upstream may have restarted.  */
  void (*lost) (void *context, const char *address);
  void (*connected) (void *context, const char *address);
};

marjoram_http_client *marjoram_http_client_create (
    struct event_base *base, struct marjoram_clock *clock,
    const struct marjoram_http_client_ops *ops, void *context);
void marjoram_http_client_destroy (marjoram_http_client *client);
void marjoram_http_client_send (marjoram_http_client *client,
                                const struct marjoram_http_send *send);
/* Closes the attempt's connection, so that the upstream stops work; nothing
   more is told of it.  */
void marjoram_http_client_cancel (marjoram_http_client *client,
                                  uint64_t attempt);
/* Closes the unused connections to ADDRESS.  */
void marjoram_http_client_forget (marjoram_http_client *client,
                                  const char *address);
/* Closes connections that were unused for long, and gives up those that are
   not made in time; at least every 250 ms.  LAG_MS: how far behind this host's
   own hearing is (own_lag.h).  */
void marjoram_http_client_tick (marjoram_http_client *client, int64_t lag_ms);

#endif
