#include "node/node_task.h"

#include "api/calls.h"
#include "base/log.h"
#include "node/queries.h"
#include "node/shard_map.h"
#include "port/mail.h"

#include <ev.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define PART "node"
/* Period of kq_core_tick in seconds, and the longest delay of a due commit or renewal. */
#define TICK_S 0.02
/* Time allowed for the store call that deletes this node's key at the end of a planned
 * stop. */
#define LEAVE_TIME (300 * KQ_MS)

/* A table change in progress, and who requested it. */
typedef struct Change
{
  struct Change *next;
  uint64_t number; /* `call` of kq_core_change_table */
  uint64_t call;   /* the requester's number of its query */
  KqNodeId requester;
} Change;

struct KqNodeTask
{
  KqLoop *loop;
  KqTask task;
  KqNodeTaskConfig config;
  KqCoreConfig core_config;
  KqNodeTaskPeers peers;
  KqCore *core;
  KqOutbox out;
  ev_timer tick;
  Change *changes;
  uint64_t next_change;
  bool draining;
  bool gateway_drained;
  bool runners_drained;
  bool shards_released;
  bool leaving;       /* the deletion of this node's key was started */
  bool replaced;      /* another process has this node's key in the store */
  KqTime leave_until; /* when the process ends if it is `leaving` */
  KqTime drain_until; /* the latest end of a planned stop */
  uint64_t *stale_calls;
};

static void
answer (KqNodeTask *n, KqNodeId to, uint64_t call, KqResult code, KqStr json)
{
  kq_mail_send_answer (kq_mesh_task (n->peers.mesh), to, call, code, json);
}

/* Takes ownership of `o`. */
static void
answer_json (KqNodeTask *n, KqNodeId to, uint64_t call, json_t *o)
{
  char *text = json_dumps (o, JSON_COMPACT);
  answer (n, to, call, KQ_OK, kq_str (text));
  free (text);
  json_decref (o);
}

/* Drops a worker call if this node lost the shard while the call was queued: the
 * successor may have started the task elsewhere already. */
static void
send_worker_call (KqNodeTask *n, KqOut *item, KqTime now)
{
  if (!kq_core_may_call (n->core, &item->u.worker, now))
    {
      ++*n->stale_calls;
      kq_out_clear (item);
      return;
    }
  kq_task_send (n->peers.workers, kq_mail_out (item));
}

static void
send_outbox (KqNodeTask *n, KqTime now)
{
  KqOut item;
  while (kq_outbox_take (&n->out, &item))
    {
      switch (item.kind)
        {
        case KQ_OUT_STORE:
          kq_task_send (n->peers.store, kq_mail_out (&item));
          break;
        case KQ_OUT_SEND:
          kq_task_send (kq_mesh_task (n->peers.mesh), kq_mail_out (&item));
          break;
        case KQ_OUT_WORKER:
          send_worker_call (n, &item, now);
          break;
        }
    }
}

static void
send_table (KqNodeTask *n, KqTask *to)
{
  KqMail *m = kq_mail_new (KQ_MAIL_TABLE);
  m->u.table = kq_table_ref (kq_core_table (n->core));
  kq_task_send (to, m);
}

static void
send_hosts (KqNodeTask *n, KqNotice *notice)
{
  KqMail *to_runners = kq_mail_new (KQ_MAIL_SHARD_HOSTS);
  KqMail *to_workers = kq_mail_new (KQ_MAIL_HOSTS);
  kq_shard_copy_hosts (n->core_config.settings, &notice->hosts, 1, notice->shard,
                       &to_workers->u.hosts);
  to_runners->u.shard_hosts.shard = notice->shard;
  to_runners->u.shard_hosts.taken_over = notice->taken_over;
  to_runners->u.shard_hosts.hosts = notice->hosts;
  kq_task_send (n->peers.runners, to_runners);
  kq_task_send (n->peers.workers, to_workers);
}

static void
send_shard_gone (KqNodeTask *n, uint32_t shard)
{
  KqMail *m = kq_mail_new (KQ_MAIL_SHARD_GONE);
  m->u.shard_gone = shard;
  kq_task_send (n->peers.runners, m);
}

static void
send_node (KqNodeTask *n, const KqNode *node)
{
  KqMail *m = kq_mail_new (KQ_MAIL_NODE);
  const KqName *region = &n->core_config.self.region;
  bool same_region = kq_name_eq (&node->info.region, region);
  m->u.node.node = node->info.id;
  m->u.node.region = node->info.region;
  m->u.node.depot = node->info.depot;
  /* A draining node still gets requests: its service digests show when it has no runners
   * left. */
  m->u.node.usable = node->state == KQ_NODE_ALIVE;
  m->u.node.gone = node->state == KQ_NODE_GONE;
  kq_task_send (n->peers.gateway, m);
  if (node->state == KQ_NODE_GONE)
    kq_mesh_remove (n->peers.mesh, node->info.id);
  else
    kq_mesh_add (n->peers.mesh, node->info.id, kq_name_str (&node->info.mesh_address),
                 same_region);
}

