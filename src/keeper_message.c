#include "keeper_message.h"

#include "frame.h"

#define VALUE_HASH(type, member)                                              \
  { MARJORAM_FIELD_UINT,                                                      \
    offsetof (type, member) + offsetof (struct marjoram_value_hash, high), 0, \
    NULL },                                                                   \
  {                                                                           \
    MARJORAM_FIELD_UINT,                                                      \
        offsetof (type, member) + offsetof (struct marjoram_value_hash, low), \
        0, NULL                                                               \
  }
#define COUNT(array) (sizeof (array) / sizeof *(array))
#define BALLOT_PART(type, member, part)                                       \
  {                                                                           \
    MARJORAM_FIELD_UINT,                                                      \
        offsetof (type, member) + offsetof (struct marjoram_ballot, part), 0, \
        NULL                                                                  \
  }
#define BALLOT(type, member)                                                  \
  BALLOT_PART (type, member, round), BALLOT_PART (type, member, incarnation), \
      BALLOT_PART (type, member, proposer)

static const struct marjoram_field message_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_keeper_message, kind) },
  { MARJORAM_WIRE_STRING (struct marjoram_keeper_message, store_id,
                          MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_keeper_message, incarnation) },
  { MARJORAM_WIRE_UINT (struct marjoram_keeper_message, base) },
  { MARJORAM_WIRE_UINT (struct marjoram_keeper_message, writes) },
  { MARJORAM_WIRE_STRING (struct marjoram_keeper_message, seen_store_id,
                          MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_keeper_message, seen_incarnation) },
  { MARJORAM_WIRE_UINT (struct marjoram_keeper_message, seen_writes) },
  { MARJORAM_WIRE_UINT (struct marjoram_keeper_message, number) },
  { MARJORAM_WIRE_INT (struct marjoram_keeper_message, echo) },
  BALLOT (struct marjoram_keeper_message, ballot),
  BALLOT (struct marjoram_keeper_message, accepted),
  { MARJORAM_WIRE_BYTES (struct marjoram_keeper_message, value,
                         MARJORAM_FRAME_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_keeper_message, encoding) },
  VALUE_HASH (struct marjoram_keeper_message, base_hash),
  { MARJORAM_WIRE_UINT (struct marjoram_keeper_message, max_encoding) },
  VALUE_HASH (struct marjoram_keeper_message, accepted_hash),
  { MARJORAM_WIRE_UINT (struct marjoram_keeper_message, held_number) },
};
const struct marjoram_layout marjoram_keeper_message_layout
    = { "marjoram_keeper_message", sizeof (struct marjoram_keeper_message),
        message_fields, COUNT (message_fields) };

static const struct marjoram_field seen_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_keeper_seen, store_id,
                          MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_keeper_seen, incarnation) },
  { MARJORAM_WIRE_UINT (struct marjoram_keeper_seen, writes) },
};
static const struct marjoram_layout seen_layout
    = { "marjoram_keeper_seen", sizeof (struct marjoram_keeper_seen),
        seen_fields, COUNT (seen_fields) };

static const struct marjoram_field record_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_keeper_record, writes) },
  { MARJORAM_WIRE_BOOL (struct marjoram_keeper_record, rolled_back) },
  BALLOT (struct marjoram_keeper_record, promised),
  BALLOT (struct marjoram_keeper_record, accepted),
  { MARJORAM_WIRE_BYTES (struct marjoram_keeper_record, value,
                         MARJORAM_FRAME_MAX) },
  BALLOT (struct marjoram_keeper_record, chosen_ballot),
  { MARJORAM_WIRE_BYTES (struct marjoram_keeper_record, chosen,
                         MARJORAM_FRAME_MAX) },
  { MARJORAM_WIRE_BOOL (struct marjoram_keeper_record, value_is_chosen) },
  { MARJORAM_WIRE_ARRAY (struct marjoram_keeper_record, seen,
                         MARJORAM_KEEPER_SEEN_MAX, &seen_layout) },
};
const struct marjoram_layout marjoram_keeper_record_layout
    = { "marjoram_keeper_record", sizeof (struct marjoram_keeper_record),
        record_fields, COUNT (record_fields) };
