#include "gateway_daemon.h"

#include "cleanup.h"
#include "drain_window.h"
#include "event_log.h"
#include "gateway_report.h"
#include "role.h"

#include <event2/thread.h>
#include <inttypes.h>
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

enum
{
  SIGNALS = 3, /* SIGTERM, SIGINT, SIGHUP */
  TICK_MS = 25,
  IDLE_TICK_MS = 50, /* while no request is in progress */
  /* Validity of host state relayed by keepers, which send it every 20 s.  */
  RELAYED_VALID_MS = 27000,
  SETTINGS_CHECK_MS = 1000,
  /* After the role has finished: time for its last frames to be written, on a
     link that is stuck, and to reach other regions.  Closing a socket that has
     unread input discards what is in flight.  */
  FLUSH_MAX_MS = 1000,
  LINGER_MS = 150,
  /* After the loop has ended, to write the last responses.  */
  FINAL_LOOP_ITERATIONS = 4,
  STATUS_OK = 200
};

#define METRICS_PATH "/metrics"
#define METRICS_TYPE "text/plain; version=0.0.4"
#define STATUS_PATH "/status"
#define STATUS_TYPE "application/json"

struct marjoram_gateway_daemon
{
  char *settings_path;
  struct marjoram_gateway_settings *settings;
  struct stat settings_stat;
  int64_t settings_checked_at;
  struct event_base *base;
  struct marjoram_clock *clock;
  marjoram_metrics *metrics;
  marjoram_host_list *hosts;
  marjoram_host_links *links;
  marjoram_api_server *api_server;
  struct marjoram_role_context role_context;
  struct marjoram_role *role;
  struct event *tick;
  struct event *signals[SIGNALS];
  int64_t ticked_at;
  int64_t ticked_before; /* the tick before that */
  int64_t stopping_at;   /* 0 until the first signal */
  int64_t finished_at;   /* the role; 0 if it has not finished */
  int64_t flushed_at;    /* the links, after that; 0 if they are not */
  bool drain_incomplete;
};

static int64_t
now_of (const marjoram_gateway_daemon *daemon)
{
  return marjoram_clock_now (daemon->clock);
}

/* ---- Link events, passed to the role. ---- */

static void
on_frame (void *context, const char *host, uint64_t session,
          enum marjoram_frame_type type, void *message)
{
  marjoram_gateway_daemon *daemon = context;

  if (daemon->role)
    daemon->role->ops->frame (daemon->role, host, session, type, message);
  else
    marjoram_wire_destroy (marjoram_frame_layout (type), message);
}

static void
on_heartbeat (void *context, const char *host, uint64_t session, bool joins,
              const struct marjoram_host_beat *heartbeat)
{
  marjoram_gateway_daemon *daemon = context;

  if (daemon->role)
    daemon->role->ops->heartbeat (daemon->role, host, session, joins,
                                  heartbeat);
}

static void
on_session_closed (void *context, const char *host, uint64_t session)
{
  marjoram_gateway_daemon *daemon = context;

  if (daemon->role)
    daemon->role->ops->session_closed (daemon->role, host, session);
}

static void
on_link_up (void *context, const char *host)
{
  marjoram_gateway_daemon *daemon = context;

  if (daemon->role)
    daemon->role->ops->link_up (daemon->role, host);
}

static void
on_link_lost (void *context, const char *host)
{
  marjoram_gateway_daemon *daemon = context;

  marjoram_metrics_add (daemon->metrics, MARJORAM_METRIC_LINKS_LOST, 1);
  if (daemon->role)
    daemon->role->ops->link_lost (daemon->role, host);
}

static bool
needs_link (void *context, const char *host)
{
  marjoram_gateway_daemon *daemon = context;

  return daemon->role && daemon->role->ops->needs_link
         && daemon->role->ops->needs_link (daemon->role, host);
}

static bool
uses_link (void *context, const char *host)
{
  marjoram_gateway_daemon *daemon = context;

  return daemon->role && daemon->role->ops->uses_link
         && daemon->role->ops->uses_link (daemon->role, host);
}

