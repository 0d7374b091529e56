#include "daemon.h"

#include "cleanup.h"
#include "control.h"
#include "inbox.h"
#include "log.h"
#include "report.h"

#include <event2/thread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

enum
{
  TICK_MSEC = 50,
  /* Delay after the last request, to flush responses to the sockets.  */
  FLUSH_DELAY_MSEC = 300,
  /* Final event loop iterations in which received requests are read, refused
     and answered.  */
  FINAL_LOOP_ITERATIONS = 8
};

struct marjoram_daemon
{
  const struct marjoram_settings *settings;
  char *settings_path;
  struct event_base *base;
  struct marjoram_clock *clock;
  marjoram_counters *counters;
  marjoram_random *random;
  marjoram_inbox *inbox;
  marjoram_host *host;
  marjoram_disk *disk;
  marjoram_peer *peer;
  marjoram_upstreams *upstreams;
  marjoram_frontend *frontend;
  marjoram_control *control;
  struct event *tick;
  struct event *sigterm;
  struct event *sigint;
  struct event *sighup;
  bool stopping;
  bool drained;
  bool aborted;
};

/* ---- Host operations.  ---- */

static void
op_reply_head (void *context, uint64_t call, const struct marjoram_head *head,
               const struct marjoram_answer_info *info, int64_t length)
{
  marjoram_daemon *daemon = context;

  marjoram_frontend_head (daemon->frontend, call, head, info, length);
}

static void
op_reply_data (void *context, uint64_t call, marjoram_bytes *bytes)
{
  marjoram_daemon *daemon = context;

  marjoram_frontend_data (daemon->frontend, call, bytes);
}

static void
op_reply_end (void *context, uint64_t call)
{
  marjoram_daemon *daemon = context;

  marjoram_frontend_end (daemon->frontend, call);
}

static void
op_reply_abort (void *context, uint64_t call)
{
  marjoram_daemon *daemon = context;

  marjoram_frontend_abort (daemon->frontend, call);
}

static void
op_reply_refusal (void *context, uint64_t call,
                  const struct marjoram_refusal *refusal)
{
  marjoram_daemon *daemon = context;

  marjoram_frontend_refuse (daemon->frontend, call, refusal);
}

static void
op_run (void *context, uint64_t attempt, const struct marjoram_run *run)
{
  marjoram_daemon *daemon = context;

  marjoram_upstreams_run (daemon->upstreams, attempt, run);
}

static void
op_resume (void *context, uint64_t attempt, const char *address,
           const char *id, uint64_t offset)
{
  marjoram_daemon *daemon = context;

  marjoram_upstreams_resume (daemon->upstreams, attempt, address, id, offset);
}

static void
op_cancel (void *context, uint64_t attempt)
{
  marjoram_daemon *daemon = context;

  marjoram_upstreams_cancel (daemon->upstreams, attempt);
}

static void
op_probe (void *context, const char *upstream, uint64_t incarnation,
          const char *address)
{
  marjoram_daemon *daemon = context;

  marjoram_upstreams_probe (daemon->upstreams, upstream, incarnation, address);
}

static void
op_order (void *context, const struct marjoram_order *order)
{
  marjoram_daemon *daemon = context;

  marjoram_upstreams_order (daemon->upstreams, order);
}

static void
op_connect (void *context, const char *slot, const char *address, bool wanted)
{
  marjoram_daemon *daemon = context;

  marjoram_peer_connect (daemon->peer, slot, address, wanted);
}

static void
op_send (void *context, const char *slot, enum marjoram_frame_type type,
         const void *message)
{
  marjoram_daemon *daemon = context;

  marjoram_peer_send (daemon->peer, slot, type, message);
}

static void
op_reply (void *context, const char *slot, uint64_t session,
          enum marjoram_frame_type type, const void *message)
{
  marjoram_daemon *daemon = context;

  marjoram_peer_reply (daemon->peer, slot, session, type, message);
}

static void
op_reconnect (void *context, const char *slot)
{
  marjoram_daemon *daemon = context;

  marjoram_peer_reconnect (daemon->peer, slot);
}

