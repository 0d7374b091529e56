/* HTTP client for upstreams, built on evhttp.  Each attempt is one request on
   one connection; its response, or the kind of its failure, is reported to the
   host.  */
#ifndef MARJORAM_UPSTREAM_H
#define MARJORAM_UPSTREAM_H

#include "host.h"

#include <event2/event.h>

typedef struct marjoram_upstreams marjoram_upstreams;

struct marjoram_upstreams_ops
{
  void (*head) (void *context, uint64_t attempt,
                const struct marjoram_head *head);
  void (*data) (void *context, uint64_t attempt, marjoram_bytes *bytes);
  void (*end) (void *context, uint64_t attempt);
  void (*failed) (void *context, uint64_t attempt,
                  enum marjoram_run_failure failure);
  void (*probed) (void *context, const char *upstream, uint64_t incarnation,
                  bool alive);
  void (*ordered) (void *context, uint64_t number, int status,
                   int64_t retry_ms);
};

marjoram_upstreams *
marjoram_upstreams_create (struct event_base *base,
                           const struct marjoram_upstreams_ops *ops,
                           void *context);
void marjoram_upstreams_destroy (marjoram_upstreams *upstreams);
void marjoram_upstreams_run (marjoram_upstreams *upstreams, uint64_t attempt,
                             const struct marjoram_run *run);
void marjoram_upstreams_resume (marjoram_upstreams *upstreams,
                                uint64_t attempt, const char *address,
                                const char *id, uint64_t offset);
/* Cancels ATTEMPT: no further callback is made for it.  */
void marjoram_upstreams_cancel (marjoram_upstreams *upstreams,
                                uint64_t attempt);
void marjoram_upstreams_order (marjoram_upstreams *upstreams,
                               const struct marjoram_order *order);
void marjoram_upstreams_probe (marjoram_upstreams *upstreams,
                               const char *upstream, uint64_t incarnation,
                               const char *address);

#endif
