/* Links between hosts over loopback: host discovery and link failure
   detection.  */
#include "suite.h"

#include "cleanup.h"
#include "host_links_private.h"
#include "lib_relay.h"

#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  LIMIT_MS = 10000,
  TICK_MS = 20,
  IP_MAX = 32,
  TEXT_MAX = 64,
  PORT = 7760,
  RELAY_INDEX_OFFSET = 11, /* of the listen address behind a relay */
  LARGE_BYTES = 300000,
  SETTLE_MS = 700
};

struct host
{
  struct marjoram_gateway_settings settings;
  char ip[IP_MAX];
  char link_address[TEXT_MAX];
  char entry_address[TEXT_MAX];
  marjoram_host_list *hosts;
  marjoram_host_links *links;
  int frames; /* received, without heartbeats and host lists */
  int lost;   /* links */
};

static struct event_base *base;
static struct marjoram_clock *test_clock;
static struct host keeper;
static struct host entry;
static struct host other;
static struct relay *relay;
static struct relay *other_relay;
static struct relay_link *slow_link;

static void
on_frame (void *context, const char *name, uint64_t session,
          enum marjoram_frame_type type, void *message)
{
  struct host *host = context;

  (void)name;
  (void)session;
  host->frames++;
  marjoram_wire_destroy (marjoram_frame_layout (type), message);
}

static void
on_heartbeat (void *context, const char *name, uint64_t session, bool joins,
              const struct marjoram_host_beat *heartbeat)
{
  (void)context;
  (void)name;
  (void)session;
  (void)joins;
  (void)heartbeat;
}

static void
on_session_closed (void *context, const char *name, uint64_t session)
{
  (void)context;
  (void)name;
  (void)session;
}

static void
on_link_up (void *context, const char *name)
{
  (void)context;
  (void)name;
}

static void
on_link_lost (void *context, const char *name)
{
  struct host *host = context;

  (void)name;
  host->lost++;
}

static void
fill_heartbeat (void *context, struct marjoram_host_beat *heartbeat)
{
  (void)context;
  heartbeat->ready = true;
}

static bool
no_link (void *context, const char *host)
{
  (void)context;
  (void)host;
  return false;
}

static const struct marjoram_host_links_ops ops
    = { .frame = on_frame,
        .heartbeat = on_heartbeat,
        .session_closed = on_session_closed,
        .link_up = on_link_up,
        .link_lost = on_link_lost,
        .needs_link = no_link,
        .uses_link = no_link,
        .fill_heartbeat = fill_heartbeat };

/* A loopback address that is unique to this process.  */
static void
format_ip (char ip[IP_MAX], int index)
{
  int process = getpid ();

  snprintf (ip, IP_MAX, "127.%d.%d.%d", 60 + index, process / 250 % 250,
            process % 250 + 1);
}

static bool
is_keeper (const struct host *host)
{
  return host->links && host->settings.role == MARJORAM_ROLE_KEEPER;
}

/* Starts HOST.  The seeds of an entry host are the running keepers.
   LISTEN_INDEX selects the address for links; it differs from INDEX only
   behind a relay.  */
static void
start_at (struct host *host, int index, int listen_index,
          enum marjoram_gateway_role role, const char *region,
          uint64_t incarnation)
{
  static char *seeds[2];
  struct marjoram_error err = { 0 };
  char listen_ip[IP_MAX];

  memset (host, 0, sizeof *host);
  format_ip (host->ip, index);
  format_ip (listen_ip, listen_index);
  snprintf (host->link_address, sizeof host->link_address, "%s:%d", listen_ip,
            PORT);
  snprintf (host->entry_address, sizeof host->entry_address, "%s:80",
            host->ip);
  seeds[0] = keeper.ip;
  seeds[1] = other.ip;
  host->settings = (struct marjoram_gateway_settings){
    .role = (int)role,
    .name = host->ip,
    .ip = host->ip,
    .zone = (char *)region,
    .region = (char *)region,
    .link_address = host->link_address,
    .entry_address = role == MARJORAM_ROLE_ENTRY ? host->entry_address : NULL,
    .seeds = seeds,
    .seed_count = role == MARJORAM_ROLE_ENTRY ? 1 + is_keeper (&other) : 0,
  };
  host->hosts = marjoram_host_list_create ();
  host->links = marjoram_host_links_create (base, test_clock, &host->settings,
                                            incarnation, host->hosts, &ops,
                                            host, &err);
  ck_assert_msg (host->links != NULL, "%s", err.message);
}

