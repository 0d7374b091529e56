/* Tests of the detection of upstreams that have stopped answering: the
   decision with simulated connections, and the connections themselves over
   loopback.  */
#include "suite.h"

#include "connect_probe.h"
#include "socket_option.h"
#include "upstream_check.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  TICK_MS = 25,
  ANSWER_MS = 1,         /* of a connection */
  EVENT_MS = 50,         /* between data of an upstream */
  DARK_WITHIN_MS = 1000, /* of the last data */
  UPSTREAMS_MAX = 64,
  CHECKS_MAX = 16,
  PROBES_MAX = 4096,
  LIMIT_MS = 5000
};

/* How an upstream answers new connections.  */
enum mode
{
  MODE_OPEN,
  MODE_REFUSED,
  MODE_SILENT,
  MODE_FAILED /* this host cannot open them */
};

/* An upstream of the simulation.  */
struct sim
{
  char id[16];
  char address[32];
  int64_t started_at;
  bool awaited;
  bool sends; /* data each EVENT_MS */
  enum mode mode;
  int lose_probes; /* the next ones, whatever the mode */
  int64_t late_ms; /* more until others are answered */
  int64_t heard_at;
  int64_t due_at;
  int opened; /* connections */
  enum marjoram_silence silence;
  int64_t dark_at; /* verdict; 0: none */
  int64_t suspected_at;
  int told_verdicts; /* of what another host had reported */
  int events[MARJORAM_CHECK_CLEARED + 1];
};

struct probe
{
  int upstream;
  int64_t ends_at;
  bool done;
  enum marjoram_probe_result result;
};

static marjoram_upstream_checks *checks;
static struct sim sims[UPSTREAMS_MAX];
static int sim_count;
static struct probe probes[PROBES_MAX];
static uint64_t probe_count;
static int64_t now;
static int64_t lag_ms;
static int pending_max;
static bool is_stalled; /* this host does nothing */

static struct sim *
find (const char *id)
{
  for (int i = 0; i < sim_count; i++)
    if (strcmp (sims[i].id, id) == 0)
      return &sims[i];
  ck_abort_msg ("unknown upstream %s", id);
}

static void
op_open (void *context, uint64_t number, const char *address,
         int64_t timeout_ms)
{
  struct probe *probe = &probes[number];
  struct sim *sim = NULL;

  (void)context;
  ck_assert_uint_lt (number, PROBES_MAX);
  ck_assert_uint_eq (number, probe_count + 1);
  probe_count = number;
  for (int i = 0; i < sim_count; i++)
    if (strcmp (sims[i].address, address) == 0)
      sim = &sims[i];
  ck_assert_ptr_nonnull (sim);
  sim->opened++;
  probe->upstream = (int)(sim - sims);
  probe->done = false;
  probe->ends_at = now + ANSWER_MS + sim->late_ms;
  probe->result = sim->mode == MODE_REFUSED  ? MARJORAM_PROBE_REFUSED
                  : sim->mode == MODE_FAILED ? MARJORAM_PROBE_FAILED
                                             : MARJORAM_PROBE_OPEN;
  if (sim->mode == MODE_SILENT || sim->lose_probes > 0)
    {
      probe->ends_at = now + timeout_ms;
      probe->result = MARJORAM_PROBE_NO_ANSWER;
    }
  if (sim->lose_probes > 0)
    sim->lose_probes--;
}

static void
op_event (void *context, enum marjoram_check_event event,
          const struct marjoram_checked_upstream *upstream)
{
  struct sim *sim = find (upstream->id);

  (void)context;
  sim->events[event]++;
  if (event != MARJORAM_CHECK_DARK)
    return;
  sim->dark_at = now;
  sim->told_verdicts += upstream->is_told;
}

static void
op_silence (void *context, const char *id, enum marjoram_silence silence)
{
  struct sim *sim = find (id);

  (void)context;
  ck_assert_int_ne (sim->silence, silence);
  sim->silence = silence;
  if (silence == MARJORAM_SILENCE_SUSPECTED)
    sim->suspected_at = now;
}

