/* The routes that operators configure: which requests go to which services, on
   which terms.  One immutable table for each version of the configuration.  */
#ifndef MARJORAM_ROUTE_TABLE_H
#define MARJORAM_ROUTE_TABLE_H

#include "error.h"
#include "ini_key.h"
#include "wire.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One of the services among which a route's requests are split.  */
struct marjoram_route_target
{
  char *service;
  int64_t weight; /* its share, against the sum of the route's weights */
};

struct marjoram_route_rule
{
  char *name;
  char *host;
  char *prefix; /* begins and ends with a slash */
  bool stream;  /* answers are series of events */
  bool idempotent;
  bool resumable; /* a stream may go on at another upstream */
  int64_t timeout_ms;
  int64_t
      objective_ms;  /* to the whole answer; of a stream, to its first event */
  int64_t gap_ms;    /* longest pause between events that is in time */
  int priority;      /* 0 is the most urgent */
  int max_upstreams; /* that one request may be sent to */
  struct marjoram_array targets; /* of struct marjoram_route_target */
  struct marjoram_names homes;   /* regions; empty: all */
};

/* What model engines of a service can do; zero for a plain service.  */
struct marjoram_engine_rule
{
  int64_t slots; /* requests in one batch */
  int64_t
      kv_capacity; /* tokens that running requests and cached parts share */
  /* Tokens of a prompt, read by another engine, that one copies from there in
     a ms instead of reading them; 0 if it can't.  */
  double copied_per_ms;
};

struct marjoram_service_rule
{
  char *name;
  char *health_path;
  int64_t max_connections; /* of one upstream, from all hosts */
  int64_t cold_ms;         /* how long an upstream is cold after its start */
  double cold_per_s; /* requests that a cold one bears; 0: is never cold */
  bool has_engine;
  struct marjoram_engine_rule engine;
};

struct marjoram_caller_rule
{
  int64_t head_bytes;
  int64_t body_bytes;
  int64_t head_timeout_ms;
  int64_t idle_timeout_ms;
};

struct marjoram_route_table
{
  uint64_t version;
  struct marjoram_array routes;   /* of struct marjoram_route_rule */
  struct marjoram_array services; /* of struct marjoram_service_rule */
  struct marjoram_caller_rule callers;
};

void marjoram_route_table_destroy (struct marjoram_route_table *table);
/* Whether operators may put TABLE in force: each route leads to services that
   are there, no two routes claim one place, weights don't add up to 0, times
   are above 0.  */
bool marjoram_route_table_check (const struct marjoram_route_table *table,
                                 struct marjoram_error *err);
/* The route of HOST, port or none, whose prefix is the longest that begins
   TARGET's path; null if there is none.  */
const struct marjoram_route_rule *
marjoram_route_table_find (const struct marjoram_route_table *table,
                           const char *host, const char *target);
const struct marjoram_service_rule *
marjoram_route_table_service (const struct marjoram_route_table *table,
                              const char *name);
/* The service that serves the request KEY: the same one for the same key, each
   with its share of all keys.  */
const char *
marjoram_route_pick_service (const struct marjoram_route_rule *route,
                             const char *key);
/* Whether REGION may run a request of ROUTE.  */
bool marjoram_route_allows (const struct marjoram_route_rule *route,
                            const char *region);
/* How many routes of HOST that are bound to homes have REGION among them.  */
size_t marjoram_route_table_homes (const struct marjoram_route_table *table,
                                   const char *host, const char *region);
/* Whether any route of HOST is bound to homes.  */
bool marjoram_route_table_has_homes (const struct marjoram_route_table *table,
                                     const char *host);
/* Whether a second upstream may run it after a first one may have.  */
bool marjoram_route_may_repeat (const struct marjoram_route_rule *route);

#endif
