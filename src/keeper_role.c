/* The keeper role: replicates the configuration with the other keepers, serves
   upstreams and operators, and publishes state to all hosts.  */
#include "keeper_role_private.h"

#include "cleanup.h"
#include "event_log.h"
#include "gateway_report.h"
#include "only_build.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

enum
{
  REPAIR_INTERVAL_MS = 100,
  KEEPER_TICK_MS = 100,
  /* Time for answers to leave the sockets after a stop signal.  */
  LINGER_MS = 300,
  /* Writes and attempts that take longer are logged.  */
  SLOW_MS = 500,
  /* Between two lines that records of streams were dropped.  */
  FULL_LOG_INTERVAL_MS = 1000,
  /* Three heartbeats between keepers.  */
  MAJORITY_HEARD_MS = 3500,
  LOCATION_MAX = 512, /* bytes */
  MSEC_PER_SEC = 1000,
  STATUS_OK = 200,
  STATUS_UNAVAILABLE = 503
};

/* Request number of automatic repairs; the registrar never uses it.  */
#define REPAIR_REQUEST UINT64_MAX

int64_t
marjoram_keeper_role_now (const struct marjoram_keeper_role *self)
{
  return marjoram_clock_now (self->parts->clock);
}

/* ---- The keeper's operations.  ---- */

static void
op_send (void *context, const char *slot,
         const struct marjoram_keeper_message *message)
{
  struct marjoram_keeper_role *self = context;

  marjoram_host_links_send_either (self->parts->links, slot,
                                   MARJORAM_FRAME_KEEPER, message);
}

static void
op_persist (void *context, uint64_t ticket, marjoram_bytes *record)
{
  struct marjoram_keeper_role *self = context;

  self->write_started_at = marjoram_keeper_role_now (self);
  self->write_reported = false;
  marjoram_disk_write (self->disk, ticket, record);
}

static void
op_chosen (void *context, const struct marjoram_state *state)
{
  struct marjoram_keeper_role *self = context;
  const struct marjoram_file *routes
      = marjoram_state_file (state, MARJORAM_FILE_ROUTES);

  marjoram_event (MARJORAM_EVENT_CONFIG,
                  "state=chosen number=%" PRIu64 " version=%" PRIu64
                  " members=%zu changing=%d",
                  state->number, routes ? routes->version : 0,
                  state->members.count, state->next_members.count > 0);
  marjoram_registrar_state_learnt (self->registrar,
                                   marjoram_keeper_role_now (self));
  marjoram_keeper_announce_state (self);
}

static void
op_answered (void *context, uint64_t request,
             const struct marjoram_apply_answer *answer)
{
  struct marjoram_keeper_role *self = context;

  if (request != REPAIR_REQUEST)
    {
      marjoram_registrar_request_completed (
          self->registrar, marjoram_keeper_role_now (self), request, answer);
      return;
    }
  marjoram_event (MARJORAM_EVENT_KEEPER,
                  "state=replaced outcome=%d result=%d why=\"%s\"",
                  (int)answer->outcome, (int)answer->result,
                  answer->message ? answer->message : "");
  marjoram_keeper_repair_answered (self->repair);
}

static bool
op_wants (void *context, uint64_t request)
{
  struct marjoram_keeper_role *self = context;

  return marjoram_registrar_wants (self->registrar, request);
}

/* Operators' files are validated before they are proposed.  */
static bool
op_valid (void *context, const struct marjoram_state *state,
          struct marjoram_error *err)
{
  (void)context;
  (void)state;
  (void)err;
  return true;
}

static void
op_confirmed (void *context, int64_t started_at, uint64_t number)
{
  struct marjoram_keeper_role *self = context;

  marjoram_keeper_admission_confirmed (self->admission, started_at, number);
}

static void
op_ballot_ended (void *context, const struct marjoram_ballot_report *report)
{
  static const struct
  {
    const char *word;
    enum marjoram_metric metric;
  } ends[MARJORAM_BALLOT_END_COUNT] = {
    [MARJORAM_BALLOT_COMPLETED]
    = { "completed", MARJORAM_METRIC_BALLOTS_COMPLETED },
    [MARJORAM_BALLOT_OUTDATED]
    = { "outdated", MARJORAM_METRIC_BALLOTS_OUTDATED },
    [MARJORAM_BALLOT_TIMED_OUT]
    = { "timed-out", MARJORAM_METRIC_BALLOTS_TIMED_OUT },
  };
  struct marjoram_keeper_role *self = context;

  marjoram_metrics_add (self->parts->metrics, ends[report->end].metric, 1);
  if (report->end != MARJORAM_BALLOT_COMPLETED
      || report->age_ms + report->deferred_ms >= SLOW_MS)
    marjoram_event (
        MARJORAM_EVENT_KEEPER,
        "state=ballot round=%" PRIu64 " end=%s ms=%" PRId64
        " deferred_ms=%" PRId64 " phase=%s votes=%zu rejected_by=%s",
        report->round, ends[report->end].word, report->age_ms,
        report->deferred_ms, report->accepting ? "accept" : "prepare",
        report->votes, report->by ? report->by : "-");
}

