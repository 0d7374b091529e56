#include "registrar_private.h"

#include "cleanup.h"
#include "event_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  EVACUATE_ATTEMPTS_MAX = 8 /* other updates may be committed first */
};

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

static bool
is_evacuated (const struct marjoram_state *state, const char *zone)
{
  struct marjoram_names zones = marjoram_state_files_evacuations (state);
  bool found = marjoram_state_files_is_evacuated (&zones, zone);

  marjoram_names_clear (&zones);
  return found;
}

static uint64_t
list_version (const marjoram_registrar *registrar)
{
  return current_version (registrar->ops->state (registrar->context),
                          MARJORAM_FILE_EVACUATIONS);
}

static void
try_evacuate (marjoram_registrar *registrar,
              struct marjoram_pending_request *pending)
{
  struct marjoram_file file;

  pending->attempts++;
  pending->base = list_version (registrar);
  marjoram_state_files_evacuate (registrar->ops->state (registrar->context),
                                 pending->zone, pending->evacuated, &file);
  apply (registrar, pending, &file);
  marjoram_wire_clear (&marjoram_file_layout, &file);
}

static const char *
order_name (bool evacuated)
{
  return evacuated ? "begin" : "finish";
}

static void
log_arrival (const marjoram_registrar *registrar, int64_t now,
             const struct marjoram_pending_request *pending)
{
  struct marjoram_api_arrival arrival = { .caller = "-" };
  const bool known = registrar->ops->arrival
                     && registrar->ops->arrival (
                         registrar->context, pending->request_id, &arrival);
  const int64_t age_ms = known && arrival.not_before != INT64_MIN
                             ? now - arrival.not_before
                             : -1;

  marjoram_event (MARJORAM_EVENT_CONFIG,
                  "order=%s zone=%s request=%" PRIu64
                  " caller=%s age_max_ms=%" PRId64 " earlier=%d list=%" PRIu64
                  " stalled_ms=%" PRId64,
                  order_name (pending->evacuated), pending->zone,
                  pending->number, arrival.caller, age_ms, arrival.requests,
                  list_version (registrar), now - registrar->ticked_at);
}

/* Confirms the state first, since a lagging keeper could otherwise treat an
   outdated state as final.  */
void
marjoram_registrar_evacuate (marjoram_registrar *registrar, int64_t now,
                             uint64_t request_id,
                             const struct marjoram_api_request *request)
{
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
  pending = marjoram_registrar_add_pending (registrar, now, request_id,
                                            MARJORAM_PENDING_EVACUATION,
                                            MARJORAM_RESPONSE_TIMEOUT_MS);
  snprintf (pending->zone, sizeof pending->zone, "%s", request->zone);
  pending->evacuated = request->kind == MARJORAM_API_EVACUATE;
  log_arrival (registrar, now, pending);
  registrar->ops->read (registrar->context, pending->number);
}

static void
end_evacuation (marjoram_registrar *registrar,
                struct marjoram_pending_request *pending, int status)
{
  marjoram_event (MARJORAM_EVENT_CONFIG,
                  "zone=%s evacuated=%d status=%d tries=%d request=%" PRIu64
                  " built_on=%" PRIu64 " list=%" PRIu64,
                  pending->zone, pending->evacuated, status, pending->attempts,
                  pending->number, pending->base, list_version (registrar));
  marjoram_metrics_add (registrar->options.metrics,
                        MARJORAM_METRIC_EVACUATIONS,
                        status == MARJORAM_STATUS_OK);
  marjoram_registrar_respond (registrar, pending->request_id, status, "{}");
  marjoram_registrar_remove_pending (registrar, pending);
}

static void
continue_evacuation (marjoram_registrar *registrar,
                     struct marjoram_pending_request *pending,
                     const struct marjoram_apply_answer *answer)
{
  const struct marjoram_state *state
      = registrar->ops->state (registrar->context);

  const bool known = answer->outcome == MARJORAM_APPLY_DECIDED && state;

  if (known && is_evacuated (state, pending->zone) == pending->evacuated)
    end_evacuation (registrar, pending, MARJORAM_STATUS_OK);
  else if (known && pending->attempts < EVACUATE_ATTEMPTS_MAX)
    try_evacuate (registrar, pending);
  else
    end_evacuation (registrar, pending, MARJORAM_STATUS_UNAVAILABLE);
}

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
      continue_evacuation (registrar, pending, answer);
      break;
    case MARJORAM_PENDING_LEAVE:
      break;
    }
}
