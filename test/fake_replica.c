/* Fake platform upstream: sends heartbeats to a keeper, answers health
   checks, plain requests and streams, and injects the fault named in the
   request path.  Logs each run.  On SIGHUP it goes dark, as a machine without
   power does: it reads and sends nothing and answers no new connections, until
   the next SIGHUP.  On SIGTERM it reports that it is draining,
   keeps serving until SHUTDOWN_DELAY_MS after the acknowledgement, and
   deregisters.  */
#include "cleanup.h"
#include "clock.h"
#include "http_server.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fcntl.h>
#include <getopt.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  FDS_MAX = 1024,
  FILLERS = 4, /* connections that fill the listener's queue */
  LISTEN_BACKLOG = 128,
  BEAT_MS = 300,
  EVENT_MS = 20,
  EVENTS = 5,
  LONG_EVENTS = 150, /* 3 s of events */
  PACED_MS = 25,     /* for each of these requests, one after the other */
  CALL_TIMEOUT_S = 1,
  SHUTDOWN_DELAY_MS = 500, /* after draining was acknowledged */
  ADDRESS_MAX = 64,
  PATH_MAX_BYTES = 256,
  KEEPERS_MAX = 8,
  HEAD_BYTES_MAX = 128 * 1024,
  BODY_BYTES_MAX = 16 * 1024 * 1024,
  READ_TIMEOUT_MS = 15000,
  MSEC_PER_SEC = 1000
};

struct replica
{
  struct event_base *base;
  struct marjoram_clock *clock;
  marjoram_http_server *server;
  const char *id;
  const char *service;
  const char *zone;
  const char *version;
  const char *address; /* announced address */
  const char *listen;
  char *keepers[KEEPERS_MAX];
  int keeper_count;
  int keeper; /* index of the current keeper */
  int sequence;
  int64_t started_at;
  int64_t free_at; /* after the paced requests */
  bool leaving;
  bool acknowledged;
  int log;
  struct event *heartbeat;
};

/* Event stream in progress.  */
struct stream
{
  struct replica *replica;
  uint64_t call;
  int next;
  int last;
  bool cut;  /* cut the connection within the third event */
  bool half; /* end the answer in order within the third event */
  struct event *timer;
};

static void
log_event (struct replica *replica, const char *what, const char *id)
{
  char line[256];
  int size = snprintf (line, sizeof line, "%s replica=%s id=%s\n", what,
                       replica->id, id ? id : "-");

  if (write (replica->log, line, (size_t)size) < 0)
    abort ();
}

/* Heartbeats.  */

static void
on_keeper_response (struct evhttp_request *answer, void *context)
{
  struct replica *replica = context;

  if (!answer || evhttp_request_get_response_code (answer) / 100 != 2)
    replica->keeper = (replica->keeper + 1) % replica->keeper_count;
  else if (replica->leaving)
    replica->acknowledged = true;
}

static void
post_to_keeper (struct replica *replica, const char *what)
{
  char ip[ADDRESS_MAX];
  unsigned int port;
  char path[PATH_MAX_BYTES];
  struct evhttp_connection *connection;
  struct evhttp_request *request
      = evhttp_request_new (on_keeper_response, replica);

  if (sscanf (replica->keepers[replica->keeper], "%63[^:]:%u", ip, &port) != 2)
    abort ();
  connection = evhttp_connection_base_new (replica->base, NULL, ip,
                                           (unsigned short)port);
  evhttp_connection_set_timeout (connection, CALL_TIMEOUT_S);
  evhttp_connection_free_on_completion (connection);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host", ip);
  evbuffer_add_printf (
      evhttp_request_get_output_buffer (request),
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
      "\"version\":\"%s\",\"slots\":8,\"state\":\"%s\","
      "\"cold_remaining_ms\":0,\"seq\":%d,\"born\":%" PRId64 "}",
      replica->service, replica->address, replica->zone, replica->version,
      replica->leaving ? "draining" : "ready", ++replica->sequence,
      replica->started_at);
  snprintf (path, sizeof path, "/-/instances/%s/%s", replica->id, what);
  evhttp_make_request (connection, request, EVHTTP_REQ_POST, path);
}

