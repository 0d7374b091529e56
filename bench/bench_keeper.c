/* Measures consensus among three keepers with real stores on one disk and
   immediate message delivery: changes per second, restart time and store size
   by the number of changes, and state size per customer.  The baseline
   rewrites and syncs every file of every host for each change.  Also measures
   traffic and CPU time per changed route among six keepers on simulated
   links between regions, by the number of routes.  */
#include "cleanup.h"
#include "keeper.h"
#include "lib_keeper_net.h"
#include "store.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum
{
  KEEPERS = 3,
  HOSTS = 9,
  FILES = 5,
  FILE_BYTES = 8192,
  SEQUENTIAL_CHANGES = 200,
  BATCH_SIZE = 64,
  BASELINE_CHANGES = 20,
  RESTARTS = 5,
  CUSTOMERS = 2600,
  REGION_KEEPERS = 6,
  ROUTE_CHANGES = 5,
  ONE_WAY_MS = 55,
  BYTES_PER_S = 600 * 1000,
  AGREEMENT_TIMEOUT_MS = 60000,
  TICK_MS = 100,
  PATH_SIZE = 256
};

struct queued_message
{
  STAILQ_ENTRY (queued_message) link;
  int from, to;
  marjoram_bytes *packed;
};

struct net;

struct host
{
  struct net *net;
  int index;
  char slot[16];
  char folder[PATH_SIZE];
  marjoram_store *store;
  marjoram_keeper *keeper;
};

struct net
{
  struct host hosts[KEEPERS];
  STAILQ_HEAD (, queued_message) messages;
  marjoram_random *random;
  int64_t now;
  uint64_t answered;
};

static double
seconds (void)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static void
fail (const char *what)
{
  fprintf (stderr, "bench_keeper: %s failed\n", what);
  exit (EXIT_FAILURE);
}

static void
on_send (void *context, const char *slot,
         const struct marjoram_keeper_message *message)
{
  struct host *host = context;
  struct queued_message *queued = marjoram_alloc (sizeof *queued);

  queued->from = host->index;
  queued->to = slot[1] - '0';
  queued->packed
      = marjoram_wire_pack (&marjoram_keeper_message_layout, message);
  STAILQ_INSERT_TAIL (&host->net->messages, queued, link);
}

static void
on_persist (void *context, uint64_t ticket, marjoram_bytes *record)
{
  struct host *host = context;
  struct marjoram_error err = { 0 };
  bool ok = marjoram_store_write (host->store, record, &err);

  marjoram_bytes_release (record);
  if (!ok)
    fail (err.message);
  marjoram_keeper_persisted (host->keeper, host->net->now, ticket, ok);
}

static void
on_chosen (void *context, const struct marjoram_state *state)
{
  (void)context;
  (void)state;
}

static void
on_answered (void *context, uint64_t request,
             const struct marjoram_apply_answer *answer)
{
  struct host *host = context;

  (void)request;
  if (answer->outcome != MARJORAM_APPLY_DECIDED
      || answer->result != MARJORAM_CHANGE_ACCEPTED)
    fail (answer->message);
  host->net->answered++;
}

static bool
on_valid (void *context, const struct marjoram_state *state,
          struct marjoram_error *err)
{
  (void)context;
  (void)state;
  (void)err;
  return true;
}

static const struct marjoram_keeper_ops ops = { .send = on_send,
                                                .persist = on_persist,
                                                .chosen = on_chosen,
                                                .answered = on_answered,
                                                .valid = on_valid };

static void
open_host (struct net *net, int index)
{
  static const char *const first[KEEPERS] = { "k0", "k1", "k2" };
  struct host *host = &net->hosts[index];
  struct marjoram_error err = { 0 };
  struct marjoram_keeper_options options
      = { .slot = host->slot, .first = first, .first_count = KEEPERS };

  host->store = marjoram_store_open (host->folder, &err);
  if (!host->store)
    fail (err.message);
  options.store_id = marjoram_store_id (host->store);
  options.incarnation = marjoram_store_incarnation (host->store);
  options.record = marjoram_store_read (host->store, &err);
  host->keeper
      = marjoram_keeper_create (&options, &ops, host, net->random, &err);
  marjoram_bytes_release (options.record);
  if (!host->keeper)
    fail (err.message);
}

static void
close_host (struct host *host)
{
  marjoram_keeper_destroy (host->keeper);
  marjoram_store_close (host->store);
}