static void
fill_heartbeat (void *context, struct marjoram_host_beat *heartbeat)
{
  marjoram_gateway_daemon *daemon = context;

  if (daemon->role)
    daemon->role->ops->fill_heartbeat (daemon->role, heartbeat);
}

static const struct marjoram_host_links_ops links_ops = {
  .frame = on_frame,
  .heartbeat = on_heartbeat,
  .session_closed = on_session_closed,
  .link_up = on_link_up,
  .link_lost = on_link_lost,
  .needs_link = needs_link,
  .uses_link = uses_link,
  .fill_heartbeat = fill_heartbeat,
};

/* ---- HTTP requests to the status interface. ---- */

/* The result is allocated with malloc.  */
static char *
status_text (marjoram_gateway_daemon *daemon)
{
  const struct marjoram_gateway_settings *settings = daemon->settings;
  int64_t now = now_of (daemon);
  json_t *report = daemon->role->ops->report (daemon->role, now);
  char *text;

  json_object_set_new (report, "name", json_string (settings->name));
  json_object_set_new (report, "zone", json_string (settings->zone));
  json_object_set_new (report, "stopping", json_boolean (daemon->stopping_at));
  json_object_set_new (report, "hosts",
                       marjoram_gateway_report_hosts (daemon->hosts, now));
  text = json_dumps (report, JSON_COMPACT);
  json_decref (report);
  return text;
}

static void
on_api_request (void *context, uint64_t request, const char *method,
                const char *target, const char *body, size_t size)
{
  marjoram_gateway_daemon *daemon = context;
  marjoram_auto_free char *text = NULL;
  const char *type = METRICS_TYPE;

  if (strcmp (target, METRICS_PATH) == 0)
    text = marjoram_metrics_text (daemon->metrics);
  else if (strcmp (target, STATUS_PATH) == 0)
    {
      text = status_text (daemon);
      type = STATUS_TYPE;
    }
  if (text)
    marjoram_api_server_respond (daemon->api_server, request, STATUS_OK, type,
                                 text, strlen (text));
  else
    daemon->role->ops->api_request (daemon->role, request, method, target,
                                    body, size);
}

static const struct marjoram_api_server_ops api_server_ops
    = { .receive = on_api_request };

/* ---- Settings.  ---- */

static void
reload (marjoram_gateway_daemon *daemon, const char *cause)
{
  struct marjoram_error err = { 0 };
  struct marjoram_gateway_settings *settings
      = marjoram_gateway_settings_load (daemon->settings_path, NULL, &err);
  struct marjoram_gateway_settings *old = daemon->settings;

  stat (daemon->settings_path, &daemon->settings_stat);
  if (!settings)
    {
      marjoram_event (MARJORAM_EVENT_PROCESS,
                      "state=reload cause=%s taken=no why=\"%s\"", cause,
                      err.message);
      return;
    }
  daemon->settings = settings;
  daemon->role_context.settings = settings;
  marjoram_host_links_set_settings (daemon->links, settings);
  daemon->role->ops->reload (daemon->role);
  marjoram_event (MARJORAM_EVENT_PROCESS,
                  "state=reload cause=%s taken=yes seeds=%zu", cause,
                  settings->seed_count);
  marjoram_gateway_settings_destroy (old);
}

static void
check_settings_file (marjoram_gateway_daemon *daemon, int64_t now)
{
  struct stat current;
  const struct stat *previous = &daemon->settings_stat;

  if (now < daemon->settings_checked_at + SETTINGS_CHECK_MS)
    return;
  daemon->settings_checked_at = now;
  if (stat (daemon->settings_path, &current) == 0
      && (current.st_mtim.tv_sec != previous->st_mtim.tv_sec
          || current.st_mtim.tv_nsec != previous->st_mtim.tv_nsec
          || current.st_size != previous->st_size
          || current.st_ino != previous->st_ino))
    reload (daemon, "changed");
}

/* ---- Run and shutdown. ---- */

/* Whether the frames that were sent before the role finished have left.  */
static bool
has_flushed_links (marjoram_gateway_daemon *daemon, int64_t now)
{
  if (daemon->finished_at == 0)
    daemon->finished_at = now;
  if (daemon->flushed_at == 0
      && (marjoram_host_links_unsent_bytes (daemon->links) == 0
          || now >= daemon->finished_at + FLUSH_MAX_MS))
    daemon->flushed_at = now;
  return daemon->flushed_at != 0 && now >= daemon->flushed_at + LINGER_MS;
}