static void
start (struct host *host, int index, enum marjoram_gateway_role role,
       const char *region, uint64_t incarnation)
{
  start_at (host, index, index, role, region, incarnation);
}

static void
stop (struct host *host)
{
  marjoram_host_links_destroy (host->links);
  marjoram_host_list_destroy (host->hosts);
  host->links = NULL;
}

static void
tick (struct host *host)
{
  if (host->links)
    marjoram_host_links_tick (host->links, marjoram_clock_now (test_clock));
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  (void)context;
  tick (&keeper);
  tick (&entry);
  tick (&other);
}

/* Runs all hosts until CONDITION holds; fails after LIMIT_MS.  */
static void
wait_until (bool (*condition) (void), const char *what)
{
  int64_t end = marjoram_clock_now (test_clock) + LIMIT_MS;
  struct timeval period = marjoram_clock_timeval (TICK_MS);
  struct event *timer = event_new (base, -1, EV_PERSIST, on_timer, NULL);

  event_add (timer, &period);
  while (!condition ())
    {
      ck_assert_msg (marjoram_clock_now (test_clock) < end,
                     "timed out waiting for %s", what);
      event_base_loop (base, EVLOOP_ONCE);
    }
  event_free (timer);
}

static void
setup (void)
{
  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  test_clock = marjoram_clock_system ();
  start (&keeper, 1, MARJORAM_ROLE_KEEPER, "r1", 1);
}

static void
teardown (void)
{
  struct host *const all[] = { &entry, &other, &keeper };

  for (int i = 0; i < 3; i++)
    if (all[i]->links)
      stop (all[i]);
  relay_destroy (relay);
  relay_destroy (other_relay);
  relay_link_destroy (slow_link);
  slow_link = NULL;
  relay = NULL;
  other_relay = NULL;
  event_base_free (base);
}

static bool
keeper_lists (const struct host *host)
{
  const struct marjoram_listed_host *listed
      = marjoram_host_list_find (keeper.hosts, host->ip);

  return listed
         && marjoram_host_list_serves (listed,
                                       marjoram_clock_now (test_clock));
}

static bool
entry_is_listed (void)
{
  return keeper_lists (&entry);
}

static bool
entry_is_not_listed (void)
{
  return !keeper_lists (&entry);
}

/* A host that restarts with a lower incarnation, after its clock was set back,
   must be listed again within LIMIT_MS.  */
START_TEST (restart_with_lower_incarnation_is_listed)
{
  start (&entry, 2, MARJORAM_ROLE_ENTRY, "r1", 1000000);
  wait_until (entry_is_listed, "the host to be listed");
  stop (&entry);
  wait_until (entry_is_not_listed, "the stopped host to be delisted");
  start (&entry, 2, MARJORAM_ROLE_ENTRY, "r1", 900000);
  wait_until (entry_is_listed, "the restarted host to be listed");
}
END_TEST

static bool
both_are_listed (void)
{
  return keeper_lists (&entry) && keeper_lists (&other);
}

static bool
entry_has_a_frame (void)
{
  return entry.frames > 0;
}

static bool
both_have_a_frame (void)
{
  return entry.frames > 0 && other.frames > 0;
}

START_TEST (region_messages_stay_in_region)
{
  const struct marjoram_news_seen message = { 7 };

  start (&entry, 2, MARJORAM_ROLE_ENTRY, "r1", 1);
  start (&other, 3, MARJORAM_ROLE_ENTRY, "r2", 1);
  wait_until (both_are_listed, "both hosts");
  ck_assert_uint_eq (
      marjoram_host_links_multicast (keeper.links, MARJORAM_TO_ENTRY_HOSTS,
                                     "r1", MARJORAM_FRAME_NEWS_SEEN, &message),
      1);
  wait_until (entry_has_a_frame, "the message for its region");
  ck_assert_int_eq (other.frames, 0);
  /* The broadcast arrives after it on the same links.  */
  marjoram_host_links_broadcast (keeper.links, MARJORAM_FRAME_NEWS_SEEN,
                                 &message);
  wait_until (both_have_a_frame, "the broadcast");
  ck_assert_int_eq (other.frames, 1);
  ck_assert_uint_eq (
      marjoram_host_links_multicast (keeper.links, MARJORAM_TO_KEEPERS, NULL,
                                     MARJORAM_FRAME_NEWS_SEEN, &message),
      0);
}
END_TEST

