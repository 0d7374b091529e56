#include "wait_queue.h"

#include "cleanup.h"

#include <string.h>

enum
{
  /* Time by which the latest useful start of a request of the next lower
     priority must be earlier for it to go first.  Longer than a burst, so that
     the urgent requests of a burst go first; not above the latency targets of
     the requests that wait.  */
  PRIORITY_STEP_MS = 1000
};

TAILQ_HEAD (waiter_list, marjoram_waiter);

struct marjoram_wait_queue
{
  struct waiter_list waiters; /* sorted by sort_key */
  int64_t count;
};

marjoram_wait_queue *
marjoram_wait_queue_create (void)
{
  marjoram_wait_queue *queue = marjoram_alloc (sizeof *queue);

  TAILQ_INIT (&queue->waiters);
  return queue;
}

void
marjoram_wait_queue_destroy (marjoram_wait_queue *queue)
{
  free (queue);
}

int64_t
marjoram_wait_queue_sort_key (int priority, int64_t start_by)
{
  return start_by + (int64_t)priority * PRIORITY_STEP_MS;
}

void
marjoram_wait_queue_add (marjoram_wait_queue *queue,
                         struct marjoram_waiter *waiter)
{
  struct marjoram_waiter *after;

  waiter->queued = true;
  queue->count++;
  TAILQ_FOREACH_REVERSE (after, &queue->waiters, waiter_list, link)
  if (after->sort_key <= waiter->sort_key)
    {
      TAILQ_INSERT_AFTER (&queue->waiters, after, waiter, link);
      return;
    }
  TAILQ_INSERT_HEAD (&queue->waiters, waiter, link);
}

void
marjoram_wait_queue_remove (marjoram_wait_queue *queue,
                            struct marjoram_waiter *waiter)
{
  if (!waiter->queued)
    return;
  waiter->queued = false;
  queue->count--;
  TAILQ_REMOVE (&queue->waiters, waiter, link);
}

struct marjoram_waiter *
marjoram_wait_queue_first (const marjoram_wait_queue *queue)
{
  return TAILQ_FIRST (&queue->waiters);
}

struct marjoram_waiter *
marjoram_wait_queue_next (const struct marjoram_waiter *waiter)
{
  return TAILQ_NEXT (waiter, link);
}

struct marjoram_waiter *
marjoram_wait_queue_last (const marjoram_wait_queue *queue)
{
  return TAILQ_LAST (&queue->waiters, waiter_list);
}

struct marjoram_waiter *
marjoram_wait_queue_previous (const struct marjoram_waiter *waiter)
{
  return TAILQ_PREV (waiter, waiter_list, link);
}

int64_t
marjoram_wait_queue_count (const marjoram_wait_queue *queue)
{
  return queue->count;
}

int64_t
marjoram_wait_queue_tokens_before (const marjoram_wait_queue *queue,
                                   const char *service, int64_t sort_key)
{
  const struct marjoram_waiter *waiter;
  int64_t tokens = 0;

  TAILQ_FOREACH (waiter, &queue->waiters, link)
  {
    if (waiter->sort_key >= sort_key)
      break;
    if (strcmp (waiter->service, service) == 0)
      tokens += waiter->tokens;
  }
  return tokens;
}
