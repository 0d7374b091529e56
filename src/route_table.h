/* Configured routes and customers: which requests go to which services, with
   which limits, and who may send them.  Each configuration version has one
   immutable table.  */
#ifndef MARJORAM_ROUTE_TABLE_H
#define MARJORAM_ROUTE_TABLE_H

#include "error.h"
#include "ini_key.h"
#include "wire.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One of the services among which the requests of a route are split.  */
struct marjoram_route_target
{
  char *service;
  int64_t weight; /* relative to the sum of the route's weights */
};

struct marjoram_route_rule
{
  char *name;
  char *host;
  char *prefix; /* begins and ends with a slash */
  bool stream;  /* responses are event streams */
  bool idempotent;
  bool resumable; /* a broken stream may continue on another upstream */
  bool public;    /* needs no customer's key */
  int64_t timeout_ms;
  int64_t objective_ms; /* for the whole response, or the first event of a
                           stream */
  int64_t gap_ms;       /* maximum interval between events */
  int priority;         /* 0 is the highest */
  int max_upstreams;    /* upstreams that one request may be sent to */
  struct marjoram_array targets; /* of struct marjoram_route_target */
  struct marjoram_names homes;   /* regions; empty means all */
};

/* Capabilities of a service's model engines; zero for a plain service.  */
struct marjoram_engine_rule
{
  int64_t slots; /* maximum batch size */
  int64_t
      kv_capacity; /* tokens shared by running requests and cached prefixes */
  /* Prompt tokens per ms that an engine can copy from another engine's cache
     instead of prefilling them; 0 if it cannot.  */
  double copied_per_ms;
};

struct marjoram_service_rule
{
  char *name;
  char *health_path;
  int64_t max_connections; /* of one upstream, over all hosts */
  int64_t cold_ms;         /* warm-up period after the start of an upstream */
  double cold_per_s;       /* request rate of an upstream that is warming up; 0
                              disables */
  bool has_engine;
  struct marjoram_engine_rule engine;
};

enum marjoram_quota_unit
{
  MARJORAM_QUOTA_REQUESTS,
  MARJORAM_QUOTA_TOKENS
};

/* Who may send requests, identified by a key.  If a table has customers, only
   public routes accept requests without a key.  */
struct marjoram_customer_rule
{
  char *name;
  struct marjoram_names keys; /* secret: must not be logged or forwarded */
  bool has_priority;
  int priority;                /* replaces the routes' priority */
  int unit;                    /* enum marjoram_quota_unit */
  double rate_per_s;           /* units over all hosts; 0: unlimited */
  double burst;                /* units in addition to the rate */
  int64_t plain_tokens;        /* cost of a request without token counts */
  struct marjoram_names homes; /* regions; empty means all */
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
  struct marjoram_array routes;    /* of struct marjoram_route_rule */
  struct marjoram_array services;  /* of struct marjoram_service_rule */
  struct marjoram_array customers; /* of struct marjoram_customer_rule */
  struct marjoram_caller_rule callers;
};

void marjoram_route_table_destroy (struct marjoram_route_table *table);
/* Validates TABLE: all referenced services exist, no two routes have the same
   host and prefix, weights do not add up to 0, timeouts are positive, names
   and the limits of callers fit into frames between hosts, and no two
   customers share a name or a key.  Errors do not contain keys.  */
bool marjoram_route_table_check (const struct marjoram_route_table *table,
                                 struct marjoram_error *err);
/* The route of HOST, with or without a port, with the longest prefix of
   TARGET's path; NULL if there is none.  */
const struct marjoram_route_rule *
marjoram_route_table_find (const struct marjoram_route_table *table,
                           const char *host, const char *target);
const struct marjoram_service_rule *
marjoram_route_table_service (const struct marjoram_route_table *table,
                              const char *name);
/* Whether requests of ROUTE may go to SERVICE.  */
bool marjoram_route_has_service (const struct marjoram_route_rule *route,
                                 const char *service);
/* The service of all requests of ROUTE; null if it has several.  */
const char *
marjoram_route_only_service (const struct marjoram_route_rule *route);
/* Selects a service by weight.  The same KEY always yields the same
   service.  */
const char *
marjoram_route_pick_service (const struct marjoram_route_rule *route,
                             const char *key);
bool marjoram_route_allows (const struct marjoram_route_rule *route,
                            const char *region);
/* NULL if there is none.  */
const struct marjoram_customer_rule *
marjoram_route_table_customer (const struct marjoram_route_table *table,
                               const char *name);
bool marjoram_customer_allows (const struct marjoram_customer_rule *customer,
                               const char *region);
bool
marjoram_customer_has_quota (const struct marjoram_customer_rule *customer);
/* Units of the customer's quota that a request uses.  Token counts are 0 if
   the request does not state them.  */
int64_t marjoram_customer_cost (const struct marjoram_customer_rule *customer,
                                int64_t prompt_tokens, int64_t answer_tokens);
/* Number of routes of HOST restricted to home regions that include REGION.  */
size_t
marjoram_route_table_count_homes (const struct marjoram_route_table *table,
                                  const char *host, const char *region);
/* Whether any route of HOST is restricted to home regions.  */
bool marjoram_route_table_has_homes (const struct marjoram_route_table *table,
                                     const char *host);
/* Whether a request may be repeated at another upstream after the first may
   have executed it.  */
bool marjoram_route_may_repeat (const struct marjoram_route_rule *route);

#endif
