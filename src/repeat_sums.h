/* A keeper's sums of what the hosts that it hears requested and repeated, for
   the bound on repeats over all hosts (repeat_budget.h).  Hearing a host costs
   by the services that it names, whatever the number of hosts.  */
#ifndef MARJORAM_REPEAT_SUMS_H
#define MARJORAM_REPEAT_SUMS_H

#include "gateway_message.h"

typedef struct marjoram_repeat_sums_list marjoram_repeat_sums_list;

marjoram_repeat_sums_list *marjoram_repeat_sums_list_create (void);
void marjoram_repeat_sums_list_destroy (marjoram_repeat_sums_list *list);
/* HOST's USES, of struct marjoram_repeat_use, in place of its last ones.  What
   was last heard of a silent host counts for a window of the budget.  */
void marjoram_repeat_sums_list_hear (marjoram_repeat_sums_list *list,
                                     int64_t now, const char *host,
                                     const struct marjoram_array *uses);
/* Into SUMS, whose items hold MARJORAM_REPEAT_USES_MAX: the services for which
   USES ask.  Texts are borrowed from USES.  */
void marjoram_repeat_sums_list_answer (const marjoram_repeat_sums_list *list,
                                       const struct marjoram_array *uses,
                                       struct marjoram_repeat_sums *sums);

#endif
