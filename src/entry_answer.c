#include "entry_private.h"

#include "cleanup.h"

#include <stdio.h>
#include <string.h>

enum
{
  MSEC_PER_SEC = 1000,
  NUMBER_TEXT_MAX = 32,
  PIECE_MAX = 64 * 1024 /* bytes of a body in one frame */
};

/* ---- Responses to callers and to other hosts.  ---- */

static struct marjoram_inbound *
find_inbound (struct marjoram_entry *self, uint64_t call)
{
  struct marjoram_inbound *inbound;

  HASH_FIND (hh, self->inbound, &call, sizeof call, inbound);
  return inbound;
}

void
marjoram_entry_remove_inbound (struct marjoram_entry *self,
                               struct marjoram_inbound *inbound)
{
  /* False positive in uthash macros.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, self->inbound, inbound);
  self->inbound_bytes -= inbound->size;
  free (inbound->host);
  free (inbound);
}

static void
reply (struct marjoram_entry *self, const struct marjoram_inbound *inbound,
       enum marjoram_frame_type type, const void *message)
{
  marjoram_host_links_reply (self->parts->links, inbound->host,
                             inbound->session, type, message);
}

static void
op_reply_head (void *context, uint64_t call, int status,
               const struct marjoram_header_list *headers, int64_t length)
{
  struct marjoram_entry *self = context;
  struct marjoram_inbound *inbound = find_inbound (self, call);

  if (!(call & MARJORAM_FORWARDED_CALL))
    marjoram_http_server_head (self->server, call, status, headers, length);
  else if (inbound)
    {
      const struct marjoram_head head
          = { .request = inbound->request,
              .status = (uint64_t)status,
              .headers = { headers->items, headers->count },
              .build
              = (char *)marjoram_gateway_build_of (self->gateway, call) };

      reply (self, inbound, MARJORAM_FRAME_HEAD, &head);
    }
}

/* Whether other hosts read the frames of this one too slowly.  A message alone
   may always be sent.  */
static bool
links_are_full (struct marjoram_entry *self)
{
  return marjoram_host_links_unsent_bytes (self->parts->links)
         > self->frame_bytes_max;
}

/* Sends BYTES in frames of limited size, between which others can be sent.  */
static void
reply_pieces (struct marjoram_entry *self, struct marjoram_inbound *inbound,
              const char *bytes, size_t size)
{
  while (size > 0)
    {
      const size_t piece = size < PIECE_MAX ? size : PIECE_MAX;
      struct marjoram_data data = { inbound->request, inbound->offset,
                                    marjoram_bytes_create (bytes, piece) };

      reply (self, inbound, MARJORAM_FRAME_DATA, &data);
      marjoram_bytes_release (data.bytes);
      inbound->offset += piece;
      bytes += piece;
      size -= piece;
    }
}

static void
op_reply_data (void *context, uint64_t call, const void *bytes, size_t size)
{
  struct marjoram_entry *self = context;
  struct marjoram_inbound *inbound = find_inbound (self, call);

  if (!(call & MARJORAM_FORWARDED_CALL))
    marjoram_http_server_data (self->server, call, bytes, size);
  else if (inbound && !inbound->overflowed)
    {
      inbound->overflowed = links_are_full (self);
      if (!inbound->overflowed)
        reply_pieces (self, inbound, bytes, size);
    }
}

static const struct marjoram_request_failure overflow
    = { .outcome = MARJORAM_OUTCOME_UNKNOWN,
        .reason = MARJORAM_REASON_ANSWER_TOO_LARGE };

void
marjoram_entry_finish_inbound (struct marjoram_entry *self,
                               struct marjoram_inbound *inbound,
                               const struct marjoram_request_failure *how)
{
  struct marjoram_end end
      = { .request = inbound->request, .length = inbound->offset };

  if (inbound->overflowed)
    how = &overflow;
  end.outcome = how->outcome;
  end.reason = how->reason;
  end.retry_ms = how->retry_ms;
  end.unreached = how->unreached;
  reply (self, inbound, MARJORAM_FRAME_END, &end);
  marjoram_entry_remove_inbound (self, inbound);
}

static void
finish_inbound (struct marjoram_entry *self, uint64_t call,
                const struct marjoram_request_failure *how)
{
  struct marjoram_inbound *inbound = find_inbound (self, call);

  if (inbound)
    marjoram_entry_finish_inbound (self, inbound, how);
}

/* Not while the gateway is in a callback for them.  */
void
marjoram_entry_end_overflowed (struct marjoram_entry *self)
{
  struct marjoram_inbound *inbound;
  struct marjoram_inbound *next;

  HASH_ITER (hh, self->inbound, inbound, next)
  {
    const uint64_t call = inbound->call;

    if (!inbound->overflowed)
      continue;
    marjoram_entry_finish_inbound (self, inbound, &overflow);
    marjoram_gateway_caller_disconnected (self->gateway,
                                          marjoram_entry_now (self), call);
  }
}

static void
op_reply_end (void *context, uint64_t call)
{
  static const struct marjoram_request_failure done
      = { .outcome = MARJORAM_OUTCOME_DONE };
  struct marjoram_entry *self = context;

  if (call & MARJORAM_FORWARDED_CALL)
    finish_inbound (self, call, &done);
  else
    marjoram_http_server_end (self->server, call);
}

static void
op_reply_abort (void *context, uint64_t call)
{
  static const struct marjoram_request_failure cut
      = { .outcome = MARJORAM_OUTCOME_UNKNOWN,
          .reason = MARJORAM_REASON_UPSTREAM_FAILED };
  struct marjoram_entry *self = context;

  if (call & MARJORAM_FORWARDED_CALL)
    finish_inbound (self, call, &cut);
  else
    marjoram_http_server_abort (self->server, call);
}

void
marjoram_entry_reject_call (struct marjoram_entry *self, uint64_t call,
                            const struct marjoram_request_failure *why)
{
  const char *reason = marjoram_reason_name (why->reason);
  struct marjoram_header_list headers = { 0 };
  char retry[NUMBER_TEXT_MAX];

  marjoram_header_list_add (&headers, "Content-Type", "text/plain");
  if (why->retry_ms > 0 && why->outcome == MARJORAM_OUTCOME_NOT_RUN)
    {
      snprintf (retry, sizeof retry, "%.3f",
                (double)why->retry_ms / MSEC_PER_SEC);
      marjoram_header_list_add (&headers, "Retry-After", retry);
    }
  marjoram_http_server_head (self->server, call, why->status, &headers,
                             (int64_t)strlen (reason));
  marjoram_http_server_data (self->server, call, reason, strlen (reason));
  marjoram_http_server_end (self->server, call);
  marjoram_header_list_clear (&headers);
}

static void
op_reply_failure (void *context, uint64_t call,
                  const struct marjoram_request_failure *why)
{
  struct marjoram_entry *self = context;

  if (call & MARJORAM_FORWARDED_CALL)
    finish_inbound (self, call, why);
  else
    marjoram_entry_reject_call (self, call, why);
}

/* ---- Requests to upstreams and to other hosts.  ---- */

static void
op_send (void *context, const struct marjoram_http_send *send,
         struct marjoram_http_connection_info *info)
{
  struct marjoram_entry *self = context;

