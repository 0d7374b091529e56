/* The role of an entry host: accepts callers' requests and routes them to
   upstreams of its region, or to an entry host of another region.  */
#include "entry_private.h"

#include "cleanup.h"
#include "event_log.h"
#include "gateway_report.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  /* Update interval of the offers in heartbeats.  Each update goes over all
     upstreams, so it grows with their number.  */
  OFFERS_INTERVAL_MS = 100,
  OFFERS_UPSTREAMS_PER_MS = 2,
  /* A host that forwarded a request so long ago may not have heard yet that
     this one is stopping, and forward more.  */
  FORWARDS_QUIET_MS = 1500,
  /* Retry-After of a draining host: another host can serve the request at
     once.  */
  DRAINING_RETRY_MS = 20,
  CLIENT_TICK_MS = 100,
  KEY_LEASE_PERCENT = 90, /* of the revocation period */
  /* How long after startup newly discovered engines are queried for cached
     prompts.  All upstreams send heartbeats within two seconds; those that
     appear later have empty caches or are reported by other hosts.  */
  SURVEY_PERIOD_MS = 4000,
  /* Engines of a service in a region above which none is queried: one host
     uses only a small share of them.  */
  SURVEY_ENGINES_MAX = 256,
  MEMORY_SHARES = 8,
  MEGABYTE = 1024 * 1024,
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_UNAVAILABLE = 503
};

const struct marjoram_request_failure marjoram_entry_draining
    = { .outcome = MARJORAM_OUTCOME_NOT_RUN,
        .reason = MARJORAM_REASON_DRAINING,
        .status = STATUS_UNAVAILABLE,
        .retry_ms = DRAINING_RETRY_MS,
        .unreached = true };

int64_t
marjoram_entry_now (const struct marjoram_entry *self)
{
  return marjoram_clock_now (self->parts->clock);
}

/* ---- Callbacks of the HTTP server and client.  ---- */

static void
server_request (void *context, uint64_t call,
                struct marjoram_http_request *request)
{
  struct marjoram_entry *self = context;

  if (marjoram_entry_now (self) < self->drain.accept_until)
    {
      marjoram_gateway_receive (self->gateway, marjoram_entry_now (self), call,
                                request, NULL);
      return;
    }
  /* A long response would be aborted by the drain timeout.  */
  marjoram_http_request_destroy (request);
  marjoram_metrics_add_refusal (self->parts->metrics,
                                MARJORAM_REASON_DRAINING);
  marjoram_entry_reject_call (self, call, &marjoram_entry_draining);
}

static void
server_gone (void *context, uint64_t call)
{
  struct marjoram_entry *self = context;

  marjoram_gateway_caller_disconnected (self->gateway,
                                        marjoram_entry_now (self), call);
}

static void
server_rejected (void *context, int status, const char *why)
{
  struct marjoram_entry *self = context;

  marjoram_metrics_add (self->parts->metrics, MARJORAM_METRIC_REJECTED_INPUT,
                        1);
  marjoram_event (MARJORAM_EVENT_REJECT, "call=request status=%d why=%s",
                  status, why);
}

static const struct marjoram_http_server_ops server_ops = {
  .request = server_request, .gone = server_gone, .rejected = server_rejected
};

static bool
client_head (void *context, uint64_t attempt, int status,
             struct marjoram_header_list *headers)
{
  struct marjoram_entry *self = context;

  return marjoram_gateway_head (self->gateway, marjoram_entry_now (self),
                                attempt, status, headers);
}

static void
client_data (void *context, uint64_t attempt, const char *data, size_t size)
{
  struct marjoram_entry *self = context;

  marjoram_gateway_data (self->gateway, marjoram_entry_now (self), attempt,
                         data, size);
}

static void
client_end (void *context, uint64_t attempt, enum marjoram_http_outcome how)
{
  struct marjoram_entry *self = context;

  marjoram_gateway_end (self->gateway, marjoram_entry_now (self), attempt,
                        how);
}

static void
client_lost (void *context, const char *address, bool was_open)
{
  struct marjoram_entry *self = context;

  marjoram_metrics_add (self->parts->metrics, MARJORAM_METRIC_UPSTREAMS_LOST,
                        1);
  marjoram_event (MARJORAM_EVENT_UPSTREAM, "address=%s state=%s", address,
                  was_open ? "connection-lost" : "connect-failed");
  marjoram_placement_connection_lost (
      marjoram_gateway_placement (self->gateway), marjoram_entry_now (self),
      address, was_open);
}

