#include "lib_world_state.h"

#include "cleanup.h"

#include <stdio.h>
#include <string.h>

enum
{
  RELAY_US
  = 5000, /* delay of relaying an announcement to the next host of the zone */
  LEASE_MS = 3000
};

static bool
event_before (const struct event *a, const struct event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
swap_events (struct event *a, struct event *b)
{
  struct event kept = *a;

  *a = *b;
  *b = kept;
}

void
world_schedule (struct world *world, int64_t at_us,
                void (*run) (struct world *, void *, int), void *object,
                int number)
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
  for (;
       i > 0 && event_before (&world->events[i], &world->events[(i - 1) / 2]);
       i = (i - 1) / 2)
    swap_events (&world->events[i], &world->events[(i - 1) / 2]);
}

static struct event
pop_event (struct world *world)
{
  struct event first = world->events[0];
  size_t i = 0;

  world->events[0] = world->events[--world->event_count];
  for (;;)
    {
      size_t least = i;

      for (size_t child = 2 * i + 1;
           child <= 2 * i + 2 && child < world->event_count; child++)
        if (event_before (&world->events[child], &world->events[least]))
          least = child;
      if (least == i)
        return first;
      swap_events (&world->events[i], &world->events[least]);
      i = least;
    }
}

int64_t
world_now_ms (const struct world *world)
{
  return world->now_us / WORLD_US;
}

static int
region_of (const struct world *world, int zone)
{
  return marjoram_config_zone (world->config, zone)->region;
}

int64_t
world_link_us (const struct world *world, int a, int b)
{
  if (a == b)
    return WORLD_ENGINE_US;
  return region_of (world, a) == region_of (world, b)
             ? world->options.link_near_us
             : world->options.link_far_us;
}

bool
world_linked (const struct world *world, int a, int b)
{
  return a == b || (!world->cut[a] && !world->cut[b]);
}

/* Load reports.  */

struct report
{
  struct engine *engine;
  struct marjoram_announcement announcement;
  int zone;
  int first;
};

static void
deliver_report (struct world *world, void *object, int number)
{
  struct report *report = object;
  struct marjoram_announcement *a = &report->announcement;
  int other = (report->first + number) % world->slots;

  marjoram_members_announce (world->hosts[report->zone][other].members,
                             world_now_ms (world), a, number > 0);
  if (number + 1 < world->slots)
    {
      world_schedule (world, world->now_us + RELAY_US, deliver_report, report,
                      number + 1);
      return;
    }
  marjoram_wire_clear (&marjoram_announcement_layout, a);
  free (report);
}

static void
send_report (struct world *world, void *object, int number)
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
  world_schedule (
      world, world->now_us + (int64_t)world->options.report_lag_ms * WORLD_US,
      deliver_report, report, 0);
  world_schedule (world,
                  world->now_us + (int64_t)world->options.report_ms * WORLD_US,
                  send_report, engine, number);
}

/* Offers.  */

struct offers_message
{
  struct marjoram_offers offers;
  struct host *to;
  int from;
};

static void
deliver_offers (struct world *world, void *object, int number)
{
  struct offers_message *offers_message = object;

  (void)number;
  marjoram_router_process_offers (
      offers_message->to->router, world_now_ms (world),
      &offers_message->offers,
      world_link_us (world, offers_message->from, offers_message->to->zone)
          / WORLD_US);
  marjoram_wire_clear (&marjoram_offers_layout, &offers_message->offers);
  free (offers_message);
}

static void
send_offers (struct world *world, struct host *from, struct host *to)
{
  struct offers_message *offers_message;

  if (from == to || !world_linked (world, from->zone, to->zone)
      || (world->options.no_spill && from->zone != to->zone))
    return;
  offers_message = marjoram_alloc (sizeof *offers_message);
  marjoram_router_build_offers (from->router, world_now_ms (world), to->zone,
                                &offers_message->offers);
  offers_message->to = to;
  offers_message->from = from->zone;
  world_schedule (world,
                  world->now_us + world_link_us (world, from->zone, to->zone),
                  deliver_offers, offers_message, 0);
}

static void
on_tick (struct world *world, void *object, int number)
{
  struct host *host = object;
  int64_t now = world_now_ms (world);

  marjoram_members_tick (host->members, now, NULL, NULL);
  for (int i = 0; i < world->slots; i++)
    if (i != number)
      marjoram_members_record_heartbeat (host->members, now, i, 1, false);
  for (int i = 0; world->options.policy == WORLD_ROUTER && i < world->zones;
       i++)
    for (int j = 0; j < world->slots; j++)
      send_offers (world, host, &world->hosts[i][j]);
  world_schedule (world, world->now_us + (int64_t)WORLD_TICK_MS * WORLD_US,
                  on_tick, host, number);
}

/* Scheduled changes.  */

