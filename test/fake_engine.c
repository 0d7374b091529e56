/* Fake model engine or, with --service, fake plain service.  Implements
   continuous batching, a prefix cache and resumption of answers, and logs the
   start and end of each run to a history file.  Responses are defined in
   lib_answer.h.  Faults are injected with --fault or POST /fake/fault.  */
#include "cleanup.h"
#include "clock.h"
#include "lib_engine.h"

#include <event2/buffer.h>
#include <fcntl.h>
#include <getopt.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  MAX_BODY = 64 * 1024 * 1024
};

static const char *
header (struct evhttp_request *request, const char *name)
{
  const char *value
      = evhttp_find_header (evhttp_request_get_input_headers (request), name);

  return value ? value : "";
}

static void
refuse (struct evhttp_request *request, int status, bool not_run)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);

  if (*header (request, "Marjoram-Request"))
    evhttp_add_header (headers, "Marjoram-Request",
                       header (request, "Marjoram-Request"));
  if (not_run)
    evhttp_add_header (headers, "Marjoram-Not-Run", "yes");
  evhttp_send_reply (request, status, NULL, NULL);
}

/* Requests.  */

static char *
body_text (struct evhttp_request *request)
{
  struct evbuffer *buffer = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (buffer);
  char *text = marjoram_alloc (size + 1);

  evbuffer_copyout (buffer, text, size);
  text[size] = 0;
  return text;
}

static const char *
prompt_of (json_t *body)
{
  json_t *message = json_array_get (json_object_get (body, "messages"), 0);
  const char *prompt = json_string_value (json_object_get (body, "prompt"));

  if (!prompt)
    prompt = json_string_value (json_object_get (message, "content"));
  return prompt ? prompt : "";
}

static const char *
method_of (struct evhttp_request *request)
{
  switch (evhttp_request_get_command (request))
    {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "OTHER";
    }
}

static void
describe_run (struct run *run, struct evhttp_request *request,
              const char *text)
{
  struct engine *engine = run->engine;
  json_t *body = json_loads (text, 0, NULL);
  json_t *tokens = json_object_get (body, "max_tokens");

  snprintf (run->id, NAME_SIZE, "%s", header (request, "Marjoram-Request"));
  snprintf (run->key, NAME_SIZE, "%s", header (request, "Idempotency-Key"));
  fake_digest (run->digest, method_of (request),
               evhttp_request_get_uri (request), text, strlen (text));
  run->priority = atoi (header (request, "Marjoram-Priority"));
  run->tokens = json_is_integer (tokens) ? (int)json_integer_value (tokens)
                                         : FAKE_DEFAULT_TOKENS;
  run->stream = json_is_true (json_object_get (body, "stream"));
  if (engine->options.service)
    {
      run->tokens = SERVICE_TOKENS;
      run->stream = false;
      run->prefill_us = (int64_t)engine->options.work_ms * 1000;
    }
  else if (!engine_cache_use (engine, prompt_of (body)))
    run->prefill_us = (int64_t)(strlen (text) / BYTES_PER_TOKEN)
                      * engine->options.prefill_us;
  run->answer = fake_answer (run->digest, run->tokens, run->stream);
  run->size = strlen (run->answer);
  json_decref (body);
}

static bool
is_barred (struct engine *engine, const char *id)
{
  return *id && json_object_get (engine->barred, id);
}

static void
handle_work (struct evhttp_request *request, void *context)
{
  struct engine *engine = context;
  marjoram_auto_free char *text = body_text (request);
  enum fault fault = engine_pick_fault (engine, text);
  struct run *run;

  if (engine->stopping || fault == FAULT_REFUSE_NOT_RUN
      || is_barred (engine, header (request, "Marjoram-Request")))
    {
      refuse (request, HTTP_SERVUNAVAIL, true);
      return;
    }
  if (fault == FAULT_REFUSE)
    {
      refuse (request, HTTP_SERVUNAVAIL, false);
      return;
    }
  run = marjoram_alloc (sizeof *run);
  *run = (struct run){ .engine = engine, .fault = fault };
  describe_run (run, request, text);
  engine_add (run, request);
}

/* GET /v1/requests/ID: resumes an answer at an offset without running the
   request again.  */