static void
op_persist (void *context, uint64_t ticket, marjoram_bytes *record)
{
  marjoram_daemon *daemon = context;

  marjoram_disk_write (daemon->disk, ticket, record);
}

static void
op_applied (void *context, uint64_t request,
            const struct marjoram_apply_answer *answer)
{
  marjoram_daemon *daemon = context;

  marjoram_control_respond (daemon->control, request, answer);
}

static void
schedule_exit (marjoram_daemon *daemon)
{
  struct timeval delay = marjoram_clock_timeval (FLUSH_DELAY_MSEC);

  event_base_loopexit (daemon->base, &delay);
}

static void
op_drained (void *context)
{
  marjoram_daemon *daemon = context;

  daemon->drained = true;
  daemon->aborted = marjoram_host_request_count (daemon->host) > 0;
  marjoram_frontend_stop_listening (daemon->frontend);
  if (daemon->stopping)
    schedule_exit (daemon);
}

static const struct marjoram_host_ops host_ops = {
  .reply_head = op_reply_head,
  .reply_data = op_reply_data,
  .reply_end = op_reply_end,
  .reply_abort = op_reply_abort,
  .reply_refusal = op_reply_refusal,
  .run = op_run,
  .resume = op_resume,
  .cancel = op_cancel,
  .probe = op_probe,
  .order = op_order,
  .connect = op_connect,
  .send = op_send,
  .reply = op_reply,
  .reconnect = op_reconnect,
  .persist = op_persist,
  .applied = op_applied,
  .drained = op_drained,
};

/* ---- Control operations.  ---- */

static json_t *
control_status (void *context)
{
  marjoram_daemon *daemon = context;

  return marjoram_report_status (daemon->host,
                                 marjoram_clock_now (daemon->clock));
}

static json_t *
control_upstreams (void *context)
{
  marjoram_daemon *daemon = context;

  return marjoram_report_upstreams (daemon->host,
                                    marjoram_clock_now (daemon->clock));
}

static json_t *
control_explain (void *context, const struct marjoram_explain_query *query)
{
  marjoram_daemon *daemon = context;

  return marjoram_report_explain (daemon->host,
                                  marjoram_clock_now (daemon->clock), query);
}

static const struct marjoram_state *
control_state (void *context)
{
  marjoram_daemon *daemon = context;

  return marjoram_host_state (daemon->host);
}

static char *
control_counters (void *context)
{
  marjoram_daemon *daemon = context;

  return marjoram_counters_text (daemon->counters);
}

static void
control_apply (void *context, uint64_t request, const char *change_id,
               const struct marjoram_file *file)
{
  marjoram_daemon *daemon = context;

  marjoram_host_apply (daemon->host, marjoram_clock_now (daemon->clock),
                       request, change_id, file);
}

static void
control_replace (void *context, uint64_t request, const char *change_id,
                 const char *old, const char *new)
{
  marjoram_daemon *daemon = context;

  marjoram_host_replace (daemon->host, marjoram_clock_now (daemon->clock),
                         request, change_id, old, new);
}

static void
drain (marjoram_daemon *daemon)
{
  marjoram_frontend_drain (daemon->frontend);
  marjoram_host_drain (daemon->host, marjoram_clock_now (daemon->clock));
}

static void
control_drain (void *context)
{
  drain (context);
}

static void
control_authentication_failed (void *context)
{
  marjoram_daemon *daemon = context;

  marjoram_counters_add (daemon->counters, MARJORAM_COUNTER_BAD_SECRET, 1);
}

static const struct marjoram_control_ops control_ops = {
  .status = control_status,
  .upstreams = control_upstreams,
  .explain = control_explain,
  .state = control_state,
  .counters = control_counters,
  .apply = control_apply,
  .replace = control_replace,
  .drain = control_drain,
  .authentication_failed = control_authentication_failed,
};

