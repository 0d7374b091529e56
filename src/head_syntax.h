/* Incremental check of the first line and the header section of HTTP/1.1
   messages (RFC 9112, sections 4 and 5).  The parsers in use accept lines that
   others read in another way, such as names with blanks.  */
#ifndef MARJORAM_HEAD_SYNTAX_H
#define MARJORAM_HEAD_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>

enum marjoram_head_state
{
  MARJORAM_HEAD_START,
  MARJORAM_HEAD_REQUEST_LINE,
  MARJORAM_HEAD_STATUS_LINE, /* up to the status */
  MARJORAM_HEAD_STATUS_END,
  MARJORAM_HEAD_REASON,
  MARJORAM_HEAD_LINE, /* before the first byte of a field */
  MARJORAM_HEAD_NAME,
  MARJORAM_HEAD_VALUE,
  MARJORAM_HEAD_LINE_FEED, /* after the CR of a line */
  MARJORAM_HEAD_LAST_LINE_FEED,
  MARJORAM_HEAD_END,
  MARJORAM_HEAD_INVALID
};

/* To be changed only by the functions below.  */
struct marjoram_head_syntax
{
  enum marjoram_head_state state;
  bool is_response;
  size_t position; /* in the status line */
  int status;      /* of a response; 0 before it has been read */
};

/* Prepares SYNTAX for the next message.  */
void marjoram_head_syntax_start (struct marjoram_head_syntax *syntax,
                                 bool is_response);
/* Checks DATA up to the end of the header section or the first byte that is
   invalid.  Returns the number of bytes that are valid.  Of a request line
   only the end is looked for.  */
size_t marjoram_head_syntax_feed (struct marjoram_head_syntax *syntax,
                                  const char *data, size_t size);

#endif