static const struct marjoram_keeper_ops keeper_ops = {
  .send = op_send,
  .confirmed = op_confirmed,
  .ballot_ended = op_ballot_ended,
  .persist = op_persist,
  .chosen = op_chosen,
  .answered = op_answered,
  .wants = op_wants,
  .valid = op_valid,
};

static void
on_written (void *context, uint64_t ticket, bool ok)
{
  struct marjoram_keeper_role *self = context;
  int64_t took_ms = marjoram_keeper_role_now (self) - self->write_started_at;

  marjoram_metrics_observe (self->parts->metrics, MARJORAM_TIMING_WRITE,
                            took_ms);
  if (took_ms >= SLOW_MS)
    marjoram_event (MARJORAM_EVENT_KEEPER,
                    "state=slow-write ticket=%" PRIu64 " ms=%" PRId64, ticket,
                    took_ms);
  if (!ok)
    marjoram_event (MARJORAM_EVENT_KEEPER, "state=disk-failed ticket=%" PRIu64,
                    ticket);
  marjoram_keeper_persisted (self->keeper, marjoram_keeper_role_now (self),
                             ticket, ok);
}

static const struct marjoram_disk_ops disk_ops = { .written = on_written };

/* ---- The registrar's operations.  ---- */

static void
reg_respond (void *context, uint64_t request_id, int status, const char *body,
             size_t size)
{
  struct marjoram_keeper_role *self = context;

  marjoram_api_server_respond (self->parts->api_server, request_id, status,
                               "application/json", body, size);
}

static size_t
reg_broadcast (void *context, const struct marjoram_news_batch *batch)
{
  return marjoram_keeper_publish_changes (context, batch);
}

static void
reg_relay (void *context, const struct marjoram_news_batch *batch)
{
  marjoram_keeper_relay_changes (context, batch);
}

static void
reg_renew (void *context, const struct marjoram_news_batch *batch)
{
  marjoram_keeper_publish_renewals (context, batch);
}

static void
reg_apply (void *context, uint64_t request, const char *change_id,
           const struct marjoram_file *file)
{
  struct marjoram_keeper_role *self = context;

  marjoram_keeper_apply (self->keeper, marjoram_keeper_role_now (self),
                         request, change_id, file);
}

static void
reg_read (void *context, uint64_t request)
{
  struct marjoram_keeper_role *self = context;

  marjoram_keeper_read (self->keeper, marjoram_keeper_role_now (self),
                        request);
}

static void
reg_order (void *context, uint64_t request, const char *change_id,
           const struct marjoram_evacuation_order *order)
{
  struct marjoram_keeper_role *self = context;

  marjoram_keeper_order (self->keeper, marjoram_keeper_role_now (self),
                         request, change_id, order);
}

static void
reg_redirect (void *context, uint64_t request_id, const char *target)
{
  struct marjoram_keeper_role *self = context;
  char location[LOCATION_MAX];

  snprintf (location, sizeof location, "http://%s%s",
            self->parts->settings->control_address, target);
  marjoram_api_server_redirect (self->parts->api_server, request_id, location);
}

static const struct marjoram_state *
reg_state (void *context)
{
  struct marjoram_keeper_role *self = context;

  return marjoram_keeper_chosen_state (self->keeper);
}

static bool
reg_arrival (void *context, uint64_t request_id,
             struct marjoram_api_arrival *arrival)
{
  struct marjoram_keeper_role *self = context;

  return marjoram_api_server_arrival (self->parts->api_server, request_id,
                                      arrival);
}

static int64_t
reg_decision_ms (void *context)
{
  struct marjoram_keeper_role *self = context;

  return marjoram_keeper_decision_ms (self->keeper);
}