static void
deliver_all (struct net *net)
{
  while (!STAILQ_EMPTY (&net->messages))
    {
      struct queued_message *queued = STAILQ_FIRST (&net->messages);
      struct marjoram_keeper_message *message;

      STAILQ_REMOVE_HEAD (&net->messages, link);
      message
          = marjoram_wire_unpack (&marjoram_keeper_message_layout,
                                  marjoram_bytes_data (queued->packed),
                                  marjoram_bytes_size (queued->packed), NULL);
      marjoram_keeper_receive (net->hosts[queued->to].keeper, net->now,
                               net->hosts[queued->from].slot, message);
      marjoram_wire_destroy (&marjoram_keeper_message_layout, message);
      marjoram_bytes_release (queued->packed);
      free (queued);
    }
}

static void
step (struct net *net)
{
  net->now += TICK_MS;
  for (int i = 0; i < KEEPERS; i++)
    {
      marjoram_keeper_tick (net->hosts[i].keeper, net->now);
      deliver_all (net);
    }
}

static bool
in_agreement (const struct net *net)
{
  uint64_t number = 0;

  for (int i = 0; i < KEEPERS; i++)
    {
      const struct marjoram_state *state
          = marjoram_keeper_durable_state (net->hosts[i].keeper);

      if (!state || !marjoram_keeper_votes (net->hosts[i].keeper)
          || (i > 0 && state->number != number))
        return false;
      number = state->number;
    }
  return true;
}

static void
open_net (struct net *net, const char *folder)
{
  memset (net, 0, sizeof *net);
  STAILQ_INIT (&net->messages);
  net->random = marjoram_random_create (1);
  for (int i = 0; i < KEEPERS; i++)
    {
      struct host *host = &net->hosts[i];

      host->net = net;
      host->index = i;
      snprintf (host->slot, sizeof host->slot, "k%d", i);
      snprintf (host->folder, sizeof host->folder, "%s/k%d", folder, i);
      open_host (net, i);
    }
  while (!in_agreement (net))
    step (net);
}

static void
remove_net (struct net *net)
{
  static const char *const names[] = { "store", "in-use" };
  char path[PATH_SIZE + sizeof "/store"];

  for (int i = 0; i < KEEPERS; i++)
    {
      close_host (&net->hosts[i]);
      for (size_t j = 0; j < sizeof names / sizeof *names; j++)
        {
          snprintf (path, sizeof path, "%s/%s", net->hosts[i].folder,
                    names[j]);
          unlink (path);
        }
      rmdir (net->hosts[i].folder);
    }
  marjoram_random_destroy (net->random);
}

/* Applies COUNT new versions in batches of BATCH_SIZE, each batch at the next
   keeper.  */
static void
apply_changes (struct net *net, uint64_t first_version, uint64_t count,
               uint64_t batch_size)
{
  char *text = marjoram_alloc (FILE_BYTES + 1);

  memset (text, 'x', FILE_BYTES);
  net->answered = 0;
  for (uint64_t i = 0; i < count; i++)
    {
      uint64_t version = first_version + i;
      char name[PATH_SIZE], id[PATH_SIZE];
      struct marjoram_file file = { name, version, NULL, text };
      int index = (int)(i / batch_size % KEEPERS);

      snprintf (name, sizeof name, "file-%d.ini", (int)(version % FILES));
      snprintf (id, sizeof id, "change-%llu", (unsigned long long)version);
      for (size_t j = 0; id[j]; j++)
        text[j] = id[j];
      marjoram_keeper_apply (net->hosts[index].keeper, net->now, i, id, &file);
      if ((i + 1) % batch_size != 0 && i + 1 < count)
        continue;
      deliver_all (net);
      while (net->answered <= i)
        step (net);
    }
  free (text);
}

static double
apply_rate (struct net *net, uint64_t first_version, uint64_t count,
            uint64_t batch_size)
{
  double start = seconds ();

  apply_changes (net, first_version, count, batch_size);
  return (double)count / (seconds () - start);
}

static void
write_file_synced (int folder, const char *name, const char *text)
{
  int fd = openat (folder, "new", O_WRONLY | O_CREAT | O_TRUNC, 0600);

  if (fd < 0 || write (fd, text, FILE_BYTES) != FILE_BYTES
      || fdatasync (fd) != 0 || close (fd) != 0
      || renameat (folder, "new", folder, name) != 0 || fsync (folder) != 0)
    fail ("baseline write");
}

