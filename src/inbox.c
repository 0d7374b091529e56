#include "inbox.h"

#include "cleanup.h"
#include "message.h"
#include "report.h"
#include "request.h"

#include <string.h>

struct marjoram_inbox
{
  marjoram_mailbox *mailbox;
  struct marjoram_clock *clock;
  marjoram_host *host;
};

/* Fields of all event types.  */
struct event_message
{
  struct marjoram_message base;
  char *name;      /* of a slot or an upstream */
  uint64_t number; /* of a call, attempt, order, session or disk ticket */
  uint64_t incarnation;
  int value; /* an HTTP status, an enum marjoram_run_failure or a bool */
  int64_t retry_ms;
  enum marjoram_frame_type type;
  void *frame;
  struct marjoram_call *call;
  marjoram_bytes *bytes;
  struct marjoram_head head;
};

marjoram_inbox *
marjoram_inbox_create (struct event_base *base, struct marjoram_clock *clock)
{
  marjoram_inbox *inbox = marjoram_alloc (sizeof *inbox);

  inbox->mailbox = marjoram_mailbox_create (base, inbox);
  inbox->clock = clock;
  return inbox;
}

void
marjoram_inbox_destroy (marjoram_inbox *inbox)
{
  if (!inbox)
    return;
  marjoram_mailbox_destroy (inbox->mailbox);
  free (inbox);
}

void
marjoram_inbox_set_host (marjoram_inbox *inbox, marjoram_host *host)
{
  inbox->host = host;
}

marjoram_host *
marjoram_inbox_host (const marjoram_inbox *inbox)
{
  return inbox->host;
}

int64_t
marjoram_inbox_now (const marjoram_inbox *inbox)
{
  return marjoram_clock_now (inbox->clock);
}

int64_t
marjoram_inbox_wall (const marjoram_inbox *inbox)
{
  return marjoram_clock_wall (inbox->clock);
}

static void
event_destroy (struct marjoram_message *message)
{
  struct event_message *event = (struct event_message *)message;

  if (event->frame)
    marjoram_wire_destroy (marjoram_frame_layout (event->type), event->frame);
  if (event->call)
    marjoram_call_destroy (event->call);
  marjoram_bytes_release (event->bytes);
  marjoram_wire_clear (marjoram_frame_layout (MARJORAM_FRAME_HEAD),
                       &event->head);
  free (event->name);
  free (event);
}

/* Posts a new event, which the caller fills in: it is delivered only after the
   caller returns to the event loop.  */
static struct event_message *
post (void *context, const struct marjoram_message_ops *ops)
{
  marjoram_inbox *inbox = context;
  struct event_message *event = marjoram_alloc (sizeof *event);

  event->base.ops = ops;
  marjoram_mailbox_post (inbox->mailbox, &event->base);
  return event;
}

/* The time of an event that the host is about to get.  */
static int64_t
event_time (const marjoram_inbox *inbox)
{
  int64_t now = marjoram_inbox_now (inbox);

  marjoram_host_note_time (inbox->host, now);
  return now;
}

/* Defines deliver_NAME, which runs BODY with HOST, NOW and EVENT, and the
   operations NAME_message.  */
