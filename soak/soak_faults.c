#include "soak_impl.h"

#include "standin/platform_faults.h"

#include <signal.h>
#include <stdio.h>

static void
post (Soak *s, int port, const char *path, const char *body)
{
  char url[160];
  ProcsRequest q
      = { .method = "POST", .url = url, .body = kq_str (body), .total_ms = 2000 };
  ProcsAnswer a;
  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", port, path);
  procs_call (&s->procs, &q, &a);
  kq_buf_free (&a.body);
}

static void
fault_node (Soak *s)
{
  SoakNode *n = &s->nodes[soak_rand_below (s, s->plan->nodes)];
  KqTime now = kq_time_now ();
  if (n->restart_at != 0)
    return;
  n->restart_at = now + (KqTime)(200 + soak_rand_below (s, 3500)) * KQ_MS;
  switch (soak_rand_below (s, 4))
    {
    case 0:
      procs_signal (&s->procs, n->process, SIGSTOP);
      n->paused = true;
      break;
    case 1:
      procs_signal (&s->procs, n->process, SIGTERM);
      n->restart_at = now + 7 * KQ_SEC;
      break;
    default:
      procs_signal (&s->procs, n->process, SIGKILL);
      break;
    }
}

static void
kill_all_nodes (Soak *s)
{
  for (int i = 0; i < s->plan->nodes; i++)
    {
      SoakNode *n = &s->nodes[i];
      if (n->paused)
        procs_signal (&s->procs, n->process, SIGCONT);
      n->paused = false;
      procs_signal (&s->procs, n->process, SIGKILL);
      n->restart_at = kq_time_now () + (KqTime)(300 + soak_rand_below (s, 1500)) * KQ_MS;
    }
}

static void
fault_store (Soak *s)
{
  if (s->store_fault_end != 0)
    return;
  post (s, s->store_port, "/v1/fault",
        kq_platform_kv_faults[soak_rand_below (s, KQ_PLATFORM_KV_FAULTS)]);
  s->store_fault_end = kq_time_now () + (KqTime)(300 + soak_rand_below (s, 4500)) * KQ_MS;
}

static void
fault_link (Soak *s)
{
  static const char *const modes[]
      = { "{\"stall\":\"all\",\"direction\":\"up\"}",
          "{\"stall\":\"all\",\"direction\":\"down\"}", "{\"stall\":\"open\"}",
          "{\"refuse\":true}", "{\"delay_ms\":150}" };
  post (s, s->nodes[soak_rand_below (s, s->plan->nodes)].relay_control_port, "/v1/mode",
        modes[soak_rand_below (s, 5)]);
}

void
soak_end_link_faults (Soak *s)
{
  for (int i = 0; i < s->plan->nodes; i++)
    post (s, s->nodes[i].relay_control_port, "/v1/mode", "{}");
}

static void
fault_runner (Soak *s)
{
  int i = soak_rand_below (s, s->plan->runners);
  char path[48];
  if (s->runner_fault_end[i] != 0)
    return;
  s->runner_fault_end[i]
      = kq_time_now () + (KqTime)(200 + soak_rand_below (s, 8000)) * KQ_MS;
  switch (soak_rand_below (s, 3))
    {
    case 0:
      snprintf (path, sizeof path, "/v1/crash?runner=%d", i);
      post (s, s->control_port, path, "{}");
      break;
    case 1:
      snprintf (path, sizeof path, "/v1/entry?runner=%d&seed=%d", i,
                soak_rand_below (s, 10000));
      post (s, s->control_port, path, "{}");
      break;
    default:
      post (s, s->runner_ports[i], "/v1/fault",
            kq_platform_runner_faults[soak_rand_below (s, KQ_PLATFORM_RUNNER_FAULTS)]);
      break;
    }
}

static void
end_runner_fault (Soak *s, int i)
{
  char path[48];
  snprintf (path, sizeof path, "/v1/rise?runner=%d", i);
  post (s, s->control_port, path, "{}");
  post (s, s->runner_ports[i], "/v1/fault", "{\"clear\":true}");
  s->runner_fault_end[i] = 0;
}

/* A configuration gives the queue other figures. The service has them too, or is slower
 * than they say, and one node may get no answers from it. */
static void
change_advice (Soak *s)
{
  int decide_ms = soak_rand_below (s, 2500);
  int each_ms = soak_rand_below (s, 200);
  int percent = 100 + soak_rand_below (s, 3) * 100;
  int valid_ms = 300 + soak_rand_below (s, 4000);
  bool from_call = soak_rand_below (s, 4) == 0;
  char path[160];
  /* Otherwise no ticket would be valid when it is issued. */
  if (from_call)
    valid_ms += 4 * (decide_ms + each_ms) * percent / 100;
  snprintf (path, sizeof path,
            "/v1/advice?decide_ms=%d&each_ms=%d&valid_ms=%d&time_percent=%d&from_call=%d&"
            "abandoned=%d",
            decide_ms, each_ms, valid_ms, percent, from_call, soak_rand_below (s, 2));
  post (s, s->control_port, path, "{}");
  for (int i = 0; i < s->plan->nodes; i++)
    post (s, s->advice_ports[i], "/v1/fault", "{\"clear\":true}");
  if (soak_rand_below (s, 3) == 0)
    post (s, s->advice_ports[soak_rand_below (s, s->plan->nodes)], "/v1/fault",
          kq_platform_advice_faults[soak_rand_below (s, KQ_PLATFORM_ADVICE_FAULTS)]);
}

/* Lets the service answer all nodes, as fast as its last figures say. */
static void
end_advice_faults (Soak *s)
{
  post (s, s->control_port, "/v1/advice?time_percent=100", "{}");
  for (int i = 0; i < s->plan->nodes; i++)
    post (s, s->advice_ports[i], "/v1/fault", "{\"clear\":true}");
}

void
soak_inject_fault (Soak *s)
{
  int n = soak_rand_below (s, 20);
  if (n < 7)
    fault_node (s);
  else if (n < 11)
    fault_store (s);
  else if (n < 14)
    fault_link (s);
  else if (n < 16)
    soak_end_link_faults (s);
  else if (n < 19)
    fault_runner (s);
  else if (soak_rand_below (s, 3) == 0)
    kill_all_nodes (s);
  if (soak_rand_below (s, 4) == 0)
    change_advice (s);
}

void
soak_end_faults (Soak *s, bool all)
{
  KqTime now = kq_time_now ();
  if (all)
    end_advice_faults (s);
  if (s->store_fault_end != 0 && (all || now >= s->store_fault_end))
    {
      post (s, s->store_port, "/v1/fault", "{\"clear\":true}");
      s->store_fault_end = 0;
    }
  for (int i = 0; i < s->plan->runners; i++)
    if (s->runner_fault_end[i] != 0 && (all || now >= s->runner_fault_end[i]))
      end_runner_fault (s, i);
  for (int i = 0; i < s->plan->nodes; i++)
    {
      SoakNode *n = &s->nodes[i];
      if (n->restart_at == 0 || (!all && now < n->restart_at))
        continue;
      if (n->paused)
        {
          procs_signal (&s->procs, n->process, SIGCONT);
          n->paused = false;
          n->restart_at = 0;
          continue;
        }
      if (procs_wait_exit (&s->procs, n->process, 8 * KQ_SEC) < 0)
        soak_breach (s, "a process doesn't end", "SIGTERM");
      if (!soak_start_node (s, i))
        soak_breach (s, "a process doesn't start", "kumquatd");
    }
}