static void
resume (struct engine *engine, struct evhttp_request *request, const char *id)
{
  size_t offset = strtoul (header (request, "Marjoram-Offset"), NULL, 10);
  struct run *found = engine_find (engine, id);

  if (!engine->options.resume)
    {
      refuse (request, HTTP_NOTIMPLEMENTED, false);
      return;
    }
  if (!found || (found->state == RUN_ENDED && !found->produced))
    {
      json_object_set_new (engine->barred, id, json_true ());
      engine_record (engine, "barred", id, "", "", 0);
      refuse (request, HTTP_NOTFOUND, true);
      return;
    }
  if (found->state == RUN_ENDED || offset > found->ready)
    {
      refuse (request, HTTP_INTERNAL, false);
      return;
    }
  engine_record_run (found, "resume");
  engine_attach (found, request, offset, true);
  engine_deliver (found);
}

static void
on_load_timer (evutil_socket_t fd, short what, void *context)
{
  struct engine *engine = context;
  size_t used = strlen (engine->loaded);

  (void)fd;
  (void)what;
  snprintf (engine->loaded + used, sizeof engine->loaded - used, ",%s",
            engine->loading);
  engine_record (engine, "loaded", engine->loading, "", "", 0);
}

/* Starts loading a model, or returns 429 while the simulated weight store is
   busy.  */
static int
start_loading (struct engine *engine, struct evhttp_request *request,
               const char *model)
{
  struct timeval time = marjoram_clock_timeval (engine->options.load_ms);

  if (engine->options.store_busy > 0)
    {
      engine->options.store_busy--;
      evhttp_add_header (evhttp_request_get_output_headers (request),
                         "Retry-After", "1");
      return 429;
    }
  snprintf (engine->loading, sizeof engine->loading, "%s", model);
  if (!engine->load_end)
    engine->load_end = evtimer_new (engine->base, on_load_timer, engine);
  evtimer_add (engine->load_end, &time);
  return HTTP_OK;
}

static void
handle_order (struct engine *engine, struct evhttp_request *request)
{
  int status = HTTP_OK;

  marjoram_auto_free char *text = body_text (request);
  json_t *body = json_loads (text, 0, NULL);
  json_int_t fence = json_integer_value (json_object_get (body, "fence"));
  const char *word = json_string_value (json_object_get (body, "order"));
  const char *model = json_string_value (json_object_get (body, "model"));
  bool old = (uint64_t)fence < engine->fence;

  engine_record (engine,
                 old && engine->options.fences ? "order-refused" : "order",
                 word ? word : "", model ? model : "", "", fence);
  if (!old)
    engine->fence = (uint64_t)fence;
  if (old && engine->options.fences)
    status = 409;
  else if (word && model && strcmp (word, "load") == 0)
    status = start_loading (engine, request, model);
  json_decref (body);
  evhttp_send_reply (request, status, NULL, NULL);
}

/* POST /fake/fault {"fault": NAME, "count": N, "match": TEXT}.  */
static void
handle_fault (struct engine *engine, struct evhttp_request *request)
{
  marjoram_auto_free char *text = body_text (request);
  json_t *body = json_loads (text, 0, NULL);
  json_t *count = json_object_get (body, "count");

  engine_set_fault (engine,
                    json_string_value (json_object_get (body, "fault")),
                    count ? (int)json_integer_value (count) : -1,
                    json_string_value (json_object_get (body, "match")));
  json_decref (body);
  evhttp_send_reply (request, HTTP_OK, NULL, NULL);
}

/* POST /fake/leave: announces leaving but keeps accepting requests, so that a
   test can detect requests routed to it afterwards.  */
static void
handle_leave (struct engine *engine, struct evhttp_request *request)
{
  announcer_leave (engine->announcer);
  engine_record (engine, "leave", "", "", "", 0);
  evhttp_send_reply (request, HTTP_OK, NULL, NULL);
}

static void
on_http_request (struct evhttp_request *request, void *context)
{
  static const char requests[] = "/v1/requests/";
  struct engine *engine = context;
  const char *uri = evhttp_request_get_uri (request);

  if (strcmp (uri, "/healthz") == 0)
    evhttp_send_reply (request, HTTP_OK, NULL, NULL);
  else if (strcmp (uri, "/fake/fault") == 0)
    handle_fault (engine, request);
  else if (strcmp (uri, "/fake/leave") == 0)
    handle_leave (engine, request);
  else if (!engine->options.service && strcmp (uri, "/v1/orders") == 0)
    handle_order (engine, request);
  else if (!engine->options.service
           && strncmp (uri, requests, sizeof requests - 1) == 0)
    resume (engine, request, uri + sizeof requests - 1);
  else
    handle_work (request, engine);
}

