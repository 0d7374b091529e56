#include "registrar_private.h"

#include "cleanup.h"
#include "clock.h"
#include "event_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

enum
{
  /* Time to wait for all connected hosts to acknowledge a deregistration; an
     unresponsive host learns of it after it has recovered.  */
  ACK_TIMEOUT_MS = 600,
  /* Renewals are batched for an interval that grows with the number of
     upstreams, to limit traffic.  The maximum stays well below the 6 s after
     which hosts treat an upstream as silent.  */
  RENEW_INTERVAL_MS = 200,
  RENEW_PER_UPSTREAM_MS = 2,
  RENEW_INTERVAL_MAX_MS = 2000,
  /* A change that follows another within this time is sent with those after
     it.  */
  CHANGE_INTERVAL_MS = 100,
  CHANGES_MIN = 16 /* initial capacity of a list of changes */
};

marjoram_registrar *
marjoram_registrar_create (const struct marjoram_registrar_options *options,
                           const struct marjoram_registrar_ops *ops,
                           void *context)
{
  marjoram_registrar *registrar = marjoram_alloc (sizeof *registrar);

  registrar->options = *options;
  registrar->ops = ops;
  registrar->context = context;
  registrar->changes_sent_at = INT64_MIN / 2;
  return registrar;
}

void
marjoram_registrar_remove_pending (marjoram_registrar *registrar,
                                   struct marjoram_pending_request *pending)
{
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, registrar->pending, pending);
  free (pending->path);
  free (pending);
}

void
marjoram_registrar_destroy (marjoram_registrar *registrar)
{
  struct marjoram_pending_request *pending;
  struct marjoram_pending_request *next;

  if (!registrar)
    return;
  HASH_ITER (hh, registrar->pending, pending, next)
  {
    marjoram_registrar_remove_pending (registrar, pending);
  }
  marjoram_registrar_forget_zones (registrar);
  marjoram_route_table_destroy (registrar->table);
  free (registrar->changed.ids);
  free (registrar->relayed.ids);
  free (registrar);
}

void
marjoram_registrar_respond (marjoram_registrar *registrar, uint64_t request_id,
                            int status, const char *body)
{
  registrar->ops->respond (registrar->context, request_id, status, body,
                           body ? strlen (body) : 0);
}

struct marjoram_pending_request *
marjoram_registrar_add_pending (marjoram_registrar *registrar, int64_t now,
                                uint64_t request_id,
                                enum marjoram_pending_kind kind,
                                int64_t timeout_ms)
{
  struct marjoram_pending_request *pending = marjoram_alloc (sizeof *pending);

  pending->number = ++registrar->next_number;
  pending->request_id = request_id;
  pending->kind = kind;
  pending->deadline = now + timeout_ms;
  HASH_ADD (hh, registrar->pending, number, sizeof pending->number, pending);
  return pending;
}

struct marjoram_pending_request *
marjoram_registrar_find_pending (marjoram_registrar *registrar,
                                 uint64_t number)
{
  struct marjoram_pending_request *pending;

  HASH_FIND (hh, registrar->pending, &number, sizeof number, pending);
  return pending;
}

/* ---- Upstream heartbeats.  ---- */

static const char *const state_names[] = { "ready", "leaving", "gone" };

static void
log_heartbeat (const struct marjoram_upstream_heartbeat *heartbeat,
               enum marjoram_registry_result result)
{
  if (result == MARJORAM_REGISTRY_RENEWED)
    return;
  marjoram_event (
      MARJORAM_EVENT_UPSTREAM,
      "id=%s state=%s taken=%s service=%s address=%s zone=%s build=%s "
      "born=%" PRId64 " seq=%" PRId64 " cold_ms=%" PRId64 " ends_ms=%" PRId64,
      heartbeat->id, state_names[heartbeat->state],
      result == MARJORAM_REGISTRY_STALE ? "no" : "yes",
      *heartbeat->service ? heartbeat->service : "-",
      *heartbeat->address ? heartbeat->address : "-",
      *heartbeat->zone ? heartbeat->zone : "-",
      *heartbeat->build ? heartbeat->build : "-", heartbeat->started_at,
      heartbeat->sequence, heartbeat->cold_ms, heartbeat->ends_ms);
}

