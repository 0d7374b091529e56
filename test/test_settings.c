/* Settings files: values are read correctly, and every error is reported with
   its line and remedy.  */
#include "suite.h"

#include "cleanup.h"
#include "secret.h"
#include "settings.h"

#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

static char folder[64];
static char path[80];
static char secret_path[80];

static void
setup (void)
{
  snprintf (folder, sizeof folder, "/tmp/marjoram-settings-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (folder));
  snprintf (path, sizeof path, "%s/host.ini", folder);
  snprintf (secret_path, sizeof secret_path, "%s/secret", folder);
  ck_assert (marjoram_secret_create (secret_path, NULL));
}

static void
teardown (void)
{
  unlink (path);
  unlink (secret_path);
  rmdir (folder);
}

static void
write_settings (const char *text)
{
  FILE *out = fopen (path, "w");

  ck_assert_ptr_nonnull (out);
  fputs (text, out);
  fclose (out);
}

#define HOST                                                                  \
  "[host]\nslot = ba-1-a\nzone = ba-1\ncluster = tatranska\n"                 \
  "secret_file = secret\n"
#define LISTEN                                                                \
  "[listen]\nentry = 127.4.0.1:8080\npeer = 127.4.0.1:7000\n"                 \
  "control = 127.4.0.1:7001\n"

START_TEST (reads_a_whole_file)
{
  struct marjoram_settings *s;

  write_settings ("# comment\n" HOST "role_keeper = yes ; a disk\n"
                  "  data_folder = data\n" LISTEN
                  "[log]\nlevel = debug\n[limits]\nmax_body = 1M\n"
                  "max_headers=4k\nread_timeout_ms = 500\n"
                  "[peers]\nba-1-b = 127.4.0.2:7000\nke-1-a = [::1]:7000\n"
                  "[keepers]\nfirst = ba-1-a, ke-1-a,za-1-a\n");
  s = marjoram_settings_load (path, NULL, NULL);
  ck_assert_ptr_nonnull (s);
  ck_assert_str_eq (s->slot, "ba-1-a");
  ck_assert_str_eq (s->zone, "ba-1");
  ck_assert_str_eq (s->cluster, "tatranska");
  ck_assert_str_eq (s->secret_file, secret_path);
  ck_assert_uint_eq (strlen (s->secret), 64);
  ck_assert (s->keeper);
  ck_assert_int_eq (strncmp (s->data_folder, folder, strlen (folder)), 0);
  ck_assert_str_eq (s->control_address, "127.4.0.1:7001");
  ck_assert_int_eq (s->log_level, MARJORAM_LOG_DEBUG);
  ck_assert_uint_eq (s->max_body, 1048576);
  ck_assert_uint_eq (s->max_headers, 4096);
  ck_assert_int_eq (s->read_timeout_ms, 500);
  ck_assert_int_eq (s->claim_retention_ms, 86400000);
  ck_assert_uint_eq (s->seed_count, 2);
  ck_assert_str_eq (s->seeds[1].slot, "ke-1-a");
  ck_assert_str_eq (s->seeds[1].address, "[::1]:7000");
  ck_assert_uint_eq (s->first_keeper_count, 3);
  ck_assert_str_eq (s->first_keepers[2], "za-1-a");
  marjoram_settings_destroy (s);
}
END_TEST

/* An invalid file, and a fragment of each error message that it causes.  */
static const struct
{
  const char *text;
  const char *faults[8];
} bad_files[] = {
  { "", { "section [host] is missing", "section [listen] is missing" } },
  { HOST LISTEN "[colour]\nred = 1\n",
    { ":10: unknown section [colour]; remove" } },
  { HOST "colour = red\n" LISTEN,
    { ":6: [host] has no key \"colour\"; remove it or use one of: slot" } },
  { HOST "slot = x\n" LISTEN, { ":6: slot is already set on line 2" } },
  { HOST LISTEN "[host]\n",
    { ":10: section [host] is already defined on line 1" } },
  { HOST "role_keeper = maybe\n" LISTEN,
    { ":6: role_keeper can't be \"maybe"
      "\"; write yes or no" } },
  { HOST "role_keeper = yes\n" LISTEN,
    { ":1: a keeper needs a data folder; add data_folder",
      "add a section [keepers]" } },
  { HOST "data_folder = /d\n" LISTEN,
    { ":6: only a keeper has a data_folder" } },
  { HOST LISTEN "[keepers]\nfirst = a,b,c,d,e,f,g,h\n",
    { ":11: 8 keepers; name at most 7" } },
  { HOST LISTEN "[keepers]\nfirst = a,,b\n", { ":11: first can't be" } },
  { HOST LISTEN "[keepers]\n", { ":10: [keepers] needs first" } },
  { HOST "[listen]\nentry = host.example:80\npeer = 127.4.0.1\ncontrol = "
         "127.4.0.1:0\n",
    { ":7: entry can't be \"host.example:80\"; write an IP number",
      ":8: peer can't", ":9: control can't" } },
  { HOST "[listen]\nentry = 127.4.0.1:80\npeer = 127.4.0.1:80\n",
    { ":6: [listen] needs control",
      ":8: entry and peer are both 127.4.0.1:80; give each" } },
  { HOST LISTEN "[limits]\nmax_body = 17M\nmax_headers = 4kb\n"
                "read_timeout_ms = -1\ndrain_limit_ms = 0x4000\n"
                "claim_retention_ms = 1e9\nmax_requests = nan\n",
    { ":11: max_body can't be \"17M\"; write a whole number from",
      ":12: max_headers", ":13: read_timeout", ":14: drain_limit",
      ":15: claim_ret", ":16: max_req" } },
  { HOST LISTEN "[log]\nlevel = loud\n",
    { ":11: level can't be \"loud\"; write one of: error warning" } },
  { HOST LISTEN "[peers]\na = 1.2.3.4:5\na = 1.2.3.4:6\nb = x\nc d = 1.1.1.1:1"
                "\n",
    { ":12: slot a is already listed on line 11",
      ":13: \"x\" is not a valid address",
      ":14: \"c d\" is not a valid slot name" } },
  { HOST LISTEN "nonsense\n[log\nlevel = debug\n[log] x\n",
    { ":10: not a [section]", ":11: a section header without closing",
      ":13: unexpected text after the closing bracket" } },
  { "slot = a\n" HOST LISTEN, { ":1: a key before the first section" } },
  { "[host]\nslot = a.b\nzone = -\ncluster = a b\nsecret_file = none\n" LISTEN,
    { ":2: slot can't be \"a.b\"", ":3: zone can't", ":4: cluster can't",
      ":5: can't find" } },
  { HOST LISTEN "[limits]\nthe-name-of-this-key-is-longer-than-inih-can-keep-"
                "in-full = 1\n",
    { ":11: the key is longer than 48 characters" } },
};

START_TEST (lists_every_fault_with_line_and_remedy)
{
  marjoram_auto_free char *faults = NULL;
  struct marjoram_error err = { 0 };
  const char *at;
  size_t lines = 0;
  size_t expected = 0;

  write_settings (bad_files[_i].text);
  ck_assert_ptr_null (marjoram_settings_load (path, &faults, &err));
  ck_assert_int_eq (err.kind, MARJORAM_ERROR_INVALID);
  for (; expected < 8 && bad_files[_i].faults[expected]; expected++)
    ck_assert_msg (strstr (faults, bad_files[_i].faults[expected]) != NULL,
                   "expected %s, got %s", bad_files[_i].faults[expected],
                   faults);
  for (at = faults; (at = strchr (at, '\n')); at++)
    lines++;
  ck_assert_msg (lines == expected, "expected %zu errors, got %s", expected,
                 faults);
  ck_assert_int_eq (strncmp (faults, err.message, strlen (err.message)), 0);
}
END_TEST

/* Guards against starting with a secret that other users of the machine can
   read or that is short enough to guess.  */
START_TEST (refuses_open_or_short_secret)
{
  struct marjoram_error err = { 0 };
  FILE *out;

  write_settings (HOST LISTEN);
  chmod (secret_path, 0644);
  ck_assert_ptr_null (marjoram_settings_load (path, NULL, &err));
  ck_assert_ptr_nonnull (strstr (err.message, ":5: "));
  ck_assert_ptr_nonnull (strstr (err.message, "chmod 600"));
  chmod (secret_path, 0600);
  out = fopen (secret_path, "w");
  fputs ("0123456789012345678901234567890\n", out);
  fclose (out);
  ck_assert_ptr_null (marjoram_settings_load (path, NULL, &err));
  ck_assert_ptr_nonnull (strstr (err.message, "at least 32 bytes"));
  ck_assert (!marjoram_secret_create (secret_path, &err));
  ck_assert_ptr_nonnull (strstr (err.message, "name a new file"));
}
END_TEST

START_TEST (verifies_proof_only_for_same_data)
{
  uint8_t code[MARJORAM_MAC_SIZE];
  const char *secret = "0123456789abcdef0123456789abcdef";

  marjoram_secret_mac (secret, "hello", 5, code);
  ck_assert (marjoram_secret_verify (secret, "hello", 5, code));
  ck_assert (!marjoram_secret_verify (secret, "hellp", 5, code));
  ck_assert (!marjoram_secret_verify (secret, "hello", 4, code));
  ck_assert (!marjoram_secret_verify (secret + 1, "hello", 5, code));
  code[31] ^= 1;
  ck_assert (!marjoram_secret_verify (secret, "hello", 5, code));
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("settings");
  TCase *c = tcase_create ("settings");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, reads_a_whole_file);
  tcase_add_loop_test (c, lists_every_fault_with_line_and_remedy, 0,
                       sizeof bad_files / sizeof *bad_files);
  tcase_add_test (c, refuses_open_or_short_secret);
  tcase_add_test (c, verifies_proof_only_for_same_data);
  suite_add_tcase (s, c);
  return s;
}
