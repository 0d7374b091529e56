#include "head_syntax.h"

#include <string.h>

enum
{
  DELETE = 0x7f,
  DECIMAL = 10
};

/* 'd' stands for a digit and 's' for the first digit of the status.  */
static const char status_line[] = "HTTP/1.d sdd";

void
marjoram_head_syntax_start (struct marjoram_head_syntax *syntax,
                            bool is_response)
{
  memset (syntax, 0, sizeof *syntax);
  syntax->is_response = is_response;
}

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

/* Whether C may be part of a field's name.  */
static bool
is_token (char c)
{
  return is_digit (c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c));
}

/* Whether C may be part of a field's value or a reason.  */
static bool
is_text (char c)
{
  return c == '\t' || ((unsigned char)c >= ' ' && c != DELETE);
}

static bool
is_expected (char expected, char c)
{
  switch (expected)
    {
    case 'd':
      return is_digit (c);
    case 's':
      return c >= '1' && c <= '5';
    default:
      return c == expected;
    }
}

static enum marjoram_head_state
read_status_line (struct marjoram_head_syntax *syntax, char c)
{
  const char expected = status_line[syntax->position];

  if (!is_expected (expected, c))
    return MARJORAM_HEAD_INVALID;
  if (expected == 's' || syntax->status > 0)
    syntax->status = DECIMAL * syntax->status + (c - '0');
  syntax->position++;
  return status_line[syntax->position] ? MARJORAM_HEAD_STATUS_LINE
                                       : MARJORAM_HEAD_STATUS_END;
}

/* Empty lines before a message are allowed.  */
static enum marjoram_head_state
read_start (struct marjoram_head_syntax *syntax, char c)
{
  if (c == '\r' || c == '\n')
    return MARJORAM_HEAD_START;
  return syntax->is_response ? read_status_line (syntax, c)
                             : MARJORAM_HEAD_REQUEST_LINE;
}

/* A bare LF ends a line of a request only: in a response, a corrupted CR would
   end the header section early.  */
static bool
is_line_end (const struct marjoram_head_syntax *syntax, char c)
{
  return c == '\n' && !syntax->is_response;
}

/* Reads C, which belongs to a line unless it begins its end.  */
static enum marjoram_head_state
read_line (const struct marjoram_head_syntax *syntax, char c,
           enum marjoram_head_state state)
{
  if (c == '\r')
    return MARJORAM_HEAD_LINE_FEED;
  if (is_line_end (syntax, c))
    return MARJORAM_HEAD_LINE;
  return is_text (c) ? state : MARJORAM_HEAD_INVALID;
}

static enum marjoram_head_state
read_first_of_line (const struct marjoram_head_syntax *syntax, char c)
{
  if (c == '\r')
    return MARJORAM_HEAD_LAST_LINE_FEED;
  if (is_line_end (syntax, c))
    return MARJORAM_HEAD_END;
  return is_token (c) ? MARJORAM_HEAD_NAME : MARJORAM_HEAD_INVALID;
}

static enum marjoram_head_state
read_name (char c)
{
  if (c == ':')
    return MARJORAM_HEAD_VALUE;
  return is_token (c) ? MARJORAM_HEAD_NAME : MARJORAM_HEAD_INVALID;
}

static enum marjoram_head_state
read_byte (struct marjoram_head_syntax *syntax, char c)
{
  switch (syntax->state)
    {
    case MARJORAM_HEAD_START:
      return read_start (syntax, c);
    case MARJORAM_HEAD_REQUEST_LINE:
      return c == '\n' ? MARJORAM_HEAD_LINE : MARJORAM_HEAD_REQUEST_LINE;
    case MARJORAM_HEAD_STATUS_LINE:
      return read_status_line (syntax, c);
    case MARJORAM_HEAD_STATUS_END:
      return c == '\r' || c == ' '
                 ? read_line (syntax, c, MARJORAM_HEAD_REASON)
                 : MARJORAM_HEAD_INVALID;
    case MARJORAM_HEAD_REASON:
    case MARJORAM_HEAD_VALUE:
      return read_line (syntax, c, syntax->state);
    case MARJORAM_HEAD_LINE:
      return read_first_of_line (syntax, c);
    case MARJORAM_HEAD_NAME:
      return read_name (c);
    case MARJORAM_HEAD_LINE_FEED:
      return c == '\n' ? MARJORAM_HEAD_LINE : MARJORAM_HEAD_INVALID;
    case MARJORAM_HEAD_LAST_LINE_FEED:
      return c == '\n' ? MARJORAM_HEAD_END : MARJORAM_HEAD_INVALID;
    default:
      return syntax->state;
    }
}

size_t
marjoram_head_syntax_feed (struct marjoram_head_syntax *syntax,
                           const char *data, size_t size)
{
  size_t used = 0;

  while (used < size && syntax->state != MARJORAM_HEAD_END)
    {
      syntax->state = read_byte (syntax, data[used]);
      if (syntax->state == MARJORAM_HEAD_INVALID)
        break;
      used++;
    }
  return used;
}
