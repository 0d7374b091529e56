/* Internals shared by registrar.c (upstream heartbeats, lookups, request
   dispatch) and registrar_command.c (operator commands).  */
#ifndef MARJORAM_REGISTRAR_PRIVATE_H
#define MARJORAM_REGISTRAR_PRIVATE_H

#include "registrar.h"

#include <uthash.h>

enum
{
  MARJORAM_STATUS_OK = 200,
  MARJORAM_STATUS_BAD_REQUEST = 400,
  MARJORAM_STATUS_NOT_FOUND = 404,
  MARJORAM_STATUS_UNAVAILABLE = 503,
  /* Response deadline unless a decision is known to take longer; clients try
     another keeper after a second.  */
  MARJORAM_RESPONSE_TIMEOUT_MS = 900
};

enum marjoram_pending_kind
{
  MARJORAM_PENDING_LEAVE,
  MARJORAM_PENDING_CONFIG,
  MARJORAM_PENDING_READ,
  MARJORAM_PENDING_EVACUATION
};

/* A pending request that waits for other hosts.  Tickets and register requests
   share one sequence of numbers.  */
struct marjoram_pending_request
{
  uint64_t number;
  uint64_t request_id;
  enum marjoram_pending_kind kind;
  int64_t deadline;
  size_t pending_acks; /* LEAVE: hosts yet to acknowledge */
  char zone[MARJORAM_ID_MAX];
  /* EVACUATION: the order is to begin one; the number that it builds on; the
     path of its target, malloc'd.  */
  bool evacuated;
  uint64_t base;
  char *path;
  uint64_t version;
  UT_hash_handle hh;
};

/* What this keeper knows of the orders for a zone.  */
struct marjoram_zone_record
{
  char name[MARJORAM_ID_MAX];
  uint64_t number; /* of the order decided last */
  int64_t learnt_at;
  UT_hash_handle hh;
};

/* Upstreams whose changes have not been sent yet.  */
struct marjoram_changed_upstreams
{
  char (*ids)[MARJORAM_ID_MAX];
  size_t count;
  size_t allocated;
};

struct marjoram_registrar
{
  struct marjoram_registrar_options options;
  const struct marjoram_registrar_ops *ops;
  void *context;
  struct marjoram_pending_request *pending;
  uint64_t next_number;
  int64_t ticked_at;      /* last tick; 0 before any */
  int64_t renewals_since; /* first renewal in the pending batch; 0 if none */
  struct marjoram_changed_upstreams changed; /* heard by this keeper */
  struct marjoram_changed_upstreams relayed; /* by other keepers */
  int64_t changes_sent_at;
  struct marjoram_zone_record *zones; /* with orders in state ZONES_NUMBER */
  uint64_t zones_number;
  struct marjoram_route_table *table; /* parsed from state TABLE_NUMBER */
  uint64_t table_number;
};

void
marjoram_registrar_remove_pending (marjoram_registrar *registrar,
                                   struct marjoram_pending_request *pending);
/* BODY is a string or NULL.  */
void marjoram_registrar_respond (marjoram_registrar *registrar,
                                 uint64_t request_id, int status,
                                 const char *body);
struct marjoram_pending_request *marjoram_registrar_add_pending (
    marjoram_registrar *registrar, int64_t now, uint64_t request_id,
    enum marjoram_pending_kind kind, int64_t timeout_ms);
/* NULL if no request is pending under NUMBER.  */
struct marjoram_pending_request *
marjoram_registrar_find_pending (marjoram_registrar *registrar,
                                 uint64_t number);
/* Logs invalid input and responds with status 400.  */
void marjoram_registrar_reject (marjoram_registrar *registrar,
                                uint64_t request_id, const char *target,
                                const struct marjoram_error *err);

/* registrar_command.c */
void marjoram_registrar_set_config (marjoram_registrar *registrar, int64_t now,
                                    uint64_t request_id, const char *body,
                                    size_t size);
void marjoram_registrar_evacuate (marjoram_registrar *registrar, int64_t now,
                                  uint64_t request_id,
                                  const struct marjoram_api_request *request,
                                  const char *target);
void marjoram_registrar_forget_zones (marjoram_registrar *registrar);

#endif
