/* HTTP/1.1 client for upstreams.  Pools persistent connections, sends one
   request at a time on each, and reports whether a failed attempt may have
   been processed by the upstream.  No connection carries two requests with the
   same id, so that an answer's connection and id name one attempt, also if the
   answer is late or a copy.  */
#ifndef MARJORAM_HTTP_CLIENT_H
#define MARJORAM_HTTP_CLIENT_H

#include "bytes.h"
#include "clock.h"
#include "header_list.h"

#include <event2/event.h>

typedef struct marjoram_http_client marjoram_http_client;

enum marjoram_http_outcome
{
  MARJORAM_HTTP_COMPLETE, /* complete response received */
  MARJORAM_HTTP_UNSENT,   /* not processed: no byte was sent */
  MARJORAM_HTTP_BROKEN, /* reset, closed or malformed: may have been processed
                         */
  /* Given up, as the header section or what belongs to no body is too large:
     may have been processed.  */
  MARJORAM_HTTP_OVERSIZED
};

struct marjoram_http_send
{
  uint64_t attempt;
  const char *address; /* IP:port */
  marjoram_bytes *message;
  bool head_only; /* the method is HEAD */
  /* Use only a new or recently used connection.  For requests that must not
     be retried.  */
  bool fresh_only;
  const char *id; /* that answers repeat; null if they repeat none */
};

/* The connection of an attempt.  */
struct marjoram_http_connection_info
{
  uint64_t connection; /* counts from 1 */
  size_t requests;     /* that it carried before */
};

struct marjoram_http_client_ops
{
  /* Called with the status and headers of a response.  Returns false if the
     response belongs to another request and has to be skipped.  */
  bool (*head) (void *context, uint64_t attempt, int status,
                struct marjoram_header_list *headers);
  void (*data) (void *context, uint64_t attempt, const char *data,
                size_t size);
  void (*end) (void *context, uint64_t attempt,
               enum marjoram_http_outcome outcome);
  /* Called when a connection to ADDRESS is reset or closed unexpectedly or,
     unless WAS_OPEN, could not be opened.  The upstream may have restarted. */
  void (*lost) (void *context, const char *address, bool was_open);
  void (*connected) (void *context, const char *address);
};

marjoram_http_client *marjoram_http_client_create (
    struct event_base *base, struct marjoram_clock *clock,
    const struct marjoram_http_client_ops *ops, void *context);
void marjoram_http_client_destroy (marjoram_http_client *client);
/* INFO may be null.  */
void marjoram_http_client_send (marjoram_http_client *client,
                                const struct marjoram_http_send *send,
                                struct marjoram_http_connection_info *info);
/* Closes the attempt's connection, so that the upstream can stop processing.
   No further callback is made for ATTEMPT.  */
void marjoram_http_client_cancel (marjoram_http_client *client,
                                  uint64_t attempt);
/* Closes the idle connections to ADDRESS.  */
void marjoram_http_client_close_idle (marjoram_http_client *client,
                                      const char *address);
/* Closes expired idle connections and times out pending connects.  Has to be
   called at least every 250 ms.  LAG_MS is the delay with which this host
   processes its own network events (own_receive_lag.h).  */
void marjoram_http_client_tick (marjoram_http_client *client, int64_t lag_ms);

#endif