static void
send_change_result (KqNodeTask *n, const KqTableResult *r)
{
  Change **at = &n->changes;
  KqBuf text = { 0 };
  Change *c;
  while (*at != NULL && (*at)->number != r->call)
    at = &(*at)->next;
  c = *at;
  if (c == NULL)
    return;
  *at = c->next;
  if (r->code == KQ_OK)
    kq_buf_printf (&text, "{\"revision\":%llu}", (unsigned long long)r->revision);
  else
    kq_buf_printf (&text, "row %zu: %s", r->change_index + 1,
                   kq_result_meaning (r->code));
  answer (n, c->requester, c->call, r->code, kq_buf_str (&text));
  kq_buf_free (&text);
  free (c);
}

static void
handle_notices (KqNodeTask *n)
{
  KqNotice notice;
  while (kq_core_notice (n->core, &notice))
    {
      switch (notice.kind)
        {
        case KQ_NOTICE_TABLE:
          send_table (n, n->peers.gateway);
          send_table (n, n->peers.runners);
          send_table (n, n->peers.operators);
          break;
        case KQ_NOTICE_SHARD_HOSTS:
          send_hosts (n, &notice);
          break;
        case KQ_NOTICE_SHARD_GONE:
          send_shard_gone (n, notice.shard);
          break;
        case KQ_NOTICE_NODE:
          send_node (n, &notice.node);
          break;
        case KQ_NOTICE_TABLE_RESULT:
          send_change_result (n, &notice.result);
          break;
        case KQ_NOTICE_SHARDS_RELEASED:
          n->shards_released = true;
          break;
        }
    }
}

/* Ends a planned stop once the gateway and the runners have drained and all shards are
 * released. Then this node's key is deleted from the store, so that the other nodes
 * needn't wait for its lease to expire. */
static void
advance_drain (KqNodeTask *n, KqTime now)
{
  bool done = n->gateway_drained && n->runners_drained && n->shards_released;
  if (!n->draining)
    return;
  if (done && !n->leaving)
    {
      n->leaving = true;
      n->leave_until = now + LEAVE_TIME;
      kq_core_leave (n->core, now, &n->out);
      send_outbox (n, now);
    }
  if (n->leaving && now >= n->leave_until)
    n->config.stopped (n->config.arg, true);
  else if (now >= n->drain_until)
    n->config.stopped (n->config.arg, false);
}

/* Ends the process if this node's key in the store belongs to another process, because
 * the host was replaced under the same name or two hosts have one name: this process
 * would never get a lease again. */
static void
check_replaced (KqNodeTask *n)
{
  if (n->replaced || !kq_member_replaced (kq_core_member (n->core)))
    return;
  n->replaced = true;
  kq_log (KQ_LOG_ERROR, PART, "Another process has this node's name; ending.");
  n->config.stopped (n->config.arg, false);
}

static void
run_core (KqNodeTask *n, KqTime now)
{
  kq_core_tick (n->core, now, &n->out);
  handle_notices (n);
  send_outbox (n, now);
  advance_drain (n, now);
  check_replaced (n);
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  (void)ev;
  (void)events;
  run_core (w->data, kq_time_now ());
}

static void
start_change (KqNodeTask *n, KqNodeId requester, const KqMsgQuery *q, KqTime now)
{
  KqBuf detail = { 0 };
  KqRowChange *rows = NULL;
  size_t count = 0;
  KqResult r = kq_query_read_changes (n->core, q->argument, &rows, &count, &detail);
  if (r == KQ_OK)
    {
      Change *c = kq_alloc (sizeof *c);
      c->number = ++n->next_change;
      c->call = q->call;
      c->requester = requester;
      c->next = n->changes;
      n->changes = c;
      kq_core_change_table (n->core, c->number, rows, count, now, &n->out);
    }
  else
    answer (n, requester, q->call, r, kq_buf_str (&detail));
  kq_buf_free (&detail);
  free (rows);
}

static void
set_log_level (KqNodeTask *n, KqNodeId from, const KqMsgQuery *q)
{
  char *name = kq_str_dup (q->argument);
  int level = kq_log_level_parse (name);
  free (name);
  if (level < 0)
    {
      answer (n, from, q->call, KQ_ERR_BAD_ARGUMENT,
              KQ_STR ("error, warn, info or debug"));
      return;
    }
  kq_log_set_level ((KqLogLevel)level);
  answer (n, from, q->call, KQ_OK, KQ_STR ("{}"));
}

