/* Keepers on connections that keep the order and carry so many bytes a second,
   for tests and benches of what agreement costs there; disks are fast.  The
   clock is simulated.  */
#ifndef MARJORAM_TEST_LIB_KEEPER_NET_H
#define MARJORAM_TEST_LIB_KEEPER_NET_H

#include "keeper.h"

struct keeper_net;

struct keeper_net_options
{
  int keepers;
  int64_t one_way_ms;
  int64_t bytes_per_s; /* of each connection; 0: no limit */
};

struct keeper_net *
keeper_net_create (const struct keeper_net_options *options);
void keeper_net_destroy (struct keeper_net *net);
void keeper_net_run (struct keeper_net *net, int64_t ms);
/* Until all hold the same state, with the last change; false if they don't
   within LIMIT_MS.  */
bool keeper_net_agree (struct keeper_net *net, int64_t limit_ms);
/* Applies TEXT as the next version of the file "routes" at keeper AT and runs
   on until it is answered; the time that took, or -1 if it is not decided
   within LIMIT_MS.  */
int64_t keeper_net_change (struct keeper_net *net, int at, const char *text,
                           int64_t limit_ms);
/* The newest state that the keeper knows chosen; null before any.  */
const struct marjoram_state *keeper_net_state (const struct keeper_net *net,
                                               int index);

/* What keeper INDEX sends and is sent is lost, or no more.  */
void keeper_net_cut (struct keeper_net *net, int index, bool cut);
/* What is on its way to keeper INDEX is lost, as when its connections break.
 */
void keeper_net_break (struct keeper_net *net, int index);
/* Nothing comes to keeper INDEX, though its connections stay, or no more.  */
void keeper_net_stall (struct keeper_net *net, int index, bool stalled);

/* Makes keeper INDEX one of a release that knows plain values only: says
   nothing of what it reads and drops what is not plain.  */
void keeper_net_make_earlier (struct keeper_net *net, int index);

/* Bytes and messages of more than LARGE bytes sent since the last call to
   keeper_net_forget.  */
enum
{
  KEEPER_NET_LARGE = 4096
};

void keeper_net_forget (struct keeper_net *net);
uint64_t keeper_net_bytes (const struct keeper_net *net);
int keeper_net_large (const struct keeper_net *net, int from, int to);
/* The most bytes that were on their way on one connection.  */
uint64_t keeper_net_most_waiting (const struct keeper_net *net);

/* The text of COUNT routes, of which the one numbered CHANGED has another
   timeout; -1: none.  To be freed.  */
char *keeper_net_routes (int count, int changed);

#endif
