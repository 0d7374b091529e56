/* A few hosts in one process under a clock that the test moves: frames between
   them wait in a bag until they are delivered, lost or overtaken, and runs at
   upstreams wait until the test answers them.  Drives the decision layer as
   the daemon does.  */
#ifndef MARJORAM_TEST_LIB_HOSTS_H
#define MARJORAM_TEST_LIB_HOSTS_H

#include "host.h"

enum
{
  HOSTS_MAX = 6,
  RUNS_MAX = 4096,
  REPLIES_MAX = 4096,
  TEST_WALL_OFFSET = 1700000000 /* wall clock less monotonic clock, in ms */
};

/* A run at an upstream.  */
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
  bool refused; /* not run, as the test told the host */
  int resumes;
};

/* What a caller has got.  */
struct test_reply
{
  bool ended; /* properly */
  bool cut;
  bool refused;
  bool replayed;
  enum marjoram_outcome outcome;
  enum marjoram_reason reason;
  int64_t retry_ms;
  int runs_before; /* runs of all requests when it was refused */
  int status;
  char body[256];
  char zone[MARJORAM_NAME_MAX + 1];
};

struct test_hosts;

/* COUNT hosts: slots a-1 to a-3 of zone a and b-1 to b-3 of zone b, regions ra
   and rb, callers "free" (anywhere) and "bound" (ra only), model m, service s.
   All links are up.  */
struct test_hosts *test_hosts_create (int count, uint64_t seed);
void test_hosts_destroy (struct test_hosts *hosts);
marjoram_host *test_host (struct test_hosts *hosts, int index);
int64_t test_now (const struct test_hosts *hosts);
/* Gives all hosts the configuration; EXTRA, with a higher NUMBER, replaces the
   callers file.  */
void test_configure (struct test_hosts *hosts, uint64_t number,
                     const char *callers);
/* The same without zone b.  */
void test_remove_zone (struct test_hosts *hosts, uint64_t number);
/* An upstream announces itself to HOST: 127.9.0.1:PORT runs m and s.  */
void test_announce (struct test_hosts *hosts, int host, const char *name,
                    const char *zone, int port, uint64_t incarnation,
                    bool leaving);
/* Sends a request; the call number returned finds its reply.  KEY makes it
   non-idempotent.  */
uint64_t test_send (struct test_hosts *hosts, int host, const char *caller,
                    const char *body, const char *key, bool stream,
                    int64_t deadline_ms);
struct test_reply *test_reply (struct test_hosts *hosts, uint64_t call);
/* Runs so far, and the Nth of them.  */
int test_runs (const struct test_hosts *hosts);
struct test_run *test_run (struct test_hosts *hosts, int index);
/* Answers with BODY in one piece and an end.  */
void test_answer (struct test_hosts *hosts, struct test_run *run,
                  const char *body);
void test_head (struct test_hosts *hosts, struct test_run *run);
void test_data (struct test_hosts *hosts, struct test_run *run,
                const char *body);
void test_fail (struct test_hosts *hosts, struct test_run *run,
                enum marjoram_run_failure failure);
/* The answer to the host's last probe.  */
void test_probed (struct test_hosts *hosts, int host, const char *upstream,
                  bool alive);
/* Delivers what is in the bag until it is empty, without moving the clock.  */
void test_deliver (struct test_hosts *hosts);
/* Moves the clock in steps of 50 ms, delivering on the way.  */
void test_pass (struct test_hosts *hosts, int64_t msec);
/* Frames between the two go no further, and their sessions break; or work
   again.  */
void test_cut (struct test_hosts *hosts, int a, int b, bool cut);
/* Drops frames in the bag from A to B.  */
void test_drop (struct test_hosts *hosts, int a, int b);
/* HOST loses all its state and starts anew, with a higher incarnation.  */
void test_restart (struct test_hosts *hosts, int host);
/* Hands HOST a frame as if SLOT had sent it.  */
void test_forge (struct test_hosts *hosts, int host, const char *slot,
                 uint64_t session, enum marjoram_frame_type type,
                 const void *message);

#endif
