#include "port/hosts.h"

#include "port/json_reader.h"

#include <stdlib.h>
#include <string.h>

/* Limit for each field of a size: more than any host has, and small enough that sums over
 * a fleet stay far below the limit of 64 bits. */
#define SIZE_FIELD_MAX ((int64_t)1 << 40)
#define SLOTS_MAX 100000

void
kq_hosts_free (KqHostList *l)
{
  for (size_t i = 0; i < l->n_hosts; i++)
    {
      KqHost *h = &l->hosts[i];
      free ((char *)h->address.ptr);
      for (size_t k = 0; k < h->n_runners; k++)
        {
          free ((char *)h->runners[k].address.ptr);
          free (h->runners[k].services);
        }
      free (h->runners);
    }
  free (l->hosts);
  *l = (KqHostList){ 0 };
}

static KqName
read_required_name (KqJsonReader *r, const char *key)
{
  KqName n = kq_json_name (r, key);
  r->bad = r->bad || n.len == 0;
  return n;
}

static void
read_services (KqJsonReader *r, KqHostRunner *to)
{
  size_t n;
  const json_t *list = kq_json_array (r, "services", &n);
  to->services = kq_alloc ((n + 1) * sizeof *to->services);
  for (size_t i = 0; i < n; i++)
    {
      const json_t *v = json_array_get (list, i);
      KqStr s = kq_str_n (json_string_value (v), json_string_length (v));
      if (s.ptr == NULL || !kq_name_valid (s))
        r->bad = true;
      else
        to->services[to->n_services++] = kq_name (s);
    }
}

static void
read_runner (KqJsonReader *r, KqHostRunner *to)
{
  to->name = read_required_name (r, "name");
  to->address = kq_str_own (kq_json_str (r, "address"));
  to->slots = (int)kq_json_i64 (r, "slots", 0, SLOTS_MAX);
  to->connections = (int)kq_json_i64 (r, "connections", 0, SLOTS_MAX);
  read_services (r, to);
}

static KqHostState
read_state (KqJsonReader *r)
{
  KqStr s = kq_json_str (r, "state");
  if (kq_str_eq (s, KQ_STR ("live")))
    return KQ_HOST_LIVE;
  if (kq_str_eq (s, KQ_STR ("leaving")))
    return KQ_HOST_LEAVING;
  /* On "gone" the host's tasks are started elsewhere, so any other text is an error. */
  if (!kq_str_eq (s, KQ_STR ("gone")))
    r->bad = true;
  return KQ_HOST_GONE;
}

static void
read_host (KqJsonReader *r, KqHost *to)
{
  KqJsonReader size = kq_json_object (r, "size");
  size_t n;
  const json_t *runners = kq_json_array (r, "runners", &n);
  to->name = read_required_name (r, "name");
  to->id = kq_str_hash (kq_name_str (&to->name));
  to->region = read_required_name (r, "region");
  to->depot = read_required_name (r, "depot");
  to->rack = read_required_name (r, "rack");
  to->address = kq_str_own (kq_json_str (r, "address"));
  to->state = read_state (r);
  to->capacity.cpu_milli = kq_json_i64 (&size, "cpu_milli", 0, SIZE_FIELD_MAX);
  to->capacity.memory_mb = kq_json_i64 (&size, "memory_mb", 0, SIZE_FIELD_MAX);
  to->capacity.accelerators = kq_json_i64 (&size, "accelerators", 0, SIZE_FIELD_MAX);
  kq_json_propagate (r, &size);
  to->runners = kq_alloc ((n + 1) * sizeof *to->runners);
  for (; to->n_runners < n; to->n_runners++)
    {
      KqJsonReader e = kq_json_element (runners, to->n_runners);
      read_runner (&e, &to->runners[to->n_runners]);
      kq_json_propagate (r, &e);
    }
}

KqResult
kq_hosts_parse (KqStr text, KqHostList *out)
{
  json_t *j = kq_json_parse (text);
  KqJsonReader r = { .at = j, .bad = j == NULL };
  size_t n;
  const json_t *list = kq_json_array (&r, "hosts", &n);

  *out = (KqHostList){ 0 };
  out->hosts = kq_alloc ((n + 1) * sizeof *out->hosts);
  for (; out->n_hosts < n; out->n_hosts++)
    {
      KqJsonReader e = kq_json_element (list, out->n_hosts);
      read_host (&e, &out->hosts[out->n_hosts]);
      kq_json_propagate (&r, &e);
    }
  json_decref (j);
  if (!r.bad)
    return KQ_OK;
  kq_hosts_free (out);
  return KQ_ERR_PLATFORM_FORMAT;
}

static KqHostRunner *
copy_runners (const KqHost *h)
{
  KqHostRunner *r = kq_alloc (h->n_runners * sizeof *r);
  for (size_t i = 0; i < h->n_runners; i++)
    {
      size_t size = h->runners[i].n_services * sizeof (KqName);
      r[i] = h->runners[i];
      r[i].address = kq_str_own (h->runners[i].address);
      r[i].services = kq_alloc (size);
      if (size > 0)
        memcpy (r[i].services, h->runners[i].services, size);
    }
  return r;
}

KqHost
kq_host_copy (const KqHost *h)
{
  KqHost c = *h;
  c.address = kq_str_own (h->address);
  c.runners = copy_runners (h);
  return c;
}
