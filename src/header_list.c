#include "header_list.h"

#include "cleanup.h"

#include <string.h>
#include <strings.h>

enum
{
  FIRST_ROOM = 12
};

static void
make_room (struct marjoram_header_list *list)
{
  if (list->count < list->room)
    return;
  list->room = list->room ? 2 * list->room : FIRST_ROOM;
  list->items = realloc (list->items, list->room * sizeof *list->items);
  if (!list->items)
    abort ();
}

void
marjoram_header_list_add_size (struct marjoram_header_list *list,
                               const char *name, const char *value,
                               size_t size)
{
  struct marjoram_header *header;

  make_room (list);
  header = &list->items[list->count++];
  header->name = marjoram_strdup (name);
  header->value = marjoram_alloc (size + 1);
  memcpy (header->value, value, size);
}

void
marjoram_header_list_add (struct marjoram_header_list *list, const char *name,
                          const char *value)
{
  marjoram_header_list_add_size (list, name, value, strlen (value));
}

void
marjoram_header_list_set (struct marjoram_header_list *list, const char *name,
                          const char *value)
{
  size_t kept = 0;

  for (size_t i = 0; i < list->count; i++)
    {
      if (strcasecmp (list->items[i].name, name) != 0)
        {
          list->items[kept++] = list->items[i];
          continue;
        }
      free (list->items[i].name);
      free (list->items[i].value);
    }
  list->count = kept;
  marjoram_header_list_add (list, name, value);
}

const char *
marjoram_header_list_get (const struct marjoram_header_list *list,
                          const char *name)
{
  for (size_t i = 0; i < list->count; i++)
    if (strcasecmp (list->items[i].name, name) == 0)
      return list->items[i].value;
  return NULL;
}

size_t
marjoram_header_list_times (const struct marjoram_header_list *list,
                            const char *name)
{
  size_t times = 0;

  for (size_t i = 0; i < list->count; i++)
    times += strcasecmp (list->items[i].name, name) == 0;
  return times;
}

static bool
has_word (const char *text, const char *word)
{
  size_t size = strlen (word);

  while (*text)
    {
      size_t length;

      text += strspn (text, " \t,");
      length = strcspn (text, " \t,");
      if (length == size && strncasecmp (text, word, size) == 0)
        return true;
      text += length;
    }
  return false;
}

bool
marjoram_header_list_has_word (const struct marjoram_header_list *list,
                               const char *name, const char *word)
{
  for (size_t i = 0; i < list->count; i++)
    if (strcasecmp (list->items[i].name, name) == 0
        && has_word (list->items[i].value, word))
      return true;
  return false;
}

void
marjoram_header_list_clear (struct marjoram_header_list *list)
{
  for (size_t i = 0; i < list->count; i++)
    {
      free (list->items[i].name);
      free (list->items[i].value);
    }
  free (list->items);
  memset (list, 0, sizeof *list);
}

void
marjoram_header_list_move (struct marjoram_header_list *target,
                           struct marjoram_header_list *source)
{
  *target = *source;
  memset (source, 0, sizeof *source);
}

bool
marjoram_header_list_is_hop (const struct marjoram_header_list *list,
                             const char *name)
{
  static const char *const hops[] = { "Connection",
                                      "Keep-Alive",
                                      "Proxy-Connection",
                                      "Transfer-Encoding",
                                      "Content-Length",
                                      "TE",
                                      "Trailer",
                                      "Upgrade",
                                      "Expect",
                                      "Proxy-Authenticate",
                                      "Proxy-Authorization" };

  for (size_t i = 0; i < sizeof hops / sizeof *hops; i++)
    if (strcasecmp (name, hops[i]) == 0)
      return true;
  return marjoram_header_list_has_word (list, "Connection", name);
}
