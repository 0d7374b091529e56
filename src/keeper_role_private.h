/* Internals of the keeper role: keeper_role.c (event handling, repair,
   lifecycle), keeper_publish.c (messages to other hosts) and
   keeper_admission.c (leases and quotas of entry hosts).  */
#ifndef MARJORAM_KEEPER_ROLE_PRIVATE_H
#define MARJORAM_KEEPER_ROLE_PRIVATE_H

#include "crash_list.h"
#include "disk.h"
#include "keeper_repair.h"
#include "quota_share.h"
#include "registrar.h"
#include "role.h"
#include "state_sender.h"
#include "stream_origin.h"

typedef struct marjoram_keeper_admission marjoram_keeper_admission;

struct marjoram_keeper_role
{
  struct marjoram_role role;
  const struct marjoram_role_context *parts;
  marjoram_registry *registry;
  marjoram_registrar *registrar;
  marjoram_random *random;
  marjoram_disk *disk;
  marjoram_keeper *keeper;
  marjoram_keeper_repair *repair;
  marjoram_store_progress *progress;
  marjoram_crash_list *crashes; /* sent to hosts that have just started */
  marjoram_stream_origins *origins;
  int64_t origins_full_at; /* last log line */
  int64_t repair_ticked_at;
  int64_t created_at;
  int64_t liveness_sent_at;
  int64_t ticked_at;
  int64_t write_started_at;
  bool write_reported;  /* as pending */
  bool majority_missed; /* as reported */
  marjoram_state_sender *state_sender;
  marjoram_keeper_admission *admission;
  int64_t stopped_at;
};

int64_t marjoram_keeper_role_now (const struct marjoram_keeper_role *self);

/* keeper_publish.c */
/* Announces a new state to the hosts of this region.  */
void marjoram_keeper_announce_state (struct marjoram_keeper_role *self);
/* Sends changes of upstreams to all keepers, and to the hosts in the
   upstreams' regions.  Returns the number of recipients.  */
size_t
marjoram_keeper_publish_changes (struct marjoram_keeper_role *self,
                                 const struct marjoram_news_batch *batch);
/* Passes changes that another keeper sent on to the hosts of the upstreams'
   regions that hear of them from this keeper alone.  */
void marjoram_keeper_relay_changes (struct marjoram_keeper_role *self,
                                    const struct marjoram_news_batch *batch);
/* Sends registration renewals to the keepers and hosts in the upstreams'
   regions.  */
void
marjoram_keeper_publish_renewals (struct marjoram_keeper_role *self,
                                  const struct marjoram_news_batch *batch);
/* Sends a summary of the upstreams of this region to the hosts that follow
   this keeper alone, if it is due.  */
void marjoram_keeper_publish_liveness (struct marjoram_keeper_role *self,
                                       int64_t now);
void marjoram_keeper_answer_news_ask (struct marjoram_keeper_role *self,
                                      const char *host, uint64_t session,
                                      const struct marjoram_news_ask *ask);
/* Sends the known upstreams and crash reports to a host with a new session. */
void
marjoram_keeper_send_snapshot (struct marjoram_keeper_role *self,
                               const char *host, uint64_t session,
                               const struct marjoram_host_beat *heartbeat);
/* Announces the latest state to HOST if HEARTBEAT shows that it lacks it.  */
void
marjoram_keeper_announce_state_to (struct marjoram_keeper_role *self,
                                   const char *host, uint64_t session,
                                   const struct marjoram_host_beat *heartbeat);
void marjoram_keeper_send_state_piece (struct marjoram_keeper_role *self,
                                       const char *host, uint64_t session,
                                       const struct marjoram_state_ask *ask);
/* Stores a host's crash report and forwards it to the hosts of this region. */
void
marjoram_keeper_forward_crashes (struct marjoram_keeper_role *self,
                                 const char *host,
                                 const struct marjoram_crash_report *report);

/* keeper_admission.c */
/* ROLE's keeper must exist.  */
marjoram_keeper_admission *
marjoram_keeper_admission_create (struct marjoram_keeper_role *role);
void marjoram_keeper_admission_destroy (marjoram_keeper_admission *admission);
void
marjoram_keeper_admission_ask_lease (marjoram_keeper_admission *admission,
                                     const char *host, uint64_t session,
                                     const struct marjoram_lease_ask *ask);
void marjoram_keeper_admission_confirmed (marjoram_keeper_admission *admission,
                                          int64_t started_at, uint64_t number);
void
marjoram_keeper_admission_ask_quota (marjoram_keeper_admission *admission,
                                     const char *host, uint64_t session,
                                     const struct marjoram_quota_ask *ask);
void
marjoram_keeper_admission_granted (marjoram_keeper_admission *admission,
                                   const struct marjoram_quota_grant *grant);
void marjoram_keeper_admission_tick (marjoram_keeper_admission *admission,
                                     int64_t now);
/* This keeper's shares of the quotas, for status output; a new reference.  */
json_t *
marjoram_keeper_admission_report (const marjoram_keeper_admission *admission);
/* The settings have changed.  */
void marjoram_keeper_admission_reload (marjoram_keeper_admission *admission);

#endif
