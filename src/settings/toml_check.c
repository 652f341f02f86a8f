#include "settings/toml_check.h"

#define NOT_ASCII 0x80

/* The line without its comment: a '#' within a string opens none. */
static KqStr
before_comment (KqStr line)
{
  char quote = '\0'; /* that opened the string which i is in */
  for (size_t i = 0; i < line.len; i++)
    {
      char c = line.ptr[i];
      if (quote == '\0' && c == '#')
        return kq_str_n (line.ptr, i);
      if (quote == '\0' && (c == '"' || c == '\''))
        quote = c;
      else if (c == quote)
        quote = '\0';
      else if (quote == '"' && c == '\\')
        i++;
    }
  return line;
}

/* What stands wrong in one line, or NULL. */
static const char *
check_line (KqStr line)
{
  KqStr before = kq_str_trim (line);
  KqStr rest;
  if (kq_str_has_prefix (before, KQ_STR ("#")))
    return NULL;
  for (size_t i = 0; i < line.len; i++)
    {
      rest = kq_str_n (line.ptr + i, line.len - i);
      if (kq_str_has_prefix (rest, KQ_STR ("\"\"\""))
          || kq_str_has_prefix (rest, KQ_STR ("'''")))
        return "strings of several lines are not taken";
    }
  before = before_comment (line);
  for (size_t i = 0; i < before.len; i++)
    {
      if ((uint8_t)before.ptr[i] >= NOT_ASCII)
        return "only comments may hold letters beyond ASCII";
    }
  return NULL;
}

int
kq_toml_check (KqStr text, const char **why)
{
  /* A byte order mark may open the file. */
  KqStr mark = KQ_STR ("\xef\xbb\xbf");
  if (kq_str_has_prefix (text, mark))
    text = kq_str_n (text.ptr + mark.len, text.len - mark.len);
  for (int line = 1; text.len > 0; line++)
    {
      *why = check_line (kq_str_cut (&text, '\n'));
      if (*why != NULL)
        return line;
    }
  return 0;
}
