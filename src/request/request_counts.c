#include "request/request_counts.h"

#include <assert.h>
#include <stdlib.h>

/* The counts of one service. They form a list, because services are few: requests for
 * names that aren't in the table are counted under "-". */
typedef struct ServiceCounts
{
  struct ServiceCounts *next;
  KqName service;
  uint64_t accepted;
  uint64_t ended[KQ_END_KINDS];
  uint64_t in_flight;
} ServiceCounts;

struct KqRequestCounts
{
  ServiceCounts *first;
};

static const char *const end_names[] = { "answered", "refused", "unknown", "abandoned" };

KqRequestCounts *
kq_request_counts_new (void)
{
  return kq_alloc (sizeof (KqRequestCounts));
}

void
kq_request_counts_free (KqRequestCounts *a)
{
  if (a == NULL)
    return;
  for (ServiceCounts *c = a->first, *next = NULL; c != NULL; c = next)
    {
      next = c->next;
      free (c);
    }
  free (a);
}

static ServiceCounts *
get_counts (KqRequestCounts *a, KqStr service)
{
  for (ServiceCounts *c = a->first; c != NULL; c = c->next)
    {
      if (kq_str_eq (kq_name_str (&c->service), service))
        return c;
    }
  ServiceCounts *c = kq_alloc (sizeof *c);
  c->service = kq_name (service);
  c->next = a->first;
  a->first = c;
  return c;
}

static void
check_sum (const ServiceCounts *c)
{
  uint64_t sum = c->in_flight;
  for (int i = 0; i < KQ_END_KINDS; i++)
    sum += c->ended[i];
  assert (sum == c->accepted);
  (void)sum;
}

void
kq_request_counts_accepted (KqRequestCounts *a, KqStr service)
{
  ServiceCounts *c = get_counts (a, service);
  c->accepted++;
  c->in_flight++;
}

void
kq_request_counts_ended (KqRequestCounts *a, KqStr service, KqRequestEnd end)
{
  ServiceCounts *c = get_counts (a, service);
  assert (c->in_flight > 0);
  c->in_flight--;
  c->ended[end]++;
  check_sum (c);
}

json_t *
kq_request_counts_json (const KqRequestCounts *a)
{
  json_t *o = json_object ();
  for (const ServiceCounts *c = a->first; c != NULL; c = c->next)
    {
      json_t *s = json_pack ("{s:I, s:I}", "taken", (json_int_t)c->accepted, "in_flight",
                             (json_int_t)c->in_flight);
      for (int i = 0; i < KQ_END_KINDS; i++)
        json_object_set_new (s, end_names[i], json_integer ((json_int_t)c->ended[i]));
      json_object_setn_new (o, c->service.bytes, c->service.len, s);
    }
  return o;
}

uint64_t
kq_request_counts_in_flight (const KqRequestCounts *a)
{
  uint64_t n = 0;
  for (const ServiceCounts *c = a->first; c != NULL; c = c->next)
    n += c->in_flight;
  return n;
}