static void
client_connected (void *context, const char *address)
{
  (void)context;
  (void)address;
}

static const struct marjoram_http_client_ops client_ops
    = { .head = client_head,
        .data = client_data,
        .end = client_end,
        .lost = client_lost,
        .connected = client_connected };

/* ---- Configuration.  ---- */

static size_t
at_most (int64_t bytes, size_t max)
{
  return bytes < (int64_t)max ? (size_t)bytes : max;
}

/* Each kind of data that others determine gets this part of the memory:
   bodies of requests, answers of upstreams, responses that callers have not
   read, and frames that other hosts have not.  */
static size_t
share_of_memory (const struct marjoram_entry *self)
{
  return (size_t)self->parts->settings->memory_mb * MEGABYTE / MEMORY_SHARES;
}

static struct marjoram_answer_limits
answer_limits (const struct marjoram_entry *self)
{
  const size_t share = share_of_memory (self);
  const struct marjoram_answer_limits limits
      = { at_most (self->parts->settings->answer_bytes, share - MEGABYTE),
          share };

  return limits;
}

static void
set_http_memory (struct marjoram_entry *self)
{
  const struct marjoram_http_memory memory
      = { share_of_memory (self), share_of_memory (self) };

  self->frame_bytes_max = share_of_memory (self);
  marjoram_http_server_set_memory (self->server, &memory);
}

static void
set_http_limits (struct marjoram_entry *self)
{
  const struct marjoram_caller_rule *callers = &self->table->callers;
  /* A configuration that an earlier release accepted may have higher ones.  */
  const struct marjoram_http_limits limits
      = { at_most (callers->head_bytes, MARJORAM_HEAD_MAX),
          at_most (callers->body_bytes, MARJORAM_BODY_MAX),
          callers->head_timeout_ms, callers->idle_timeout_ms };

  marjoram_http_server_set_limits (self->server, &limits);
}

/* Zones in the first state received after startup are not recorded: the time
   of their evacuation is unknown.  */
static void
record_leaving_zones (struct marjoram_entry *self,
                      const struct marjoram_names *before)
{
  for (size_t i = 0; self->evacuations_known && i < self->evacuated.count; i++)
    if (!marjoram_evacuation_lists (before, self->evacuated.items[i]))
      marjoram_leaving_zones_add (&self->leaving, marjoram_entry_now (self),
                                  self->evacuated.items[i]);
  self->evacuations_known = true;
}

/* Reports zones whose evacuation has ended to the placement, which treats
   their upstreams as cold.  */
static void
set_evacuated (struct marjoram_entry *self, struct marjoram_names zones)
{
  struct marjoram_names before = self->evacuated;

  self->evacuated = zones;
  record_leaving_zones (self, &before);
  for (size_t i = 0; i < before.count; i++)
    if (self->table && !marjoram_evacuation_lists (&zones, before.items[i]))
      marjoram_placement_zone_restored (
          marjoram_gateway_placement (self->gateway),
          marjoram_entry_now (self), before.items[i]);
  marjoram_names_clear (&before);
}

static void
set_table (struct marjoram_entry *self, struct marjoram_route_table *table)
{
  struct marjoram_route_table *old = self->previous_table;

  self->previous_table = self->table;
  self->table = table;
  self->offers_updated_at = 0;
  self->offers.count = 0;
  marjoram_gateway_set_table (self->gateway, marjoram_entry_now (self), table);
  marjoram_route_table_destroy (old);
  set_http_limits (self);
}

