#include "gateway_message.h"

#include "dialect.h"

#define LAYOUT(variable, type, fields)                                        \
  const struct marjoram_layout variable                                       \
      = { #type, sizeof (struct type), fields,                                \
          sizeof (fields) / sizeof *(fields) }

#define STRING(type, member)                                                  \
  {                                                                           \
    MARJORAM_WIRE_STRING (struct type, member, MARJORAM_ID_MAX)               \
  }
#define UINT(type, member)                                                    \
  {                                                                           \
    MARJORAM_WIRE_UINT (struct type, member)                                  \
  }
#define INT(type, member)                                                     \
  {                                                                           \
    MARJORAM_WIRE_INT (struct type, member)                                   \
  }
#define BOOL(type, member)                                                    \
  {                                                                           \
    MARJORAM_WIRE_BOOL (struct type, member)                                  \
  }

static const struct marjoram_field host_offer_fields[] = {
  STRING (marjoram_host_offer, service),
  UINT (marjoram_host_offer, upstreams),
  UINT (marjoram_host_offer, wait_ms),
  UINT (marjoram_host_offer, backlog_ms),
  UINT (marjoram_host_offer, builds),
};
static LAYOUT (host_offer_layout, marjoram_host_offer, host_offer_fields);

static const struct marjoram_field host_beat_fields[] = {
  STRING (marjoram_host_beat, name),
  STRING (marjoram_host_beat, zone),
  STRING (marjoram_host_beat, region),
  STRING (marjoram_host_beat, entry),
  BOOL (marjoram_host_beat, keeper),
  BOOL (marjoram_host_beat, ready),
  BOOL (marjoram_host_beat, leaving),
  UINT (marjoram_host_beat, incarnation),
  UINT (marjoram_host_beat, sequence),
  UINT (marjoram_host_beat, config_number),
  UINT (marjoram_host_beat, age_ms),
  { MARJORAM_WIRE_ARRAY (struct marjoram_host_beat, offers,
                         MARJORAM_HOST_OFFERS_MAX, &host_offer_layout) },
  UINT (marjoram_host_beat, follow),
  UINT (marjoram_host_beat, interval_ms),
  BOOL (marjoram_host_beat, offers_nothing),
};
LAYOUT (marjoram_host_beat_layout, marjoram_host_beat, host_beat_fields);

static const struct marjoram_field host_beats_fields[] = {
  { MARJORAM_WIRE_ARRAY (struct marjoram_host_beats, items,
                         MARJORAM_HOST_BEATS_MAX,
                         &marjoram_host_beat_layout) },
};
LAYOUT (marjoram_host_beats_layout, marjoram_host_beats, host_beats_fields);

static const struct marjoram_field lost_host_fields[] = {
  STRING (marjoram_lost_host, name),
  UINT (marjoram_lost_host, incarnation),
};
static LAYOUT (lost_host_layout, marjoram_lost_host, lost_host_fields);

static const struct marjoram_field lost_hosts_fields[] = {
  { MARJORAM_WIRE_ARRAY (struct marjoram_lost_hosts, items,
                         MARJORAM_HOST_BEATS_MAX, &lost_host_layout) },
};
LAYOUT (marjoram_lost_hosts_layout, marjoram_lost_hosts, lost_hosts_fields);

static const struct marjoram_field news_item_fields[] = {
  STRING (marjoram_news_item, id),      STRING (marjoram_news_item, service),
  STRING (marjoram_news_item, address), STRING (marjoram_news_item, zone),
  UINT (marjoram_news_item, state),     INT (marjoram_news_item, started_at),
  INT (marjoram_news_item, sequence),   INT (marjoram_news_item, cold_ms),
  INT (marjoram_news_item, ends_ms),    INT (marjoram_news_item, age_ms),
  INT (marjoram_news_item, slots),      STRING (marjoram_news_item, build),
};
static LAYOUT (news_item_layout, marjoram_news_item, news_item_fields);

static const struct marjoram_field news_batch_fields[] = {
  UINT (marjoram_news_batch, ticket),
  { MARJORAM_WIRE_ARRAY (struct marjoram_news_batch, items, MARJORAM_NEWS_MAX,
                         &news_item_layout) },
  INT (marjoram_news_batch, asked_at),
  BOOL (marjoram_news_batch, is_last),
  BOOL (marjoram_news_batch, has_known),
  INT (marjoram_news_batch, known_ms),
};
LAYOUT (marjoram_news_batch_layout, marjoram_news_batch, news_batch_fields);

