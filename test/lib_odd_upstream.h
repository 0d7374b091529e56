/* Platform upstream that misbehaves as its callers' random numbers have it:
   answers late, twice, for another request or without an id, refuses what it
   then runs, breaks off after it ran, reads late.  Enters each run into a
   ledger.  */
#ifndef MARJORAM_TEST_ODD_UPSTREAM_H
#define MARJORAM_TEST_ODD_UPSTREAM_H

#include "lib_run_ledger.h"
#include "random.h"

#include <event2/event.h>

struct odd_upstream;

struct odd_upstream_options
{
  const char *id;
  const char *service;
  const char *zone;
  const char *address; /* IP:port, announced and listened on */
  const char *keepers; /* IP:port,... */
  /* Names of behaviours, separated by commas; null: all of them.  */
  const char *behaviours;
  int percent; /* of the requests, that are treated so */
};

/* Null if it cannot listen.  OPTIONS and what it points to must outlive the
   upstream.  */
struct odd_upstream *
odd_upstream_create (struct event_base *base, marjoram_random *random,
                     struct run_ledger *ledger,
                     const struct odd_upstream_options *options);
void odd_upstream_destroy (struct odd_upstream *upstream);
/* Prints the names of all behaviours, one a line.  */
void odd_upstream_list (void);

#endif
