#include "cleanup.h"

#include <string.h>

void *
marjoram_alloc (size_t size)
{
  void *memory = calloc (1, size ? size : 1);

  if (!memory)
    abort ();
  return memory;
}

char *
marjoram_strdup (const char *text)
{
  char *copy = strdup (text);

  if (!copy)
    abort ();
  return copy;
}
