/* Configuration: parsing, validation and residency rules.  */
#include "suite.h"

#include "cleanup.h"
#include "config.h"
#include "random.h"

#include <stdio.h>
#include <string.h>

enum
{
  FILES_MAX = 4,
  SEED_COUNT = 40
};

/* A state with the given files, named a, b, c, ..., each of version 1.  */
static struct marjoram_state *
make_state (const char *const *texts)
{
  struct marjoram_state *state = marjoram_state_copy (NULL);
  struct marjoram_file *files = marjoram_alloc (FILES_MAX * sizeof *files);
  char text[8192];

  state->number = 7;
  state->files.items = files;
  for (; *texts; texts++)
    {
      struct marjoram_file *file = &files[state->files.count];
      char name[2] = { (char)('a' + state->files.count++), 0 };

      snprintf (text, sizeof text, "[file]\nname = %s\nversion = 1\n%s", name,
                *texts);
      file->name = marjoram_strdup (name);
      file->version = 1;
      file->text = marjoram_strdup (text);
      file->digest = marjoram_digest (text, strlen (text));
    }
  return state;
}

static marjoram_config *
create_config (const char *const *texts, char **faults)
{
  struct marjoram_state *state = make_state (texts);
  marjoram_config *config = marjoram_config_create (state, faults, NULL);

  marjoram_state_destroy (state);
  return config;
}

#define REGIONS "[region ba]\n[region ke]\n"
#define ZONES "[zone ba-1]\nregion = ba\n[zone ke-1]\nregion = ke\n"
#define SLOT(name, zone, ip)                                                  \
  "[slot " name "]\nzone = " zone "\npeer = " ip ":7000\nentry = " ip ":8080" \
  "\n"
#define SITES                                                                 \
  "[cluster t]\n" REGIONS ZONES SLOT ("ke-1-a", "ke-1", "127.4.0.4")          \
      SLOT ("ba-1-c", "ba-1", "127.4.0.3")                                    \
          SLOT ("ba-1-a", "ba-1", "127.4.0.1")                                \
              SLOT ("ba-1-b", "ba-1", "127.4.0.2") "keeper = yes\n"
#define CALLER(name, home)                                                    \
  "[caller " name "]\ntoken = " name "-0123456789abcdef\nhome = " home        \
  "\nrate = 5\n"

START_TEST (reads_files_as_one_configuration)
{
  static const char *const texts[] = {
    SITES,
    "[model chat]\nregions = ba\ndecode_rate = 12.5\ncopies = 2\n"
    "[service flip]\ndeadline_ms = 800\n"
    "[upstream-class lm]\nkind = engine\nworks = chat\nfences = yes\n" CALLER (
        "hotel", "ba") "burst = 9\n" CALLER ("desk", "ke"),
    NULL
  };
  marjoram_config *config = create_config (texts, NULL);
  const struct marjoram_zone *zone;
  int chat;

  ck_assert_ptr_nonnull (config);
  ck_assert_uint_eq (marjoram_config_number (config), 7);
  ck_assert_str_eq (marjoram_config_cluster (config), "t");
  /* Slots are grouped by zone and sorted by name.  */
  zone = marjoram_config_zone (config,
                               marjoram_config_find_zone (config, "ba-1"));
  ck_assert_int_eq (zone->slot_count, 3);
  for (int i = 0; i < 3; i++)
    {
      const struct marjoram_slot *slot
          = marjoram_config_slot (config, zone->first_slot + i);
      const char *const names[] = { "ba-1-a", "ba-1-b", "ba-1-c" };

      ck_assert_str_eq (slot->name, names[i]);
      ck_assert_int_eq (slot->ordinal, i);
      ck_assert_int_eq (slot->keeper, i == 1);
      ck_assert_int_eq (marjoram_config_find_slot (config, names[i]),
                        zone->first_slot + i);
    }
  chat = marjoram_config_find_work (config, "chat");
  ck_assert_int_eq (marjoram_config_work (config, chat)->replicas, 2);
  ck_assert (marjoram_config_work (config, chat)->decode_rate > 12.4);
  ck_assert_uint_eq (marjoram_config_work (config, chat)->allowed, 1);
  ck_assert (marjoram_config_supports_fencing (config, chat));
  ck_assert_str_eq (marjoram_config_work_class (config, chat)->name, "lm");
  ck_assert (!marjoram_config_supports_fencing (
      config, marjoram_config_find_work (config, "flip")));
  ck_assert_int_eq (
      marjoram_config_find_caller_by_token (config, "desk-0123456789abcdef"),
      marjoram_config_find_caller_by_name (config, "desk"));
  ck_assert_int_eq (marjoram_config_find_caller_by_token (config, "desk"), -1);
  ck_assert_uint_eq (marjoram_config_caller (config, 0)->allowed, 3);
  ck_assert (marjoram_config_caller (config, 0)->burst == 5);
  ck_assert (marjoram_config_caller (config, 1)->burst == 9);
  ck_assert_ptr_eq (marjoram_config_retain (config), config);
  marjoram_config_release (config);
  marjoram_config_release (config);
}
END_TEST

