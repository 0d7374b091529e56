#include "placement.h"

#include "cleanup.h"
#include "engine_memory.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* Tokens of a prompt that an engine reads in a ms, until it has shown its own
   speed; of the order of the engines in use.  */
#define FIRST_SPEED 40.0
/* Share that a new observation has in a mean of speed or time.  */
#define LEARN 0.1
/* Share of unread tokens of a lower priority that delay an urgent request: it
   is admitted before those that wait, not before those being read.  */
#define LOWER_SHARE 0.3
/* Reading a part once more takes memory from other parts beside the time, so
   unread tokens weigh more than the tokens of others ahead.  */
#define READ_WEIGHT 1.5
/* How much a mean failure share of 1 multiplies an upstream's cost.  */
#define FAILURE_WEIGHT 4.0

enum
{
  /* Until an upstream has shown its own time for a request.  */
  FIRST_TIME_MS = 20,
  /* Equal upstreams differ by up to this much in a way that all hosts agree
     on, so that all send the same prompt part to the same one.  */
  SPREAD_MS = 20,
  /* One that says it is full is left alone for about a request's time.  */
  FULL_PAUSE_MS = 50,
  UNREACHED_PAUSE_MS = 300,
  UNREACHED_DOUBLINGS = 4,
  /* Broken answers in a row, above which it is not one request's fault.  */
  BROKEN_IN_ROW = 3,
  BROKEN_PAUSE_MS = 500,
  /* A heartbeat this much younger than a broken connection was sent after it,
     and tells whether its sender is cold.  */
  NEWS_DELAY_MS = 300,
  COLD_COST_MS = 100,
  BACKLOG_MAX_MS = 80,
  /* A report of a host that is silent for longer counts no more.  */
  REPORT_VALID_MS = 2000,
  RETRY_SOON_MS = 250,
  MSEC_PER_SEC = 1000,
  /* Shortest prompt that tells an engine's speed.  */
  SPEED_TOKENS_MIN = 1500
};

struct load
{
  int64_t running;
  int64_t unread;
  int64_t urgent;
  int64_t held;
};

/* What another host has running at a spot.  */
struct told_load
{
  TAILQ_ENTRY (told_load) link;
  char *host;
  int64_t at;
  struct load load;
};

/* What is known of one upstream beside the registry.  */
struct spot
{
  char *id;
  struct load own;
  TAILQ_HEAD (, told_load) told;
  marjoram_engine_memory *memory;
  int64_t capacity; /* tokens, of the engine's memory; 0 until it is known */
  int64_t born;     /* of the life that MEMORY is of */
  int64_t paused_until;
  int64_t lost_at;  /* 0 if its connections never broke */
  int64_t wrong_at; /* another one had its address */
  int64_t cold_until;
  int64_t cold_sent_at;
  int unreached;
  int broken;
  double failure_share;
  bool tell_lost;
  UT_hash_handle hh;
};

struct attempt
{
  uint64_t number;
  struct spot *spot;
  char *service;
  int64_t started_at;
  int64_t unread;
  int64_t ahead; /* unread tokens before it, when it was sent */
  int64_t held;
  bool urgent;
  bool answering;
  UT_hash_handle hh;
};

/* Means of one service's upstreams.  */
struct service_speed
{
  char *service;
  double tokens_per_ms;
  double request_ms;
  UT_hash_handle hh;
};

struct placed
{
  STAILQ_ENTRY (placed) link;
  char *upstream;
  struct marjoram_prompt_part part;
};

struct marjoram_placement
{
  struct marjoram_placement_options options;
  char *host; /* this host's name; outlives the settings */
  char *region;
  struct spot *spots;
  struct attempt *attempts;
  struct service_speed *speeds;
  STAILQ_HEAD (, placed) placed; /* since the last report */
};

marjoram_placement *
marjoram_placement_create (const struct marjoram_placement_options *options)
{
  marjoram_placement *placement = marjoram_alloc (sizeof *placement);

  placement->options = *options;
  placement->host = marjoram_strdup (options->host);
  placement->region = marjoram_strdup (options->region);
  STAILQ_INIT (&placement->placed);
  return placement;
}

