#include "wire/pack.h"

#include "wire/pack_check.h"

#include <string.h>

static int
write_bytes (void *data, const char *bytes, size_t len)
{
  kq_buf_add (data, bytes, len);
  return 0;
}

void
kq_packer_init (KqPacker *p, KqBuf *out)
{
  msgpack_packer_init (&p->packer, out, write_bytes);
}

void
kq_pack_array (KqPacker *p, size_t n)
{
  msgpack_pack_array (&p->packer, n);
}

void
kq_pack_u64 (KqPacker *p, uint64_t v)
{
  msgpack_pack_uint64 (&p->packer, v);
}

void
kq_pack_i64 (KqPacker *p, int64_t v)
{
  msgpack_pack_int64 (&p->packer, v);
}

void
kq_pack_bool (KqPacker *p, bool v)
{
  if (v)
    msgpack_pack_true (&p->packer);
  else
    msgpack_pack_false (&p->packer);
}

void
kq_pack_double (KqPacker *p, double v)
{
  msgpack_pack_double (&p->packer, v);
}

void
kq_pack_str (KqPacker *p, KqStr s)
{
  msgpack_pack_str (&p->packer, s.len);
  if (s.len > 0)
    msgpack_pack_str_body (&p->packer, s.ptr, s.len);
}

void
kq_pack_name (KqPacker *p, const KqName *n)
{
  kq_pack_str (p, kq_name_str (n));
}

bool
kq_unpacked_open (KqUnpacked *u, KqStr data, KqReader *r)
{
  size_t off = 0;
  if (!kq_pack_counts_fit (data))
    return false;
  msgpack_unpacked_init (&u->object);
  if (msgpack_unpack_next (&u->object, data.ptr, data.len, &off) != MSGPACK_UNPACK_SUCCESS
      || off != data.len || u->object.data.type != MSGPACK_OBJECT_ARRAY)
    {
      msgpack_unpacked_destroy (&u->object);
      return false;
    }
  r->at = u->object.data.via.array.ptr;
  r->left = u->object.data.via.array.size;
  r->bad = false;
  return true;
}

void
kq_unpacked_close (KqUnpacked *u)
{
  msgpack_unpacked_destroy (&u->object);
}

/* Returns the next element; NULL, with `bad` set, if there is none. */
static const msgpack_object *
next (KqReader *r)
{
  if (r->bad || r->left == 0)
    {
      r->bad = true;
      return NULL;
    }
  r->left--;
  return r->at++;
}

uint64_t
kq_read_u64 (KqReader *r)
{
  const msgpack_object *o = next (r);
  if (o == NULL)
    return 0;
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    {
      r->bad = true;
      return 0;
    }
  return o->via.u64;
}

int64_t
kq_read_i64 (KqReader *r)
{
  const msgpack_object *o = next (r);
  if (o == NULL)
    return 0;
  if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return o->via.i64;
  if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= INT64_MAX)
    return (int64_t)o->via.u64;
  r->bad = true;
  return 0;
}

bool
kq_read_bool (KqReader *r)
{
  const msgpack_object *o = next (r);
  if (o == NULL)
    return false;
  if (o->type != MSGPACK_OBJECT_BOOLEAN)
    r->bad = true;
  return !r->bad && o->via.boolean;
}

double
kq_read_double (KqReader *r)
{
  const msgpack_object *o = next (r);
  if (o == NULL)
    return 0;
  if (o->type == MSGPACK_OBJECT_FLOAT64 || o->type == MSGPACK_OBJECT_FLOAT32)
    return o->via.f64;
  r->bad = true;
  return 0;
}

KqStr
kq_read_str (KqReader *r)
{
  const msgpack_object *o = next (r);
  if (o == NULL)
    return kq_str ("");
  if (o->type != MSGPACK_OBJECT_STR)
    {
      r->bad = true;
      return kq_str ("");
    }
  return kq_str_n (o->via.str.ptr, o->via.str.size);
}

KqName
kq_read_name (KqReader *r)
{
  KqStr s = kq_read_str (r);
  if (s.len > KQ_NAME_MAX)
    {
      r->bad = true;
      return (KqName){ 0 };
    }
  return kq_name (s);
}

void
kq_read_array (KqReader *r, KqReader *sub)
{
  const msgpack_object *o = next (r);
  *sub = (KqReader){ 0 };
  if (o == NULL)
    return;
  if (o->type != MSGPACK_OBJECT_ARRAY)
    {
      r->bad = true;
      return;
    }
  sub->at = o->via.array.ptr;
  sub->left = o->via.array.size;
}

void
kq_read_array_end (KqReader *r, const KqReader *sub)
{
  if (sub->bad)
    r->bad = true;
}
