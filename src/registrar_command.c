#include "registrar_private.h"

#include "cleanup.h"
#include "event_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  STATUS_REDIRECT = 307,
  REDIRECT_MAX = 32 /* bytes of the query and the NUL */
};

/* In the target of a redirected order: the number that it builds on.  */
#define AFTER_QUERY "?after="

static uint64_t
current_version (const struct marjoram_state *state, const char *name)
{
  const struct marjoram_file *file
      = state ? marjoram_state_file (state, name) : NULL;

  return file ? file->version : 0;
}

/* The register deduplicates by change id, so the id depends on the content
   only and is equal for retries through any keeper.  */
static void
change_id (const struct marjoram_file *file, char id[MARJORAM_NAME_MAX])
{
  marjoram_auto_free char *digest
      = marjoram_digest (file->text, strlen (file->text));

  snprintf (id, MARJORAM_NAME_MAX, "%.8s-%" PRIu64 "-%.24s", file->name,
            file->version, digest);
}

static void
apply (marjoram_registrar *registrar,
       const struct marjoram_pending_request *pending,
       const struct marjoram_file *file)
{
  char id[MARJORAM_NAME_MAX];

  change_id (file, id);
  registrar->ops->apply (registrar->context, pending->number, id, file);
}

/* Acknowledges a version that is not newer than the current one without a
   change: it is in force or superseded.  */
void
marjoram_registrar_set_config (marjoram_registrar *registrar, int64_t now,
                               uint64_t request_id, const char *body,
                               size_t size)
{
  struct marjoram_error err = { 0 };
  struct marjoram_route_table *table
      = registrar->options.dialect->ops->read_config (body, size, &err);
  bool valid = table && marjoram_route_table_check (table, &err);
  uint64_t version = table ? table->version : 0;
  struct marjoram_file file
      = { (char *)MARJORAM_FILE_ROUTES, version, NULL, (char *)body };
  struct marjoram_pending_request *pending;

  marjoram_route_table_destroy (table);
  if (!valid)
    {
      marjoram_registrar_reject (registrar, request_id, "configuration", &err);
      return;
    }
  if (version <= current_version (registrar->ops->state (registrar->context),
                                  MARJORAM_FILE_ROUTES))
    {
      marjoram_event (MARJORAM_EVENT_CONFIG,
                      "version=%" PRIu64 " taken=no reason=not-above-held",
                      version);
      marjoram_registrar_respond (registrar, request_id, MARJORAM_STATUS_OK,
                                  "{}");
      return;
    }
  pending = marjoram_registrar_add_pending (registrar, now, request_id,
                                            MARJORAM_PENDING_CONFIG,
                                            MARJORAM_RESPONSE_TIMEOUT_MS);
  pending->version = version;
  apply (registrar, pending, &file);
}

/* ---- Evacuations.  ---- */

static struct marjoram_zone_record *
find_zone (marjoram_registrar *registrar, const char *zone)
{
  struct marjoram_zone_record *record;

  HASH_FIND_STR (registrar->zones, zone, record);
  return record;
}

static struct marjoram_zone_record *
add_zone (marjoram_registrar *registrar, const char *zone)
{
  struct marjoram_zone_record *record = marjoram_alloc (sizeof *record);

  snprintf (record->name, sizeof record->name, "%s", zone);
  HASH_ADD_STR (registrar->zones, name, record);
  return record;
}

void
marjoram_registrar_forget_zones (marjoram_registrar *registrar)
{
  struct marjoram_zone_record *record;
  struct marjoram_zone_record *next;

  HASH_ITER (hh, registrar->zones, record, next)
  {
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, registrar->zones, record);
    free (record);
  }
}

/* The order that the caller can't have sent before: one that it was told, or
   the last one that this keeper knew of when the caller may have sent it.  */
static uint64_t
find_base (marjoram_registrar *registrar, const char *target, const char *zone,
           const struct marjoram_api_arrival *arrival)
{
  const char *query = strstr (target, AFTER_QUERY);
  const struct marjoram_zone_record *record = find_zone (registrar, zone);

  if (query)
    return strtoull (query + strlen (AFTER_QUERY), NULL, 10);
  if (!record)
    return 0;
  return record->learnt_at < arrival->not_before ? record->number
                                                 : MARJORAM_ORDER_NO_BASE;
}

static int64_t
display_base (const struct marjoram_pending_request *pending)
{
  return pending->base == MARJORAM_ORDER_NO_BASE ? -1 : (int64_t)pending->base;
}