static void
on_kill_engine (struct world *world, void *object, int number)
{
  struct engine *engine = object;

  (void)number;
  engine->up = false;
  batch_reset (engine->batch);
  /* Fail all attempts pending on the engine.  */
  for (struct attempt *a = world->all_attempts; a; a = a->next_attempt)
    if (a->engine == engine && a->request->attempts == a->number
        && !a->request->done_us && a->job.arrived_us && a->job.decode_left > 0)
      world_failed (world, a);
}

static void
on_start_engine (struct world *world, void *object, int number)
{
  struct engine *engine = object;

  (void)number;
  engine->up = true;
  engine->incarnation++;
  engine->sequence = 0;
  send_report (world, engine, (int)engine->incarnation);
}

static void
on_slow_engine (struct world *world, void *object, int number)
{
  struct engine *engine = object;

  (void)world;
  batch_set_slowness (engine->batch, number / 100.0);
}

static void
on_cut (struct world *world, void *object, int number)
{
  *(bool *)object = number != 0;
  (void)world;
}

void
world_kill_engine (struct world *world, int64_t at_us, int zone, int engine)
{
  world_schedule (world, at_us, on_kill_engine, &world->engines[zone][engine],
                  0);
}

void
world_start_engine (struct world *world, int64_t at_us, int zone, int engine)
{
  world_schedule (world, at_us, on_start_engine, &world->engines[zone][engine],
                  0);
}

void
world_slow_engine (struct world *world, int64_t at_us, int zone, int engine,
                   double slowness)
{
  world_schedule (world, at_us, on_slow_engine, &world->engines[zone][engine],
                  (int)(slowness * 100));
}

void
world_cut (struct world *world, int64_t at_us, int zone, bool cut)
{
  world_schedule (world, at_us, on_cut, &world->cut[zone], cut);
}

static void
create_host (struct world *world, int zone, int slot)
{
  struct host *host = &world->hosts[zone][slot];
  const char *name = marjoram_config_zone (world->config, zone)->name;

  host->zone = zone;
  host->random = marjoram_random_create (
      world->options.seed * 1000 + (uint64_t)(zone * WORLD_SLOTS_MAX + slot)
      + 1);
  host->members = marjoram_members_create (name, slot);
  host->router
      = marjoram_router_create (name, host->members, NULL, host->random);
  marjoram_router_configure (host->router, 0, world->config);
  /* Spread the hosts' ticks over the tick interval.  */
  world_schedule (
      world,
      (int64_t)marjoram_random_below (world->random, WORLD_TICK_MS * WORLD_US),
      on_tick, host, slot);
}

static void
create_engine (struct world *world, int zone, int index)
{
  struct engine *engine = &world->engines[zone][index];

  snprintf (engine->name, sizeof engine->name, "e%d-%d", zone, index);
  engine->batch = batch_create (&world->options.batch);
  engine->ended
      = marjoram_alloc ((size_t)world->options.batch.slots * sizeof (void *));
  engine->zone = zone;
  engine->index = index;
  world_schedule (
      world,
      (int64_t)marjoram_random_below (
          world->random, (uint32_t)world->options.report_ms * WORLD_US),
      on_start_engine, engine, 0);
}

struct world *
world_create (const struct world_options *options)
{
  struct world *world = marjoram_alloc (sizeof *world);

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
drop_event (struct world *world, const struct event *event)
{
  (void)world;
  if (event->run == deliver_offers)
    {
      struct offers_message *offers_message = event->object;

      marjoram_wire_clear (&marjoram_offers_layout, &offers_message->offers);
      free (offers_message);
    }
  else if (event->run == deliver_report)
    {
      struct report *report = event->object;

      marjoram_wire_clear (&marjoram_announcement_layout,
                           &report->announcement);
      free (report);
    }
}

void
world_destroy (struct world *world)
{
  for (size_t i = 0; i < world->event_count; i++)
    drop_event (world, &world->events[i]);
  while (world->all_attempts)
    {
      struct attempt *next = world->all_attempts->next_attempt;

      free (world->all_attempts);
      world->all_attempts = next;
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
world_run (struct world *world, struct world_request *requests, size_t count,
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
          world_schedule (world, requests[sent].at_us + WORLD_CALLER_US,
                          world_send, &requests[sent], 0);
          sent++;
        }
      event = pop_event (world);
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
world_prefilled (const struct world *world)
{
  int64_t sum = 0;

  for (int i = 0; i < world->zones; i++)
    for (int j = 0; j < world->options.engines[i]; j++)
      sum += batch_prefilled (world->engines[i][j].batch);
  return sum;
}

int64_t
world_limited (const struct world *world, int caller)
{
  return world->limited[caller];
}

int
world_peak (const struct world *world, int zone, int engine)
{
  return world->engines[zone][engine].peak;
}
