/* The task that asks model engines which parts of prompts they keep, for a
   host that has just started and knows of none.  Without it, every shared part
   is read again at some other engine.  */
#ifndef MARJORAM_ENGINE_SURVEY_H
#define MARJORAM_ENGINE_SURVEY_H

#include "clock.h"
#include "dialect.h"

#include <event2/event.h>

typedef struct marjoram_engine_survey marjoram_engine_survey;

struct marjoram_engine_survey_ops
{
  /* ENGINE keeps PARTS, which are borrowed.  */
  void (*kept) (void *context, const char *engine,
                const struct marjoram_prompt_part *parts, size_t count);
};

marjoram_engine_survey *marjoram_engine_survey_create (
    struct event_base *base, struct marjoram_clock *clock,
    const struct marjoram_dialect *dialect,
    const struct marjoram_engine_survey_ops *ops, void *context);
void marjoram_engine_survey_destroy (marjoram_engine_survey *survey);
/* Asks the engine ENGINE at ADDRESS, IP:port, unless it was asked before.  An
   engine that does not answer is not asked again: all goes on as if it kept
   nothing.  */
void marjoram_engine_survey_ask (marjoram_engine_survey *survey,
                                 const char *engine, const char *address);
/* Questions that have no answer yet.  */
size_t marjoram_engine_survey_open (const marjoram_engine_survey *survey);
/* At least every 250 ms.  */
void marjoram_engine_survey_tick (marjoram_engine_survey *survey);

#endif
