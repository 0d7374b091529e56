/* Incremental HTTP/1.1 message reader on top of http_parser, for requests and
   responses.  Buffers the header section and passes on the body in chunks.  */
#ifndef MARJORAM_HTTP_READER_H
#define MARJORAM_HTTP_READER_H

#include "header_list.h"

#include <event2/buffer.h>
#include <http_parser.h>

typedef struct marjoram_http_reader marjoram_http_reader;

enum marjoram_http_read_result
{
  MARJORAM_HTTP_READ_OK,
  MARJORAM_HTTP_MALFORMED,
  MARJORAM_HTTP_HEAD_TOO_LARGE,
  MARJORAM_HTTP_STOPPED /* a callback returned false */
};

/* Each callback returns whether to continue reading.  */
struct marjoram_http_reader_ops
{
  /* Called after the header section.  Set SKIP_BODY for a response that has no
     body regardless of its headers (to a HEAD request).  */
  bool (*head) (void *context, bool *skip_body);
  bool (*body) (void *context, const char *data, size_t size);
  bool (*complete) (void *context);
};

marjoram_http_reader *
marjoram_http_reader_create (enum http_parser_type type,
                             const struct marjoram_http_reader_ops *ops,
                             void *context);
void marjoram_http_reader_destroy (marjoram_http_reader *reader);
/* Sets the maximum size of the header section in bytes.  */
void marjoram_http_reader_set_limit (marjoram_http_reader *reader,
                                     size_t limit);
/* Parses and drains INPUT until it is empty, an error occurs or a callback
   returns false.  Parsing resumes with the next call.  */
enum marjoram_http_read_result
marjoram_http_reader_feed (marjoram_http_reader *reader,
                           struct evbuffer *input);
/* Signals end of stream, which completes a message without a length.  */
enum marjoram_http_read_result
marjoram_http_reader_finish (marjoram_http_reader *reader);

/* These refer to the message whose header section was read last.  */
const struct http_parser *
marjoram_http_reader_parser (const marjoram_http_reader *reader);
const char *marjoram_http_reader_target (const marjoram_http_reader *reader);
struct marjoram_header_list *
marjoram_http_reader_headers (marjoram_http_reader *reader);
/* Whether the body is delimited by the end of the connection.  */
bool
marjoram_http_reader_is_close_delimited (const marjoram_http_reader *reader);

#endif