/* Files are applied one at a time, so an incomplete set without unresolved
   references must be valid.  */
START_TEST (accepts_incomplete_sets)
{
  static const char *const sets[][FILES_MAX + 1] = {
    { NULL },
    { SITES, NULL },
    { "[model chat]\n", NULL },
    { SITES, CALLER ("hotel", "ba"), NULL },
  };

  for (size_t i = 0; i < sizeof sets / sizeof *sets; i++)
    {
      marjoram_auto_free char *faults = NULL;
      marjoram_config *config = create_config (sets[i], &faults);

      ck_assert_msg (config != NULL, "set %zu: %s", i, faults);
      ck_assert_ptr_null (faults);
      marjoram_config_release (config);
    }
}
END_TEST

/* Line numbers include the three lines of header that make_state adds.  */
static const struct
{
  const char *texts[FILES_MAX];
  const char *faults[4];
} bad_sets[] = {
  { { SITES "[colour red]\n" }, { "a:28: unknown section [colour]; remove" } },
  { { SITES "[file]\nname = a\n" }, { "a:28: duplicate section [file]" } },
  { { SITES "[region b.c]\n" },
    { "a:28: [region b.c] has an invalid name",
      "region \"b.c\" has no avail" } },
  { { REGIONS "[region ba]\n" ZONES },
    { "a:6: the name ba of ba is already used at a:4",
      "zone \"ba-1\" has no slot", "zone \"ke-1\" has no slot",
      "region \"ba\" has no availability zone" } },
  { { SITES, "[cluster u]\n" },
    { "b:4: 2 sections of kind cluster; at most 1 are" } },
  { { REGIONS ZONES SLOT ("s", "ba-1", "1.1.1.1")
          SLOT ("t", "ke-1", "1.1.1.2") },
    { "a: there are slots but no cluster" } },
  { { SITES SLOT ("x", "za-1", "1.1.1.1") },
    { "a:28: zone of \"x\" names zone \"za-1\", which is not defined; "
      "correct" } },
  { { SITES SLOT ("x", "ke-1", "127.4.0.2") },
    { "the address 127.4.0.2:7000 of x is already used at a:23",
      "the address 127.4.0.2:8080 of x" } },
  { { SITES SLOT ("ba-1-a", "ke-1", "127.4.0.9") },
    { "the name ba-1-a of ba-1-a is already used at a:19" } },
  { { SITES "[slot x]\nzone = ba-1\npeer = here:1\n" },
    { "a:28: [slot x] needs entry", "a:30: peer can't be \"here:1\"" } },
  { { SITES, "[model chat]\nregions = ba, za\ncopies = -1\nspeed = 1\n" },
    { "b:7: [model] has no key \"speed\"", "b:6: copies can't be",
      "b:4: regions of \"chat\" names region \"za\"" } },
  { { SITES, "[service chat]\nload_ms = 1\n[model chat]\n" },
    { "b:5: [service] has no key \"load_ms\"",
      "b:6: the name chat of chat is already used at b:4" } },
  { { "[model m]\n[service s]\n[upstream-class c]\nkind = engine\nworks = m, s"
      ", t\n[upstream-class d]\nkind = service\nworks = m\nfences = yes\n" },
    { "a:6: upstream-class \"c\" and its work \"s\" differ in kind",
      "a:6: works of \"c\" names model \"t\"",
      "a:9: upstream-class \"d\" is a service but has fences",
      "a:9: upstream-class \"d\" and its work \"m\" differ" } },
  { { "[model m]\n[upstream-class c]\nkind = engine\nworks = m\n"
      "[upstream-class d]\nkind = engine\nworks = m\n" },
    { "a:8: work \"m\" is already in another upstream-class" } },
  { { SITES, CALLER ("x", "ba") "[caller y]\ntoken = x-0123456789abcdef\n"
                                "home = ke\nrate = 1\n" },
    { "b:8: the token (not shown) of y is already used at b:4 for x" } },
  { { SITES, "[caller y]\ntoken = short\nhome = za\nrate = 0\n" },
    { "b:5: token can't be", "b:7: rate can't be",
      "b:4: home of \"y\" names region \"za\"" } },
  { { SITES, CALLER ("x", "ba") "regions = ke\n" },
    { "b:4: home \"ba\" of caller \"x\" is not among its" } },
  { { SITES, CALLER ("x", "ba") "regions = ba\n"
                                "[residency r]\nregions = ke\n" },
    { "b:9: residency rule \"r\" leaves caller \"x\" no region" } },
  { { SITES "[model m]\nregions = ba\n",
      CALLER ("x", "ba") "[residency r]\ncallers = x\nworks = m\nregions = ke"
                         "\n" },
    { "b:8: residency rule \"r\" leaves caller \"x\" no region" } },
  { { SITES "[residency r]\ncallers = nobody\nworks = nothing\nregions = ba\n"
            "[residency s]\n" },
    { "a:28: callers of \"r\" names caller \"nobody\"",
      "a:28: works of \"r\" names model \"nothing\"",
      "a:32: [residency s] needs regions" } },
};

