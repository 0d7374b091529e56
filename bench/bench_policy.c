/* Compares the routing policy with baseline policies in virtual time on
   identical requests.  Each output line names the best baseline of the run.
   Usage: bench_policy [--seed N] [--verbose] [WORKLOAD...] */
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
  WARM_S = 180,
  REQUESTS_MAX = 1000000,
  SEEDS = 3,
  POLICIES_MAX = 8,
  HOTELS = 120,
  CALLERS = 40,
  OTHERS = 12,              /* callers per zone */
  RETRY_AFTER_RESENDS = 50, /* resends of callers that honour Retry-After */
  GREEDY = 1,               /* index of the caller that exceeds its limit */
  RATE_MAX = 1000,
  LOSS_S = 240,
  RETURN_S = 420,
  SLOWNESS = 5,
  GRACE_S = 120, /* grace period after the last request */
  FAR_DEADLINE_MS = 100000000
};

/* Properties of one kind of request.  */
struct kind
{
  double share; /* fraction of all requests */
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

/* The router must be first.  */
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
  double
      load[WORLD_ZONES_MAX]; /* offered load relative to the zone's capacity */
  double rate_part; /* caller limit relative to total capacity, 0 for none */
  double greedy;    /* load of the greedy caller relative to its limit */
  int engines[WORLD_ZONES_MAX];
  int kind_count;
  int regions;
  int duration_s;
  int attempt_ms; /* caller timeout, 0 for the deadline */
  int resends;
  bool no_limits; /* limits are configured but not enforced */
};

/* Results of one run.  */
struct result
{
  double p50_ms;
  double p99_ms; /* interactive requests; failures count as their deadline */
  double first99_ms; /* p99 of time to first token */
  double answered;   /* answered fraction of interactive requests */
  double goodput;    /* requests answered in time per second */
  double tokens;     /* answer tokens per second */
  double outside;    /* fraction of answers from outside the home zone */
  double prefill;    /* prefill tokens computed per answer */
  double retries;    /* host retries per request */
  double attempts;   /* caller attempts per request */
  double crossed;
  double overnight; /* overnight answers per second */
  int64_t limited;
};

static const struct kind tatranska[] = {
  { 0.75, MARJORAM_CLASS_INTERACTIVE, 900, 600, HOTELS, 60, 30000 },
  { 0.25, MARJORAM_CLASS_INTERACTIVE, 5000, 4000, HOTELS, 250, 60000 },
};
static const struct kind huon[] = {
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
  /* Continuous approximation of weights 1/n.  */
  return (uint64_t)(pow (count + 1, marjoram_random_unit (random)) - 1);
}

static struct world_request
draw_request (const struct workload *workload, marjoram_random *random,
              int64_t at_us, int zone, int caller)
{
  double pick = marjoram_random_unit (random);
  const struct kind *kind = workload->kinds;
  int index = 0;

  while (index + 1 < workload->kind_count && pick >= kind->share)
    {
      pick -= kind->share;
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
limit_of (const struct workload *workload, double capacity)
{
  int engines = 0;

  for (int i = 0; i < workload->regions; i++)
    engines += workload->engines[i];
  return workload->rate_part * capacity * engines;
}

/* Poisson arrivals of CALLER, or round-robin over the other callers if CALLER
   is negative.  */
static size_t
add_stream (const struct workload *workload, marjoram_random *random, int zone,
            double rate, int caller, struct world_request *requests,
            size_t count)
{
  double at = 0;

  while (rate > 0 && count < REQUESTS_MAX)
    {
      int who
          = caller >= 0
                ? caller
                : 3 + (int)marjoram_random_below (random, OTHERS) * 3 + zone;

      at -= log (1 - marjoram_random_unit (random)) / rate;
      if (at > workload->duration_s)
        break;
      requests[count++]
          = draw_request (workload, random, (int64_t)(at * SECOND), zone, who);
    }
  return count;
}

/* CAPACITY is that of one engine in requests per second.  */
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
  for (int zone = 0; workload->greedy > 0 && zone < workload->regions; zone++)
    count = add_stream (workload, random, zone,
                        limit_of (workload, capacity) * workload->greedy
                            / workload->regions,
                        GREEDY, requests, count);
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
  double *firsts = marjoram_alloc ((count + 1) * sizeof *firsts);
  size_t interactive = 0;
  size_t all = 0;
  size_t done = 0;
  size_t answered = 0;

  *result = (struct result){ 0 };
  for (size_t i = 0; i < count; i++)
    {
      const struct world_request *r = &requests[i];

      if (r->at_us < (int64_t)WARM_S * SECOND || r->caller == GREEDY)
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
      firsts[interactive] = r->done_us
                                ? (double)(r->first_us - r->at_us) / 1000
                                : r->deadline_ms;
      times[interactive++] = r->done_us
                                 ? (double)(r->done_us - r->at_us) / 1000
                                 : r->deadline_ms;
    }
  qsort (firsts, interactive, sizeof *firsts, compare_doubles);
  qsort (times, interactive, sizeof *times, compare_doubles);
  if (interactive > 0)
    {
      result->p50_ms = times[interactive / 2];
      result->p99_ms = times[interactive * 99 / 100];
      result->first99_ms = firsts[interactive * 99 / 100];
      result->answered = (double)answered / (double)interactive;
    }
  result->goodput = (double)done / (workload->duration_s - WARM_S);
  result->tokens /= workload->duration_s - WARM_S;
  result->overnight /= workload->duration_s - WARM_S;
  result->outside /= fmax (1, (double)done);
  result->retries /= fmax (1, (double)all);
  result->attempts /= fmax (1, (double)all);
  result->crossed /= fmax (1, (double)all);
  free (firsts);
  free (times);
}

static struct world *
make_world (const struct workload *workload, const struct policy *policy,
            double capacity, uint64_t seed)
{
  double rate
      = workload->rate_part > 0 ? limit_of (workload, capacity) : RATE_MAX;
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
    .no_limits = workload->rate_part <= 0 || workload->no_limits,
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
             (int64_t)(workload->duration_s + GRACE_S) * SECOND);
  summarize (workload, copies, count, result);
  result->prefill = (double)world_prefilled (world)
                    / fmax (1, result->goodput * workload->duration_s);
  result->limited = world_limited (world, GREEDY);
  world_destroy (world);
  free (copies);
}

