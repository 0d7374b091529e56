/* A gateway with operations that write down what it does, for tests: one
   upstream for each service and region, a clock that the test sets.  */
#ifndef MARJORAM_TEST_LIB_GATEWAY_H
#define MARJORAM_TEST_LIB_GATEWAY_H

#include "gateway.h"

/* What the last operations were.  */
struct gateway_seen
{
  int sends;
  uint64_t attempt; /* of the last sending, or forward */
  char address[MARJORAM_ID_MAX];
  char message[4096];
  bool careful;
  int cancels;
  int forwards;
  char host[64];
  int64_t budget_ms;
  char last_event[MARJORAM_ID_MAX]; /* of the last forward; "" if none */
  int heads;
  int status;
  int64_t length;
  char body[4096];
  int ends;
  int cuts;
  int refusals;
  struct marjoram_no_answer why;
};

struct gateway_fixture
{
  marjoram_gateway *gateway;
  marjoram_registry *registry;
  marjoram_host_list *hosts;
  marjoram_metrics *metrics;
  struct marjoram_route_table *table;
  struct gateway_seen seen;
  bool link_up;          /* to hosts of other regions */
  int64_t lag_ms;        /* of this host's own hearing */
  bool evacuated;        /* the zone of the region's upstreams */
  bool leaving;          /* the same, just now */
  const char *unreached; /* the one of them to which there is no link */
  uint64_t calls;
};

/* Region r1, with upstreams u1 (lm, 10.0.0.1:80), u2 (lm, 10.0.0.2:80) and p1
   (app, 10.0.0.3:80), and hosts far1 and far2 in region r2, of
   which only far1 is reached.  Routes: /flip/ and /get/ to
   app, /ask/ (resumable) and /digest/ to lm, /home/ to lm in r2 only.  */
void gateway_fixture_open (struct gateway_fixture *f);
/* The same, with a gateway that starts at CREATED_AT, not long ago.  */
void gateway_fixture_open_at (struct gateway_fixture *f, int64_t created_at);
void gateway_fixture_close (struct gateway_fixture *f);
/* Puts the routes in force; until then there are none.  */
void gateway_fixture_configure (struct gateway_fixture *f);
/* Upstream ID is heard at NOW as one that has started anew at BORN.  */
void gateway_fixture_restart (struct gateway_fixture *f, int64_t now,
                              const char *id, int64_t born);
/* Upstream ID says at NOW that it leaves.  */
void gateway_fixture_leave (struct gateway_fixture *f, int64_t now,
                            const char *id);
/* The same as gateway_fixture_call, with a prompt of TOKENS of its own.  */
uint64_t gateway_fixture_prompt (struct gateway_fixture *f, int64_t now,
                                 const char *path, int tokens);
/* The same as gateway_fixture_call, from a host of another region.  */
uint64_t gateway_fixture_forwarded (struct gateway_fixture *f, int64_t now,
                                    const char *path);
/* A caller's request for PATH at NOW; returns its number.  Its id is
   "id-NUMBER".  */
uint64_t gateway_fixture_call (struct gateway_fixture *f, int64_t now,
                               const char *path);
/* Answers the last sending: the head, the body, the end.  ID null: the last
   call's.  */
bool gateway_fixture_head (struct gateway_fixture *f, int64_t now, int status,
                           const char *id, bool is_signed, bool not_run);
void gateway_fixture_data (struct gateway_fixture *f, int64_t now,
                           const char *text);
void gateway_fixture_end (struct gateway_fixture *f, int64_t now,
                          enum marjoram_http_end how);

#endif