static const char *
op_other (void *context, const char *id)
{
  (void)context;
  for (int i = 0; i < sim_count; i++)
    if (strcmp (sims[i].id, id) != 0
        && sims[i].silence == MARJORAM_SILENCE_NONE)
      return sims[i].address;
  return NULL;
}

static const struct marjoram_upstream_checks_ops ops = {
  .open = op_open, .event = op_event, .other = op_other, .silence = op_silence
};

static void
setup (void)
{
  checks = marjoram_upstream_checks_create (&ops, NULL);
  memset (sims, 0, sizeof sims);
  sim_count = 0;
  probe_count = 0;
  now = 100000;
  lag_ms = 0;
  pending_max = 0;
  is_stalled = false;
}

static void
teardown (void)
{
  marjoram_upstream_checks_destroy (checks);
}

/* An upstream that is awaited and sends data.  */
static struct sim *
add (void)
{
  struct sim *sim = &sims[sim_count];

  snprintf (sim->id, sizeof sim->id, "u%d", sim_count);
  snprintf (sim->address, sizeof sim->address, "10.0.0.%d:80", sim_count);
  sim->started_at = 1;
  sim->awaited = true;
  sim->sends = true;
  sim->heard_at = now;
  sim_count++;
  return sim;
}

static void
end_probes (void)
{
  for (uint64_t i = 1; i <= probe_count; i++)
    if (!probes[i].done
        && now >= probes[i].ends_at
                      + (probes[i].result == MARJORAM_PROBE_NO_ANSWER ? lag_ms
                                                                      : 0))
      {
        probes[i].done = true;
        marjoram_upstream_checks_probed (checks, now, i, probes[i].result);
      }
}

static void
count_pending (void)
{
  int pending = 0;
  int by_upstream[UPSTREAMS_MAX] = { 0 };

  for (uint64_t i = 1; i <= probe_count; i++)
    if (!probes[i].done && ++by_upstream[probes[i].upstream] == 1)
      pending++;
  if (pending > pending_max)
    pending_max = pending;
}

static void
tick (void)
{
  struct marjoram_awaited_upstream awaited[UPSTREAMS_MAX];
  size_t count = 0;

  for (int i = 0; i < sim_count; i++)
    if (sims[i].awaited && sims[i].silence != MARJORAM_SILENCE_DARK)
      awaited[count++] = (struct marjoram_awaited_upstream){
        .id = sims[i].id,
        .started_at = sims[i].started_at,
        .address = sims[i].address,
        .waiting = 1,
        .heard_at = sims[i].heard_at,
        .due_at = sims[i].due_at,
      };
  marjoram_upstream_checks_tick (checks, now, lag_ms, awaited, count);
  count_pending ();
}

static void
run_ms (int64_t ms)
{
  const int64_t until = now + ms;

  for (; now < until; now++)
    {
      for (int i = 0; i < sim_count; i++)
        if (sims[i].sends && now % EVENT_MS == i % EVENT_MS)
          sims[i].heard_at = now;
      if (is_stalled)
        continue;
      end_probes ();
      if (now % TICK_MS == 0)
        tick ();
    }
}

/* Another host reports that SIM is dark.  */
static void
tell (const struct sim *sim)
{
  marjoram_upstream_checks_told (checks, now, sim->id, sim->started_at,
                                 sim->address);
}

/* SIM sends nothing more and answers no connection.  */
static void
go_dark (struct sim *sim)
{
  sim->sends = false;
  sim->mode = MODE_SILENT;
}

/* Guards against streams of an upstream without power waiting until TCP gives
   up.  */
START_TEST (dark_upstream_is_found_within_a_second)
{
  struct sim *dark = add ();
  struct sim *other = add ();

  run_ms (1000 + _i * 7);
  go_dark (dark);
  run_ms (2000);
  ck_assert_int_ne (dark->dark_at, 0);
  ck_assert_int_ge (dark->dark_at - dark->heard_at, 800);
  ck_assert_int_le (dark->dark_at - dark->heard_at, DARK_WITHIN_MS);
  ck_assert_int_eq (dark->events[MARJORAM_CHECK_DARK], 1);
  ck_assert_int_eq (dark->silence, MARJORAM_SILENCE_DARK);
  ck_assert_int_eq (other->opened, 0);
  ck_assert_int_eq (other->silence, MARJORAM_SILENCE_NONE);
}
END_TEST

