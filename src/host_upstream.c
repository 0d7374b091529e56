#include "host_state.h"

#include "cleanup.h"
#include "log.h"

#include <string.h>

/* Only the suspect's own zone needs to know where it runs.  Its status is sent
   to all zones, as its caller may retry there.  */
void
marjoram_host_report_suspect (void *context,
                              const struct marjoram_suspect_message *message)
{
  marjoram_host *host = context;

  if (message->upstream)
    marjoram_host_send_zone (host, MARJORAM_FRAME_SUSPECT, message);
  else
    marjoram_links_send (host, MARJORAM_FRAME_SUSPECT, message);
}

/* Without a full mesh, a message from another zone reaches only this host; it
   is forwarded within this zone if it changed the suspect's status.  */
void
marjoram_host_process_suspect (marjoram_host *host, int64_t now,
                               const char *slot,
                               const struct marjoram_suspect_message *message)
{
  enum marjoram_suspicion before;

  if (!message->digest)
    return;
  before = marjoram_suspects_get (host->suspects, now, message->digest);
  marjoram_suspects_apply (host->suspects, now, message);
  if (marjoram_host_ordinal (host, slot) < 0
      && marjoram_suspects_get (host->suspects, now, message->digest)
             != before)
    marjoram_host_send_zone (host, MARJORAM_FRAME_SUSPECT, message);
}

void
marjoram_host_upstream_died (marjoram_host *host, int64_t now,
                             const char *upstream)
{
  marjoram_log (MARJORAM_LOG_WARNING, "upstream %s died", upstream);
  marjoram_members_mark_dead (host->members, now, upstream);
  marjoram_suspects_crashed (host->suspects, now, upstream,
                             marjoram_host_report_suspect, host);
}

void
marjoram_host_check_restarted (
    marjoram_host *host, int64_t now,
    const struct marjoram_announcement *announcement)
{
  const struct marjoram_upstream *known
      = marjoram_members_find (host->members, now, announcement->name);

  if (known && known->in_flight > 0
      && announcement->incarnation > known->announcement->incarnation)
    marjoram_host_upstream_died (host, now, announcement->name);
}

enum marjoram_announce_result
marjoram_host_announce (marjoram_host *host, int64_t now,
                        const struct marjoram_announcement *announcement)
{
  bool send_full
      = marjoram_renewals_need_announcement (host, now, announcement);
  enum marjoram_announce_result result;

  host->now = now;
  marjoram_counters_add (host->counters, MARJORAM_COUNTER_ANNOUNCES, 1);
  marjoram_host_check_restarted (host, now, announcement);
  result = marjoram_members_announce (host->members, now, announcement, false);
  if (result == MARJORAM_ANNOUNCE_NEW
      || (result == MARJORAM_ANNOUNCE_RENEWED && send_full))
    marjoram_host_send_zone (host, MARJORAM_FRAME_UPSTREAM, announcement);
  else if (result == MARJORAM_ANNOUNCE_RENEWED)
    marjoram_renewals_add (host, now, announcement->name);
  marjoram_host_deliver_claim_results (host, now);
  return result;
}

static struct marjoram_request *
find_local_request (marjoram_host *host, int64_t now, uint64_t attempt)
{
  struct marjoram_request *request
      = marjoram_request_by_attempt (host, attempt);

  host->now = now;
  return request && request->state == MARJORAM_REQUEST_LOCAL ? request : NULL;
}

void
marjoram_host_run_head (marjoram_host *host, int64_t now, uint64_t attempt,
                        const struct marjoram_head *head)
{
  struct marjoram_request *request = find_local_request (host, now, attempt);

  if (request)
    marjoram_request_head (host, now, request, head);
}

void
marjoram_host_run_data (marjoram_host *host, int64_t now, uint64_t attempt,
                        marjoram_bytes *bytes)
{
  struct marjoram_request *request = find_local_request (host, now, attempt);

  if (request)
    marjoram_request_data (host, now, request, bytes);
}

void
marjoram_host_run_end (marjoram_host *host, int64_t now, uint64_t attempt)
{
  struct marjoram_request *request = find_local_request (host, now, attempt);

  if (request)
    marjoram_request_done (host, now, request);
  marjoram_host_deliver_claim_results (host, now);
}

