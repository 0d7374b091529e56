#include "store_progress.h"

#include "cleanup.h"

struct marjoram_store_progress
{
  enum marjoram_store_step step; /* the latest one taken */
  int64_t taken_at[MARJORAM_STORE_STEP_COUNT];
};

marjoram_store_progress *
marjoram_store_progress_create (int64_t now)
{
  marjoram_store_progress *progress = marjoram_alloc (sizeof *progress);

  progress->step = MARJORAM_STORE_STARTED;
  progress->taken_at[MARJORAM_STORE_STARTED] = now;
  return progress;
}

void
marjoram_store_progress_destroy (marjoram_store_progress *progress)
{
  free (progress);
}

bool
marjoram_store_progress_update (marjoram_store_progress *progress, int64_t now,
                                enum marjoram_store_step step)
{
  if (step <= progress->step)
    return false;
  for (int i = (int)progress->step + 1; i <= (int)step; i++)
    progress->taken_at[i] = now;
  progress->step = step;
  return true;
}

int64_t
marjoram_store_progress_ms (const marjoram_store_progress *progress,
                            enum marjoram_store_step step)
{
  if (step > progress->step)
    return -1;
  return progress->taken_at[step] - progress->taken_at[MARJORAM_STORE_STARTED];
}

const char *
marjoram_store_step_name (enum marjoram_store_step step)
{
  static const char *const names[MARJORAM_STORE_STEP_COUNT] = {
    [MARJORAM_STORE_STARTED] = "started", [MARJORAM_STORE_REACHED] = "reached",
    [MARJORAM_STORE_LEARNT] = "learnt",   [MARJORAM_STORE_ASKED] = "asked",
    [MARJORAM_STORE_MEMBER] = "member",
  };

  return names[step];
}