/* Guards against no verdict on the only upstream in use, or the only one.  */
START_TEST (only_upstream_in_use_may_be_dark)
{
  struct sim *dark = add ();

  if (_i == 1)
    add ()->awaited = false;
  run_ms (1000);
  go_dark (dark);
  run_ms (1000);
  ck_assert_int_ne (dark->dark_at, 0);
  ck_assert_int_eq (sims[1].opened, _i); /* for comparison */
}
END_TEST

/* Guards against verdicts of a host that uses one upstream and has lost its
   connections to all.  */
START_TEST (only_upstream_in_use_is_compared_with_another)
{
  struct sim *used = add ();
  struct sim *other = add ();

  other->awaited = false;
  run_ms (1000);
  go_dark (used);
  go_dark (other);
  run_ms (5000);
  ck_assert_int_eq (used->dark_at, 0);
  ck_assert_int_gt (used->events[MARJORAM_CHECK_WITHHELD], 1);
}
END_TEST

/* Guards against new requests for an upstream that has just gone dark.  */
START_TEST (silent_upstream_is_avoided_at_once)
{
  struct sim *dark = add ();

  add ();
  run_ms (1000);
  go_dark (dark);
  run_ms (350);
  ck_assert_int_eq (dark->silence, MARJORAM_SILENCE_SUSPECTED);
  ck_assert_int_le (dark->suspected_at - dark->heard_at, 350);
}
END_TEST

/* Guards against streams taken from an engine that is slow or frozen.  */
START_TEST (slow_upstream_that_answers_connections_is_never_dark)
{
  struct sim *slow = add ();
  int opened;

  add ();
  run_ms (1000);
  slow->sends = false;
  slow->mode = _i == 0 ? MODE_OPEN : MODE_REFUSED;
  run_ms (10000);
  opened = slow->opened;
  ck_assert_int_eq (slow->dark_at, 0);
  ck_assert_int_ge (opened, 9);
  ck_assert_int_le (opened, 10); /* one a second */
  ck_assert_int_eq (slow->silence, MARJORAM_SILENCE_NONE);
  slow->sends = true;
  run_ms (1000);
  ck_assert_int_eq (slow->opened, opened);
}
END_TEST

/* Guards against a verdict because of one lost packet.  */
START_TEST (one_lost_packet_is_no_verdict)
{
  struct sim *slow = add ();

  add ();
  run_ms (1000);
  slow->sends = false;
  for (int i = 0; i < 5; i++)
    {
      slow->lose_probes = 1;
      run_ms (1500);
    }
  ck_assert_int_eq (slow->dark_at, 0);
  ck_assert_int_gt (slow->events[MARJORAM_CHECK_ALIVE], 1);
}
END_TEST

/* Guards against a verdict before the second connection has had its time.  */
START_TEST (late_answer_to_the_second_connection_counts)
{
  struct sim *slow = add ();

  add ();
  run_ms (1000);
  slow->sends = false;
  slow->lose_probes = 1;
  slow->late_ms = 298;
  run_ms (1000);
  ck_assert_int_eq (slow->dark_at, 0);
  ck_assert_int_eq (slow->events[MARJORAM_CHECK_ALIVE], 1);
}
END_TEST

/* Guards against a verdict on an upstream that drops new connections but
   serves those that are open, as with a full accept queue.  */
START_TEST (data_ends_a_check)
{
  struct sim *full = add ();

  add ();
  run_ms (1000);
  full->sends = false;
  full->mode = MODE_SILENT;
  for (int i = 0; i < 10; i++)
    {
      run_ms (700);
      full->heard_at = now;
    }
  ck_assert_int_eq (full->dark_at, 0);
  ck_assert_int_gt (full->events[MARJORAM_CHECK_ALIVE], 5);
}
END_TEST

/* Guards against checks before an answer can be there.  */
START_TEST (answers_that_are_not_due_are_not_missed)
{
  struct sim *dark = add ();

  go_dark (dark);
  dark->due_at = now + 2000;
  run_ms (2250);
  ck_assert_int_eq (dark->opened, 0);
  run_ms (750);
  ck_assert_int_ne (dark->dark_at, 0);
}
END_TEST