/* Saturated throughput of one engine under the least-in-flight policy, in
   answers per second.  Defines 100 % load.  */
static double
capacity_of (const struct workload *workload, uint64_t seed,
             struct world_request *requests)
{
  static const struct policy least = { "least", WORLD_LEAST_IN_ZONE, true };
  struct workload full = *workload;
  struct world *world;
  size_t count;
  int done = 0;

  full.attempt_ms = 0;
  full.rate_part = 0;
  full.greedy = 0;
  full.regions = 1;
  full.load[0] = 1;
  full.engines[0] = 3;
  full.duration_s = 480;
  count = make_requests (&full, 10, seed, requests);
  for (size_t i = 0; i < count; i++)
    {
      requests[i].deadline_ms = FAR_DEADLINE_MS;
      requests[i].class = MARJORAM_CLASS_INTERACTIVE;
    }
  world = make_world (&full, &least, 1, seed);
  world_run (world, requests, count, (int64_t)full.duration_s * SECOND);
  for (size_t i = 0; i < count; i++)
    done += requests[i].done_us > (int64_t)WARM_S * SECOND;
  world_destroy (world);
  return (double)done / (full.duration_s - WARM_S) / 3;
}

static void
kill_one_engine (struct world *world)
{
  world_kill_engine (world, (int64_t)LOSS_S * SECOND, 0, 0);
}

static void
kill_and_restart_engines (struct world *world)
{
  kill_one_engine (world);
  world_start_engine (world, (int64_t)RETURN_S * SECOND, 0, 0);
}

static void
slow_one_engine (struct world *world)
{
  world_slow_engine (world, (int64_t)LOSS_S * SECOND, 0, 0, SLOWNESS);
}

static void
partition_and_heal (struct world *world)
{
  world_cut (world, (int64_t)LOSS_S * SECOND, 0, true);
  world_cut (world, (int64_t)RETURN_S * SECOND, 0, false);
}

static const struct workload workloads[] = {
  { .name = "morning-peak",
    .kinds = tatranska,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 900,
    .load = { 0.9, 0.9, 0.9 } },
  { .name = "loss-of-a-third",
    .kinds = tatranska,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 900,
    .load = { 0.9, 0.6, 0.6 },
    .change = kill_one_engine },
  { .name = "twice-the-capacity",
    .kinds = tatranska,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 900,
    .attempt_ms = 15000,
    .resends = 5,
    .load = { 2, 2, 2 } },
  { .name = "overnight",
    .kinds = huon,
    .kind_count = 2,
    .regions = 3,
    .engines = { 4, 4, 4 },
    .duration_s = 900,
    .load = { 0.9, 0.9, 0.9 } },
  { .name = "region-at-a-tenth",
    .kinds = tatranska,
    .kind_count = 2,
    .regions = 3,
    .engines = { 1, 10, 10 },
    .duration_s = 900,
    .load = { 1.5, 0.7, 0.7 } },
  { .name = "return-with-cold-cache",
    .kinds = tatranska,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 600,
    .load = { 0.8, 0.6, 0.6 },
    .change = kill_and_restart_engines },
  { .name = "slow-replica",
    .kinds = tatranska,
    .kind_count = 2,
    .regions = 3,
    .engines = { 4, 4, 4 },
    .duration_s = 600,
    .load = { 0.6, 0.6, 0.6 },
    .change = slow_one_engine },
  { .name = "link-heals",
    .kinds = tatranska,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 600,
    .load = { 1.3, 0.6, 0.6 },
    .change = partition_and_heal },
  { .name = "greedy-caller",
    .kinds = tatranska,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 900,
    .load = { 0.7, 0.7, 0.7 },
    .rate_part = 0.05,
    .greedy = 20 },
  { .name = "greedy-without-limits",
    .kinds = tatranska,
    .kind_count = 2,
    .regions = 3,
    .engines = { 3, 3, 3 },
    .duration_s = 900,
    .load = { 0.7, 0.7, 0.7 },
    .rate_part = 0.05,
    .no_limits = true,
    .greedy = 20 },
};