static const struct marjoram_registrar_ops registrar_ops = {
  .respond = reg_respond,
  .broadcast = reg_broadcast,
  .relay = reg_relay,
  .renew = reg_renew,
  .apply = reg_apply,
  .read = reg_read,
  .order = reg_order,
  .redirect = reg_redirect,
  .state = reg_state,
  .arrival = reg_arrival,
  .decision_ms = reg_decision_ms,
};

static bool
knows_zone (void *context, const char *zone)
{
  struct marjoram_keeper_role *self = context;

  return marjoram_gateway_settings_region (self->parts->settings, zone)
         != NULL;
}

/* ---- Origins of streams.  ---- */

static void
add_origin (struct marjoram_keeper_role *self, int64_t now,
            const struct marjoram_stream_begun *begun)
{
  const struct marjoram_stream_origin origin
      = { begun->service, begun->build };

  if (!begun->id || !begun->build || begun->keep_ms <= 0
      || marjoram_stream_origins_add (self->origins, now, begun->id, &origin,
                                      begun->keep_ms)
      || now < self->origins_full_at + FULL_LOG_INTERVAL_MS)
    return;
  self->origins_full_at = now;
  marjoram_event (MARJORAM_EVENT_KEEPER, "state=stream-origins-full count=%zu",
                  marjoram_stream_origins_count (self->origins));
}

/* A keeper that hears no majority may be cut off together with an upstream's
   hosts, and does not know what the others hear.  */
static void
find_only_build (const struct marjoram_keeper_role *self, int64_t now,
                 const struct marjoram_stream_ask *ask,
                 struct marjoram_stream_answer *answer)
{
  const struct marjoram_only_build found
      = marjoram_only_build_find (self->registry, self->parts->hosts, now,
                                  ask->service, now - ask->for_ms);

  if (marjoram_keeper_hears_majority (self->keeper, MAJORITY_HEARD_MS))
    answer->build = (char *)found.build;
  answer->keepers = found.keepers;
}

static void
find_origin (const struct marjoram_keeper_role *self, int64_t now,
             struct marjoram_stream_answer *answer)
{
  const struct marjoram_stream_origin *origin
      = marjoram_stream_origins_find (self->origins, now, answer->id);

  if (!origin)
    return;
  answer->build = (char *)origin->build;
  answer->service = (char *)origin->service;
}

static void
answer_origin (struct marjoram_keeper_role *self, int64_t now,
               const char *host, uint64_t session,
               const struct marjoram_stream_ask *ask)
{
  struct marjoram_stream_answer answer = { .id = ask->id, .call = ask->call };

  if (!ask->id)
    return;
  if (ask->service)
    find_only_build (self, now, ask, &answer);
  else
    find_origin (self, now, &answer);
  marjoram_host_links_reply (self->parts->links, host, session,
                             MARJORAM_FRAME_STREAM_ANSWER, &answer);
}

/* ---- The role's operations.  ---- */

static struct marjoram_keeper_role *
self_of (struct marjoram_role *role)
{
  return (struct marjoram_keeper_role *)role;
}

static void
role_heartbeat (struct marjoram_role *role, const char *host, uint64_t session,
                bool joins, const struct marjoram_host_beat *heartbeat)
{
  struct marjoram_keeper_role *self = self_of (role);

  if (heartbeat->config_number > 0)
    marjoram_keeper_observe_number (self->keeper, heartbeat->config_number);
  if (joins)
    marjoram_keeper_send_snapshot (self, host, session, heartbeat);
  marjoram_keeper_announce_state_to (self, host, session, heartbeat);
}

static void
role_frame (struct marjoram_role *role, const char *host, uint64_t session,
            enum marjoram_frame_type type, void *message)
{
  struct marjoram_keeper_role *self = self_of (role);
  const struct marjoram_news_batch *batch = message;
  const struct marjoram_news_seen *seen = message;
  int64_t now = marjoram_keeper_role_now (self);

