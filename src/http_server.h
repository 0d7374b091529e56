/* HTTP/1.1 server for callers.  Reads complete requests, one at a time on each
   connection, and writes the responses.  */
#ifndef MARJORAM_HTTP_SERVER_H
#define MARJORAM_HTTP_SERVER_H

#include "bytes.h"
#include "clock.h"
#include "error.h"
#include "header_list.h"

#include <event2/event.h>

typedef struct marjoram_http_server marjoram_http_server;

struct marjoram_http_request
{
  char *method;
  char *target; /* path and query, as received */
  struct marjoram_header_list headers;
  marjoram_bytes *body;
  bool has_body; /* has Content-Length or Transfer-Encoding */
};

void marjoram_http_request_destroy (struct marjoram_http_request *request);

struct marjoram_http_limits
{
  size_t head_bytes;
  size_t body_bytes;
  int64_t head_timeout_ms; /* for reading a request, body included */
  int64_t idle_timeout_ms; /* between requests */
};

/* Sizes in bytes over all connections; 0: no limit.  */
struct marjoram_http_memory
{
  size_t bodies; /* of requests that are read or processed */
  size_t output; /* of responses that callers have not read */
};

struct marjoram_http_server_ops
{
  /* Takes ownership of REQUEST.  CALL identifies it in the response.  */
  void (*request) (void *context, uint64_t call,
                   struct marjoram_http_request *request);
  /* The caller disconnected; CALL is no longer valid.  */
  void (*gone) (void *context, uint64_t call);
  /* A request was rejected while it was read.  */
  void (*rejected) (void *context, int status, const char *reason);
};

/* Listens on ADDRESS.  Returns null with ERR set on failure.  */
marjoram_http_server *
marjoram_http_server_create (struct event_base *base,
                             struct marjoram_clock *clock, const char *address,
                             const struct marjoram_http_server_ops *ops,
                             void *context, struct marjoram_error *err);
void marjoram_http_server_destroy (marjoram_http_server *server);
/* A request whose body would exceed MEMORY is rejected; the connection with
   most unread output is closed while that exceeds it.  */
void
marjoram_http_server_set_memory (marjoram_http_server *server,
                                 const struct marjoram_http_memory *memory);
void
marjoram_http_server_set_limits (marjoram_http_server *server,
                                 const struct marjoram_http_limits *limits);

/* A response consists of one head, any number of data and one end.  LENGTH is
   the size of the body, or -1 if unknown.  Invalid calls are ignored.  */
void marjoram_http_server_head (marjoram_http_server *server, uint64_t call,
                                int status,
                                const struct marjoram_header_list *headers,
                                int64_t length);
void marjoram_http_server_data (marjoram_http_server *server, uint64_t call,
                                const void *data, size_t size);
void marjoram_http_server_end (marjoram_http_server *server, uint64_t call);
/* Closes the connection without completing the response, so that the caller
   detects the truncation.  */
void marjoram_http_server_abort (marjoram_http_server *server, uint64_t call);

/* Makes each further response close its connection, unless the next request
   has already been received.  */
void marjoram_http_server_drain (marjoram_http_server *server);
/* Closes the listener and the idle connections after a short grace period for
   requests in flight.  Requests that arrive before their connection is closed
   are still processed.  */
void marjoram_http_server_close_idle (marjoram_http_server *server);
/* Whether the listener and all connections are closed.  */
bool marjoram_http_server_is_closed (const marjoram_http_server *server);
/* Enforces the time limits.  Has to be called at least every 250 ms.  */
void marjoram_http_server_tick (marjoram_http_server *server);
size_t marjoram_http_server_connections (const marjoram_http_server *server);

#endif