/* Forwards the message to another task of this process. */
static void
forward (KqTask *to, KqNodeId from, const KqMsg *m)
{
  kq_task_send (to, kq_mail_msg (from, m));
}

static void
handle_query (KqNodeTask *n, KqNodeId from, const KqMsg *m, KqTime now)
{
  const KqMsgQuery *q = &m->u.query;
  KqStr what = q->what;
  if (kq_str_eq (what, KQ_STR ("queues")))
    forward (n->peers.runners, from, m);
  else if (kq_str_eq (what, KQ_STR ("requests")) || kq_str_eq (what, KQ_STR ("explain")))
    forward (n->peers.gateway, from, m);
  else if (kq_str_eq (what, KQ_STR ("node")))
    answer_json (n, from, q->call, kq_query_node (n->core, now));
  else if (kq_str_eq (what, KQ_STR ("nodes")))
    answer_json (n, from, q->call, kq_query_nodes (n->core));
  else if (kq_str_eq (what, KQ_STR ("shards")))
    answer_json (n, from, q->call, kq_query_shards (n->core, now));
  else if (kq_str_eq (what, KQ_STR ("workers")))
    answer_json (n, from, q->call, kq_query_workers (n->core, now));
  else if (kq_str_eq (what, KQ_STR ("jobs-account")))
    answer_json (n, from, q->call, kq_query_jobs_account (n->core));
  else if (kq_str_eq (what, KQ_STR ("table")) && kq_core_table (n->core) != NULL)
    answer_json (n, from, q->call, kq_query_table (n->core));
  else if (kq_str_eq (what, KQ_STR ("table")))
    answer (n, from, q->call, KQ_ERR_TABLE_NONE, kq_str (""));
  else if (kq_str_eq (what, KQ_STR ("table-change")))
    start_change (n, from, q, now);
  else if (kq_str_eq (what, KQ_STR ("log-level")))
    set_log_level (n, from, q);
  else if (kq_str_eq (what, KQ_STR ("drain")))
    {
      answer (n, from, q->call, KQ_OK, KQ_STR ("{}"));
      kq_node_task_drain (n, now);
    }
  else
    answer (n, from, q->call, KQ_ERR_NOT_FOUND, kq_str (""));
}

static void
handle_message (KqNodeTask *n, KqNodeId from, const KqMsg *m, KqTime now)
{
  switch (m->kind)
    {
    case KQ_MSG_HEARTBEAT:
      /* The gateway would take a heartbeat without digests for "no slots" and find no
       * target until the next one with digests, seconds later if there are many nodes. */
      if (!kq_heartbeat_omits_digests (&m->u.heartbeat))
        forward (n->peers.gateway, from, m);
      kq_core_message (n->core, from, m, now, &n->out);
      break;
    case KQ_MSG_TABLE:
    case KQ_MSG_TABLE_REQUEST:
    case KQ_MSG_JOB_SUBMIT:
    case KQ_MSG_JOB_CALL:
    case KQ_MSG_JOB_MOVE:
    case KQ_MSG_JOB_MOVED:
    case KQ_MSG_CLAIM_BEGIN:
    case KQ_MSG_CLAIM_DONE:
      kq_core_message (n->core, from, m, now, &n->out);
      break;
    case KQ_MSG_REQ_OPEN:
    case KQ_MSG_REQ_BODY:
    case KQ_MSG_REQ_CANCEL:
    case KQ_MSG_RESP_CREDIT:
      forward (n->peers.runners, from, m);
      break;
    case KQ_MSG_REQ_CREDIT:
    case KQ_MSG_RESP_HEAD:
    case KQ_MSG_RESP_BODY:
    case KQ_MSG_RESP_FAIL:
    case KQ_MSG_CLAIM_REPLY:
      forward (n->peers.gateway, from, m);
      break;
    case KQ_MSG_JOB_REPLY:
    case KQ_MSG_ANSWER:
      forward (kq_calls_tag (m->u.answer.call) == KQ_CALLS_OPERATOR ? n->peers.operators
                                                                    : n->peers.gateway,
               from, m);
      break;
    case KQ_MSG_AGENT: /* sent on connections of its own (fleet/link.h) */
      break;
    case KQ_MSG_QUERY:
      handle_query (n, from, m, now);
      break;
    case KQ_MSG_HELLO:
      break; /* handled by the mesh */
    }
}

