#include "frame.h"

#include "dialect.h"
#include "gateway_message.h"

#include "claim.h"
#include "cleanup.h"
#include "keeper.h"
#include "member.h"
#include "order.h"
#include "route.h"
#include "state.h"
#include "suspect.h"

#include <string.h>

enum
{
  ADDRESS_MAX = 64,
  DIGEST_MAX = 64,
  NONCE_MAX = 64,
  MESSAGE_MAX = 512
};

#define COUNT(array) (sizeof (array) / sizeof *(array))
#define LAYOUT(name, type, fields)                                            \
  static const struct marjoram_layout name                                    \
      = { #type, sizeof (struct type), fields, COUNT (fields) }

static const struct marjoram_field hello_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_hello, release) },
  { MARJORAM_WIRE_STRING (struct marjoram_hello, cluster, MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_hello, slot, MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_hello, zone, MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_hello, incarnation) },
  { MARJORAM_WIRE_BYTES (struct marjoram_hello, nonce, NONCE_MAX) },
};
LAYOUT (hello_layout, marjoram_hello, hello_fields);

static const struct marjoram_field proof_fields[] = {
  { MARJORAM_WIRE_BYTES (struct marjoram_proof, code, NONCE_MAX) },
};
LAYOUT (proof_layout, marjoram_proof, proof_fields);

static const struct marjoram_field heartbeat_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_heartbeat, sequence) },
  { MARJORAM_WIRE_UINT (struct marjoram_heartbeat, incarnation) },
  { MARJORAM_WIRE_UINT (struct marjoram_heartbeat, config_number) },
  { MARJORAM_WIRE_BOOL (struct marjoram_heartbeat, draining) },
  { MARJORAM_WIRE_UINT (struct marjoram_heartbeat, echo) },
  { MARJORAM_WIRE_UINT (struct marjoram_heartbeat, held_ms) },
};
LAYOUT (heartbeat_layout, marjoram_heartbeat, heartbeat_fields);

static const struct marjoram_field renewal_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_renewal, name, MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_renewal, incarnation) },
  { MARJORAM_WIRE_UINT (struct marjoram_renewal, sequence) },
  { MARJORAM_WIRE_UINT (struct marjoram_renewal, lease_ms) },
  { MARJORAM_WIRE_UINT (struct marjoram_renewal, running) },
  { MARJORAM_WIRE_UINT (struct marjoram_renewal, waiting) },
};
LAYOUT (renewal_layout, marjoram_renewal, renewal_fields);

static const struct marjoram_field renewals_fields[] = {
  { MARJORAM_WIRE_ARRAY (struct marjoram_renewals, items,
                         MARJORAM_RENEWALS_MAX, &renewal_layout) },
};
LAYOUT (renewals_layout, marjoram_renewals, renewals_fields);

static const struct marjoram_field header_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_header, name, MARJORAM_HEAD_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_header, value, MARJORAM_HEAD_MAX) },
};
LAYOUT (header_layout, marjoram_header, header_fields);

static const struct marjoram_field forward_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_forward, request) },
  { MARJORAM_WIRE_STRING (struct marjoram_forward, id, MARJORAM_KEY_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_forward, caller,
                          MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_forward, work, MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_forward, method,
                          MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_forward, path, MARJORAM_HEAD_MAX) },
  { MARJORAM_WIRE_ARRAY (struct marjoram_forward, headers,
                         MARJORAM_HEAD_FIELDS_MAX, &header_layout) },
  { MARJORAM_WIRE_BYTES (struct marjoram_forward, body, MARJORAM_BODY_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_forward, digest, DIGEST_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_forward, key, MARJORAM_KEY_MAX) },
  { MARJORAM_WIRE_INT (struct marjoram_forward, budget_ms) },
  { MARJORAM_WIRE_UINT (struct marjoram_forward, class) },
  { MARJORAM_WIRE_UINT (struct marjoram_forward, prompt_tokens) },
  { MARJORAM_WIRE_UINT (struct marjoram_forward, answer_tokens) },
  { MARJORAM_WIRE_UINT (struct marjoram_forward, prefix_hash) },
  { MARJORAM_WIRE_UINT (struct marjoram_forward, config_number) },
  { MARJORAM_WIRE_UINT (struct marjoram_forward, suspicion) },
  { MARJORAM_WIRE_BOOL (struct marjoram_forward, stream) },
  { MARJORAM_WIRE_BOOL (struct marjoram_forward, claim_here) },
  { MARJORAM_WIRE_BOOL (struct marjoram_forward, no_local_upstream) },
  { MARJORAM_WIRE_INT (struct marjoram_forward, time_left_ms) },
  { MARJORAM_WIRE_STRING (struct marjoram_forward, build, MARJORAM_ID_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_forward, service, MARJORAM_ID_MAX) },
};
LAYOUT (forward_layout, marjoram_forward, forward_fields);

