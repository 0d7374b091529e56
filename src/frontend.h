/* HTTP server for callers and upstreams, based on evhttp.  It validates
   requests, passes them to the host and writes the responses.  */
#ifndef MARJORAM_FRONTEND_H
#define MARJORAM_FRONTEND_H

#include "host.h"

#include <event2/event.h>
#include <jansson.h>

typedef struct marjoram_frontend marjoram_frontend;

struct marjoram_frontend_ops
{
  /* Takes ownership of CALL.  */
  void (*call) (void *context, struct marjoram_call *call);
  /* The caller disconnected.  */
  void (*gone) (void *context, uint64_t call);
  enum marjoram_announce_result (*announce) (
      void *context, const struct marjoram_announcement *announcement);
  json_t *(*entries) (void *context);
  bool (*ready) (void *context);
  /* Number of the active configuration; 0 if none.  */
  uint64_t (*config_number) (void *context);
};

marjoram_frontend *marjoram_frontend_create (
    struct event_base *base, const struct marjoram_settings *settings,
    marjoram_counters *counters, const struct marjoram_frontend_ops *ops,
    void *context, struct marjoram_error *err);
void marjoram_frontend_destroy (marjoram_frontend *frontend);

/* Responses, as in struct marjoram_host_ops.  */
void marjoram_frontend_head (marjoram_frontend *frontend, uint64_t call,
                             const struct marjoram_head *head,
                             const struct marjoram_answer_info *info,
                             int64_t length);
void marjoram_frontend_data (marjoram_frontend *frontend, uint64_t call,
                             marjoram_bytes *bytes);
void marjoram_frontend_end (marjoram_frontend *frontend, uint64_t call);
void marjoram_frontend_abort (marjoram_frontend *frontend, uint64_t call);
void marjoram_frontend_refuse (marjoram_frontend *frontend, uint64_t call,
                               const struct marjoram_refusal *refusal);
/* Closes each connection after its next response.  */
void marjoram_frontend_drain (marjoram_frontend *frontend);
/* Closes the listener once the pending connections have been accepted.  */
void marjoram_frontend_stop_listening (marjoram_frontend *frontend);
/* Number of requests whose response is incomplete.  */
size_t marjoram_frontend_pending (const marjoram_frontend *frontend);

#endif
