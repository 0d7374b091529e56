#include "lib_load.h"

#include "cleanup.h"
#include "engine_cache.h"
#include "placement.h"
#include "random.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

enum
{
  ENGINES_MAX = 64,
  HOSTS_MAX = 16,
  SLOTS = 64,
  CAPACITY = 250000, /* tokens */
  REPORT_MS = 100,
  CLASSES = 4,
  CLASS_TOKENS = 2520,
  SESSION_TOKENS = 3780,
  REVIEW_TOKENS = 2890, /* not shared */
  REVIEW_ANSWER = 49,
  REVIEW_OBJECTIVE_MS = 1000,
  CHAT_PARTS = 12,
  CHAT_SHARED = 198,
  CHAT_TOKENS = 628,
  CHAT_ANSWER = 294,
  CHAT_OBJECTIVE_MS = 800,
  SESSION_IDS = 1000,
  CHAT_IDS = 100000,
  OWN_IDS = 1000000,
  CHUNK = 4096,     /* maximum prompt tokens per step */
  EVENT_TOKENS = 7, /* response tokens per event */
  PAUSE_MS = 600    /* longest acceptable pause between two events */
};

/* A 70B-parameter model on one accelerator.  Each step processes a chunk of
   prompts and adds a token to each response.  Speeds are in prompt tokens per
   ms; the duration of a step without prompts is in ms.  */
#define PREFILL_PER_MS 44.2
#define COPIED_PER_MS 404.0
#define STEP_MS 3.4
#define STEP_PER_ANSWER_MS 0.017

struct job
{
  TAILQ_ENTRY (job) link;
  uint64_t number;
  int host;
  struct marjoram_call_metadata metadata;
  int64_t arrived_at;
  int64_t objective_ms;
  double prefill_tokens; /* prompt tokens left; copied ones weighted by their
                            cost */
  double in_step;        /* prompt tokens in the current step */
  int answer;            /* response tokens left */
  int event_tokens;      /* response tokens since the last event */
  int64_t event_at;
  bool responding;
  bool is_late; /* the first event or a later one came too late */
};

struct sim_engine
{
  char id[16];
  marjoram_engine_cache *cache;
  TAILQ_HEAD (, job) jobs; /* in prefill order */
  int running;
  double step_until; /* end of the current step, ms */
};

struct seen_part
{
  uint64_t part;
  UT_hash_handle hh;
};

struct load
{
  const struct load_terms *terms;
  struct load_result *result;
  marjoram_random *random;
  marjoram_registry *registry;
  marjoram_host_list *hosts;
  marjoram_placement *placements[HOSTS_MAX];
  struct marjoram_service_rule service;
  struct sim_engine engines[ENGINES_MAX];
  struct seen_part *seen; /* parts prefilled by some engine */
  uint64_t jobs;
  uint64_t next_engine;
};

const char *
load_policy_name (enum load_policy policy)
{
  static const char *const names[LOAD_POLICY_COUNT]
      = { "round-robin", "least-in-flight", "placed", "placed-copying" };

  return names[policy];
}

/* ---- Setup.  ---- */

static const char *
region_of (void *context, const char *zone)
{
  (void)context;
  (void)zone;
  return "r";
}

static bool
is_evacuated (void *context, const char *zone)
{
  (void)context;
  (void)zone;
  return false;
}

static void
send_heartbeats (struct load *load, int64_t now)
{
  for (int i = 0; i < load->terms->engines; i++)
    {
      struct marjoram_upstream_heartbeat heartbeat = {
        .started_at = 1, .sequence = now + 1, .ends_ms = -1, .slots = SLOTS
      };

      snprintf (heartbeat.id, sizeof heartbeat.id, "%s", load->engines[i].id);
      snprintf (heartbeat.service, sizeof heartbeat.service, "lm");
      snprintf (heartbeat.address, sizeof heartbeat.address, "10.0.0.%d:80",
                i + 1);
      snprintf (heartbeat.zone, sizeof heartbeat.zone, "z");
      marjoram_registry_update (load->registry, now, &heartbeat, 0);
    }
}