/* ---- Records.  ---- */

static struct spot *
find_spot (marjoram_placement *placement, const char *id)
{
  struct spot *spot;

  HASH_FIND_STR (placement->spots, id, spot);
  if (spot)
    return spot;
  spot = marjoram_alloc (sizeof *spot);
  spot->id = marjoram_strdup (id);
  spot->memory = marjoram_engine_memory_create ();
  TAILQ_INIT (&spot->told);
  HASH_ADD_KEYPTR (hh, placement->spots, spot->id, strlen (spot->id), spot);
  return spot;
}

static void
forget_told (struct spot *spot, struct told_load *told)
{
  TAILQ_REMOVE (&spot->told, told, link);
  free (told->host);
  free (told);
}

static void
forget_spot (marjoram_placement *placement, struct spot *spot)
{
  HASH_DELETE (hh, placement->spots, spot);
  while (!TAILQ_EMPTY (&spot->told))
    forget_told (spot, TAILQ_FIRST (&spot->told));
  marjoram_engine_memory_destroy (spot->memory);
  free (spot->id);
  free (spot);
}

static void
forget_attempt (marjoram_placement *placement, struct attempt *attempt)
{
  HASH_DELETE (hh, placement->attempts, attempt);
  free (attempt->service);
  free (attempt);
}

static void
forget_placed (marjoram_placement *placement)
{
  struct placed *placed;

  while ((placed = STAILQ_FIRST (&placement->placed)))
    {
      STAILQ_REMOVE_HEAD (&placement->placed, link);
      free (placed->upstream);
      free (placed);
    }
}

void
marjoram_placement_destroy (marjoram_placement *placement)
{
  struct attempt *attempt;
  struct attempt *next_attempt;
  struct spot *spot;
  struct spot *next_spot;
  struct service_speed *speed;
  struct service_speed *next_speed;

  if (!placement)
    return;
  HASH_ITER (hh, placement->attempts, attempt, next_attempt)
  {
    forget_attempt (placement, attempt);
  }
  HASH_ITER (hh, placement->spots, spot, next_spot)
  {
    forget_spot (placement, spot);
  }
  HASH_ITER (hh, placement->speeds, speed, next_speed)
  {
    HASH_DELETE (hh, placement->speeds, speed);
    free (speed->service);
    free (speed);
  }
  forget_placed (placement);
  free (placement->host);
  free (placement->region);
  free (placement);
}

static struct service_speed *
find_speed (marjoram_placement *placement, const char *service)
{
  struct service_speed *speed;

  HASH_FIND_STR (placement->speeds, service, speed);
  if (speed)
    return speed;
  speed = marjoram_alloc (sizeof *speed);
  speed->service = marjoram_strdup (service);
  speed->tokens_per_ms = FIRST_SPEED;
  speed->request_ms = FIRST_TIME_MS;
  HASH_ADD_KEYPTR (hh, placement->speeds, speed->service,
                   strlen (speed->service), speed);
  return speed;
}

static struct load
whole_load (struct spot *spot, int64_t now)
{
  struct load sum = spot->own;
  struct told_load *told = TAILQ_FIRST (&spot->told);

  while (told)
    {
      struct told_load *next = TAILQ_NEXT (told, link);

      if (now - told->at > REPORT_VALID_MS)
        forget_told (spot, told);
      else
        {
          sum.running += told->load.running;
          sum.unread += told->load.unread;
          sum.urgent += told->load.urgent;
          sum.held += told->load.held;
        }
      told = next;
    }
  return sum;
}

/* ---- The choice.  ---- */

/* A start of the same upstream holds nothing of before.  */
static void
check_life (struct spot *spot, const struct marjoram_registered *upstream)
{
  if (spot->born == upstream->news.born)
    return;
  marjoram_engine_memory_clear (spot->memory);
  spot->born = upstream->news.born;
  spot->paused_until = 0;
  spot->unreached = 0;
  spot->broken = 0;
}

/* Connections that broke may mean that the upstream started anew under its old
   id, cold; sent at full rate before its next heartbeat says so, it would
   crash.  */
