/* Open-loop load generator.  Sends requests at a fixed mean rate and prints
   one line of JSON with counts by outcome and latency quantiles, measured
   from the scheduled send time.  */
#include "cleanup.h"
#include "clock.h"
#include "random.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <getopt.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <sys/queue.h>

enum
{
  TARGETS_MAX = 64,
  TEXT_SIZE = 4096,
  TIMEOUT_S = 120
};

struct target
{
  char address[64];
  uint16_t port;
  char host[72];
  SLIST_HEAD (idle_channels, channel) idle;
};

/* A connection with at most one request in progress.  */
struct channel
{
  SLIST_ENTRY (channel) entries;
  struct target *target;
  struct evhttp_connection *connection;
  double due;
};

struct load
{
  struct event_base *base;
  struct event *timer;
  marjoram_random *random;
  struct target targets[TARGETS_MAX];
  int target_count;
  const char *path;
  const char *body; /* each "#" is replaced by the request number */
  const char *token;
  const char *key_prefix;
  double rate;
  double seconds;
  double started;
  double next;
  int sent;
  int open;
  int max_open;
  bool sending;
  double *samples;
  size_t sample_count;
  size_t sample_capacity;
  json_t *outcomes;
  int failed;
};

static struct load load;

static double
now_s (void)
{
  struct marjoram_clock *clock = marjoram_clock_system ();
  struct timespec now = clock->ops->monotonic (clock);

  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void
add_sample (double seconds)
{
  if (load.sample_count == load.sample_capacity)
    {
      load.sample_capacity
          = load.sample_capacity ? 2 * load.sample_capacity : TEXT_SIZE;
      load.samples = realloc (load.samples,
                              load.sample_capacity * sizeof load.samples[0]);
      if (!load.samples)
        abort ();
    }
  load.samples[load.sample_count++] = seconds * 1e3;
}

static void
count_outcome (const char *word)
{
  json_t *count = json_object_get (load.outcomes, word);

  json_object_set_new (load.outcomes, word,
                       json_integer (json_integer_value (count) + 1));
}

static void
on_response (struct evhttp_request *request, void *context)
{
  struct channel *channel = context;
  int status = request ? evhttp_request_get_response_code (request) : 0;
  const char *outcome;

  load.open--;
  if (status == HTTP_OK)
    add_sample (now_s () - channel->due);
  else
    load.failed++;
  if (status)
    {
      outcome = evhttp_find_header (evhttp_request_get_input_headers (request),
                                    "Marjoram-Outcome");
      count_outcome (outcome ? outcome : status == HTTP_OK ? "ok" : "error");
    }
  else
    count_outcome ("broken");
  SLIST_INSERT_HEAD (&channel->target->idle, channel, entries);
  if (!load.sending && !load.open)
    event_base_loopexit (load.base, NULL);
}

static struct channel *
acquire_channel (struct target *target)
{
  struct channel *channel = SLIST_FIRST (&target->idle);

  if (channel)
    {
      SLIST_REMOVE_HEAD (&target->idle, entries);
      return channel;
    }
  channel = marjoram_alloc (sizeof *channel);
  *channel = (struct channel){ .target = target };
  channel->connection = evhttp_connection_base_new (
      load.base, NULL, target->address, target->port);
  evhttp_connection_set_timeout (channel->connection, TIMEOUT_S);
  return channel;
}

static void
add_body (struct evbuffer *buffer, int number)
{
  const char *rest = load.body;
  const char *mark;

  while ((mark = strchr (rest, '#')))
    {
      evbuffer_add (buffer, rest, (size_t)(mark - rest));
      evbuffer_add_printf (buffer, "%d", number);
      rest = mark + 1;
    }
  evbuffer_add (buffer, rest, strlen (rest));
}

static void
add_headers (struct evkeyvalq *headers, const struct target *target)
{
  char text[TEXT_SIZE];

  evhttp_add_header (headers, "Host", target->host);
  evhttp_add_header (headers, "Content-Type", "application/json");
  if (load.token)
    {
      snprintf (text, sizeof text, "Bearer %s", load.token);
      evhttp_add_header (headers, "Authorization", text);
    }
  if (load.key_prefix)
    {
      snprintf (text, sizeof text, "%sload-%d", load.key_prefix, load.sent);
      evhttp_add_header (headers, "Idempotency-Key", text);
      evhttp_add_header (headers, "Marjoram-Idempotent", "no");
    }
}

static void
send_one (double due)
{
  struct target *target = &load.targets[load.sent % load.target_count];
  struct channel *channel = acquire_channel (target);
  struct evhttp_request *request = evhttp_request_new (on_response, channel);

  channel->due = due;
  add_headers (evhttp_request_get_output_headers (request), target);
  add_body (evhttp_request_get_output_buffer (request), load.sent);
  load.sent++;
  load.open++;
  if (load.open > load.max_open)
    load.max_open = load.open;
  evhttp_make_request (channel->connection, request, EVHTTP_REQ_POST,
                       load.path);
}

static void
schedule_next (void)
{
  double wait = load.next - now_s ();
  struct timeval delay = { 0, 0 };

  if (wait > 0)
    delay = (struct timeval){ (time_t)wait,
                              (suseconds_t)((wait - floor (wait)) * 1e6) };
  event_add (load.timer, &delay);
}

static void
due (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  (void)context;
  while (load.next <= now_s ())
    {
      send_one (load.next);
      load.next -= log (1 - marjoram_random_unit (load.random)) / load.rate;
      if (load.next > load.started + load.seconds)
        {
          load.sending = false;
          return;
        }
    }
  schedule_next ();
}

static void
add_targets (char *list)
{
  char *item;

  while ((item = strsep (&list, ",")) && load.target_count < TARGETS_MAX)
    {
      struct target *target = &load.targets[load.target_count];
      char *colon = strchr (item, ':');

      if (!colon)
        continue;
      snprintf (target->host, sizeof target->host, "%s", item);
      snprintf (target->address, sizeof target->address, "%.*s",
                (int)(colon - item), item);
      target->port = (uint16_t)strtoul (colon + 1, NULL, 10);
      SLIST_INIT (&target->idle);
      load.target_count++;
    }
}

static double
quantile (double share)
{
  if (!load.sample_count)
    return -1;
  return gsl_stats_quantile_from_sorted_data (load.samples, 1,
                                              load.sample_count, share);
}

static void
print_result (void)
{
  json_t *result;

  if (load.sample_count)
    gsl_sort (load.samples, 1, load.sample_count);
  result = json_pack ("{si si si si sf sf sf sf so}", "sent", load.sent,
                      "answered", (int)load.sample_count, "failed",
                      load.failed, "most_open", load.max_open, "p50_ms",
                      quantile (0.5), "p99_ms", quantile (0.99), "max_ms",
                      quantile (1), "seconds", now_s () - load.started,
                      "outcomes", load.outcomes);
  json_dumpf (result, stdout, JSON_COMPACT);
  putchar ('\n');
  json_decref (result);
}

static const struct option long_options[]
    = { { "address", required_argument, NULL, 'a' },
        { "path", required_argument, NULL, 'p' },
        { "body", required_argument, NULL, 'b' },
        { "token", required_argument, NULL, 't' },
        { "key-prefix", required_argument, NULL, 'k' },
        { "rate", required_argument, NULL, 'r' },
        { "seconds", required_argument, NULL, 's' },
        { "seed", required_argument, NULL, 'S' },
        { NULL, 0, NULL, 0 } };

static uint64_t
read_options (int argc, char **argv)
{
  uint64_t seed = 1;
  int option;

  while ((option = getopt_long (argc, argv, "", long_options, NULL)) != -1)
    switch (option)
      {
      case 'a':
        add_targets (optarg);
        break;
      case 'p':
        load.path = optarg;
        break;
      case 'b':
        load.body = optarg;
        break;
      case 't':
        load.token = optarg;
        break;
      case 'k':
        load.key_prefix = optarg;
        break;
      case 'r':
        load.rate = strtod (optarg, NULL);
        break;
      case 's':
        load.seconds = strtod (optarg, NULL);
        break;
      case 'S':
        seed = strtoull (optarg, NULL, 10);
        break;
      default:
        load.target_count = 0;
        return seed;
      }
  return seed;
}

int
main (int argc, char **argv)
{
  struct event_config *config = event_config_new ();
  uint64_t seed;

  load = (struct load){ .path = "/v1/chat/completions",
                        .body = "{}",
                        .rate = 10,
                        .seconds = 1,
                        .sending = true,
                        .outcomes = json_object () };
  seed = read_options (argc, argv);
  if (!load.target_count || load.rate <= 0)
    {
      fprintf (stderr, "usage: tool_load --address IP:PORT,... [--path P] "
                       "[--body TEXT] [--token T] [--key-prefix K] "
                       "[--rate PER-SECOND] [--seconds S] [--seed N]\n");
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  load.base = event_base_new_with_config (config);
  event_config_free (config);
  load.random = marjoram_random_create (seed);
  load.timer = event_new (load.base, -1, 0, due, NULL);
  load.started = load.next = now_s ();
  schedule_next ();
  event_base_dispatch (load.base);
  print_result ();
  fflush (NULL);
  _exit (EXIT_SUCCESS); /* skips cleanup */
}