static void
setup_load (struct load *load)
{
  struct marjoram_placement_options options = { .region = "r",
                                                .region_of = region_of,
                                                .is_evacuated = is_evacuated };

  load->random = marjoram_random_create (load->terms->seed);
  options.registry = load->registry = marjoram_registry_create ();
  options.hosts = load->hosts = marjoram_host_list_create ();
  load->service = (struct marjoram_service_rule){
    .name = (char *)"lm",
    .has_engine = true,
    .engine = { .slots = SLOTS, .kv_capacity = CAPACITY },
  };
  if (load->terms->policy == LOAD_PLACED_COPYING)
    load->service.engine.copied_per_ms = COPIED_PER_MS;
  for (int i = 0; i < load->terms->engines; i++)
    {
      struct sim_engine *engine = &load->engines[i];

      snprintf (engine->id, sizeof engine->id, "e%d", i);
      engine->cache = marjoram_engine_cache_create ();
      TAILQ_INIT (&engine->jobs);
    }
  for (int i = 0; i < load->terms->hosts; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "h%d", i);
      options.host = name;
      load->placements[i] = marjoram_placement_create (&options);
    }
}

static void
teardown_load (struct load *load)
{
  struct seen_part *part;
  struct seen_part *next;

  for (int i = 0; i < load->terms->engines; i++)
    {
      struct sim_engine *engine = &load->engines[i];
      struct job *job;

      while ((job = TAILQ_FIRST (&engine->jobs)))
        {
          TAILQ_REMOVE (&engine->jobs, job, link);
          /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
          free (job);
        }
      marjoram_engine_cache_destroy (engine->cache);
    }
  for (int i = 0; i < load->terms->hosts; i++)
    marjoram_placement_destroy (load->placements[i]);
  HASH_ITER (hh, load->seen, part, next)
  {
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, load->seen, part);
    free (part);
  }
  marjoram_registry_destroy (load->registry);
  marjoram_host_list_destroy (load->hosts);
  marjoram_random_destroy (load->random);
}

/* ---- Engines.  ---- */

static bool
mark_seen (struct load *load, uint64_t id)
{
  struct seen_part *part;

  HASH_FIND (hh, load->seen, &id, sizeof id, part);
  if (part)
    return true;
  part = marjoram_alloc (sizeof *part);
  part->part = id;
  HASH_ADD (hh, load->seen, part, sizeof part->part, part);
  return false;
}

/* Counts the tokens that the engine prefills: parts after the first CACHED
   tokens.  */
static void
count_prefill (struct load *load, const struct job *job, int64_t cached)
{
  const struct marjoram_call_metadata *metadata = &job->metadata;
  int64_t before = 0;

  for (size_t i = 0; i < metadata->part_count; i++)
    {
      bool again = mark_seen (load, metadata->parts[i].id);

      if (before >= cached)
        {
          load->result->prefilled += metadata->parts[i].tokens;
          load->result->prefilled_again
              += again ? metadata->parts[i].tokens : 0;
        }
      before += metadata->parts[i].tokens;
    }
}

static int64_t
cached_tokens (const struct sim_engine *engine, const struct job *job)
{
  return marjoram_engine_cache_hit_tokens (engine->cache, job->metadata.parts,
                                           job->metadata.part_count);
}

static void
start_job (struct load *load, struct sim_engine *engine,
           const struct sim_engine *source, struct job *job)
{
  int64_t own = cached_tokens (engine, job);
  int64_t cached = source ? cached_tokens (source, job) : 0;

  if (cached < own)
    cached = own;
  load->result->copied += cached - own;
  count_prefill (load, job, cached);
  job->prefill_tokens
      = (double)(job->metadata.prompt_tokens - cached)
        + (double)(cached - own) * PREFILL_PER_MS / COPIED_PER_MS;
  for (size_t i = job->metadata.part_count; i > 0; i--)
    marjoram_engine_cache_use (engine->cache, job->metadata.parts[i - 1].id,
                               job->metadata.parts[i - 1].tokens, CAPACITY);
  TAILQ_INSERT_TAIL (&engine->jobs, job, link);
  engine->running++;
}

