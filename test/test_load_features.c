/* Tests which deployments get the optional decisions under load: those whose
   settings or configuration ask for them, and no others.  */
#include "suite.h"

#include "load_features.h"
#include "platform.h"

static struct marjoram_load_features
features_with_gap (int64_t gap_ms, bool stream)
{
  struct marjoram_route_rule route = { .stream = stream, .gap_ms = gap_ms };
  const struct marjoram_route_table table = { .routes = { &route, 1 } };

  return marjoram_load_features_of_table (&table);
}

static bool
is_any (const struct marjoram_load_features *features)
{
  return features->share_room || features->check_upstreams
         || features->measured_waits || features->balance_regions;
}

START_TEST (other_configurations_enable_nothing)
{
  const struct marjoram_load_features features[]
      = { features_with_gap (600, true), features_with_gap (0, true),
          features_with_gap (400, false) };

  for (size_t i = 0; i < sizeof features / sizeof *features; i++)
    ck_assert_msg (!is_any (&features[i]), "case %zu", i);
}
END_TEST

START_TEST (short_gaps_enable_checks_of_upstreams)
{
  const struct marjoram_load_features features = features_with_gap (500, true);

  ck_assert (features.check_upstreams);
  ck_assert (!features.share_room && !features.measured_waits
             && !features.balance_regions);
}
END_TEST

START_TEST (only_the_term_pressure_enables_all)
{
  static const char *const others[] = { "base", "quota", "tenants", "" };
  const struct marjoram_dialect_ops *ops = marjoram_platform_dialect ()->ops;
  struct marjoram_load_features features = { 0 };

  for (size_t i = 0; i < sizeof others / sizeof *others; i++)
    ops->read_term (others[i], &features);
  ck_assert (!is_any (&features));
  ops->read_term ("pressure", &features);
  ck_assert (features.share_room && features.check_upstreams
             && features.measured_waits && features.balance_regions);
}
END_TEST

START_TEST (enabled_features_stay_enabled)
{
  struct marjoram_load_features features = { .share_room = true };
  const struct marjoram_load_features more = { .balance_regions = true };

  marjoram_load_features_add (&features, &more);
  ck_assert (features.share_room && features.balance_regions);
  ck_assert (!features.measured_waits);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("load_features");
  TCase *c = tcase_create ("load_features");

  tcase_add_test (c, other_configurations_enable_nothing);
  tcase_add_test (c, short_gaps_enable_checks_of_upstreams);
  tcase_add_test (c, only_the_term_pressure_enables_all);
  tcase_add_test (c, enabled_features_stay_enabled);
  suite_add_tcase (s, c);
  return s;
}