/* The connection broke after the request was sent.  The upstream is probed
   before any retry, as the request is suspect if the upstream died.  */
static void
probe_upstream (marjoram_host *host, int64_t now,
                struct marjoram_request *request)
{
  request->state = MARJORAM_REQUEST_PROBING;
  request->progress = now;
  host->ops->probe (host->context, request->upstream,
                    request->upstream_incarnation, request->address);
}

static bool
is_incarnation (const marjoram_host *host, const char *name,
                uint64_t incarnation)
{
  const struct marjoram_upstream *upstream
      = marjoram_members_get (host->members, name);

  return upstream && upstream->announcement->incarnation == incarnation;
}

/* Whether the upstream is still the process that the request was sent to.  One
   that restarted does not know what ran before.  */
static bool
runs_since_start (const marjoram_host *host,
                  const struct marjoram_request *request)
{
  return is_incarnation (host, request->upstream,
                         request->upstream_incarnation);
}

void
marjoram_host_run_failed (marjoram_host *host, int64_t now, uint64_t attempt,
                          enum marjoram_run_failure failure)
{
  struct marjoram_request *request = find_local_request (host, now, attempt);

  if (!request)
    return;
  switch (failure)
    {
    case MARJORAM_RUN_UNSENT:
      marjoram_members_mark_dead (host->members, now, request->upstream);
      marjoram_request_failed (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                               MARJORAM_REASON_UPSTREAM_FAILED, 0, false);
      break;
    case MARJORAM_RUN_BROKEN:
      probe_upstream (host, now, request);
      break;
    case MARJORAM_RUN_UNAVAILABLE:
      marjoram_request_failed (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                               MARJORAM_REASON_UPSTREAM_REFUSED,
                               MARJORAM_RETRY_AFTER_MS, false);
      break;
    case MARJORAM_RUN_UNFRAMED:
      marjoram_request_failed (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                               MARJORAM_REASON_UPSTREAM_FAILED, 0, false);
      break;
    case MARJORAM_RUN_REFUSED:
      marjoram_request_failed (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                               MARJORAM_REASON_UPSTREAM_REFUSED,
                               MARJORAM_RETRY_AFTER_MS, false);
      break;
    case MARJORAM_RUN_NO_RESUME:
      /* The upstream answered on a new connection, so it is alive.  Waiting
         for data on the original connection is bounded by the deadline.  */
      request->resuming = false;
      request->progress = now;
      break;
    case MARJORAM_RUN_NOT_STARTED:
      marjoram_request_failed (host, now, request,
                               runs_since_start (host, request)
                                   ? MARJORAM_OUTCOME_NOT_RUN
                                   : MARJORAM_OUTCOME_UNKNOWN,
                               MARJORAM_REASON_UPSTREAM_SILENT, 0, false);
      break;
    }
  marjoram_host_deliver_claim_results (host, now);
}

void
marjoram_host_probed (marjoram_host *host, int64_t now, const char *upstream,
                      uint64_t incarnation, bool alive)
{
  struct marjoram_request *request;
  struct marjoram_request *next;

  host->now = now;
  if (!alive && is_incarnation (host, upstream, incarnation))
    marjoram_host_upstream_died (host, now, upstream);
  for (request = TAILQ_FIRST (&host->requests->all); request; request = next)
    {
      next = TAILQ_NEXT (request, all);
      if (request->state != MARJORAM_REQUEST_PROBING || !request->attempt
          || request->upstream_incarnation != incarnation
          || strcmp (request->upstream, upstream) != 0)
        continue;
      request->crashes += !alive;
      marjoram_request_failed (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                               MARJORAM_REASON_UPSTREAM_FAILED, 0, false);
    }
  marjoram_host_deliver_claim_results (host, now);
}

void
marjoram_host_ordered (marjoram_host *host, int64_t now, uint64_t number,
                       int status, int64_t retry_ms)
{
  host->now = now;
  if (host->model_placement)
    marjoram_model_placement_answered (host->model_placement, now, number,
                                       status, retry_ms);
}