static bool
hosts_list_each_other (void)
{
  const struct marjoram_listed_host *here
      = marjoram_host_list_find (other.hosts, entry.ip);
  const struct marjoram_listed_host *there
      = marjoram_host_list_find (entry.hosts, other.ip);
  int64_t now = marjoram_clock_now (test_clock);

  return here && there && marjoram_host_list_serves (here, now)
         && marjoram_host_list_serves (there, now);
}

/* A new host and the existing ones must learn of each other at once rather
   than with the next periodic host list.  */
START_TEST (new_host_is_listed_at_once)
{
  int64_t began;

  start (&entry, 2, MARJORAM_ROLE_ENTRY, "r1", 1);
  wait_until (entry_is_listed, "the first host");
  start (&other, 3, MARJORAM_ROLE_ENTRY, "r2", 1);
  began = marjoram_clock_now (test_clock);
  wait_until (hosts_list_each_other, "both hosts to list each other");
  ck_assert_int_lt (marjoram_clock_now (test_clock) - began, 4000);
}
END_TEST

/* Starts a keeper and a relay that forwards its links.  */
static struct relay *
start_behind_relay (struct host *host, int index)
{
  char address[TEXT_MAX];
  struct relay *new_relay;

  start_at (host, index, RELAY_INDEX_OFFSET + index, MARJORAM_ROLE_KEEPER,
            "r1", 1);
  snprintf (address, sizeof address, "%s:%d", host->ip, PORT);
  new_relay = relay_create (base, address, host->link_address);
  ck_assert (new_relay != NULL);
  return new_relay;
}

static void
restart_keeper_behind_relay (void)
{
  stop (&keeper);
  relay = start_behind_relay (&keeper, 1);
}

static bool
both_links_are_up (void)
{
  return marjoram_host_links_is_up (entry.links, keeper.ip)
         && marjoram_host_links_is_up (entry.links, other.ip);
}

static bool
has_settled (void)
{
  static int64_t since;

  if (since == 0)
    since = marjoram_clock_now (test_clock);
  return marjoram_clock_now (test_clock) > since + SETTLE_MS;
}

/* Starts an entry host with links to two keepers, each through a relay, and
   waits for some heartbeats.  */
static void
start_behind_relays (void)
{
  restart_keeper_behind_relay ();
  other_relay = start_behind_relay (&other, 3);
  start (&entry, 2, MARJORAM_ROLE_ENTRY, "r1", 1);
  wait_until (both_links_are_up, "links to both keepers");
  wait_until (has_settled, "some heartbeats");
}

/* Limits the bandwidth to the keeper: a large frame takes three seconds.  */
static void
limit_bandwidth (void)
{
  slow_link = relay_link_create (LARGE_BYTES / 3);
  relay_set_link (relay, slow_link, true);
}

static void
send_large_frame (void)
{
  struct marjoram_data message = { 0 };
  uint8_t *bytes = marjoram_alloc (LARGE_BYTES);

  message.bytes = marjoram_bytes_create (bytes, LARGE_BYTES);
  marjoram_host_links_broadcast (keeper.links, MARJORAM_FRAME_DATA, &message);
  marjoram_bytes_release (message.bytes);
  free (bytes);
}

/* A link must not time out while a large frame is being received: partial
   frames count as activity.  */
START_TEST (link_receiving_large_frame_is_not_silent)
{
  restart_keeper_behind_relay ();
  start (&entry, 2, MARJORAM_ROLE_ENTRY, "r1", 1);
  wait_until (entry_is_listed, "the host");
  limit_bandwidth ();
  send_large_frame ();
  wait_until (entry_has_a_frame, "the large frame");
  ck_assert_int_eq (entry.lost, 0);
}
END_TEST