/* State numbers are monotonic: delayed copies of older states are ignored.  */
void
marjoram_entry_apply_state (struct marjoram_entry *self,
                            const struct marjoram_state *state)
{
  struct marjoram_error err = { 0 };
  struct marjoram_route_table *table;
  marjoram_auto_free char *zones = NULL;

  if (state->number <= self->config_number)
    return;
  table = marjoram_state_files_routes (state, self->parts->dialect, &err);
  self->config_number = state->number;
  self->config_at = marjoram_entry_now (self);
  marjoram_key_lease_set_number (marjoram_gateway_key_lease (self->gateway),
                                 state->number);
  /* A new state may repeat the same routes.  They must not replace the
     previous table, whose timeouts still apply.  */
  if (table && self->table && table->version == self->table->version)
    marjoram_route_table_destroy (table);
  else if (table)
    set_table (self, table);
  else if (err.kind != MARJORAM_ERROR_NONE)
    marjoram_event (MARJORAM_EVENT_CONFIG,
                    "taken=no number=%" PRIu64 " why=\"%s\"", state->number,
                    err.message);
  set_evacuated (self, marjoram_evacuation_zones (state));
  zones = marjoram_evacuation_join (&self->evacuated);
  marjoram_event (MARJORAM_EVENT_CONFIG,
                  "state=in-force number=%" PRIu64 " version=%" PRIu64
                  " routes=%zu evacuated=%zu zones=%s",
                  state->number, self->table ? self->table->version : 0,
                  self->table ? self->table->routes.count : 0,
                  self->evacuated.count, zones);
}

static struct marjoram_entry *
entry_from_role (struct marjoram_role *role)
{
  return (struct marjoram_entry *)role;
}

static void
role_frame (struct marjoram_role *role, const char *host, uint64_t session,
            enum marjoram_frame_type type, void *message)
{
  marjoram_entry_handle_frame (entry_from_role (role), host, session, type,
                               message);
}

/* ---- Role operations.  ---- */

static bool
role_is_busy (struct marjoram_role *role)
{
  return marjoram_gateway_request_count (entry_from_role (role)->gateway) > 0;
}

static bool
role_uses_link (struct marjoram_role *role, const char *host)
{
  return marjoram_gateway_forwards_to (entry_from_role (role)->gateway, host);
}

static bool
role_needs_link (struct marjoram_role *role, const char *host)
{
  return marjoram_entry_shares_loads (entry_from_role (role), host);
}

static void
role_heartbeat (struct marjoram_role *role, const char *host, uint64_t session,
                bool joins, const struct marjoram_host_beat *heartbeat)
{
  (void)role;
  (void)host;
  (void)session;
  (void)joins;
  (void)heartbeat;
}

static void
role_session_closed (struct marjoram_role *role, const char *host,
                     uint64_t session)
{
  marjoram_entry_handle_cancel (entry_from_role (role), host, session, 0);
}

static void
role_link_up (struct marjoram_role *role, const char *host)
{
  marjoram_entry_send_crashes (entry_from_role (role), host);
}

static void
role_link_lost (struct marjoram_role *role, const char *host)
{
  struct marjoram_entry *self = entry_from_role (role);

  marjoram_state_fetch_disconnected (self->fetch, host);
  marjoram_gateway_link_lost (self->gateway, marjoram_entry_now (self), host);
}

bool
marjoram_entry_is_ready (const struct marjoram_entry *self)
{
  return self->table && !self->stopped_at;
}

static int64_t
offers_interval_ms (const struct marjoram_entry *self)
{
  int64_t msec = (int64_t)marjoram_registry_count (self->registry)
                 / OFFERS_UPSTREAMS_PER_MS;

  return msec > OFFERS_INTERVAL_MS ? msec : OFFERS_INTERVAL_MS;
}

/* The offers borrow their strings from the route table.  */
static void
update_offers (struct marjoram_entry *self)
{
  const struct marjoram_service_rule *services;
  struct marjoram_host_offer *offers;
  size_t count;

  if (!self->table
      || marjoram_entry_now (self)
             < self->offers_updated_at + offers_interval_ms (self))
    return;
  self->offers_updated_at = marjoram_entry_now (self);
  services = self->table->services.items;
  count = self->table->services.count;
  if (count > MARJORAM_HOST_OFFERS_MAX)
    count = MARJORAM_HOST_OFFERS_MAX;
  free (self->offers.items);
  self->offers.items = offers = marjoram_alloc (count * sizeof *offers);
  self->offers.count = 0;
  for (size_t i = 0; i < count; i++)
    {
      struct marjoram_host_offer *offer = &offers[self->offers.count];

      marjoram_gateway_offer (self->gateway, self->offers_updated_at,
                              &services[i], offer);
      self->offers.count += offer->upstreams > 0;
    }
}

static void
role_fill_heartbeat (struct marjoram_role *role,
                     struct marjoram_host_beat *heartbeat)
{
  struct marjoram_entry *self = entry_from_role (role);