/* Announcements.  */

static void
append_names (json_t *array, const char *names)
{
  marjoram_auto_free char *list = marjoram_strdup (names);
  char *rest = list;
  char *name;

  while ((name = strsep (&rest, ",")))
    if (*name)
      json_array_append_new (array, json_string (name));
}

static json_t *
describe (void *context)
{
  struct engine *engine = context;
  struct options *options = &engine->options;
  json_t *works = json_array ();
  json_t *loadable = json_array ();

  append_names (works, options->works);
  append_names (works, engine->loaded);
  append_names (loadable, options->loadable);
  if (!options->lag_ms)
    {
      engine->reported_running = engine->running;
      engine->reported_waiting = engine->waiting;
    }
  return json_pack (
      "{ss sI ss ss ss sb so so si si si si}", "name", options->name,
      "incarnation", (json_int_t)engine->incarnation, "zone", options->zone,
      "address", options->address, "kind",
      options->service ? "service" : "engine", "fences", options->fences,
      "works", works, "loadable", loadable, "slots", options->slots,
      "lease_ms", options->lease_ms, "running", engine->reported_running,
      "waiting", engine->reported_waiting);
}

static void
sample_load (evutil_socket_t fd, short what, void *context)
{
  struct engine *engine = context;

  (void)fd;
  (void)what;
  engine->reported_running = engine->running;
  engine->reported_waiting = engine->waiting;
}

static void
on_sigterm (evutil_socket_t fd, short what, void *context)
{
  struct engine *engine = context;

  (void)fd;
  (void)what;
  if (engine->stopping)
    return;
  engine->stopping = true;
  announcer_leave (engine->announcer);
}

static struct event *
add_periodic_timer (struct engine *engine, int ms, event_callback_fn callback)
{
  struct event *event
      = event_new (engine->base, -1, EV_PERSIST, callback, engine);
  struct timeval period = { ms / 1000, ms % 1000 * 1000L };

  if (ms)
    event_add (event, &period);
  return event;
}

static bool
start (struct engine *engine)
{
  struct options *options = &engine->options;
  marjoram_auto_free char *address = marjoram_strdup (options->listen);
  char *colon = strchr (address, ':');
  struct event_config *config = event_config_new ();

  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  engine->base = event_base_new_with_config (config);
  event_config_free (config);
  engine->http = evhttp_new (engine->base);
  evhttp_set_max_body_size (engine->http, MAX_BODY);
  evhttp_set_gencb (engine->http, on_http_request, engine);
  *colon = 0;
  if (evhttp_bind_socket (engine->http, address,
                          (uint16_t)strtoul (colon + 1, NULL, 10)))
    return false;
  engine->announcer = announcer_create (engine->base, options->entries,
                                        options->lease_ms, describe, engine);
  engine->step = add_periodic_timer (engine, options->token_ms, engine_step);
  engine->lag = add_periodic_timer (engine, options->lag_ms, sample_load);
  engine->cache_event
      = add_periodic_timer (engine, options->cache_ms, engine_report_cache);
  event_add (evsignal_new (engine->base, SIGTERM, on_sigterm, engine), NULL);
  return true;
}

enum option_kind
{
  OPTION_TEXT,
  OPTION_NUMBER,
  OPTION_YES,
  OPTION_FLAG
};

struct option_spec
{
  const char *name;
  enum option_kind kind;
  size_t offset;
};

#define OPTION_SPEC(name, kind, member)                                       \
  {                                                                           \
    name, kind, offsetof (struct options, member)                             \
  }

