/* Compares the router with baseline policies in simulated time.  All get the
   same requests; each line names the best baseline of the run.
   Usage: bench_policy [--seed N] [--verbose] [WORKLOAD...]  */
#include "cleanup.h"
#include "lib_world.h"

#include <getopt.h>
#include <math.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

enum
{
  SECOND = 1000000,
  WARM_UP_S = 180,
  REQUESTS_MAX = 1000000,
  SEEDS = 3,
  POLICIES_MAX = 8,
  CHAT_PREFIXES = 120,
  CALLERS = 40,
  CALLERS_PER_ZONE = 12,    /* other callers per zone */
  RETRY_AFTER_RESENDS = 50, /* of callers that obey Retry-After */
  GREEDY_CALLER = 1,        /* index of the caller over its limit */
  RATE_MAX = 1000,
  FAULT_S = 240,
  RECOVERY_S = 420,
  SLOWDOWN_FACTOR = 5,
  DRAIN_S = 120, /* until the last requests end */
  UNLIMITED_DEADLINE_MS = 100000000
};

/* Distribution of one kind of request.  */
struct kind
{
  double share; /* of the requests */
  enum marjoram_class class;
  int prompt;
  int prefix_tokens;
  int prefixes; /* distinct prefixes per region */
  int answer;
  int deadline_ms;
};

struct policy
{
  const char *name;
  enum world_policy policy;
  bool ignore_retry_after;
};

/* The router, followed by the baselines.  */
static const struct policy policies[] = {
  { "router", WORLD_ROUTER, false },
  { "round-robin", WORLD_ROUND_ROBIN, true },
  { "least-in-flight", WORLD_LEAST_IN_ZONE, true },
  { "least-anywhere", WORLD_LEAST_ANYWHERE, true },
};
enum
{
  POLICIES = sizeof policies / sizeof *policies
};

struct workload
{
  const char *name;
  const struct kind *kinds;
  void (*change) (struct world *world);
  double load[WORLD_ZONES_MAX]; /* fraction of the zone's capacity */
  /* Caller limit as a fraction of the total capacity; 0: no limit.  */
  double caller_rate_share;
  /* Rate of the greedy caller as a multiple of its limit.  */
  double greedy_rate;
  int engines[WORLD_ZONES_MAX];
  int kind_count;
  int regions;
  int duration_s;
  int attempt_ms; /* timeout of a caller's attempt; 0: the deadline */
  int resends;
  bool no_limits; /* limits are not enforced */
};

/* Results of one run.  */
struct result
{
  double p50_ms;
  double p99_ms;      /* interactive; unanswered requests count as deadline */
  double ttft_p99_ms; /* the same for the first token */
  double answered;    /* fraction of the interactive requests */
  double goodput;     /* answers in time per second */
  double tokens;      /* answer tokens in time per second */
  double outside;     /* fraction of answers that ran outside the home zone */
  double prefill;     /* computed prefill tokens per answer */
  double retries;     /* by hosts, per request */
  double attempts;    /* by callers, per request */
  double crossed;
  double overnight; /* overnight answers per second */
  int64_t limited;
};

static const struct kind chat_kinds[] = {
  { 0.75, MARJORAM_CLASS_INTERACTIVE, 900, 600, CHAT_PREFIXES, 60, 30000 },
  { 0.25, MARJORAM_CLASS_INTERACTIVE, 5000, 4000, CHAT_PREFIXES, 250, 60000 },
};
static const struct kind overnight_kinds[] = {
  { 0.6, MARJORAM_CLASS_OVERNIGHT, 8000, 6000, 60, 400, 600000 },
  { 0.4, MARJORAM_CLASS_INTERACTIVE, 1200, 800, 60, 40, 10000 },
};

static const struct batch_options engine = {
  .slots = 16,
  .step_ms = 25,
  .stream_ms = 0.8,
  .prefill_rate = 8000,
  .chunk = 512,
  .cache_tokens = 150000,
  .slowness = 1,
};

static uint64_t
zipf (marjoram_random *random, int count)
{
  /* Continuous approximation of a Zipf distribution with weights 1/n.  */
  return (uint64_t)(pow (count + 1, marjoram_random_unit (random)) - 1);
}

