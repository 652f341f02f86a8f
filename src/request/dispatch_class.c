#include "request/dispatch_class.h"

uint64_t
kq_dispatch_class (KqStr method, KqStr path)
{
  uint64_t h = kq_str_hash (method);
  int segments = 0;
  path = kq_str_cut (&path, '?');
  while (path.len > 0 && segments < 2)
    {
      KqStr segment = kq_str_cut (&path, '/');
      bool is_id = false;
      for (size_t i = 0; i < segment.len; i++)
        is_id = is_id || (segment.ptr[i] >= '0' && segment.ptr[i] <= '9');
      if (segment.len == 0 || is_id)
        continue;
      h = kq_hash2 (h, kq_str_hash (segment));
      segments++;
    }
  return h;
}

uint64_t
kq_dispatch_key (KqStr path)
{
  uint64_t h = kq_str_hash (kq_str_cut (&path, '?'));
  return h != 0 ? h : 1;
}