START_TEST (lists_every_fault_of_a_set)
{
  marjoram_auto_free char *faults = NULL;
  const char *const *texts = bad_sets[_i].texts;
  size_t expected = 0;
  size_t lines = 0;

  ck_assert_ptr_null (create_config (texts, &faults));
  for (; expected < 4 && bad_sets[_i].faults[expected]; expected++)
    ck_assert_msg (strstr (faults, bad_sets[_i].faults[expected]) != NULL,
                   "expected %s, got %s", bad_sets[_i].faults[expected],
                   faults);
  for (const char *at = faults; (at = strchr (at, '\n')); at++)
    lines++;
  ck_assert_msg (lines == expected, "expected %zu errors, got %s", expected,
                 faults);
}
END_TEST

START_TEST (checks_name_and_version_of_a_file)
{
  marjoram_auto_free char *faults = NULL;
  static const char *const texts[] = { SITES, NULL };
  struct marjoram_state *state = make_state (texts);
  struct marjoram_file *file = state->files.items;

  file->version = 2;
  file->name[0] = 'z';
  ck_assert_ptr_null (marjoram_config_create (state, &faults, NULL));
  ck_assert_ptr_nonnull (strstr (faults, "z:2: the file is named \"a\""));
  ck_assert_ptr_nonnull (strstr (faults, "z:3: the file has version 1"));
  free (faults);
  free (file->text);
  file->text = marjoram_strdup ("[cluster t]\n");
  ck_assert_ptr_null (marjoram_config_create (state, &faults, NULL));
  ck_assert_ptr_nonnull (
      strstr (faults, "z: the first section is not [file]"));
  marjoram_state_destroy (state);
}
END_TEST

START_TEST (rejects_too_many_keepers_and_slots)
{
  marjoram_auto_free char *faults = NULL;
  marjoram_auto_free char *text = marjoram_alloc (8192);
  const char *texts[2] = { text, NULL };
  size_t used = 0;

  used += (size_t)sprintf (text, "[cluster t]\n[region r]\n[zone z]\n"
                                 "region = r\n");
  for (int i = 0; i < 65; i++)
    used += (size_t)sprintf (text + used,
                             "[slot s%02d]\nzone = z\npeer = 1.1.1.%d:1\n"
                             "entry = 1.1.1.%d:2\nkeeper = %s\n",
                             i, i, i, i < 8 ? "yes" : "no");
  ck_assert_ptr_null (create_config (texts, &faults));
  ck_assert_ptr_nonnull (strstr (faults, "slot \"s07\" is the eighth keeper"));
  ck_assert_ptr_nonnull (strstr (faults, "zone \"z\" has 65 slots; at most"));
}
END_TEST

enum
{
  REGION_COUNT = 4,
  CALLER_COUNT = 6,
  WORK_COUNT = 3,
  RULE_COUNT = 4
};