static void
log_arrival (const marjoram_registrar *registrar, int64_t now,
             const struct marjoram_pending_request *pending,
             const struct marjoram_api_arrival *arrival)
{
  const int64_t age_ms
      = arrival->not_before == INT64_MIN ? -1 : now - arrival->not_before;

  marjoram_event (
      MARJORAM_EVENT_CONFIG,
      "order=%s zone=%s request=%" PRIu64 " caller=%s age_max_ms=%" PRId64
      " earlier=%d base=%" PRId64 " number=%" PRIu64 " stalled_ms=%" PRId64,
      pending->evacuated ? "begin" : "finish", pending->zone, pending->number,
      arrival->caller, age_ms, arrival->requests, display_base (pending),
      marjoram_evacuation_number (registrar->ops->state (registrar->context),
                                  pending->zone),
      now - registrar->ticked_at);
}

static void
log_end (const marjoram_registrar *registrar,
         const struct marjoram_pending_request *pending, int status,
         const char *reason)
{
  marjoram_event (
      MARJORAM_EVENT_CONFIG,
      "zone=%s evacuated=%d status=%d reason=%s request=%" PRIu64
      " base=%" PRId64 " number=%" PRIu64,
      pending->zone, pending->evacuated, status, reason, pending->number,
      display_base (pending),
      marjoram_evacuation_number (registrar->ops->state (registrar->context),
                                  pending->zone));
  marjoram_metrics_add (registrar->options.metrics,
                        MARJORAM_METRIC_EVACUATIONS,
                        status == MARJORAM_STATUS_OK);
}

static void
end_evacuation (marjoram_registrar *registrar,
                struct marjoram_pending_request *pending, int status,
                const char *reason)
{
  log_end (registrar, pending, status, reason);
  marjoram_registrar_respond (registrar, pending->request_id, status, "{}");
  marjoram_registrar_remove_pending (registrar, pending);
}

static void
update_zones (marjoram_registrar *registrar, int64_t now,
              const struct marjoram_state *state)
{
  struct marjoram_names zones = marjoram_evacuation_ordered_zones (state);

  for (size_t i = 0; i < zones.count; i++)
    {
      const uint64_t number
          = marjoram_evacuation_number (state, zones.items[i]);
      struct marjoram_zone_record *record
          = find_zone (registrar, zones.items[i]);

      if (!record)
        record = add_zone (registrar, zones.items[i]);
      if (record->number == number)
        continue;
      record->number = number;
      record->learnt_at = now;
    }
  marjoram_names_clear (&zones);
}

void
marjoram_registrar_state_learnt (marjoram_registrar *registrar, int64_t now)
{
  const struct marjoram_state *state
      = registrar->ops->state (registrar->context);

  if (!state || state->number == registrar->zones_number)
    return;
  registrar->zones_number = state->number;
  update_zones (registrar, now, state);
}

/* A caller that still waits follows, which shows that it sends its order after
   the one with NUMBER.  */
static void
redirect (marjoram_registrar *registrar,
          struct marjoram_pending_request *pending, uint64_t number)
{
  marjoram_auto_free char *target
      = marjoram_alloc (strlen (pending->path) + REDIRECT_MAX);

  sprintf (target, "%s" AFTER_QUERY "%" PRIu64, pending->path, number);
  log_end (registrar, pending, STATUS_REDIRECT, "other-order-since");
  marjoram_metrics_add (registrar->options.metrics,
                        MARJORAM_METRIC_ORDERS_REDIRECTED, 1);
  registrar->ops->redirect (registrar->context, pending->request_id, target);
  marjoram_registrar_remove_pending (registrar, pending);
}

static void
propose (marjoram_registrar *registrar,
         struct marjoram_pending_request *pending)
{
  const struct marjoram_evacuation_order order
      = { pending->zone, pending->evacuated, pending->base };
  char id[MARJORAM_NAME_MAX];

  snprintf (id, sizeof id, "order-%016" PRIx64 "-%" PRIu64,
            registrar->options.nonce, pending->number);
  registrar->ops->order (registrar->context, pending->number, id, &order);
}

/* An order for what is in force changes nothing, so it needs no base.  */
static void
start_order (marjoram_registrar *registrar,
             struct marjoram_pending_request *pending)
{
  const struct marjoram_state *state
      = registrar->ops->state (registrar->context);
  const uint64_t number = marjoram_evacuation_number (state, pending->zone);

  if (marjoram_evacuation_in_force (state, pending->zone) == pending->evacuated
      || (pending->base != MARJORAM_ORDER_NO_BASE && pending->base >= number))
    propose (registrar, pending);
  else
    redirect (registrar, pending, number);
}

bool
marjoram_registrar_wants (marjoram_registrar *registrar, uint64_t request)
{
  struct marjoram_pending_request *pending
      = marjoram_registrar_find_pending (registrar, request);
  struct marjoram_api_arrival arrival;

  if (!pending
      || registrar->ops->arrival (registrar->context, pending->request_id,
                                  &arrival))
    return true;
  end_evacuation (registrar, pending, MARJORAM_STATUS_UNAVAILABLE,
                  "caller-left");
  return false;
}

