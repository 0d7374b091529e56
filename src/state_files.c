#include "state_files.h"

#include <string.h>

struct marjoram_route_table *
marjoram_state_files_routes (const struct marjoram_state *state,
                             const struct marjoram_dialect *dialect,
                             struct marjoram_error *err)
{
  const struct marjoram_file *file
      = state ? marjoram_state_file (state, MARJORAM_FILE_ROUTES) : NULL;

  if (!file || !file->text)
    return NULL;
  return dialect->ops->read_config (file->text, strlen (file->text), err);
}
