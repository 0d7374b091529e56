/* Test fixture: a gateway whose operations are recorded, a fixed set of
   upstreams and hosts, and a clock set by the test.  */
#ifndef MARJORAM_TEST_LIB_GATEWAY_H
#define MARJORAM_TEST_LIB_GATEWAY_H

#include "gateway.h"

enum
{
  GATEWAY_PROBES_MAX = 64,
  GATEWAY_IDS_MAX = 256,
  GATEWAY_ID_MAX = 32
};

/* A connection that was opened to check an upstream.  */
struct gateway_probe
{
  uint64_t number;
  char address[MARJORAM_ID_MAX];
};

/* Recorded operations.  */
struct gateway_seen
{
  int sends;
  uint64_t attempt; /* of the last send or forward */
  char address[MARJORAM_ID_MAX];
  char message[4096];
  /* Of the requests of the latest attempts at upstreams, by attempt.  */
  char ids[GATEWAY_IDS_MAX][GATEWAY_ID_MAX];
  bool fresh_only;
  char id[MARJORAM_ID_MAX]; /* that the connection must not have carried */
  int cancels;
  int forwards;
  bool forwarded; /* the last attempt was forwarded */
  char host[64];
  int64_t budget_ms;
  char last_event[MARJORAM_ID_MAX]; /* of the last forward */
  char customer[MARJORAM_ID_MAX];   /* likewise */
  char service[MARJORAM_ID_MAX];    /* likewise; "" if it named none */
  bool has_build;                   /* likewise, named a build */
  char build[MARJORAM_ID_MAX];
  int asks; /* for quota, to the only keeper */
  int64_t asked_at;
  int64_t asked_units;
  int told;      /* origins of streams, to keepers */
  int only_asks; /* for the one build of a service */
  char told_id[MARJORAM_ID_MAX];
  char told_build[MARJORAM_ID_MAX];
  char told_service[MARJORAM_ID_MAX];
  int64_t keep_ms;
  uint64_t only_call; /* of the last of these questions */
  int64_t only_for_ms;
  char asked_id[MARJORAM_ID_MAX]; /* "" if no origin was asked for */
  char only_service[MARJORAM_ID_MAX];
  int heads;
  int status;
  int64_t length;
  char body[4096];
  int ends;
  int cuts;
  int refusals;
  struct marjoram_request_failure why;
  int probes;
  struct gateway_probe probe[GATEWAY_PROBES_MAX];
  int dark_reports;           /* to the region */
  char dark[MARJORAM_ID_MAX]; /* of the last report's first item */
  size_t dark_items;          /* of all reports */
};

struct gateway_fixture
{
  marjoram_gateway *gateway;
  marjoram_registry *registry;
  marjoram_host_list *hosts;
  marjoram_metrics *metrics;
  struct marjoram_route_table *table;
  struct marjoram_route_table *previous_table;
  struct gateway_seen seen;
  bool link_up;                 /* links to other regions work */
  int64_t lag_ms;               /* processing delay of this host */
  bool evacuated;               /* the upstreams' zone is being evacuated */
  bool leaving;                 /* the evacuation has just begun */
  const char *unreachable_host; /* host of r2 without a link */
  size_t keepers;               /* that answer for origins of streams */
  const char *far_build;        /* of r2's upstreams; null: not told */
  uint64_t calls;
};

/* Region r1 has upstreams u1 (lm, 10.0.0.1:80), u2 (lm, 10.0.0.2:80) and p1
   (app, 10.0.0.3:80).  Region r2 has hosts far1 and far2, of which only far1
   is reachable.  Routes: /flip/ and /get/ to app, /ask/ (resumable) and
   /digest/ to lm, /home/ to lm in r2 only.  */
void gateway_fixture_open (struct gateway_fixture *f);
/* Like gateway_fixture_open, for a gateway started at CREATED_AT.  */
void gateway_fixture_open_at (struct gateway_fixture *f, int64_t created_at);
/* Like gateway_fixture_open, for a gateway whose host is not in its own list
   of hosts, as in production.  */
void gateway_fixture_open_unlisted (struct gateway_fixture *f);
void gateway_fixture_close (struct gateway_fixture *f);
/* Activates the routes; before, there is no configuration.  */
void gateway_fixture_configure (struct gateway_fixture *f);
/* The same, but /get/ may not be repeated any more.  */
void gateway_fixture_configure_once (struct gateway_fixture *f);
/* Switches the check of upstreams that stop answering on or off.  */
void gateway_fixture_check_upstreams (struct gateway_fixture *f, bool check);
/* Like gateway_fixture_open, with a lease period for keys.  */
void gateway_fixture_open_leased (struct gateway_fixture *f, int64_t lease_ms);
/* Activates the routes, a public route /open/, and customers: c1 (key-1,
   priority 3), far (key-far, home r2), near (key-near, home r1) and limited
   (key-quota, 200 tokens for each of these requests).  */
