/* What one host remembers of claims: a compact record for each attempt, found
   by the key's hash and dropped by age.  Usually a key has one record; after a
   recovery that merged conflicting answers it may have several.  */
#ifndef MARJORAM_CLAIM_RECORD_H
#define MARJORAM_CLAIM_RECORD_H

#include "claim_message.h"

#include <sys/queue.h>
#include <uthash.h>

struct marjoram_kept_record;

struct marjoram_claim_record
{
  struct marjoram_hash128 key;
  struct marjoram_hash128 digest;
  uint64_t incarnation;
  uint64_t number;
  uint64_t serial;     /* grows with each record, for state transfers */
  uint64_t issued;     /* ms since the epoch */
  uint32_t remembered; /* seconds since the epoch: when it was made */
  uint8_t owner;
  uint8_t state;
  struct marjoram_kept_record *kept;  /* null after the replay time */
  struct marjoram_claim_record *next; /* of the same key */
  TAILQ_ENTRY (marjoram_claim_record) link;
  UT_hash_handle hh; /* of the first record of a key */
};

typedef struct marjoram_claim_records marjoram_claim_records;

marjoram_claim_records *marjoram_claim_records_create (void);
void marjoram_claim_records_destroy (marjoram_claim_records *records);

/* The key's first record, or null.  */
struct marjoram_claim_record *
marjoram_claim_records_find (const marjoram_claim_records *records,
                             struct marjoram_hash128 key);
/* The record of exactly this attempt, or null.  */
struct marjoram_claim_record *
marjoram_claim_records_get (const marjoram_claim_records *records,
                            const struct marjoram_claim_entry *entry);
/* Remembers ENTRY, or what it tells in addition: a record never goes back
   from done, and an answer is kept until REPLAY_END.  */
struct marjoram_claim_record *
marjoram_claim_records_put (marjoram_claim_records *records,
                            const struct marjoram_claim_entry *entry,
                            int64_t wall, int64_t replay_end);
void marjoram_claim_records_drop (marjoram_claim_records *records,
                                  struct marjoram_claim_record *record);
/* Fills ENTRY; its kept answer stays owned by RECORD.  */
void marjoram_claim_record_entry (const struct marjoram_claim_record *record,
                                  struct marjoram_claim_entry *entry);
/* Drops records remembered before BEFORE (wall clock) and kept answers whose
   replay time ended before NOW.  */
void marjoram_claim_records_expire (marjoram_claim_records *records,
                                    int64_t before, int64_t now);
/* For reading all records in the order in which they came: the first one with
   a serial above SERIAL.  READER (an ordinal) keeps its place between calls.
 */
struct marjoram_claim_record *
marjoram_claim_records_after (marjoram_claim_records *records, int reader,
                              uint64_t serial);
size_t marjoram_claim_records_count (const marjoram_claim_records *records);
size_t marjoram_claim_records_memory (const marjoram_claim_records *records);

#endif
