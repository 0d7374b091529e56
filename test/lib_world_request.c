#include "lib_world_state.h"

#include "cleanup.h"

#include <stdio.h>

enum
{
  RESEND_MS = 200 /* resend delay of callers that ignore Retry-After */
};

/* Schedules the caller's next attempt.  */
static void
resend (struct world *world, struct world_request *request, int64_t delay_ms)
{
  if (request->attempts <= world->options.resends)
    world_schedule (world, world->now_us + delay_ms * WORLD_US, world_send,
                    request, request->attempts);
}

static void
on_refusal (struct world *world, void *object, int number)
{
  struct world_request *request = object;

  request->refusals++;
  resend (world, request,
          world->options.ignore_retry_after ? RESEND_MS : number);
}

static void
refuse (struct world *world, struct world_request *request, int64_t retry_ms)
{
  world_schedule (world, world->now_us + WORLD_CALLER_US, on_refusal, request,
                  (int)retry_ms);
}

static void world_step (struct world *world, void *object, int number);

static void
on_answer (struct world *world, void *object, int number)
{
  struct attempt *attempt = object;
  struct world_request *request = attempt->request;
  int64_t limit = request->at_us + (int64_t)request->deadline_ms * WORLD_US;

  (void)number;
  if (request->attempts != attempt->number || request->done_us
      || world->now_us > limit)
    return;
  request->done_us = world->now_us;
  request->first_us
      = attempt->job.first_us
        + world_link_us (world, attempt->first->zone, attempt->last->zone)
        + WORLD_CALLER_US;
  request->ran_zone = attempt->engine->zone;
}

static void
finish_attempt (struct world *world, void *object, int number)
{
  struct attempt *attempt = object;
  struct host *last = attempt->last;
  int64_t now = world_now_ms (world);
  int64_t back;

  (void)number;
  marjoram_members_request_ended (last->members, now, attempt->engine->name,
                                  false);
  if (world->options.policy == WORLD_ROUTER)
    {
      marjoram_router_record_latency (
          last->router, now, attempt->engine->name, &attempt->query,
          (attempt->job.first_us - attempt->began_us) / WORLD_US,
          now - attempt->began_us / WORLD_US,
          (uint64_t)attempt->request->answer);
      if (attempt->first->zone != last->zone)
        marjoram_router_forward_ended (attempt->first->router, now, last->zone,
                                       attempt->request->work, false);
    }
  back = world_link_us (world, attempt->first->zone, last->zone)
         + WORLD_CALLER_US;
  world_schedule (world, world->now_us + back, on_answer, attempt, 0);
}

static void
collect_ended (void *context, struct batch_job *job)
{
  struct engine *engine = context;

  engine->ended[engine->ended_count++] = job;
}

static void
world_step (struct world *world, void *object, int number)
{
  struct engine *engine = object;
  int64_t duration;
  int held;

  (void)number;
  engine->stepping = false;
  if (!engine->up)
    return;
  engine->ended_count = 0;
  held = batch_running (engine->batch) + batch_waiting (engine->batch);
  if (held > engine->peak)
    engine->peak = held;
  duration = batch_step (engine->batch, world->now_us, collect_ended, engine);
  if (duration == 0)
    return;
  engine->stepping = true;
  world_schedule (world, world->now_us + duration, world_step, engine, 0);
  for (int i = 0; i < engine->ended_count; i++)
    world_schedule (world, world->now_us + duration + WORLD_ENGINE_US,
                    finish_attempt, engine->ended[i]->owner, 0);
}

static void choose (struct world *world, struct attempt *attempt,
                    struct host *host);

void
world_failed (struct world *world, struct attempt *attempt)
{
  struct marjoram_query *query = &attempt->query;
  struct host *host = attempt->last;
  int64_t now = world_now_ms (world);
  bool may;

  marjoram_members_request_ended (host->members, now, attempt->engine->name,
                                  true);
  marjoram_members_mark_dead (host->members, now, attempt->engine->name);
  if (attempt->request->attempts != attempt->number)
    return;
  may = world->options.policy != WORLD_ROUTER
        || marjoram_router_retry (attempt->first->router, now);
  if (!may || query->tried_count == MARJORAM_TRIED_MAX)
    {
      refuse (world, attempt->request, WORLD_TICK_MS);
      return;
    }
  attempt->request->retries++;
  query->tried[query->tried_count++] = attempt->engine->name;
  query->forwarded = false;
  choose (world, attempt, attempt->first);
}

