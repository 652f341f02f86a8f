/* standin-platform: the platform's store, runners and advice service in one process, for
 * tests, and a control port that shows what the runners have executed:
 *
 *   GET  /v1/ledger             counts of breached invariants, starts and done tasks
 *   GET  /v1/job?id=ID          {"started":B,"running":N,"done":N}
 *   POST /v1/crash?runner=N     the runner ends without reporting anything
 *   POST /v1/rise?runner=N      starts a crashed runner again, without its earlier state;
 *                               one that is up writes its entry again
 *   POST /v1/advice?FIGURE=N&...  sets figures of the queue that needs advice and of the
 *                               service (platform_advice.h): decide_ms, each_ms,
 *                               valid_ms, time_percent, from_call, abandoned; writes the
 *                               configuration anew
 *   POST /v1/put?key=KEY        another writer's value under the key: the body
 *   POST /v1/rows?runner=N      the runner's lists have these fields, and these rows
 *                               besides: {"running":[...],"ended":[...],...}; an empty
 *                               body ends that
 *   POST /v1/entry?runner=N&seed=S  writes an entry of another writer under its key
 *
 * Faults of the store and the runners are set with POST /v1/fault at their own ports, as
 * for all stand-ins (web.h). */

#include "platform_advice.h"

#include <stdio.h>
#include <stdlib.h>

#define RUNNERS_MAX 64

typedef struct
{
  KqPlatformKv *kv;
  KqPlatformLedger *ledger;
  KqPlatformRunner *runners[RUNNERS_MAX];
  int n;
  int version;     /* of the configuration */
  bool has_advice; /* the configuration has the queue that needs advice */
  KqPlatformAdviceFigures advice;
} Platform;

/* The routes have everything but their names, prefixes and advice in common. */
static void
add_route (KqBuf *out, const char *name, const KqPlatformAdviceFigures *advice)
{
  kq_buf_printf (out,
                 "{\"name\":\"%s\",\"host\":\"desk.example\",\"prefix\":\"/%s/\","
                 "\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"slo_ms\":500,"
                 "\"priority\":0,\"service\":\"desk\",\"attempts\":3,\"stretch\":1.5",
                 name, name);
  if (advice != NULL)
    kq_buf_printf (out, ",\"advice\":{\"decide_ms\":%d,\"each_ms\":%d,\"valid_ms\":%d}",
                   advice->decide_ms, advice->each_ms, advice->valid_ms);
  kq_buf_printf (out, "}");
}

static void
put_config (Platform *p)
{
  KqBuf out = { 0 };
  kq_buf_printf (&out, "{\"version\":%d,\"routes\":[", ++p->version);
  add_route (&out, "plans", NULL);
  if (p->has_advice)
    {
      kq_buf_printf (&out, ",");
      add_route (&out, "checks", &p->advice);
    }
  kq_buf_printf (&out, "],\"services\":[{\"name\":\"desk\",\"admission_check\":false}],"
                       "\"limits\":{\"max_body_bytes\":262144}}");
  kq_platform_kv_put (p->kv, "op/config", kq_buf_str (&out));
  kq_buf_free (&out);
}

static void
set_figure (const KqWebCall *c, const char *name, int *figure)
{
  *figure = (int)kq_web_query_u64 (c, name, (uint64_t)*figure);
}

static void
set_advice (Platform *p, KqWebCall *c)
{
  int abandoned = p->advice.handles_abandoned;
  int from_call = p->advice.valid_from_call;
  set_figure (c, "decide_ms", &p->advice.decide_ms);
  set_figure (c, "each_ms", &p->advice.each_ms);
  set_figure (c, "valid_ms", &p->advice.valid_ms);
  set_figure (c, "time_percent", &p->advice.time_percent);
  set_figure (c, "abandoned", &abandoned);
  set_figure (c, "from_call", &from_call);
  p->advice.handles_abandoned = abandoned != 0;
  p->advice.valid_from_call = from_call != 0;
  put_config (p);
  kq_web_reply_json (c, 200, json_object ());
}