static size_t
broadcast_one (marjoram_registrar *registrar, int64_t now, const char *id,
               uint64_t ticket)
{
  const struct marjoram_registered *upstream
      = marjoram_registry_find (registrar->options.registry, id);
  struct marjoram_news_item item;
  struct marjoram_news_batch batch
      = { .ticket = ticket, .items = { &item, 1 } };

  if (!upstream)
    return 0;
  marjoram_registry_pack (upstream, now, &item);
  return registrar->ops->broadcast (registrar->context, &batch);
}

/* Responds to a deregistration only after all connected hosts have
   acknowledged it, so that it takes effect even if this keeper fails.  */
static void
confirm_leave (marjoram_registrar *registrar, int64_t now, uint64_t request_id,
               const char *id)
{
  struct marjoram_pending_request *pending = marjoram_registrar_add_pending (
      registrar, now, request_id, MARJORAM_PENDING_LEAVE, ACK_TIMEOUT_MS);

  pending->pending_acks = broadcast_one (registrar, now, id, pending->number);
  if (pending->pending_acks > 0)
    return;
  marjoram_registrar_remove_pending (registrar, pending);
  marjoram_registrar_respond (registrar, request_id, MARJORAM_STATUS_OK, "{}");
}

static void
reserve_change (struct marjoram_changed_upstreams *changes)
{
  const size_t used = changes->count * sizeof *changes->ids;
  void *larger;

  if (changes->count < changes->allocated)
    return;
  changes->allocated = changes->count > 0 ? 2 * changes->count : CHANGES_MIN;
  larger = marjoram_alloc (changes->allocated * sizeof *changes->ids);
  if (used > 0)
    memcpy (larger, changes->ids, used);
  free (changes->ids);
  changes->ids = larger;
}

static void
add_change (struct marjoram_changed_upstreams *changes, const char *id)
{
  reserve_change (changes);
  snprintf (changes->ids[changes->count++], MARJORAM_ID_MAX, "%s", id);
}

/* Packs the upstreams of CHANGES.  The caller frees the items.  */
static void
take_changes (marjoram_registrar *registrar, int64_t now,
              struct marjoram_changed_upstreams *changes,
              struct marjoram_news_batch *batch)
{
  struct marjoram_news_item *items
      = marjoram_alloc (changes->count * sizeof *items);

  *batch = (struct marjoram_news_batch){ .items = { items, 0 } };
  for (size_t i = 0; i < changes->count; i++)
    {
      const struct marjoram_registered *upstream = marjoram_registry_find (
          registrar->options.registry, changes->ids[i]);

      if (upstream)
        marjoram_registry_pack (upstream, now, &items[batch->items.count++]);
    }
  changes->count = 0;
}

void
marjoram_registrar_send_changes (marjoram_registrar *registrar, int64_t now)
{
  struct marjoram_news_batch batch;

  registrar->changes_sent_at = now;
  take_changes (registrar, now, &registrar->changed, &batch);
  if (batch.items.count > 0)
    registrar->ops->broadcast (registrar->context, &batch);
  free (batch.items.items);
  take_changes (registrar, now, &registrar->relayed, &batch);
  if (batch.items.count > 0)
    registrar->ops->relay (registrar->context, &batch);
  free (batch.items.items);
}

static void
send_changes (marjoram_registrar *registrar, int64_t now)
{
  if (registrar->changed.count + registrar->relayed.count > 0
      && now >= registrar->changes_sent_at + CHANGE_INTERVAL_MS)
    marjoram_registrar_send_changes (registrar, now);
}

