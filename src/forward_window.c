#include "forward_window.h"

#include "cleanup.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  KEY_MAX = 256,     /* bytes, with the NUL */
  LIMIT_MIN = 1,     /* request */
  THRESHOLD_MIN = 4, /* requests */
  /* Pauses after refusals at the lowest limit, doubled with each in a row.
     Callers that are refused come back after the first at the earliest.  */
  PROBE_MIN_MS = 250,
  PROBE_MAX_MS = 1000,
  /* Idle windows are forgotten after this time, which bounds their number.  */
  FORGET_MS = 10000
};

/* Growth of the limit with each request that begins in time, above the limit
   at which one was refused: it doubles within some round trips.  */
#define GROWTH 0.25
#define OPTIONAL_SHARE 0.5
#define COSTLY_SHARE 0.75
/* Weight of a new sample in the mean cost.  */
#define COST_SMOOTHING 0.1
/* Weight of a new sample in the mean time beyond the expected one, and in its
   mean deviation, and the deviations after which a request is late.  */
#define EXCESS_SMOOTHING 0.125
#define DEVIATION_SMOOTHING 0.25
#define DEVIATIONS_MAX 4
/* Differences in cost below this are not significant.  */
#define COST_TOLERANCE_MS 1.0

struct marjoram_forward_window
{
  char key[KEY_MAX];
  char *region;
  char *service;
  TAILQ_HEAD (, marjoram_forwarded_request) requests; /* oldest first */
  int64_t in_flight;
  int64_t peak;      /* most in flight in this round trip */
  int64_t last_peak; /* likewise in the one before */
  int64_t round_at;  /* start of this round trip */
  double limit;
  double threshold; /* below it each request that begins adds one */
  double mean_move_ms;
  bool has_times; /* EXCESS_MS and DEVIATION_MS are known */
  double excess_ms;
  double deviation_ms;
  int64_t halved_at;
  int64_t heard_at; /* last first event or refusal */
  int64_t used_at;  /* last request sent or ended */
  int64_t probe_ms; /* pause after the next refusal at the lowest limit */
  int64_t probe_at; /* no request before */
  UT_hash_handle hh;
};

struct marjoram_forward_windows
{
  struct marjoram_forward_window *by_key;
};

static void
destroy_window (struct marjoram_forward_windows *windows,
                struct marjoram_forward_window *window)
{
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, windows->by_key, window);
  free (window->region);
  free (window->service);
  free (window);
}

marjoram_forward_windows *
marjoram_forward_windows_create (void)
{
  return marjoram_alloc (sizeof (marjoram_forward_windows));
}

void
marjoram_forward_windows_destroy (marjoram_forward_windows *windows)
{
  struct marjoram_forward_window *window;
  struct marjoram_forward_window *next;

  if (!windows)
    return;
  HASH_ITER (hh, windows->by_key, window, next)
  {
    destroy_window (windows, window);
  }
  free (windows);
}

/* Neither names of regions nor of services have line feeds.  */
static void
make_key (const char *region, const char *service, char key[KEY_MAX])
{
  snprintf (key, KEY_MAX, "%s\n%s", region, service);
}

static struct marjoram_forward_window *
find_window (const marjoram_forward_windows *windows, const char *region,
             const char *service)
{
  struct marjoram_forward_window *window;
  char key[KEY_MAX];

  make_key (region, service, key);
  HASH_FIND_STR (windows->by_key, key, window);
  return window;
}

static struct marjoram_forward_window *
find_or_add (marjoram_forward_windows *windows, int64_t now,
             const char *region, const char *service, double move_ms)
{
  struct marjoram_forward_window *window
      = find_window (windows, region, service);

  if (window)
    return window;
  window = marjoram_alloc (sizeof *window);
  make_key (region, service, window->key);
  window->region = marjoram_strdup (region);
  window->service = marjoram_strdup (service);
  window->limit = MARJORAM_FORWARD_LIMIT_START;
  window->threshold = MARJORAM_FORWARD_LIMIT_MAX;
  window->mean_move_ms = move_ms;
  window->halved_at = INT64_MIN;
  window->probe_ms = PROBE_MIN_MS;
  window->heard_at = now;
  TAILQ_INIT (&window->requests);
  HASH_ADD_STR (windows->by_key, key, window);
  return window;
}