/* ---- Timer and signals.  ---- */

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  marjoram_daemon *daemon = context;

  (void)fd;
  (void)what;
  marjoram_host_tick (daemon->host, marjoram_clock_now (daemon->clock),
                      marjoram_clock_wall (daemon->clock));
}

static void
on_stop (evutil_socket_t signal_number, short what, void *context)
{
  marjoram_daemon *daemon = context;

  (void)signal_number;
  (void)what;
  if (daemon->stopping)
    {
      daemon->aborted = marjoram_host_request_count (daemon->host) > 0;
      marjoram_log (MARJORAM_LOG_WARNING,
                    "second signal received; aborting %zu requests",
                    marjoram_host_request_count (daemon->host));
      marjoram_host_give_up (daemon->host, marjoram_clock_now (daemon->clock));
      event_base_loopbreak (daemon->base);
      return;
    }
  daemon->stopping = true;
  /* It may have been drained already through the control interface.  */
  if (daemon->drained)
    schedule_exit (daemon);
  drain (daemon);
}

static void
on_sighup (evutil_socket_t signal_number, short what, void *context)
{
  marjoram_daemon *daemon = context;
  struct marjoram_error err = { 0 };
  struct marjoram_settings *settings
      = marjoram_settings_load (daemon->settings_path, NULL, &err);

  (void)signal_number;
  (void)what;
  if (!settings)
    {
      marjoram_log (MARJORAM_LOG_ERROR, "cannot reload settings: %s",
                    err.message);
      return;
    }
  marjoram_log_set_level (settings->log_level);
  marjoram_log (MARJORAM_LOG_NOTICE, "log level reloaded");
  marjoram_settings_destroy (settings);
}

static struct event *
signal_event (marjoram_daemon *daemon, int number, event_callback_fn callback)
{
  struct event *event = evsignal_new (daemon->base, number, callback, daemon);

  event_add (event, NULL);
  return event;
}

/* ---- Creation, destruction and main loop.  ---- */

/* The wall clock at startup, which increases on each start even on hosts
   without a disk.  If the clock is set back between two starts, peers refuse
   the host until the former time is reached.  */
static uint64_t
new_incarnation (struct marjoram_clock *clock)
{
  return (uint64_t)marjoram_clock_wall (clock);
}

static bool
create_tasks (marjoram_daemon *daemon, uint64_t incarnation,
              struct marjoram_error *err)
{
  const struct marjoram_settings *settings = daemon->settings;

  if (settings->keeper)
    {
      int64_t started_at = marjoram_clock_now (daemon->clock);

      /* The syncs of an opening block the process.  */
      marjoram_log (MARJORAM_LOG_NOTICE, "opening the store in %s",
                    settings->data_folder);
      daemon->disk = marjoram_disk_create (daemon->base, settings->data_folder,
                                           &marjoram_inbox_disk_ops,
                                           daemon->inbox, err);
      if (!daemon->disk)
        return false;
      marjoram_log (
          MARJORAM_LOG_NOTICE, "opened the store in %lld ms",
          (long long)(marjoram_clock_now (daemon->clock) - started_at));
    }
  daemon->peer = marjoram_peer_create (
      daemon->base, settings, incarnation, daemon->counters,
      &marjoram_inbox_peer_ops, daemon->inbox, err);
  if (!daemon->peer)
    return false;
  daemon->upstreams = marjoram_upstreams_create (
      daemon->base, &marjoram_inbox_upstreams_ops, daemon->inbox);
  daemon->frontend = marjoram_frontend_create (
      daemon->base, settings, daemon->counters, &marjoram_inbox_frontend_ops,
      daemon->inbox, err);
  if (!daemon->frontend)
    return false;
  daemon->control = marjoram_control_create (
      daemon->base, daemon->clock, settings, &control_ops, daemon, err);
  return daemon->control != NULL;
}

static bool
create_host (marjoram_daemon *daemon, uint64_t incarnation,
             struct marjoram_error *err)
{
  struct marjoram_host_options options = { 0 };