static void
reply_job (Platform *p, KqWebCall *c)
{
  KqBuf id = { 0 };
  kq_web_query (c, "id", &id);
  kq_web_reply_json (c, 200,
                     json_pack ("{s:b, s:i, s:i}", "started",
                                kq_platform_ledger_started (p->ledger, id.ptr), "running",
                                kq_platform_ledger_running (p->ledger, id.ptr), "done",
                                kq_platform_ledger_done (p->ledger, id.ptr)));
  kq_buf_free (&id);
}

static void
put_value (Platform *p, KqWebCall *c)
{
  KqBuf key = { 0 };
  if (kq_web_query (c, "key", &key))
    kq_platform_kv_put (p->kv, key.ptr, kq_buf_str (&c->body));
  kq_web_reply_json (c, 200, json_object ());
  kq_buf_free (&key);
}

static void
on_handle (void *arg, KqWebCall *c)
{
  Platform *p = arg;
  uint64_t n = kq_web_query_u64 (c, "runner", RUNNERS_MAX);
  if (kq_web_is (c, "GET", "/v1/ledger"))
    kq_web_reply_json (c, 200, kq_platform_ledger_json (p->ledger));
  else if (kq_web_is (c, "GET", "/v1/job"))
    reply_job (p, c);
  else if (kq_web_is (c, "POST", "/v1/advice"))
    set_advice (p, c);
  else if (kq_web_is (c, "POST", "/v1/put"))
    put_value (p, c);
  else if (n >= (uint64_t)p->n)
    kq_web_error (c, 404, "no such call");
  else
    {
      if (kq_web_is (c, "POST", "/v1/crash"))
        kq_platform_runner_crash (p->runners[n]);
      else if (kq_web_is (c, "POST", "/v1/entry"))
        kq_platform_runner_foreign_entry (p->runners[n],
                                          p->runners[(n + 1) % (uint64_t)p->n],
                                          kq_web_query_u64 (c, "seed", 0));
      else if (kq_web_is (c, "POST", "/v1/rows"))
        kq_platform_runner_add_rows (p->runners[n], kq_buf_str (&c->body));
      else
        kq_platform_runner_restart (p->runners[n]);
      kq_web_reply_json (c, 200, json_object ());
    }
}

int
main (int argc, char **argv)
{
  static Platform p;
  gint runners = 6;
  gint cpu = 8000;
  gint advice = 0;
  GOptionEntry entries[]
      = { { "runners", 0, 0, G_OPTION_ARG_INT, &runners, "How many runners", "N" },
          { "cpu", 0, 0, G_OPTION_ARG_INT, &cpu, "Thousandths of a core of each", "N" },
          { "advice", 0, 0, G_OPTION_ARG_INT, &advice,
            "Adds a queue that needs advice, and the service for N calling machines",
            "N" },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  KqLoop *loop;
  KqWebApp app = { .arg = &p, .handle = on_handle };
  kq_web_options ("- stand-in for the users' platform", entries, argc, argv);
  loop = kq_loop_new ();
  p.kv = kq_platform_kv_new (loop);
  p.ledger = kq_platform_ledger_new ();
  p.version = 6;
  p.has_advice = advice > 0;
  p.advice = (KqPlatformAdviceFigures){
    .decide_ms = 100, .each_ms = 20, .valid_ms = 3000, .time_percent = 100
  };
  put_config (&p);
  p.n = runners < RUNNERS_MAX ? runners : RUNNERS_MAX;
  for (int i = 0; i < p.n; i++)
    p.runners[i] = kq_platform_runner_new (
        loop, p.kv, p.ledger,
        &(KqPlatformRunnerConfig){ .number = i, .cpu_milli = cpu, .clock_ms = 1000 });
  for (int i = 0; i < advice; i++)
    kq_platform_advice_new (loop, p.runners, p.n, &p.advice);
  kq_web_new (loop, 0, "control", &app);
  kq_loop_run (loop);
  return 0;
}
