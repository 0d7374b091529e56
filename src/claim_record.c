#include "claim_record.h"

#include "cleanup.h"

#include <string.h>

enum
{
  /* Size limit of all stored answers; the oldest are evicted first.  */
  STORED_ANSWERS_SIZE_MAX = 64 * 1024 * 1024,
  ALLOCATION_OVERHEAD = 8
};

struct marjoram_stored_record
{
  struct marjoram_stored_answer answer;
  struct marjoram_claim_record *record;
  size_t size;
  int64_t replay_end;
  TAILQ_ENTRY (marjoram_stored_record) link;
};

struct marjoram_claim_records
{
  struct marjoram_claim_record *table;
  TAILQ_HEAD (marjoram_claim_record_list, marjoram_claim_record)
  list;                                       /* in insertion order */
  TAILQ_HEAD (, marjoram_stored_record) kept; /* likewise */
  /* Last record read by each peer, or null to start from the beginning.  */
  struct marjoram_claim_record *positions[MARJORAM_ZONE_SLOTS_MAX];
  size_t count;
  size_t kept_size;
  uint64_t last_serial;
};

marjoram_claim_records *
marjoram_claim_records_create (void)
{
  marjoram_claim_records *records = marjoram_alloc (sizeof *records);

  TAILQ_INIT (&records->list);
  TAILQ_INIT (&records->kept);
  return records;
}

void
marjoram_claim_records_destroy (marjoram_claim_records *records)
{
  struct marjoram_claim_record *record, *next;

  if (!records)
    return;
  for (record = TAILQ_FIRST (&records->list); record; record = next)
    {
      next = TAILQ_NEXT (record, link);
      marjoram_claim_records_remove (records, record);
    }
  free (records);
}

struct marjoram_claim_record *
marjoram_claim_records_find (const marjoram_claim_records *records,
                             struct marjoram_hash128 key)
{
  struct marjoram_claim_record *record;

  HASH_FIND (hh, records->table, &key, sizeof key, record);
  return record;
}

struct marjoram_claim_record *
marjoram_claim_records_get (const marjoram_claim_records *records,
                            const struct marjoram_claim_entry *entry)
{
  struct marjoram_claim_record *record
      = marjoram_claim_records_find (records, entry->key);

  while (record
         && (record->owner != entry->owner || record->number != entry->number
             || record->incarnation != entry->incarnation))
    record = record->next;
  return record;
}

static void
remove_answer (marjoram_claim_records *records,
               struct marjoram_stored_record *kept)
{
  TAILQ_REMOVE (&records->kept, kept, link);
  records->kept_size -= kept->size;
  kept->record->kept = NULL;
  free (kept->answer.content_type);
  marjoram_bytes_release (kept->answer.body);
  free (kept);
}

static void
store_answer (marjoram_claim_records *records,
              struct marjoram_claim_record *record,
              const struct marjoram_stored_answer *answer, int64_t replay_end)
{
  struct marjoram_stored_record *kept = marjoram_alloc (sizeof *kept);

  kept->answer.status = answer->status;
  if (answer->content_type)
    kept->answer.content_type = marjoram_strdup (answer->content_type);
  kept->answer.body = marjoram_bytes_retain (answer->body);
  kept->record = record;
  kept->size = sizeof *kept + marjoram_bytes_size (answer->body);
  kept->replay_end = replay_end;
  record->kept = kept;
  records->kept_size += kept->size;
  TAILQ_INSERT_TAIL (&records->kept, kept, link);
}

static void
evict_answers (marjoram_claim_records *records, int64_t now)
{
  struct marjoram_stored_record *kept, *next;

  for (kept = TAILQ_FIRST (&records->kept);
       kept
       && (kept->replay_end < now
           || records->kept_size > STORED_ANSWERS_SIZE_MAX);
       kept = next)
    {
      next = TAILQ_NEXT (kept, link);
      remove_answer (records, kept);
    }
}

