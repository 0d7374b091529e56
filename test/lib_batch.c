#include "lib_batch.h"

#include "cleanup.h"

#include <string.h>

enum
{
  JOBS_MAX = 65536,
  PREFIXES_MAX = 4096
};

struct prefix
{
  uint64_t id;
  int tokens;
  int64_t used;
};

struct batch_engine
{
  struct batch_options options;
  struct batch_job **jobs; /* in order of arrival */
  int count;
  int running;
  struct prefix *prefixes;
  int prefix_count;
  int cached_tokens;
  int64_t clock;
  int64_t prefilled;
};

struct batch_engine *
batch_create (const struct batch_options *options)
{
  struct batch_engine *engine = marjoram_alloc (sizeof *engine);

  engine->options = *options;
  engine->jobs = marjoram_alloc (JOBS_MAX * sizeof (void *));
  engine->prefixes = marjoram_alloc (PREFIXES_MAX * sizeof *engine->prefixes);
  return engine;
}

void
batch_destroy (struct batch_engine *engine)
{
  free (engine->prefixes);
  free (engine->jobs);
  free (engine);
}

void
batch_set_slowness (struct batch_engine *engine, double slowness)
{
  engine->options.slowness = slowness;
}

void
batch_reset (struct batch_engine *engine)
{
  engine->count = 0;
  engine->running = 0;
  engine->prefix_count = 0;
  engine->cached_tokens = 0;
}

static struct prefix *
find_prefix (struct batch_engine *engine, uint64_t id)
{
  for (int i = 0; i < engine->prefix_count; i++)
    if (engine->prefixes[i].id == id)
      return &engine->prefixes[i];
  return NULL;
}

static void
evict_oldest_prefix (struct batch_engine *engine)
{
  int oldest = 0;

  for (int i = 1; i < engine->prefix_count; i++)
    if (engine->prefixes[i].used < engine->prefixes[oldest].used)
      oldest = i;
  engine->cached_tokens -= engine->prefixes[oldest].tokens;
  engine->prefixes[oldest] = engine->prefixes[--engine->prefix_count];
}

static void
cache_prefix (struct batch_engine *engine, const struct batch_job *job)
{
  struct prefix *prefix;

  if (!job->prefix || find_prefix (engine, job->prefix))
    return;
  while (engine->prefix_count > 0
         && (engine->cached_tokens + job->prefix_tokens
                 > engine->options.cache_tokens
             || engine->prefix_count == PREFIXES_MAX))
    evict_oldest_prefix (engine);
  prefix = &engine->prefixes[engine->prefix_count++];
  *prefix
      = (struct prefix){ job->prefix, job->prefix_tokens, ++engine->clock };
  engine->cached_tokens += job->prefix_tokens;
}

void
batch_add (struct batch_engine *engine, int64_t now_us, struct batch_job *job)
{
  if (engine->count == JOBS_MAX)
    abort ();
  job->prefill_left = job->prompt;
  job->decode_left = job->answer;
  job->placed = false;
  job->prefilled = false;
  job->arrived_us = now_us;
  job->first_us = 0;
  engine->jobs[engine->count++] = job;
}

static void
remove_job (struct batch_engine *engine, int index)
{
  engine->running -= engine->jobs[index]->placed;
  engine->count--;
  memmove (&engine->jobs[index], &engine->jobs[index + 1],
           (size_t)(engine->count - index) * sizeof (void *));
}

bool
batch_cancel (struct batch_engine *engine, struct batch_job *job)
{
  for (int i = 0; i < engine->count; i++)
    if (engine->jobs[i] == job)
      {
        remove_job (engine, i);
        return true;
      }
  return false;
}

static struct batch_job *
next_waiting (const struct batch_engine *engine)
{
  struct batch_job *best = NULL;

  for (int i = 0; i < engine->count; i++)
    if (!engine->jobs[i]->placed
        && (!best || engine->jobs[i]->priority < best->priority))
      best = engine->jobs[i];
  return best;
}

static struct batch_job *
lowest_priority_running (const struct batch_engine *engine)
{
  struct batch_job *worst = NULL;

  for (int i = 0; i < engine->count; i++)
    if (engine->jobs[i]->placed
        && (!worst || engine->jobs[i]->priority > worst->priority))
      worst = engine->jobs[i];
  return worst;
}

static void
admit (struct batch_engine *engine, struct batch_job *job)
{
  struct prefix *prefix = find_prefix (engine, job->prefix);

  job->placed = true;
  engine->running++;
  if (!prefix || job->prefilled || job->prefill_left < job->prompt)
    return;
  prefix->used = ++engine->clock;
  job->prefill_left -= job->prefix_tokens;
}

/* Admits waiting jobs by priority, preempting running jobs of lower priority.
   A preempted job keeps its progress.  */
static void
fill_batch (struct batch_engine *engine)
{
  for (;;)
    {
      struct batch_job *job = next_waiting (engine);

      if (!job)
        return;
      if (engine->running >= engine->options.slots)
        {
          struct batch_job *victim = lowest_priority_running (engine);

          if (!victim || victim->priority <= job->priority)
            return;
          victim->placed = false;
          engine->running--;
        }
      admit (engine, job);
    }
}

static int
run_prefill (struct batch_engine *engine)
{
  int budget = engine->options.chunk;

  for (int priority = 0; priority < 2; priority++)
    for (int i = 0; i < engine->count && budget > 0; i++)
      {
        struct batch_job *job = engine->jobs[i];
        int part;

        if (!job->placed || job->prefilled || job->priority != priority)
          continue;
        part = job->prefill_left < budget ? job->prefill_left : budget;
        job->prefill_left -= part;
        budget -= part;
        if (job->prefill_left > 0)
          continue;
        job->prefilled = true;
        cache_prefix (engine, job);
      }
  engine->prefilled += engine->options.chunk - budget;
  return engine->options.chunk - budget;
}

int64_t
batch_step (struct batch_engine *engine, int64_t now_us,
            void (*done) (void *context, struct batch_job *job), void *context)
{
  const struct batch_options *options = &engine->options;
  double ms = options->step_ms;
  int64_t end;

  fill_batch (engine);
  if (engine->running == 0)
    return 0;
  for (int i = 0; i < engine->count; i++)
    if (engine->jobs[i]->placed && engine->jobs[i]->prefilled)
      {
        engine->jobs[i]->decode_left--;
        ms += options->stream_ms;
      }
  ms += run_prefill (engine) / options->prefill_rate * 1000;
  end = now_us + (int64_t)(ms * options->slowness * 1000);
  for (int i = 0; i < engine->count; i++)
    {
      struct batch_job *job = engine->jobs[i];

      if (job->decode_left < job->answer && job->first_us == 0)
        job->first_us = end;
      if (job->decode_left > 0)
        continue;
      remove_job (engine, i--);
      done (context, job);
    }
  return end - now_us;
}

int
batch_running (const struct batch_engine *engine)
{
  return engine->running;
}

int
batch_waiting (const struct batch_engine *engine)
{
  return engine->count - engine->running;
}

int64_t
batch_prefilled (const struct batch_engine *engine)
{
  return engine->prefilled;
}
