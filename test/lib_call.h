/* Asynchronous HTTP client for tests.  Can also send raw bytes over TCP, to
   test malformed requests.  */
#ifndef MARJORAM_TEST_CALL_H
#define MARJORAM_TEST_CALL_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct call;

struct call_header
{
  const char *name;
  const char *value;
};

struct call_request
{
  const char *address; /* IP:port */
  const char *method;  /* NULL sends BODY as raw bytes */
  const char *path;
  const struct call_header *headers;
  size_t header_count;
  const char *body;
  size_t size;
  int64_t timeout_ms; /* inactivity timeout */
};

struct call *call_start (struct event_base *base,
                         const struct call_request *request);
/* Closes the connection if the call is still in progress.  */
void call_destroy (struct call *call);

/* True once the call completed, failed, timed out or was closed by the
   peer.  */
bool call_done (const struct call *call);
/* True if the response was explicitly framed and received completely.  */
bool call_whole (const struct call *call);
/* Returns 0 if no response header was received.  */
int call_status (const struct call *call);
/* Returns the value of a response header, or NULL.  */
const char *call_header_value (const struct call *call, const char *name);
/* Returns the part of the response body received so far.  */
const char *call_body (struct call *call, size_t *size);
/* Milliseconds from the start of the call to the first body byte, or -1 if
   there is none, and to completion.  */
double call_first_ms (const struct call *call);
double call_whole_ms (const struct call *call);

#endif
