#include "customer_index.h"

#include "cleanup.h"

#include <pthread.h>
#include <sodium.h>
#include <string.h>

struct entry
{
  struct marjoram_key_digest digest;
  const struct marjoram_customer_rule *customer;
};

struct marjoram_customer_index
{
  struct entry *entries; /* sorted by digest */
  size_t count;
};

static uint8_t hash_key[crypto_generichash_KEYBYTES];
static pthread_once_t hash_key_once = PTHREAD_ONCE_INIT;

static void
create_hash_key (void)
{
  crypto_generichash_keygen (hash_key);
}

void
marjoram_key_digest (const char *key, struct marjoram_key_digest *digest)
{
  pthread_once (&hash_key_once, create_hash_key);
  crypto_generichash (digest->bytes, sizeof digest->bytes,
                      (const uint8_t *)key, strlen (key), hash_key,
                      sizeof hash_key);
}

static int
compare_entries (const void *a, const void *b)
{
  return memcmp (&((const struct entry *)a)->digest,
                 &((const struct entry *)b)->digest,
                 sizeof (struct marjoram_key_digest));
}

marjoram_customer_index *
marjoram_customer_index_create (const struct marjoram_route_table *table)
{
  const struct marjoram_customer_rule *customers = table->customers.items;
  marjoram_customer_index *index = marjoram_alloc (sizeof *index);
  size_t count = 0;

  for (size_t i = 0; i < table->customers.count; i++)
    count += customers[i].keys.count;
  index->entries = marjoram_alloc ((count + 1) * sizeof *index->entries);
  for (size_t i = 0; i < table->customers.count; i++)
    for (size_t j = 0; j < customers[i].keys.count; j++)
      {
        struct entry *entry = &index->entries[index->count++];

        marjoram_key_digest (customers[i].keys.items[j], &entry->digest);
        entry->customer = &customers[i];
      }
  qsort (index->entries, index->count, sizeof *index->entries,
         compare_entries);
  return index;
}

void
marjoram_customer_index_destroy (marjoram_customer_index *index)
{
  if (!index)
    return;
  free (index->entries);
  free (index);
}

const struct marjoram_customer_rule *
marjoram_customer_index_find (const marjoram_customer_index *index,
                              const struct marjoram_key_digest *digest)
{
  struct entry wanted = { .digest = *digest };
  const struct entry *found = bsearch (&wanted, index->entries, index->count,
                                       sizeof wanted, compare_entries);

  return found ? found->customer : NULL;
}