/* Guards against verdicts of a host whose own input is delayed.  */
START_TEST (lagging_host_gives_no_verdict)
{
  struct sim *sim = add ();

  add ();
  run_ms (1000);
  go_dark (sim);
  for (lag_ms = 0; lag_ms < 2000; lag_ms += TICK_MS)
    run_ms (TICK_MS);
  ck_assert_int_eq (sim->dark_at, 0);
  ck_assert_int_eq (sim->opened, 0);
  lag_ms = 0;
  run_ms (1000);
  ck_assert_int_ne (sim->dark_at, 0);
}
END_TEST

/* Guards against verdicts of a host that was frozen: the data that arrived
   meanwhile is not yet read.  */
START_TEST (stalled_host_gives_no_verdict)
{
  struct sim *sim = add ();

  run_ms (1000);
  go_dark (sim);
  run_ms (600);
  is_stalled = true;
  run_ms (3000);
  is_stalled = false;
  run_ms (700);
  ck_assert_int_eq (sim->dark_at, 0);
  run_ms (1000);
  ck_assert_int_ne (sim->dark_at, 0);
}
END_TEST

/* Guards against verdicts of a host without connections to upstreams, although
   they are alive.  */
START_TEST (host_that_sees_most_upstreams_silent_gives_no_verdict)
{
  int withheld = 0;

  for (int i = 0; i < 10; i++)
    add ();
  run_ms (1000);
  for (int i = 0; i < 6; i++)
    go_dark (&sims[i]);
  run_ms (5000);
  for (int i = 0; i < 10; i++)
    {
      ck_assert_int_eq (sims[i].dark_at, 0);
      withheld += sims[i].events[MARJORAM_CHECK_WITHHELD];
    }
  ck_assert_int_gt (withheld, 0);
}
END_TEST

/* Guards against streams at upstreams of a lost zone waiting for TCP at hosts
   that used mostly these, although other hosts could tell.  */
START_TEST (other_hosts_confirm_what_this_one_doubts)
{
  for (int i = 0; i < 10; i++)
    add ();
  run_ms (1000);
  for (int i = 0; i < 7; i++)
    go_dark (&sims[i]);
  run_ms (_i == 0 ? 700 : 1000);
  for (int i = 0; i < 6; i++)
    {
      ck_assert_int_eq (sims[i].dark_at, 0);
      tell (&sims[i]);
    }
  run_ms (250);
  for (int i = 0; i < 6; i++)
    {
      ck_assert_int_ne (sims[i].dark_at, 0);
      ck_assert_int_ge (sims[i].dark_at - sims[i].heard_at, 800);
    }
  ck_assert_int_eq (sims[6].silence == MARJORAM_SILENCE_DARK,
                    sims[6].dark_at != 0);
}
END_TEST

START_TEST (half_of_the_upstreams_may_go_dark)
{
  for (int i = 0; i < 10; i++)
    add ();
  run_ms (1000);
  for (int i = 0; i < 5; i++)
    go_dark (&sims[i]);
  run_ms (1100);
  for (int i = 0; i < 5; i++)
    ck_assert_int_ne (sims[i].dark_at, 0);
}
END_TEST

/* Guards against verdicts because this host has no free ports or files.  */
START_TEST (connections_that_this_host_cannot_open_are_no_evidence)
{
  struct sim *sim = add ();

  add ();
  run_ms (1000);
  sim->sends = false;
  sim->mode = MODE_FAILED;
  run_ms (5000);
  ck_assert_int_eq (sim->dark_at, 0);
}
END_TEST

/* Guards against cutting a stream because of another host's report alone.  */
START_TEST (hearsay_alone_is_no_verdict)
{
  struct sim *alive = add ();
  struct sim *unused = add ();

  unused->awaited = false;
  unused->sends = false;
  run_ms (1000);
  for (int i = 0; i < 20; i++)
    {
      tell (alive);
      tell (unused);
      ck_assert_int_eq (unused->silence, MARJORAM_SILENCE_SUSPECTED);
      run_ms (250);
    }
  ck_assert_int_eq (alive->dark_at, 0);
  ck_assert_int_eq (unused->dark_at, 0);
  ck_assert_int_le (unused->opened, 6); /* one a second */
  run_ms (1100);
  ck_assert_int_eq (alive->silence, MARJORAM_SILENCE_NONE);
  ck_assert_int_eq (unused->silence, MARJORAM_SILENCE_NONE);
}
END_TEST