static void
check_stopped (marjoram_gateway_daemon *daemon, int64_t now)
{
  struct marjoram_drain_window window;

  if (daemon->stopping_at == 0)
    return;
  window = marjoram_drain_window_create (daemon->stopping_at,
                                         daemon->settings->drain_limit_ms);
  daemon->drain_incomplete = !daemon->role->ops->finished (daemon->role, now);
  if ((!daemon->drain_incomplete && has_flushed_links (daemon, now))
      || now >= window.exit_at)
    event_base_loopbreak (daemon->base);
}

static void
schedule_tick (marjoram_gateway_daemon *daemon)
{
  const struct marjoram_role_ops *ops = daemon->role->ops;
  const bool is_idle = ops->is_busy && !ops->is_busy (daemon->role);
  const struct timeval period
      = marjoram_clock_timeval (is_idle ? IDLE_TICK_MS : TICK_MS);

  event_add (daemon->tick, &period);
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  marjoram_gateway_daemon *daemon = context;
  int64_t now = now_of (daemon);

  (void)fd;
  (void)what;
  daemon->ticked_before = daemon->ticked_at;
  daemon->ticked_at = now;
  marjoram_host_links_tick (daemon->links, now);
  daemon->role->ops->tick (daemon->role, now);
  marjoram_api_server_tick (daemon->api_server);
  check_settings_file (daemon, now);
  check_stopped (daemon, now);
  marjoram_event_log_flush ();
  schedule_tick (daemon);
}

static void
on_signal (evutil_socket_t number, short what, void *context)
{
  marjoram_gateway_daemon *daemon = context;
  int64_t now = now_of (daemon);

  (void)what;
  if (number == SIGHUP)
    {
      reload (daemon, "signal");
      return;
    }
  if (daemon->stopping_at)
    return;
  /* It may have been pending since then, while the process stood still: the
     loop handles a signal after the timers that expired meanwhile.  */
  daemon->stopping_at = daemon->ticked_before;
  marjoram_event (MARJORAM_EVENT_PROCESS,
                  "state=stopping signal=%d pending_ms=%" PRId64, (int)number,
                  now - daemon->stopping_at);
  daemon->role->ops->stop (daemon->role, daemon->stopping_at);
  marjoram_host_links_heartbeat_now (daemon->links, now);
}

/* Incarnations increase with each start of a host; different hosts may have
   equal ones.  */
static uint64_t
new_incarnation (struct marjoram_clock *clock)
{
  return (uint64_t)marjoram_clock_wall (clock);
}

static bool
listen_all (marjoram_gateway_daemon *daemon, struct marjoram_error *err)
{
  const struct marjoram_gateway_settings *settings = daemon->settings;
  const char *const addresses[]
      = { settings->ready_address, settings->control_address,
          settings->lookup_address, settings->metrics_address };

  for (size_t i = 0; i < sizeof addresses / sizeof *addresses; i++)
    if (addresses[i]
        && !marjoram_api_server_listen (daemon->api_server, addresses[i], err))
      return false;
  return true;
}

static bool
create_role (marjoram_gateway_daemon *daemon,
             const struct marjoram_dialect *dialect,
             struct marjoram_error *err)
{
  daemon->role_context = (struct marjoram_role_context){
    .base = daemon->base,
    .clock = daemon->clock,
    .dialect = dialect,
    .settings = daemon->settings,
    .metrics = daemon->metrics,
    .hosts = daemon->hosts,
    .links = daemon->links,
    .api_server = daemon->api_server,
    .incarnation = new_incarnation (daemon->clock),
  };
  daemon->role
      = daemon->settings->role == MARJORAM_ROLE_ENTRY
            ? marjoram_entry_role_create (&daemon->role_context, err)
            : marjoram_keeper_role_create (&daemon->role_context, err);
  return daemon->role != NULL;
}