  update_offers (self);
  heartbeat->ready = marjoram_entry_is_ready (self);
  heartbeat->leaving = self->stopped_at != 0;
  heartbeat->config_number = self->config_number;
  heartbeat->offers = self->offers;
  heartbeat->offers_nothing = self->offers.count == 0;
}

static void
role_api_request (struct marjoram_role *role, uint64_t request_id,
                  const char *method, const char *target, const char *body,
                  size_t size)
{
  struct marjoram_entry *self = entry_from_role (role);
  struct marjoram_api_request what = { 0 };
  int status = STATUS_NOT_FOUND;

  if (self->parts->dialect->ops->read_api_request (method, target, body, size,
                                                   &what, NULL)
      && what.kind == MARJORAM_API_READY)
    status = marjoram_entry_is_ready (self) ? STATUS_OK : STATUS_UNAVAILABLE;
  marjoram_api_server_respond (self->parts->api_server, request_id, status,
                               "text/plain", NULL, 0);
}

static json_t *
role_report (struct marjoram_role *role, int64_t now)
{
  struct marjoram_entry *self = entry_from_role (role);
  json_t *report = json_pack (
      "{s:s, s:b, s:I, s:I, s:I, s:o, s:o, s:o}", "role", "entry", "ready",
      marjoram_entry_is_ready (self), "config_version",
      (json_int_t)(self->table ? self->table->version : 0), "config_number",
      (json_int_t)self->config_number, "requests_open",
      (json_int_t)marjoram_gateway_request_count (self->gateway), "evacuated",
      marjoram_gateway_report_zones (&self->evacuated), "upstreams",
      marjoram_gateway_report_upstreams (self->registry, now), "customers",
      marjoram_gateway_report_customers (
          marjoram_gateway_key_lease (self->gateway),
          marjoram_gateway_quota_pool (self->gateway), now));

  if (marjoram_gateway_features (self->gateway)->balance_regions)
    json_object_set_new (
        report, "forward_windows",
        marjoram_gateway_report_windows (
            marjoram_gateway_forward_windows (self->gateway)));
  if (marjoram_gateway_features (self->gateway)->share_room)
    {
      json_object_set_new (
          report, "room",
          marjoram_gateway_report_room (
              marjoram_gateway_room_share (self->gateway), now));
      json_object_set_new (
          report, "room_collector",
          json_string (marjoram_entry_room_collector (self, now)));
    }
  if (marjoram_gateway_features (self->gateway)->check_upstreams)
    json_object_set_new (report, "dark_upstreams",
                         marjoram_gateway_report_dark (self->gateway, now));
  return report;
}

static struct marjoram_repeat_limits
repeat_terms (const struct marjoram_entry *self)
{
  const struct marjoram_gateway_settings *settings = self->parts->settings;
  const struct marjoram_repeat_limits terms
      = { settings->repeat_ratio, settings->repeat_allowance,
          settings->repeat_window_ms };

  return terms;
}

/* Ends before the revocation period, as a margin for differing clock rates. */
static struct marjoram_load_features
load_features (const struct marjoram_entry *self)
{
  const struct marjoram_gateway_settings *settings = self->parts->settings;
  struct marjoram_load_features features = settings->load;

  for (size_t i = 0; i < settings->load_terms.count; i++)
    {
      struct marjoram_load_features needed = { 0 };

      self->parts->dialect->ops->read_term (settings->load_terms.items[i],
                                            &needed);
      marjoram_load_features_add (&features, &needed);
    }
  return features;
}

static int64_t
key_lease_ms (const struct marjoram_entry *self)
{
  return self->parts->settings->revocation_ms * KEY_LEASE_PERCENT / 100;
}

static void
set_drain (struct marjoram_entry *self)
{
  if (self->stopped_at)
    self->drain = marjoram_drain_window_create (
        self->stopped_at, self->parts->settings->drain_limit_ms);
  marjoram_gateway_set_drain (self->gateway, &self->drain);
}