static bool
check_heartbeat (const marjoram_registrar *registrar,
                 const struct marjoram_upstream_heartbeat *heartbeat,
                 struct marjoram_error *err)
{
  if (heartbeat->state == MARJORAM_UPSTREAM_GONE
      || registrar->options.knows_zone (registrar->options.context,
                                        heartbeat->zone))
    return true;
  return marjoram_error_set (
      err, MARJORAM_ERROR_INVALID,
      "unknown zone \"%s\"; use one listed in the settings", heartbeat->zone);
}

void
marjoram_registrar_reject (marjoram_registrar *registrar, uint64_t request_id,
                           const char *target,
                           const struct marjoram_error *err)
{
  marjoram_metrics_add (registrar->options.metrics,
                        MARJORAM_METRIC_REJECTED_INPUT, 1);
  marjoram_event (MARJORAM_EVENT_REJECT, "call=%.80s status=%d why=\"%s\"",
                  target, MARJORAM_STATUS_BAD_REQUEST, err->message);
  marjoram_registrar_respond (registrar, request_id,
                              MARJORAM_STATUS_BAD_REQUEST, err->message);
}

/* Applies HEARTBEAT, which keeper VIA passed on, or "" if this one heard it.
   An upstream that hosts take for silent counts as changed.  */
static enum marjoram_registry_result
update_registry (marjoram_registrar *registrar, int64_t now,
                 const struct marjoram_upstream_heartbeat *heartbeat,
                 int64_t age_ms, const char *via)
{
  enum marjoram_registry_result result = marjoram_registry_update (
      registrar->options.registry, now, heartbeat, age_ms);
  struct marjoram_registered *upstream
      = marjoram_registry_find (registrar->options.registry, heartbeat->id);

  if (!upstream || result == MARJORAM_REGISTRY_STALE)
    return result;
  snprintf (upstream->via, sizeof upstream->via, "%s", via);
  upstream->limbo_until = 0;
  if (upstream->silent_since == 0
      || !marjoram_registered_is_live (upstream, now))
    return result;
  upstream->silent_since = 0;
  return MARJORAM_REGISTRY_CHANGED;
}

static void
record_contact (marjoram_registrar *registrar, int64_t now, const char *id)
{
  struct marjoram_registered *upstream
      = marjoram_registry_find (registrar->options.registry, id);

  if (upstream)
    upstream->direct_received_at = now;
}

/* Names a keeper of the upstream's zone for its later heartbeats: they stay in
   the zone, also when it is cut off, and each keeper gets an equal share.  */
static void
respond_to_heartbeat (marjoram_registrar *registrar, int64_t now,
                      uint64_t request_id,
                      const struct marjoram_upstream_heartbeat *heartbeat)
{
  const struct marjoram_registrar_options *options = &registrar->options;
  const bool in_own_zone = strcmp (heartbeat->zone, options->zone) == 0;
  const char *keeper = marjoram_host_list_keeper (
      options->hosts, now, heartbeat->zone, heartbeat->id,
      in_own_zone ? options->host : NULL);
  char address[MARJORAM_IP_MAX + 8];
  marjoram_auto_free char *body = NULL;

  if (keeper)
    snprintf (address, sizeof address, "%s:%u", keeper,
              options->heartbeat_port);
  body = options->dialect->ops->write_heartbeat_response (keeper ? address
                                                                 : NULL);
  marjoram_registrar_respond (registrar, request_id, MARJORAM_STATUS_OK, body);
}