static bool
is_cold (const struct spot *spot, const struct marjoram_registered *upstream,
         const struct marjoram_service_rule *service, int64_t now)
{
  if (service->cold_per_s <= 0)
    return false;
  if (now < upstream->cold_until || now < spot->cold_until)
    return true;
  return spot->lost_at != 0
         && upstream->heard_at <= spot->lost_at + NEWS_DELAY_MS;
}

/* All hosts together must stay below the rate that a cold upstream bears, also
   if some are out of touch.  So one host alone feeds it; while two disagree on
   which of them it is, twice the rate is within what the bound allows.  */
static bool
may_feed (marjoram_placement *placement, const struct spot *spot,
          const struct marjoram_service_rule *service, int64_t now)
{
  const char *owner = marjoram_host_list_owner (placement->options.hosts, now,
                                                placement->region, spot->id);
  int64_t pause = (int64_t)(MSEC_PER_SEC / service->cold_per_s) + 1;

  return owner && strcmp (owner, placement->host) == 0
         && (spot->cold_sent_at == 0 || now - spot->cold_sent_at >= pause);
}

static bool
was_tried (const struct marjoram_place_query *query, const char *id)
{
  for (size_t i = 0; i < query->tried_count; i++)
    if (strcmp (query->tried[i], id) == 0)
      return true;
  return false;
}

static bool
is_candidate (marjoram_placement *placement,
              const struct marjoram_registered *upstream,
              const struct marjoram_place_query *query, int64_t now)
{
  const struct marjoram_placement_options *options = &placement->options;
  const char *region;

  if (strcmp (upstream->news.service, query->service->name) != 0
      || !marjoram_registry_usable (options->registry, upstream, now))
    return false;
  region = options->region_of (options->context, upstream->news.zone);
  return region && strcmp (region, placement->region) == 0
         && !options->is_evacuated (options->context, upstream->news.zone);
}

static int64_t
unread_tokens (const struct spot *spot,
               const struct marjoram_call_facts *facts)
{
  int64_t kept = marjoram_engine_memory_kept (spot->memory, facts->parts,
                                              facts->part_count);
  int64_t unread = facts->prompt_tokens - kept;

  return unread > 0 ? unread : 0;
}

static int64_t
tokens_ahead (const struct load *load, int priority)
{
  if (priority > 0)
    return load->unread;
  return load->urgent
         + (int64_t)(LOWER_SHARE * (double)(load->unread - load->urgent));
}

/* The same for all hosts, so that they agree where a shared part is kept: by
   the last part that requests share.  */
static int64_t
spread (const struct spot *spot, const struct marjoram_call_facts *facts)
{
  uint64_t key;
  size_t index = facts->part_count > 1 ? facts->part_count - 2 : 0;

  if (facts->part_count > 0)
    key = facts->parts[index].id;
  else
    key = XXH3_64bits (facts->id, strlen (facts->id));
  return (int64_t)(XXH3_64bits_withSeed (spot->id, strlen (spot->id), key)
                   % SPREAD_MS);
}

struct estimate
{
  double wait_ms;    /* to the first event or the answer */
  double cost_ms;    /* WAIT_MS and what the choice costs others */
  double backlog_ms; /* of prompts to read, this one included */
};

/* Above its slots an engine, or a plain upstream, takes one request for each
   that ends.  */
static double
queue_ms (const struct load *load, int64_t slots, double request_ms)
{
  if (slots <= 0 || load->running < slots)
    return 0;
  return (double)(load->running - slots + 1) * request_ms / (double)slots;
}

static struct estimate
estimate_engine (marjoram_placement *placement, struct spot *spot,
                 const struct marjoram_place_query *query, int64_t now)
{
  struct service_speed *speed = find_speed (placement, query->service->name);
  struct load load = whole_load (spot, now);
  double unread = (double)unread_tokens (spot, query->facts);
  double ahead = (double)tokens_ahead (&load, query->priority);
  struct estimate estimate;

  spot->capacity = query->service->engine.kv_capacity;
  estimate.backlog_ms = ahead / speed->tokens_per_ms;
  estimate.wait_ms
      = (ahead + unread) / speed->tokens_per_ms
        + queue_ms (&load, query->service->engine.slots, speed->request_ms);
  estimate.cost_ms
      = estimate.wait_ms + (READ_WEIGHT - 1) * unread / speed->tokens_per_ms;
  return estimate;
}