static void
end_job (struct load *load, struct sim_engine *engine, struct job *job,
         int64_t now)
{
  if (load->terms->policy >= LOAD_PLACED)
    marjoram_placement_attempt_ended (load->placements[job->host], now,
                                      job->number, MARJORAM_ATTEMPT_SERVED);
  TAILQ_REMOVE (&engine->jobs, job, link);
  engine->running--;
  free (job);
}

static void
first_event (struct load *load, struct job *job, int64_t now)
{
  job->responding = true;
  job->event_at = now;
  job->is_late = now - job->arrived_at > job->objective_ms;
  if (load->terms->policy >= LOAD_PLACED)
    marjoram_placement_response_started (load->placements[job->host], now,
                                         job->number);
}

static void
add_token (struct load *load, struct sim_engine *engine, struct job *job,
           int64_t now)
{
  job->answer--;
  if (++job->event_tokens == EVENT_TOKENS || job->answer == 0)
    {
      job->is_late = job->is_late || now - job->event_at > PAUSE_MS;
      job->event_at = now;
      job->event_tokens = 0;
    }
  if (job->answer > 0)
    return;
  if (job->is_late)
    load->result->late++;
  else
    load->result->in_time++;
  end_job (load, engine, job, now);
}

static void
end_step (struct load *load, struct sim_engine *engine, int64_t now)
{
  struct job *job;
  struct job *next;

  for (job = TAILQ_FIRST (&engine->jobs); job; job = next)
    {
      next = TAILQ_NEXT (job, link);
      job->prefill_tokens -= job->in_step;
      job->in_step = 0;
      if (job->responding)
        add_token (load, engine, job, now);
      else if (job->prefill_tokens <= 0)
        first_event (load, job, now);
    }
}

static void
start_step (struct sim_engine *engine, double now)
{
  double room = CHUNK;
  struct job *job;

  TAILQ_FOREACH (job, &engine->jobs, link)
  {
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    if (job->responding)
      continue;
    job->in_step = job->prefill_tokens < room ? job->prefill_tokens : room;
    room -= job->in_step;
  }
  engine->step_until = now + STEP_MS + STEP_PER_ANSWER_MS * engine->running
                       + (CHUNK - room) / PREFILL_PER_MS;
}

static void
run_engine (struct load *load, struct sim_engine *engine, int64_t now)
{
  while (engine->running > 0 && engine->step_until <= (double)now)
    {
      end_step (load, engine, now);
      start_step (engine, engine->step_until);
    }
  if (engine->running == 0)
    engine->step_until = (double)now;
}

/* ---- Requests.  ---- */

static struct job *
make_job (struct load *load, int64_t now, bool review)
{
  struct job *job = marjoram_alloc (sizeof *job);
  struct marjoram_call_metadata *metadata = &job->metadata;
  uint64_t session
      = marjoram_random_below (load->random, (uint64_t)load->terms->sessions);

  job->number = ++load->jobs;
  job->host = (int)marjoram_random_below (load->random,
                                          (uint64_t)load->terms->hosts);
  job->arrived_at = now;
  job->objective_ms = review ? REVIEW_OBJECTIVE_MS : CHAT_OBJECTIVE_MS;
  snprintf (metadata->id, sizeof metadata->id, "%" PRIu64, job->number);
  metadata->answer_tokens_hint = review ? REVIEW_ANSWER : CHAT_ANSWER;
  job->answer = (int)metadata->answer_tokens_hint;
  if (review)
    {
      metadata->parts[metadata->part_count++]
          = (struct marjoram_prompt_part){ 1 + session % CLASSES,
                                           CLASS_TOKENS };
      metadata->parts[metadata->part_count++]
          = (struct marjoram_prompt_part){ SESSION_IDS + session,
                                           SESSION_TOKENS };
    }
  else
    metadata->parts[metadata->part_count++]
        = (struct marjoram_prompt_part){ CHAT_IDS + session % CHAT_PARTS,
                                         CHAT_SHARED };
  metadata->parts[metadata->part_count++]
      = (struct marjoram_prompt_part){ OWN_IDS + job->number,
                                       review ? REVIEW_TOKENS : CHAT_TOKENS };
  for (size_t i = 0; i < metadata->part_count; i++)
    metadata->prompt_tokens += metadata->parts[i].tokens;
  return job;
}