static void
process_heartbeat (marjoram_registrar *registrar, int64_t now,
                   uint64_t request_id,
                   const struct marjoram_upstream_heartbeat *heartbeat)
{
  enum marjoram_registry_result result
      = update_registry (registrar, now, heartbeat, 0, "");

  log_heartbeat (heartbeat, result);
  record_contact (registrar, now, heartbeat->id);
  marjoram_metrics_add (registrar->options.metrics,
                        result == MARJORAM_REGISTRY_STALE
                            ? MARJORAM_METRIC_UPSTREAM_HEARTBEATS_STALE
                            : MARJORAM_METRIC_UPSTREAM_HEARTBEATS,
                        1);
  if (heartbeat->state != MARJORAM_UPSTREAM_READY)
    {
      confirm_leave (registrar, now, request_id, heartbeat->id);
      return;
    }
  if (result == MARJORAM_REGISTRY_CHANGED)
    {
      add_change (&registrar->changed, heartbeat->id);
      send_changes (registrar, now);
    }
  else if (result == MARJORAM_REGISTRY_RENEWED && !registrar->renewals_since)
    registrar->renewals_since = now;
  respond_to_heartbeat (registrar, now, request_id, heartbeat);
}

void
marjoram_registrar_apply_batch (marjoram_registrar *registrar, int64_t now,
                                const char *keeper,
                                const struct marjoram_news_batch *batch)
{
  const struct marjoram_news_item *items = batch->items.items;

  for (size_t i = 0; i < batch->items.count; i++)
    {
      struct marjoram_upstream_heartbeat heartbeat;

      if (marjoram_registry_unpack (&items[i], &heartbeat)
          && update_registry (registrar, now, &heartbeat, items[i].age_ms,
                              keeper)
                 == MARJORAM_REGISTRY_CHANGED
          && batch->ticket == 0)
        add_change (&registrar->relayed, heartbeat.id);
    }
  send_changes (registrar, now);
}

/* Packs the upstreams heard directly since SINCE, or all if SINCE is
   INT64_MIN.  Other keepers send the renewals that they receive themselves. */
static void
pack_since (marjoram_registrar *registrar, int64_t now, int64_t since,
            struct marjoram_news_batch *batch)
{
  struct marjoram_registered_list *all
      = marjoram_registry_all (registrar->options.registry);
  const struct marjoram_registered *upstream;
  struct marjoram_news_item *items;
  size_t count = 0;

  TAILQ_FOREACH (upstream, all, link)
  count++;
  batch->ticket = 0;
  batch->items.items = items = marjoram_alloc (count * sizeof *items);
  batch->items.count = 0;
  TAILQ_FOREACH (upstream, all, link)
  if (upstream->direct_received_at >= since)
    marjoram_registry_pack (upstream, now, &items[batch->items.count++]);
}

void
marjoram_registrar_snapshot (marjoram_registrar *registrar, int64_t now,
                             struct marjoram_news_batch *batch)
{
  pack_since (registrar, now, INT64_MIN, batch);
}

static int64_t
batch_interval_ms (marjoram_registrar *registrar)
{
  int64_t msec
      = RENEW_PER_UPSTREAM_MS
        * (int64_t)marjoram_registry_count (registrar->options.registry);

  if (msec > RENEW_INTERVAL_MAX_MS)
    return RENEW_INTERVAL_MAX_MS;
  return msec > RENEW_INTERVAL_MS ? msec : RENEW_INTERVAL_MS;
}

static void
send_renewals (marjoram_registrar *registrar, int64_t now)
{
  struct marjoram_news_batch batch;

  if (!registrar->renewals_since
      || now < registrar->renewals_since + batch_interval_ms (registrar))
    return;
  pack_since (registrar, now, registrar->renewals_since, &batch);
  registrar->renewals_since = 0;
  registrar->ops->renew (registrar->context, &batch);
  free (batch.items.items);
}

void
marjoram_registrar_acknowledged (marjoram_registrar *registrar,
                                 uint64_t ticket)
{
  struct marjoram_pending_request *pending
      = marjoram_registrar_find_pending (registrar, ticket);

  if (!pending || pending->kind != MARJORAM_PENDING_LEAVE
      || --pending->pending_acks > 0)
    return;
  marjoram_registrar_respond (registrar, pending->request_id,
                              MARJORAM_STATUS_OK, "{}");
  marjoram_registrar_remove_pending (registrar, pending);
}