static struct marjoram_claim_record *
add (marjoram_claim_records *records, const struct marjoram_claim_entry *entry,
     int64_t wall)
{
  struct marjoram_claim_record *first
      = marjoram_claim_records_find (records, entry->key);
  struct marjoram_claim_record *record = marjoram_alloc (sizeof *record);

  record->key = entry->key;
  record->digest = entry->digest;
  record->owner = entry->owner;
  record->incarnation = entry->incarnation;
  record->number = entry->number;
  record->issued = entry->issued;
  record->created_at = wall / 1000;
  record->state = MARJORAM_CLAIM_PENDING;
  record->serial = ++records->last_serial;
  TAILQ_INSERT_TAIL (&records->list, record, link);
  records->count++;
  if (first)
    {
      record->next = first->next;
      first->next = record;
    }
  else
    HASH_ADD (hh, records->table, key, sizeof record->key, record);
  return record;
}

struct marjoram_claim_record *
marjoram_claim_records_put (marjoram_claim_records *records,
                            const struct marjoram_claim_entry *entry,
                            int64_t wall, int64_t replay_end)
{
  struct marjoram_claim_record *record
      = marjoram_claim_records_get (records, entry);

  if (!record)
    record = add (records, entry, wall);
  if (entry->state > record->state)
    record->state = entry->state;
  if (entry->kept.status && !record->kept)
    {
      store_answer (records, record, &entry->kept, replay_end);
      evict_answers (records, INT64_MIN);
    }
  return record;
}

static void
unlink_key (marjoram_claim_records *records,
            struct marjoram_claim_record *record)
{
  struct marjoram_claim_record *first
      = marjoram_claim_records_find (records, record->key);

  if (first != record)
    {
      while (first->next != record)
        first = first->next;
      first->next = record->next;
      return;
    }
  HASH_DEL (records->table, record);
  if (record->next)
    HASH_ADD (hh, records->table, key, sizeof record->key, record->next);
}

void
marjoram_claim_records_remove (marjoram_claim_records *records,
                               struct marjoram_claim_record *record)
{
  unlink_key (records, record);
  for (int i = 0; i < MARJORAM_ZONE_SLOTS_MAX; i++)
    if (records->positions[i] == record)
      records->positions[i]
          = TAILQ_PREV (record, marjoram_claim_record_list, link);
  if (record->kept)
    remove_answer (records, record->kept);
  TAILQ_REMOVE (&records->list, record, link);
  records->count--;
  free (record);
}

void
marjoram_claim_record_to_entry (const struct marjoram_claim_record *record,
                                struct marjoram_claim_entry *entry)
{
  *entry = (struct marjoram_claim_entry){ .key = record->key,
                                          .digest = record->digest,
                                          .owner = record->owner,
                                          .incarnation = record->incarnation,
                                          .number = record->number,
                                          .issued = record->issued,
                                          .state = record->state };
  if (record->kept)
    entry->kept = record->kept->answer;
}

void
marjoram_claim_records_expire (marjoram_claim_records *records, int64_t before,
                               int64_t now)
{
  struct marjoram_claim_record *record, *next;

  for (record = TAILQ_FIRST (&records->list);
       record && record->created_at < before / 1000; record = next)
    {
      next = TAILQ_NEXT (record, link);
      marjoram_claim_records_remove (records, record);
    }
  evict_answers (records, now);
}

struct marjoram_claim_record *
marjoram_claim_records_after (marjoram_claim_records *records, int slot,
                              uint64_t serial)
{
  struct marjoram_claim_record *position = records->positions[slot];
  struct marjoram_claim_record *next;

  if (position && position->serial > serial)
    position = NULL;
  next = position ? TAILQ_NEXT (position, link) : TAILQ_FIRST (&records->list);
  while (next && next->serial <= serial)
    {
      position = next;
      next = TAILQ_NEXT (next, link);
    }
  records->positions[slot] = position;
  return next;
}

size_t
marjoram_claim_records_count (const marjoram_claim_records *records)
{
  return records->count;
}

size_t
marjoram_claim_records_memory (const marjoram_claim_records *records)
{
  size_t memory = sizeof *records + HASH_OVERHEAD (hh, records->table);

  /* HASH_OVERHEAD includes the handles, which are embedded in the records.  */
  memory -= HASH_COUNT (records->table) * sizeof (UT_hash_handle);
  memory += records->count
            * (sizeof (struct marjoram_claim_record) + ALLOCATION_OVERHEAD);
  return memory + records->kept_size;
}
