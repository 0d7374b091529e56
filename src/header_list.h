/* A list of HTTP headers that owns its names and values.  */
#ifndef MARJORAM_HEADER_LIST_H
#define MARJORAM_HEADER_LIST_H

#include "frame.h"

#include <stddef.h>

struct marjoram_header_list
{
  struct marjoram_header *items;
  size_t count;
  size_t room;
};

/* Both are copied.  */
void marjoram_header_list_add (struct marjoram_header_list *list,
                               const char *name, const char *value);
void marjoram_header_list_add_size (struct marjoram_header_list *list,
                                    const char *name, const char *value,
                                    size_t size);
/* In place of all that NAME had.  */
void marjoram_header_list_set (struct marjoram_header_list *list,
                               const char *name, const char *value);
/* The first value of NAME, whatever its case; null if there is none.  */
const char *marjoram_header_list_get (const struct marjoram_header_list *list,
                                      const char *name);
/* How often NAME stands in LIST.  */
size_t marjoram_header_list_times (const struct marjoram_header_list *list,
                                   const char *name);
/* Whether one of the comma-separated words of NAME's values is WORD.  */
bool marjoram_header_list_has_word (const struct marjoram_header_list *list,
                                    const char *name, const char *word);
/* Frees the items and empties the list.  */
void marjoram_header_list_clear (struct marjoram_header_list *list);
/* Moves all of SOURCE to TARGET, which must be empty.  */
void marjoram_header_list_move (struct marjoram_header_list *target,
                                struct marjoram_header_list *source);

/* Whether NAME concerns one connection only (RFC 9110, 7.6.1), or is named as
   such by LIST's Connection header, so that it must not be passed on.  */
bool marjoram_header_list_is_hop (const struct marjoram_header_list *list,
                                  const char *name);

#endif
