#include "claim_message.h"

#include <ctype.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof (array) / sizeof *(array))
#define ENTRY struct marjoram_claim_entry
#define MESSAGE struct marjoram_claim_message

static const struct marjoram_field incarnation_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_claim_incarnation, value) },
};
static const struct marjoram_layout incarnation_layout
    = { "marjoram_claim_incarnation",
        sizeof (struct marjoram_claim_incarnation), incarnation_fields,
        COUNT (incarnation_fields) };

static const struct marjoram_field entry_fields[] = {
  { MARJORAM_WIRE_UINT (ENTRY, key.high) },
  { MARJORAM_WIRE_UINT (ENTRY, key.low) },
  { MARJORAM_WIRE_UINT (ENTRY, digest.high) },
  { MARJORAM_WIRE_UINT (ENTRY, digest.low) },
  { MARJORAM_WIRE_UINT (ENTRY, owner) },
  { MARJORAM_WIRE_UINT (ENTRY, incarnation) },
  { MARJORAM_WIRE_UINT (ENTRY, number) },
  { MARJORAM_WIRE_UINT (ENTRY, issued) },
  { MARJORAM_WIRE_UINT (ENTRY, state) },
  { MARJORAM_WIRE_UINT (ENTRY, kept.status) },
  { MARJORAM_WIRE_STRING (ENTRY, kept.content_type, MARJORAM_KEPT_TYPE_MAX) },
  { MARJORAM_WIRE_BYTES (ENTRY, kept.body, MARJORAM_KEPT_BODY_MAX) },
};
static const struct marjoram_layout entry_layout
    = { "marjoram_claim_entry", sizeof (ENTRY), entry_fields,
        COUNT (entry_fields) };

static const struct marjoram_field message_fields[] = {
  { MARJORAM_WIRE_UINT (MESSAGE, kind) },
  { MARJORAM_WIRE_UINT (MESSAGE, incarnation) },
  { MARJORAM_WIRE_ARRAY (MESSAGE, known_incarnations, MARJORAM_ZONE_SLOTS_MAX,
                         &incarnation_layout) },
  { MARJORAM_WIRE_INT (MESSAGE, horizon) },
  { MARJORAM_WIRE_ARRAY (MESSAGE, entries, MARJORAM_CLAIM_ENTRIES_MAX,
                         &entry_layout) },
  { MARJORAM_WIRE_UINT (MESSAGE, vote) },
  { MARJORAM_WIRE_UINT (MESSAGE, since) },
  { MARJORAM_WIRE_UINT (MESSAGE, cursor) },
  { MARJORAM_WIRE_BOOL (MESSAGE, more) },
  { MARJORAM_WIRE_BOOL (MESSAGE, recovered) },
};
const struct marjoram_layout marjoram_claim_layout
    = { "marjoram_claim_message", sizeof (MESSAGE), message_fields,
        COUNT (message_fields) };

struct marjoram_hash128
marjoram_hash128_from_text (const char *text)
{
  struct marjoram_hash128 hash;

  crypto_generichash ((unsigned char *)&hash, sizeof hash,
                      (const unsigned char *)text, strlen (text), NULL, 0);
  return hash;
}

bool
marjoram_hash128_equal (struct marjoram_hash128 a, struct marjoram_hash128 b)
{
  return a.high == b.high && a.low == b.low;
}

bool
marjoram_claim_same_attempt (const struct marjoram_claim_entry *a,
                             const struct marjoram_claim_entry *b)
{
  return a->owner == b->owner && a->incarnation == b->incarnation
         && a->number == b->number;
}

static bool
key_characters (const char *text)
{
  for (; *text; text++)
    if (!isalnum ((unsigned char)*text) && !strchr ("._-", *text))
      return false;
  return true;
}

enum
{
  TIME_DIGITS_MAX = 15
};

bool
marjoram_key_parse (const char *key, char *zone, int64_t *issued_ms)
{
  size_t zone_size = strcspn (key, ".");
  const char *time = key + zone_size + 1;
  size_t digits;

  if (strlen (key) > MARJORAM_KEY_MAX || !key_characters (key)
      || zone_size == 0 || key[zone_size] == '\0')
    return false;
  digits = strspn (time, "0123456789abcdefABCDEF");
  if (digits == 0 || digits > TIME_DIGITS_MAX || time[digits] != '.'
      || time[digits + 1] == '\0')
    return false;
  memcpy (zone, key, zone_size);
  zone[zone_size] = '\0';
  *issued_ms = (int64_t)strtoull (time, NULL, 16);
  return true;
}

void
marjoram_key_format_prefix (char *prefix, size_t size, const char *zone,
                            int64_t wall)
{
  snprintf (prefix, size, "%s.%" PRIx64 ".", zone, (uint64_t)wall);
}