  marjoram_http_client_send (self->client, send, info);
}

static void
op_cancel (void *context, uint64_t attempt)
{
  struct marjoram_entry *self = context;

  marjoram_http_client_cancel (self->client, attempt);
}

static bool
op_reaches (void *context, const char *host)
{
  struct marjoram_entry *self = context;

  return marjoram_host_links_is_up (self->parts->links, host);
}

static bool
op_forward (void *context, const char *host,
            const struct marjoram_forward *forward)
{
  struct marjoram_entry *self = context;

  return !links_are_full (self)
         && marjoram_host_links_send (self->parts->links, host,
                                      MARJORAM_FRAME_FORWARD, forward);
}

static void
op_cancel_forward (void *context, const char *host, uint64_t attempt)
{
  struct marjoram_entry *self = context;
  const struct marjoram_cancel cancel = { attempt };

  marjoram_host_links_send (self->parts->links, host, MARJORAM_FRAME_CANCEL,
                            &cancel);
}

static int64_t
op_lag_ms (void *context)
{
  const struct marjoram_entry *self = context;

  return marjoram_host_links_lag (self->parts->links);
}

const struct marjoram_gateway_ops marjoram_entry_gateway_ops = {
  .reply_head = op_reply_head,
  .reply_data = op_reply_data,
  .reply_end = op_reply_end,
  .reply_abort = op_reply_abort,
  .reply_failure = op_reply_failure,
  .send = op_send,
  .cancel = op_cancel,
  .reaches = op_reaches,
  .forward = op_forward,
  .cancel_forward = op_cancel_forward,
  .lag_ms = op_lag_ms,
  .keepers = marjoram_entry_keepers,
  .ask_quota = marjoram_entry_ask_quota,
  .tell_origin = marjoram_entry_tell_origin,
  .ask_origin = marjoram_entry_ask_origin,
  .ask_only_build = marjoram_entry_ask_only_build,
  .open_probe = marjoram_entry_open_probe,
  .report_dark = marjoram_entry_report_dark,
};