/* ---- Requests.  ---- */

const struct marjoram_route_table *
marjoram_registrar_table (marjoram_registrar *registrar)
{
  const struct marjoram_state *state
      = registrar->ops->state (registrar->context);

  if (!state || state->number == registrar->table_number)
    return registrar->table;
  marjoram_route_table_destroy (registrar->table);
  registrar->table
      = marjoram_state_files_routes (state, registrar->options.dialect, NULL);
  registrar->table_number = state->number;
  return registrar->table;
}

static const char *const scope_names[MARJORAM_SCOPE_COUNT]
    = { "zone", "region", "allowed" };

struct lookup
{
  const struct marjoram_route_table *table; /* NULL if none is committed */
  const char *host;
  bool has_homes;    /* some routes of HOST have home regions */
  size_t most_homes; /* maximum of routes of HOST with the same home region */
};

static size_t
home_route_count (const struct lookup *lookup, const char *region)
{
  return lookup->table ? marjoram_route_table_count_homes (
             lookup->table, lookup->host, region)
                       : 0;
}

/* A lookup does not identify a route, and routes of one host name may have
   different home regions.  Accepts the regions that are home to most routes
   among those with serving hosts, and none if no home region has any: the
   request must not leave its home regions.  */
static bool
is_allowed_region (void *context, const char *region)
{
  const struct lookup *lookup = context;

  if (!lookup->has_homes)
    return true;
  return lookup->most_homes > 0
         && home_route_count (lookup, region) == lookup->most_homes;
}

static void
find_most_homes (marjoram_registrar *registrar, int64_t now,
                 struct lookup *lookup)
{
  const struct marjoram_listed_host *host;

  TAILQ_FOREACH (host, marjoram_host_list_all (registrar->options.hosts), link)
  if (marjoram_host_list_serves (host, now))
    {
      size_t homes = home_route_count (lookup, host->heartbeat.region);

      if (homes > lookup->most_homes)
        lookup->most_homes = homes;
    }
}

static void
look_up (marjoram_registrar *registrar, int64_t now, uint64_t request_id,
         const struct marjoram_api_request *request)
{
  const char *addresses[MARJORAM_LOOKUP_MAX];
  struct lookup lookup = { .table = marjoram_registrar_table (registrar),
                           .host = request->host };
  enum marjoram_lookup_scope scope;
  size_t count;
  marjoram_auto_free char *body = NULL;

  lookup.has_homes
      = lookup.table
        && marjoram_route_table_has_homes (lookup.table, request->host);
  find_most_homes (registrar, now, &lookup);
  count = marjoram_host_list_lookup (
      registrar->options.hosts, now, request->zone, request->region,
      is_allowed_region, &lookup, addresses, &scope);
  marjoram_metrics_add (registrar->options.metrics, MARJORAM_METRIC_LOOKUPS,
                        1);
  if (scope != MARJORAM_SCOPE_ZONE)
    marjoram_event (MARJORAM_EVENT_HOST,
                    "lookup=%s zone=%s region=%s reach=%s hosts=%zu "
                    "config=%" PRIu64,
                    request->host, request->zone, request->region,
                    scope_names[scope], count,
                    lookup.table ? lookup.table->version : 0);
  if (count == 0)
    {
      marjoram_registrar_respond (registrar, request_id,
                                  MARJORAM_STATUS_UNAVAILABLE, NULL);
      return;
    }
  body = registrar->options.dialect->ops->write_lookup (
      addresses, count, registrar->options.lookup_valid_s);
  marjoram_registrar_respond (registrar, request_id, MARJORAM_STATUS_OK, body);
}

