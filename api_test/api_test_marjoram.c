/* Tests of the public header with the deployments in examples/: their settings
   and files load and have the expected sizes.  */
#include "suite.h"

#include "marjoram.h"

#include "cleanup.h"

#include <string.h>
#include <unistd.h>

static const struct
{
  const char *directory;
  const char *host;
  const char *model;
  int copies; /* of the model in each zone */
  const char *service;
  int service_copies;
  const char *restricted_caller;
  const char *restricted_work;
  const char *forbidden_region;
} deployments[] = {
  { "examples/tatranska", "ba-1-a", "izba-lm", 3, "board", 1, "board-kosice",
    "board", "bratislava" },
  { "examples/huon", "hba-1-a", "recipe-lm", 4, "panel", 1, "panels-hobart",
    "panel", "melbourne" },
};

static const char *const file_names[] = { "sites", "works", "callers" };

enum
{
  FILE_COUNT = 3
};

static struct marjoram_state *
load_state (const char *directory)
{
  struct marjoram_state *state = marjoram_state_copy (NULL);

  for (int i = 0; i < FILE_COUNT; i++)
    {
      char path[128];
      struct marjoram_file file = { 0 };
      struct marjoram_error err = { 0 };

      snprintf (path, sizeof path, "%s/%s.ini", directory, file_names[i]);
      ck_assert_msg (marjoram_config_file_load (path, &file, &err), "%s",
                     err.message);
      ck_assert_str_eq (file.name, file_names[i]);
      marjoram_state_set_file (state, &file);
      marjoram_wire_clear (&marjoram_file_layout, &file);
    }
  return state;
}

START_TEST (example_files_have_expected_sizes)
{
  struct marjoram_state *state = load_state (deployments[_i].directory);
  struct marjoram_error err = { 0 };
  marjoram_config *config = marjoram_config_create (state, NULL, &err);
  int keepers = 0;
  int model;
  int service;

  ck_assert_msg (config != NULL, "%s", err.message);
  ck_assert_int_eq (marjoram_config_region_count (config), 3);
  ck_assert_int_eq (marjoram_config_zone_count (config), 3);
  ck_assert_int_eq (marjoram_config_slot_count (config), 9);
  for (int i = 0; i < 9; i++)
    keepers += marjoram_config_slot (config, i)->keeper;
  ck_assert_int_eq (keepers, 3);
  model = marjoram_config_find_work (config, deployments[_i].model);
  service = marjoram_config_find_work (config, deployments[_i].service);
  ck_assert_int_eq (marjoram_config_work (config, model)->replicas,
                    deployments[_i].copies);
  ck_assert_int_eq (marjoram_config_work (config, service)->replicas,
                    deployments[_i].service_copies);
  ck_assert_uint_eq (
      marjoram_config_allowed (
          config,
          marjoram_config_find_caller_by_name (
              config, deployments[_i].restricted_caller),
          marjoram_config_find_work (config, deployments[_i].restricted_work))
              >> marjoram_config_find_region (config,
                                              deployments[_i].forbidden_region)
          & 1,
      0);
  marjoram_config_release (config);
  marjoram_state_destroy (state);
}
END_TEST

START_TEST (example_files_pass_check)
{
  const struct marjoram_ctl_options options = { 0 };
  char paths[FILE_COUNT][128];
  char *args[1 + FILE_COUNT] = { (char *)"check" };
  char *text = NULL;
  size_t size;
  FILE *out = open_memstream (&text, &size);

  for (int i = 0; i < FILE_COUNT; i++)
    {
      snprintf (paths[i], sizeof paths[i], "%s/%s.ini",
                deployments[_i].directory, file_names[i]);
      args[i + 1] = paths[i];
    }
  ck_assert_int_eq (
      marjoram_ctl_run (&options, 1 + FILE_COUNT, args, out, out),
      MARJORAM_CTL_DONE);
  fclose (out);
  ck_assert_ptr_nonnull (strstr (text, "valid: yes"));
  ck_assert_ptr_nonnull (strstr (text, "slots: 9"));
  free (text);
}
END_TEST

/* Copies PATH to COPY with the path of the secret file replaced.  */
static void
install_settings (const char *path, const char *copy, const char *secret)
{
  FILE *in = fopen (path, "r");
  FILE *out = fopen (copy, "w");
  char line[256];

  ck_assert_ptr_nonnull (in);
  ck_assert_ptr_nonnull (out);
  while (fgets (line, sizeof line, in))
    if (strncmp (line, "secret_file", 11) == 0)
      fprintf (out, "secret_file = %s\n", secret);
    else
      fputs (line, out);
  fclose (in);
  fclose (out);
}

START_TEST (example_settings_load)
{
  char directory[64] = "/tmp/marjoram-api-XXXXXX";
  char path[128];
  char copy[128];
  char secret[128];
  char *args[] = { (char *)"new-secret", secret };
  const struct marjoram_ctl_options options = { 0 };
  marjoram_auto_free char *faults = NULL;
  struct marjoram_settings *settings;
  FILE *out = fopen ("/dev/null", "w");

  ck_assert_ptr_nonnull (mkdtemp (directory));
  snprintf (path, sizeof path, "%s/%s.ini", deployments[_i].directory,
            deployments[_i].host);
  snprintf (copy, sizeof copy, "%s/host.ini", directory);
  snprintf (secret, sizeof secret, "%s/secret", directory);
  ck_assert_int_eq (marjoram_ctl_run (&options, 2, args, out, out), 0);
  fclose (out);
  install_settings (path, copy, secret);
  settings = marjoram_settings_load (copy, &faults, NULL);
  ck_assert_msg (settings != NULL, "%s", faults);
  ck_assert_str_eq (settings->slot, deployments[_i].host);
  ck_assert (settings->keeper);
  ck_assert_uint_eq (settings->first_keeper_count, 3);
  marjoram_settings_destroy (settings);
  unlink (copy);
  unlink (secret);
  rmdir (directory);
}
END_TEST

START_TEST (reports_its_version)
{
  ck_assert_str_eq (marjoram_version (), MARJORAM_VERSION);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("marjoram");
  TCase *c = tcase_create ("marjoram");

  tcase_add_loop_test (c, example_files_have_expected_sizes, 0, 2);
  tcase_add_loop_test (c, example_files_pass_check, 0, 2);
  tcase_add_loop_test (c, example_settings_load, 0, 2);
  tcase_add_test (c, reports_its_version);
  suite_add_tcase (s, c);
  return s;
}
