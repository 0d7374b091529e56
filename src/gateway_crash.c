#include "gateway_private.h"

#include "event_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  /* Tells the caller not to retry.  */
  STATUS_BAD_REQUEST = 400,
  SUCCESS = 2, /* status class 2xx */
  /* An answer with so many events has begun beyond doubt; an upstream that
     crashes as it begins may have sent one.  */
  BEGUN_EVENTS = 2,
  /* An upstream that is heard this much later than its connections broke has
     not crashed; a heartbeat may be on its way for some time.  */
  ALIVE_MARGIN_MS = 1000,
  /* For which an upstream is watched after its connections broke.  */
  WATCH_MS = 10000
};

/* Ids of the parts of a prompt that other requests may share: all but the
   last.  */
struct part_ids
{
  uint64_t items[MARJORAM_PROMPT_PARTS_MAX];
};

static struct marjoram_shared_parts
shared_parts (const struct marjoram_exchange *exchange, struct part_ids *ids)
{
  const struct marjoram_call_metadata *metadata = &exchange->metadata;
  struct marjoram_shared_parts parts
      = { .service = exchange->service, .ids = ids->items };

  for (; parts.count + 1 < metadata->part_count; parts.count++)
    ids->items[parts.count] = metadata->parts[parts.count].id;
  return parts;
}

/* ---- Crashes and answers.  ---- */

static void
record_request_crash (marjoram_gateway *gateway,
                      struct marjoram_exchange *exchange, int64_t now)
{
  const char *digest = marjoram_exchange_digest (exchange);

  marjoram_crash_list_add_crash (gateway->crashes, now, digest,
                                 exchange->upstream,
                                 exchange->upstream_started_at);
  if (marjoram_crash_list_is_blocked (gateway->crashes, now, digest))
    marjoram_event (MARJORAM_EVENT_ATTEMPT,
                    "id=%s convicted=yes digest=%s upstream=%s service=%s",
                    exchange->metadata.id, digest, exchange->upstream,
                    exchange->service);
}

/* Remembers the upstream, to find out whether it lives on.  */
static void
watch_upstream (marjoram_gateway *gateway,
                const struct marjoram_exchange *exchange, int64_t now)
{
  struct marjoram_broken_upstream *broken;

  for (size_t i = 0; i < MARJORAM_BROKEN_MAX; i++)
    {
      broken = &gateway->broken[i];
      if (strcmp (broken->id, exchange->upstream) == 0
          && broken->started_at == exchange->upstream_started_at)
        return;
    }
  broken = &gateway->broken[gateway->next_broken++ % MARJORAM_BROKEN_MAX];
  snprintf (broken->id, sizeof broken->id, "%s", exchange->upstream);
  broken->started_at = exchange->upstream_started_at;
  broken->at = now;
  gateway->has_broken = true;
}

void
marjoram_exchange_record_crash (marjoram_gateway *gateway,
                                struct marjoram_exchange *exchange,
                                int64_t now)
{
  struct part_ids ids;
  const struct marjoram_shared_parts parts = shared_parts (exchange, &ids);
  const struct marjoram_part_crash crash
      = { .instance = marjoram_crash_instance (exchange->upstream,
                                               exchange->upstream_started_at),
          .sent_at = exchange->attempt_sent_at,
          .crashed_at = now };

  record_request_crash (gateway, exchange, now);
  if (parts.count == 0 || exchange->attempt_events >= BEGUN_EVENTS)
    return;
  marjoram_crash_parts_add_crash (marjoram_crash_list_parts (gateway->crashes),
                                  now, &parts, &crash);
  watch_upstream (gateway, exchange, now);
}

void
marjoram_exchange_record_begin (marjoram_gateway *gateway,
                                struct marjoram_exchange *exchange,
                                int64_t now, bool whole)
{
  struct part_ids ids;
  struct marjoram_shared_parts parts;

  if (exchange->attempt_begun || exchange->status / 100 != SUCCESS
      || (!whole && exchange->attempt_events < BEGUN_EVENTS))
    return;
  exchange->attempt_begun = true;
  parts = shared_parts (exchange, &ids);
  marjoram_crash_parts_add_answer (
      marjoram_crash_list_parts (gateway->crashes), now, &parts);
}

/* ---- Refusals.  ---- */