/* Appends a random region list that includes r0 to TEXT and returns its mask.
 */
static unsigned
random_regions (marjoram_random *random, char *text)
{
  unsigned set = 1;

  sprintf (text + strlen (text), "regions = r0");
  for (unsigned i = 1; i < REGION_COUNT; i++)
    if (marjoram_random_below (random, 2))
      {
        set |= 1U << i;
        sprintf (text + strlen (text), ", r%u", i);
      }
  sprintf (text + strlen (text), "\n");
  return set;
}

/* Appends a random list of COUNT possible names to TEXT, or nothing for all,
   and returns its mask.  */
static unsigned
random_names (marjoram_random *random, char *text, const char *key,
              char letter, unsigned count)
{
  unsigned set = 0;

  if (marjoram_random_below (random, 3) == 0)
    return (1U << count) - 1;
  sprintf (text + strlen (text), "%s = ", key);
  for (unsigned i = 0; i < count; i++)
    if (marjoram_random_below (random, 2) || (i == count - 1 && !set))
      {
        sprintf (text + strlen (text), "%s%c%u", set ? ", " : "", letter, i);
        set |= 1U << i;
      }
  sprintf (text + strlen (text), "\n");
  return set;
}

/* Guards against ignoring one of several matching rules: the allowed regions
   of every caller and work must be the intersection of all that apply.  */
START_TEST (intersects_all_matching_rules)
{
  marjoram_random *random = marjoram_random_create ((uint64_t)_i);
  char text[8192] = "[cluster t]\n";
  const char *texts[2] = { text, NULL };
  unsigned caller_sets[CALLER_COUNT];
  unsigned work_sets[WORK_COUNT];
  unsigned rules[RULE_COUNT][3];
  marjoram_auto_free char *faults = NULL;
  marjoram_config *config;

  for (int i = 0; i < REGION_COUNT; i++)
    sprintf (text + strlen (text),
             "[region r%d]\n[zone z%d]\nregion = r%d\n[slot s%d]\nzone = z%d\n"
             "peer = 1.1.1.1:%d\nentry = 1.1.1.2:%d\n",
             i, i, i, i, i, i + 1, i + 1);
  for (int i = 0; i < CALLER_COUNT; i++)
    {
      sprintf (text + strlen (text),
               "[caller c%d]\ntoken = 0123456789abcdef%d\nhome = r0\nrate = "
               "1\n",
               i, i);
      caller_sets[i] = random_regions (random, text);
    }
  for (int i = 0; i < WORK_COUNT; i++)
    {
      sprintf (text + strlen (text), "[model w%d]\n", i);
      work_sets[i] = random_regions (random, text);
    }
  for (int i = 0; i < RULE_COUNT; i++)
    {
      sprintf (text + strlen (text), "[residency q%d]\n", i);
      rules[i][0] = random_names (random, text, "callers", 'c', CALLER_COUNT);
      rules[i][1] = random_names (random, text, "works", 'w', WORK_COUNT);
      rules[i][2] = random_regions (random, text);
    }
  config = create_config (texts, &faults);
  ck_assert_msg (config != NULL, "%s", faults);
  for (int c = 0; c < CALLER_COUNT; c++)
    for (int w = 0; w < WORK_COUNT; w++)
      {
        unsigned expected = caller_sets[c] & work_sets[w];

        for (int i = 0; i < RULE_COUNT; i++)
          if (rules[i][0] >> c & rules[i][1] >> w & 1)
            expected &= rules[i][2];
        ck_assert_uint_eq (marjoram_config_allowed (config, c, w), expected);
      }
  marjoram_config_release (config);
  marjoram_random_destroy (random);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("config");
  TCase *c = tcase_create ("config");

  tcase_add_test (c, reads_files_as_one_configuration);
  tcase_add_test (c, accepts_incomplete_sets);
  tcase_add_loop_test (c, lists_every_fault_of_a_set, 0,
                       sizeof bad_sets / sizeof *bad_sets);
  tcase_add_test (c, checks_name_and_version_of_a_file);
  tcase_add_test (c, rejects_too_many_keepers_and_slots);
  tcase_add_loop_test (c, intersects_all_matching_rules, 0, SEED_COUNT);
  suite_add_tcase (s, c);
  return s;
}
