/* When a keeper's store took each step from its start to its membership, for
   the log.  */
#ifndef MARJORAM_STORE_PROGRESS_H
#define MARJORAM_STORE_PROGRESS_H

#include <stdbool.h>
#include <stdint.h>

/* In this order; steps may be skipped.  */
enum marjoram_store_step
{
  MARJORAM_STORE_STARTED,
  MARJORAM_STORE_REACHED, /* another keeper was heard from */
  MARJORAM_STORE_LEARNT,  /* holds a state that is known to be chosen */
  MARJORAM_STORE_ASKED,   /* a value that makes it a member was proposed */
  MARJORAM_STORE_MEMBER,  /* a state that makes it a member was chosen */
  MARJORAM_STORE_STEP_COUNT
};

typedef struct marjoram_store_progress marjoram_store_progress;

/* NOW is the time of the start.  */
marjoram_store_progress *marjoram_store_progress_create (int64_t now);
void marjoram_store_progress_destroy (marjoram_store_progress *progress);
/* Returns whether STEP is later than the steps taken before.  A step that is
   not later changes nothing.  */
bool marjoram_store_progress_update (marjoram_store_progress *progress,
                                     int64_t now,
                                     enum marjoram_store_step step);
/* The time from the start to STEP, or to the first step after it if it was
   skipped, in ms; -1 if neither was taken.  */
int64_t marjoram_store_progress_ms (const marjoram_store_progress *progress,
                                    enum marjoram_store_step step);
const char *marjoram_store_step_name (enum marjoram_store_step step);

#endif