/* Whether the exchange, or a part of its prompt, is convicted.  */
static bool
is_blocked (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
            int64_t now)
{
  struct part_ids ids;
  struct marjoram_shared_parts parts;
  uint64_t part;

  if (marjoram_crash_list_count (gateway->crashes) == 0)
    return false;
  if (marjoram_crash_list_is_blocked (gateway->crashes, now,
                                      marjoram_exchange_digest (exchange)))
    return true;
  parts = shared_parts (exchange, &ids);
  if (!marjoram_crash_parts_is_blocked (
          marjoram_crash_list_parts (gateway->crashes), now, &parts, &part))
    return false;
  marjoram_event (MARJORAM_EVENT_ATTEMPT,
                  "id=%s refused_part=%" PRIx64 " service=%s",
                  exchange->metadata.id, part, exchange->service);
  return true;
}

static void
refuse_convicted (marjoram_gateway *gateway,
                  struct marjoram_exchange *exchange, int64_t now)
{
  static const struct marjoram_refusal refusal
      = { MARJORAM_REASON_CONVICTED, STATUS_BAD_REQUEST, 0 };

  marjoram_exchange_refuse (gateway, exchange, now, &refusal);
}

bool
marjoram_exchange_refuse_crashing (marjoram_gateway *gateway,
                                   struct marjoram_exchange *exchange,
                                   int64_t now)
{
  if (!is_blocked (gateway, exchange, now))
    return false;
  refuse_convicted (gateway, exchange, now);
  return true;
}

bool
marjoram_exchange_take_trial (marjoram_gateway *gateway,
                              struct marjoram_exchange *exchange, int64_t now)
{
  struct part_ids ids;
  const struct marjoram_shared_parts parts = shared_parts (exchange, &ids);

  if (marjoram_crash_parts_take_trial (
          marjoram_crash_list_parts (gateway->crashes), now, &parts))
    return true;
  refuse_convicted (gateway, exchange, now);
  return false;
}

/* Refuses requests with a newly convicted part that wait here or at their
   upstream, where they would crash it.  */
static void
refuse_waiting (marjoram_gateway *gateway, int64_t now)
{
  struct marjoram_exchange *exchange;
  struct marjoram_exchange *next;

  HASH_ITER (by_call, gateway->by_call, exchange, next)
  {
    if (*exchange->service && !exchange->attempt_begun)
      marjoram_exchange_refuse_crashing (gateway, exchange, now);
  }
}

/* ---- Upstreams that live on.  ---- */

static void
note_alive (marjoram_gateway *gateway, int64_t now,
            struct marjoram_broken_upstream *broken)
{
  marjoram_crash_parts_add_alive (
      marjoram_crash_list_parts (gateway->crashes), now,
      marjoram_crash_instance (broken->id, broken->started_at));
  *broken = (struct marjoram_broken_upstream){ 0 };
}

void
marjoram_exchange_check_alive (marjoram_gateway *gateway,
                               const struct marjoram_exchange *exchange,
                               int64_t now)
{
  for (size_t i = 0; i < MARJORAM_BROKEN_MAX && gateway->has_broken; i++)
    {
      struct marjoram_broken_upstream *broken = &gateway->broken[i];

      if (*broken->id && strcmp (broken->id, exchange->upstream) == 0
          && broken->started_at == exchange->upstream_started_at
          && exchange->attempt_sent_at > broken->at)
        note_alive (gateway, now, broken);
    }
}

static void
check_broken (marjoram_gateway *gateway, int64_t now,
              struct marjoram_broken_upstream *broken)
{
  const struct marjoram_registry *registry = gateway->options.place.registry;
  const struct marjoram_registered *upstream
      = marjoram_registry_find (registry, broken->id);

  if (upstream && upstream->heartbeat.started_at == broken->started_at
      && marjoram_registry_heard_at (registry, upstream)
             > broken->at + ALIVE_MARGIN_MS)
    note_alive (gateway, now, broken);
  else if (now - broken->at < WATCH_MS)
    gateway->has_broken = true;
  else
    *broken = (struct marjoram_broken_upstream){ 0 };
}

void
marjoram_gateway_tick_crashes (marjoram_gateway *gateway, int64_t now)
{
  uint64_t convictions;

  if (gateway->has_broken)
    {
      gateway->has_broken = false;
      for (size_t i = 0; i < MARJORAM_BROKEN_MAX; i++)
        if (*gateway->broken[i].id)
          check_broken (gateway, now, &gateway->broken[i]);
    }
  marjoram_crash_list_expire (gateway->crashes, now);
  convictions = marjoram_crash_parts_convictions (
      marjoram_crash_list_parts (gateway->crashes));
  if (convictions == gateway->convictions_seen)
    return;
  gateway->convictions_seen = convictions;
  refuse_waiting (gateway, now);
}
