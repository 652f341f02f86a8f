#include "base/counter.h"

#include <stdlib.h>
#include <string.h>

typedef struct Counter
{
  struct Counter *next;
  uint64_t value;
  char *name;
  char *labels;
  char *help;
} Counter;

/* A list sorted by name and labels suffices: counters are registered rarely, and printed
 * in this order. */
struct KqCounters
{
  Counter *first;
  uint64_t results[KQ_RESULT_LIMIT];
};

KqCounters *
kq_counters_new (void)
{
  return kq_alloc (sizeof (KqCounters));
}

void
kq_counters_free (KqCounters *c)
{
  if (c == NULL)
    return;
  while (c->first != NULL)
    {
      Counter *x = c->first;
      c->first = x->next;
      free (x->name);
      free (x->labels);
      free (x->help);
      free (x);
    }
  free (c);
}

uint64_t *
kq_counter (KqCounters *c, const char *name, const char *labels, const char *help)
{
  Counter **at = &c->first;
  while (*at != NULL)
    {
      int order = strcmp ((*at)->name, name);
      if (order == 0)
        order = strcmp ((*at)->labels, labels);
      if (order == 0)
        return &(*at)->value;
      if (order > 0)
        break;
      at = &(*at)->next;
    }
  Counter *x = kq_alloc (sizeof *x);
  x->name = kq_str_dup (kq_str (name));
  x->labels = kq_str_dup (kq_str (labels));
  x->help = kq_str_dup (kq_str (help));
  x->next = *at;
  *at = x;
  return &x->value;
}

void
kq_counter_result (KqCounters *c, KqResult r)
{
  if ((unsigned)r < KQ_RESULT_LIMIT)
    c->results[r]++;
}

uint64_t
kq_counter_of_result (const KqCounters *c, KqResult r)
{
  return c->results[r];
}

void
kq_counters_print (const KqCounters *c, KqBuf *out)
{
  const char *last = "";
  for (const Counter *x = c->first; x != NULL; x = x->next)
    {
      if (strcmp (last, x->name) != 0)
        kq_buf_printf (out, "# HELP %s %s\n", x->name, x->help);
      last = x->name;
      if (x->labels[0] != '\0')
        kq_buf_printf (out, "%s{%s} %llu\n", x->name, x->labels,
                       (unsigned long long)x->value);
      else
        kq_buf_printf (out, "%s %llu\n", x->name, (unsigned long long)x->value);
    }
  kq_buf_printf (out, "# HELP kq_results_total Refusals, retries and faults by result\n");
  for (int i = 1; i < KQ_RESULT_LIMIT; i++)
    {
      if (c->results[i] > 0)
        kq_buf_printf (out, "kq_results_total{code=\"%d\",name=\"%s\"} %llu\n", i,
                       kq_result_name ((KqResult)i), (unsigned long long)c->results[i]);
    }
}
