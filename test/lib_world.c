#include "lib_world.h"

#include "cleanup.h"
#include "route.h"

#include <stdio.h>
#include <string.h>

enum
{
  SLOTS_MAX = 16,
  ENGINES_MAX = 64,
  CALLERS_MAX = 4096,
  US = 1000,
  CALLER_US = 1000, /* one way, caller to host */
  ENGINE_US = 200,  /* one way, host to engine */
  RELAY_US = 5000,  /* an announcement to the zone's other hosts */
  LEASE_MS = 3000,
  TICK_MS = 1000,
  RESEND_MS = 200 /* of a caller that doesn't obey Retry-After */
};

struct host
{
  marjoram_members *members;
  marjoram_router *router;
  marjoram_random *random;
  int zone;
  int turn; /* round robin */
};

struct engine
{
  char name[32];
  struct batch_engine *batch;
  struct batch_job **ended;
  int ended_count;
  int zone;
  int index;
  bool up;
  bool stepping;
  uint64_t incarnation;
  uint64_t sequence;
  int peak;
};

/* One try of one request at one engine.  */
struct attempt
{
  struct world_request *request;
  struct batch_job job;
  struct host *first; /* the host that the caller asked */
  struct host *last;  /* the host that chose the engine */
  struct engine *engine;
  struct marjoram_query query;
  int number; /* the request's attempts when it began */
  int64_t began_us;
  struct attempt *next_made;
};

struct event
{
  int64_t at_us;
  uint64_t order;
  void (*run) (world *world, void *object, int number);
  void *object;
  int number;
};

struct world
{
  struct world_options options;
  marjoram_config *config;
  marjoram_random *random;
  struct host hosts[WORLD_ZONES_MAX][SLOTS_MAX];
  struct engine engines[WORLD_ZONES_MAX][ENGINES_MAX];
  bool cut[WORLD_ZONES_MAX];
  int zones;
  int slots;
  struct event *events;
  size_t event_count;
  size_t event_capacity;
  uint64_t order;
  int64_t now_us;
  struct attempt *made;
  int64_t limited[CALLERS_MAX];
};

static bool
before (const struct event *a, const struct event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
swap (struct event *a, struct event *b)
{
  struct event kept = *a;

  *a = *b;
  *b = kept;
}

static void
schedule (world *world, int64_t at_us,
          void (*run) (struct world *, void *, int), void *object, int number)
{
  size_t i = world->event_count++;

  if (world->event_count > world->event_capacity)
    {
      world->event_capacity = world->event_capacity * 2 + 1024;
      world->events = realloc (world->events,
                               world->event_capacity * sizeof *world->events);
      if (!world->events)
        abort ();
    }
  world->events[i]
      = (struct event){ at_us, world->order++, run, object, number };
  for (; i > 0 && before (&world->events[i], &world->events[(i - 1) / 2]);
       i = (i - 1) / 2)
    swap (&world->events[i], &world->events[(i - 1) / 2]);
}

static struct event
next_event (world *world)
{
  struct event first = world->events[0];
  size_t i = 0;

  world->events[0] = world->events[--world->event_count];
  for (;;)
    {
      size_t least = i;

      for (size_t child = 2 * i + 1;
           child <= 2 * i + 2 && child < world->event_count; child++)
        if (before (&world->events[child], &world->events[least]))
          least = child;
      if (least == i)
        return first;
      swap (&world->events[i], &world->events[least]);
      i = least;
    }
}

static int64_t
now_ms (const world *world)
{
  return world->now_us / US;
}

static int
region_of (const world *world, int zone)
{
  return marjoram_config_zone (world->config, zone)->region;
}

static int64_t
link_us (const world *world, int a, int b)
{
  if (a == b)
    return ENGINE_US;
  return region_of (world, a) == region_of (world, b)
             ? world->options.link_near_us
             : world->options.link_far_us;
}

static bool
linked (const world *world, int a, int b)
{
  return a == b || (!world->cut[a] && !world->cut[b]);
}

static void send_request (world *world, void *object, int number);

/* The caller's next try, at another host.  */
static void
resend (world *world, struct world_request *request, int64_t delay_ms)
{
  if (request->attempts <= world->options.resends)
    schedule (world, world->now_us + delay_ms * US, send_request, request,
              request->attempts);
}

static void
refused (world *world, void *object, int number)
{
  struct world_request *request = object;

  request->refusals++;
  resend (world, request, world->options.free_retries ? RESEND_MS : number);
}

static void
refuse (world *world, struct world_request *request, int64_t retry_ms)
{
  schedule (world, world->now_us + CALLER_US, refused, request, (int)retry_ms);
}

static void step (world *world, void *object, int number);

static void
answered (world *world, void *object, int number)
{
  struct attempt *attempt = object;
  struct world_request *request = attempt->request;
  int64_t limit = request->at_us + (int64_t)request->deadline_ms * US;

  (void)number;
  if (request->attempts != attempt->number || request->done_us
      || world->now_us > limit)
    return;
  request->done_us = world->now_us;
  request->first_us
      = attempt->job.first_us
        + link_us (world, attempt->first->zone, attempt->last->zone)
        + CALLER_US;
  request->ran_zone = attempt->engine->zone;
}

static void
end_attempt (world *world, void *object, int number)
{
  struct attempt *attempt = object;
  struct host *last = attempt->last;
  int64_t now = now_ms (world);
  int64_t back;

  (void)number;
  marjoram_members_ended (last->members, now, attempt->engine->name, false);
  if (world->options.policy == WORLD_ROUTER)
    {
      marjoram_router_measured (
          last->router, now, attempt->engine->name, &attempt->query,
          (attempt->job.first_us - attempt->began_us) / US,
          now - attempt->began_us / US, (uint64_t)attempt->request->answer);
      if (attempt->first->zone != last->zone)
        marjoram_router_returned (attempt->first->router, now, last->zone,
                                  attempt->request->work, false);
    }
  back = link_us (world, attempt->first->zone, last->zone) + CALLER_US;
  schedule (world, world->now_us + back, answered, attempt, 0);
}

static void
keep_ended (void *context, struct batch_job *job)
{
  struct engine *engine = context;

  engine->ended[engine->ended_count++] = job;
}

static void
step (world *world, void *object, int number)
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
  duration = batch_step (engine->batch, world->now_us, keep_ended, engine);
  if (duration == 0)
    return;
  engine->stepping = true;
  schedule (world, world->now_us + duration, step, engine, 0);
  for (int i = 0; i < engine->ended_count; i++)
    schedule (world, world->now_us + duration + ENGINE_US, end_attempt,
              engine->ended[i]->owner, 0);
}

