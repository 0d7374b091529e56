#include "message.h"

#include "cleanup.h"

STAILQ_HEAD (message_queue, marjoram_message);

struct marjoram_mailbox
{
  struct event *delivery_event;
  struct message_queue queue;
  void *context;
};

static void
deliver_all (evutil_socket_t fd, short what, void *context)
{
  marjoram_mailbox *mailbox = context;
  struct message_queue batch = STAILQ_HEAD_INITIALIZER (batch);
  struct marjoram_message *message;

  (void)fd;
  (void)what;
  /* Messages posted during delivery wait for the next iteration of the event
     loop, so that socket events are not starved.  */
  STAILQ_CONCAT (&batch, &mailbox->queue);
  while ((message = STAILQ_FIRST (&batch)))
    {
      STAILQ_REMOVE_HEAD (&batch, next);
      message->ops->deliver (message, mailbox->context);
      message->ops->destroy (message);
    }
}

marjoram_mailbox *
marjoram_mailbox_create (struct event_base *base, void *context)
{
  marjoram_mailbox *mailbox = marjoram_alloc (sizeof *mailbox);

  mailbox->context = context;
  STAILQ_INIT (&mailbox->queue);
  mailbox->delivery_event = event_new (base, -1, 0, deliver_all, mailbox);
  return mailbox;
}

void
marjoram_mailbox_destroy (marjoram_mailbox *mailbox)
{
  struct marjoram_message *message;

  if (!mailbox)
    return;
  while ((message = STAILQ_FIRST (&mailbox->queue)))
    {
      STAILQ_REMOVE_HEAD (&mailbox->queue, next);
      message->ops->destroy (message);
    }
  event_free (mailbox->delivery_event);
  free (mailbox);
}

void
marjoram_mailbox_post (marjoram_mailbox *mailbox,
                       struct marjoram_message *message)
{
  STAILQ_INSERT_TAIL (&mailbox->queue, message, next);
  event_active (mailbox->delivery_event, 0, 0);
}
