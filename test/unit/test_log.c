#include "common/log.h"
#include "suites.h"
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  MAX_LINE_BYTES = 8192,
  LONG_TEXT_BYTES = 4000, /* more than a message may have */
};

/* Returns the message that is logged for TEXT, as a new reference to the line,
   or NULL if there is no valid line.  */
static json_t *
log_and_parse (const char *text)
{
  char line[MAX_LINE_BYTES] = "";
  int pipe_fds[2];
  int saved_fd = dup (STDOUT_FILENO);
  ssize_t len;

  CU_ASSERT_EQUAL_FATAL (pipe (pipe_fds), 0);
  fflush (stdout);
  dup2 (pipe_fds[1], STDOUT_FILENO);
  log_write (LOG_ERROR, "test", NULL, "%s", text);
  dup2 (saved_fd, STDOUT_FILENO);
  close (saved_fd);
  close (pipe_fds[1]);
  len = read (pipe_fds[0], line, sizeof line);
  close (pipe_fds[0]);
  return len > 0 ? json_loadb (line, (size_t)len, 0, NULL) : NULL;
}

static void
check_is_logged (const char *text, const char *start)
{
  json_t *line = log_and_parse (text);
  const char *message = json_string_value (json_object_get (line, "message"));

  CU_ASSERT_PTR_NOT_NULL_FATAL (message);
  CU_ASSERT_EQUAL (strncmp (message, start, strlen (start)), 0);
  json_decref (line);
}

/* Guards against errors that are lost because their message quotes bytes that
   are not UTF-8, or is cut inside of a character.  */
static void
test_messages_that_are_not_utf8 (void)
{
  char text[LONG_TEXT_BYTES + 1];

  check_is_logged ("plain", "plain");
  check_is_logged ("name \xff\xfe ends", "name ");
  for (size_t offset = 0; offset < 2; offset++)
    {
      memset (text, 'a', offset);
      for (size_t i = offset; i + 1 < sizeof text; i += 2)
        memcpy (text + i, "\xc3\xa9", 2);
      text[LONG_TEXT_BYTES] = '\0';
      check_is_logged (text, offset ? "a\xc3\xa9" : "\xc3\xa9\xc3\xa9");
    }
}

CU_TestInfo log_tests[] = {
  { "messages that are not UTF-8", test_messages_that_are_not_utf8 },
  CU_TEST_INFO_NULL,
};