static struct estimate
estimate_plain (marjoram_placement *placement, struct spot *spot,
                const struct marjoram_registered *upstream,
                const struct marjoram_place_query *query, int64_t now)
{
  struct service_speed *speed = find_speed (placement, query->service->name);
  struct load load = whole_load (spot, now);
  int64_t slots = upstream->news.slots > 0 ? upstream->news.slots : 1;
  struct estimate estimate = { 0, 0, 0 };

  estimate.wait_ms
      = queue_ms (&load, slots, speed->request_ms) + speed->request_ms;
  estimate.cost_ms
      = estimate.wait_ms
        + (double)load.running * speed->request_ms / (double)slots;
  return estimate;
}

static struct estimate
estimate_spot (marjoram_placement *placement, struct spot *spot,
               const struct marjoram_registered *upstream,
               const struct marjoram_place_query *query, int64_t now)
{
  struct estimate estimate
      = query->service->has_engine
            ? estimate_engine (placement, spot, query, now)
            : estimate_plain (placement, spot, upstream, query, now);

  estimate.cost_ms *= 1 + FAILURE_WEIGHT * spot->failure_share;
  estimate.cost_ms += (double)spread (spot, query->facts);
  if (is_cold (spot, upstream, query->service, now))
    estimate.cost_ms += COLD_COST_MS;
  return estimate;
}

static bool
may_use (marjoram_placement *placement, struct spot *spot,
         const struct marjoram_registered *upstream,
         const struct marjoram_place_query *query, int64_t now)
{
  if (now < spot->paused_until
      || (spot->wrong_at != 0 && upstream->heard_at <= spot->wrong_at))
    return false;
  if (was_tried (query, spot->id) && !query->again)
    return false;
  return !is_cold (spot, upstream, query->service, now)
         || may_feed (placement, spot, query->service, now);
}

void
marjoram_placement_choose (marjoram_placement *placement, int64_t now,
                           const struct marjoram_place_query *query,
                           struct marjoram_place *place)
{
  struct marjoram_registered *upstream;
  struct estimate best = { 0, 0, 0 };
  bool any = false;

  memset (place, 0, sizeof *place);
  place->outcome = MARJORAM_PLACE_NONE;
  place->retry_ms = RETRY_SOON_MS;
  TAILQ_FOREACH (upstream, marjoram_registry_all (placement->options.registry),
                 link)
  {
    struct spot *spot;
    struct estimate estimate;

    if (!is_candidate (placement, upstream, query, now))
      continue;
    spot = find_spot (placement, upstream->news.id);
    check_life (spot, upstream);
    if (!may_use (placement, spot, upstream, query, now))
      continue;
    estimate = estimate_spot (placement, spot, upstream, query, now);
    if (was_tried (query, spot->id))
      estimate.cost_ms += (double)query->useful_ms;
    if (any && estimate.cost_ms >= best.cost_ms)
      continue;
    any = true;
    best = estimate;
    place->upstream = upstream;
  }
  if (!any)
    return;
  place->wait_ms = (int64_t)best.wait_ms;
  place->outcome
      = place->wait_ms <= query->useful_ms && best.backlog_ms <= BACKLOG_MAX_MS
            ? MARJORAM_PLACE_FOUND
            : MARJORAM_PLACE_BUSY;
  if (place->outcome == MARJORAM_PLACE_BUSY)
    place->retry_ms = place->wait_ms + RETRY_SOON_MS;
}

static void
raise_offer (struct marjoram_host_offer *offer, double wait_ms)
{
  if (offer->upstreams == 0 || (uint64_t)wait_ms < offer->wait_ms)
    offer->wait_ms = (uint64_t)wait_ms;
  offer->upstreams++;
}

