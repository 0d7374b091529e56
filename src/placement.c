#include "placement_private.h"

#include "cleanup.h"

#include <string.h>

/* Initial estimate of an engine's prefill speed, in tokens per ms.  */
#define FIRST_SPEED 40.0
/* Weight of a new sample in the moving means.  */
#define LEARN 0.1
/* The same for first-event delays, which must adapt within a few requests.  */
#define LEARN_LATE 0.3
/* Share of lower-priority unread tokens that delay an urgent request: it is
   scheduled ahead of queued prompts but not of those in prefill.  */
#define LOWER_SHARE 0.3

enum
{
  /* Initial estimate of a request's duration.  */
  FIRST_TIME_MS = 20,
  /* Backoff after an upstream reports that it is at capacity.  */
  FULL_PAUSE_MS = 50,
  /* Backoff after a connection failure, doubled on each failure up to
     UNREACHED_DOUBLINGS times.  */
  UNREACHED_PAUSE_MS = 300,
  UNREACHED_DOUBLINGS = 4,
  /* Consecutive broken responses after which the upstream is suspected.  */
  BROKEN_IN_ROW = 3,
  DOUBT_MS = 500,
  /* Shortest prompt, in tokens, used to measure prefill speed.  */
  SPEED_TOKENS_MIN = 1500
};

marjoram_placement *
marjoram_placement_create (const struct marjoram_placement_options *options)
{
  marjoram_placement *placement = marjoram_alloc (sizeof *placement);

  placement->options = *options;
  placement->host = marjoram_strdup (options->host);
  placement->region = marjoram_strdup (options->region);
  STAILQ_INIT (&placement->placed);
  TAILQ_INIT (&placement->reporters_by_age);
  return placement;
}

/* ---- Records.  ---- */

struct marjoram_spot *
marjoram_spot_find (marjoram_placement *placement, const char *id)
{
  struct marjoram_spot *spot;

  HASH_FIND_STR (placement->spots, id, spot);
  if (spot)
    return spot;
  spot = marjoram_alloc (sizeof *spot);
  spot->id = marjoram_strdup (id);
  spot->memory = marjoram_engine_memory_create ();
  spot->born = MARJORAM_BORN_UNKNOWN;
  spot->group = marjoram_load_group (id);
  TAILQ_INIT (&spot->unanswered);
  HASH_ADD_KEYPTR (hh, placement->spots, spot->id, strlen (spot->id), spot);
  return spot;
}

static void
forget_spot (marjoram_placement *placement, struct marjoram_spot *spot)
{
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, placement->spots, spot);
  marjoram_engine_memory_destroy (spot->memory);
  free (spot->id);
  free (spot);
}

static void
forget_attempt (marjoram_placement *placement,
                struct marjoram_placed_attempt *attempt)
{
  HASH_DELETE (hh, placement->attempts, attempt);
  free (attempt->service);
  free (attempt);
}

void
marjoram_placement_forget_placed (marjoram_placement *placement)
{
  struct marjoram_placed_item *placed;

  while ((placed = STAILQ_FIRST (&placement->placed)))
    {
      STAILQ_REMOVE_HEAD (&placement->placed, link);
      free (placed);
    }
}

void
marjoram_placement_destroy (marjoram_placement *placement)
{
  struct marjoram_placed_attempt *attempt;
  struct marjoram_placed_attempt *next_attempt;
  struct marjoram_spot *spot;
  struct marjoram_spot *next_spot;
  struct marjoram_service_speed *speed;
  struct marjoram_service_speed *next_speed;

  if (!placement)
    return;
  HASH_ITER (hh, placement->attempts, attempt, next_attempt)
  {
    forget_attempt (placement, attempt);
  }
  marjoram_placement_forget_placed (placement);
  while (!TAILQ_EMPTY (&placement->reporters_by_age))
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    marjoram_reporter_destroy (placement,
                               TAILQ_FIRST (&placement->reporters_by_age));
  HASH_ITER (hh, placement->spots, spot, next_spot)
  {
    forget_spot (placement, spot);
  }
  HASH_ITER (hh, placement->speeds, speed, next_speed)
  {
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, placement->speeds, speed);
    free (speed->service);
    free (speed);
  }
  free (placement->host);
  free (placement->region);
  free (placement);
}

