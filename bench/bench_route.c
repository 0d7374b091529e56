/* Cost of routing at an entry host: decision time, memory and message sizes,
   each at three sizes or more.  */
#include "cleanup.h"
#include "config_spec.h"
#include "frame.h"
#include "route.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

enum
{
  DECISIONS = 200000,
  ROUNDS = 5,
  SLOTS = 16,
  NAME_SIZE = 40,
  CALLERS = 2600,
  PREFIXES = 5000
};

struct node
{
  marjoram_config *config;
  marjoram_members *members;
  marjoram_random *random;
  marjoram_router *router;
};

static double
now_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

static size_t
used_memory (void)
{
  return mallinfo2 ().uordblks;
}

static void
print (const char *name, int size, double value, const char *unit)
{
  printf ("metric=%s_%d value=%.1f unit=%s\n", name, size, value, unit);
}

static struct marjoram_announcement
announcement (char *name, uint64_t sequence, struct marjoram_work_name *works,
              size_t count)
{
  return (struct marjoram_announcement){
    .name = name,
    .incarnation = 1764000000000,
    .sequence = sequence,
    .zone = (char *)"r00-z00",
    .address = (char *)"127.3.50.10:9000",
    .engine = true,
    .slots = SLOTS,
    .lease_ms = 3000,
    .running = sequence % SLOTS,
    .works = { works, count },
  };
}

static void
announce_all (struct node *node, int64_t now, int upstreams, uint64_t sequence)
{
  struct marjoram_work_name work = { (char *)"w00" };
  char name[NAME_SIZE];

  for (int i = 0; i < upstreams; i++)
    {
      struct marjoram_announcement a = announcement (name, sequence, &work, 1);

      snprintf (name, sizeof name, "engine-%03d", i);
      a.running = (uint64_t)(i * 7) % (SLOTS + 2);
      marjoram_members_announce (node->members, now, &a, false);
    }
}

static struct config_spec
target_spec (void)
{
  return (struct config_spec){ .regions = 6,
                               .zones = 3,
                               .slots = 20,
                               .works = 16,
                               .callers = CALLERS,
                               .home = -1,
                               .rate = 1000,
                               .burst = 1000 };
}

static void
make_node (struct node *node, const struct config_spec *spec, int upstreams)
{
  node->config = config_from_spec (spec);
  node->members = marjoram_members_create ("r00-z00", 0);
  node->random = marjoram_random_create (1);
  node->router
      = marjoram_router_create ("r00-z00", node->members, NULL, node->random);
  marjoram_router_configure (node->router, 0, node->config);
  announce_all (node, 0, upstreams, 1);
}

static void
free_node (struct node *node)
{
  marjoram_router_destroy (node->router);
  marjoram_random_destroy (node->random);
  marjoram_members_destroy (node->members);
  marjoram_config_release (node->config);
}

/* Time per request for admission, routing and latency accounting, with load
   reports once per second.  */
static double
decide_ns (struct node *node, int upstreams, int64_t *now)
{
  double start = now_ns ();

  for (int i = 0; i < DECISIONS; i++)
    {
      struct marjoram_query query
          = { .caller = i % CALLERS,
              .deadline = *now + 30000,
              .prompt_tokens = 900,
              .answer_tokens = 60,
              .prefix_hash
              = (uint64_t)(i % PREFIXES + 1) * UINT64_C (0x9e3779b97f4a7c15) };
      struct marjoram_choice choice;
      int64_t retry_ms;

      if (i % 1000 == 0)
        {
          *now += 1000;
          announce_all (node, *now, upstreams, (uint64_t)*now);
        }
      marjoram_router_admit (node->router, *now, query.caller, &retry_ms);
      marjoram_router_choose (node->router, *now, &query, &choice);
      if (choice.verdict != MARJORAM_VERDICT_LOCAL)
        continue;
      marjoram_members_request_started (node->members, choice.upstream);
      marjoram_members_request_ended (node->members, *now, choice.upstream,
                                      false);
      marjoram_router_record_latency (node->router, *now, choice.upstream,
                                      &query, 100, 2500, 60);
    }
  return (now_ns () - start) / DECISIONS;
}