static struct world_request
draw_request (const struct workload *workload, marjoram_random *random,
              int64_t at_us, int zone, int caller)
{
  double remaining = marjoram_random_unit (random);
  const struct kind *kind = workload->kinds;
  int index = 0;

  while (index + 1 < workload->kind_count && remaining >= kind->share)
    {
      remaining -= kind->share;
      kind++;
      index++;
    }
  return (struct world_request){
    .at_us = at_us,
    .zone = zone,
    .caller = caller,
    .class = kind->class,
    .prompt = kind->prefix_tokens
              + (int)marjoram_random_below (
                  random, 2 * (uint32_t)(kind->prompt - kind->prefix_tokens)),
    .prefix = 1 + zipf (random, kind->prefixes) + (uint64_t)index * 1000
              + (uint64_t)zone * 100000,
    .prefix_tokens = kind->prefix_tokens,
    .answer = kind->answer / 2
              + (int)marjoram_random_below (random, (uint32_t)kind->answer),
    .deadline_ms = kind->deadline_ms,
  };
}

static int
compare_requests (const void *a, const void *b)
{
  const struct world_request *x = a;
  const struct world_request *y = b;

  return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

static double
caller_limit (const struct workload *workload, double capacity)
{
  int engines = 0;

  for (int i = 0; i < workload->regions; i++)
    engines += workload->engines[i];
  return workload->caller_rate_share * capacity * engines;
}

/* Adds Poisson arrivals of CALLER, or of random other callers of ZONE if
   CALLER is negative.  */
static size_t
add_stream (const struct workload *workload, marjoram_random *random, int zone,
            double rate, int caller, struct world_request *requests,
            size_t count)
{
  double at = 0;

  while (rate > 0 && count < REQUESTS_MAX)
    {
      int sender
          = caller >= 0
                ? caller
                : 3 + (int)marjoram_random_below (random, CALLERS_PER_ZONE) * 3
                      + zone;

      at -= log (1 - marjoram_random_unit (random)) / rate;
      if (at > workload->duration_s)
        break;
      requests[count++] = draw_request (workload, random,
                                        (int64_t)(at * SECOND), zone, sender);
    }
  return count;
}

/* CAPACITY is in requests per second and engine.  */
static size_t
make_requests (const struct workload *workload, double capacity, uint64_t seed,
               struct world_request *requests)
{
  marjoram_random *random = marjoram_random_create (seed * 77 + 5);
  size_t count = 0;

  for (int zone = 0; zone < workload->regions; zone++)
    {
      double rate = capacity * workload->load[zone] * workload->engines[zone];

      count = add_stream (workload, random, zone, rate, -1, requests, count);
    }
  for (int zone = 0; workload->greedy_rate > 0 && zone < workload->regions;
       zone++)
    count = add_stream (workload, random, zone,
                        caller_limit (workload, capacity)
                            * workload->greedy_rate / workload->regions,
                        GREEDY_CALLER, requests, count);
  marjoram_random_destroy (random);
  qsort (requests, count, sizeof *requests, compare_requests);
  return count;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

static void
summarize (const struct workload *workload,
           const struct world_request *requests, size_t count,
           struct result *result)
{
  double *times = marjoram_alloc ((count + 1) * sizeof *times);
  double *ttfts = marjoram_alloc ((count + 1) * sizeof *ttfts);
  size_t interactive = 0;
  size_t all = 0;
  size_t done = 0;
  size_t answered = 0;

  *result = (struct result){ 0 };
  for (size_t i = 0; i < count; i++)
    {
      const struct world_request *r = &requests[i];

      if (r->at_us < (int64_t)WARM_UP_S * SECOND || r->caller == GREEDY_CALLER)
        continue;
      all++;
      result->retries += r->retries;
      result->attempts += r->attempts;
      result->crossed += r->crossed;
      if (r->done_us)
        {
          done++;
          result->tokens += r->answer;
          result->outside += r->ran_zone != r->zone;
          result->overnight += r->class == MARJORAM_CLASS_OVERNIGHT;
        }
      if (r->class != MARJORAM_CLASS_INTERACTIVE)
        continue;
      answered += r->done_us != 0;
      ttfts[interactive] = r->done_us ? (double)(r->first_us - r->at_us) / 1000
                                      : r->deadline_ms;
      times[interactive++] = r->done_us
                                 ? (double)(r->done_us - r->at_us) / 1000
                                 : r->deadline_ms;
    }
  qsort (ttfts, interactive, sizeof *ttfts, compare_doubles);
  qsort (times, interactive, sizeof *times, compare_doubles);
  if (interactive > 0)
    {
      result->p50_ms = times[interactive / 2];
      result->p99_ms = times[interactive * 99 / 100];
      result->ttft_p99_ms = ttfts[interactive * 99 / 100];
      result->answered = (double)answered / (double)interactive;
    }
  result->goodput = (double)done / (workload->duration_s - WARM_UP_S);
  result->tokens /= workload->duration_s - WARM_UP_S;
  result->overnight /= workload->duration_s - WARM_UP_S;
  result->outside /= fmax (1, (double)done);
  result->retries /= fmax (1, (double)all);
  result->attempts /= fmax (1, (double)all);
  result->crossed /= fmax (1, (double)all);
  free (ttfts);
  free (times);
}

static struct world *
make_world (const struct workload *workload, const struct policy *policy,
            double capacity, uint64_t seed)
{
  double rate = workload->caller_rate_share > 0
                    ? caller_limit (workload, capacity)
                    : RATE_MAX;
  struct world_options options = {
    .spec = { .regions = workload->regions,
              .zones = 1,
              .slots = 3,
              .works = 1,
              .callers = CALLERS,
              .home = -1,
              .rate = rate,
              .burst = fmax (10, rate),
              .prefill_rate = engine.prefill_rate,
              .decode_rate = 1000 / (engine.step_ms + engine.stream_ms) },
    .batch = engine,
    .report_ms = 1000,
    .report_lag_ms = 500,
    .link_near_us = 1500,
    .link_far_us = 52000,
    .policy = policy->policy,
    .no_limits = workload->caller_rate_share <= 0 || workload->no_limits,
    .ignore_retry_after = policy->ignore_retry_after,
    .attempt_ms = workload->attempt_ms,
    .resends = workload->attempt_ms ? workload->resends : RETRY_AFTER_RESENDS,
    .seed = seed,
  };

  memcpy (options.engines, workload->engines, sizeof options.engines);
  return world_create (&options);
}

static void
run (const struct workload *workload, const struct policy *policy,
     double capacity, uint64_t seed, const struct world_request *requests,
     size_t count, struct result *result)
{
  struct world_request *copies = marjoram_alloc ((count + 1) * sizeof *copies);
  struct world *world = make_world (workload, policy, capacity, seed);

  memcpy (copies, requests, count * sizeof *copies);
  if (workload->change)
    workload->change (world);
  world_run (world, copies, count,
             (int64_t)(workload->duration_s + DRAIN_S) * SECOND);
  summarize (workload, copies, count, result);
  result->prefill = (double)world_prefilled (world)
                    / fmax (1, result->goodput * workload->duration_s);
  result->limited = world_limited (world, GREEDY_CALLER);
  world_destroy (world);
  free (copies);
}

/* Returns the answers per second of a saturated engine under the
   least-in-flight policy, which a workload's load of 1 stands for.  */
static double
measure_capacity (const struct workload *workload, uint64_t seed,
                  struct world_request *requests)
{
  static const struct policy least_in_flight
      = { "least", WORLD_LEAST_IN_ZONE, true };
  struct workload saturated = *workload;
  struct world *world;
  size_t count;
  int done = 0;

  saturated.attempt_ms = 0;
  saturated.caller_rate_share = 0;
  saturated.greedy_rate = 0;
  saturated.regions = 1;
  saturated.load[0] = 1;
  saturated.engines[0] = 3;
  saturated.duration_s = 480;
  count = make_requests (&saturated, 10, seed, requests);
  for (size_t i = 0; i < count; i++)
    {
      requests[i].deadline_ms = UNLIMITED_DEADLINE_MS;
      requests[i].class = MARJORAM_CLASS_INTERACTIVE;
    }
  world = make_world (&saturated, &least_in_flight, 1, seed);
  world_run (world, requests, count, (int64_t)saturated.duration_s * SECOND);
  for (size_t i = 0; i < count; i++)
    done += requests[i].done_us > (int64_t)WARM_UP_S * SECOND;
  world_destroy (world);
  return (double)done / (saturated.duration_s - WARM_UP_S) / 3;
}

static void
stop_engine (struct world *world)
{
  world_kill_engine (world, (int64_t)FAULT_S * SECOND, 0, 0);
}

static void
stop_and_restart_engine (struct world *world)
{
  stop_engine (world);
  world_start_engine (world, (int64_t)RECOVERY_S * SECOND, 0, 0);
}

static void
slow_down_engine (struct world *world)
{
  world_slow_engine (world, (int64_t)FAULT_S * SECOND, 0, 0, SLOWDOWN_FACTOR);
}

static void
partition_and_heal (struct world *world)
{
  world_cut (world, (int64_t)FAULT_S * SECOND, 0, true);
  world_cut (world, (int64_t)RECOVERY_S * SECOND, 0, false);
}

static const struct workload workloads[] = {
  { .name = "morning-peak",
    .kinds = chat_kinds,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 900,
    .load = { 0.9, 0.9, 0.9 } },
  { .name = "loss-of-a-third",
    .kinds = chat_kinds,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 900,
    .load = { 0.9, 0.6, 0.6 },
    .change = stop_engine },
  { .name = "twice-the-capacity",
    .kinds = chat_kinds,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 900,
    .attempt_ms = 15000,
    .resends = 5,
    .load = { 2, 2, 2 } },
  { .name = "overnight",
    .kinds = overnight_kinds,
    .kind_count = 2,
    .regions = 3,
    .engines = { 4, 4, 4 },
    .duration_s = 900,
    .load = { 0.9, 0.9, 0.9 } },
  { .name = "region-at-a-tenth",
    .kinds = chat_kinds,
    .kind_count = 2,
    .regions = 3,
    .engines = { 1, 10, 10 },
    .duration_s = 900,
    .load = { 1.5, 0.7, 0.7 } },
  { .name = "return-with-cold-cache",
    .kinds = chat_kinds,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 600,
    .load = { 0.8, 0.6, 0.6 },
    .change = stop_and_restart_engine },
  { .name = "slow-replica",
    .kinds = chat_kinds,
    .kind_count = 2,
    .regions = 3,
    .engines = { 4, 4, 4 },
    .duration_s = 600,
    .load = { 0.6, 0.6, 0.6 },
    .change = slow_down_engine },
  { .name = "link-heals",
    .kinds = chat_kinds,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 600,
    .load = { 1.3, 0.6, 0.6 },
    .change = partition_and_heal },
  { .name = "greedy-caller",
    .kinds = chat_kinds,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 900,
    .load = { 0.7, 0.7, 0.7 },
    .caller_rate_share = 0.05,
    .greedy_rate = 20 },
  { .name = "greedy-without-limits",
    .kinds = chat_kinds,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 900,
    .load = { 0.7, 0.7, 0.7 },
    .caller_rate_share = 0.05,
    .no_limits = true,
    .greedy_rate = 20 },
};

static void
print_summary (const char *policy, const struct result *r)
{
  printf ("# %-16s p50 %.0f ms p99 %.0f ms first99 %.0f ms answered %.4f "
          "goodput %.2f/s %.0f tokens/s outside %.4f prefill %.0f "
          "overnight %.2f/s retries %.4f attempts %.3f crossed %.3f\n",
          policy, r->p50_ms, r->p99_ms, r->ttft_p99_ms, r->answered,
          r->goodput, r->tokens, r->outside, r->prefill, r->overnight,
          r->retries, r->attempts, r->crossed);
}

/* Prints a line that compares the router with the best baseline.  */
static void
compare (const struct workload *workload, uint64_t seed, const char *what,
         const char *unit, size_t offset, bool more_is_better,
         const struct result *results)
{
  double value = *(const double *)((const char *)&results[0] + offset);
  double best_value = 0;
  int best_policy = -1;

  for (int i = 1; i < POLICIES; i++)
    {
      double other = *(const double *)((const char *)&results[i] + offset);

      if (best_policy >= 0
          && (more_is_better ? other <= best_value : other >= best_value))
        continue;
      best_value = other;
      best_policy = i;
    }
  printf ("metric=%s.%s value=%.4f unit=%s baseline=%.4f baseline_name=%s "
          "seed=%d\n",
          workload->name, what, value, unit, best_value,
          policies[best_policy].name, (int)seed);
}

/* Compares the router with a baseline that also leaves the home zone.  */
static void
compare_outside (const struct workload *workload, uint64_t seed,
                 const struct result *results)
{
  printf ("metric=%s.outside_home value=%.4f unit=part baseline=%.4f "
          "baseline_name=%s seed=%d\n",
          workload->name, results[0].outside, results[POLICIES - 1].outside,
          policies[POLICIES - 1].name, (int)seed);
}

static void
print_comparison (const struct workload *workload, uint64_t seed,
                  const char *what, const char *unit, double value,
                  double baseline, const char *name)
{
  printf ("metric=%s.%s value=%.4f unit=%s baseline=%.4f baseline_name=%s "
          "seed=%d\n",
          workload->name, what, value, unit, baseline, name, (int)seed);
}

/* Compares goodput under overload with that of the same workload at
   capacity.  */
static void
compare_with_capacity (const struct workload *workload, double capacity,
                       uint64_t seed, struct world_request *requests,
                       const struct result *overloaded)
{
  struct workload at_capacity = *workload;
  struct result result;
  size_t count;

  for (int i = 0; i < at_capacity.regions; i++)
    at_capacity.load[i] = 1;
  count = make_requests (&at_capacity, capacity, seed, requests);
  run (&at_capacity, &policies[0], capacity, seed, requests, count, &result);
  print_comparison (workload, seed, "goodput_tokens_of_capacity", "tokens/s",
                    overloaded->tokens, result.tokens, "router-at-capacity");
  print_comparison (workload, seed, "goodput_of_capacity", "answers/s",
                    overloaded->goodput, result.goodput, "router-at-capacity");
  print_comparison (workload, seed, "host_retries", "per_request",
                    overloaded->retries, 0.1, "budget");
}

/* Compares the latency of the other callers with and without the greedy
   caller.  */
static void
compare_without_greedy (const struct workload *workload, double capacity,
                        uint64_t seed, struct world_request *requests,
                        const struct result *with_greedy)
{
  struct workload without_greedy = *workload;
  struct result result;
  size_t count;

  without_greedy.greedy_rate = 0;
  count = make_requests (&without_greedy, capacity, seed, requests);
  run (&without_greedy, &policies[0], capacity, seed, requests, count,
       &result);
  print_comparison (workload, seed, "p99_beside_greedy", "ms",
                    with_greedy->p99_ms, result.p99_ms,
                    "router-without-greedy");
  print_comparison (workload, seed, "first99_beside_greedy", "ms",
                    with_greedy->ttft_p99_ms, result.ttft_p99_ms,
                    "router-without-greedy");
}

static void
measure (const struct workload *workload, uint64_t seed, bool verbose,
         struct world_request *requests)
{
  double capacity = measure_capacity (workload, seed, requests);
  size_t count = make_requests (workload, capacity, seed, requests);
  struct result results[POLICIES];

  for (int i = 0; i < POLICIES; i++)
    {
      run (workload, &policies[i], capacity, seed, requests, count,
           &results[i]);
      if (verbose && i == 0)
        printf ("# %s seed %d: capacity %.3f/s per engine, %zu requests\n",
                workload->name, (int)seed, capacity, count);
      if (verbose)
        print_summary (policies[i].name, &results[i]);
    }
  compare (workload, seed, "p99", "ms", offsetof (struct result, p99_ms),
           false, results);
  compare (workload, seed, "first99", "ms",
           offsetof (struct result, ttft_p99_ms), false, results);
  compare (workload, seed, "prefill_tokens", "per_answer",
           offsetof (struct result, prefill), false, results);
  compare (workload, seed, "goodput", "answers/s",
           offsetof (struct result, goodput), true, results);
  compare_outside (workload, seed, results);
  if (workload->attempt_ms)
    compare_with_capacity (workload, capacity, seed, requests, &results[0]);
  if (workload->greedy_rate > 0)
    compare_without_greedy (workload, capacity, seed, requests, &results[0]);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  static const struct option options[]
      = { { "seed", required_argument, NULL, 's' },
          { "verbose", no_argument, NULL, 'v' },
          { NULL, 0, NULL, 0 } };
  struct world_request *requests
      = marjoram_alloc (REQUESTS_MAX * sizeof *requests);
  uint64_t first = 1;
  int seeds = SEEDS;
  bool verbose = false;
  int c;

  while ((c = getopt_long (argc, argv, "", options, NULL)) != -1)
    {
      if (c == 's')
        {
          first = strtoull (optarg, NULL, 10);
          seeds = 1;
        }
      else if (c == 'v')
        verbose = true;
      else
        return EXIT_FAILURE;
    }
  for (size_t i = 0; i < sizeof workloads / sizeof *workloads; i++)
    for (int j = 0; j < seeds; j++)
      {
        bool wanted = optind == argc;

        for (int k = optind; k < argc; k++)
          wanted |= strcmp (argv[k], workloads[i].name) == 0;
        if (wanted)
          measure (&workloads[i], first + (uint64_t)j, verbose, requests);
      }
  free (requests);
  return EXIT_SUCCESS;
}