static bool
keeper_reaches_entry (void)
{
  const struct marjoram_news_seen message = { 1 };

  return marjoram_host_links_send_either (keeper.links, entry.ip,
                                          MARJORAM_FRAME_NEWS_SEEN, &message);
}

/* Guards against a host that is not reached although it has opened a
   connection, while those to it fail.  */
START_TEST (one_direction_is_enough_to_reach_a_host)
{
  start (&entry, 2, MARJORAM_ROLE_ENTRY, "r1", 1);
  wait_until (keeper_reaches_entry, "a session");
  ck_assert (!marjoram_host_links_is_up (keeper.links, entry.ip));
  wait_until (entry_has_a_frame, "the frame");
}
END_TEST

static bool
keeper_has_sent_all (void)
{
  return marjoram_host_links_unsent_bytes (keeper.links) == 0;
}

/* A host that ends in the turn in which it finishes a forwarded stream must
   know that its last frames are not written yet.  */
START_TEST (unsent_frames_are_reported_until_they_are_written)
{
  start (&entry, 2, MARJORAM_ROLE_ENTRY, "r1", 1);
  wait_until (entry_is_listed, "the host");
  wait_until (keeper_has_sent_all, "a quiet link");
  send_large_frame ();
  ck_assert_uint_ge (marjoram_host_links_unsent_bytes (keeper.links),
                     LARGE_BYTES);
  wait_until (keeper_has_sent_all, "the frame to be written");
}
END_TEST

/* While the host's own network path is saturated, acknowledgements on all
   links are delayed.  Healthy links must not be closed.  */
START_TEST (receive_lag_does_not_close_links)
{
  start_behind_relays ();
  limit_bandwidth ();
  /* In each direction.  */
  relay_set_delay (other_relay, 1000);
  send_large_frame ();
  wait_until (entry_has_a_frame, "the large frame");
  ck_assert_int_eq (entry.lost, 0);
}
END_TEST

static bool
both_are_lost (void)
{
  return entry.lost == 2;
}

/* A partition is not receive lag: links must time out without delay.  */
START_TEST (partition_closes_links_in_time)
{
  int64_t began;

  start_behind_relays ();
  began = marjoram_clock_now (test_clock);
  relay_set_mode (relay, RELAY_HOLD);
  relay_set_mode (other_relay, RELAY_HOLD);
  wait_until (both_are_lost, "both links to be lost");
  ck_assert_int_lt (marjoram_clock_now (test_clock) - began, 2000);
}
END_TEST

/* Makes HOST believe that COUNT further entry hosts exist in REGION, which
   send it heartbeats if DIRECT.  */
static void
pretend_hosts_at (struct host *host, int count, const char *region,
                  bool direct)
{
  for (int i = 0; i < count; i++)
    {
      char name[IP_MAX];
      const struct marjoram_host_beat heartbeat
          = { .name = name,
              .zone = (char *)region,
              .region = (char *)region,
              .entry = (char *)"127.9.0.1:80",
              .incarnation = 1,
              .sequence = 1,
              .interval_ms = LIMIT_MS };

      snprintf (name, sizeof name, "127.9.%d.%d", i / 250, i % 250 + 1);
      marjoram_host_list_update (host->hosts, marjoram_clock_now (test_clock),
                                 &heartbeat, direct);
    }
}

static void
pretend_hosts (struct host *host, int count, const char *region)
{
  pretend_hosts_at (host, count, region, false);
}

/* The keepers that notify ENTRY, counted as it stated last.  */
static int
followed_keepers (void)
{
  const struct host *const keepers[] = { &keeper, &other };
  int count = 0;

  for (int i = 0; i < 2; i++)
    {
      const struct marjoram_listed_host *listed
          = keepers[i]->links
                ? marjoram_host_list_find (keepers[i]->hosts, entry.ip)
                : NULL;

      count += listed && listed->heartbeat.sequence > 0
               && (listed->heartbeat.follow == MARJORAM_FOLLOW_ALL
                   || listed->heartbeat.follow == MARJORAM_FOLLOW_ONLY);
    }
  return count;
}

static bool
lists_entry (const struct host *host)
{
  return !host->links || marjoram_host_list_find (host->hosts, entry.ip);
}

static bool
both_list_entry (void)
{
  return lists_entry (&keeper) && lists_entry (&other);
}

