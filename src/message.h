/* Message queue between tasks of one event loop.  Messages are delivered
   asynchronously, so that no task is re-entered.  */
#ifndef MARJORAM_MESSAGE_H
#define MARJORAM_MESSAGE_H

#include <event2/event.h>
#include <sys/queue.h>

struct marjoram_message;

struct marjoram_message_ops
{
  void (*deliver) (struct marjoram_message *message, void *context);
  /* Frees MESSAGE; also called for undelivered messages.  */
  void (*destroy) (struct marjoram_message *message);
};

/* Must be the first member of each message type.  */
struct marjoram_message
{
  const struct marjoram_message_ops *ops;
  STAILQ_ENTRY (marjoram_message) next;
};

typedef struct marjoram_mailbox marjoram_mailbox;

/* CONTEXT is passed to the deliver callbacks.  */
marjoram_mailbox *marjoram_mailbox_create (struct event_base *base,
                                           void *context);
void marjoram_mailbox_destroy (marjoram_mailbox *mailbox);
/* Takes ownership of MESSAGE.  Not thread-safe: must be called from the event
   loop's thread.  */
void marjoram_mailbox_post (marjoram_mailbox *mailbox,
                            struct marjoram_message *message);

#endif
