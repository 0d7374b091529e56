/* Requests pending at one keeper, and their answers.  */
#ifndef MARJORAM_KEEPER_REQUEST_H
#define MARJORAM_KEEPER_REQUEST_H

#include "evacuation.h"
#include "keeper.h"

#include <sys/queue.h>

enum
{
  MARJORAM_ANSWER_TEXT_MAX = 512,
  MARJORAM_KEEPER_APPLY_TIMEOUT_MS = 10000,
  /* Allows for two round trips to the farthest keepers; the writes of slow
     disks are added.  */
  MARJORAM_KEEPER_READ_TIMEOUT_MS = 900,
  MARJORAM_KEEPER_REPLACE_TIMEOUT_MS = 20000
};

struct marjoram_keeper_request
{
  TAILQ_ENTRY (marjoram_keeper_request) link;
  uint64_t request;
  char *change_id;
  struct marjoram_file file; /* without a name: a membership change */
  /* With a zone: the change of FILE, which then has a name only.  */
  struct marjoram_evacuation_order order;
  char *old;
  char *new;
  int64_t received_at;
  uint64_t floor; /* membership change: the state that the store must hold */
  size_t most;    /* addition: not proposed to so many members; 0: no limit */
  int64_t deadline;
  bool sent;       /* part of a value that was proposed: may still be chosen */
  bool tried;      /* an attempt was started after it was ready */
  bool read;       /* a read: no file and no membership change */
  bool in_attempt; /* READ: received before the current attempt started */
  bool needs_ballot;    /* READ: to be confirmed by an attempt too */
  uint64_t after_round; /* READ: the last confirmation begun before it */
};

TAILQ_HEAD (marjoram_keeper_requests, marjoram_keeper_request);

/* FILE, which passed marjoram_change_check, is copied.  */
void marjoram_keeper_requests_add_file (
    struct marjoram_keeper_requests *requests, uint64_t request,
    const char *change_id, const struct marjoram_file *file, int64_t now);
/* ORDER is copied.  */
void marjoram_keeper_requests_add_order (
    struct marjoram_keeper_requests *requests, uint64_t request,
    const char *change_id, const struct marjoram_evacuation_order *order,
    int64_t now);
struct marjoram_keeper_request *
marjoram_keeper_requests_add_read (struct marjoram_keeper_requests *requests,
                                   uint64_t request, int64_t now);
/* OLD is null to add a member.  */
struct marjoram_keeper_request *marjoram_keeper_requests_add_replace (
    struct marjoram_keeper_requests *requests, uint64_t request,
    const char *change_id, const char *old, const char *new, int64_t now);
void
marjoram_keeper_requests_remove (struct marjoram_keeper_requests *requests,
                                 struct marjoram_keeper_request *request);
void
marjoram_keeper_requests_clear (struct marjoram_keeper_requests *requests);

/* Whether the chosen STATE decides REQUEST.  Fills ANSWER, whose message is
   written to TEXT.  */
bool
marjoram_keeper_request_decided (const struct marjoram_keeper_request *request,
                                 const struct marjoram_state *state,
                                 struct marjoram_apply_answer *answer,
                                 char *text);
/* The answer when the deadline has passed; WHY is the reason.  */
void marjoram_keeper_request_expire (
    const struct marjoram_keeper_request *request, const char *why,
    struct marjoram_apply_answer *answer, char *text);

#endif
