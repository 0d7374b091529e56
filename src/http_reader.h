/* Reads HTTP/1.1 messages off a byte stream with the parser library, for both
   ends of a connection: gathers the head, hands the body on as it comes.  */
#ifndef MARJORAM_HTTP_READER_H
#define MARJORAM_HTTP_READER_H

#include "header_list.h"

#include <event2/buffer.h>
#include <http_parser.h>

typedef struct marjoram_http_reader marjoram_http_reader;

enum marjoram_http_fault
{
  MARJORAM_HTTP_FINE,
  MARJORAM_HTTP_MALFORMED,
  MARJORAM_HTTP_HEAD_TOO_LARGE,
  MARJORAM_HTTP_STOPPED /* an operation asked to stop reading */
};

/* Each returns whether to go on reading.  */
struct marjoram_http_reader_ops
{
  /* The head is whole; SKIP_BODY is to be set for an answer that has none
     whatever its headers say (to HEAD).  */
  bool (*head) (void *context, bool *skip_body);
  bool (*body) (void *context, const char *data, size_t size);
  bool (*complete) (void *context);
};

marjoram_http_reader *
marjoram_http_reader_create (enum http_parser_type type,
                             const struct marjoram_http_reader_ops *ops,
                             void *context);
void marjoram_http_reader_destroy (marjoram_http_reader *reader);
/* Bytes of a head above which it is refused.  */
void marjoram_http_reader_set_limit (marjoram_http_reader *reader,
                                     size_t limit);
/* Reads and drains INPUT until it is empty, a fault, or an operation stops
   it; reading goes on with the next call.  */
enum marjoram_http_fault
marjoram_http_reader_feed (marjoram_http_reader *reader,
                           struct evbuffer *input);
/* The stream has ended in order; may complete a message without a length.  */
enum marjoram_http_fault
marjoram_http_reader_finish (marjoram_http_reader *reader);

/* Of the message whose head was read last.  */
const struct http_parser *
marjoram_http_reader_parser (const marjoram_http_reader *reader);
const char *marjoram_http_reader_target (const marjoram_http_reader *reader);
struct marjoram_header_list *
marjoram_http_reader_headers (marjoram_http_reader *reader);
/* Whether the body ends with the connection.  */
bool
marjoram_http_reader_ends_with_stream (const marjoram_http_reader *reader);

#endif
