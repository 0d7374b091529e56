/* The task of callers' connections: reads whole requests, one at a time on a
   connection, and writes their answers.  Knows nothing of what is asked.  */
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
  char *target; /* path and query, as they came */
  struct marjoram_header_list headers;
  marjoram_bytes *body;
  bool has_body; /* a length or chunks were announced */
};

void marjoram_http_request_destroy (struct marjoram_http_request *request);

/* What one caller may send, and how long it may take.  */
struct marjoram_http_limits
{
  size_t head_bytes;
  size_t body_bytes;
  int64_t head_timeout_ms; /* from a request's first byte to its last */
  int64_t idle_timeout_ms; /* of a connection without a request */
};

struct marjoram_http_server_ops
{
  /* Takes REQUEST, to be answered under the number CALL.  */
  void (*request) (void *context, uint64_t call,
                   struct marjoram_http_request *request);
  /* The caller has left; CALL is not to be answered any more.  */
  void (*gone) (void *context, uint64_t call);
  /* A request was refused before it was whole.  */
  void (*rejected) (void *context, int status, const char *why);
};

/* Listens on ADDRESS; null with ERR set if it can't.  */
marjoram_http_server *
marjoram_http_server_create (struct event_base *base,
                             struct marjoram_clock *clock, const char *address,
                             const struct marjoram_http_server_ops *ops,
                             void *context, struct marjoram_error *err);
void marjoram_http_server_destroy (marjoram_http_server *server);
void
marjoram_http_server_set_limits (marjoram_http_server *server,
                                 const struct marjoram_http_limits *limits);

/* An answer: head, any number of data, end.  LENGTH of the body is -1 if it is
   not known.  Calls that are gone are ignored.  */
void marjoram_http_server_head (marjoram_http_server *server, uint64_t call,
                                int status,
                                const struct marjoram_header_list *headers,
                                int64_t length);
void marjoram_http_server_data (marjoram_http_server *server, uint64_t call,
                                const void *data, size_t size);
void marjoram_http_server_end (marjoram_http_server *server, uint64_t call);
/* Ends the connection so that the answer can't be taken for whole.  */
void marjoram_http_server_cut (marjoram_http_server *server, uint64_t call);

/* Each further answer closes its connection, unless the next request has come
   already.  */
void marjoram_http_server_drain (marjoram_http_server *server);
/* Closes the listener and, one by one, connections without a request, after a
   short grace for requests that are under way; all that arrive before their
   connection is closed are still handed out.  */
void marjoram_http_server_close_idle (marjoram_http_server *server);
/* Whether nobody can come any more and nobody is left.  */
bool marjoram_http_server_is_closed (const marjoram_http_server *server);
/* Enforces the limits on time; at least every 250 ms.  */
void marjoram_http_server_tick (marjoram_http_server *server);
size_t marjoram_http_server_connections (const marjoram_http_server *server);

#endif
