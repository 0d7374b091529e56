/* Claim records of one host, one for each attempt, indexed by key hash and
   expired by age.  A key normally has one record; recovery may merge several
   conflicting ones.  */
#ifndef MARJORAM_CLAIM_RECORD_H
#define MARJORAM_CLAIM_RECORD_H

#include "claim_message.h"

#include <sys/queue.h>
#include <uthash.h>

struct marjoram_stored_record;

struct marjoram_claim_record
{
  struct marjoram_hash128 key;
  struct marjoram_hash128 digest;
  uint64_t incarnation;
  uint64_t number;
  uint64_t serial;     /* insertion order, for state transfer */
  uint64_t issued;     /* ms since the epoch */
  uint32_t created_at; /* seconds since the epoch */
  uint8_t owner;
  uint8_t state;
  struct marjoram_stored_record *kept; /* null if none, or evicted */
  struct marjoram_claim_record *next;  /* next record of the same key */
  TAILQ_ENTRY (marjoram_claim_record) link;
  UT_hash_handle hh; /* used by the first record of each key */
};

typedef struct marjoram_claim_records marjoram_claim_records;

marjoram_claim_records *marjoram_claim_records_create (void);
void marjoram_claim_records_destroy (marjoram_claim_records *records);

/* Returns the first record of KEY, or null.  */
struct marjoram_claim_record *
marjoram_claim_records_find (const marjoram_claim_records *records,
                             struct marjoram_hash128 key);
/* Returns the record of the attempt ENTRY, or null.  */
struct marjoram_claim_record *
marjoram_claim_records_get (const marjoram_claim_records *records,
                            const struct marjoram_claim_entry *entry);
/* Adds a record for ENTRY, created at WALL (ms since the epoch), or updates
   the existing one.  The state never moves backwards.  A stored answer is
   replayable until REPLAY_END.  */
struct marjoram_claim_record *
marjoram_claim_records_put (marjoram_claim_records *records,
                            const struct marjoram_claim_entry *entry,
                            int64_t wall, int64_t replay_end);
void marjoram_claim_records_remove (marjoram_claim_records *records,
                                    struct marjoram_claim_record *record);
/* Copies RECORD to ENTRY.  The stored answer remains owned by RECORD.  */
void
marjoram_claim_record_to_entry (const struct marjoram_claim_record *record,
                                struct marjoram_claim_entry *entry);
/* Removes records created before BEFORE (wall clock), and stored answers whose
   replay time ended before NOW.  */
void marjoram_claim_records_expire (marjoram_claim_records *records,
                                    int64_t before, int64_t now);
/* Returns the first record, in insertion order, with a serial above SERIAL, or
   null.  The read position of each SLOT is cached, so that sequential reads do
   not scan the list.  */
struct marjoram_claim_record *
marjoram_claim_records_after (marjoram_claim_records *records, int slot,
                              uint64_t serial);
size_t marjoram_claim_records_count (const marjoram_claim_records *records);
size_t marjoram_claim_records_memory (const marjoram_claim_records *records);

#endif