void
marjoram_registrar_evacuate (marjoram_registrar *registrar, int64_t now,
                             uint64_t request_id,
                             const struct marjoram_api_request *request,
                             const char *target)
{
  struct marjoram_api_arrival arrival = { .not_before = INT64_MIN };
  struct marjoram_pending_request *pending;

  if (!registrar->options.knows_zone (registrar->options.context,
                                      request->zone))
    {
      struct marjoram_error err;

      marjoram_error_set (
          &err, MARJORAM_ERROR_INVALID,
          "unknown zone \"%s\"; use one listed in the settings",
          request->zone);
      marjoram_registrar_reject (registrar, request_id, "evacuation", &err);
      return;
    }
  marjoram_registrar_state_learnt (registrar, now);
  registrar->ops->arrival (registrar->context, request_id, &arrival);
  pending = marjoram_registrar_add_pending (registrar, now, request_id,
                                            MARJORAM_PENDING_EVACUATION,
                                            MARJORAM_RESPONSE_TIMEOUT_MS);
  snprintf (pending->zone, sizeof pending->zone, "%s", request->zone);
  pending->evacuated = request->kind == MARJORAM_API_EVACUATE;
  pending->base = find_base (registrar, target, request->zone, &arrival);
  pending->path = strndup (target, strcspn (target, "?"));
  if (!pending->path)
    abort ();
  log_arrival (registrar, now, pending, &arrival);
  start_order (registrar, pending);
}

static void
end_order (marjoram_registrar *registrar,
           struct marjoram_pending_request *pending,
           const struct marjoram_apply_answer *answer)
{
  if (answer->outcome != MARJORAM_APPLY_DECIDED)
    end_evacuation (registrar, pending, MARJORAM_STATUS_UNAVAILABLE,
                    "not-decided");
  else if (answer->result == MARJORAM_CHANGE_ACCEPTED)
    end_evacuation (registrar, pending, MARJORAM_STATUS_OK, "decided");
  else
    redirect (registrar, pending, answer->version);
}

/* ---- Answers of the register.  ---- */

static void
end_config (marjoram_registrar *registrar,
            struct marjoram_pending_request *pending,
            const struct marjoram_apply_answer *answer)
{
  int status = MARJORAM_STATUS_OK;

  if (answer->outcome != MARJORAM_APPLY_DECIDED)
    status = MARJORAM_STATUS_UNAVAILABLE;
  else if (answer->result == MARJORAM_CHANGE_INVALID)
    status = MARJORAM_STATUS_BAD_REQUEST;
  marjoram_event (MARJORAM_EVENT_CONFIG,
                  "version=%" PRIu64 " taken=%s status=%d number=%" PRIu64
                  " held=%" PRIu64 " why=\"%s\"",
                  pending->version,
                  answer->result == MARJORAM_CHANGE_ACCEPTED ? "yes" : "no",
                  status, answer->number, answer->version,
                  answer->message ? answer->message : "");
  marjoram_metrics_add (registrar->options.metrics, MARJORAM_METRIC_CONFIGS,
                        status == MARJORAM_STATUS_OK);
  marjoram_registrar_respond (registrar, pending->request_id, status, "{}");
  marjoram_registrar_remove_pending (registrar, pending);
}

static void
end_read (marjoram_registrar *registrar,
          struct marjoram_pending_request *pending,
          const struct marjoram_apply_answer *answer)
{
  const struct marjoram_state *state
      = registrar->ops->state (registrar->context);
  const struct marjoram_file *file
      = state ? marjoram_state_file (state, MARJORAM_FILE_ROUTES) : NULL;

  if (answer->outcome == MARJORAM_APPLY_DECIDED && file)
    marjoram_registrar_respond (registrar, pending->request_id,
                                MARJORAM_STATUS_OK, file->text);
  else
    marjoram_registrar_respond (registrar, pending->request_id,
                                MARJORAM_STATUS_UNAVAILABLE, "{}");
  marjoram_registrar_remove_pending (registrar, pending);
}

void
marjoram_registrar_request_completed (
    marjoram_registrar *registrar, int64_t now, uint64_t request,
    const struct marjoram_apply_answer *answer)
{
  struct marjoram_pending_request *pending
      = marjoram_registrar_find_pending (registrar, request);

  (void)now;
  if (!pending)
    return;
  switch (pending->kind)
    {
    case MARJORAM_PENDING_CONFIG:
      end_config (registrar, pending, answer);
      break;
    case MARJORAM_PENDING_READ:
      end_read (registrar, pending, answer);
      break;
    case MARJORAM_PENDING_EVACUATION:
      end_order (registrar, pending, answer);
      break;
    case MARJORAM_PENDING_LEAVE:
      break;
    }
}
