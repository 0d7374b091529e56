/* Simulation of keepers on ordered connections of limited bandwidth, for tests
   and benchmarks of the cost of consensus, and of the time that a lost keeper
   takes to be replaced.  The clock is simulated.  */
#ifndef MARJORAM_TEST_LIB_KEEPER_NET_H
#define MARJORAM_TEST_LIB_KEEPER_NET_H

#include "keeper.h"

struct keeper_net;

struct keeper_net_options
{
  int keepers;
  int64_t one_way_ms;
  int64_t bytes_per_s; /* of each connection; 0: unlimited */
  int64_t write_ms;    /* of each disk; 0: 5 ms */
  uint64_t seed;       /* 0: 1 */
  /* The fields below may be 0.  */
  int spares;         /* keepers after the first ones, which are not running */
  int loss_per_mille; /* of the messages, which arrive KEEPER_NET_REPEAT_MS
                         later and delay those after them */
  int64_t change_every_ms; /* changes at a random keeper each */
  int64_t read_every_ms;   /* reads, the same */
  size_t losses; /* disks that may be lost at once, for automatic repair */
  int64_t repair_within_ms;
};

struct keeper_net *
keeper_net_create (const struct keeper_net_options *options);
void keeper_net_destroy (struct keeper_net *net);
void keeper_net_run (struct keeper_net *net, int64_t ms);
/* Runs until all keepers hold the same state, with the last change; false on
   timeout.  */
bool keeper_net_wait_agreement (struct keeper_net *net, int64_t limit_ms);
/* Applies TEXT as the next version of the file "routes" at keeper AT and runs
   until it is answered.  Returns the time taken, or -1 if it is not accepted
   within LIMIT_MS.  */
int64_t keeper_net_change (struct keeper_net *net, int at, const char *text,
                           int64_t limit_ms);
/* Changes a file of its own at every keeper at once and runs until all changes
   are accepted.  Returns the time taken, or -1 after LIMIT_MS.  */
int64_t keeper_net_change_all (struct keeper_net *net, int64_t limit_ms);
/* Reads the state at keeper AT and runs until that is answered.  Returns the
   time taken, or -1 if it is not confirmed within LIMIT_MS.  */
int64_t keeper_net_read (struct keeper_net *net, int at, int64_t limit_ms);
/* Reads the state at keeper AT without waiting for it.  */
void keeper_net_begin_read (struct keeper_net *net, int at);
/* How many attempts of all keepers ended so.  */
int keeper_net_ballots (const struct keeper_net *net,
                        enum marjoram_ballot_end end);
/* The latest state that the keeper knows to be chosen; null before any.  */
const struct marjoram_state *keeper_net_state (const struct keeper_net *net,
                                               int index);

/* The latest state that the keeper has on its disk; null before any.  */
const struct marjoram_state *
keeper_net_durable_state (const struct keeper_net *net, int index);
/* Confirms the state of keeper AT and runs until that is completed.  Returns
   the confirmed number, 0 if LIMIT_MS pass before.  */
uint64_t keeper_net_confirm (struct keeper_net *net, int at, int64_t limit_ms);

/* Partitions keeper INDEX from all others, or reconnects it.  */
void keeper_net_partition (struct keeper_net *net, int index, bool cut);
/* Drops all messages in flight to keeper INDEX, as when its connections
   break.  */
void keeper_net_drop_inbound (struct keeper_net *net, int index);
/* Drops what keeper INDEX sends, or stops to do so.  */
void keeper_net_mute (struct keeper_net *net, int index, bool muted);
/* Applies a change at keeper AT without waiting for it.  */
void keeper_net_begin_change (struct keeper_net *net, int at);
/* Sends a heartbeat from keeper INDEX to each other, as when connections
   open.  */
void keeper_net_greet (struct keeper_net *net, int index);
/* Stops delivery to keeper INDEX while its connections stay open, or resumes
   it.  */
void keeper_net_stall (struct keeper_net *net, int index, bool stalled);

/* Ends the process of keeper INDEX.  */
void keeper_net_stop (struct keeper_net *net, int index);
/* Starts keeper INDEX, which is not running, with an empty disk.  Its
   connections open after the round trips of a handshake.  */
void keeper_net_start_empty (struct keeper_net *net, int index);
/* Sets the duration of the writes of keeper INDEX.  */
void keeper_net_set_write_ms (struct keeper_net *net, int index, int64_t ms);
/* Asks keeper AT to make keeper NEW a member in place of keeper OLD.  */
void keeper_net_replace (struct keeper_net *net, int at, int old, int new);
/* The time from the last start of keeper INDEX with an empty disk until it
   took STEP, in ms; -1 if it has not.  */
int64_t keeper_net_step_ms (const struct keeper_net *net, int index,
                            enum marjoram_store_step step);
/* Changes that were sent because of change_every_ms, and those accepted.  */
int keeper_net_changes_sent (const struct keeper_net *net);
int keeper_net_changes_accepted (const struct keeper_net *net);
/* Stops or resumes these changes.  */
void keeper_net_pause_changes (struct keeper_net *net, bool paused);

/* Makes keeper INDEX behave as an earlier release that supports plain values
   only.  */
void keeper_net_set_earlier_release (struct keeper_net *net, int index);

/* Counts since the last keeper_net_reset_counters: bytes, and messages of more
   than KEEPER_NET_LARGE_MESSAGES bytes.  */
enum
{
  KEEPER_NET_LARGE = 4096,
  KEEPER_NET_REPEAT_MS = 250
};

void keeper_net_reset_counters (struct keeper_net *net);
uint64_t keeper_net_bytes (const struct keeper_net *net);
int keeper_net_large_messages (const struct keeper_net *net, int from, int to);
/* The maximum number of bytes in flight on one connection.  */
uint64_t keeper_net_peak_queued (const struct keeper_net *net);

/* Text of COUNT routes, of which number CHANGED has a different timeout; -1
   for none.  To be freed by the caller.  */
char *keeper_net_routes (int count, int changed);

#endif