void
marjoram_placement_offer (marjoram_placement *placement, int64_t now,
                          const struct marjoram_service_rule *service,
                          struct marjoram_host_offer *offer)
{
  const struct marjoram_call_facts nothing = { 0 };
  const struct marjoram_place_query query
      = { .service = service, .facts = &nothing, .priority = 1 };
  struct marjoram_registered *upstream;

  memset (offer, 0, sizeof *offer);
  offer->service = service->name;
  TAILQ_FOREACH (upstream, marjoram_registry_all (placement->options.registry),
                 link)
  {
    struct spot *spot;

    if (!is_candidate (placement, upstream, &query, now))
      continue;
    spot = find_spot (placement, upstream->news.id);
    if (now < spot->paused_until || is_cold (spot, upstream, service, now))
      continue;
    raise_offer (
        offer, estimate_spot (placement, spot, upstream, &query, now).wait_ms);
  }
}

/* ---- The course of attempts.  ---- */

static void
use_part (marjoram_placement *placement, struct spot *spot,
          const struct marjoram_prompt_part *part, int64_t capacity)
{
  struct placed *placed = marjoram_alloc (sizeof *placed);

  marjoram_engine_memory_use (spot->memory, part->id, part->tokens, capacity);
  placed->upstream = marjoram_strdup (spot->id);
  placed->part = *part;
  STAILQ_INSERT_TAIL (&placement->placed, placed, link);
}

/* Parts that come first must be kept for later ones to be of use, so they are
   used last.  */
static void
use_parts (marjoram_placement *placement, struct spot *spot,
           const struct marjoram_place_query *query, int64_t now)
{
  struct load load = whole_load (spot, now);
  int64_t capacity = query->service->engine.kv_capacity - load.held;

  for (size_t i = query->facts->part_count; i > 0; i--)
    use_part (placement, spot, &query->facts->parts[i - 1],
              capacity > 0 ? capacity : 0);
}

void
marjoram_placement_started (marjoram_placement *placement, int64_t now,
                            uint64_t number, const char *upstream,
                            const struct marjoram_place_query *query)
{
  struct spot *spot = find_spot (placement, upstream);
  struct attempt *attempt = marjoram_alloc (sizeof *attempt);
  struct load load = whole_load (spot, now);

  attempt->number = number;
  attempt->spot = spot;
  attempt->service = marjoram_strdup (query->service->name);
  attempt->started_at = now;
  attempt->urgent = query->priority == 0;
  if (query->service->has_engine)
    {
      attempt->unread = unread_tokens (spot, query->facts);
      attempt->ahead = tokens_ahead (&load, query->priority);
      attempt->held = attempt->unread + query->facts->answer_tokens_hint;
      use_parts (placement, spot, query, now);
    }
  spot->own.running++;
  spot->own.unread += attempt->unread;
  spot->own.urgent += attempt->urgent ? attempt->unread : 0;
  spot->own.held += attempt->held;
  spot->cold_sent_at = now;
  HASH_ADD (hh, placement->attempts, number, sizeof attempt->number, attempt);
}

static struct attempt *
find_attempt (marjoram_placement *placement, uint64_t number)
{
  struct attempt *attempt;

  HASH_FIND (hh, placement->attempts, &number, sizeof number, attempt);
  return attempt;
}

static void
mark_read (struct attempt *attempt)
{
  attempt->spot->own.unread -= attempt->unread;
  attempt->spot->own.urgent -= attempt->urgent ? attempt->unread : 0;
  attempt->unread = 0;
}

static void
learn (double *mean, double value)
{
  *mean += LEARN * (value - *mean);
}

void
marjoram_placement_answering (marjoram_placement *placement, int64_t now,
                              uint64_t number)
{
  struct attempt *attempt = find_attempt (placement, number);
  struct service_speed *speed;
  int64_t tokens;

  if (!attempt || attempt->answering)
    return;
  attempt->answering = true;
  speed = find_speed (placement, attempt->service);
  tokens = attempt->unread + attempt->ahead;
  if (tokens >= SPEED_TOKENS_MIN && now > attempt->started_at)
    learn (&speed->tokens_per_ms,
           (double)tokens / (double)(now - attempt->started_at));
  mark_read (attempt);
}

