#include "bytes.h"

#include "cleanup.h"

#include <stdatomic.h>
#include <string.h>

struct marjoram_bytes
{
  atomic_int references;
  size_t size;
  uint8_t data[];
};

marjoram_bytes *
marjoram_bytes_create (const void *data, size_t size)
{
  marjoram_bytes *bytes = marjoram_alloc (sizeof *bytes + size);

  atomic_init (&bytes->references, 1);
  bytes->size = size;
  if (size)
    memcpy (bytes->data, data, size);
  return bytes;
}

marjoram_bytes *
marjoram_bytes_retain (marjoram_bytes *bytes)
{
  if (bytes)
    atomic_fetch_add (&bytes->references, 1);
  return bytes;
}

void
marjoram_bytes_release (marjoram_bytes *bytes)
{
  if (bytes && atomic_fetch_sub (&bytes->references, 1) == 1)
    free (bytes);
}

const uint8_t *
marjoram_bytes_data (const marjoram_bytes *bytes)
{
  static const uint8_t empty[1];

  return bytes ? bytes->data : empty;
}

size_t
marjoram_bytes_size (const marjoram_bytes *bytes)
{
  return bytes ? bytes->size : 0;
}

void
marjoram_bytes_cleanup (marjoram_bytes **bytes)
{
  marjoram_bytes_release (*bytes);
}