static void
on_exit_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (((struct replica *)context)->base);
}

static void
on_heartbeat_timer (evutil_socket_t fd, short what, void *context)
{
  struct replica *replica = context;
  struct timeval wait = marjoram_clock_timeval (SHUTDOWN_DELAY_MS);

  (void)fd;
  (void)what;
  if (!replica->acknowledged)
    {
      post_to_keeper (replica, "heartbeat");
      return;
    }
  log_event (replica, "acknowledged", NULL);
  event_del (replica->heartbeat);
  post_to_keeper (replica, "deregister");
  event_base_once (replica->base, -1, EV_TIMEOUT, on_exit_timer, replica,
                   &wait);
}

static void
on_sigterm (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  ((struct replica *)context)->leaving = true;
}

/* Darkness.  */

/* The listening socket of the server, which has no other.  */
static int
find_listener (void)
{
  for (int fd = 0; fd < FDS_MAX; fd++)
    {
      int listens = 0;
      socklen_t size = sizeof listens;

      if (getsockopt (fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0
          && listens)
        return fd;
    }
  abort ();
}

/* With a full queue the kernel drops the packets that open connections.  */
static void
fill_queue (int listener, int fillers[FILLERS])
{
  struct sockaddr_storage addr = { 0 };
  socklen_t size = sizeof addr;

  if (listen (listener, 0) != 0
      || getsockname (listener, (struct sockaddr *)&addr, &size) != 0)
    abort ();
  for (int i = 0; i < FILLERS; i++)
    {
      fillers[i] = socket (addr.ss_family,
                           SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      if (connect (fillers[i], (struct sockaddr *)&addr, size) != 0
          && errno != EINPROGRESS)
        abort ();
    }
}

static void
on_sighup (evutil_socket_t fd, short what, void *context)
{
  struct replica *replica = context;
  const int listener = find_listener ();
  int fillers[FILLERS];
  sigset_t hangup;
  int received;

  (void)fd;
  (void)what;
  log_event (replica, "dark", NULL);
  fill_queue (listener, fillers);
  sigemptyset (&hangup);
  sigaddset (&hangup, SIGHUP);
  sigprocmask (SIG_BLOCK, &hangup, NULL);
  sigwait (&hangup, &received);
  sigprocmask (SIG_UNBLOCK, &hangup, NULL);
  for (int i = 0; i < FILLERS; i++)
    close (fillers[i]);
  if (listen (listener, LISTEN_BACKLOG) != 0)
    abort ();
  log_event (replica, "back", NULL);
}

/* Requests.  */

/* A part of a prompt that crashes this program.  */
#define CRASHING_PART "dead:"
/* In a target, before the id of the program that refuses it.  */
#define SHED "shed-"
/* Likewise, of the program whose answer says that it leaves.  */
#define LEAVING "leaving-"
#define SHED_RETRY_AFTER "3" /* seconds */
/* Before the size in bytes of a header's value, the number of headers or the
   size of the body that the answer has.  */
#define VALUE "value-"
#define FIELDS "fields-"
#define BODY "body-"
/* Before the milliseconds that the request takes.  */
#define WORK "work-"

static void
add_response_headers (struct marjoram_header_list *headers, const char *id,
                      bool is_signed)
{
  marjoram_header_list_add (headers, "Marjoramproxy-Attempt-Id", id);
  if (is_signed)
    marjoram_header_list_add (headers, "Marjoramproxy-Response-Seal", "seal");
}

/* With a header NAME, unless that is null.  */
static void
reply_with (struct replica *replica, uint64_t call, int status, const char *id,
            const char *body, const char *name, const char *value)
{
  struct marjoram_header_list headers = { 0 };

  add_response_headers (&headers, id, status != 503);
  if (name)
    marjoram_header_list_add (&headers, name, value);
  if (status == 503 || status == 421)
    marjoram_header_list_add (&headers, "Marjoramproxy-Not-Executed", "1");
  marjoram_http_server_head (replica->server, call, status, &headers,
                             (int64_t)strlen (body));
  marjoram_http_server_data (replica->server, call, body, strlen (body));
  marjoram_http_server_end (replica->server, call);
  marjoram_header_list_clear (&headers);
}

static void
reply (struct replica *replica, uint64_t call, int status, const char *id,
       const char *body)
{
  reply_with (replica, call, status, id, body, NULL, NULL);
}

static void
on_event (evutil_socket_t fd, short what, void *context)
{
  struct stream *stream = context;
  marjoram_http_server *server = stream->replica->server;
  struct timeval wait = marjoram_clock_timeval (EVENT_MS);
  char text[64];
  int size;

  (void)fd;
  (void)what;
  size = snprintf (text, sizeof text, "id: %d\ndata: part-%d\n\n",
                   stream->next, stream->next);
  if ((stream->cut || stream->half) && stream->next == 3)
    {
      marjoram_http_server_data (server, stream->call, text, (size_t)size / 2);
      if (stream->cut)
        marjoram_http_server_abort (server, stream->call);
      else
        marjoram_http_server_end (server, stream->call);
    }
  else
    {
      marjoram_http_server_data (server, stream->call, text, (size_t)size);
      if (stream->next++ < stream->last)
        {
          evtimer_add (stream->timer, &wait);
          return;
        }
      marjoram_http_server_end (server, stream->call);
    }
  event_free (stream->timer);
  free (stream);
}

static void
start_stream (struct replica *replica, uint64_t call, const char *id,
              const char *last_event, const char *target)
{
  struct marjoram_header_list headers = { 0 };
  struct stream *stream = marjoram_alloc (sizeof *stream);
  struct timeval wait = marjoram_clock_timeval (EVENT_MS);

  add_response_headers (&headers, id, true);
  marjoram_header_list_add (&headers, "Content-Type", "text/event-stream");
  marjoram_http_server_head (replica->server, call, 200, &headers, -1);
  marjoram_header_list_clear (&headers);
  stream->replica = replica;
  stream->call = call;
  stream->next = last_event ? atoi (last_event) + 1 : 1;
  stream->last = strstr (target, "long") ? LONG_EVENTS : EVENTS;
  stream->cut = strstr (target, "cut") && !last_event;
  stream->half = strstr (target, "half") && !last_event;
  stream->timer = evtimer_new (replica->base, on_event, stream);
  evtimer_add (stream->timer, &wait);
}

/* A request that is processed later.  */
struct paced
{
  struct replica *replica;
  uint64_t call;
  char id[PATH_MAX_BYTES];
};

static void
on_paced (evutil_socket_t fd, short what, void *context)
{
  struct paced *paced = context;

  (void)fd;
  (void)what;
  reply (paced->replica, paced->call, 200, paced->id, paced->replica->id);
  free (paced);
}

static void
reply_after (struct replica *replica, uint64_t call, const char *id,
             int64_t work_ms)
{
  struct paced *paced = marjoram_alloc (sizeof *paced);
  struct timeval wait = marjoram_clock_timeval (work_ms);

  paced->replica = replica;
  paced->call = call;
  snprintf (paced->id, sizeof paced->id, "%s", id);
  event_base_once (replica->base, -1, EV_TIMEOUT, on_paced, paced, &wait);
}

static void
reply_in_turn (struct replica *replica, uint64_t call, const char *id)
{
  const int64_t now = marjoram_clock_now (replica->clock);

  if (replica->free_at < now)
    replica->free_at = now;
  replica->free_at += PACED_MS;
  reply_after (replica, call, id, replica->free_at - now);
}

static bool
target_contains (const struct marjoram_http_request *request,
                 const char *fault)
{
  return strstr (request->target, fault) != NULL;
}

static bool
prompt_contains (const struct marjoram_http_request *request, const char *part)
{
  const char *prompt = marjoram_header_list_get (
      &request->headers, "Marjoramproxy-Prompt-Prefix");

  return prompt && strstr (prompt, part);
}

/* Whether the target ends with FAULT and the id of this program.  */
static bool
is_target_of (const struct replica *replica,
              const struct marjoram_http_request *request, const char *fault)
{
  const char *name = strstr (request->target, fault);

  return name && strcmp (name + strlen (fault), replica->id) == 0;
}

static void
shed (struct replica *replica, uint64_t call, const char *id)
{
  log_event (replica, "shed", id);
  reply_with (replica, call, 503, id, "", "Retry-After", SHED_RETRY_AFTER);
}

/* The number after WHAT in the target; 0 if it is not there.  */
static size_t
target_size (const struct marjoram_http_request *request, const char *what)
{
  const char *name = strstr (request->target, what);

  return name ? strtoul (name + strlen (what), NULL, 10) : 0;
}

static char *
make_text (size_t size)
{
  char *text = marjoram_alloc (size + 1);

  memset (text, 'x', size);
  return text;
}

static void
reply_sized (struct replica *replica, uint64_t call, const char *id,
             const struct marjoram_http_request *request)
{
  const size_t fields = target_size (request, FIELDS);
  const size_t size = target_size (request, BODY);
  marjoram_auto_free char *value = make_text (target_size (request, VALUE));
  marjoram_auto_free char *body = make_text (size);
  struct marjoram_header_list headers = { 0 };

  add_response_headers (&headers, id, true);
  marjoram_header_list_add (&headers, "X-Value", value);
  for (size_t i = 0; i < fields; i++)
    marjoram_header_list_add (&headers, "X-Field", "1");
  marjoram_http_server_head (replica->server, call, 200, &headers,
                             (int64_t)size);
  marjoram_http_server_data (replica->server, call, body, size);
  marjoram_http_server_end (replica->server, call);
  marjoram_header_list_clear (&headers);
}

static void
handle_request (struct replica *replica, uint64_t call,
                const struct marjoram_http_request *request, const char *id)
{
  const struct marjoram_header_list *headers = &request->headers;

  log_event (replica, "run", id);
  log_event (replica, replica->version, id);
  if (marjoram_header_list_get (headers, "Marjoramproxy-Tenant"))
    log_event (replica, "customer",
               marjoram_header_list_get (headers, "Marjoramproxy-Tenant"));
  if (marjoram_header_list_get (headers, "Authorization"))
    log_event (replica, "credential", id);
  if (prompt_contains (request, CRASHING_PART))
    _exit (EXIT_FAILURE);
  if (target_contains (request, "hang"))
    return;
  if (target_contains (request, "crash"))
    _exit (EXIT_FAILURE);
  if (target_contains (request, WORK))
    reply_after (replica, call, id, (int64_t)target_size (request, WORK));
  else if (target_contains (request, "paced"))
    reply_in_turn (replica, call, id);
  else if (target_contains (request, "break"))
    marjoram_http_server_abort (replica->server, call);
  else if (target_contains (request, "fail"))
    reply (replica, call, 500, id, "failed");
  else if (is_target_of (replica, request, LEAVING))
    reply_with (replica, call, 200, id, replica->id, "Server-Leaving", "1");
  else if (target_contains (request, "stray"))
    reply (replica, call, 200, "another", "not yours");
  else if (target_contains (request, "sized-"))
    reply_sized (replica, call, id, request);
  else if (target_contains (request, "/stream/"))
    start_stream (replica, call, id,
                  marjoram_header_list_get (headers, "Last-Event-Id"),
                  request->target);
  else
    reply (replica, call, 200, id, replica->id);
}

static void
on_request (void *context, uint64_t call,
            struct marjoram_http_request *request)
{
  struct replica *replica = context;
  const struct marjoram_header_list *headers = &request->headers;
  const char *id
      = marjoram_header_list_get (headers, "Marjoramproxy-Attempt-Id");
  const char *target
      = marjoram_header_list_get (headers, "Marjoramproxy-Target-Instance");

  if (!id)
    reply (replica, call, strcmp (request->target, "/health") ? 400 : 200, "",
           "");
  else if (target && strcmp (target, replica->id) != 0)
    reply (replica, call, 421, id, "");
  else if (marjoram_header_list_get (headers, "Marjoramproxy-Hold"))
    log_event (replica, "smuggled", id);
  else if (target_contains (request, "full"))
    reply (replica, call, 503, id, "");
  else if (is_target_of (replica, request, SHED))
    shed (replica, call, id);
  else
    handle_request (replica, call, request, id);
  marjoram_http_request_destroy (request);
}

static void
on_caller_disconnect (void *context, uint64_t call)
{
  (void)call;
  log_event (context, "caller-left", NULL);
}

static void
on_rejected (void *context, int status, const char *why)
{
  (void)status;
  log_event (context, "rejected", why);
}

static const struct marjoram_http_server_ops ops = {
  .request = on_request, .gone = on_caller_disconnect, .rejected = on_rejected
};

/* Startup.  */

static void
add_keepers (struct replica *replica, char *list)
{
  char *rest = list;
  char *one;

  while ((one = strsep (&rest, ",")) && replica->keeper_count < KEEPERS_MAX)
    replica->keepers[replica->keeper_count++] = one;
}

static bool
read_options (struct replica *replica, int argc, char **argv)
{
  static const struct option options[]
      = { { "address", required_argument, NULL, 'a' },
          { "listen", required_argument, NULL, 'n' },
          { "id", required_argument, NULL, 'i' },
          { "service", required_argument, NULL, 's' },
          { "zone", required_argument, NULL, 'z' },
          { "version", required_argument, NULL, 'v' },
          { "keepers", required_argument, NULL, 'k' },
          { "log", required_argument, NULL, 'l' },
          { NULL, 0, NULL, 0 } };
  int option;

  replica->log = -1;
  replica->version = "v1";
  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    switch (option)
      {
      case 'a':
        replica->address = optarg;
        break;
      case 'n':
        replica->listen = optarg;
        break;
      case 'i':
        replica->id = optarg;
        break;
      case 's':
        replica->service = optarg;
        break;
      case 'z':
        replica->zone = optarg;
        break;
      case 'v':
        replica->version = optarg;
        break;
      case 'k':
        add_keepers (replica, optarg);
        break;
      case 'l':
        replica->log
            = open (optarg, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        break;
      default:
        return false;
      }
  return replica->address && replica->listen && replica->id && replica->service
         && replica->zone && replica->keeper_count > 0 && replica->log >= 0;
}

int
main (int argc, char **argv)
{
  struct replica replica = { .clock = marjoram_clock_system () };
  const struct marjoram_http_limits limits
      = { HEAD_BYTES_MAX, BODY_BYTES_MAX, READ_TIMEOUT_MS, READ_TIMEOUT_MS };
  struct timeval every = marjoram_clock_timeval (BEAT_MS);
  struct marjoram_error err = { 0 };

  if (!read_options (&replica, argc, argv))
    {
      fprintf (
          stderr,
          "usage: fake_replica --address IP:PORT --listen IP:PORT --id ID "
          "--service NAME --zone ZONE [--version VERSION] "
          "--keepers IP:PORT,... --log FILE\n");
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  replica.base = event_base_new ();
  replica.started_at = marjoram_clock_wall (replica.clock);
  replica.server = marjoram_http_server_create (
      replica.base, replica.clock, replica.listen, &ops, &replica, &err);
  if (!replica.server)
    {
      fprintf (stderr, "fake_replica: %s\n", err.message);
      return EXIT_FAILURE;
    }
  marjoram_http_server_set_limits (replica.server, &limits);
  replica.heartbeat
      = event_new (replica.base, -1, EV_PERSIST, on_heartbeat_timer, &replica);
  event_add (replica.heartbeat, &every);
  event_add (evsignal_new (replica.base, SIGTERM, on_sigterm, &replica), NULL);
  event_add (evsignal_new (replica.base, SIGHUP, on_sighup, &replica), NULL);
  log_event (&replica, "start", NULL);
  event_base_dispatch (replica.base);
  log_event (&replica, "stop", NULL);
  return EXIT_SUCCESS;
}