static const struct option_spec option_specs[]
    = { OPTION_SPEC ("name", OPTION_TEXT, name),
        OPTION_SPEC ("zone", OPTION_TEXT, zone),
        OPTION_SPEC ("listen", OPTION_TEXT, listen),
        OPTION_SPEC ("address", OPTION_TEXT, address),
        OPTION_SPEC ("entry", OPTION_TEXT, entries),
        OPTION_SPEC ("works", OPTION_TEXT, works),
        OPTION_SPEC ("history", OPTION_TEXT, history),
        OPTION_SPEC ("crash-on", OPTION_TEXT, crash_on),
        OPTION_SPEC ("fault", OPTION_TEXT, fault),
        OPTION_SPEC ("service", OPTION_FLAG, service),
        OPTION_SPEC ("fences", OPTION_YES, fences),
        OPTION_SPEC ("resume", OPTION_YES, resume),
        OPTION_SPEC ("slots", OPTION_NUMBER, slots),
        OPTION_SPEC ("lease-ms", OPTION_NUMBER, lease_ms),
        OPTION_SPEC ("token-ms", OPTION_NUMBER, token_ms),
        OPTION_SPEC ("prefill-us", OPTION_NUMBER, prefill_us),
        OPTION_SPEC ("work-ms", OPTION_NUMBER, work_ms),
        OPTION_SPEC ("linger-ms", OPTION_NUMBER, linger_ms),
        OPTION_SPEC ("lag-ms", OPTION_NUMBER, lag_ms),
        OPTION_SPEC ("cache", OPTION_NUMBER, cache_size),
        OPTION_SPEC ("cache-ms", OPTION_NUMBER, cache_ms),
        OPTION_SPEC ("cache-gap", OPTION_NUMBER, cache_gap),
        OPTION_SPEC ("loadable", OPTION_TEXT, loadable),
        OPTION_SPEC ("load-ms", OPTION_NUMBER, load_ms),
        OPTION_SPEC ("store-busy", OPTION_NUMBER, store_busy) };

enum
{
  OPTION_COUNT = sizeof option_specs / sizeof option_specs[0]
};

static void
set_option (struct options *options, const struct option_spec *spec,
            const char *value)
{
  char *member = (char *)options + spec->offset;

  if (spec->kind == OPTION_TEXT)
    *(const char **)member = value;
  else if (spec->kind == OPTION_NUMBER)
    *(int *)member = (int)strtol (value, NULL, 10);
  else
    *(bool *)member = !value || strcmp (value, "yes") == 0;
}

static bool
read_options (struct options *options, int argc, char **argv)
{
  struct option table[OPTION_COUNT + 1] = { { 0 } };
  int index;
  int option;

  for (int i = 0; i < OPTION_COUNT; i++)
    table[i] = (struct option){ option_specs[i].name,
                                option_specs[i].kind == OPTION_FLAG
                                    ? no_argument
                                    : required_argument,
                                NULL, 0 };
  while ((option = getopt_long (argc, argv, "", table, &index)) != -1)
    if (option == 0)
      set_option (options, &option_specs[index], optarg);
    else
      return false;
  if (!options->address)
    options->address = options->listen;
  return options->listen && strchr (options->listen, ':')
         && options->token_ms > 0 && options->cache_size <= CACHE_MAX;
}

int
main (int argc, char **argv)
{
  struct engine engine = { .options = { .name = "upstream",
                                        .zone = "",
                                        .entries = "",
                                        .works = "model",
                                        .loadable = "",
                                        .load_ms = 200,
                                        .fences = true,
                                        .resume = true,
                                        .slots = 8,
                                        .lease_ms = 3000,
                                        .token_ms = 5,
                                        .linger_ms = 2000 },
                           .history_fd = -1,
                           .cache_added = json_array (),
                           .cache_removed = json_array (),
                           .barred = json_object () };

  TAILQ_INIT (&engine.active);
  STAILQ_INIT (&engine.kept);
  signal (SIGPIPE, SIG_IGN);
  if (!read_options (&engine.options, argc, argv))
    {
      fprintf (stderr, "usage: fake_engine --listen IP:PORT [--entry LIST] "
                       "..., see test/fake_engine.c\n");
      return EXIT_FAILURE;
    }
  if (engine.options.history)
    engine.history_fd = open (engine.options.history,
                              O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  engine.incarnation = marjoram_clock_wall (marjoram_clock_system ());
  engine_set_fault (&engine, engine.options.fault, -1, NULL);
  if (!start (&engine))
    {
      fprintf (stderr, "fake_engine: cannot listen on %s\n",
               engine.options.listen);
      return EXIT_FAILURE;
    }
  event_base_dispatch (engine.base);
  fflush (NULL);
  _exit (EXIT_SUCCESS); /* skips cleanup */
}
