/* Sums, at a keeper, of the requests and repeats reported by hosts, for the
   total bound on repeats (repeat_budget.h).  Updating a host takes time
   proportional to its services, independent of the number of hosts.  */
#ifndef MARJORAM_REPEAT_SUMS_H
#define MARJORAM_REPEAT_SUMS_H

#include "gateway_message.h"

typedef struct marjoram_repeat_sums_list marjoram_repeat_sums_list;

marjoram_repeat_sums_list *marjoram_repeat_sums_list_create (void);
void marjoram_repeat_sums_list_destroy (marjoram_repeat_sums_list *list);
/* Replaces HOST's report by USES, an array of struct marjoram_repeat_use.  The
   last report of a host that stopped reporting counts for one window of the
   budget.  */
void marjoram_repeat_sums_list_update (marjoram_repeat_sums_list *list,
                                       int64_t now, const char *host,
                                       const struct marjoram_array *uses);
/* Writes the sums of the services that USES asks for into SUMS, whose items
   have room for MARJORAM_REPEAT_USES_MAX.  Texts are borrowed from USES.  */
void marjoram_repeat_sums_list_query (const marjoram_repeat_sums_list *list,
                                      const struct marjoram_array *uses,
                                      struct marjoram_repeat_sums *sums);

#endif
