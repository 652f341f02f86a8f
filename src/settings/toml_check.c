#include "settings/toml_check.h"

#define NON_ASCII_MIN 0x80

/* The line without its comment. A '#' within a string starts no comment. */
static KqStr
without_comment (KqStr line)
{
  char quote = '\0'; /* the opening quote of the string around i; '\0': outside */
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

/* What is wrong with a line, or NULL. */
static const char *
check_line (KqStr line)
{
  KqStr content = kq_str_trim (line);
  KqStr rest;
  if (kq_str_has_prefix (content, KQ_STR ("#")))
    return NULL;
  for (size_t i = 0; i < line.len; i++)
    {
      rest = kq_str_n (line.ptr + i, line.len - i);
      if (kq_str_has_prefix (rest, KQ_STR ("\"\"\""))
          || kq_str_has_prefix (rest, KQ_STR ("'''")))
        return "multi-line strings are not supported";
    }
  content = without_comment (line);
  for (size_t i = 0; i < content.len; i++)
    {
      if ((uint8_t)content.ptr[i] >= NON_ASCII_MIN)
        return "only comments may contain non-ASCII characters";
    }
  return NULL;
}

int
kq_toml_check (KqStr text, const char **why)
{
  /* The file may begin with a byte order mark. */
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
