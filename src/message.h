/* Messages between tasks.  A task posts, the receiver's event loop delivers
   later, so that no task is entered while it is at work.  */
#ifndef MARJORAM_MESSAGE_H
#define MARJORAM_MESSAGE_H

#include <event2/event.h>
#include <sys/queue.h>

struct marjoram_message;

struct marjoram_message_ops
{
  void (*deliver) (struct marjoram_message *message, void *context);
  /* Frees MESSAGE, delivered or not.  */
  void (*destroy) (struct marjoram_message *message);
};

/* To be the first member of the messages of each kind.  */
struct marjoram_message
{
  const struct marjoram_message_ops *ops;
  STAILQ_ENTRY (marjoram_message) next;
};

typedef struct marjoram_mailbox marjoram_mailbox;

/* CONTEXT goes to each message's deliver.  */
marjoram_mailbox *marjoram_mailbox_create (struct event_base *base,
                                           void *context);
void marjoram_mailbox_destroy (marjoram_mailbox *mailbox);
/* Takes MESSAGE.  In the event loop's own thread only.  */
void marjoram_mailbox_post (marjoram_mailbox *mailbox,
                            struct marjoram_message *message);

#endif
