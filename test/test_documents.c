/* Checks that the documentation covers every refusal reason, counter, setting
   and command.  */
#include "suite.h"

#include "cleanup.h"
#include "counter.h"
#include "ctl.h"
#include "fault.h"
#include "ini_file.h"

#include <stdio.h>
#include <string.h>

enum
{
  PAGE_MAX = 256 * 1024
};

static char *
read_page (const char *path)
{
  struct marjoram_error err = { 0 };
  size_t size;
  char *page = marjoram_file_read (path, PAGE_MAX, &size, &err);

  ck_assert_msg (page != NULL, "%s", err.message);
  return page;
}

static void
require_text (const char *page, const char *before, const char *word,
              size_t length, const char *after)
{
  char text[128];

  snprintf (text, sizeof text, "%s%.*s%s", before, (int)length, word, after);
  ck_assert_msg (strstr (page, text) != NULL, "page lacks \"%s\"", text);
}

START_TEST (explain_every_reason_and_counter)
{
  marjoram_auto_free char *page = read_page ("docs/OPERATORS.md");
  marjoram_counters *counters = marjoram_counters_create ();
  marjoram_auto_free char *text = marjoram_counters_text (counters);
  static const char prefix[] = "\nmarjoram_";

  for (int i = 1; i < MARJORAM_REASON_COUNT; i++)
    {
      const char *name = marjoram_reason_name ((enum marjoram_reason)i);

      require_text (page, "| `", name, strlen (name), "` |");
    }
  for (const char *at = text; (at = strstr (at, prefix));)
    {
      size_t length;

      at += strlen (prefix);
      length = (size_t)(strstr (at, "_total") - at);
      if (at[length + strlen ("_total")] == ' ')
        require_text (page, "`", at, length, "`");
    }
  marjoram_counters_destroy (counters);
}
END_TEST

/* The example settings have every key.  Keys of [peers] are slot names and are
   not documented.  */
START_TEST (explain_every_setting)
{
  marjoram_auto_free char *page = read_page ("man/marjoramd.ini.5");
  marjoram_auto_free char *text = read_page ("examples/huon/hba-1-a.ini");
  marjoram_auto (marjoram_faults_cleanup) marjoram_faults *faults
      = marjoram_faults_create ();
  marjoram_auto (marjoram_ini_cleanup) struct marjoram_ini_file *file
      = marjoram_ini_parse ("", text, strlen (text), faults);

  ck_assert_uint_eq (file->section_count, 6);
  for (size_t i = 0; i < file->section_count; i++)
    {
      const struct marjoram_ini_section *section = &file->sections[i];

      require_text (page, ".SS [", section->kind, strlen (section->kind),
                    "]\n");
      if (strcmp (section->kind, "peers") == 0)
        continue;
      for (size_t k = 0; k < section->entry_count; k++)
        require_text (page, ".B ", section->entries[k].key,
                      strlen (section->entries[k].key), "\n");
    }
}
END_TEST

START_TEST (explain_every_command)
{
  marjoram_auto_free char *page = read_page ("man/marjoramctl.1");
  char *help = NULL;
  size_t size;
  FILE *out = open_memstream (&help, &size);

  marjoram_ctl_help (out);
  fclose (out);
  for (char *line = strtok (help, "\n"); line; line = strtok (NULL, "\n"))
    {
      char word[64] = "";
      char bold[128];
      size_t used = 0;

      /* Hyphens are escaped in manual pages.  */
      for (line += strspn (line, " "); *line && *line != ' '; line++)
        {
          if (*line == '-')
            word[used++] = '\\';
          word[used++] = *line;
        }
      snprintf (bold, sizeof bold, "\n.B %s\n", word);
      if (!strstr (page, bold))
        require_text (page, "\n\\fB", word, used, "\\fR ");
    }
  free (help);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("documents");
  TCase *c = tcase_create ("documents");

  tcase_add_test (c, explain_every_reason_and_counter);
  tcase_add_test (c, explain_every_setting);
  tcase_add_test (c, explain_every_command);
  suite_add_tcase (s, c);
  return s;
}
