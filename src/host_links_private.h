/* The parts of the links between hosts: host_links.c (which links, sending,
   the task) and host_beats.c (beats and lists of hosts).  */
#ifndef MARJORAM_HOST_LINKS_PRIVATE_H
#define MARJORAM_HOST_LINKS_PRIVATE_H

#include "host_links.h"
#include "own_lag.h"

#include <sys/queue.h>
#include <uthash.h>

/* A host that this one dials.  */
struct marjoram_host_link
{
  TAILQ_ENTRY (marjoram_host_link) next;
  char *host;
  bool up;
  bool seed;
  bool wanted;
  int64_t heard_at;
  int64_t sent_at;
  struct marjoram_link_lag lag;
  UT_hash_handle hh;
};

/* A host that dialled this one.  */
struct marjoram_host_session
{
  TAILQ_ENTRY (marjoram_host_session) next;
  char *host;
  uint64_t number;
  UT_hash_handle hh;
};

struct marjoram_host_links
{
  const struct marjoram_gateway_settings *settings;
  struct marjoram_settings peer_settings;
  struct marjoram_clock *clock;
  marjoram_counters *counters;
  marjoram_peer *peer;
  marjoram_host_list *hosts;
  const struct marjoram_host_links_ops *ops;
  void *context;
  uint64_t incarnation;
  uint64_t sequence;
  uint16_t port;
  TAILQ_HEAD (, marjoram_host_link) links;
  struct marjoram_host_link *by_host;
  TAILQ_HEAD (, marjoram_host_session) sessions;
  struct marjoram_host_session *sessions_by_host;
  struct marjoram_own_lag own_lag;
  int64_t near_ms; /* between beats to entry hosts of the own region */
  int64_t planned_at;
  int64_t listed_at;
  int64_t listed_hosts_at;
};

/* Null if HOST is not dialled, or has not dialled.  */
struct marjoram_host_link *
marjoram_host_links_find (marjoram_host_links *links, const char *host);
struct marjoram_host_session *
marjoram_host_links_session (marjoram_host_links *links, const char *host);
struct marjoram_host_session *
marjoram_host_links_add_session (marjoram_host_links *links, const char *host);
int64_t marjoram_host_links_now (const marjoram_host_links *links);

/* host_beats.c */
/* Sets how often near hosts hear this one, by how many they are.  */
void marjoram_host_links_pace (marjoram_host_links *links, int64_t now);
/* How often HOST hears this one.  */
int64_t marjoram_host_links_beat_ms (const marjoram_host_links *links,
                                     const char *host);
/* This host's own beat, where it is due, or on ALL links.  */
void marjoram_host_links_send_beats (marjoram_host_links *links, int64_t now,
                                     bool all);
/* HOST's own, on its session NUMBER, or as the answer on our link.  */
void marjoram_host_links_hear_beat (marjoram_host_links *links,
                                    const char *host, uint64_t number,
                                    struct marjoram_host_beat *beat);
void marjoram_host_links_hear_answer (marjoram_host_links *links,
                                      const char *host,
                                      struct marjoram_host_beat *beat);
/* Others' word of hosts.  */
void marjoram_host_links_hear_list (marjoram_host_links *links,
                                    const struct marjoram_host_beats *list);
/* A keeper's word of all hosts, to whom it is due.  */
void marjoram_host_links_tell_list (marjoram_host_links *links, int64_t now);

#endif