/* Guards against losing the first requests to an upstream that another host
   has found dark, as the report expires.  */
START_TEST (hearsay_is_verified_also_without_requests)
{
  struct sim *dark = add ();

  add ();
  dark->awaited = false;
  go_dark (dark);
  run_ms (1000);
  ck_assert_int_eq (dark->opened, 0);
  tell (dark);
  run_ms (900);
  ck_assert_int_eq (dark->silence, MARJORAM_SILENCE_DARK);
  ck_assert_int_eq (dark->told_verdicts, 1);
}
END_TEST

/* Guards against a host that waits for an upstream and checks it only after
   its own period of silence.  */
START_TEST (hearsay_leads_to_a_check_at_once)
{
  struct sim *dark = add ();

  add ();
  run_ms (1000);
  go_dark (dark);
  run_ms (100);
  tell (dark);
  run_ms (TICK_MS);
  run_ms (TICK_MS);
  ck_assert_int_eq (dark->opened, 1);
  run_ms (900);
  ck_assert_int_ge (dark->dark_at - dark->heard_at, 800);
}
END_TEST

/* Guards against an upstream staying unused after it is back.  */
START_TEST (answered_check_clears_a_dark_upstream)
{
  struct sim *dark = add ();

  add ();
  run_ms (1000);
  go_dark (dark);
  run_ms (5000);
  ck_assert_int_eq (dark->silence, MARJORAM_SILENCE_DARK);
  ck_assert_int_ge (dark->opened, 5); /* two, and one each second */
  dark->mode = _i == 0 ? MODE_OPEN : MODE_REFUSED;
  run_ms (1100);
  ck_assert_int_eq (dark->silence, MARJORAM_SILENCE_NONE);
  ck_assert_int_eq (dark->events[MARJORAM_CHECK_CLEARED], 1);
}
END_TEST

START_TEST (heartbeat_after_the_verdict_clears_a_dark_upstream)
{
  struct sim *dark = add ();

  add ();
  run_ms (1000);
  go_dark (dark);
  run_ms (1000);
  marjoram_upstream_checks_heard (checks, now, dark->id, dark->dark_at);
  ck_assert_int_eq (dark->silence, MARJORAM_SILENCE_DARK);
  marjoram_upstream_checks_heard (checks, now, dark->id, now);
  ck_assert_int_eq (dark->silence, MARJORAM_SILENCE_NONE);
}
END_TEST

/* Guards against requests sent again and again to an upstream that sends
   heartbeats but cannot be reached.  */
START_TEST (heartbeats_do_not_clear_an_upstream_again_and_again)
{
  struct sim *dark = add ();

  add ();
  run_ms (1000);
  go_dark (dark);
  for (int i = 0; i < 80; i++)
    {
      run_ms (100);
      marjoram_upstream_checks_heard (checks, now, dark->id, now);
    }
  ck_assert_int_eq (dark->events[MARJORAM_CHECK_CLEARED], 1);
  ck_assert_int_eq (dark->events[MARJORAM_CHECK_DARK], 2);
}
END_TEST

START_TEST (upstream_that_starts_again_is_not_dark)
{
  struct sim *dark = add ();

  add ();
  run_ms (1000);
  go_dark (dark);
  run_ms (1000);
  marjoram_upstream_checks_forget (checks, now, dark->id);
  ck_assert_int_eq (dark->silence, MARJORAM_SILENCE_NONE);
  dark->started_at = 2;
  dark->sends = true;
  run_ms (1000);
  ck_assert_int_eq (dark->silence, MARJORAM_SILENCE_NONE);
}
END_TEST

/* Guards against a burst of connections as a zone is lost.  */
START_TEST (few_checks_run_at_once)
{
  for (int i = 0; i < UPSTREAMS_MAX; i++)
    add ();
  run_ms (1000);
  for (int i = 0; i < UPSTREAMS_MAX; i++)
    go_dark (&sims[i]);
  run_ms (3000);
  ck_assert_int_eq (pending_max, CHECKS_MAX);
}
END_TEST