/* The part of LIMIT that a request may use.  */
static double
usable_limit (double limit, double mean_move_ms,
              const struct marjoram_forward_need *need)
{
  double share = 1;

  if (need->optional)
    share = OPTIONAL_SHARE;
  else if (need->move_ms > mean_move_ms + COST_TOLERANCE_MS)
    share = COSTLY_SHARE;
  return fmax (LIMIT_MIN, ceil (floor (limit) * share));
}

bool
marjoram_forward_windows_has_room (const marjoram_forward_windows *windows,
                                   int64_t now, const char *region,
                                   const char *service,
                                   const struct marjoram_forward_need *need)
{
  const struct marjoram_forward_window *window
      = find_window (windows, region, service);

  return !window
         || (now >= window->probe_at
             && (double)window->in_flight < usable_limit (
                    window->limit, window->mean_move_ms, need));
}

static void
forget_times (struct marjoram_forward_window *window)
{
  window->has_times = false;
  window->excess_ms = 0;
  window->deviation_ms = 0;
}

static void
learn_time (struct marjoram_forward_window *window,
            const struct marjoram_forwarded_request *request, int64_t now)
{
  const double excess_ms
      = (double)(now - request->sent_at - request->expected_ms);
  const double error_ms = excess_ms - window->excess_ms;

  if (!window->has_times)
    {
      window->has_times = true;
      window->excess_ms = excess_ms;
      window->deviation_ms = fabs (excess_ms) / 2;
      return;
    }
  window->excess_ms += EXCESS_SMOOTHING * error_ms;
  window->deviation_ms
      += DEVIATION_SMOOTHING * (fabs (error_ms) - window->deviation_ms);
}

/* Time by which requests begin, but for few.  */
static int64_t
usual_ms (const struct marjoram_forward_window *window, int64_t expected_ms)
{
  const double ms = (double)expected_ms + fmax (window->excess_ms, 0);

  return (int64_t)(ms + fmax (ms, DEVIATIONS_MAX * window->deviation_ms));
}

/* After a time without requests nothing is known of the region.  */
static void
restart_if_unused (struct marjoram_forward_window *window, int64_t now)
{
  if (window->in_flight > 0
      || now < window->heard_at + MARJORAM_FORWARD_SILENCE_MS)
    return;
  window->limit = fmin (window->limit, MARJORAM_FORWARD_LIMIT_START);
  window->peak = window->last_peak = 0;
  window->heard_at = now;
  forget_times (window);
}

void
marjoram_forward_windows_sent (marjoram_forward_windows *windows, int64_t now,
                               const char *region, const char *service,
                               const struct marjoram_forward_need *need,
                               int64_t expected_ms, int64_t time_left_ms,
                               struct marjoram_forwarded_request *request)
{
  struct marjoram_forward_window *window
      = find_or_add (windows, now, region, service, need->move_ms);

  marjoram_forwarded_request_cancelled (request);
  restart_if_unused (window, now);
  if (!need->optional)
    window->mean_move_ms
        += COST_SMOOTHING * (need->move_ms - window->mean_move_ms);
  request->window = window;
  request->sent_at = now;
  request->expected_ms = expected_ms;
  request->usual_at = now + usual_ms (window, expected_ms);
  request->due_at = now + time_left_ms > request->usual_at ? now + time_left_ms
                                                           : request->usual_at;
  request->late = false;
  window->in_flight++;
  if (window->in_flight > window->peak)
    window->peak = window->in_flight;
  window->used_at = now;
  TAILQ_INSERT_TAIL (&window->requests, request, link);
}

static void
remove_request (struct marjoram_forwarded_request *request)
{
  struct marjoram_forward_window *window = request->window;

  TAILQ_REMOVE (&window->requests, request, link);
  window->in_flight--;
  request->window = NULL;
}

/* Requests that were sent before the last halving say nothing new: they were
   under way at the same time as the one that caused it.  */
static void
halve (struct marjoram_forward_window *window, int64_t now, int64_t sent_at)
{
  if (sent_at < window->halved_at)
    return;
  window->limit = fmax (LIMIT_MIN, window->limit / 2);
  window->threshold = fmax (window->limit, THRESHOLD_MIN);
  window->halved_at = now;
}