static void choose (world *world, struct attempt *attempt, struct host *host);

static void
failed (world *world, struct attempt *attempt)
{
  struct marjoram_query *query = &attempt->query;
  struct host *host = attempt->last;
  int64_t now = now_ms (world);
  bool may;

  marjoram_members_ended (host->members, now, attempt->engine->name, true);
  marjoram_members_died (host->members, now, attempt->engine->name);
  if (attempt->request->attempts != attempt->number)
    return;
  may = world->options.policy != WORLD_ROUTER
        || marjoram_router_retry (attempt->first->router, now);
  if (!may || query->tried_count == MARJORAM_TRIED_MAX)
    {
      refuse (world, attempt->request, TICK_MS);
      return;
    }
  attempt->request->retries++;
  query->tried[query->tried_count++] = attempt->engine->name;
  query->forwarded = false;
  choose (world, attempt, attempt->first);
}

static void
arrive (world *world, void *object, int number)
{
  struct attempt *attempt = object;
  struct engine *engine = attempt->engine;

  (void)number;
  if (attempt->request->attempts != attempt->number)
    {
      marjoram_members_ended (attempt->last->members, now_ms (world),
                              engine->name, false);
      return;
    }
  if (!engine->up)
    {
      failed (world, attempt);
      return;
    }
  batch_add (engine->batch, world->now_us, &attempt->job);
  if (!engine->stepping)
    step (world, engine, 0);
}

static void
run_at (world *world, struct attempt *attempt, struct host *host,
        const char *name)
{
  int zone = 0;
  int index = 0;

  if (sscanf (name, "e%d-%d", &zone, &index) != 2)
    abort ();
  attempt->engine = &world->engines[zone][index];
  attempt->last = host;
  attempt->began_us = world->now_us;
  marjoram_members_started (host->members, name);
  schedule (world,
            world->now_us + ENGINE_US
                + (zone == host->zone ? 0 : link_us (world, host->zone, zone)),
            arrive, attempt, 0);
}

static void
forwarded_back (world *world, void *object, int number)
{
  struct attempt *attempt = object;
  struct marjoram_query *query = &attempt->query;
  int64_t now = now_ms (world);

  query->forwarded = false;
  marjoram_router_returned (attempt->first->router, now, number, query->work,
                            true);
  if (query->zones_tried_count == MARJORAM_TRIED_MAX
      || !marjoram_router_retry (attempt->first->router, now))
    {
      refuse (world, attempt->request, TICK_MS);
      return;
    }
  attempt->request->retries++;
  query->zones_tried[query->zones_tried_count++] = number;
  choose (world, attempt, attempt->first);
}