static const struct marjoram_field head_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_head, request) },
  { MARJORAM_WIRE_UINT (struct marjoram_head, status) },
  { MARJORAM_WIRE_ARRAY (struct marjoram_head, headers,
                         MARJORAM_HEAD_FIELDS_MAX, &header_layout) },
  { MARJORAM_WIRE_STRING (struct marjoram_head, upstream, MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_head, build, MARJORAM_ID_MAX) },
};
LAYOUT (head_layout, marjoram_head, head_fields);

static const struct marjoram_field data_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_data, request) },
  { MARJORAM_WIRE_UINT (struct marjoram_data, offset) },
  { MARJORAM_WIRE_BYTES (struct marjoram_data, bytes, MARJORAM_BODY_MAX) },
};
LAYOUT (data_layout, marjoram_data, data_fields);

static const struct marjoram_field end_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_end, request) },
  { MARJORAM_WIRE_UINT (struct marjoram_end, outcome) },
  { MARJORAM_WIRE_UINT (struct marjoram_end, reason) },
  { MARJORAM_WIRE_UINT (struct marjoram_end, length) },
  { MARJORAM_WIRE_INT (struct marjoram_end, retry_ms) },
  { MARJORAM_WIRE_UINT (struct marjoram_end, crashes) },
  { MARJORAM_WIRE_BOOL (struct marjoram_end, unreached) },
};
LAYOUT (end_layout, marjoram_end, end_fields);

static const struct marjoram_field cancel_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_cancel, request) },
};
LAYOUT (cancel_layout, marjoram_cancel, cancel_fields);

static const struct marjoram_field revoke_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_revoke, request) },
  { MARJORAM_WIRE_UINT (struct marjoram_revoke, offset) },
};
LAYOUT (revoke_layout, marjoram_revoke, revoke_fields);

static const struct marjoram_field revoked_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_revoked, request) },
  { MARJORAM_WIRE_BOOL (struct marjoram_revoked, never_started) },
  { MARJORAM_WIRE_BOOL (struct marjoram_revoked, known) },
};
LAYOUT (revoked_layout, marjoram_revoked, revoked_fields);

static const struct marjoram_layout reserved_layout
    = { "marjoram_reserved", sizeof (struct marjoram_reserved), NULL, 0 };

static const struct marjoram_field apply_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_apply, request) },
  { MARJORAM_WIRE_STRING (struct marjoram_apply, change_id,
                          MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_BYTES (struct marjoram_apply, file, MARJORAM_BODY_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_apply, old_keeper,
                          MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_apply, new_keeper,
                          MARJORAM_NAME_MAX) },
};
LAYOUT (apply_layout, marjoram_apply, apply_fields);

static const struct marjoram_field applied_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_applied, request) },
  { MARJORAM_WIRE_UINT (struct marjoram_applied, outcome) },
  { MARJORAM_WIRE_UINT (struct marjoram_applied, result) },
  { MARJORAM_WIRE_UINT (struct marjoram_applied, number) },
  { MARJORAM_WIRE_UINT (struct marjoram_applied, version) },
  { MARJORAM_WIRE_STRING (struct marjoram_applied, digest, DIGEST_MAX) },
  { MARJORAM_WIRE_STRING (struct marjoram_applied, message, MESSAGE_MAX) },
};
LAYOUT (applied_layout, marjoram_applied, applied_fields);