/* Baseline: linear scan for the least loaded upstream.  */
static double
scan_ns (struct node *node, int64_t now)
{
  double start = now_ns ();
  uint64_t sum = 0;

  for (int i = 0; i < DECISIONS; i++)
    {
      const struct marjoram_upstream *best = NULL;

      for (size_t j = 0; j < marjoram_members_count (node->members); j++)
        {
          const struct marjoram_upstream *upstream
              = marjoram_members_at (node->members, j);

          if (marjoram_upstream_usable (upstream, now)
              && (!best
                  || upstream->announcement->running
                         < best->announcement->running))
            best = upstream;
        }
      sum += best ? best->announcement->running : 0;
    }
  return sum == UINT64_MAX ? 0 : (now_ns () - start) / DECISIONS;
}

static void
measure_decisions (void)
{
  static const int sizes[] = { 11, 22, 44, 88, 176 };
  struct config_spec spec = target_spec ();

  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      struct node node;
      double best = 1e18;
      int64_t now = 0;

      make_node (&node, &spec, sizes[i]);
      for (int j = 0; j < ROUNDS; j++)
        {
          double ns = decide_ns (&node, sizes[i], &now);

          best = ns < best ? ns : best;
        }
      printf ("metric=decision_%d value=%.0f unit=ns baseline=%.0f "
              "baseline_name=scan-of-all\n",
              sizes[i], best, scan_ns (&node, now));
      free_node (&node);
    }
}

static void
measure_memory (void)
{
  static const int upstreams[] = { 11, 44, 176 };
  static const int callers[] = { 260, 1300, 2600 };
  static const int zones[] = { 1, 3, 9 };

  for (int i = 0; i < 3; i++)
    {
      struct config_spec spec = target_spec ();
      struct node node;
      size_t before = used_memory ();
      struct marjoram_query query = { .deadline = 30000 };
      struct marjoram_choice choice;

      make_node (&node, &spec, upstreams[i]);
      marjoram_router_choose (node.router, 0, &query, &choice);
      print ("memory_upstreams", upstreams[i],
             (double)(used_memory () - before), "B");
      free_node (&node);
    }
  for (int i = 0; i < 3; i++)
    {
      struct config_spec spec = target_spec ();
      struct node node;
      size_t before = used_memory ();

      spec.callers = callers[i];
      make_node (&node, &spec, 1);
      print ("memory_callers", callers[i], (double)(used_memory () - before),
             "B");
      free_node (&node);
    }
  for (int i = 0; i < 3; i++)
    {
      struct config_spec spec = target_spec ();
      struct node node;
      size_t before = used_memory ();

      spec.regions = 2;
      spec.zones = zones[i];
      make_node (&node, &spec, 1);
      print ("memory_zones", 2 * zones[i], (double)(used_memory () - before),
             "B");
      free_node (&node);
    }
}

static void
print_size (const char *name, int size, enum marjoram_frame_type type,
            const void *message)
{
  marjoram_bytes *frame = marjoram_frame_pack (type, message);

  print (name, size, (double)marjoram_bytes_size (frame), "B");
  marjoram_bytes_release (frame);
}

static void
measure_announcements (void)
{
  static const int sizes[] = { 1, 4, 16 };
  struct marjoram_work_name works[16];
  char names[16][NAME_SIZE];
  char name[NAME_SIZE];

  snprintf (name, sizeof name, "engine-001");
  for (int i = 0; i < 16; i++)
    {
      snprintf (names[i], NAME_SIZE, "model-of-the-site-%02d", i);
      works[i].name = names[i];
    }
  for (int i = 0; i < 3; i++)
    {
      struct marjoram_announcement a
          = announcement (name, 100000, works, (size_t)sizes[i]);

      print_size ("bytes_announcement_works", sizes[i],
                  MARJORAM_FRAME_UPSTREAM, &a);
    }
}

static void
measure_renewals (void)
{
  static const int sizes[] = { 2, 11, 44 };
  struct marjoram_renewal items[44];
  char name[] = "engine-001";

  for (int i = 0; i < 44; i++)
    items[i] = (struct marjoram_renewal){ .name = name,
                                          .incarnation = 1764000000000,
                                          .sequence = 100000,
                                          .lease_ms = 2500,
                                          .running = 9,
                                          .waiting = 0 };
  for (int i = 0; i < 3; i++)
    {
      struct marjoram_renewals renewals = { { items, (size_t)sizes[i] } };

      print_size ("bytes_renewals", sizes[i], MARJORAM_FRAME_RENEWALS,
                  &renewals);
    }
}

