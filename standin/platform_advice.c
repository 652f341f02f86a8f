#include "platform_advice.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  KqWebCall *call; /* NULL: its connection has ended */
  json_t *body;
  KqTime began_at; /* when its turn came */
} Request;

struct KqPlatformAdvice
{
  KqLoop *loop;
  KqPlatformRunner *const *runners;
  int n_runners;
  const KqPlatformAdviceFigures *figures;
  GQueue requests; /* Request: the first one is being handled */
  ev_timer timer;  /* its end */
};

static void
free_request (Request *q)
{
  json_decref (q->body);
  free (q);
}

static int64_t
call_ms (const KqPlatformAdvice *a, const Request *q)
{
  const KqPlatformAdviceFigures *f = a->figures;
  size_t n = json_array_size (json_object_get (q->body, "workers"));
  return (f->decide_ms + f->each_ms * (int64_t)n) * f->time_percent / 100;
}

static void
handle_next (KqPlatformAdvice *a)
{
  Request *q = g_queue_peek_head (&a->requests);
  ev_timer_stop (kq_loop_ev (a->loop), &a->timer);
  if (q == NULL)
    return;
  q->began_at = kq_time_now ();
  ev_now_update (kq_loop_ev (a->loop));
  ev_timer_set (&a->timer, (double)call_ms (a, q) / 1000, 0);
  ev_timer_start (kq_loop_ev (a->loop), &a->timer);
}

static KqPlatformRunner *
find_runner (const KqPlatformAdvice *a, const char *id, int *number)
{
  for (int i = 0; id != NULL && i < a->n_runners; i++)
    if (strcmp (kq_platform_runner_id (a->runners[i]), id) == 0)
      {
        *number = i;
        return a->runners[i];
      }
  return NULL;
}

static void
answer (const KqPlatformAdvice *a, const Request *q)
{
  const char *step = json_string_value (json_object_get (q->body, "step"));
  const json_t *workers = json_object_get (q->body, "workers");
  json_t *good = json_array ();
  int64_t valid_ms = a->figures->valid_ms;
  if (a->figures->valid_from_call)
    valid_ms -= (kq_time_now () - q->began_at) / KQ_MS;
  for (size_t i = 0; i < json_array_size (workers); i++)
    {
      char ticket[160];
      int number;
      KqPlatformRunner *r
          = find_runner (a, json_string_value (json_array_get (workers, i)), &number);
      if (r == NULL || (kq_str_hash (kq_str (step)) + (uint64_t)number) % 2 != 0)
        continue;
      kq_platform_runner_issue_ticket (r, step, valid_ms, ticket);
      json_array_append_new (good,
                             json_pack ("[s, s]", kq_platform_runner_id (r), ticket));
    }
  kq_web_reply_json (
      q->call, 200,
      json_pack ("{s:o, s:i}", "good", good, "valid_ms", a->figures->valid_ms));
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  KqPlatformAdvice *a = w->data;
  Request *q = g_queue_pop_head (&a->requests);
  (void)ev;
  (void)events;
  if (q->call != NULL)
    answer (a, q);
  free_request (q);
  handle_next (a);
}

static void
on_handle (void *arg, KqWebCall *c)
{
  KqPlatformAdvice *a = arg;
  json_t *body = kq_json_parse (kq_buf_str (&c->body));
  Request *q;
  if (!kq_web_is (c, "POST", "/advise")
      || !json_is_string (json_object_get (body, "step"))
      || !json_is_array (json_object_get (body, "workers"))
      || json_array_size (json_object_get (body, "workers")) > 100)
    {
      kq_web_error (c, 400, "not a question to the advice service");
      json_decref (body);
      return;
    }
  if (g_queue_get_length (&a->requests) > KQ_PLATFORM_ADVICE_WAITING_MAX)
    {
      kq_web_error (c, 429, "too many calls are waiting");
      json_decref (body);
      return;
    }
  q = kq_alloc (sizeof *q);
  q->call = c;
  q->body = body;
  g_queue_push_tail (&a->requests, q);
  if (g_queue_get_length (&a->requests) == 1)
    handle_next (a);
}

static void
on_finished (void *arg, KqWebCall *c)
{
  KqPlatformAdvice *a = arg;
  for (GList *l = a->requests.head; l != NULL; l = l->next)
    {
      Request *q = l->data;
      bool first = l == a->requests.head;
      if (q->call != c)
        continue;
      q->call = NULL;
      if (a->figures->handles_abandoned)
        return;
      g_queue_delete_link (&a->requests, l);
      free_request (q);
      if (first)
        handle_next (a);
      return;
    }
}

KqPlatformAdvice *
kq_platform_advice_new (KqLoop *loop, KqPlatformRunner *const *runners, int n_runners,
                        const KqPlatformAdviceFigures *figures)
{
  KqPlatformAdvice *a = kq_alloc (sizeof *a);
  KqWebApp app = { .arg = a, .handle = on_handle, .finished = on_finished };
  a->loop = loop;
  a->runners = runners;
  a->n_runners = n_runners;
  a->figures = figures;
  g_queue_init (&a->requests);
  ev_timer_init (&a->timer, on_timer, 0, 0);
  a->timer.data = a;
  kq_web_new (loop, 0, "advice", &app);
  return a;
}
