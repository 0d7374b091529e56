/* One HTTP request of a test, answered later; also raw bytes over TCP, for
   what no proper client would send.  */
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
  const char *method;  /* null for raw bytes in BODY */
  const char *path;
  const struct call_header *headers;
  size_t header_count;
  const char *body;
  size_t size;
  int64_t timeout_ms; /* without progress */
};

struct call *call_start (struct event_base *base,
                         const struct call_request *request);
/* Closes its connection if it is not yet done.  */
void call_destroy (struct call *call);

/* Answered in full, broken off, timed out, or closed by the other side.  */
bool call_done (const struct call *call);
/* The answer came with its end marked, and up to that end.  */
bool call_whole (const struct call *call);
/* 0 if no head came.  */
int call_status (const struct call *call);
/* The answer's header, null if there is none.  */
const char *call_header_value (const struct call *call, const char *name);
/* What has come of the body.  */
const char *call_body (struct call *call, size_t *size);
/* Milliseconds from the start to the first byte of the body, -1 if none, and
   to the end.  */
double call_first_ms (const struct call *call);
double call_whole_ms (const struct call *call);

#endif
