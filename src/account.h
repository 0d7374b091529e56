/* An account of requests by cause, from the event logs of any number of hosts:
   what was not served or came late, grouped by the fields that decided.  */
#ifndef MARJORAM_ACCOUNT_H
#define MARJORAM_ACCOUNT_H

#include "log_line.h"

#include <stdio.h>

typedef struct marjoram_account marjoram_account;

/* BY: names of fields of a request's line, separated by commas; "second" is
   the one in which the request came, "cause" the outcome ("late" for an answer
   after the objective) with its reason and limit.  Null if a name is empty. */
marjoram_account *marjoram_account_create (const char *by);
void marjoram_account_destroy (marjoram_account *account);
/* Counts LINE, if it tells the end of a caller's request.  What another host
   forwarded is counted there.  */
void marjoram_account_add (marjoram_account *account,
                           const struct marjoram_log_line *line);
/* Requests that were counted.  */
size_t marjoram_account_requests (const marjoram_account *account);
/* The table, the largest group first.  */
void marjoram_account_print (marjoram_account *account, FILE *out);

#endif
