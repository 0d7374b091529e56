/* Requests of one host that wait for a place at an upstream: in which order
   they are tried, and how long a newcomer would wait.  Pure decisions.

   A request waits only while a place is still of use to its caller.  The more
   urgent goes first, and among equals the one with less time left; a request
   of a lower rank goes before a more urgent one once it has RANK_MS less time
   left, so that a stream of urgent requests does not starve it.  */
#ifndef MARJORAM_WAIT_QUEUE_H
#define MARJORAM_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

typedef struct marjoram_wait_queue marjoram_wait_queue;

/* A request that waits; part of the caller's own record of it.  */
struct marjoram_waiter
{
  TAILQ_ENTRY (marjoram_waiter) link;
  bool waits;
  const char *service; /* borrowed while it waits */
  int64_t start_by;    /* ms; a place after this is of no use */
  int64_t turn;        /* ms; the least goes first */
  int64_t tokens;      /* of its prompt that an upstream has to read */
  void *owner;
};

marjoram_wait_queue *marjoram_wait_queue_create (void);
void marjoram_wait_queue_destroy (marjoram_wait_queue *queue);
/* The turn of a request of PRIORITY, 0 the most urgent.  */
int64_t marjoram_wait_queue_turn (int priority, int64_t start_by);
/* OWNER, SERVICE, START_BY, TURN and TOKENS of WAITER are set.  */
void marjoram_wait_queue_add (marjoram_wait_queue *queue,
                              struct marjoram_waiter *waiter);
/* Does nothing if WAITER does not wait.  */
void marjoram_wait_queue_remove (marjoram_wait_queue *queue,
                                 struct marjoram_waiter *waiter);
/* In the order of their turns; null after the last.  */
struct marjoram_waiter *
marjoram_wait_queue_first (const marjoram_wait_queue *queue);
struct marjoram_waiter *
marjoram_wait_queue_next (const struct marjoram_waiter *waiter);
int64_t marjoram_wait_queue_count (const marjoram_wait_queue *queue);
/* Tokens of prompts for SERVICE that go before TURN.  */
int64_t marjoram_wait_queue_ahead (const marjoram_wait_queue *queue,
                                   const char *service, int64_t turn);

#endif