static void
show (const char *policy, const struct result *r)
{
  printf ("# %-16s p50 %.0f ms p99 %.0f ms first99 %.0f ms answered %.4f "
          "goodput %.2f/s %.0f tokens/s outside %.4f prefill %.0f "
          "overnight %.2f/s retries %.4f attempts %.3f crossed %.3f\n",
          policy, r->p50_ms, r->p99_ms, r->first99_ms, r->answered, r->goodput,
          r->tokens, r->outside, r->prefill, r->overnight, r->retries,
          r->attempts, r->crossed);
}

/* Prints one line comparing the router with the best baseline policy.  */
static void
compare (const struct workload *workload, uint64_t seed, const char *what,
         const char *unit, size_t offset, bool more_is_better,
         const struct result *results)
{
  double value = *(const double *)((const char *)&results[0] + offset);
  double best = 0;
  int which = -1;

  for (int i = 1; i < POLICIES; i++)
    {
      double other = *(const double *)((const char *)&results[i] + offset);

      if (which >= 0 && (more_is_better ? other <= best : other >= best))
        continue;
      best = other;
      which = i;
    }
  printf ("metric=%s.%s value=%.4f unit=%s baseline=%.4f baseline_name=%s "
          "seed=%d\n",
          workload->name, what, value, unit, best, policies[which].name,
          (int)seed);
}

/* Same, against a baseline that also uses other zones.  */
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
compare_runs (const struct workload *workload, uint64_t seed, const char *what,
              const char *unit, double value, double baseline,
              const char *name)
{
  printf ("metric=%s.%s value=%.4f unit=%s baseline=%.4f baseline_name=%s "
          "seed=%d\n",
          workload->name, what, value, unit, baseline, name, (int)seed);
}

/* Compares overload with the same callers at capacity.  */
static void
compare_with_capacity (const struct workload *workload, double capacity,
                       uint64_t seed, struct world_request *requests,
                       const struct result *twice)
{
  struct workload once = *workload;
  struct result result;
  size_t count;

  for (int i = 0; i < once.regions; i++)
    once.load[i] = 1;
  count = make_requests (&once, capacity, seed, requests);
  run (&once, &policies[0], capacity, seed, requests, count, &result);
  compare_runs (workload, seed, "goodput_tokens_of_capacity", "tokens/s",
                twice->tokens, result.tokens, "router-at-capacity");
  compare_runs (workload, seed, "goodput_of_capacity", "answers/s",
                twice->goodput, result.goodput, "router-at-capacity");
  compare_runs (workload, seed, "host_retries", "per_request", twice->retries,
                0.1, "budget");
}

/* Compares well-behaved callers with and without the greedy one.  */
static void
compare_without_greedy (const struct workload *workload, double capacity,
                        uint64_t seed, struct world_request *requests,
                        const struct result *beside)
{
  struct workload alone = *workload;
  struct result result;
  size_t count;

  alone.greedy = 0;
  count = make_requests (&alone, capacity, seed, requests);
  run (&alone, &policies[0], capacity, seed, requests, count, &result);
  compare_runs (workload, seed, "p99_beside_greedy", "ms", beside->p99_ms,
                result.p99_ms, "router-without-greedy");
  compare_runs (workload, seed, "first99_beside_greedy", "ms",
                beside->first99_ms, result.first99_ms,
                "router-without-greedy");
}

static void
measure (const struct workload *workload, uint64_t seed, bool verbose,
         struct world_request *requests)
{
  double capacity = capacity_of (workload, seed, requests);
  size_t count = make_requests (workload, capacity, seed, requests);
  struct result results[POLICIES];

  for (int i = 0; i < POLICIES; i++)
    {
      run (workload, &policies[i], capacity, seed, requests, count,
           &results[i]);
      if (verbose && i == 0)
        printf ("# %s seed %d: capacity %.3f/s an engine, %zu requests\n",
                workload->name, (int)seed, capacity, count);
      if (verbose)
        show (policies[i].name, &results[i]);
    }
  compare (workload, seed, "p99", "ms", offsetof (struct result, p99_ms),
           false, results);
  compare (workload, seed, "first99", "ms",
           offsetof (struct result, first99_ms), false, results);
  compare (workload, seed, "prefill_tokens", "per_answer",
           offsetof (struct result, prefill), false, results);
  compare (workload, seed, "goodput", "answers/s",
           offsetof (struct result, goodput), true, results);
  compare_outside (workload, seed, results);
  if (workload->attempt_ms)
    compare_with_capacity (workload, capacity, seed, requests, &results[0]);
  if (workload->greedy > 0)
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