  options.settings = daemon->settings;
  options.incarnation = incarnation;
  options.counters = daemon->counters;
  options.random = daemon->random;
  if (daemon->disk)
    {
      options.store_id = marjoram_disk_id (daemon->disk);
      options.store_incarnation = marjoram_disk_incarnation (daemon->disk);
      options.record = marjoram_disk_read (daemon->disk);
    }
  daemon->host = marjoram_host_create (
      &options, &host_ops, daemon, marjoram_clock_now (daemon->clock),
      marjoram_clock_wall (daemon->clock), err);
  marjoram_bytes_release (options.record);
  marjoram_inbox_set_host (daemon->inbox, daemon->host);
  return daemon->host != NULL;
}

static void
create_events (marjoram_daemon *daemon)
{
  struct timeval period = marjoram_clock_timeval (TICK_MSEC);

  daemon->tick = event_new (daemon->base, -1, EV_PERSIST, on_tick, daemon);
  event_add (daemon->tick, &period);
  daemon->sigterm = signal_event (daemon, SIGTERM, on_stop);
  daemon->sigint = signal_event (daemon, SIGINT, on_stop);
  daemon->sighup = signal_event (daemon, SIGHUP, on_sighup);
}

marjoram_daemon *
marjoram_daemon_create (const struct marjoram_settings *settings,
                        const char *settings_path, struct marjoram_error *err)
{
  marjoram_daemon *daemon = marjoram_alloc (sizeof *daemon);
  uint64_t incarnation;
  uint64_t seed;

  signal (SIGPIPE, SIG_IGN);
  if (sodium_init () < 0 || evthread_use_pthreads () != 0)
    abort ();
  randombytes_buf (&seed, sizeof seed);
  daemon->settings = settings;
  daemon->settings_path = marjoram_strdup (settings_path);
  daemon->base = event_base_new ();
  daemon->clock = marjoram_clock_system ();
  daemon->counters = marjoram_counters_create ();
  daemon->random = marjoram_random_create (seed);
  daemon->inbox = marjoram_inbox_create (daemon->base, daemon->clock);
  incarnation = new_incarnation (daemon->clock);
  if (create_tasks (daemon, incarnation, err)
      && create_host (daemon, incarnation, err))
    {
      create_events (daemon);
      return daemon;
    }
  marjoram_daemon_destroy (daemon);
  return NULL;
}

static void
event_destroy (struct event *event)
{
  if (event)
    event_free (event);
}

void
marjoram_daemon_destroy (marjoram_daemon *daemon)
{
  if (!daemon)
    return;
  event_destroy (daemon->tick);
  event_destroy (daemon->sigterm);
  event_destroy (daemon->sigint);
  event_destroy (daemon->sighup);
  marjoram_host_destroy (daemon->host);
  marjoram_control_destroy (daemon->control);
  marjoram_frontend_destroy (daemon->frontend);
  marjoram_upstreams_destroy (daemon->upstreams);
  marjoram_peer_destroy (daemon->peer);
  if (daemon->disk)
    marjoram_disk_destroy (daemon->disk);
  marjoram_inbox_destroy (daemon->inbox);
  marjoram_random_destroy (daemon->random);
  marjoram_counters_destroy (daemon->counters);
  /* Connections of cancelled attempts are freed by the loop.  */
  event_base_loop (daemon->base, EVLOOP_NONBLOCK);
  event_base_free (daemon->base);
  free (daemon->settings_path);
  free (daemon);
}

bool
marjoram_daemon_run (marjoram_daemon *daemon)
{
  marjoram_log (
      MARJORAM_LOG_NOTICE, "started as slot %s in zone %s: entry %s, peer %s",
      daemon->settings->slot, daemon->settings->zone,
      daemon->settings->entry_address, daemon->settings->peer_address);
  event_base_dispatch (daemon->base);
  for (int i = 0; i < FINAL_LOOP_ITERATIONS; i++)
    event_base_loop (daemon->base, EVLOOP_NONBLOCK);
  marjoram_log (MARJORAM_LOG_NOTICE, "stopped");
  return !daemon->aborted;
}
