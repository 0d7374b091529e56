/* Interface of a gateway daemon's roles, and the resources they share.  */
#ifndef MARJORAM_ROLE_H
#define MARJORAM_ROLE_H

#include "api_server.h"
#include "dialect.h"
#include "gateway_settings.h"
#include "host_links.h"
#include "metrics.h"

#include <jansson.h>

struct marjoram_role;

struct marjoram_role_ops
{
  void (*frame) (struct marjoram_role *role, const char *host,
                 uint64_t session, enum marjoram_frame_type type,
                 void *message);
  void (*heartbeat) (struct marjoram_role *role, const char *host,
                     uint64_t session, bool joins,
                     const struct marjoram_host_beat *heartbeat);
  void (*session_closed) (struct marjoram_role *role, const char *host,
                          uint64_t session);
  void (*link_up) (struct marjoram_role *role, const char *host);
  void (*link_lost) (struct marjoram_role *role, const char *host);
  /* Whether requests are in progress, so that ticks must not be rare; NULL for
     a role that is always busy.  */
  bool (*is_busy) (struct marjoram_role *role);
  /* Whether an entry host exchanges messages with HOST, of its region; NULL
     for a role that exchanges none.  */
  bool (*needs_link) (struct marjoram_role *role, const char *host);
  /* Whether requests that this host forwarded to HOST are in progress; NULL
     for a role that forwards none.  */
  bool (*uses_link) (struct marjoram_role *role, const char *host);
  void (*fill_heartbeat) (struct marjoram_role *role,
                          struct marjoram_host_beat *heartbeat);
  /* A request to the host's HTTP API, other than for metrics.  */
  void (*api_request) (struct marjoram_role *role, uint64_t request_id,
                       const char *method, const char *target,
                       const char *body, size_t size);
  /* Status report for operators; a new reference.  */
  json_t *(*report) (struct marjoram_role *role, int64_t now);
  void (*reload) (struct marjoram_role *role);
  void (*tick) (struct marjoram_role *role, int64_t now);
  /* On the first signal to stop: starts draining.  */
  void (*stop) (struct marjoram_role *role, int64_t now);
  bool (*finished) (struct marjoram_role *role, int64_t now);
  void (*destroy) (struct marjoram_role *role);
};

struct marjoram_role
{
  const struct marjoram_role_ops *ops;
};

/* Shared by the daemon and its role; all borrowed.  */
struct marjoram_role_context
{
  struct event_base *base;
  struct marjoram_clock *clock;
  const struct marjoram_dialect *dialect;
  const struct marjoram_gateway_settings *settings; /* changes on a reload */
  marjoram_metrics *metrics;
  marjoram_host_list *hosts;
  marjoram_host_links *links;
  marjoram_api_server *api_server;
  uint64_t incarnation;
};

/* Each returns null with ERR set on failure.  */
struct marjoram_role *
marjoram_entry_role_create (const struct marjoram_role_context *parts,
                            struct marjoram_error *err);
struct marjoram_role *
marjoram_keeper_role_create (const struct marjoram_role_context *parts,
                             struct marjoram_error *err);

#endif
