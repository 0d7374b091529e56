/* Log to standard error.  Each line has a syslog priority prefix ("<6>"), a
   timestamp, the program and slot, and the message.  */
#ifndef MARJORAM_LOG_H
#define MARJORAM_LOG_H

/* Values are those of syslog.h.  */
enum marjoram_log_level
{
  MARJORAM_LOG_ERROR = 3,
  MARJORAM_LOG_WARNING = 4,
  MARJORAM_LOG_NOTICE = 5,
  MARJORAM_LOG_INFO = 6,
  MARJORAM_LOG_DEBUG = 7
};

/* NAME identifies the process in each line, for example "marjoramd ba-1".  */
void marjoram_log_open (const char *name, enum marjoram_log_level level);
void marjoram_log_set_level (enum marjoram_log_level level);
/* Returns -1 for an unknown level.  */
int marjoram_log_level_parse (const char *word);
void marjoram_log (enum marjoram_log_level level, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
