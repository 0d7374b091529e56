/* Discrete-event simulation for comparing routing policies under load: zones
   with entry hosts that run the real router, links with latency, simulated
   engines with delayed load reports, and callers that time out and retry.
   Baseline policies can replace the router.  Host failures and message loss
   are not modelled; the scenarios test those.  */
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
  WORLD_ROUND_ROBIN,   /* within the zone */
  WORLD_LEAST_IN_ZONE, /* lowest load known to this host */
  WORLD_LEAST_ANYWHERE /* lowest load over all reachable zones */
};

struct world_options
{
  struct config_spec spec;
  int engines[WORLD_ZONES_MAX]; /* per zone */
  struct batch_options batch;
  int report_ms;           /* load report interval */
  int report_lag_ms;       /* load report latency */
  int link_near_us;        /* one-way latency within a region */
  int link_far_us;         /* one-way latency between regions */
  bool no_spill;           /* drop offers between zones */
  bool no_limits;          /* do not enforce caller limits */
  bool ignore_retry_after; /* callers ignore Retry-After */
  int attempt_ms;          /* caller timeout before resending, 0 for none */
  int resends;             /* maximum number of resends */
  enum world_policy policy;
  uint64_t seed;
};

/* A request and its outcome.  */
struct world_request
{
  int64_t at_us;
  int zone; /* zone of the entry host */
  int caller;
  int work;
  enum marjoram_class class;
  int prompt;
  uint64_t prefix;
  int prefix_tokens;
  int answer;
  int deadline_ms;

  int64_t first_us; /* arrival of the first token at the caller */
  int64_t done_us;  /* completion time, 0 if it missed the deadline */
  int ran_zone;
  int attempts; /* attempts by the caller */
  int refusals;
  int retries; /* retries by hosts */
  int crossed;
};

struct world;

struct world *world_create (const struct world_options *options);
void world_destroy (struct world *world);
/* Runs the simulation until END_US.  REQUESTS must be ordered by time.  */
void world_run (struct world *world, struct world_request *requests,
                size_t count, int64_t end_us);
/* Schedules changes at AT_US.  Must be called before world_run.  */
void world_kill_engine (struct world *world, int64_t at_us, int zone,
                        int engine);
void world_start_engine (struct world *world, int64_t at_us, int zone,
                         int engine);
void world_slow_engine (struct world *world, int64_t at_us, int zone,
                        int engine, double slowness);
void world_cut (struct world *world, int64_t at_us, int zone, bool cut);
/* Total prefill tokens computed, and requests of CALLER rejected by its
   limits.  */
int64_t world_prefilled (const struct world *world);
int64_t world_limited (const struct world *world, int caller);
/* Peak number of queued and running requests on an engine.  */
int world_peak (const struct world *world, int zone, int engine);

#endif