static void
on_arrival (struct world *world, void *object, int number)
{
  struct attempt *attempt = object;
  struct engine *engine = attempt->engine;

  (void)number;
  if (attempt->request->attempts != attempt->number)
    {
      marjoram_members_request_ended (
          attempt->last->members, world_now_ms (world), engine->name, false);
      return;
    }
  if (!engine->up)
    {
      world_failed (world, attempt);
      return;
    }
  batch_add (engine->batch, world->now_us, &attempt->job);
  if (!engine->stepping)
    world_step (world, engine, 0);
}

static void
dispatch (struct world *world, struct attempt *attempt, struct host *host,
          const char *name)
{
  int zone = 0;
  int index = 0;

  if (sscanf (name, "e%d-%d", &zone, &index) != 2)
    abort ();
  attempt->engine = &world->engines[zone][index];
  attempt->last = host;
  attempt->began_us = world->now_us;
  marjoram_members_request_started (host->members, name);
  world_schedule (
      world,
      world->now_us + WORLD_ENGINE_US
          + (zone == host->zone ? 0 : world_link_us (world, host->zone, zone)),
      on_arrival, attempt, 0);
}

static void
on_forward_refused (struct world *world, void *object, int number)
{
  struct attempt *attempt = object;
  struct marjoram_query *query = &attempt->query;
  int64_t now = world_now_ms (world);

  query->forwarded = false;
  marjoram_router_forward_ended (attempt->first->router, now, number,
                                 query->work, true);
  if (query->zones_tried_count == MARJORAM_TRIED_MAX
      || !marjoram_router_retry (attempt->first->router, now))
    {
      refuse (world, attempt->request, WORLD_TICK_MS);
      return;
    }
  attempt->request->retries++;
  query->zones_tried[query->zones_tried_count++] = number;
  choose (world, attempt, attempt->first);
}

static void
on_forward (struct world *world, void *object, int number)
{
  struct attempt *attempt = object;
  struct host *host = &world->hosts[number][marjoram_random_below (
      world->random, (uint32_t)world->slots)];

  attempt->query.forwarded = true;
  choose (world, attempt, host);
}

static void
choose_by_router (struct world *world, struct attempt *attempt,
                  struct host *host)
{
  struct marjoram_choice choice;
  int64_t now = world_now_ms (world);
  int64_t link;

  marjoram_router_choose (host->router, now, &attempt->query, &choice);
  switch (choice.verdict)
    {
    case MARJORAM_VERDICT_LOCAL:
      dispatch (world, attempt, host, choice.upstream);
      return;
    case MARJORAM_VERDICT_FORWARD:
      attempt->request->crossed++;
      marjoram_router_forward_started (host->router, now, choice.zone,
                                       attempt->query.work);
      link = world_link_us (world, host->zone, choice.zone);
      if (world_linked (world, host->zone, choice.zone))
        world_schedule (world, world->now_us + link, on_forward, attempt,
                        choice.zone);
      else
        world_schedule (world, world->now_us + link, on_forward_refused,
                        attempt, choice.zone);
      return;
    case MARJORAM_VERDICT_REFUSE:
      if (attempt->query.forwarded)
        world_schedule (
            world,
            world->now_us
                + world_link_us (world, host->zone, attempt->first->zone),
            on_forward_refused, attempt, host->zone);
      else
        refuse (world, attempt->request, choice.retry_ms);
      return;
    }
}

static unsigned
load_of (const struct marjoram_upstream *upstream)
{
  unsigned reported = (unsigned)(upstream->announcement->running
                                 + upstream->announcement->waiting);

  return reported > upstream->in_flight ? reported : upstream->in_flight;
}

/* Returns the least loaded upstream known to HOST.  */
static const struct marjoram_upstream *
least_loaded (const struct world *world, const struct host *host, int64_t now)
{
  const struct marjoram_upstream *best = NULL;
  size_t count = marjoram_members_count (host->members);

  for (size_t i = 0; i < count; i++)
    {
      const struct marjoram_upstream *upstream = marjoram_members_at (
          host->members, (i + (size_t)host->turn) % count);

      if (marjoram_upstream_usable (upstream, now)
          && (!best || load_of (upstream) < load_of (best)))
        best = upstream;
    }
  (void)world;
  return best;
}