static const struct marjoram_layout *const layouts[MARJORAM_FRAME_COUNT] = {
  [MARJORAM_FRAME_HELLO] = &hello_layout,
  [MARJORAM_FRAME_PROOF] = &proof_layout,
  [MARJORAM_FRAME_HEARTBEAT] = &heartbeat_layout,
  [MARJORAM_FRAME_UPSTREAM] = &marjoram_announcement_layout,
  [MARJORAM_FRAME_FORWARD] = &forward_layout,
  [MARJORAM_FRAME_HEAD] = &head_layout,
  [MARJORAM_FRAME_DATA] = &data_layout,
  [MARJORAM_FRAME_END] = &end_layout,
  [MARJORAM_FRAME_CANCEL] = &cancel_layout,
  [MARJORAM_FRAME_REVOKE] = &revoke_layout,
  [MARJORAM_FRAME_REVOKED] = &revoked_layout,
  [MARJORAM_FRAME_CLAIM] = &marjoram_claim_layout,
  [MARJORAM_FRAME_KEEPER] = &marjoram_keeper_message_layout,
  [MARJORAM_FRAME_ORDER] = &marjoram_order_layout,
  [MARJORAM_FRAME_SUSPECT] = &marjoram_suspect_layout,
  [MARJORAM_FRAME_OFFERS] = &marjoram_offers_layout,
  [MARJORAM_FRAME_RESERVED_16] = &reserved_layout,
  [MARJORAM_FRAME_RESERVED_17] = &reserved_layout,
  [MARJORAM_FRAME_APPLY] = &apply_layout,
  [MARJORAM_FRAME_APPLIED] = &applied_layout,
  [MARJORAM_FRAME_RENEWALS] = &renewals_layout,
  [MARJORAM_FRAME_HOST_BEAT] = &marjoram_host_beat_layout,
  [MARJORAM_FRAME_HOST_LIST] = &marjoram_host_beats_layout,
  [MARJORAM_FRAME_NEWS] = &marjoram_news_batch_layout,
  [MARJORAM_FRAME_NEWS_SEEN] = &marjoram_news_seen_layout,
  [MARJORAM_FRAME_LOADS] = &marjoram_load_report_layout,
  [MARJORAM_FRAME_CRASHES] = &marjoram_crash_report_layout,
  [MARJORAM_FRAME_STATE_NEWS] = &marjoram_state_news_layout,
  [MARJORAM_FRAME_STATE_ASK] = &marjoram_state_ask_layout,
  [MARJORAM_FRAME_STATE_PIECE] = &marjoram_state_piece_layout,
  [MARJORAM_FRAME_RESERVED_30] = &reserved_layout,
  [MARJORAM_FRAME_LOAD_CHANGES] = &marjoram_load_report_layout,
  [MARJORAM_FRAME_LOAD_SUMS] = &marjoram_load_report_layout,
  [MARJORAM_FRAME_LEASE_ASK] = &marjoram_lease_ask_layout,
  [MARJORAM_FRAME_LEASE_GRANT] = &marjoram_lease_grant_layout,
  [MARJORAM_FRAME_QUOTA_ASK] = &marjoram_quota_ask_layout,
  [MARJORAM_FRAME_QUOTA_GRANT] = &marjoram_quota_grant_layout,
  [MARJORAM_FRAME_NEWS_ASK] = &marjoram_news_ask_layout,
  [MARJORAM_FRAME_LIVENESS] = &marjoram_liveness_layout,
  [MARJORAM_FRAME_LOST_HOSTS] = &marjoram_lost_hosts_layout,
  [MARJORAM_FRAME_STREAM_BEGUN] = &marjoram_stream_begun_layout,
  [MARJORAM_FRAME_STREAM_ASK] = &marjoram_stream_ask_layout,
  [MARJORAM_FRAME_STREAM_ANSWER] = &marjoram_stream_answer_layout,
  [MARJORAM_FRAME_ROOM_REPORT] = &marjoram_room_report_layout,
  [MARJORAM_FRAME_ROOM_SUMS] = &marjoram_room_report_layout,
  [MARJORAM_FRAME_DARK_UPSTREAMS] = &marjoram_dark_report_layout,
};

const struct marjoram_layout *
marjoram_frame_layout (enum marjoram_frame_type type)
{
  return layouts[type];
}

enum marjoram_frame_type
marjoram_frame_type_of (const marjoram_bytes *frame)
{
  const char *data = (const char *)marjoram_bytes_data (frame);

  return (enum marjoram_frame_type)data[MARJORAM_FRAME_HEADER - 1];
}

marjoram_bytes *
marjoram_frame_pack (enum marjoram_frame_type type, const void *message)
{
  marjoram_bytes *packed = marjoram_wire_pack (layouts[type], message);
  size_t size = marjoram_bytes_size (packed);
  uint32_t length = (uint32_t)size + 1;
  uint8_t *frame;
  marjoram_bytes *bytes;

  if (!packed || size >= MARJORAM_FRAME_MAX)
    {
      marjoram_bytes_release (packed);
      return NULL;
    }
  frame = marjoram_alloc (size + MARJORAM_FRAME_HEADER);
  for (int i = 0; i < 4; i++)
    frame[i] = (uint8_t)(length >> (24 - 8 * i));
  frame[4] = (uint8_t)type;
  memcpy (frame + MARJORAM_FRAME_HEADER, marjoram_bytes_data (packed), size);
  bytes = marjoram_bytes_create (frame, size + MARJORAM_FRAME_HEADER);
  marjoram_bytes_release (packed);
  free (frame);
  return bytes;
}