static void
pause_spot (struct spot *spot, int64_t until)
{
  if (until > spot->paused_until)
    spot->paused_until = until;
}

static void
note_failure (struct spot *spot, int64_t now, enum marjoram_attempt_end how)
{
  switch (how)
    {
    case MARJORAM_ATTEMPT_REFUSED:
      pause_spot (spot, now + FULL_PAUSE_MS);
      break;
    case MARJORAM_ATTEMPT_WRONG:
      spot->wrong_at = now;
      break;
    case MARJORAM_ATTEMPT_UNREACHED:
      pause_spot (spot, now + (UNREACHED_PAUSE_MS << spot->unreached));
      if (spot->unreached < UNREACHED_DOUBLINGS)
        spot->unreached++;
      break;
    case MARJORAM_ATTEMPT_BROKEN:
    case MARJORAM_ATTEMPT_SILENT:
      if (++spot->broken >= BROKEN_IN_ROW)
        pause_spot (spot, now + BROKEN_PAUSE_MS);
      break;
    default:
      break;
    }
}

void
marjoram_placement_ended (marjoram_placement *placement, int64_t now,
                          uint64_t number, enum marjoram_attempt_end how)
{
  struct attempt *attempt = find_attempt (placement, number);
  struct spot *spot;

  if (!attempt)
    return;
  spot = attempt->spot;
  mark_read (attempt);
  spot->own.running--;
  spot->own.held -= attempt->held;
  if (how == MARJORAM_ATTEMPT_SERVED)
    {
      spot->unreached = 0;
      spot->broken = 0;
      learn (&find_speed (placement, attempt->service)->request_ms,
             (double)(now - attempt->started_at));
    }
  else
    note_failure (spot, now, how);
  if (how != MARJORAM_ATTEMPT_CANCELLED && how != MARJORAM_ATTEMPT_REFUSED)
    learn (&spot->failure_share, how == MARJORAM_ATTEMPT_SERVED ? 0 : 1);
  forget_attempt (placement, attempt);
}

void
marjoram_placement_lost (marjoram_placement *placement, int64_t now,
                         const char *address)
{
  struct marjoram_registered *upstream;

  TAILQ_FOREACH (upstream, marjoram_registry_all (placement->options.registry),
                 link)
  if (strcmp (upstream->news.address, address) == 0
      && upstream->news.state == MARJORAM_NEWS_READY)
    {
      struct spot *spot = find_spot (placement, upstream->news.id);

      spot->lost_at = now;
      spot->tell_lost = true;
    }
}

void
marjoram_placement_cold (marjoram_placement *placement, int64_t now,
                         const char *upstream, int64_t cold_ms)
{
  find_spot (placement, upstream)->cold_until = now + cold_ms;
}

void
marjoram_placement_restored (marjoram_placement *placement, int64_t now,
                             const char *zone,
                             const struct marjoram_route_table *table)
{
  struct marjoram_registered *upstream;

  TAILQ_FOREACH (upstream, marjoram_registry_all (placement->options.registry),
                 link)
  {
    const struct marjoram_service_rule *service
        = marjoram_route_table_service (table, upstream->news.service);

    if (strcmp (upstream->news.zone, zone) == 0 && service)
      find_spot (placement, upstream->news.id)->cold_until
          = now + service->cold_ms;
  }
}

/* ---- Reports between hosts.  ---- */

static size_t
add_item (marjoram_placement *placement, struct marjoram_load_report *report,
          struct spot *spot)
{
  struct marjoram_load_item *items = report->items.items;

  (void)placement;
  for (size_t i = 0; i < report->items.count; i++)
    if (strcmp (items[i].upstream, spot->id) == 0)
      return i;
  items[report->items.count] = (struct marjoram_load_item){
    .upstream = marjoram_strdup (spot->id),
    .running = (uint64_t)spot->own.running,
    .unread_tokens = (uint64_t)spot->own.unread,
    .urgent_tokens = (uint64_t)spot->own.urgent,
    .held_tokens = (uint64_t)spot->own.held,
    .lost = spot->tell_lost,
  };
  spot->tell_lost = false;
  return report->items.count++;
}