  if (type == MARJORAM_FRAME_KEEPER)
    {
      marjoram_keeper_receive (self->keeper, now, host, message);
      marjoram_registrar_state_learnt (self->registrar, now);
    }
  else if (type == MARJORAM_FRAME_NEWS)
    {
      marjoram_registrar_apply_batch (self->registrar, now, host, batch);
      if (batch->has_known)
        marjoram_registry_set_known (self->registry, now - batch->known_ms);
      if (batch->ticket)
        {
          const struct marjoram_news_seen reply = { batch->ticket };

          marjoram_host_links_reply (self->parts->links, host, session,
                                     MARJORAM_FRAME_NEWS_SEEN, &reply);
        }
    }
  else if (type == MARJORAM_FRAME_NEWS_SEEN)
    marjoram_registrar_acknowledged (self->registrar, seen->ticket);
  else if (type == MARJORAM_FRAME_NEWS_ASK)
    marjoram_keeper_answer_news_ask (self, host, session, message);
  else if (type == MARJORAM_FRAME_CRASHES)
    marjoram_keeper_forward_crashes (self, host, message);
  else if (type == MARJORAM_FRAME_STATE_ASK)
    marjoram_keeper_send_state_piece (self, host, session, message);
  else if (type == MARJORAM_FRAME_LEASE_ASK)
    marjoram_keeper_admission_ask_lease (self->admission, host, session,
                                         message);
  else if (type == MARJORAM_FRAME_QUOTA_ASK)
    marjoram_keeper_admission_ask_quota (self->admission, host, session,
                                         message);
  else if (type == MARJORAM_FRAME_STREAM_BEGUN)
    add_origin (self, now, message);
  else if (type == MARJORAM_FRAME_STREAM_ASK)
    answer_origin (self, now, host, session, message);
  else if (type == MARJORAM_FRAME_QUOTA_GRANT)
    marjoram_keeper_admission_granted (self->admission, message);
  marjoram_wire_destroy (marjoram_frame_layout (type), message);
}

static void
role_session_closed (struct marjoram_role *role, const char *host,
                     uint64_t session)
{
  (void)role;
  (void)host;
  (void)session;
}

/* Only keepers are linked with.  */
static void
role_link_up (struct marjoram_role *role, const char *host)
{
  struct marjoram_keeper_role *self = self_of (role);

  marjoram_keeper_probe (self->keeper, marjoram_keeper_role_now (self), host);
}

static void
role_link_lost (struct marjoram_role *role, const char *host)
{
  (void)role;
  (void)host;
}

static void
role_fill_heartbeat (struct marjoram_role *role,
                     struct marjoram_host_beat *heartbeat)
{
  struct marjoram_keeper_role *self = self_of (role);
  const struct marjoram_state *state
      = marjoram_keeper_durable_state (self->keeper);

  heartbeat->ready = self->stopped_at == 0;
  heartbeat->leaving = self->stopped_at != 0;
  heartbeat->config_number = state ? state->number : 0;
}

static void
role_api_request (struct marjoram_role *role, uint64_t request_id,
                  const char *method, const char *target, const char *body,
                  size_t size)
{
  struct marjoram_keeper_role *self = self_of (role);

  if (self->stopped_at)
    reg_respond (self, request_id, STATUS_UNAVAILABLE, NULL, 0);
  else
    marjoram_registrar_receive (self->registrar,
                                marjoram_keeper_role_now (self), request_id,
                                method, target, body, size);
}

static json_t *
role_report (struct marjoram_role *role, int64_t now)
{
  struct marjoram_keeper_role *self = self_of (role);
  const struct marjoram_state *state
      = marjoram_keeper_chosen_state (self->keeper);
  const struct marjoram_file *routes
      = state ? marjoram_state_file (state, MARJORAM_FILE_ROUTES) : NULL;
  struct marjoram_names zones = marjoram_evacuation_zones (state);
  json_t *report = json_pack (
      "{s:s, s:I, s:o, s:o, s:o, s:o}", "role", "keeper", "config_version",
      (json_int_t)(routes ? routes->version : 0), "evacuated",
      marjoram_gateway_report_zones (&zones), "keeper",
      marjoram_gateway_report_keeper (self->keeper), "upstreams",
      marjoram_gateway_report_upstreams (self->registry, now), "quotas",
      marjoram_keeper_admission_report (self->admission));

  marjoram_names_clear (&zones);
  return report;
}

static void
role_reload (struct marjoram_role *role)
{
  marjoram_keeper_admission_reload (self_of (role)->admission);
}

static void
tick_repair (struct marjoram_keeper_role *self, int64_t now)
{
  struct marjoram_keeper_change change;

  if (now < self->repair_ticked_at + REPAIR_INTERVAL_MS)
    return;
  self->repair_ticked_at = now;
  if (!marjoram_keeper_repair_tick (self->repair, now, self->keeper,
                                    self->parts->hosts, &change))
    return;
  marjoram_event (MARJORAM_EVENT_KEEPER, "state=%s old=%s new=%s id=%s",
                  *change.old ? "replacing" : "adding",
                  *change.old ? change.old : "-", change.new,
                  change.change_id);
  marjoram_keeper_repair_apply (self->repair, &change, self->keeper, now,
                                REPAIR_REQUEST);
}