/* A round trip ends with the first event of a request that was sent in it.  */
static void
count_round (struct marjoram_forward_window *window, int64_t now,
             int64_t sent_at)
{
  if (sent_at < window->round_at)
    return;
  window->last_peak = window->peak;
  window->peak = window->in_flight;
  window->round_at = now;
}

/* A limit that is not used has not been shown to be accepted.  */
static bool
is_used (const struct marjoram_forward_window *window)
{
  const int64_t peak
      = window->peak > window->last_peak ? window->peak : window->last_peak;

  return (double)peak >= ceil (floor (window->limit) * OPTIONAL_SHARE);
}

static void
grow (struct marjoram_forward_window *window)
{
  if (!is_used (window))
    return;
  window->limit += window->limit < window->threshold
                       ? 1
                       : fmax (1 / window->limit, GROWTH);
  window->limit = fmin (window->limit, MARJORAM_FORWARD_LIMIT_MAX);
}

void
marjoram_forwarded_request_began (struct marjoram_forwarded_request *request,
                                  int64_t now)
{
  struct marjoram_forward_window *window = request->window;

  if (!window)
    return;
  window->heard_at = window->used_at = now;
  count_round (window, now, request->sent_at);
  learn_time (window, request, now);
  if (request->late || now > request->due_at)
    halve (window, now, request->sent_at);
  else if (now <= request->usual_at)
    {
      window->probe_ms = PROBE_MIN_MS;
      grow (window);
    }
  remove_request (request);
}

static void
pause_probes (struct marjoram_forward_window *window, int64_t now)
{
  window->probe_at = now + window->probe_ms;
  if (window->probe_ms < PROBE_MAX_MS)
    window->probe_ms *= 2;
}

void
marjoram_forwarded_request_refused (struct marjoram_forwarded_request *request,
                                    int64_t now)
{
  struct marjoram_forward_window *window = request->window;

  if (!window)
    return;
  window->heard_at = window->used_at = now;
  halve (window, now, request->sent_at);
  if (window->limit < LIMIT_MIN + 1 && now >= window->probe_at)
    pause_probes (window, now);
  remove_request (request);
}

void
marjoram_forwarded_request_lost (struct marjoram_forwarded_request *request,
                                 int64_t now)
{
  if (!request->window)
    return;
  request->window->used_at = now;
  halve (request->window, now, request->sent_at);
  remove_request (request);
}

void
marjoram_forwarded_request_cancelled (
    struct marjoram_forwarded_request *request)
{
  if (request->window)
    remove_request (request);
}

static void
find_late (struct marjoram_forward_window *window, int64_t now)
{
  struct marjoram_forwarded_request *request;

  TAILQ_FOREACH (request, &window->requests, link)
  if (!request->late && now > request->due_at)
    {
      request->late = true;
      halve (window, now, request->sent_at);
    }
}

/* Whether a region has said nothing for long, although a request should have
   begun.  */
static bool
is_silent (const struct marjoram_forward_window *window, int64_t now)
{
  const struct marjoram_forwarded_request *oldest
      = TAILQ_FIRST (&window->requests);

  return oldest && now > oldest->usual_at
         && now >= oldest->sent_at + MARJORAM_FORWARD_SILENCE_MS
         && now >= window->heard_at + MARJORAM_FORWARD_SILENCE_MS;
}

void
marjoram_forward_windows_tick (marjoram_forward_windows *windows, int64_t now)
{
  struct marjoram_forward_window *window;
  struct marjoram_forward_window *next;

  HASH_ITER (hh, windows->by_key, window, next)
  {
    find_late (window, now);
    if (is_silent (window, now))
      {
        window->limit = LIMIT_MIN;
        window->threshold = MARJORAM_FORWARD_LIMIT_MAX;
        window->halved_at = now;
        forget_times (window);
      }
    restart_if_unused (window, now);
    if (window->in_flight == 0 && now >= window->used_at + FORGET_MS)
      destroy_window (windows, window);
  }
}

void
marjoram_forward_windows_visit (const marjoram_forward_windows *windows,
                                marjoram_forward_visit visit, void *context)
{
  const struct marjoram_forward_window *window;
  const struct marjoram_forward_window *next;

  HASH_ITER (hh, windows->by_key, window, next)
  {
    visit (context, window->region, window->service, (int64_t)window->limit,
           window->in_flight);
  }
}
