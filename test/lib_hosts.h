/* Simulates several hosts in one process with a virtual clock.  Frames between
   hosts are queued until the test delivers or drops them, and runs at
   upstreams until the test answers them.  Drives marjoram_host as the daemon
   does.  */
#ifndef MARJORAM_TEST_LIB_HOSTS_H
#define MARJORAM_TEST_LIB_HOSTS_H

#include "host.h"

enum
{
  HOSTS_MAX = 6,
  RUNS_MAX = 4096,
  REPLIES_MAX = 4096,
  TEST_WALL_OFFSET = 1700000000 /* wall clock minus monotonic clock, in ms */
};

struct test_run
{
  int host;
  uint64_t attempt;
  char address[32];
  char id[160];
  char key[MARJORAM_KEY_MAX + 1];
  char body[64];
  bool open; /* not answered, failed or cancelled */
  bool cancelled;
  bool refused; /* the test reported it to the host as not run */
  int resumes;
};

/* What a caller has received.  */
struct test_reply
{
  bool ended;   /* completely */
  bool aborted; /* truncated */
  bool refused;
  bool replayed;
  enum marjoram_outcome outcome;
  enum marjoram_reason reason;
  int64_t retry_ms;
  int runs_before; /* total number of runs when it was refused */
  int status;
  char body[256];
  char zone[MARJORAM_NAME_MAX + 1];
};

struct test_hosts;

/* Creates the first COUNT hosts of slots a-1 to a-3 in zone a (region ra) and
   b-1 to b-3 in zone b (region rb).  The configuration has callers "free" (any
   region) and "bound" (ra only), model m and service s.  All links are up.  */
struct test_hosts *test_hosts_create (int count, uint64_t seed);
void test_hosts_destroy (struct test_hosts *hosts);
marjoram_host *test_host (struct test_hosts *hosts, int index);
int64_t test_now (const struct test_hosts *hosts);
/* Sends all hosts configuration NUMBER.  CALLERS replaces the default callers
   file unless it is NULL.  */
void test_configure (struct test_hosts *hosts, uint64_t number,
                     const char *callers);
/* The same without zone b.  */
void test_remove_zone (struct test_hosts *hosts, uint64_t number);
/* Announces an upstream at 127.9.0.1:PORT that runs m and s to HOST.  */
void test_announce (struct test_hosts *hosts, int host, const char *name,
                    const char *zone, int port, uint64_t incarnation,
                    bool leaving);
/* The same with a lease of LEASE_MS instead of a minute.  */
void test_announce_lease (struct test_hosts *hosts, int host, const char *name,
                          const char *zone, int port, int64_t lease_ms);
/* Sends a request and returns its call number, for test_reply.  With a KEY it
   is not idempotent.  */
uint64_t test_send (struct test_hosts *hosts, int host, const char *caller,
                    const char *body, const char *key, bool stream,
                    int64_t deadline_ms);
struct test_reply *test_reply (struct test_hosts *hosts, uint64_t call);
/* The number of runs so far, and the run with INDEX.  */
int test_runs (const struct test_hosts *hosts);
struct test_run *test_run (struct test_hosts *hosts, int index);
/* Sends a complete response with BODY.  */
/* Limits the answers that each host holds, in bytes over all requests.  */
void test_limit_answers (struct test_hosts *hosts, size_t bytes);
void test_answer (struct test_hosts *hosts, struct test_run *run,
                  const char *body);
void test_head (struct test_hosts *hosts, struct test_run *run);
void test_data (struct test_hosts *hosts, struct test_run *run,
                const char *body);
void test_fail (struct test_hosts *hosts, struct test_run *run,
                enum marjoram_run_failure failure);
/* Reports to HOST the result of its oldest probe of UPSTREAM without one, if
   any.  */
void test_probed (struct test_hosts *hosts, int host, const char *upstream,
                  bool alive);
/* Delivers queued frames until none is left, without advancing the clock.  */
void test_deliver (struct test_hosts *hosts);
/* Advances the clock in steps of 50 ms, delivering frames after each.  */
void test_advance_clock (struct test_hosts *hosts, int64_t msec);
/* Advances the clock by MSEC at once: no host ticks meanwhile.  */
void test_stall (struct test_hosts *hosts, int64_t msec);
/* Disconnects hosts A and B if CUT: their sessions break and frames between
   them are dropped.  Otherwise reconnects them.  */
void test_cut (struct test_hosts *hosts, int a, int b, bool cut);
/* Drops queued frames from A to B.  */
void test_drop (struct test_hosts *hosts, int a, int b);
/* Restarts HOST without its state and with a higher incarnation.  */
void test_restart (struct test_hosts *hosts, int host);
/* Delivers a frame to HOST as if SLOT had sent it.  */
void test_forge (struct test_hosts *hosts, int host, const char *slot,
                 uint64_t session, enum marjoram_frame_type type,
                 const void *message);

#endif
