/* A system in virtual time for measuring policies: zones with entry hosts that
   run the real router, links with delays, stand-in engines that report their
   load late, and callers that wait, resend or give up.  Plain policies take
   the router's place for comparison.  It answers questions about load only;
   faults of hosts and messages belong to the scenarios.  */
#ifndef MARJORAM_TEST_LIB_WORLD_H
#define MARJORAM_TEST_LIB_WORLD_H

#include "config_spec.h"
#include "lib_batch.h"
#include "query.h"
#include "random.h"

enum
{
  WORLD_ZONES_MAX = 32
};

enum world_policy
{
  WORLD_ROUTER,
  WORLD_ROUND_ROBIN,   /* in the zone */
  WORLD_LEAST_IN_ZONE, /* least in flight, of this host and as reported */
  WORLD_LEAST_ANYWHERE /* the same over all allowed zones */
};

struct world_options
{
  struct config_spec spec;
  int engines[WORLD_ZONES_MAX]; /* in each zone */
  struct batch_options batch;
  int report_ms;     /* between two load reports */
  int report_lag_ms; /* age of a report when it arrives */
  int link_near_us;  /* one way, zones of one region */
  int link_far_us;   /* one way, between regions */
  bool no_spill;     /* offers are not delivered */
  bool no_limits;    /* callers' limits are not asked */
  bool free_retries; /* no retry budget; callers don't obey Retry-After */
  int attempt_ms;    /* a caller gives up and resends; 0 for never */
  int resends;       /* at most */
  enum world_policy policy;
  uint64_t seed;
};

/* One request: what is asked, and what became of it.  */
struct world_request
{
  int64_t at_us;
  int zone; /* whose hosts are asked */
  int caller;
  int work;
  enum marjoram_class class;
  int prompt;
  uint64_t prefix;
  int prefix_tokens;
  int answer;
  int deadline_ms;

  int64_t first_us; /* first token at the caller */
  int64_t done_us;  /* 0 if it was not answered in time */
  int ran_zone;
  int attempts; /* of the caller */
  int refusals;
  int retries; /* of hosts */
  int crossed;
};

struct world;

struct world *world_create (const struct world_options *options);
void world_destroy (struct world *world);
/* Runs REQUESTS, in the order of their times, and all that follows of them
   until END_US.  */
void world_run (struct world *world, struct world_request *requests,
                size_t count, int64_t end_us);
/* Changes at a time, before the run.  */
void world_kill_engine (struct world *world, int64_t at_us, int zone,
                        int engine);
void world_start_engine (struct world *world, int64_t at_us, int zone,
                         int engine);
void world_slow_engine (struct world *world, int64_t at_us, int zone,
                        int engine, double slowness);
void world_cut (struct world *world, int64_t at_us, int zone, bool cut);
/* All prefill tokens computed, and lookups of limits refused.  */
int64_t world_prefilled (const struct world *world);
int64_t world_limited (const struct world *world, int caller);
/* The most requests that one engine held.  */
int world_peak (const struct world *world, int zone, int engine);

#endif
