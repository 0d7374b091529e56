#include "ctl.h"

#include "cleanup.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

enum
{
  CELL_MAX_BYTES = 128,
  COLUMNS_MAX = 16
};

static void
format_cell (const json_t *value, char text[CELL_MAX_BYTES])
{
  if (json_is_string (value))
    snprintf (text, CELL_MAX_BYTES, "%s", json_string_value (value));
  else if (json_is_boolean (value))
    snprintf (text, CELL_MAX_BYTES, "%s", json_is_true (value) ? "yes" : "no");
  else if (json_is_integer (value))
    snprintf (text, CELL_MAX_BYTES, "%" JSON_INTEGER_FORMAT,
              json_integer_value (value));
  else if (json_is_real (value))
    snprintf (text, CELL_MAX_BYTES, "%g", json_real_value (value));
  else if (json_is_array (value))
    {
      size_t used = 0;

      snprintf (text, CELL_MAX_BYTES, "%s",
                json_array_size (value) ? "" : "none");
      for (size_t i = 0; i < json_array_size (value) && used < CELL_MAX_BYTES;
           i++)
        {
          const char *item = json_string_value (json_array_get (value, i));

          used += (size_t)snprintf (text + used, CELL_MAX_BYTES - used, "%s%s",
                                    i ? "," : "", item ? item : "...");
        }
    }
  else
    snprintf (text, CELL_MAX_BYTES, "-");
}

struct table
{
  const json_t *rows;
  const char *columns[COLUMNS_MAX];
  int widths[COLUMNS_MAX];
  size_t count;
};

/* Determines the columns, which are the keys of the first row, and their
   widths.  */
static void
measure_columns (struct table *table)
{
  const char *key;
  json_t *value;
  char text[CELL_MAX_BYTES];

  json_object_foreach (json_array_get (table->rows, 0), key, value)
  {
    if (table->count < COLUMNS_MAX)
      table->columns[table->count++] = key;
  }
  for (size_t c = 0; c < table->count; c++)
    {
      table->widths[c] = (int)strlen (table->columns[c]);
      for (size_t r = 0; r < json_array_size (table->rows); r++)
        {
          format_cell (json_object_get (json_array_get (table->rows, r),
                                        table->columns[c]),
                       text);
          if ((int)strlen (text) > table->widths[c])
            table->widths[c] = (int)strlen (text);
        }
    }
}

static void
print_row (FILE *out, const struct table *table, const json_t *row)
{
  char text[CELL_MAX_BYTES];

  for (size_t c = 0; c < table->count; c++)
    {
      if (row)
        format_cell (json_object_get (row, table->columns[c]), text);
      else
        snprintf (text, sizeof text, "%s", table->columns[c]);
      fprintf (out, "  %-*s", c + 1 < table->count ? table->widths[c] : 0,
               text);
    }
  fputc ('\n', out);
}

static void
print_table (FILE *out, const char *name, const json_t *rows)
{
  struct table table = { .rows = rows };

  fprintf (out, "%s:\n", name);
  measure_columns (&table);
  print_row (out, &table, NULL);
  for (size_t r = 0; r < json_array_size (rows); r++)
    print_row (out, &table, json_array_get (rows, r));
}

static void
print_text (FILE *out, const char *name, const char *text)
{
  if (!*text)
    return;
  if (!strchr (text, '\n'))
    {
      fprintf (out, "%s: %s\n", name, text);
      return;
    }
  fprintf (out, "%s:\n%s%s", name, text,
           text[strlen (text) - 1] == '\n' ? "" : "\n");
}

void
marjoram_ctl_print (FILE *out, const json_t *object)
{
  const char *key;
  json_t *value;
  char text[CELL_MAX_BYTES];

  json_object_foreach ((json_t *)object, key, value)
  {
    if (json_is_array (value) && json_is_object (json_array_get (value, 0)))
      print_table (out, key, value);
    else if (json_is_string (value))
      print_text (out, key, json_string_value (value));
    else
      {
        format_cell (value, text);
        fprintf (out, "%s: %s\n", key, text);
      }
  }
}
