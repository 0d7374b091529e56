/* Index from keys to customers of one configuration.  Holds keyed hashes, with
   a hash key that is random for each process, instead of the keys.  */
#ifndef MARJORAM_CUSTOMER_INDEX_H
#define MARJORAM_CUSTOMER_INDEX_H

#include "route_table.h"

typedef struct marjoram_customer_index marjoram_customer_index;

struct marjoram_key_digest
{
  uint8_t bytes[16];
};

/* Computes the digest of KEY, valid within this process.  */
void marjoram_key_digest (const char *key, struct marjoram_key_digest *digest);

/* TABLE is borrowed and must outlive the index.  */
marjoram_customer_index *
marjoram_customer_index_create (const struct marjoram_route_table *table);
void marjoram_customer_index_destroy (marjoram_customer_index *index);
/* Returns null if no customer has the key.  */
const struct marjoram_customer_rule *
marjoram_customer_index_find (const marjoram_customer_index *index,
                              const struct marjoram_key_digest *digest);

#endif
