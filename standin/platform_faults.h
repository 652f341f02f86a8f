#ifndef KQ_STANDIN_PLATFORM_FAULTS_H
#define KQ_STANDIN_PLATFORM_FAULTS_H

/* platform_faults: bodies of /v1/fault that hurt the users' store and a runner of the
 * stand-in: outages, answers lost or late, calls that hang. Whoever draws one needs none
 * of the platform's paths. */

static const char *const kq_platform_kv_faults[]
    = { "{\"path\":\"/kv\",\"outage\":\"refuse\"}",
        "{\"path\":\"/kv\",\"outage\":\"close\"}",
        "{\"path\":\"/kv\",\"accept_and_hang\":true}",
        "{\"path\":\"/kv-txn\",\"lose_answer\":12}",
        "{\"path\":\"/kv\",\"answer_delay_ms\":240}",
        "{\"path\":\"/kv-watch\",\"silent_watch\":true}" };
static const char *const kq_platform_runner_faults[]
    = { "{\"path\":\"/run-\",\"lose_answer\":6}",
        "{\"path\":\"/hold\",\"accept_and_hang\":true}" };

#define KQ_PLATFORM_KV_FAULTS 6
#define KQ_PLATFORM_RUNNER_FAULTS 2

#endif