static void
handle_peer (KqNodeTask *n, const KqMailPeer *p, KqTime now)
{
  KqTask *to[2] = { n->peers.gateway, n->peers.runners };
  if (p->up || p->was_up)
    kq_core_peer_changed (n->core, p->peer, p->up, now);
  for (int i = 0; i < 2; i++)
    {
      KqMail *m = kq_mail_new (KQ_MAIL_PEER);
      m->u.peer = *p;
      kq_task_send (to[i], m);
    }
}

/* The gateway gets this node's own service digests as a heartbeat, like other nodes'. */
static void
handle_services (KqNodeTask *n, const KqMailServices *s)
{
  KqMsg m = { .kind = KQ_MSG_HEARTBEAT };
  KqShardDigest d = { 0 };
  kq_core_set_services (n->core, s->digests, s->n_digests);
  d.services = s->digests;
  d.n_services = s->n_digests;
  m.u.heartbeat.node = n->core_config.self.id;
  m.u.heartbeat.shards = &d;
  m.u.heartbeat.n_shards = 1;
  forward (n->peers.gateway, n->core_config.self.id, &m);
}

static void
handle_worker_reply (KqNodeTask *n, KqMail *mail, KqTime now)
{
  kq_core_worker_reply (n->core, &mail->u.worker_reply, now, &n->out);
  if (mail->u.worker_reply.kind == KQ_WORKER_LEASE
      && mail->u.worker_reply.result == KQ_OK)
    kq_task_send (n->peers.runners, kq_mail_worker_reply (&mail->u.worker_reply));
}

static void
on_mail (void *self, KqMail *mail, KqTime now)
{
  KqNodeTask *n = self;
  switch (mail->kind)
    {
    case KQ_MAIL_MSG:
      handle_message (n, mail->u.msg.peer, mail->u.msg.msg, now);
      break;
    case KQ_MAIL_PEER:
      handle_peer (n, &mail->u.peer, now);
      break;
    case KQ_MAIL_STORE_REPLY:
      kq_core_store_reply (n->core, &mail->u.store_reply, now, &n->out);
      run_core (n, now);
      break;
    case KQ_MAIL_WORKER_REPLY:
      handle_worker_reply (n, mail, now);
      break;
    case KQ_MAIL_SERVICES:
      handle_services (n, &mail->u.services);
      break;
    case KQ_MAIL_DRAINED:
      if (strcmp (mail->u.drained, "gateway") == 0)
        n->gateway_drained = true;
      else
        n->runners_drained = true;
      break;
    default:
      assert (!"mail kind not handled by the node task");
      break;
    }
  send_outbox (n, now);
  kq_mail_free (mail);
}

KqNodeTask *
kq_node_task_new (KqLoop *loop, const KqNodeTaskConfig *c)
{
  KqNodeTask *n = kq_alloc (sizeof *n);
  n->loop = loop;
  n->config = *c;
  n->stale_calls = kq_counter (c->counters, "kq_stale_worker_calls_total", "",
                               "Worker calls dropped: no longer owner when due.");
  kq_task_init (&n->task, loop, PART, n, on_mail);
  ev_timer_init (&n->tick, on_tick, TICK_S, TICK_S);
  n->tick.data = n;
  return n;
}

void
kq_node_task_start (KqNodeTask *n, const KqNodeTaskPeers *p, const KqCoreConfig *c)
{
  n->peers = *p;
  n->core_config = *c;
  n->core = kq_core_new (c);
  ev_timer_start (kq_loop_ev (n->loop), &n->tick);
}

void
kq_node_task_free (KqNodeTask *n)
{
  if (n == NULL)
    return;
  ev_timer_stop (kq_loop_ev (n->loop), &n->tick);
  kq_task_close (&n->task);
  while (n->changes != NULL)
    {
      Change *c = n->changes;
      n->changes = c->next;
      free (c);
    }
  kq_outbox_free (&n->out);
  kq_core_free (n->core);
  free (n);
}

KqTask *
kq_node_task_get_task (KqNodeTask *n)
{
  return &n->task;
}

void
kq_node_task_drain (KqNodeTask *n, KqTime now)
{
  if (n->draining)
    return;
  kq_log (KQ_LOG_INFO, PART, "Stopping: no new work.");
  n->draining = true;
  n->drain_until = now + n->core_config.settings->stop_ms * KQ_MS;
  kq_core_drain (n->core);
  kq_task_send (n->peers.gateway, kq_mail_new (KQ_MAIL_DRAIN));
  kq_task_send (n->peers.runners, kq_mail_new (KQ_MAIL_DRAIN));
}

bool
kq_node_task_ready (KqNodeTask *n, KqTime now, const char **why)
{
  return kq_core_ready (n->core, now, why);
}