static void
measure_offers (void)
{
  static const int works[] = { 1, 4, 16 };
  static const int callers[] = { 0, 10, 100, 1000 };

  for (int i = 0; i < 4; i++)
    for (int j = 0; j < 3; j++)
      {
        struct config_spec spec = target_spec ();
        struct marjoram_offers offers;
        struct node node;
        int64_t retry_ms;
        char name[NAME_SIZE];

        spec.works = works[j];
        make_node (&node, &spec, 1);
        for (int k = 0; k < works[j]; k++)
          {
            struct marjoram_work_name work = { name };
            char upstream[NAME_SIZE];
            struct marjoram_announcement a;

            snprintf (name, sizeof name, "w%02d", k);
            snprintf (upstream, sizeof upstream, "other-%d", k);
            a = announcement (upstream, 1, &work, 1);
            marjoram_members_announce (node.members, 0, &a, false);
          }
        for (int k = 0; k < 500 * callers[i]; k++)
          marjoram_router_admit (node.router, 1, k % callers[i], &retry_ms);
        marjoram_router_build_offers (node.router, 1, 1, &offers);
        snprintf (name, sizeof name, "bytes_offers_works_%d_callers",
                  works[j]);
        print_size (name, callers[i], MARJORAM_FRAME_OFFERS, &offers);
        marjoram_wire_clear (&marjoram_offers_layout, &offers);
        free_node (&node);
      }
}

/* Size of the replicated state as stored by keepers and as sent to a starting
   host: CALLERS callers in one file, and the results of CHANGES changes.  */
static void
measure_state (void)
{
  static const int callers[] = { 260, 1300, 2600 };
  static const int changes[] = { 0, 256, 1024 };

  for (int i = 0; i < 3; i++)
    {
      struct config_spec spec = target_spec ();
      struct marjoram_state *state = marjoram_state_copy (NULL);
      struct marjoram_file *file = marjoram_alloc (sizeof *file);
      struct marjoram_change *kept
          = marjoram_alloc ((size_t)(changes[i] + 1) * sizeof *kept);
      marjoram_bytes *packed;
      size_t size;
      FILE *out = open_memstream (&file->text, &size);

      spec.callers = callers[i];
      print_spec_callers (out, &spec);
      fclose (out);
      print ("bytes_callers_text", callers[i], (double)size, "B");
      file->name = marjoram_strdup ("callers");
      file->digest = marjoram_digest (file->text, size);
      state->files.items = file;
      state->files.count = 1;
      packed = marjoram_wire_pack (&marjoram_state_layout, state);
      print ("bytes_state_callers", callers[i],
             (double)marjoram_bytes_size (packed), "B");
      marjoram_bytes_release (packed);
      for (int j = 0; j < changes[i]; j++)
        {
          char id[NAME_SIZE];

          snprintf (id, sizeof id, "change-of-operator-%06d", j);
          kept[j].id = marjoram_strdup (id);
          kept[j].file = marjoram_strdup ("callers");
          kept[j].digest = marjoram_strdup (file->digest);
          kept[j].number = (uint64_t)j + 30000;
          kept[j].version = (uint64_t)j + 30000;
        }
      state->changes.items = kept;
      state->changes.count = (size_t)changes[i];
      packed = marjoram_wire_pack (&marjoram_state_layout, state);
      print ("bytes_state_with_text_changes", changes[i],
             (double)marjoram_bytes_size (packed), "B");
      marjoram_bytes_release (packed);
      marjoram_state_destroy (state);
    }
}

static void
measure_offer_time (void)
{
  static const int works[] = { 1, 4, 16 };

  for (int i = 0; i < 3; i++)
    {
      struct config_spec spec = target_spec ();
      struct node node;
      double start;

      spec.works = works[i];
      make_node (&node, &spec, 44);
      start = now_ns ();
      for (int j = 0; j < 1000; j++)
        {
          struct marjoram_offers offers;

          marjoram_router_build_offers (node.router, j, 1 + j % 17, &offers);
          marjoram_wire_clear (&marjoram_offers_layout, &offers);
        }
      print ("offer_time_works", works[i], (now_ns () - start) / 1000, "ns");
      free_node (&node);
    }
}

int
main (void)
{
  struct marjoram_heartbeat heartbeat
      = { 100000, 1764000000000, 40000, false, 100000, 250 };

  measure_decisions ();
  measure_memory ();
  print_size ("bytes_heartbeat", 1, MARJORAM_FRAME_HEARTBEAT, &heartbeat);
  measure_announcements ();
  measure_renewals ();
  measure_offers ();
  measure_state ();
  measure_offer_time ();
  return EXIT_SUCCESS;
}