static const struct marjoram_field news_seen_fields[] = {
  UINT (marjoram_news_seen, ticket),
};
LAYOUT (marjoram_news_seen_layout, marjoram_news_seen, news_seen_fields);

static const struct marjoram_field news_ask_fields[] = {
  INT (marjoram_news_ask, asked_at),
};
LAYOUT (marjoram_news_ask_layout, marjoram_news_ask, news_ask_fields);

static const struct marjoram_field silent_item_fields[] = {
  STRING (marjoram_silent_item, id),
  INT (marjoram_silent_item, age_ms),
};
static LAYOUT (silent_item_layout, marjoram_silent_item, silent_item_fields);

static const struct marjoram_field liveness_fields[] = {
  INT (marjoram_liveness, within_ms),
  UINT (marjoram_liveness, count),
  UINT (marjoram_liveness, digest),
  { MARJORAM_WIRE_ARRAY (struct marjoram_liveness, silent, MARJORAM_SILENT_MAX,
                         &silent_item_layout) },
};
LAYOUT (marjoram_liveness_layout, marjoram_liveness, liveness_fields);

static const struct marjoram_field load_item_fields[] = {
  STRING (marjoram_load_item, upstream),
  UINT (marjoram_load_item, running),
  UINT (marjoram_load_item, prefill_tokens),
  UINT (marjoram_load_item, urgent_tokens),
  UINT (marjoram_load_item, held_tokens),
  UINT (marjoram_load_item, answer_tokens),
  BOOL (marjoram_load_item, lost),
  UINT (marjoram_load_item, rate_number),
  INT (marjoram_load_item, rate_limit),
  BOOL (marjoram_load_item, leaving),
  UINT (marjoram_load_item, retry_ms),
  INT (marjoram_load_item, started_at),
};
static LAYOUT (load_item_layout, marjoram_load_item, load_item_fields);

static const struct marjoram_field placed_part_fields[] = {
  UINT (marjoram_placed_part, part),
  UINT (marjoram_placed_part, tokens),
  UINT (marjoram_placed_part, upstream),
};
static LAYOUT (placed_part_layout, marjoram_placed_part, placed_part_fields);

static const struct marjoram_field load_report_fields[] = {
  { MARJORAM_WIRE_ARRAY (struct marjoram_load_report, items,
                         MARJORAM_LOADS_MAX, &load_item_layout) },
  { MARJORAM_WIRE_ARRAY (struct marjoram_load_report, placed,
                         MARJORAM_PLACED_MAX, &placed_part_layout) },
  BOOL (marjoram_load_report, whole),
};
LAYOUT (marjoram_load_report_layout, marjoram_load_report, load_report_fields);

static const struct marjoram_field crash_item_fields[] = {
  STRING (marjoram_crash_item, digest),
  { MARJORAM_WIRE_STRING (struct marjoram_crash_item, instance,
                          MARJORAM_INSTANCE_MAX) },
};
static LAYOUT (crash_item_layout, marjoram_crash_item, crash_item_fields);

static const struct marjoram_field part_item_fields[] = {
  UINT (marjoram_part_item, kind),       UINT (marjoram_part_item, id),
  STRING (marjoram_part_item, service),  UINT (marjoram_part_item, instance),
  UINT (marjoram_part_item, requests),   BOOL (marjoram_part_item, convicted),
  INT (marjoram_part_item, sent_ago_ms), INT (marjoram_part_item, ago_ms),
};
static LAYOUT (part_item_layout, marjoram_part_item, part_item_fields);

static const struct marjoram_field crash_report_fields[] = {
  { MARJORAM_WIRE_ARRAY (struct marjoram_crash_report, items,
                         MARJORAM_CRASHES_MAX, &crash_item_layout) },
  { MARJORAM_WIRE_ARRAY (struct marjoram_crash_report, parts,
                         MARJORAM_CRASHES_MAX, &part_item_layout) },
};
LAYOUT (marjoram_crash_report_layout, marjoram_crash_report,
        crash_report_fields);

static const struct marjoram_field state_news_fields[] = {
  UINT (marjoram_state_news, number),
};
LAYOUT (marjoram_state_news_layout, marjoram_state_news, state_news_fields);

static const struct marjoram_field state_ask_fields[] = {
  UINT (marjoram_state_ask, number),
  UINT (marjoram_state_ask, base),
  UINT (marjoram_state_ask, base_digest),
  UINT (marjoram_state_ask, offset),
};
LAYOUT (marjoram_state_ask_layout, marjoram_state_ask, state_ask_fields);

