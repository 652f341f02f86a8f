#ifndef KQ_BENCH_AGENT_FIXTURE_H
#define KQ_BENCH_AGENT_FIXTURE_H

/* agent_fixture: a test fixture of an agent with one runner. The test stands in for the
 * runner and the leader: it defines the calls to runners (port/runner.h). */

#include "agent/agent.h"

#define KQ_AGENT_FIXTURE_EPOCH 7
#define KQ_AGENT_FIXTURE_LEASE_MS 5000
#define KQ_AGENT_FIXTURE_RENEW_WITHOUT_LEADER_MS 4000

typedef struct
{
  KqLoop *loop;
  KqCounters *counters;
  KqAgent *agent;
  KqCordons *cordons; /* the agent's */
  int renewals;
  int64_t lease_end_ms; /* the latest end in any call */
  KqRunnerCallback poll;
  KqRunnerCallback start;
  KqRunnerCallback verification; /* a call that only verifies a connection */
  bool starting; /* starts are being sent: a list fetched now is a verification */
  int starts;
  KqTime opened_before; /* of the last start */
  char spec[300];       /* this and the next two: of the last start */
  size_t spec_len;
  size_t checkpoint_len;
  KqOrderResult result; /* this and the next one: of the last outcome */
  bool unsent;
  bool leader_renews; /* the leader answers each list by a RENEW order */
  KqAgentItemKind last_item;
  uint64_t assignment;
  uint64_t halt;
  int64_t lease_left_ms;
  int unreached;
  size_t grants;      /* rows of the last GRANTS */
  int64_t granted_ms; /* in the last of them */
} KqAgentFixture;

extern KqAgentFixture kq_agent_fixture;

/* cmocka's set-up and tear-down. */
int kq_agent_fixture_set_up (void **state);
int kq_agent_fixture_tear_down (void **state);
/* The leader assigns runner "r", in failure domain "d", under that number. */
void kq_agent_fixture_assign_runner (uint64_t assignment);
/* The leader lets the agent renew the lease again. */
void kq_agent_fixture_order_renew (uint64_t halt);
/* The leader orders a start of task "j.0.0.0" at runner "r". */
void kq_agent_fixture_order_start (uint32_t run, KqTime now);
/* Orders a start and verifies a connection for it. */
void kq_agent_fixture_start_task (KqTime now);
/* Starts a task; returns the end of the lease, on the runner's clock, in that call. */
int64_t kq_agent_fixture_grant_by_start (KqTime now);
/* Answers the last start. */
void kq_agent_fixture_answer_start (int64_t clock_ms, KqTime sent_at, KqTime now);
/* Runs the loop for longer than the agent's delay before a poll. */
void kq_agent_fixture_run_loop (void);
/* Answers the poll that is in flight. */
void kq_agent_fixture_answer_poll (KqOrderResult result, int64_t started_ms,
                                   int64_t clock_ms, KqTime now);
/* Waits for the agent's next poll and answers it. The runner's clock is the test's. */
void kq_agent_fixture_answer_next_poll (KqOrderResult result);
/* Answers the call that verifies a connection, if one is in flight. */
void kq_agent_fixture_answer_verification (KqOrderResult result, KqTime send_started_at,
                                           KqTime now);

#endif
