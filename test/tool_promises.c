/* Callers and misbehaving upstreams of a gateway that runs elsewhere.  Counts
   by request what ran beside what callers were told, prints each broken rule
   and at last one line of counts.  Fails if a rule was broken.  */
#include "cleanup.h"
#include "clock.h"
#include "lib_judged_caller.h"
#include "lib_odd_upstream.h"

#include <event2/event.h>
#include <getopt.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  UPSTREAMS_MAX = 64,
  NAME_MAX_BYTES = 32,
  JUDGE_MS = 500,
  /* After an answer, until its request counts as not run.  */
  KEEP_MS = 4000,
  SETTLE_MS = 8000, /* after the last request */
  DEFAULT_CALLERS = 40,
  DEFAULT_SECONDS = 20,
  DEFAULT_PAUSE_MS = 100,
  DEFAULT_PERCENT = 30,
  DEFAULT_DEADLINE_MIN_MS = 200,
  DEFAULT_DEADLINE_MAX_MS = 3000,
  DEFAULT_LEAVE_PERCENT = 3,
  MSEC_PER_SEC = 1000
};

struct program
{
  struct event_base *base;
  marjoram_random *random;
  struct run_ledger *ledger;
  struct judged_callers *callers;
  struct judged_options asked;
  struct odd_upstream_options upstreams[UPSTREAMS_MAX];
  char names[UPSTREAMS_MAX][NAME_MAX_BYTES];
  int upstream_count;
  const char *behaviours;
  const char *keepers;
  int percent;
  int64_t seconds;
  int64_t delay_ms; /* before the first request */
  uint64_t seed;
};

static void
judge (struct program *program, int64_t keep_ms)
{
  run_ledger_judge (program->ledger,
                    marjoram_clock_now (marjoram_clock_system ()), keep_ms);
  fflush (stdout);
}

static void
on_judge (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  judge (context, KEEP_MS);
}

static void
on_settled (evutil_socket_t fd, short what, void *context)
{
  struct program *program = context;

  (void)fd;
  (void)what;
  judge (program, 0);
  event_base_loopbreak (program->base);
}

static void
on_asked (evutil_socket_t fd, short what, void *context)
{
  const struct timeval settle = marjoram_clock_timeval (SETTLE_MS);
  struct program *program = context;

  (void)fd;
  (void)what;
  judged_callers_stop (program->callers);
  event_base_once (program->base, -1, EV_TIMEOUT, on_settled, program,
                   &settle);
}

static void
on_start (evutil_socket_t fd, short what, void *context)
{
  struct program *program = context;
  const struct timeval end
      = marjoram_clock_timeval (program->seconds * MSEC_PER_SEC);

  (void)fd;
  (void)what;
  program->callers = judged_callers_start (program->base, program->random,
                                           program->ledger, &program->asked);
  event_base_once (program->base, -1, EV_TIMEOUT, on_asked, program, &end);
}

/* Parses "ZONE=IP:PORT,...".  */
static bool
add_upstreams (struct program *program, char *list)
{
  char *one;

  while ((one = strsep (&list, ",")))
    {
      char *address = strchr (one, '=');
      struct odd_upstream_options *options
          = &program->upstreams[program->upstream_count];

      if (!address || program->upstream_count == UPSTREAMS_MAX)
        return false;
      *address++ = '\0';
      snprintf (program->names[program->upstream_count], NAME_MAX_BYTES,
                "odd%d", program->upstream_count);
      options->id = program->names[program->upstream_count++];
      options->service = "app";
      options->zone = one;
      options->address = address;
    }
  return true;
}

