#include "host.h"

#include <stdlib.h>

void
marjoram_call_destroy (struct marjoram_call *call)
{
  struct marjoram_header *header = call->headers.items;

  for (size_t i = 0; i < call->headers.count; i++)
    {
      free (header[i].name);
      free (header[i].value);
    }
  free (call->headers.items);
  free (call->token);
  free (call->work);
  free (call->method);
  free (call->path);
  free (call->key);
  marjoram_bytes_release (call->body);
  free (call);
}