static void
forwarded (world *world, void *object, int number)
{
  struct attempt *attempt = object;
  struct host *host = &world->hosts[number][marjoram_random_below (
      world->random, (uint32_t)world->slots)];

  attempt->query.forwarded = true;
  choose (world, attempt, host);
}

static void
choose_by_router (world *world, struct attempt *attempt, struct host *host)
{
  struct marjoram_choice choice;
  int64_t now = now_ms (world);
  int64_t link;

  marjoram_router_choose (host->router, now, &attempt->query, &choice);
  switch (choice.verdict)
    {
    case MARJORAM_VERDICT_LOCAL:
      run_at (world, attempt, host, choice.upstream);
      return;
    case MARJORAM_VERDICT_FORWARD:
      attempt->request->crossed++;
      marjoram_router_sent (host->router, now, choice.zone,
                            attempt->query.work);
      link = link_us (world, host->zone, choice.zone);
      if (linked (world, host->zone, choice.zone))
        schedule (world, world->now_us + link, forwarded, attempt,
                  choice.zone);
      else
        schedule (world, world->now_us + link, forwarded_back, attempt,
                  choice.zone);
      return;
    case MARJORAM_VERDICT_REFUSE:
      if (attempt->query.forwarded)
        schedule (world,
                  world->now_us
                      + link_us (world, host->zone, attempt->first->zone),
                  forwarded_back, attempt, host->zone);
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

/* The least loaded of ZONE as HOST knows it.  */
static const struct marjoram_upstream *
least (const world *world, const struct host *host, int64_t now)
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
in_turn (struct host *host, int64_t now)
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
choose_plainly (world *world, struct attempt *attempt, struct host *host)
{
  const struct marjoram_upstream *best = NULL;
  struct host *where = host;
  int64_t now = now_ms (world);

  host->turn++;
  if (world->options.policy == WORLD_ROUND_ROBIN)
    best = in_turn (host, now);
  else
    best = least (world, host, now);
  for (int i = 0;
       world->options.policy == WORLD_LEAST_ANYWHERE && i < world->zones; i++)
    {
      struct host *other = &world->hosts[i][0];
      const struct marjoram_upstream *upstream = least (world, other, now);

      if (!linked (world, host->zone, i) || !upstream
          || (best && load_of (upstream) >= load_of (best)))
        continue;
      best = upstream;
      where = other;
    }
  if (!best)
    {
      refuse (world, attempt->request, TICK_MS);
      return;
    }
  attempt->request->crossed += where != host;
  run_at (world, attempt, where, best->announcement->name);
}

static void
choose (world *world, struct attempt *attempt, struct host *host)
{
  if (world->options.policy == WORLD_ROUTER)
    choose_by_router (world, attempt, host);
  else
    choose_plainly (world, attempt, host);
}

/* The caller has waited long enough: it closes its connection and sends again.
   The host cancels the work, whichever the policy.  */
static void
give_up (world *world, void *object, int number)
{
  struct attempt *attempt = object;
  struct world_request *request = attempt->request;

  (void)number;
  if (request->done_us || request->attempts != attempt->number)
    return;
  if (attempt->engine && batch_cancel (attempt->engine->batch, &attempt->job))
    marjoram_members_ended (attempt->last->members, now_ms (world),
                            attempt->engine->name, false);
  resend (world, request, 0);
  if (request->attempts > world->options.resends)
    request->attempts++;
}

static void
send_request (world *world, void *object, int number)
{
  struct world_request *request = object;
  int64_t now = now_ms (world);
  int64_t deadline = request->at_us / US + request->deadline_ms;
  int64_t retry_ms;
  struct attempt *attempt;

  if (request->done_us || request->attempts != number || now >= deadline)
    return;
  attempt = marjoram_alloc (sizeof *attempt);
  attempt->next_made = world->made;
  world->made = attempt;
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
    schedule (world, world->now_us + (int64_t)world->options.attempt_ms * US,
              give_up, attempt, 0);
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

/* Announcements.  */

struct report
{
  struct engine *engine;
  struct marjoram_announcement announcement;
  int zone;
  int first;
};

static void
hear (world *world, void *object, int number)
{
  struct report *report = object;
  struct marjoram_announcement *a = &report->announcement;
  int other = (report->first + number) % world->slots;

  marjoram_members_announce (world->hosts[report->zone][other].members,
                             now_ms (world), a, number > 0);
  if (number + 1 < world->slots)
    {
      schedule (world, world->now_us + RELAY_US, hear, report, number + 1);
      return;
    }
  marjoram_wire_clear (&marjoram_announcement_layout, a);
  free (report);
}

static void
report_load (world *world, void *object, int number)
{
  struct engine *engine = object;
  struct report *report;
  struct marjoram_work_name *works;

  if (!engine->up || (uint64_t)number != engine->incarnation)
    return;
  report = marjoram_alloc (sizeof *report);
  works = marjoram_alloc (sizeof *works);
  works->name = marjoram_strdup ("w00");
  report->engine = engine;
  report->zone = engine->zone;
  report->first = engine->index % world->slots;
  report->announcement = (struct marjoram_announcement){
    .name = marjoram_strdup (engine->name),
    .incarnation = engine->incarnation,
    .sequence = ++engine->sequence,
    .zone = marjoram_strdup (
        marjoram_config_zone (world->config, engine->zone)->name),
    .engine = true,
    .slots = (uint64_t)world->options.batch.slots,
    .lease_ms = LEASE_MS,
    .running = (uint64_t)batch_running (engine->batch),
    .waiting = (uint64_t)batch_waiting (engine->batch),
    .works = { works, 1 },
  };
  schedule (world, world->now_us + (int64_t)world->options.report_lag_ms * US,
            hear, report, 0);
  schedule (world, world->now_us + (int64_t)world->options.report_ms * US,
            report_load, engine, number);
}

/* Offers and use.  */

struct told
{
  struct marjoram_offers offers;
  struct host *to;
  int from;
};

static void
learn (world *world, void *object, int number)
{
  struct told *told = object;

  (void)number;
  marjoram_router_learn (told->to->router, now_ms (world), &told->offers,
                         link_us (world, told->from, told->to->zone) / US);
  marjoram_wire_clear (&marjoram_offers_layout, &told->offers);
  free (told);
}

static void
tell (world *world, struct host *from, struct host *to)
{
  struct told *told;

  if (from == to || !linked (world, from->zone, to->zone)
      || (world->options.no_spill && from->zone != to->zone))
    return;
  told = marjoram_alloc (sizeof *told);
  marjoram_router_offer (from->router, now_ms (world), to->zone,
                         &told->offers);
  told->to = to;
  told->from = from->zone;
  schedule (world, world->now_us + link_us (world, from->zone, to->zone),
            learn, told, 0);
}

static void
tick (world *world, void *object, int number)
{
  struct host *host = object;
  int64_t now = now_ms (world);

  marjoram_members_tick (host->members, now, NULL, NULL);
  for (int i = 0; i < world->slots; i++)
    if (i != number)
      marjoram_members_heard (host->members, now, i, 1, false);
  for (int i = 0; world->options.policy == WORLD_ROUTER && i < world->zones;
       i++)
    for (int j = 0; j < world->slots; j++)
      tell (world, host, &world->hosts[i][j]);
  schedule (world, world->now_us + (int64_t)TICK_MS * US, tick, host, number);
}

/* Changes.  */

static void
kill_now (world *world, void *object, int number)
{
  struct engine *engine = object;

  (void)number;
  engine->up = false;
  batch_reset (engine->batch);
  /* The connections break: each host fails what it has there.  */
  for (struct attempt *a = world->made; a; a = a->next_made)
    if (a->engine == engine && a->request->attempts == a->number
        && !a->request->done_us && a->job.arrived_us && a->job.decode_left > 0)
      failed (world, a);
}

static void
start_now (world *world, void *object, int number)
{
  struct engine *engine = object;

  (void)number;
  engine->up = true;
  engine->incarnation++;
  engine->sequence = 0;
  report_load (world, engine, (int)engine->incarnation);
}

static void
slow_now (world *world, void *object, int number)
{
  struct engine *engine = object;

  (void)world;
  batch_slow (engine->batch, number / 100.0);
}

static void
cut_now (world *world, void *object, int number)
{
  *(bool *)object = number != 0;
  (void)world;
}

void
world_kill_engine (world *world, int64_t at_us, int zone, int engine)
{
  schedule (world, at_us, kill_now, &world->engines[zone][engine], 0);
}

void
world_start_engine (world *world, int64_t at_us, int zone, int engine)
{
  schedule (world, at_us, start_now, &world->engines[zone][engine], 0);
}

void
world_slow_engine (world *world, int64_t at_us, int zone, int engine,
                   double slowness)
{
  schedule (world, at_us, slow_now, &world->engines[zone][engine],
            (int)(slowness * 100));
}

void
world_cut (world *world, int64_t at_us, int zone, bool cut)
{
  schedule (world, at_us, cut_now, &world->cut[zone], cut);
}

static void
create_host (world *world, int zone, int slot)
{
  struct host *host = &world->hosts[zone][slot];
  const char *name = marjoram_config_zone (world->config, zone)->name;

  host->zone = zone;
  host->random = marjoram_random_create (
      world->options.seed * 1000 + (uint64_t)(zone * SLOTS_MAX + slot) + 1);
  host->members = marjoram_members_create (name, slot);
  host->router
      = marjoram_router_create (name, host->members, NULL, host->random);
  marjoram_router_configure (host->router, 0, world->config);
  /* Hosts tick at different moments of the second.  */
  schedule (world,
            (int64_t)marjoram_random_below (world->random, TICK_MS * US), tick,
            host, slot);
}

static void
create_engine (world *world, int zone, int index)
{
  struct engine *engine = &world->engines[zone][index];

  snprintf (engine->name, sizeof engine->name, "e%d-%d", zone, index);
  engine->batch = batch_create (&world->options.batch);
  engine->ended
      = marjoram_alloc ((size_t)world->options.batch.slots * sizeof (void *));
  engine->zone = zone;
  engine->index = index;
  schedule (world,
            (int64_t)marjoram_random_below (
                world->random, (uint32_t)world->options.report_ms * US),
            start_now, engine, 0);
}

world *
world_create (const struct world_options *options)
{
  world *world = marjoram_alloc (sizeof *world);

  world->options = *options;
  world->config = config_from_spec (&options->spec);
  world->random = marjoram_random_create (options->seed);
  world->zones = options->spec.regions * options->spec.zones;
  world->slots = options->spec.slots;
  for (int i = 0; i < world->zones; i++)
    {
      for (int j = 0; j < world->slots; j++)
        create_host (world, i, j);
      for (int j = 0; j < options->engines[i]; j++)
        create_engine (world, i, j);
    }
  return world;
}

static void
drop_event (world *world, const struct event *event)
{
  (void)world;
  if (event->run == learn)
    {
      struct told *told = event->object;

      marjoram_wire_clear (&marjoram_offers_layout, &told->offers);
      free (told);
    }
  else if (event->run == hear)
    {
      struct report *report = event->object;

      marjoram_wire_clear (&marjoram_announcement_layout,
                           &report->announcement);
      free (report);
    }
}

void
world_destroy (world *world)
{
  for (size_t i = 0; i < world->event_count; i++)
    drop_event (world, &world->events[i]);
  while (world->made)
    {
      struct attempt *next = world->made->next_made;

      free (world->made);
      world->made = next;
    }
  for (int i = 0; i < world->zones; i++)
    {
      for (int j = 0; j < world->slots; j++)
        {
          marjoram_router_destroy (world->hosts[i][j].router);
          marjoram_members_destroy (world->hosts[i][j].members);
          marjoram_random_destroy (world->hosts[i][j].random);
        }
      for (int j = 0; j < world->options.engines[i]; j++)
        {
          batch_destroy (world->engines[i][j].batch);
          free (world->engines[i][j].ended);
        }
    }
  marjoram_random_destroy (world->random);
  marjoram_config_release (world->config);
  free (world->events);
  free (world);
}

void
world_run (world *world, struct world_request *requests, size_t count,
           int64_t end_us)
{
  size_t sent = 0;

  while (world->event_count > 0 || sent < count)
    {
      struct event event;

      while (sent < count
             && (world->event_count == 0
                 || requests[sent].at_us <= world->events[0].at_us))
        {
          schedule (world, requests[sent].at_us + CALLER_US, send_request,
                    &requests[sent], 0);
          sent++;
        }
      event = next_event (world);
      if (event.at_us > end_us)
        {
          drop_event (world, &event);
          return;
        }
      world->now_us = event.at_us;
      event.run (world, event.object, event.number);
    }
}

int64_t
world_prefilled (const world *world)
{
  int64_t sum = 0;

  for (int i = 0; i < world->zones; i++)
    for (int j = 0; j < world->options.engines[i]; j++)
      sum += batch_prefilled (world->engines[i][j].batch);
  return sum;
}

int64_t
world_limited (const world *world, int caller)
{
  return world->limited[caller];
}

int
world_peak (const world *world, int zone, int engine)
{
  return world->engines[zone][engine].peak;
}