static int64_t
repair_within_ms (const struct marjoram_keeper_role *self)
{
  return (int64_t)(self->parts->settings->repair_within_s * MSEC_PER_SEC);
}

/* Reports each step of a store that is not a member yet.  */
static void
check_store (struct marjoram_keeper_role *self, int64_t now)
{
  const enum marjoram_store_step step
      = marjoram_keeper_store_step (self->keeper);
  int64_t ms;

  if (!marjoram_store_progress_update (self->progress, now, step))
    return;
  ms = marjoram_store_progress_ms (self->progress, step);
  marjoram_event (
      MARJORAM_EVENT_KEEPER,
      "state=store step=%s ms=%" PRId64 " reached_ms=%" PRId64
      " learnt_ms=%" PRId64 " asked_ms=%" PRId64 " late=%d",
      marjoram_store_step_name (step), ms,
      marjoram_store_progress_ms (self->progress, MARJORAM_STORE_REACHED),
      marjoram_store_progress_ms (self->progress, MARJORAM_STORE_LEARNT),
      marjoram_store_progress_ms (self->progress, MARJORAM_STORE_ASKED),
      ms > repair_within_ms (self));
  if (step == MARJORAM_STORE_MEMBER)
    marjoram_metrics_observe (self->parts->metrics, MARJORAM_TIMING_MEMBERSHIP,
                              ms);
}

/* Reports that nothing can be decided, and when it can again.  A keeper that
   has just started has not heard of the others yet.  */
static void
check_majority (struct marjoram_keeper_role *self, int64_t now)
{
  const int64_t limit_ms = repair_within_ms (self);
  const bool heard = marjoram_keeper_hears_majority (self->keeper, limit_ms);
  const char *trouble = heard ? NULL : marjoram_keeper_trouble (self->keeper);

  if (now < self->created_at + limit_ms
      || !marjoram_keeper_is_member (self->keeper)
      || heard != self->majority_missed)
    return;
  self->majority_missed = !heard;
  marjoram_event (MARJORAM_EVENT_KEEPER, "state=%s why=\"%s\"",
                  heard ? "majority-heard" : "majority-missed",
                  trouble ? trouble : "");
}

/* Reports a write while it hangs.  */
static void
check_write (struct marjoram_keeper_role *self, int64_t now)
{
  int64_t age_ms = marjoram_keeper_write_age_ms (self->keeper, now);

  if (age_ms < SLOW_MS || self->write_reported)
    return;
  self->write_reported = true;
  marjoram_event (MARJORAM_EVENT_KEEPER, "state=write-pending ms=%" PRId64,
                  age_ms);
}

static void
role_tick (struct marjoram_role *role, int64_t now)
{
  struct marjoram_keeper_role *self = self_of (role);

  if (now < self->ticked_at + KEEPER_TICK_MS / 2)
    return;
  self->ticked_at = now;
  marjoram_keeper_tick (self->keeper, now);
  marjoram_registrar_tick (self->registrar, now);
  marjoram_keeper_publish_liveness (self, now);
  marjoram_registry_tick (self->registry, now);
  marjoram_keeper_admission_tick (self->admission, now);
  marjoram_crash_list_expire (self->crashes, now);
  marjoram_stream_origins_expire (self->origins, now);
  tick_repair (self, now);
  check_write (self, now);
  check_store (self, now);
  check_majority (self, now);
}

static void
role_stop (struct marjoram_role *role, int64_t now)
{
  self_of (role)->stopped_at = now;
}

static bool
role_finished (struct marjoram_role *role, int64_t now)
{
  return now >= self_of (role)->stopped_at + LINGER_MS;
}

static void
role_destroy (struct marjoram_role *role)
{
  struct marjoram_keeper_role *self = self_of (role);

  marjoram_keeper_admission_destroy (self->admission);
  marjoram_keeper_destroy (self->keeper);
  marjoram_disk_destroy (self->disk);
  marjoram_registrar_destroy (self->registrar);
  marjoram_registry_destroy (self->registry);
  marjoram_keeper_repair_destroy (self->repair);
  marjoram_store_progress_destroy (self->progress);
  marjoram_crash_list_destroy (self->crashes);
  marjoram_stream_origins_destroy (self->origins);
  marjoram_random_destroy (self->random);
  marjoram_state_sender_destroy (self->state_sender);
  free (self);
}

