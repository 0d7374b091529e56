/* The changes that wait at one keeper, and the answers they get.  */
#ifndef MARJORAM_KEEPER_REQUEST_H
#define MARJORAM_KEEPER_REQUEST_H

#include "change.h"
#include "keeper.h"

#include <sys/queue.h>

enum
{
  MARJORAM_ANSWER_TEXT_MAX = 512,
  MARJORAM_KEEPER_APPLY_MS = 10000,
  /* Two rounds through the farthest keepers, and a disk's sync in each.  */
  MARJORAM_KEEPER_READ_MS = 900,
  MARJORAM_KEEPER_REPLACE_MS = 20000
};

struct marjoram_keeper_request
{
  TAILQ_ENTRY (marjoram_keeper_request) link;
  uint64_t request;
  char *change_id;
  struct marjoram_file file; /* no name: replaces a keeper */
  char *old;
  char *new;
  int64_t received_at;
  int64_t deadline;
  bool sent;  /* part of a value that was sent out: may be chosen yet */
  bool read;  /* asks for the newest state; no file, no replacement */
  bool asked; /* READ: the attempt under way began after it came */
};

TAILQ_HEAD (marjoram_keeper_requests, marjoram_keeper_request);

/* FILE passed its check; it is copied, with its digest.  */
void marjoram_keeper_requests_add_file (
    struct marjoram_keeper_requests *requests, uint64_t request,
    const char *change_id, const struct marjoram_file *file, int64_t now);
void
marjoram_keeper_requests_add_read (struct marjoram_keeper_requests *requests,
                                   uint64_t request, int64_t now);
void marjoram_keeper_requests_add_replace (
    struct marjoram_keeper_requests *requests, uint64_t request,
    const char *change_id, const char *old, const char *new, int64_t now);
void
marjoram_keeper_requests_remove (struct marjoram_keeper_requests *requests,
                                 struct marjoram_keeper_request *request);
void
marjoram_keeper_requests_clear (struct marjoram_keeper_requests *requests);

/* Whether STATE, which is chosen, decides REQUEST.  Fills ANSWER, whose
   message is written to TEXT.  */
bool
marjoram_keeper_request_decided (const struct marjoram_keeper_request *request,
                                 const struct marjoram_state *state,
                                 struct marjoram_apply_answer *answer,
                                 char *text);
/* The answer at the deadline; WHY tells what was missing.  */
void marjoram_keeper_request_give_up (
    const struct marjoram_keeper_request *request, const char *why,
    struct marjoram_apply_answer *answer, char *text);

#endif