static bool
read_options (struct program *program, int argc, char **argv)
{
  static const struct option options[]
      = { { "entries", required_argument, NULL, 'e' },
          { "keepers", required_argument, NULL, 'k' },
          { "upstreams", required_argument, NULL, 'u' },
          { "behaviours", required_argument, NULL, 'b' },
          { "percent", required_argument, NULL, 'p' },
          { "callers", required_argument, NULL, 'c' },
          { "pause-ms", required_argument, NULL, 'w' },
          { "seconds", required_argument, NULL, 's' },
          { "delay-ms", required_argument, NULL, 'd' },
          { "deadline-min-ms", required_argument, NULL, 'm' },
          { "deadline-max-ms", required_argument, NULL, 'x' },
          { "leave-percent", required_argument, NULL, 'l' },
          { "again-percent", required_argument, NULL, 'a' },
          { "seed", required_argument, NULL, 'r' },
          { "list", no_argument, NULL, 'L' },
          { NULL, 0, NULL, 0 } };
  int option;

  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    switch (option)
      {
      case 'e':
        program->asked.entries = optarg;
        break;
      case 'k':
        program->keepers = optarg;
        break;
      case 'u':
        if (!add_upstreams (program, optarg))
          return false;
        break;
      case 'b':
        program->behaviours = optarg;
        break;
      case 'p':
        program->percent = atoi (optarg);
        break;
      case 'c':
        program->asked.callers = atoi (optarg);
        break;
      case 'w':
        program->asked.pause_ms = atoi (optarg);
        break;
      case 's':
        program->seconds = atoi (optarg);
        break;
      case 'd':
        program->delay_ms = atoi (optarg);
        break;
      case 'm':
        program->asked.deadline_min_ms = atoi (optarg);
        break;
      case 'x':
        program->asked.deadline_max_ms = atoi (optarg);
        break;
      case 'l':
        program->asked.leave_percent = atoi (optarg);
        break;
      case 'a':
        program->asked.again_percent = atoi (optarg);
        break;
      case 'r':
        program->seed = strtoull (optarg, NULL, 10);
        break;
      case 'L':
        odd_upstream_list ();
        exit (EXIT_SUCCESS);
      default:
        return false;
      }
  return program->asked.entries && program->keepers
         && program->upstream_count > 0;
}

static bool
open_upstreams (struct program *program)
{
  for (int i = 0; i < program->upstream_count; i++)
    {
      struct odd_upstream_options *options = &program->upstreams[i];

      options->keepers = program->keepers;
      options->behaviours = program->behaviours;
      options->percent = program->percent;
      if (!odd_upstream_create (program->base, program->random,
                                program->ledger, options))
        {
          fprintf (stderr, "tool_promises: cannot listen on %s\n",
                   options->address);
          return false;
        }
    }
  return true;
}

static void
print_counts (const struct run_ledger *ledger)
{
  const struct ledger_counts *counts = run_ledger_counts (ledger);

  printf ("asked=%" PRIu64 " again=%" PRIu64 " served=%" PRIu64
          " failed=%" PRIu64 " refused=%" PRIu64 " unanswered=%" PRIu64
          " runs=%" PRIu64 " twice=%" PRIu64 " ran_refused=%" PRIu64
          " overlapped=%" PRIu64 " mixed=%" PRIu64 "\n",
          counts->asked, counts->asked_again, counts->served, counts->failed,
          counts->refused, counts->unanswered, counts->runs, counts->ran_twice,
          counts->ran_refused, counts->ran_overlapped, counts->mixed);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  struct program program
      = { .asked = { .callers = DEFAULT_CALLERS,
                     .pause_ms = DEFAULT_PAUSE_MS,
                     .deadline_min_ms = DEFAULT_DEADLINE_MIN_MS,
                     .deadline_max_ms = DEFAULT_DEADLINE_MAX_MS,
                     .leave_percent = DEFAULT_LEAVE_PERCENT },
          .percent = DEFAULT_PERCENT,
          .seconds = DEFAULT_SECONDS,
          .seed = 1 };
  const struct timeval judge_every = marjoram_clock_timeval (JUDGE_MS);
  struct timeval delay;
  struct event *judging;

  if (!read_options (&program, argc, argv))
    {
      fprintf (stderr, "usage: tool_promises --entries IP:PORT,... --keepers "
                       "IP:PORT,... --upstreams ZONE=IP:PORT,... "
                       "[--behaviours NAME,...] [--percent N] [--callers N] "
                       "[--pause-ms N] [--seconds N] [--delay-ms N] "
                       "[--deadline-min-ms N] [--deadline-max-ms N] "
                       "[--leave-percent N] [--again-percent N] [--seed N] "
                       "[--list]\n");
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  program.base = event_base_new ();
  program.random = marjoram_random_create (program.seed);
  program.ledger = run_ledger_create ();
  if (!open_upstreams (&program))
    return EXIT_FAILURE;
  delay = marjoram_clock_timeval (program.delay_ms);
  event_base_once (program.base, -1, EV_TIMEOUT, on_start, &program, &delay);
  judging = event_new (program.base, -1, EV_PERSIST, on_judge, &program);
  event_add (judging, &judge_every);
  event_base_dispatch (program.base);
  print_counts (program.ledger);
  _exit (run_ledger_violations (program.ledger) == 0
             ? EXIT_SUCCESS
             : EXIT_FAILURE); /* skips cleanup */
}