/* Guards against state that is kept for upstreams that are no longer used.  */
START_TEST (switching_off_ends_all)
{
  struct sim *dark = add ();
  struct sim *silent = add ();

  add ();
  add ();
  run_ms (1000);
  go_dark (dark);
  run_ms (900);
  go_dark (silent);
  run_ms (400);
  ck_assert_int_eq (dark->silence, MARJORAM_SILENCE_DARK);
  ck_assert_int_eq (silent->silence, MARJORAM_SILENCE_SUSPECTED);
  marjoram_upstream_checks_clear (checks, now);
  ck_assert_int_eq (dark->silence, MARJORAM_SILENCE_NONE);
  ck_assert_int_eq (silent->silence, MARJORAM_SILENCE_NONE);
}
END_TEST

/* ---- Connections over loopback.  ---- */

static marjoram_connect_probes *connections;
static struct event_base *base;
static int ended;
static enum marjoram_probe_result last_result;

static void
on_ended (void *context, uint64_t number, enum marjoram_probe_result result)
{
  (void)context;
  ck_assert_uint_eq (number, 7);
  ended++;
  last_result = result;
}

static const struct marjoram_connect_probes_ops connection_ops
    = { .ended = on_ended };

static void
setup_connections (void)
{
  base = event_base_new ();
  connections = marjoram_connect_probes_create (base, marjoram_clock_system (),
                                                &connection_ops, NULL);
  ended = 0;
}

static void
teardown_connections (void)
{
  marjoram_connect_probes_destroy (connections);
  event_base_free (base);
}

/* Returns a socket that listens with the shortest queue, and its address.  */
static int
listen_at (struct sockaddr_in *addr, char *text, size_t size)
{
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  socklen_t length = sizeof *addr;

  memset (addr, 0, sizeof *addr);
  addr->sin_family = AF_INET;
  addr->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)addr, sizeof *addr), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)addr, &length), 0);
  ck_assert_int_eq (listen (fd, 0), 0);
  snprintf (text, size, "127.0.0.1:%d", ntohs (addr->sin_port));
  return fd;
}

static void
wait_for_end (void)
{
  struct marjoram_clock *clock = marjoram_clock_system ();
  const int64_t start = marjoram_clock_now (clock);

  while (ended == 0 && marjoram_clock_now (clock) < start + LIMIT_MS)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      usleep (1000);
      marjoram_connect_probes_tick (connections, 0);
    }
  ck_assert_int_eq (ended, 1);
  ck_assert_uint_eq (marjoram_connect_probes_pending (connections), 0);
}

/* Opens connection 7 to ADDRESS; returns the time until its end.  */
static int64_t
probe_to_end (const char *address)
{
  const int64_t start = marjoram_clock_now (marjoram_clock_system ());

  marjoram_connect_probes_open (connections, 7, address, 300);
  ck_assert_int_eq (ended, 0);
  wait_for_end ();
  return marjoram_clock_now (marjoram_clock_system ()) - start;
}

START_TEST (connection_to_a_listener_opens)
{
  struct sockaddr_in addr;
  char text[32];
  const int fd = listen_at (&addr, text, sizeof text);

  probe_to_end (text);
  ck_assert_int_eq (last_result, MARJORAM_PROBE_OPEN);
  close (fd);
}
END_TEST

START_TEST (connection_to_a_closed_port_is_refused)
{
  struct sockaddr_in addr;
  char text[32];

  close (listen_at (&addr, text, sizeof text));
  probe_to_end (text);
  ck_assert_int_eq (last_result, MARJORAM_PROBE_REFUSED);
}
END_TEST

/* A full queue of a listener drops further connections.  */
START_TEST (connection_without_an_answer_ends_in_time)
{
  struct sockaddr_in addr;
  char text[32];
  const int fd = listen_at (&addr, text, sizeof text);
  int filler[4];
  int64_t ms;

  for (int i = 0; i < 4; i++)
    {
      filler[i]
          = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      ck_assert (connect (filler[i], (struct sockaddr *)&addr, sizeof addr)
                     == 0
                 || errno == EINPROGRESS);
    }
  ms = probe_to_end (text);
  ck_assert_int_eq (last_result, MARJORAM_PROBE_NO_ANSWER);
  ck_assert_int_ge (ms, 300);
  ck_assert_int_le (ms, 2500);
  for (int i = 0; i < 4; i++)
    close (filler[i]);
  close (fd);
}
END_TEST