static bool
both_keepers_are_followed (void)
{
  return followed_keepers () == 2;
}

static bool
one_keeper_is_followed (void)
{
  return both_list_entry () && followed_keepers () == 1;
}

/* Guards against each keeper sending each host all lists and changes.  */
START_TEST (host_of_large_fleet_follows_one_keeper)
{
  struct host *home;

  start (&other, 3, MARJORAM_ROLE_KEEPER, "r1", 1);
  start (&entry, 2, MARJORAM_ROLE_ENTRY, "r1", 1);
  wait_until (both_keepers_are_followed, "a small fleet to follow all");
  pretend_hosts (&entry, 200, "r2");
  wait_until (one_keeper_is_followed, "one keeper to be followed");
  home = marjoram_host_list_find (keeper.hosts, entry.ip)->heartbeat.follow
                 == MARJORAM_FOLLOW_ONLY
             ? &keeper
             : &other;
  stop (home);
  wait_until (one_keeper_is_followed, "the other keeper to be followed");
}
END_TEST

enum
{
  FLEET_HOSTS = 2500
};

static bool
entry_knows_the_fleet (void)
{
  return marjoram_host_list_entry_count (entry.hosts) >= FLEET_HOSTS;
}

/* Guards against lists that end at the largest number of hosts that a message
   may hold.  */
START_TEST (list_of_large_fleet_is_complete)
{
  pretend_hosts_at (&keeper, FLEET_HOSTS, "r2", true);
  start (&entry, 2, MARJORAM_ROLE_ENTRY, "r1", 1);
  wait_until (entry_knows_the_fleet, "the whole list");
}
END_TEST

static size_t
count_links (const struct host *host)
{
  const struct marjoram_host_link *link;
  size_t count = 0;

  TAILQ_FOREACH (link, &host->links->links, next)
  count++;
  return count;
}

/* Guards against links, and heartbeats on them, that grow with the number of
   hosts in the region.  */
START_TEST (host_of_large_region_links_with_those_that_it_needs)
{
  static const int counts[] = { 200, 1000, 2000 };

  start (&entry, 2, MARJORAM_ROLE_ENTRY, "r1", 1);
  wait_until (entry_is_listed, "the host");
  for (size_t i = 0; i < sizeof counts / sizeof *counts; i++)
    {
      pretend_hosts (&entry, counts[i], "r1");
      for (int64_t later = 1000; later <= 2000; later += 500)
        marjoram_host_links_tick (entry.links,
                                  marjoram_clock_now (test_clock) + later);
      ck_assert_uint_le (count_links (&entry), 2);
    }
}
END_TEST

/* Guards against all hosts of a fleet that starts linking with the hosts of
   other regions that are ready first.  */
START_TEST (remote_links_do_not_wait_for_readiness)
{
  size_t links;

  start (&entry, 2, MARJORAM_ROLE_ENTRY, "r1", 1);
  wait_until (entry_is_listed, "the host");
  pretend_hosts (&entry, 200, "r2");
  marjoram_host_links_tick (entry.links,
                            marjoram_clock_now (test_clock) + 1000);
  links = count_links (&entry);
  ck_assert_uint_gt (links, 1);
  ck_assert_uint_le (links, 4);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("host_links");
  TCase *tests = tcase_create ("host_links");

  tcase_set_timeout (tests, 30);
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, restart_with_lower_incarnation_is_listed);
  tcase_add_test (tests, region_messages_stay_in_region);
  tcase_add_test (tests, new_host_is_listed_at_once);
  tcase_add_test (tests, link_receiving_large_frame_is_not_silent);
  tcase_add_test (tests, one_direction_is_enough_to_reach_a_host);
  tcase_add_test (tests, unsent_frames_are_reported_until_they_are_written);
  tcase_add_test (tests, receive_lag_does_not_close_links);
  tcase_add_test (tests, partition_closes_links_in_time);
  tcase_add_test (tests, host_of_large_fleet_follows_one_keeper);
  tcase_add_test (tests, host_of_large_region_links_with_those_that_it_needs);
  tcase_add_test (tests, list_of_large_fleet_is_complete);
  tcase_add_test (tests, remote_links_do_not_wait_for_readiness);
  suite_add_tcase (all, tests);
  return all;
}
