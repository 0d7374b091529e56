/* List of HTTP headers that owns its names and values.  */
#ifndef MARJORAM_HEADER_LIST_H
#define MARJORAM_HEADER_LIST_H

#include "frame.h"

#include <stddef.h>

struct marjoram_header_list
{
  struct marjoram_header *items;
  size_t count;
  size_t capacity;
};

/* NAME and VALUE are copied.  */
void marjoram_header_list_add (struct marjoram_header_list *list,
                               const char *name, const char *value);
void marjoram_header_list_add_size (struct marjoram_header_list *list,
                                    const char *name, const char *value,
                                    size_t size);
/* Replaces all values of NAME.  */
void marjoram_header_list_set (struct marjoram_header_list *list,
                               const char *name, const char *value);
/* Returns the first value of NAME, or null.  Names are compared without
   regard to case.  */
const char *marjoram_header_list_get (const struct marjoram_header_list *list,
                                      const char *name);
size_t marjoram_header_list_count (const struct marjoram_header_list *list,
                                   const char *name);
/* Whether a value of NAME contains TOKEN in a comma-separated list.  */
bool marjoram_header_list_has_token (const struct marjoram_header_list *list,
                                     const char *name, const char *token);
void marjoram_header_list_clear (struct marjoram_header_list *list);
/* Moves the items of SOURCE to TARGET, which must be empty.  */
void marjoram_header_list_move (struct marjoram_header_list *target,
                                struct marjoram_header_list *source);

/* Whether NAME is a hop-by-hop header (RFC 9110, 7.6.1) or is listed in LIST's
   Connection header, and must not be forwarded.  */
bool
marjoram_header_list_is_hop_by_hop (const struct marjoram_header_list *list,
                                    const char *name);

#endif
