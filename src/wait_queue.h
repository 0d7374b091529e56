/* Queue of requests at one host that wait for a place at an upstream:
   determines their order and the estimated wait of a new request.  A pure data
   structure.

   Requests are ordered by the latest useful start time plus PRIORITY_STEP_MS
   for each priority level.  So more urgent requests go first, unless a less
   urgent one has PRIORITY_STEP_MS less time left, which prevents its
   starvation.  */
#ifndef MARJORAM_WAIT_QUEUE_H
#define MARJORAM_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

typedef struct marjoram_wait_queue marjoram_wait_queue;

/* Queue entry, embedded in the owner's record of the request.  */
struct marjoram_waiter
{
  TAILQ_ENTRY (marjoram_waiter) link;
  bool queued;
  const char *service; /* borrowed while queued */
  int64_t start_by;    /* ms; latest useful start */
  int64_t sort_key;    /* ms; lowest first */
  int64_t tokens;      /* prompt tokens to be processed */
  void *owner;
};

marjoram_wait_queue *marjoram_wait_queue_create (void);
void marjoram_wait_queue_destroy (marjoram_wait_queue *queue);
/* Sort key of a request of PRIORITY, 0 being the most urgent.  */
int64_t marjoram_wait_queue_sort_key (int priority, int64_t start_by);
/* All members of WAITER but LINK and QUEUED must be set.  */
void marjoram_wait_queue_add (marjoram_wait_queue *queue,
                              struct marjoram_waiter *waiter);
/* Does nothing if WAITER is not queued.  */
void marjoram_wait_queue_remove (marjoram_wait_queue *queue,
                                 struct marjoram_waiter *waiter);
/* Iterate in queue order; null after the last.  */
struct marjoram_waiter *
marjoram_wait_queue_first (const marjoram_wait_queue *queue);
struct marjoram_waiter *
marjoram_wait_queue_next (const struct marjoram_waiter *waiter);
/* Iterate from the end of the queue; null before the first.  */
struct marjoram_waiter *
marjoram_wait_queue_last (const marjoram_wait_queue *queue);
struct marjoram_waiter *
marjoram_wait_queue_previous (const struct marjoram_waiter *waiter);
int64_t marjoram_wait_queue_count (const marjoram_wait_queue *queue);
/* Sum of the tokens queued for SERVICE before SORT_KEY.  */
int64_t marjoram_wait_queue_tokens_before (const marjoram_wait_queue *queue,
                                           const char *service,
                                           int64_t sort_key);

#endif
