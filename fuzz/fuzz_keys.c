#include "fuzz.h"

#include "fleet/key_log.h"

/* A value that changes may refer to. */
#define BASE_REVISION 1
#define BASE_VALUE "{\"version\":1,\"routes\":[{\"name\":\"q1\",\"priority\":0}]}"

/* A change of a key as a leader relays it: a byte that says whether it refers to the
 * base, then the compressed value. */
void
kq_fuzz_keys (KqStr data)
{
  KqKeyLog *l = kq_key_log_new ();
  KqKvItem base = { .key = KQ_STR ("a/key"),
                    .revision = BASE_REVISION,
                    .value = KQ_STR (BASE_VALUE) };
  KqKeyChange c = { .key = base.key, .revision = BASE_REVISION + 1 };
  KqBuf value = { 0 };
  kq_key_log_add (l, &base);
  if (data.len > 0)
    {
      c.base = data.ptr[0] % 2 != 0 ? BASE_REVISION : 0;
      c.data = kq_str_n (data.ptr + 1, data.len - 1);
    }
  if (kq_key_log_decode (l, &c, &value) != KQ_OK)
    kq_fuzz_check (value.len == 0, "a change that is refused gives no value");
  kq_fuzz_check (value.len <= KQ_KV_VALUE_MAX, "a value is no larger than the store's");
  kq_buf_free (&value);
  kq_key_log_free (l);
}