static void
role_reload (struct marjoram_role *role)
{
  struct marjoram_entry *self = entry_from_role (role);
  const struct marjoram_repeat_limits terms = repeat_terms (self);
  const struct marjoram_load_features load = load_features (self);
  const struct marjoram_answer_limits answers = answer_limits (self);

  marjoram_repeat_budget_set (marjoram_gateway_budget (self->gateway),
                              marjoram_entry_now (self), &terms);
  marjoram_key_lease_set_period (marjoram_gateway_key_lease (self->gateway),
                                 key_lease_ms (self));
  marjoram_gateway_set_load (self->gateway, &load);
  marjoram_gateway_set_answer_limits (self->gateway, &answers);
  set_http_memory (self);
  set_drain (self);
}

static void
survey_cached (void *context, const char *engine,
               const struct marjoram_prompt_part *parts, size_t count)
{
  struct marjoram_entry *self = context;

  marjoram_placement_add_cached (marjoram_gateway_placement (self->gateway),
                                 engine, parts, count);
}

static const struct marjoram_engine_survey_ops survey_ops
    = { .cached = survey_cached };

static void
survey_service (struct marjoram_entry *self,
                const struct marjoram_service_rule *service)
{
  struct marjoram_registered_list *upstreams
      = marjoram_registry_of_service (self->registry, service->name);
  struct marjoram_registered *upstream;

  if (!service->has_engine || !upstreams
      || marjoram_registry_service_count (self->registry, service->name)
             > SURVEY_ENGINES_MAX)
    return;
  TAILQ_FOREACH (upstream, upstreams, service_link)
  {
    const char *region = marjoram_gateway_settings_region (
        self->parts->settings, upstream->heartbeat.zone);

    if (upstream->heartbeat.state == MARJORAM_UPSTREAM_READY && region
        && strcmp (region, self->parts->settings->region) == 0)
      marjoram_engine_survey_query (self->survey, upstream->heartbeat.id,
                                    upstream->heartbeat.address);
  }
}

/* After a restart of all hosts, no host knows the engines' caches.  */
static void
survey_engines (struct marjoram_entry *self, int64_t now)
{
  const struct marjoram_service_rule *services;

  marjoram_engine_survey_tick (self->survey);
  if (!self->table || self->parts->settings->first_start
      || now > self->created_at + SURVEY_PERIOD_MS)
    return;
  services = self->table->services.items;
  for (size_t i = 0; i < self->table->services.count; i++)
    survey_service (self, &services[i]);
}

static void
role_tick (struct marjoram_role *role, int64_t now)
{
  struct marjoram_entry *self = entry_from_role (role);

  marjoram_registry_use_summaries (
      self->registry, marjoram_host_links_follows_one (self->parts->links));
  marjoram_connect_probes_tick (self->probes,
                                marjoram_host_links_lag (self->parts->links));
  marjoram_gateway_tick (self->gateway, now);
  marjoram_state_fetch_tick (self->fetch, now);
  marjoram_entry_renew_lease (self, now);
  marjoram_entry_ask_news (self, now);
  marjoram_entry_report_loads (self, now);
  marjoram_entry_report_room (self, now);
  survey_engines (self, now);
  if (now >= self->client_ticked_at + CLIENT_TICK_MS)
    {
      self->client_ticked_at = now;
      marjoram_http_client_tick (self->client,
                                 marjoram_host_links_lag (self->parts->links));
      marjoram_http_server_tick (self->server);
      marjoram_entry_end_overflowed (self);
      marjoram_registry_tick (self->registry, now);
    }
  if (self->stopped_at && !self->closed && now >= self->drain.accept_until)
    {
      self->closed = true;
      marjoram_http_server_close_idle (self->server);
    }
}

static void
role_stop (struct marjoram_role *role, int64_t now)
{
  struct marjoram_entry *self = entry_from_role (role);

  self->stopped_at = now;
  set_drain (self);
  marjoram_http_server_drain (self->server);
}

static bool
role_finished (struct marjoram_role *role, int64_t now)
{
  struct marjoram_entry *self = entry_from_role (role);

  return self->closed && marjoram_gateway_request_count (self->gateway) == 0
         && (!self->forwarded_at
             || now >= self->forwarded_at + FORWARDS_QUIET_MS)
         && marjoram_http_server_is_closed (self->server);
}