static double
baseline_rate (const char *folder)
{
  char name[PATH_SIZE];
  char *text = marjoram_alloc (FILE_BYTES);
  int fd = open (folder, O_RDONLY | O_DIRECTORY);
  double start = seconds ();
  double rate;

  for (int i = 0; i < BASELINE_CHANGES; i++)
    for (int j = 0; j < HOSTS * FILES; j++)
      {
        snprintf (name, sizeof name, "%d", j);
        write_file_synced (fd, name, text);
      }
  rate = BASELINE_CHANGES / (seconds () - start);
  for (int j = 0; j < HOSTS * FILES; j++)
    {
      snprintf (name, sizeof name, "%d", j);
      unlinkat (fd, name, 0);
    }
  close (fd);
  free (text);
  return rate;
}

static void
print (const char *metric, double value, const char *unit, double baseline,
       const char *name)
{
  printf ("metric=%s value=%.3f unit=%s baseline=%.3f baseline_name=%s\n",
          metric, value, unit, baseline, name);
}

static off_t
store_size (const struct net *net)
{
  char path[PATH_SIZE + sizeof "/store"];
  struct stat status = { 0 };

  snprintf (path, sizeof path, "%s/store", net->hosts[0].folder);
  stat (path, &status);
  return status.st_size;
}

static double
restart_once (struct net *net, const char *folder)
{
  double start;

  for (int i = 0; i < KEEPERS; i++)
    close_host (&net->hosts[i]);
  marjoram_random_destroy (net->random);
  start = seconds ();
  open_net (net, folder);
  return (seconds () - start) * 1e3;
}

static int
compare (const void *a, const void *b)
{
  const double *x = a, *y = b;

  return (*x > *y) - (*x < *y);
}

/* Returns the median time over RESTARTS from opening the stores until all
   keepers vote and hold the same state.  Simulated time is not included.  */
static double
restart_ms (struct net *net, const char *folder)
{
  double times[RESTARTS];

  for (int i = 0; i < RESTARTS; i++)
    times[i] = restart_once (net, folder);
  qsort (times, RESTARTS, sizeof *times, compare);
  return times[RESTARTS / 2];
}

static void
measure_growth (struct net *net, const char *folder, uint64_t version)
{
  static const uint64_t counts[] = { 100, 1000, 10000 };
  uint64_t done = 0;
  double first_ms = 0;
  double first_bytes = 0;

  for (size_t i = 0; i < sizeof counts / sizeof *counts; i++)
    {
      char metric[PATH_SIZE];
      double bytes, ms;

      apply_changes (net, version + done, counts[i] - done, BATCH_SIZE);
      done = counts[i];
      bytes = (double)store_size (net);
      ms = restart_ms (net, folder);
      if (i == 0)
        {
          first_ms = ms;
          first_bytes = bytes;
        }
      snprintf (metric, sizeof metric, "restart_after_%llu",
                (unsigned long long)counts[i]);
      print (metric, ms, "ms", first_ms, "after_100_changes");
      snprintf (metric, sizeof metric, "disk_after_%llu",
                (unsigned long long)counts[i]);
      print (metric, bytes, "bytes", first_bytes, "after_100_changes");
    }
}

static void
measure_customer (void)
{
  struct marjoram_state *state = marjoram_state_copy (NULL);
  size_t room = (size_t)CUSTOMERS * PATH_SIZE;
  size_t used = 0;
  char *text = marjoram_alloc (room);
  struct marjoram_file file = { (char *)"callers.ini", 1, NULL, text };
  marjoram_bytes *packed;

  for (int i = 0; i < CUSTOMERS; i++)
    used += (size_t)snprintf (
        text + used, room - used,
        "[caller customer-%04d]\ntoken = %032d\nhome = bratislava\n"
        "regions = bratislava zilina kosice\nrate = 20\nburst = 40\n"
        "weight = 1\n\n",
        i, i);
  marjoram_state_set_file (state, &file);
  packed = marjoram_wire_pack (&marjoram_state_layout, state);
  print ("state_per_customer",
         (double)marjoram_bytes_size (packed) / CUSTOMERS, "bytes",
         (double)used / CUSTOMERS, "text_alone");
  marjoram_bytes_release (packed);
  marjoram_state_destroy (state);
  free (text);
}

