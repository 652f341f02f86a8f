#include "fleet/keys.h"

#include <string.h>

KqStr
kq_key_of (const char *prefix, KqStr id)
{
  KqBuf b = { 0 };
  kq_buf_printf (&b, "%s%.*s", prefix, KQ_STR_ARG (id));
  return kq_buf_str (&b);
}

KqStr
kq_key_id (KqStr key, const char *prefix)
{
  size_t n = strlen (prefix);
  if (!kq_str_has_prefix (key, kq_str (prefix)))
    return KQ_STR ("");
  return kq_str_n (key.ptr + n, key.len - n);
}