static struct sim_engine *
find_engine (struct load *load, const struct marjoram_registered *upstream)
{
  for (int i = 0; upstream && i < load->terms->engines; i++)
    if (strcmp (load->engines[i].id, upstream->heartbeat.id) == 0)
      return &load->engines[i];
  return NULL;
}

static struct sim_engine *
choose_by_policy (struct load *load)
{
  struct sim_engine *best = &load->engines[0];

  if (load->terms->policy == LOAD_ROUND_ROBIN)
    return &load->engines[load->next_engine++
                          % (uint64_t)load->terms->engines];
  for (int i = 1; i < load->terms->engines; i++)
    if (load->engines[i].running < best->running)
      best = &load->engines[i];
  return best;
}

/* Takes ownership of JOB.  */
static void
place_job (struct load *load, struct job *job, int64_t now)
{
  marjoram_placement *placement = load->placements[job->host];
  struct marjoram_place_query query
      = { .service = &load->service,
          .metadata = &job->metadata,
          .priority = job->objective_ms == REVIEW_OBJECTIVE_MS,
          .time_left_ms = job->objective_ms };
  struct marjoram_place place;

  if (load->terms->policy < LOAD_PLACED)
    {
      start_job (load, choose_by_policy (load), NULL, job);
      return;
    }
  marjoram_placement_choose (placement, now, &query, &place);
  if (place.outcome != MARJORAM_PLACE_FOUND)
    {
      load->result->refused++;
      free (job);
      return;
    }
  query.expected_ms = place.wait_ms;
  query.copied_tokens = place.copied_tokens;
  marjoram_placement_attempt_started (placement, now, job->number,
                                      place.upstream->heartbeat.id, &query);
  start_job (load, find_engine (load, place.upstream),
             find_engine (load, place.copy_from), job);
}

static void
generate_request (struct load *load, int64_t now, double per_s, bool review)
{
  enum
  {
    PARTS = 1000000
  };

  if ((double)marjoram_random_below (load->random, PARTS)
      >= per_s / 1000 * PARTS)
    return;
  load->result->asked++;
  place_job (load, make_job (load, now, review), now);
}

static void
exchange_reports (struct load *load, int64_t now)
{
  for (int from = 0; from < load->terms->hosts; from++)
    {
      struct marjoram_load_report report;
      char name[16];

      snprintf (name, sizeof name, "h%d", from);
      marjoram_placement_report (load->placements[from], now, &report);
      for (int to = 0; to < load->terms->hosts; to++)
        if (to != from)
          marjoram_placement_apply_report (load->placements[to], now, name,
                                           &report);
      marjoram_wire_clear (&marjoram_load_report_layout, &report);
    }
}

void
load_run (const struct load_terms *terms, struct load_result *result)
{
  struct load *load = marjoram_alloc (sizeof *load);

  memset (result, 0, sizeof *result);
  load->terms = terms;
  load->result = result;
  setup_load (load);
  for (int64_t now = 0; now < terms->span_ms; now++)
    {
      if (now % REPORT_MS == 0)
        {
          send_heartbeats (load, now);
          exchange_reports (load, now);
        }
      generate_request (load, now, terms->reviews_per_s, true);
      generate_request (load, now, terms->chats_per_s, false);
      for (int i = 0; i < terms->engines; i++)
        run_engine (load, &load->engines[i], now);
    }
  teardown_load (load);
  free (load);
}
