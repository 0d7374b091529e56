#include "request.h"

#include "cleanup.h"
#include "host_state.h"

#include <stdio.h>

/* Claims and attempts share one number sequence.  */
static void
claim (marjoram_host *host, int64_t now, struct marjoram_request *request,
       int64_t issued)
{
  char scoped_key[MARJORAM_NAME_MAX + MARJORAM_KEY_MAX + 2];

  /* Scopes the key to its caller: another caller that sends the same key must
     not get this caller's answer.  */
  snprintf (scoped_key, sizeof scoped_key, "%s %s", request->caller,
            request->call->key);
  request->state = MARJORAM_REQUEST_CLAIMING;
  request->claim = host->requests->next_attempt++;
  HASH_ADD (by_claim, host->requests->by_claim, claim, sizeof request->claim,
            request);
  marjoram_claims_acquire (host->claims, now,
                           marjoram_host_wall_time (host, now), request->claim,
                           scoped_key, issued, request->digest);
}

static void
start_claimed (marjoram_host *host, int64_t now,
               struct marjoram_request *request)
{
  char zone_name[MARJORAM_KEY_MAX + 1];
  int64_t issued = 0;
  int zone;

  if (!request->call->key
      || !marjoram_key_parse (request->call->key, zone_name, &issued))
    {
      marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                               MARJORAM_REASON_KEY_MISSING, 0);
      return;
    }
  zone = marjoram_config_find_zone (host->config, zone_name);
  if (zone == host->zone && host->claims)
    claim (host, now, request, issued);
  else if (zone < 0 || zone == host->zone)
    marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                             MARJORAM_REASON_KEY_MISSING, 0);
  else if (request->peer)
    /* A request is forwarded to another zone at most once.  */
    marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                             MARJORAM_REASON_HOP_LIMIT, 0);
  else
    marjoram_forward_send (host, now, request, zone, true);
}

void
marjoram_request_start (marjoram_host *host, int64_t now,
                        struct marjoram_request *request)
{
  enum marjoram_suspicion suspicion
      = marjoram_suspects_get (host->suspects, now, request->digest);

  if (suspicion == MARJORAM_SUSPICION_CONVICTED)
    marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                             MARJORAM_REASON_CONVICTED, 0);
  else if (!request->call->idempotent
           && (!request->peer || request->claim_here))
    start_claimed (host, now, request);
  else
    marjoram_attempt_dispatch (host, now, request);
}

static void
replay (marjoram_host *host, int64_t now, struct marjoram_request *request,
        const struct marjoram_stored_answer *kept)
{
  struct marjoram_header type
      = { (char *)"Content-Type",
          kept->content_type ? kept->content_type : (char *)"text/plain" };
  struct marjoram_head head
      = { 0, kept->status, { &type, 1 }, (char *)MARJORAM_REPLAYED, NULL };

  marjoram_counters_add (host->counters, MARJORAM_COUNTER_REPLAYED, 1);
  request->state = MARJORAM_REQUEST_LOCAL;
  marjoram_request_head (host, now, request, &head);
  marjoram_request_data (host, now, request, kept->body);
  marjoram_request_done (host, now, request);
}

void
marjoram_request_claim_decided (marjoram_host *host, int64_t now,
                                uint64_t claim,
                                enum marjoram_claim_verdict verdict,
                                const struct marjoram_stored_answer *kept)
{
  struct marjoram_request *request;

  HASH_FIND (by_claim, host->requests->by_claim, &claim, sizeof claim,
             request);
  if (!request)
    return;
  request->state = MARJORAM_REQUEST_LOCAL;
  switch (verdict)
    {
    case MARJORAM_CLAIM_RUN:
      request->granted = true;
      if (request->abandoned)
        marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                                 MARJORAM_REASON_CANCELLED, 0);
      else
        marjoram_attempt_dispatch (host, now, request);
      break;
    case MARJORAM_CLAIM_REPLAY:
      replay (host, now, request, kept);
      break;
    case MARJORAM_CLAIM_RUNNING:
      marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                               MARJORAM_REASON_CLAIM_BUSY,
                               MARJORAM_RETRY_AFTER_MS);
      break;
    case MARJORAM_CLAIM_LOST:
      marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                               MARJORAM_REASON_UPSTREAM_FAILED, 0);
      break;
    case MARJORAM_CLAIM_MISMATCH:
      marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                               MARJORAM_REASON_CLAIM_MISMATCH, 0);
      break;
    case MARJORAM_CLAIM_NO_QUORUM:
      marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_NOT_RUN,
                               MARJORAM_REASON_CLAIM_NO_QUORUM,
                               MARJORAM_RETRY_AFTER_MS);
      break;
    case MARJORAM_CLAIM_EXPIRED:
      marjoram_request_refuse (host, now, request, MARJORAM_OUTCOME_UNKNOWN,
                               MARJORAM_REASON_KEY_EXPIRED, 0);
      break;
    }
}