static size_t
count_placed (const marjoram_placement *placement)
{
  const struct placed *placed;
  size_t count = 0;

  STAILQ_FOREACH (placed, &placement->placed, link)
  count++;
  return count < MARJORAM_PLACED_MAX ? count : MARJORAM_PLACED_MAX;
}

void
marjoram_placement_report (marjoram_placement *placement, int64_t now,
                           struct marjoram_load_report *report)
{
  size_t spots = HASH_COUNT (placement->spots);
  size_t parts = count_placed (placement);
  struct marjoram_placed_part *out = marjoram_alloc (parts * sizeof *out);
  struct spot *spot;
  struct spot *next;
  const struct placed *placed;

  (void)now;
  memset (report, 0, sizeof *report);
  report->items.items
      = marjoram_alloc (spots * sizeof (struct marjoram_load_item));
  report->placed.items = out;
  HASH_ITER (hh, placement->spots, spot, next)
  {
    if ((spot->own.running > 0 || spot->tell_lost)
        && report->items.count < MARJORAM_LOADS_MAX)
      add_item (placement, report, spot);
  }
  STAILQ_FOREACH (placed, &placement->placed, link)
  {
    if (report->placed.count == parts)
      break;
    out[report->placed.count++] = (struct marjoram_placed_part){
      placed->part.id, (uint64_t)placed->part.tokens,
      add_item (placement, report, find_spot (placement, placed->upstream))
    };
  }
  forget_placed (placement);
}

static void
hear_load (struct spot *spot, int64_t now, const char *host,
           const struct marjoram_load_item *item)
{
  struct told_load *told;

  TAILQ_FOREACH (told, &spot->told, link)
  if (strcmp (told->host, host) == 0)
    break;
  if (!told)
    {
      told = marjoram_alloc (sizeof *told);
      told->host = marjoram_strdup (host);
      TAILQ_INSERT_TAIL (&spot->told, told, link);
    }
  told->at = now;
  told->load
      = (struct load){ (int64_t)item->running, (int64_t)item->unread_tokens,
                       (int64_t)item->urgent_tokens,
                       (int64_t)item->held_tokens };
  if (item->lost)
    spot->lost_at = now;
}

static void
forget_reports_of (marjoram_placement *placement, const char *host)
{
  struct spot *spot;
  struct spot *next;

  HASH_ITER (hh, placement->spots, spot, next)
  {
    struct told_load *told;

    TAILQ_FOREACH (told, &spot->told, link)
    if (strcmp (told->host, host) == 0)
      {
        forget_told (spot, told);
        break;
      }
  }
}

void
marjoram_placement_hear (marjoram_placement *placement, int64_t now,
                         const char *host,
                         const struct marjoram_load_report *report)
{
  const struct marjoram_load_item *items = report->items.items;
  const struct marjoram_placed_part *placed = report->placed.items;

  /* A report names all that runs from its host: what it leaves out is over. */
  forget_reports_of (placement, host);
  for (size_t i = 0; i < report->items.count; i++)
    if (items[i].upstream)
      hear_load (find_spot (placement, items[i].upstream), now, host,
                 &items[i]);
  for (size_t i = 0; i < report->placed.count; i++)
    if (placed[i].upstream < report->items.count
        && items[placed[i].upstream].upstream)
      marjoram_engine_memory_use (
          find_spot (placement, items[placed[i].upstream].upstream)->memory,
          placed[i].part, (int64_t)placed[i].tokens,
          find_spot (placement, items[placed[i].upstream].upstream)->capacity);
}

/* Upstreams that the registry has forgotten are forgotten here too, once
   nothing of this host runs there.  */
void
marjoram_placement_tick (marjoram_placement *placement, int64_t now)
{
  struct spot *spot;
  struct spot *next;

  (void)now;
  HASH_ITER (hh, placement->spots, spot, next)
  {
    if (spot->own.running == 0
        && !marjoram_registry_find (placement->options.registry, spot->id))
      forget_spot (placement, spot);
  }
}