void
marjoram_registrar_receive (marjoram_registrar *registrar, int64_t now,
                            uint64_t request_id, const char *method,
                            const char *target, const char *body, size_t size)
{
  struct marjoram_api_request request;
  struct marjoram_error err = { 0 };

  if (!registrar->options.dialect->ops->read_api_request (method, target, body,
                                                          size, &request, &err)
      || (request.kind == MARJORAM_API_HEARTBEAT
          && !check_heartbeat (registrar, &request.heartbeat, &err)))
    {
      marjoram_registrar_reject (registrar, request_id, target, &err);
      return;
    }
  switch (request.kind)
    {
    case MARJORAM_API_LOOKUP:
      look_up (registrar, now, request_id, &request);
      break;
    case MARJORAM_API_HEARTBEAT:
      process_heartbeat (registrar, now, request_id, &request.heartbeat);
      break;
    case MARJORAM_API_CONFIG_SET:
      marjoram_registrar_set_config (registrar, now, request_id, body, size);
      break;
    case MARJORAM_API_CONFIG_GET:
      registrar->ops->read (
          registrar->context,
          marjoram_registrar_add_pending (registrar, now, request_id,
                                          MARJORAM_PENDING_READ,
                                          MARJORAM_RESPONSE_TIMEOUT_MS)
              ->number);
      break;
    case MARJORAM_API_EVACUATE:
    case MARJORAM_API_RESTORE:
      marjoram_registrar_evacuate (registrar, now, request_id, &request,
                                   target);
      break;
    case MARJORAM_API_READY:
      marjoram_registrar_respond (registrar, request_id, MARJORAM_STATUS_OK,
                                  NULL);
      break;
    case MARJORAM_API_UNKNOWN:
      marjoram_registrar_respond (registrar, request_id,
                                  MARJORAM_STATUS_NOT_FOUND, NULL);
      break;
    }
}

/* Deadlines don't count the time for which this host stood still: answers that
   arrived meanwhile have not been read yet.  */
static void
postpone_deadlines (marjoram_registrar *registrar, int64_t now)
{
  int64_t stall_ms = registrar->ticked_at ? now - registrar->ticked_at : 0;
  struct marjoram_pending_request *pending;
  struct marjoram_pending_request *next;

  registrar->ticked_at = now;
  if (stall_ms < MARJORAM_STALL_MIN_MS)
    return;
  HASH_ITER (hh, registrar->pending, pending, next)
  {
    pending->deadline += stall_ms;
  }
}

static bool
is_expired (const marjoram_registrar *registrar, int64_t now,
            const struct marjoram_pending_request *pending)
{
  int64_t deadline = pending->deadline;

  if (pending->kind != MARJORAM_PENDING_LEAVE)
    deadline += registrar->ops->decision_ms (registrar->context);
  return now >= deadline;
}

/* Completes expired requests.  Deregistrations succeed even if some hosts did
   not acknowledge in time; the outcome of operator commands is unknown and
   clients retry them.  */
void
marjoram_registrar_tick (marjoram_registrar *registrar, int64_t now)
{
  struct marjoram_pending_request *pending;
  struct marjoram_pending_request *next;

  postpone_deadlines (registrar, now);
  marjoram_registrar_state_learnt (registrar, now);
  send_changes (registrar, now);
  send_renewals (registrar, now);
  HASH_ITER (hh, registrar->pending, pending, next)
  {
    if (!is_expired (registrar, now, pending))
      continue;
    if (pending->kind != MARJORAM_PENDING_LEAVE)
      marjoram_event (MARJORAM_EVENT_CONFIG,
                      "request=%" PRIu64 " zone=%s status=%d reason=expired",
                      pending->number, *pending->zone ? pending->zone : "-",
                      MARJORAM_STATUS_UNAVAILABLE);
    marjoram_registrar_respond (registrar, pending->request_id,
                                pending->kind == MARJORAM_PENDING_LEAVE
                                    ? MARJORAM_STATUS_OK
                                    : MARJORAM_STATUS_UNAVAILABLE,
                                "{}");
    marjoram_registrar_remove_pending (registrar, pending);
  }
}