#define DELIVER(name, body)                                                   \
  static void deliver_##name (struct marjoram_message *message,               \
                              void *context)                                  \
  {                                                                           \
    struct event_message *event = (struct event_message *)message;            \
    const marjoram_inbox *inbox = context;                                    \
    marjoram_host *host = inbox->host;                                        \
    int64_t now = event_time (inbox);                                         \
                                                                              \
    body;                                                                     \
  }                                                                           \
  static const struct marjoram_message_ops name##_message                     \
      = { deliver_##name, event_destroy }

/* ---- Callers.  ---- */

DELIVER (call, {
  struct marjoram_call *call = event->call;

  event->call = NULL;
  marjoram_host_call (host, now, call);
});

static void
post_call (void *context, struct marjoram_call *call)
{
  post (context, &call_message)->call = call;
}

DELIVER (gone, marjoram_host_caller_disconnected (host, now, event->number));

static void
post_gone (void *context, uint64_t call)
{
  post (context, &gone_message)->number = call;
}

static enum marjoram_announce_result
announce (void *context, const struct marjoram_announcement *announcement)
{
  const marjoram_inbox *inbox = context;

  return marjoram_host_announce (inbox->host, event_time (inbox),
                                 announcement);
}

static json_t *
entries (void *context)
{
  const marjoram_inbox *inbox = context;

  return marjoram_report_entries (inbox->host, marjoram_inbox_now (inbox),
                                  marjoram_inbox_wall (inbox));
}

static bool
ready (void *context)
{
  const marjoram_inbox *inbox = context;

  return marjoram_host_ready (inbox->host)
         && !marjoram_host_draining (inbox->host);
}

static uint64_t
config_number (void *context)
{
  const marjoram_inbox *inbox = context;
  const marjoram_config *config = marjoram_host_config (inbox->host);

  return config ? marjoram_config_number (config) : 0;
}

const struct marjoram_frontend_ops marjoram_inbox_frontend_ops
    = { post_call, post_gone, announce, entries, ready, config_number };

/* ---- Upstreams.  ---- */

DELIVER (head,
         marjoram_host_run_head (host, now, event->number, &event->head));

static void
post_head (void *context, uint64_t attempt, const struct marjoram_head *head)
{
  struct event_message *event = post (context, &head_message);

  event->number = attempt;
  marjoram_request_copy_head (&event->head, head);
}

DELIVER (data,
         marjoram_host_run_data (host, now, event->number, event->bytes));

static void
post_data (void *context, uint64_t attempt, marjoram_bytes *bytes)
{
  struct event_message *event = post (context, &data_message);

  event->number = attempt;
  event->bytes = marjoram_bytes_retain (bytes);
}

DELIVER (end, marjoram_host_run_end (host, now, event->number));

static void
post_end (void *context, uint64_t attempt)
{
  post (context, &end_message)->number = attempt;
}

DELIVER (failed,
         marjoram_host_run_failed (host, now, event->number,
                                   (enum marjoram_run_failure)event->value));

static void
post_failed (void *context, uint64_t attempt,
             enum marjoram_run_failure failure)
{
  struct event_message *event = post (context, &failed_message);

  event->number = attempt;
  event->value = failure;
}

DELIVER (probed, marjoram_host_probed (host, now, event->name,
                                       event->incarnation, event->value != 0));

static void
post_probed (void *context, const char *upstream, uint64_t incarnation,
             bool alive)
{
  struct event_message *event = post (context, &probed_message);

  event->name = marjoram_strdup (upstream);
  event->incarnation = incarnation;
  event->value = alive;
}

DELIVER (ordered, marjoram_host_ordered (host, now, event->number,
                                         event->value, event->retry_ms));

static void
post_ordered (void *context, uint64_t number, int status, int64_t retry_ms)
{
  struct event_message *event = post (context, &ordered_message);

  event->number = number;
  event->value = status;
  event->retry_ms = retry_ms;
}

const struct marjoram_upstreams_ops marjoram_inbox_upstreams_ops = {
  post_head, post_data, post_end, post_failed, post_probed, post_ordered
};

/* ---- Other hosts.  ---- */

DELIVER (link_up,
         marjoram_host_link_up (host, now, event->name, event->incarnation));

static void
post_link_up (void *context, const char *slot, uint64_t incarnation)
{
  struct event_message *event = post (context, &link_up_message);

  event->name = marjoram_strdup (slot);
  event->incarnation = incarnation;
}

DELIVER (link_down, marjoram_host_link_down (host, now, event->name));

static void
post_link_down (void *context, const char *slot)
{
  post (context, &link_down_message)->name = marjoram_strdup (slot);
}

DELIVER (heard, marjoram_host_link_heard (host, now, event->name));

static void
post_heard (void *context, const char *slot)
{
  post (context, &heard_message)->name = marjoram_strdup (slot);
}

DELIVER (closed,
         marjoram_host_session_closed (host, now, event->name, event->number));

static void
post_closed (void *context, const char *slot, uint64_t session)
{
  struct event_message *event = post (context, &closed_message);

  event->name = marjoram_strdup (slot);
  event->number = session;
}

DELIVER (frame,
         marjoram_host_frame (host, now, event->name, event->number,
                              event->incarnation, event->type, event->frame));

static void
post_frame (void *context, const char *slot, uint64_t session,
            uint64_t incarnation, enum marjoram_frame_type type, void *message)
{
  struct event_message *event = post (context, &frame_message);

  event->name = marjoram_strdup (slot);
  event->number = session;
  event->incarnation = incarnation;
  event->type = type;
  event->frame = message;
}

const struct marjoram_peer_ops marjoram_inbox_peer_ops
    = { post_link_up, post_link_down, post_heard, post_closed, post_frame };

/* ---- The disk.  ---- */

DELIVER (persisted, marjoram_host_persisted (host, now, event->number,
                                             event->value != 0));

static void
post_persisted (void *context, uint64_t ticket, bool ok)
{
  struct event_message *event = post (context, &persisted_message);

  event->number = ticket;
  event->value = ok;
}

const struct marjoram_disk_ops marjoram_inbox_disk_ops = { post_persisted };