/* Guards against a host that takes its own delay for silence of the other end:
   the connection is open, but the event loop has not run since.  */
START_TEST (late_host_sees_an_open_connection)
{
  struct sockaddr_in addr;
  char text[32];
  const int fd = listen_at (&addr, text, sizeof text);

  marjoram_connect_probes_open (connections, 7, text, 10);
  usleep (50000);
  marjoram_connect_probes_tick (connections, 0);
  ck_assert_int_eq (ended, 0);
  wait_for_end ();
  ck_assert_int_eq (last_result, MARJORAM_PROBE_OPEN);
  close (fd);
}
END_TEST

START_TEST (address_that_cannot_be_used_is_no_evidence)
{
  probe_to_end ("no address");
  ck_assert_int_eq (last_result, MARJORAM_PROBE_FAILED);
}
END_TEST

START_TEST (pending_connections_end_with_their_owner)
{
  struct sockaddr_in addr;
  char text[32];
  const int fd = listen_at (&addr, text, sizeof text);

  marjoram_connect_probes_open (connections, 7, text, 300);
  ck_assert_uint_eq (marjoram_connect_probes_pending (connections), 1);
  close (fd);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("upstream_check");
  TCase *c = tcase_create ("decision");
  TCase *p = tcase_create ("connections");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_loop_test (c, dark_upstream_is_found_within_a_second, 0, 8);
  tcase_add_loop_test (c, only_upstream_in_use_may_be_dark, 0, 2);
  tcase_add_test (c, only_upstream_in_use_is_compared_with_another);
  tcase_add_test (c, silent_upstream_is_avoided_at_once);
  tcase_add_loop_test (c, slow_upstream_that_answers_connections_is_never_dark,
                       0, 2);
  tcase_add_test (c, one_lost_packet_is_no_verdict);
  tcase_add_test (c, late_answer_to_the_second_connection_counts);
  tcase_add_test (c, data_ends_a_check);
  tcase_add_test (c, answers_that_are_not_due_are_not_missed);
  tcase_add_test (c, lagging_host_gives_no_verdict);
  tcase_add_test (c, stalled_host_gives_no_verdict);
  tcase_add_test (c, host_that_sees_most_upstreams_silent_gives_no_verdict);
  tcase_add_loop_test (c, other_hosts_confirm_what_this_one_doubts, 0, 2);
  tcase_add_test (c, half_of_the_upstreams_may_go_dark);
  tcase_add_test (c, connections_that_this_host_cannot_open_are_no_evidence);
  tcase_add_test (c, hearsay_alone_is_no_verdict);
  tcase_add_test (c, hearsay_is_verified_also_without_requests);
  tcase_add_test (c, hearsay_leads_to_a_check_at_once);
  tcase_add_loop_test (c, answered_check_clears_a_dark_upstream, 0, 2);
  tcase_add_test (c, heartbeat_after_the_verdict_clears_a_dark_upstream);
  tcase_add_test (c, heartbeats_do_not_clear_an_upstream_again_and_again);
  tcase_add_test (c, upstream_that_starts_again_is_not_dark);
  tcase_add_test (c, few_checks_run_at_once);
  tcase_add_test (c, switching_off_ends_all);
  suite_add_tcase (s, c);
  tcase_add_checked_fixture (p, setup_connections, teardown_connections);
  tcase_add_test (p, connection_to_a_listener_opens);
  tcase_add_test (p, connection_to_a_closed_port_is_refused);
  tcase_add_test (p, connection_without_an_answer_ends_in_time);
  tcase_add_test (p, late_host_sees_an_open_connection);
  tcase_add_test (p, address_that_cannot_be_used_is_no_evidence);
  tcase_add_test (p, pending_connections_end_with_their_owner);
  suite_add_tcase (s, p);
  return s;
}
