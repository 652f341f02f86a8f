#ifndef KQ_STANDIN_PLATFORM_FAULTS_H
#define KQ_STANDIN_PLATFORM_FAULTS_H

/* platform_faults: bodies of POST /v1/fault for the store, the runners and the advice
 * service of standin-platform: outages, lost or delayed answers,
 * writes that take effect late, calls that hang. A test picks one
 * at random without knowing the platform's paths. */

static const char *const kq_platform_kv_faults[]
    = { "{\"path\":\"/kv\",\"outage\":\"refuse\"}",
        "{\"path\":\"/kv\",\"outage\":\"close\"}",
        "{\"path\":\"/kv\",\"accept_and_hang\":true}",
        "{\"path\":\"/kv-txn\",\"lose_answer\":12}",
        "{\"path\":\"/kv-txn\",\"lose_answer\":12,\"late_ms\":3000}",
        "{\"path\":\"/kv\",\"answer_delay_ms\":240}",
        "{\"path\":\"/kv-watch\",\"silent_watch\":true}" };
static const char *const kq_platform_runner_faults[]
    = { "{\"path\":\"/run-\",\"lose_answer\":6}",
        "{\"path\":\"/hold\",\"accept_and_hang\":true}" };
static const char *const kq_platform_advice_faults[]
    = { "{\"path\":\"/advise\",\"lose_answer\":6}",
        "{\"path\":\"/advise\",\"accept_and_hang\":true}",
        "{\"path\":\"/advise\",\"outage\":\"close\"}" };

#define KQ_PLATFORM_ADVICE_FAULTS 3
#define KQ_PLATFORM_KV_FAULTS 7
#define KQ_PLATFORM_RUNNER_FAULTS 2

#endif
