/* Filtering and size limits of forwarded headers.  */
#include "suite.h"

#include "frame.h"
#include "header.h"

#include <event2/http.h>
#include <string.h>
#include <sys/queue.h>

static struct evkeyvalq headers;

static void
setup (void)
{
  TAILQ_INIT (&headers);
}

static void
teardown (void)
{
  evhttp_clear_headers (&headers);
}

/* Internal headers, Authorization and headers of the connection must not reach
   an upstream.  */
START_TEST (internal_headers_are_not_forwarded)
{
  static const char *const not_forwarded[] = { "authorization",
                                               "Marjoram-Priority",
                                               "marjoram-outcome",
                                               "Transfer-Encoding",
                                               "Content-Length",
                                               "Idempotency-Key",
                                               "Host" };

  for (size_t i = 0; i < sizeof not_forwarded / sizeof *not_forwarded; i++)
    ck_assert (!marjoram_header_is_forwarded (not_forwarded[i]));
  ck_assert (marjoram_header_is_forwarded ("Content-Type"));
  ck_assert (marjoram_header_is_forwarded ("X-Marjoram"));
}
END_TEST

/* A message with a header above the limit is not sent to other hosts, so
   oversized headers must be detected before.  */
START_TEST (oversized_header_does_not_fit)
{
  char value[MARJORAM_HEADER_VALUE_MAX + 2];

  memset (value, 'x', sizeof value);
  value[MARJORAM_HEADER_VALUE_MAX] = 0;
  evhttp_add_header (&headers, "Fits", value);
  ck_assert (marjoram_headers_fit_frame (&headers));
  value[MARJORAM_HEADER_VALUE_MAX] = 'x';
  value[MARJORAM_HEADER_VALUE_MAX + 1] = 0;
  evhttp_add_header (&headers, "Too-Long", value);
  ck_assert (!marjoram_headers_fit_frame (&headers));
}
END_TEST

START_TEST (too_many_headers_do_not_fit)
{
  for (int i = 0; i < MARJORAM_HEADERS_MAX; i++)
    evhttp_add_header (&headers, "One", "more");
  ck_assert (marjoram_headers_fit_frame (&headers));
  ck_assert_uint_eq (marjoram_header_count (&headers, "one", NULL),
                     MARJORAM_HEADERS_MAX);
  evhttp_add_header (&headers, "One", "more");
  ck_assert (!marjoram_headers_fit_frame (&headers));
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("header");
  TCase *c = tcase_create ("header");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, internal_headers_are_not_forwarded);
  tcase_add_test (c, oversized_header_does_not_fit);
  tcase_add_test (c, too_many_headers_do_not_fit);
  suite_add_tcase (s, c);
  return s;
}