static const struct marjoram_role_ops role_ops = {
  .frame = role_frame,
  .heartbeat = role_heartbeat,
  .session_closed = role_session_closed,
  .link_up = role_link_up,
  .link_lost = role_link_lost,
  .fill_heartbeat = role_fill_heartbeat,
  .api_request = role_api_request,
  .report = role_report,
  .reload = role_reload,
  .tick = role_tick,
  .stop = role_stop,
  .finished = role_finished,
  .destroy = role_destroy,
};

/* The syncs of an opening block the process, so it is announced before.  */
static bool
open_disk (struct marjoram_keeper_role *self, struct marjoram_error *err)
{
  int64_t started_at = marjoram_keeper_role_now (self);

  marjoram_event (MARJORAM_EVENT_KEEPER, "state=opening-store folder=%s",
                  self->parts->settings->data_folder);
  marjoram_event_log_flush ();
  self->disk = marjoram_disk_create (self->parts->base,
                                     self->parts->settings->data_folder,
                                     &disk_ops, self, err);
  if (!self->disk)
    return false;
  marjoram_event (MARJORAM_EVENT_KEEPER, "state=opened-store ms=%" PRId64,
                  marjoram_keeper_role_now (self) - started_at);
  return true;
}

static bool
create_keeper (struct marjoram_keeper_role *self, struct marjoram_error *err)
{
  const struct marjoram_gateway_settings *settings = self->parts->settings;
  struct marjoram_keeper_options options = { 0 };

  if (!open_disk (self, err))
    return false;
  options.slot = settings->ip;
  options.store_id = marjoram_disk_id (self->disk);
  options.incarnation = marjoram_disk_incarnation (self->disk);
  options.admission_ms = repair_within_ms (self);
  options.record = marjoram_disk_read (self->disk);
  /* Only on the first start of the deployment: an empty keeper that joins
     later must not help to bootstrap a second initial state.  */
  if (settings->first_start)
    {
      options.first = (const char *const *)settings->seeds;
      options.first_count = settings->seed_count;
    }
  self->keeper = marjoram_keeper_create (&options, &keeper_ops, self,
                                         self->random, err);
  if (settings->first_start && !options.record)
    marjoram_registry_set_known (self->registry, INT64_MIN / 2);
  else
    marjoram_registry_set_known_from_start (self->registry, self->created_at);
  marjoram_bytes_release (options.record);
  return self->keeper != NULL;
}

static void
create_registrar (struct marjoram_keeper_role *self)
{
  struct marjoram_registrar_options options = {
    .dialect = self->parts->dialect,
    .registry = self->registry,
    .hosts = self->parts->hosts,
    .metrics = self->parts->metrics,
    .lookup_valid_s = self->parts->settings->lookup_valid_s,
    .host = self->parts->settings->ip,
    .zone = self->parts->settings->zone,
    .knows_zone = knows_zone,
    .context = self,
  };
  char ip[MARJORAM_IP_MAX];

  marjoram_address_split (self->parts->settings->control_address, ip,
                          &options.heartbeat_port);
  randombytes_buf (&options.nonce, sizeof options.nonce);
  self->registrar = marjoram_registrar_create (&options, &registrar_ops, self);
}

struct marjoram_role *
marjoram_keeper_role_create (const struct marjoram_role_context *parts,
                             struct marjoram_error *err)
{
  struct marjoram_keeper_role *self = marjoram_alloc (sizeof *self);
  uint64_t seed;

  randombytes_buf (&seed, sizeof seed);
  self->role.ops = &role_ops;
  self->parts = parts;
  self->created_at = marjoram_keeper_role_now (self);
  self->progress = marjoram_store_progress_create (self->created_at);
  self->random = marjoram_random_create (seed);
  self->registry = marjoram_registry_create ();
  self->crashes = marjoram_crash_list_create ();
  self->origins = marjoram_stream_origins_create ();
  self->origins_full_at = INT64_MIN / 2;
  self->state_sender = marjoram_state_sender_create ();
  self->repair = marjoram_keeper_repair_create (
      parts->settings->ip, (size_t)parts->settings->disk_losses,
      repair_within_ms (self));
  create_registrar (self);
  if (create_keeper (self, err))
    {
      self->admission = marjoram_keeper_admission_create (self);
      return &self->role;
    }
  role_destroy (&self->role);
  return NULL;
}
