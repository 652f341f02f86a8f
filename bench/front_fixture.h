#ifndef KQ_BENCH_FRONT_FIXTURE_H
#define KQ_BENCH_FRONT_FIXTURE_H

/* front_fixture: a test fixture of the front end of a node, with a fake store, client and
 * leader. The store takes one call at a time, which the test answers. */

#include "fleet/front.h"

typedef enum
{
  KQ_FAKE_NO_CALL,
  KQ_FAKE_GET,
  KQ_FAKE_TXN
} KqFakeCall;

typedef struct
{
  KqFakeCall call;    /* the outstanding one */
  char key[32];       /* of the last read */
  char put_key[32];   /* of the last write */
  char check_key[32]; /* the last condition of the last write */
  uint64_t check_revision;
  int timeout_ms;
  KqKvCallback cb;
  KqReachState store;
  bool leader_reaches_store; /* the leader reaches the store */
  bool has_leader;           /* there is a leader */
  uint64_t leader_call;      /* the last job that the leader is to write; 0: none */
  uint64_t state_call;       /* the last question for a job's state; 0: none */
  int jobs_told;             /* to the leader */
  int cancels_told;
  int replies;
  KqFrontReply reply; /* the last one */
} KqFrontFake;
extern KqFrontFake kq_front_fake;

typedef struct
{
  KqLoop *loop;
  KqCounters *counters;
  KqFrontHandler *handler;
} KqFrontFixture;

/* For cmocka_unit_test_setup_teardown; *state is a KqFrontFixture. */
int kq_front_fixture_set_up (void **state);
int kq_front_fixture_tear_down (void **state);
/* Answers the outstanding call. */
void kq_front_fixture_answer (KqKvResult result);
/* Submits the job j1. */
void kq_front_fixture_submit (KqFrontFixture *t, KqReachState reach, int64_t deadline_ms);
void kq_front_fixture_run_for (KqFrontFixture *t, double seconds);

#endif
