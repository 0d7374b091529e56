/* Control interface of a daemon: HTTP on its control address, with every call
   signed with the owner's secret.  It owns its listener and accesses the host
   through the operations below.  */
#ifndef MARJORAM_CONTROL_H
#define MARJORAM_CONTROL_H

#include "clock.h"
#include "keeper.h"
#include "settings.h"

#include <event2/event.h>
#include <jansson.h>

typedef struct marjoram_control marjoram_control;

struct marjoram_explain_query
{
  const char *caller; /* name */
  const char *work;
  const char *class; /* "interactive" or "overnight" */
  int64_t deadline_ms;
  uint64_t prompt_tokens;
};

struct marjoram_control_ops
{
  /* Queries; each returns a new JSON object.  STATUS: slot, zone,
     incarnation, draining, config number and files in force of this host, and
     for every other host of the configuration its slot, zone, liveness and
     last reported config number.  */
  json_t *(*status) (void *context);
  json_t *(*upstreams) (void *context);
  json_t *(*explain) (void *context,
                      const struct marjoram_explain_query *query);
  /* Returns the state in force, for diff; null if none.  */
  const struct marjoram_state *(*state) (void *context);
  char *(*counters) (void *context); /* malloc'd metrics text */
  /* Commands.  Apply and replace each call marjoram_control_respond exactly
     once with the same REQUEST, possibly before they return.  */
  void (*apply) (void *context, uint64_t request, const char *change_id,
                 const struct marjoram_file *file);
  void (*replace) (void *context, uint64_t request, const char *change_id,
                   const char *old, const char *new);
  void (*drain) (void *context);
  /* Called when a call fails authentication; may be null.  */
  void (*authentication_failed) (void *context);
};

/* Listens on the control address of SETTINGS.  Returns null and sets ERR on
   failure.  */
marjoram_control *
marjoram_control_create (struct event_base *base, struct marjoram_clock *clock,
                         const struct marjoram_settings *settings,
                         const struct marjoram_control_ops *ops, void *context,
                         struct marjoram_error *err);
void marjoram_control_destroy (marjoram_control *control);
void marjoram_control_respond (marjoram_control *control, uint64_t request,
                               const struct marjoram_apply_answer *answer);

#endif
