/* Summary of failed and late requests from the event logs of one or more
   hosts, grouped by cause or other log fields.  */
#ifndef MARJORAM_ACCOUNT_H
#define MARJORAM_ACCOUNT_H

#include "log_line.h"

#include <stdio.h>

typedef struct marjoram_account marjoram_account;

/* BY is a comma-separated list of log field names.  Two names are computed:
   "second" is the arrival time in seconds, "cause" the outcome with its reason
   and limit, or "late" for a response after the objective.  Returns null if
   BY has no names or too many.  */
marjoram_account *marjoram_account_create (const char *by);
void marjoram_account_destroy (marjoram_account *account);
/* Counts LINE if it reports the end of a request.  Forwarded requests are
   counted only on the host that received them from the caller.  */
void marjoram_account_add (marjoram_account *account,
                           const struct marjoram_log_line *line);
size_t marjoram_account_requests (const marjoram_account *account);
/* Also counts requests that were served in time, so that groups can be
   compared by the share of their requests that was served.  To be set before
   the first line is added.  */
void marjoram_account_count_outcomes (marjoram_account *account);
/* Prints the groups as a table, largest first: their failed and late requests
   or, with marjoram_account_count_outcomes, the outcomes of all.  */
void marjoram_account_print (marjoram_account *account, FILE *out);

#endif