static void
print_routes (const char *what, int routes, double value, const char *unit,
              double baseline, const char *baseline_name)
{
  char metric[PATH_SIZE];

  snprintf (metric, sizeof metric, "route_change_%s_%d", what, routes);
  print (metric, value, unit, baseline, baseline_name);
}

/* Totals over several changes.  */
struct route_changes
{
  int64_t total_ms;
  int answered;
  int agreed;
};

static void
change_route (struct keeper_net *net, int routes, int changed,
              struct route_changes *totals)
{
  marjoram_auto_free char *text = keeper_net_routes (routes, changed);
  int64_t duration_ms = keeper_net_change (net, changed % REGION_KEEPERS, text,
                                           AGREEMENT_TIMEOUT_MS);

  totals->answered += duration_ms >= 0;
  totals->total_ms += duration_ms < 0 ? AGREEMENT_TIMEOUT_MS : duration_ms;
  totals->agreed += keeper_net_wait_agreement (net, AGREEMENT_TIMEOUT_MS);
}

static void
print_route_changes (const struct keeper_net *net, int routes,
                     const struct route_changes *totals, clock_t cpu)
{
  marjoram_auto_free char *text = keeper_net_routes (routes, -1);

  print_routes ("bytes", routes,
                (double)keeper_net_bytes (net) / ROUTE_CHANGES, "bytes",
                (double)strlen (text), "text");
  print_routes ("cpu", routes,
                (double)cpu * 1e3 / CLOCKS_PER_SEC / ROUTE_CHANGES, "ms", 0,
                "none");
  print_routes ("answer", routes, (double)totals->total_ms / ROUTE_CHANGES,
                "ms", 4.0 * ONE_WAY_MS, "two_round_trips");
  print_routes ("answered", routes, totals->answered, "changes", ROUTE_CHANGES,
                "all");
  print_routes ("agreed", routes, totals->agreed, "changes", ROUTE_CHANGES,
                "all");
}

/* Measures changes of one route among ROUTES, as the mean of ROUTE_CHANGES.
   Heartbeats sent until all keepers hold the change are included.  */
static void
measure_route_change (int routes)
{
  static const struct keeper_net_options options
      = { .keepers = REGION_KEEPERS,
          .one_way_ms = ONE_WAY_MS,
          .bytes_per_s = BYTES_PER_S };
  struct keeper_net *net = keeper_net_create (&options);
  struct route_changes first = { 0 }, totals = { 0 };
  clock_t cpu;

  if (!keeper_net_wait_agreement (net, AGREEMENT_TIMEOUT_MS))
    fail ("initial agreement");
  change_route (net, routes, 0, &first);
  keeper_net_run (net, AGREEMENT_TIMEOUT_MS);
  keeper_net_reset_counters (net);
  cpu = clock ();
  for (int i = 1; i <= ROUTE_CHANGES; i++)
    change_route (net, routes, i, &totals);
  print_route_changes (net, routes, &totals, clock () - cpu);
  keeper_net_destroy (net);
}

static void
measure_route_changes (void)
{
  static const int routes[] = { 100, 1400, 5600, 20000 };

  for (size_t i = 0; i < sizeof routes / sizeof *routes; i++)
    measure_route_change (routes[i]);
}

int
main (int argc, char **argv)
{
  char folder[PATH_SIZE] = "/tmp/marjoram-bench-XXXXXX";
  struct net net;
  double baseline;

  measure_route_changes ();
  if (argc > 1)
    snprintf (folder, sizeof folder, "%s/keeper-XXXXXX", argv[1]);
  if (!mkdtemp (folder))
    fail ("mkdtemp");
  baseline = baseline_rate (folder);
  open_net (&net, folder);
  apply_changes (&net, 1, FILES, 1);
  print ("apply_one_at_a_time",
         apply_rate (&net, FILES + 1, SEQUENTIAL_CHANGES, 1), "per_s",
         baseline, "every_file_at_9_hosts");
  print ("apply_64_at_once",
         apply_rate (&net, FILES + SEQUENTIAL_CHANGES + 1,
                     (uint64_t)BATCH_SIZE * 10, BATCH_SIZE),
         "per_s", baseline, "every_file_at_9_hosts");
  remove_net (&net);
  open_net (&net, folder);
  measure_growth (&net, folder, 1);
  measure_customer ();
  remove_net (&net);
  rmdir (folder);
  return EXIT_SUCCESS;
}