static const struct marjoram_upstream *
next_in_turn (struct host *host, int64_t now)
{
  size_t count = marjoram_members_count (host->members);

  for (size_t i = 0; i < count; i++)
    {
      const struct marjoram_upstream *upstream = marjoram_members_at (
          host->members, (size_t)(host->turn++) % count);

      if (marjoram_upstream_usable (upstream, now))
        return upstream;
    }
  return NULL;
}

static void
choose_by_baseline (struct world *world, struct attempt *attempt,
                    struct host *host)
{
  const struct marjoram_upstream *best = NULL;
  struct host *where = host;
  int64_t now = world_now_ms (world);

  host->turn++;
  if (world->options.policy == WORLD_ROUND_ROBIN)
    best = next_in_turn (host, now);
  else
    best = least_loaded (world, host, now);
  for (int i = 0;
       world->options.policy == WORLD_LEAST_ANYWHERE && i < world->zones; i++)
    {
      struct host *other = &world->hosts[i][0];
      const struct marjoram_upstream *upstream
          = least_loaded (world, other, now);

      if (!world_linked (world, host->zone, i) || !upstream
          || (best && load_of (upstream) >= load_of (best)))
        continue;
      best = upstream;
      where = other;
    }
  if (!best)
    {
      refuse (world, attempt->request, WORLD_TICK_MS);
      return;
    }
  attempt->request->crossed += where != host;
  dispatch (world, attempt, where, best->announcement->name);
}

static void
choose (struct world *world, struct attempt *attempt, struct host *host)
{
  if (world->options.policy == WORLD_ROUTER)
    choose_by_router (world, attempt, host);
  else
    choose_by_baseline (world, attempt, host);
}

/* Caller timeout: cancels the attempt's job and resends the request.  */
static void
on_attempt_timeout (struct world *world, void *object, int number)
{
  struct attempt *attempt = object;
  struct world_request *request = attempt->request;

  (void)number;
  if (request->done_us || request->attempts != attempt->number)
    return;
  if (attempt->engine && batch_cancel (attempt->engine->batch, &attempt->job))
    marjoram_members_request_ended (attempt->last->members,
                                    world_now_ms (world),
                                    attempt->engine->name, false);
  resend (world, request, 0);
  if (request->attempts > world->options.resends)
    request->attempts++;
}

void
world_send (struct world *world, void *object, int number)
{
  struct world_request *request = object;
  int64_t now = world_now_ms (world);
  int64_t deadline = request->at_us / WORLD_US + request->deadline_ms;
  int64_t retry_ms;
  struct attempt *attempt;

  if (request->done_us || request->attempts != number || now >= deadline)
    return;
  attempt = marjoram_alloc (sizeof *attempt);
  attempt->next_attempt = world->all_attempts;
  world->all_attempts = attempt;
  request->attempts++;
  attempt->request = request;
  attempt->number = request->attempts;
  attempt->first = &world->hosts[request->zone][marjoram_random_below (
      world->random, (uint32_t)world->slots)];
  attempt->job = (struct batch_job){
    .priority = request->class == MARJORAM_CLASS_OVERNIGHT,
    .prompt = request->prompt,
    .prefix = request->prefix,
    .prefix_tokens = request->prefix_tokens,
    .answer = request->answer,
    .owner = attempt,
  };
  attempt->query = (struct marjoram_query){
    .caller = request->caller,
    .work = request->work,
    .class = request->class,
    .deadline = deadline,
    .prompt_tokens = (uint64_t)request->prompt,
    .answer_tokens = (uint64_t)request->answer,
    .prefix_hash = request->prefix * UINT64_C (0x9e3779b97f4a7c15),
  };
  if (world->options.attempt_ms)
    world_schedule (
        world, world->now_us + (int64_t)world->options.attempt_ms * WORLD_US,
        on_attempt_timeout, attempt, 0);
  if (world->options.policy == WORLD_ROUTER && !world->options.no_limits
      && marjoram_router_admit (attempt->first->router, now, request->caller,
                                &retry_ms)
             != MARJORAM_REASON_NONE)
    {
      world->limited[request->caller]++;
      refuse (world, request, retry_ms);
      return;
    }
  choose (world, attempt, attempt->first);
}