struct marjoram_service_speed *
marjoram_placement_speed (marjoram_placement *placement, const char *service)
{
  struct marjoram_service_speed *speed;

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

/* Discards the state of an earlier instance of the same upstream.  */
static void
check_life (struct marjoram_spot *spot,
            const struct marjoram_registered *upstream)
{
  if (spot->born == upstream->news.born)
    return;
  /* Other hosts' reports may have filled the cache model before the upstream's
     first heartbeat.  */
  if (spot->born != MARJORAM_BORN_UNKNOWN)
    marjoram_engine_memory_clear (spot->memory);
  spot->born = upstream->news.born;
  spot->paused_until = 0;
  spot->unreached = 0;
  spot->broken = 0;
}

struct marjoram_spot *
marjoram_spot_of (marjoram_placement *placement,
                  const struct marjoram_registered *upstream)
{
  struct marjoram_spot *spot
      = marjoram_spot_find (placement, upstream->news.id);

  check_life (spot, upstream);
  return spot;
}

struct marjoram_spot_load_sum
marjoram_spot_load (const struct marjoram_spot *spot, int64_t now)
{
  struct marjoram_spot_load_sum sum = spot->own;
  const struct marjoram_spot_load_sum collected
      = marjoram_spot_collected (spot, now);

  marjoram_load_add (&sum, &spot->told, 1);
  marjoram_load_add (&sum, &collected, 1);
  return sum;
}

int64_t
marjoram_spot_kept (const struct marjoram_spot *spot,
                    const struct marjoram_call_facts *facts)
{
  int64_t kept = marjoram_engine_memory_kept (spot->memory, facts->parts,
                                              facts->part_count);

  return kept < facts->prompt_tokens ? kept : facts->prompt_tokens;
}

int64_t
marjoram_load_ahead (const struct marjoram_spot_load_sum *load, int priority)
{
  if (priority > 0)
    return load->unread;
  return load->urgent
         + (int64_t)(LOWER_SHARE * (double)(load->unread - load->urgent));
}

double
marjoram_answer_tokens (const struct marjoram_call_facts *facts)
{
  return (double)(facts->answer_tokens_hint > 0 ? facts->answer_tokens_hint
                                                : facts->answer_tokens_max);
}

/* ---- Attempt lifecycle.  ---- */

static void
use_part (marjoram_placement *placement, struct marjoram_spot *spot,
          const struct marjoram_prompt_part *part, int64_t capacity)
{
  struct marjoram_placed_item *placed = marjoram_alloc (sizeof *placed);

  marjoram_engine_memory_use (spot->memory, part->id, part->tokens, capacity);
  placed->spot = spot;
  placed->part = *part;
  STAILQ_INSERT_TAIL (&placement->placed, placed, link);
}

/* Earlier parts are needed for later ones to be usable, so they are marked as
   used last.  */
static void
use_parts (marjoram_placement *placement, struct marjoram_spot *spot,
           const struct marjoram_place_query *query, int64_t now)
{
  struct marjoram_spot_load_sum load = marjoram_spot_load (spot, now);
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
  struct marjoram_spot *spot = marjoram_spot_find (placement, upstream);
  struct marjoram_placed_attempt *attempt = marjoram_alloc (sizeof *attempt);
  struct marjoram_spot_load_sum load;

  marjoram_placement_forget_reports (placement, now);
  load = marjoram_spot_load (spot, now);
  attempt->number = number;
  attempt->spot = spot;
  attempt->service = marjoram_strdup (query->service->name);
  attempt->started_at = now;
  attempt->urgent = query->priority == 0;
  attempt->expected_ms = query->expected_ms;
  TAILQ_INSERT_TAIL (&spot->unanswered, attempt, link);
  if (query->service->has_engine)
    {
      attempt->unread = query->facts->prompt_tokens
                        - marjoram_spot_kept (spot, query->facts)
                        - query->copied_tokens;
      attempt->ahead = marjoram_load_ahead (&load, query->priority);
      attempt->answer = (int64_t)marjoram_answer_tokens (query->facts);
      attempt->held = attempt->unread + attempt->answer;
      use_parts (placement, spot, query, now);
    }
  spot->own.running++;
  spot->own.unread += attempt->unread;
  spot->own.urgent += attempt->urgent ? attempt->unread : 0;
  spot->own.held += attempt->held;
  spot->own.answer += attempt->answer;
  spot->cold_sent_at = now;
  HASH_ADD (hh, placement->attempts, number, sizeof attempt->number, attempt);
}

static struct marjoram_placed_attempt *
find_attempt (marjoram_placement *placement, uint64_t number)
{
  struct marjoram_placed_attempt *attempt;

  HASH_FIND (hh, placement->attempts, &number, sizeof number, attempt);
  return attempt;
}

static void
mark_read (struct marjoram_placed_attempt *attempt)
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

/* Tracks engines that are slower than the load model predicts.  */
static void
note_late (struct marjoram_placed_attempt *attempt, int64_t now)
{
  double late = (double)(now - attempt->started_at - attempt->expected_ms);

  attempt->spot->late_ms
      += LEARN_LATE * ((late > 0 ? late : 0) - attempt->spot->late_ms);
}

void
marjoram_placement_answering (marjoram_placement *placement, int64_t now,
                              uint64_t number)
{
  struct marjoram_placed_attempt *attempt = find_attempt (placement, number);
  struct marjoram_service_speed *speed;
  int64_t tokens;

  if (!attempt || attempt->answering)
    return;
  attempt->answering = true;
  TAILQ_REMOVE (&attempt->spot->unanswered, attempt, link);
  note_late (attempt, now);
  speed = marjoram_placement_speed (placement, attempt->service);
  tokens = attempt->unread + attempt->ahead;
  if (tokens >= SPEED_TOKENS_MIN && now > attempt->started_at)
    learn (&speed->tokens_per_ms,
           (double)tokens / (double)(now - attempt->started_at));
  mark_read (attempt);
}

void
marjoram_placement_heard (marjoram_placement *placement, int64_t now,
                          uint64_t number)
{
  struct marjoram_placed_attempt *attempt = find_attempt (placement, number);

  if (attempt)
    attempt->spot->heard_at = now;
}

int64_t
marjoram_placement_heard_at (marjoram_placement *placement, uint64_t number)
{
  const struct marjoram_placed_attempt *attempt
      = find_attempt (placement, number);

  return attempt ? attempt->spot->heard_at : 0;
}

static void
pause_spot (struct marjoram_spot *spot, int64_t until)
{
  if (until > spot->paused_until)
    spot->paused_until = until;
}

static void
note_failure (struct marjoram_spot *spot, int64_t now,
              enum marjoram_attempt_end how)
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
        spot->doubted_until = now + DOUBT_MS;
      break;
    default:
      break;
    }
}