static void
role_destroy (struct marjoram_role *role)
{
  struct marjoram_entry *self = entry_from_role (role);
  struct marjoram_inbound *inbound;
  struct marjoram_inbound *next;

  HASH_ITER (hh, self->inbound, inbound, next)
  {
    marjoram_entry_remove_inbound (self, inbound);
  }
  marjoram_gateway_destroy (self->gateway);
  marjoram_engine_survey_destroy (self->survey);
  marjoram_connect_probes_destroy (self->probes);
  marjoram_state_fetch_destroy (self->fetch);
  marjoram_load_collector_destroy (self->collector);
  marjoram_room_collector_destroy (self->room_collector);
  marjoram_http_client_destroy (self->client);
  marjoram_http_server_destroy (self->server);
  marjoram_route_table_destroy (self->table);
  marjoram_route_table_destroy (self->previous_table);
  marjoram_names_clear (&self->evacuated);
  marjoram_registry_destroy (self->registry);
  free (self->offers.items);
  free (self);
}

static const struct marjoram_role_ops role_ops = {
  .frame = role_frame,
  .heartbeat = role_heartbeat,
  .session_closed = role_session_closed,
  .link_up = role_link_up,
  .link_lost = role_link_lost,
  .is_busy = role_is_busy,
  .needs_link = role_needs_link,
  .uses_link = role_uses_link,
  .fill_heartbeat = role_fill_heartbeat,
  .api_request = role_api_request,
  .report = role_report,
  .reload = role_reload,
  .tick = role_tick,
  .stop = role_stop,
  .finished = role_finished,
  .destroy = role_destroy,
};

static const char *
region_of (void *context, const char *zone)
{
  struct marjoram_entry *self = context;

  return marjoram_gateway_settings_region (self->parts->settings, zone);
}

static bool
is_evacuated (void *context, const char *zone)
{
  struct marjoram_entry *self = context;

  return marjoram_evacuation_lists (&self->evacuated, zone);
}

static bool
is_leaving (void *context, const char *zone)
{
  struct marjoram_entry *self = context;

  return marjoram_leaving_zones_has (&self->leaving, marjoram_entry_now (self),
                                     zone);
}

static void
zones_in_force (void *context, int64_t now,
                struct marjoram_zones_in_force *zones)
{
  struct marjoram_entry *self = context;

  zones->number = self->config_number;
  zones->age_ms = self->config_number ? now - self->config_at : 0;
  zones->evacuated = self->evacuated.count;
}

static void
create_gateway (struct marjoram_entry *self)
{
  const struct marjoram_gateway_options options = {
    .dialect = self->parts->dialect,
    .place = { .registry = self->registry,
               .hosts = self->parts->hosts,
               .host = self->parts->settings->ip,
               .region = self->parts->settings->region,
               .zone = self->parts->settings->zone,
               .region_of = region_of,
               .is_evacuated = is_evacuated,
               .is_leaving = is_leaving,
               .zones = zones_in_force,
               .context = self },
    .repeats = repeat_terms (self),
    .key_lease_ms = key_lease_ms (self),
    .load = load_features (self),
    .answers = answer_limits (self),
    .metrics = self->parts->metrics,
  };

  self->gateway = marjoram_gateway_create (
      &options, &marjoram_entry_gateway_ops, self, marjoram_entry_now (self));
}

struct marjoram_role *
marjoram_entry_role_create (const struct marjoram_role_context *parts,
                            struct marjoram_error *err)
{
  struct marjoram_entry *self = marjoram_alloc (sizeof *self);

  self->role.ops = &role_ops;
  self->parts = parts;
  self->registry = marjoram_registry_create ();
  create_gateway (self);
  self->client = marjoram_http_client_create (parts->base, parts->clock,
                                              &client_ops, self);
  self->probes = marjoram_connect_probes_create (
      parts->base, parts->clock, &marjoram_entry_probe_ops, self);
  self->survey = marjoram_engine_survey_create (
      parts->base, parts->clock, parts->dialect, &survey_ops, self);
  self->fetch = marjoram_state_fetch_create (&marjoram_entry_fetch_options,
                                             &marjoram_entry_fetch_ops, self);
  self->collector = marjoram_load_collector_create ();
  self->room_collector = marjoram_room_collector_create ();
  self->created_at = marjoram_entry_now (self);
  self->drain = marjoram_drain_window_none ();
  self->server = marjoram_http_server_create (parts->base, parts->clock,
                                              parts->settings->entry_address,
                                              &server_ops, self, err);
  if (self->server)
    {
      set_http_memory (self);
      return &self->role;
    }
  role_destroy (&self->role);
  return NULL;
}
