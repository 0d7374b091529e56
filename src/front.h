/* HTTP server for callers and upstreams, based on evhttp.  It validates
   requests, passes them to the host and writes the responses.  */
#ifndef MARJORAM_FRONT_H
#define MARJORAM_FRONT_H

#include "host.h"

#include <event2/event.h>
#include <jansson.h>

typedef struct marjoram_front marjoram_front;

struct marjoram_front_ops
{
  /* Takes ownership of CALL.  */
  void (*call) (void *context, struct marjoram_call *call);
  /* The caller disconnected.  */
  void (*gone) (void *context, uint64_t call);
  enum marjoram_announce_result (*announce) (
      void *context, const struct marjoram_announcement *announcement);
  /* Queries.  */
  json_t *(*entries) (void *context);
  bool (*ready) (void *context);
  /* Number of the active configuration; 0 if none.  */
  uint64_t (*config_number) (void *context);
};

marjoram_front *marjoram_front_create (
    struct event_base *base, const struct marjoram_settings *settings,
    marjoram_counters *counters, const struct marjoram_front_ops *ops,
    void *context, struct marjoram_error *err);
void marjoram_front_destroy (marjoram_front *front);

/* Responses, as in struct marjoram_host_ops.  */
void marjoram_front_head (marjoram_front *front, uint64_t call,
                          const struct marjoram_head *head,
                          const struct marjoram_answer_info *info,
                          int64_t length);
void marjoram_front_data (marjoram_front *front, uint64_t call,
                          marjoram_bytes *bytes);
void marjoram_front_end (marjoram_front *front, uint64_t call);
void marjoram_front_cut (marjoram_front *front, uint64_t call);
void marjoram_front_refuse (marjoram_front *front, uint64_t call,
                            const struct marjoram_refusal *refusal);
/* Closes each connection after its next response.  */
void marjoram_front_drain (marjoram_front *front);
/* Closes the listener once the pending connections have been accepted.  */
void marjoram_front_stop_listening (marjoram_front *front);
/* Number of requests whose response is incomplete.  */
size_t marjoram_front_pending (const marjoram_front *front);

#endif
