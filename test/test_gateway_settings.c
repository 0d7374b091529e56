/* Tests of the settings of the roles entry and keeper: accepted files, and
   errors reported with a remedy.  */
#include "suite.h"

#include "gateway_settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HEAD(role)                                                            \
  "[gateway]\nrole = " role "\nname = h1\nip = 10.0.0.1\nzone = za\n"         \
  "region = ra\n"
#define TAIL                                                                  \
  "[seeds]\nkeepers = 10.0.0.7:90, 10.0.0.8:90\n[zones]\nza = ra\nzb = rb\n"
#define ENTRY                                                                 \
  HEAD ("entry")                                                              \
  "[listen]\nlink = 10.0.0.1:70\nentry = 10.0.0.1:80\nready = "               \
  "10.0.0.1:81\n" TAIL

static struct marjoram_gateway_settings *
load (const char *text, char **faults, struct marjoram_error *err)
{
  char path[] = "/tmp/marjoram-settings-XXXXXX";
  int fd = mkstemp (path);
  struct marjoram_gateway_settings *settings;

  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  close (fd);
  ck_assert (marjoram_gateway_settings_detect (path)
             == (strstr (text, "[gateway]") != NULL));
  settings = marjoram_gateway_settings_load (path, faults, err);
  unlink (path);
  return settings;
}

START_TEST (entry_is_read)
{
  struct marjoram_error err = { 0 };
  struct marjoram_gateway_settings *settings = load (ENTRY, NULL, &err);

  ck_assert_msg (settings != NULL, "%s", err.message);
  ck_assert_int_eq (settings->role, MARJORAM_ROLE_ENTRY);
  ck_assert_str_eq (settings->entry_address, "10.0.0.1:80");
  ck_assert_uint_eq (settings->seed_count, 2);
  ck_assert_str_eq (settings->seeds[1], "10.0.0.8");
  ck_assert_str_eq (marjoram_gateway_settings_region (settings, "zb"), "rb");
  ck_assert_ptr_null (marjoram_gateway_settings_region (settings, "zc"));
  ck_assert (settings->repeat_ratio > 0.19 && settings->repeat_ratio < 0.21);
  marjoram_gateway_settings_destroy (settings);
}
END_TEST

START_TEST (load_is_read_and_off_by_default)
{
  struct marjoram_error err = { 0 };
  struct marjoram_gateway_settings *settings = load (ENTRY, NULL, &err);

  ck_assert (!settings->load.share_room && !settings->load.balance_regions);
  ck_assert_uint_eq (settings->load_terms.count, 0);
  marjoram_gateway_settings_destroy (settings);
  settings
      = load (ENTRY "[load]\nshare_room = yes\nterms = a,b\n", NULL, &err);
  ck_assert_msg (settings != NULL, "%s", err.message);
  ck_assert (settings->load.share_room && !settings->load.check_upstreams);
  ck_assert_uint_eq (settings->load_terms.count, 2);
  ck_assert_str_eq (settings->load_terms.items[1], "b");
  marjoram_gateway_settings_destroy (settings);
}
END_TEST

START_TEST (faults_are_reported)
{
  static const struct
  {
    const char *text;
    const char *expected;
  } cases[] = {
    { HEAD ("boss") TAIL, "write one of: entry keeper" },
    { HEAD ("entry") TAIL, "section [listen] is missing" },
    { HEAD ("entry") "[listen]\nlink = 10.0.0.1:70\n" TAIL,
      "add entry = IP:port" },
    { HEAD ("keeper") "[listen]\nlink = 10.0.0.1:70\ncontrol = 10.0.0.1:90\n"
                      "lookup = 10.0.0.1:91\n" TAIL,
      "add data_folder" },
    { HEAD ("entry") "[listen]\nlink = here\nentry = 10.0.0.1:80\n"
                     "ready = 10.0.0.1:81\n" TAIL,
      "write an IP number and a port" },
    { ENTRY "[load]\nshare_room = perhaps\n", "yes" },
    { ENTRY "[extra]\na = b\n", "unknown section [extra]" },
    { ENTRY "[limits]\nrepeat_ratio = 7\n", "write a number from 0 to 1" },
    { ENTRY "[limits]\ndrain_limit_ms = soon\n", "write a whole number" },
    { HEAD ("entry") "[listen]\nlink = 10.0.0.1:70\nentry = 10.0.0.1:80\n"
                     "ready = 10.0.0.1:81\n[seeds]\nkeepers = nobody\n"
                     "[zones]\nza = ra\n",
      "\"nobody\" is not an address" },
    { HEAD ("entry") "[listen]\nlink = 10.0.0.1:70\nentry = 10.0.0.1:80\n"
                     "ready = 10.0.0.1:81\n[zones]\nza = ra\n",
      "no seeds" },
    { HEAD ("entry") "[listen]\nlink = 10.0.0.1:70\nentry = 10.0.0.1:80\n"
                     "ready = 10.0.0.1:81\n[seeds]\nkeepers = 10.0.0.7:1\n"
                     "[zones]\nzb = rb\n",
      "[zones] does not assign zone za to region ra" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct marjoram_error err = { 0 };
      char *faults = NULL;

      ck_assert_msg (!load (cases[i].text, &faults, &err), "case %zu", i);
      ck_assert_msg (faults && strstr (faults, cases[i].expected),
                     "case %zu: %s", i, faults ? faults : "");
      free (faults);
    }
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("gateway_settings");
  TCase *c = tcase_create ("gateway_settings");

  tcase_add_test (c, entry_is_read);
  tcase_add_test (c, load_is_read_and_off_by_default);
  tcase_add_test (c, faults_are_reported);
  suite_add_tcase (s, c);
  return s;
}