static void
create_events (marjoram_gateway_daemon *daemon)
{
  static const int numbers[SIGNALS] = { SIGTERM, SIGINT, SIGHUP };
  struct timeval period = marjoram_clock_timeval (TICK_MS);

  daemon->ticked_before = daemon->ticked_at = now_of (daemon);
  daemon->tick = event_new (daemon->base, -1, 0, on_tick, daemon);
  event_add (daemon->tick, &period);
  for (size_t i = 0; i < SIGNALS; i++)
    {
      daemon->signals[i]
          = evsignal_new (daemon->base, numbers[i], on_signal, daemon);
      event_add (daemon->signals[i], NULL);
    }
}

marjoram_gateway_daemon *
marjoram_gateway_daemon_create (struct marjoram_gateway_settings *settings,
                                const char *settings_path,
                                const struct marjoram_dialect *dialect,
                                struct marjoram_error *err)
{
  marjoram_gateway_daemon *daemon = marjoram_alloc (sizeof *daemon);

  signal (SIGPIPE, SIG_IGN);
  if (sodium_init () < 0 || evthread_use_pthreads () != 0)
    abort ();
  daemon->settings = settings;
  daemon->settings_path = marjoram_strdup (settings_path);
  stat (settings_path, &daemon->settings_stat);
  daemon->base = event_base_new ();
  daemon->clock = marjoram_clock_boot ();
  marjoram_event_log_open (settings->name, daemon->clock);
  daemon->metrics = marjoram_metrics_create ();
  daemon->hosts = marjoram_host_list_create ();
  if (settings->role == MARJORAM_ROLE_ENTRY)
    marjoram_host_list_set_relayed_valid (daemon->hosts, RELAYED_VALID_MS);
  daemon->api_server = marjoram_api_server_create (daemon->base, daemon->clock,
                                                   &api_server_ops, daemon);
  daemon->links = marjoram_host_links_create (
      daemon->base, daemon->clock, settings, new_incarnation (daemon->clock),
      daemon->hosts, &links_ops, daemon, err);
  if (daemon->links && create_role (daemon, dialect, err)
      && listen_all (daemon, err))
    {
      create_events (daemon);
      return daemon;
    }
  marjoram_gateway_daemon_destroy (daemon);
  return NULL;
}

void
marjoram_gateway_daemon_destroy (marjoram_gateway_daemon *daemon)
{
  struct marjoram_role *role;

  if (!daemon)
    return;
  for (size_t i = 0; i < SIGNALS; i++)
    if (daemon->signals[i])
      event_free (daemon->signals[i]);
  if (daemon->tick)
    event_free (daemon->tick);
  /* Link events during destruction are ignored.  */
  role = daemon->role;
  daemon->role = NULL;
  marjoram_host_links_destroy (daemon->links);
  if (role)
    role->ops->destroy (role);
  marjoram_api_server_destroy (daemon->api_server);
  marjoram_host_list_destroy (daemon->hosts);
  marjoram_metrics_destroy (daemon->metrics);
  event_base_free (daemon->base);
  marjoram_gateway_settings_destroy (daemon->settings);
  free (daemon->settings_path);
  free (daemon);
}

bool
marjoram_gateway_daemon_run (marjoram_gateway_daemon *daemon)
{
  const struct marjoram_gateway_settings *settings = daemon->settings;

  marjoram_event (MARJORAM_EVENT_PROCESS,
                  "state=start role=%s zone=%s region=%s ip=%s seeds=%zu "
                  "first_start=%d links_authenticated=no incarnation=%" PRIu64,
                  settings->role == MARJORAM_ROLE_ENTRY ? "entry" : "keeper",
                  settings->zone, settings->region, settings->ip,
                  settings->seed_count, settings->first_start,
                  daemon->role_context.incarnation);
  marjoram_event_log_flush ();
  event_base_dispatch (daemon->base);
  for (int i = 0; i < FINAL_LOOP_ITERATIONS; i++)
    event_base_loop (daemon->base, EVLOOP_NONBLOCK);
  marjoram_event (MARJORAM_EVENT_PROCESS, "state=stop cut=%d",
                  daemon->drain_incomplete);
  marjoram_event_log_flush ();
  return !daemon->drain_incomplete;
}