void gateway_fixture_configure_customers (struct gateway_fixture *f);
/* The same with KEY in place of key-1.  */
void gateway_fixture_configure_keys (struct gateway_fixture *f,
                                     const char *key);
/* Like gateway_fixture_call, with an Authorization header unless CREDENTIAL is
   null, and a customer's name set by the caller.  */
uint64_t gateway_fixture_keyed (struct gateway_fixture *f, int64_t now,
                                const char *path, const char *credential);
/* Like gateway_fixture_forwarded, for CUSTOMER or none.  */
uint64_t gateway_fixture_forwarded_for (struct gateway_fixture *f, int64_t now,
                                        const char *path,
                                        const char *customer);
/* The keeper answers the last ask for quota of customer "limited".  */
void gateway_fixture_grant (struct gateway_fixture *f, int64_t now,
                            int64_t units, int64_t wait_ms);
/* Upstream ID reports at NOW that it was restarted at STARTED_AT.  */
void gateway_fixture_restart (struct gateway_fixture *f, int64_t now,
                              const char *id, int64_t started_at);
/* Upstream ID, started at STARTED_AT, reports at NOW that its software has
   version BUILD.  */
void gateway_fixture_build (struct gateway_fixture *f, int64_t now,
                            const char *id, int64_t started_at,
                            const char *build);
/* Host NAME of r2 offers upstreams of BUILD.  */
void gateway_fixture_offer (struct gateway_fixture *f, const char *name,
                            const char *build);
/* Like gateway_fixture_forwarded, for a stream that goes on at BUILD.  */
uint64_t gateway_fixture_forwarded_build (struct gateway_fixture *f,
                                          int64_t now, const char *path,
                                          const char *build);
/* Receives a request that takes the stream of attempt RESUMES up after its
   second event; RESUMES may be null.  */
uint64_t gateway_fixture_take_up (struct gateway_fixture *f, int64_t now,
                                  const char *path, const char *resumes);
/* The connection of the last attempt breaks.  */
void gateway_fixture_break (struct gateway_fixture *f, int64_t now);
/* Upstream ID reports at NOW that it is leaving.  */
void gateway_fixture_leave (struct gateway_fixture *f, int64_t now,
                            const char *id);
/* Like gateway_fixture_call, with a prompt of TOKENS tokens.  */
uint64_t gateway_fixture_prompt (struct gateway_fixture *f, int64_t now,
                                 const char *path, int tokens);
/* Like gateway_fixture_call, with a prompt of a part of SHARED tokens that the
   requests of SESSION share and an own part of 500 tokens.  */
uint64_t gateway_fixture_session (struct gateway_fixture *f, int64_t now,
                                  const char *path, uint64_t session,
                                  int shared);
/* Like gateway_fixture_call, forwarded by another region.  */
uint64_t gateway_fixture_forwarded (struct gateway_fixture *f, int64_t now,
                                    const char *path);
/* Receives a caller's request for PATH at NOW and returns its number.  Its id
   is "id-NUMBER".  */
uint64_t gateway_fixture_call (struct gateway_fixture *f, int64_t now,
                               const char *path);
/* Answer the last attempt: head, body and end.  If ID is null, the id of the
   last call is used.  */
bool gateway_fixture_head (struct gateway_fixture *f, int64_t now, int status,
                           const char *id, bool is_signed, bool not_run);
/* The head of an answer without an id, with a header NAME unless that is
   null.  */
bool gateway_fixture_nameless (struct gateway_fixture *f, int64_t now,
                               int status, const char *name,
                               const char *value);
/* Answers the last attempt with a signed success of status 200, with a header
   NAME unless that is null.  */
bool gateway_fixture_success (struct gateway_fixture *f, int64_t now,
                              const char *name, const char *value);
/* The last attempt's upstream refuses it without running it, with STATUS and
   the header Retry-After unless RETRY_AFTER is null.  */
void gateway_fixture_refuse (struct gateway_fixture *f, int64_t now,
                             int status, const char *retry_after);
void gateway_fixture_data (struct gateway_fixture *f, int64_t now,
                           const char *text);
void gateway_fixture_end (struct gateway_fixture *f, int64_t now,
                          enum marjoram_http_outcome how);

#endif
