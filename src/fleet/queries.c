#include "fleet/queries.h"

#include "fleet/operator.h"

bool
kq_queries_ask (const KqQueries *q, const KqAgentItem *query, KqTime now)
{
  KqBuf text = { 0 };
  int64_t value;
  if (q->leader != NULL)
    {
      value = kq_leader_query (q->leader, query->u.ask.what, query->u.ask.about, now,
                               &text);
      kq_queries_answer (q, query->u.ask.call, value, kq_buf_str (&text), now);
      kq_buf_free (&text);
      return true;
    }
  if (!kq_link_connected (q->link))
    return false;
  kq_link_send (q->link, q->epoch, query);
  return true;
}

void
kq_queries_answer (const KqQueries *q, uint64_t call, int64_t value, KqStr text,
                   KqTime now)
{
  if (kq_fleet_operator_is_call (call))
    kq_operator_port_answer (q->operators, call, value, text, now);
  else
    kq_front_handler_answer (q->front, call, value, now);
}

void
kq_queries_answer_node (KqLeader *leader, KqPeer *p, const KqAgentItem *query, KqTime now)
{
  KqAgentItem i = { .kind = KQ_AGENT_ITEM_ANSWER };
  KqBuf text = { 0 };
  i.u.answer.call = query->u.ask.call;
  i.u.answer.value
      = kq_leader_query (leader, query->u.ask.what, query->u.ask.about, now, &text);
  i.u.answer.text = kq_buf_str (&text);
  kq_link_send_peer (p, &i);
  kq_buf_free (&text);
}