static const struct marjoram_field state_piece_fields[] = {
  UINT (marjoram_state_piece, number),
  UINT (marjoram_state_piece, base),
  UINT (marjoram_state_piece, size),
  UINT (marjoram_state_piece, offset),
  { MARJORAM_WIRE_BYTES (struct marjoram_state_piece, bytes,
                         MARJORAM_STATE_PIECE_MAX) },
};
LAYOUT (marjoram_state_piece_layout, marjoram_state_piece, state_piece_fields);

static const struct marjoram_field lease_ask_fields[] = {
  INT (marjoram_lease_ask, asked_at),
};
LAYOUT (marjoram_lease_ask_layout, marjoram_lease_ask, lease_ask_fields);

static const struct marjoram_field lease_grant_fields[] = {
  INT (marjoram_lease_grant, asked_at),
  UINT (marjoram_lease_grant, number),
};
LAYOUT (marjoram_lease_grant_layout, marjoram_lease_grant, lease_grant_fields);

static const struct marjoram_field quota_ask_fields[] = {
  STRING (marjoram_quota_ask, customer),  INT (marjoram_quota_ask, asked_at),
  INT (marjoram_quota_ask, units),        INT (marjoram_quota_ask, given_back),
  BOOL (marjoram_quota_ask, from_keeper),
};
LAYOUT (marjoram_quota_ask_layout, marjoram_quota_ask, quota_ask_fields);

static const struct marjoram_field quota_grant_fields[] = {
  STRING (marjoram_quota_grant, customer),
  INT (marjoram_quota_grant, asked_at),
  INT (marjoram_quota_grant, units),
  INT (marjoram_quota_grant, wait_ms),
  INT (marjoram_quota_grant, asked_units),
};
LAYOUT (marjoram_quota_grant_layout, marjoram_quota_grant, quota_grant_fields);

static const struct marjoram_field stream_begun_fields[] = {
  STRING (marjoram_stream_begun, id),
  STRING (marjoram_stream_begun, build),
  INT (marjoram_stream_begun, keep_ms),
  STRING (marjoram_stream_begun, service),
};
LAYOUT (marjoram_stream_begun_layout, marjoram_stream_begun,
        stream_begun_fields);

static const struct marjoram_field stream_ask_fields[] = {
  STRING (marjoram_stream_ask, id),
  STRING (marjoram_stream_ask, service),
  INT (marjoram_stream_ask, for_ms),
  UINT (marjoram_stream_ask, call),
};
LAYOUT (marjoram_stream_ask_layout, marjoram_stream_ask, stream_ask_fields);

static const struct marjoram_field stream_answer_fields[] = {
  STRING (marjoram_stream_answer, id),
  STRING (marjoram_stream_answer, build),
  UINT (marjoram_stream_answer, keepers),
  STRING (marjoram_stream_answer, service),
  UINT (marjoram_stream_answer, call),
};
LAYOUT (marjoram_stream_answer_layout, marjoram_stream_answer,
        stream_answer_fields);

static const struct marjoram_field room_item_fields[] = {
  STRING (marjoram_room_item, service), STRING (marjoram_room_item, customer),
  UINT (marjoram_room_item, used),      UINT (marjoram_room_item, wanted),
  UINT (marjoram_room_item, waiting),
};
static LAYOUT (room_item_layout, marjoram_room_item, room_item_fields);

static const struct marjoram_field room_report_fields[] = {
  { MARJORAM_WIRE_ARRAY (struct marjoram_room_report, items,
                         MARJORAM_ROOM_ITEMS_MAX, &room_item_layout) },
  UINT (marjoram_room_report, hosts),
};
LAYOUT (marjoram_room_report_layout, marjoram_room_report, room_report_fields);

static const struct marjoram_field dark_item_fields[] = {
  STRING (marjoram_dark_item, upstream),
  INT (marjoram_dark_item, started_at),
};
static LAYOUT (dark_item_layout, marjoram_dark_item, dark_item_fields);

static const struct marjoram_field dark_report_fields[] = {
  { MARJORAM_WIRE_ARRAY (struct marjoram_dark_report, items, MARJORAM_DARK_MAX,
                         &dark_item_layout) },
};
LAYOUT (marjoram_dark_report_layout, marjoram_dark_report, dark_report_fields);