void
marjoram_placement_ended (marjoram_placement *placement, int64_t now,
                          uint64_t number, enum marjoram_attempt_end how)
{
  struct marjoram_placed_attempt *attempt = find_attempt (placement, number);
  struct marjoram_spot *spot;

  if (!attempt)
    return;
  spot = attempt->spot;
  if (!attempt->answering)
    TAILQ_REMOVE (&spot->unanswered, attempt, link);
  mark_read (attempt);
  spot->own.running--;
  spot->own.held -= attempt->held;
  spot->own.answer -= attempt->answer;
  if (how == MARJORAM_ATTEMPT_SERVED)
    {
      spot->unreached = 0;
      spot->broken = 0;
      learn (
          &marjoram_placement_speed (placement, attempt->service)->request_ms,
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
      struct marjoram_spot *spot
          = marjoram_spot_find (placement, upstream->news.id);

      spot->lost_at = now;
      spot->tell_lost = true;
    }
}

void
marjoram_placement_cold (marjoram_placement *placement, int64_t now,
                         const char *upstream, int64_t cold_ms)
{
  marjoram_spot_find (placement, upstream)->cold_until = now + cold_ms;
}

/* Marks the zone's upstreams as disconnected, so that they count as cold only
   until their next heartbeat.  */
void
marjoram_placement_restored (marjoram_placement *placement, int64_t now,
                             const char *zone)
{
  struct marjoram_registered *upstream;

  TAILQ_FOREACH (upstream, marjoram_registry_all (placement->options.registry),
                 link)
  if (strcmp (upstream->news.zone, zone) == 0)
    marjoram_spot_find (placement, upstream->news.id)->lost_at = now;
}

void
marjoram_placement_keeps (marjoram_placement *placement, const char *upstream,
                          const struct marjoram_prompt_part *parts,
                          size_t count)
{
  struct marjoram_spot *spot = marjoram_spot_find (placement, upstream);

  for (size_t i = 0; i < count; i++)
    marjoram_engine_memory_use (spot->memory, parts[i].id, parts[i].tokens,
                                INT64_MAX);
}

static bool
is_in_use (const struct marjoram_placement *placement,
           const struct marjoram_spot *spot)
{
  return spot->own.running > 0 || spot->tellers > 0
         || marjoram_registry_find (placement->options.registry, spot->id);
}

/* Drops endpoints that are no longer registered, once nothing runs there and
   no placed part is waiting to be reported.  */
void
marjoram_placement_tick (marjoram_placement *placement, int64_t now)
{
  struct marjoram_spot *spot;
  struct marjoram_spot *next;

  marjoram_placement_forget_reports (placement, now);
  if (!STAILQ_EMPTY (&placement->placed))
    return;
  HASH_ITER (hh, placement->spots, spot, next)
  {
    if (!is_in_use (placement, spot))
      forget_spot (placement, spot);
  }
}