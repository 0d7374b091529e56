/* Task that queries inference engines for their cached prompt parts, so that a
   newly started host routes requests to existing cache entries.  */
#ifndef MARJORAM_ENGINE_SURVEY_H
#define MARJORAM_ENGINE_SURVEY_H

#include "clock.h"
#include "dialect.h"

#include <event2/event.h>

typedef struct marjoram_engine_survey marjoram_engine_survey;

struct marjoram_engine_survey_ops
{
  /* ENGINE has PARTS cached.  PARTS are borrowed.  */
  void (*cached) (void *context, const char *engine,
                  const struct marjoram_prompt_part *parts, size_t count);
};

marjoram_engine_survey *marjoram_engine_survey_create (
    struct event_base *base, struct marjoram_clock *clock,
    const struct marjoram_dialect *dialect,
    const struct marjoram_engine_survey_ops *ops, void *context);
void marjoram_engine_survey_destroy (marjoram_engine_survey *survey);
/* Queries ENGINE at ADDRESS (IP:port) unless it was queried before, or too
   many queries were sent since the last tick.  A failed query is not repeated;
   the engine's cache is then taken to be empty.  */
void marjoram_engine_survey_query (marjoram_engine_survey *survey,
                                   const char *engine, const char *address);
size_t marjoram_engine_survey_pending (const marjoram_engine_survey *survey);
/* To be called at least every 250 ms.  */
void marjoram_engine_survey_tick (marjoram_engine_survey *survey);

#endif
