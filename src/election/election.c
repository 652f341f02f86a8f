#include "election/election.h"

#include "base/log.h"
#include "base/rand.h"
#include "fleet/follow.h"
#include "wire/pack.h"

#include <ev.h>
#include <stdio.h>

#include <stdlib.h>

#define PART "lead"
/* Renewals within the length of a lease, so that two may be lost. They don't wait for
 * each other's answers: on a busy link an answer takes a second, and it extends the lease
 * only from when its renewal was sent. */
#define RENEWALS_PER_LEASE 4
/* Delay after a renewal that was refused. */
#define RENEWAL_RETRY_MS 120
#define STORE_TIMEOUT_MS 700
/* Random delay before an election, so that not all nodes write at once. The first write
 * wins; the store refuses the others. */
#define ELECTION_JITTER_MS 60
#define ELECTION_RETRY_MS 300
#define WATCH_WAIT_MS 1500

const KqStr kq_leader_key = { "kq/lead", 7 };
static const KqStr term_key = { "kq/term", 7 };

typedef enum
{
  FOLLOWING, /* another node leads, or the next election is scheduled */
  READING_TERM,
  LEASING,
  WRITING,
  CHECKING, /* the write had no answer: reading who leads */
  LEADING
} Phase;

struct KqElection
{
  KqElectionConfig config;
  KqFollow *follow;
  KqLeaderRecord record;
  Phase phase;
  ev_timer timer;
  KqRand rand;
  bool candidate;
  bool synced; /* the leader key has been read once */
  uint64_t lease;
  uint64_t term_revision;
  uint32_t term;
  uint32_t known_term; /* as in the last record read; the term key was written with it */
  uint64_t known_term_at; /* revision of the term key then; 0: not known */
  KqTime leased_at;       /* when the lease was requested */
  KqTime valid_until;
  KqTime write_sent;
  uint64_t serial; /* of the attempt; answers to earlier ones are dropped */
  uint64_t *elections;
  uint64_t *losses;
};

typedef struct
{
  KqElection *lead;
  uint64_t serial;
} Call;

static void start_election (KqElection *l);
static void renew (KqElection *l);

static KqKvCallback
callback (KqElection *l, void (*done) (void *, const KqKvReply *, KqTime))
{
  Call *c = kq_alloc (sizeof *c);
  c->lead = l;
  c->serial = l->serial;
  return (KqKvCallback){ done, c };
}

/* Frees the call; returns NULL if it belongs to an earlier attempt. */
static KqElection *
finish_call (void *arg, const KqKvReply *r, KqTime now)
{
  Call *c = arg;
  KqElection *l = c->serial == c->lead->serial ? c->lead : NULL;
  if (r->result != KQ_KV_UNKNOWN && r->result != KQ_KV_REFUSED)
    c->lead->config.answered (c->lead->config.arg, r->called_at, now);
  free (c);
  return l;
}

static void
set_timer (KqElection *l, int ms)
{
  struct ev_loop *ev = kq_loop_ev (l->config.loop);
  ev_timer_stop (ev, &l->timer);
  ev_timer_set (&l->timer, ms / 1000.0, 0);
  ev_timer_start (ev, &l->timer);
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  KqElection *l = w->data;
  (void)ev;
  (void)events;
  if (l->phase == LEADING)
    renew (l);
  else if (l->record.epoch == 0 && l->candidate && l->synced)
    start_election (l);
}

static void
schedule_election (KqElection *l, int ms)
{
  l->phase = FOLLOWING;
  l->serial++;
  if (l->candidate)
    set_timer (l, ms + l->config.rank_ms
                      + (int)kq_rand_below (&l->rand, ELECTION_JITTER_MS));
}

static void
ignore_reply (void *arg, const KqKvReply *r, KqTime now)
{
  finish_call (arg, r, now);
}

static void
stop_leading (KqElection *l, const char *why, KqTime now)
{
  bool was_leader = l->phase == LEADING;
  l->valid_until = 0;
  l->phase = FOLLOWING;
  l->serial++;
  if (!was_leader)
    return;
  ++*l->losses;
  kq_log (KQ_LOG_WARN, PART, "No longer leading. epoch=%llu why=%s",
          (unsigned long long)l->record.epoch, why);
  l->record = (KqLeaderRecord){ 0 };
  l->config.lost (l->config.arg, why, now);
}

static void
on_renewed (void *arg, const KqKvReply *r, KqTime now)
{
  KqElection *l = finish_call (arg, r, now);
  if (l == NULL)
    return;
  switch (r->result)
    {
    case KQ_KV_OK:
      if (r->called_at + l->config.ttl_ms * KQ_MS > l->valid_until)
        l->valid_until = r->called_at + l->config.ttl_ms * KQ_MS;
      break;
    case KQ_KV_NOT_FOUND:
      stop_leading (l, "the lease has ended", now);
      schedule_election (l, ELECTION_RETRY_MS);
      break;
    case KQ_KV_UNKNOWN:
      break; /* later renewals are in flight */
    default:
      set_timer (l, RENEWAL_RETRY_MS);
    }
}

static void
renew (KqElection *l)
{
  set_timer (l, (int)(l->config.ttl_ms / RENEWALS_PER_LEASE));
  kq_kv_lease_renew (l->config.kv, l->lease, (int)l->config.ttl_ms,
                     callback (l, on_renewed));
}

static void
become_leader (KqElection *l, uint64_t epoch, KqTime now)
{
  l->phase = LEADING;
  l->record.node = l->config.node;
  l->record.address = l->config.address;
  l->record.epoch = epoch;
  l->valid_until = l->leased_at + l->config.ttl_ms * KQ_MS;
  ++*l->elections;
  kq_log (KQ_LOG_INFO, PART, "Leading. epoch=%llu term=%u lease=%llu",
          (unsigned long long)epoch, l->term, (unsigned long long)l->lease);
  set_timer (l, (int)(l->config.ttl_ms / RENEWALS_PER_LEASE));
  l->config.elected (l->config.arg, epoch, l->term, now);
}

static KqBuf
pack_record (const KqElection *l)
{
  KqBuf b = { 0 };
  KqPacker p;
  kq_packer_init (&p, &b);
  kq_pack_array (&p, 4);
  kq_pack_name (&p, &l->config.node);
  kq_pack_name (&p, &l->config.address);
  kq_pack_u64 (&p, l->lease);
  kq_pack_u64 (&p, l->term);
  return b;
}

/* What a record holds besides KqLeaderRecord. */
typedef struct
{
  uint64_t lease;
  uint32_t term; /* 0: the record of an earlier version, which has none */
} RecordExtra;

static bool
read_record (KqStr value, KqLeaderRecord *out, RecordExtra *extra)
{
  KqUnpacked u;
  KqReader r;
  bool ok;
  if (!kq_unpacked_open (&u, value, &r))
    return false;
  out->node = kq_read_name (&r);
  out->address = kq_read_name (&r);
  extra->lease = kq_read_u64 (&r);
  extra->term = r.left > 0 ? (uint32_t)kq_read_u64 (&r) : 0;
  ok = !r.bad;
  kq_unpacked_close (&u);
  return ok;
}

/* After a write without an answer: this node leads if the record has its lease. */
static void
on_checked (void *arg, const KqKvReply *r, KqTime now)
{
  KqElection *l = finish_call (arg, r, now);
  KqLeaderRecord record = { 0 };
  RecordExtra extra = { 0 };
  if (l == NULL)
    return;
  if (r->result == KQ_KV_OK && r->n_items == 1
      && read_record (r->items[0].value, &record, &extra) && extra.lease == l->lease)
    become_leader (l, r->items[0].revision, now);
  else
    schedule_election (l, ELECTION_RETRY_MS);
}

static void
on_written (void *arg, const KqKvReply *r, KqTime now)
{
  KqElection *l = finish_call (arg, r, now);
  if (l == NULL)
    return;
  if (r->result == KQ_KV_OK)
    become_leader (l, r->revision, now);
  else if (r->result == KQ_KV_UNKNOWN)
    {
      l->phase = CHECKING;
      kq_kv_get (l->config.kv, kq_leader_key, STORE_TIMEOUT_MS, callback (l, on_checked));
    }
  else
    {
      l->known_term_at = 0; /* the known term may be outdated */
      schedule_election (l, ELECTION_RETRY_MS);
    }
}

static void
on_leased (void *arg, const KqKvReply *r, KqTime now)
{
  KqElection *l = finish_call (arg, r, now);
  KqBuf record;
  char term[16];
  KqKvCheck checks[2];
  KqKvPut puts[2];
  KqKvTxn t = { checks, 2, puts, 2, NULL, 0 };
  if (l == NULL)
    return;
  if (r->result != KQ_KV_OK || r->lease == 0)
    {
      schedule_election (l, ELECTION_RETRY_MS);
      return;
    }
  l->lease = r->lease;
  l->leased_at = r->called_at;
  if (r->ttl_ms > 0)
    l->config.ttl_ms = r->ttl_ms;
  l->term++;
  record = pack_record (l);
  snprintf (term, sizeof term, "%u", l->term);
  checks[0] = (KqKvCheck){ kq_leader_key, 0 };
  checks[1] = (KqKvCheck){ term_key, l->term_revision };
  puts[0] = (KqKvPut){ kq_leader_key, kq_buf_str (&record), l->lease };
  puts[1] = (KqKvPut){ term_key, kq_str (term), 0 };
  l->phase = WRITING;
  kq_kv_txn (l->config.kv, &t, STORE_TIMEOUT_MS, callback (l, on_written));
  kq_buf_free (&record);
}

static void
request_lease (KqElection *l)
{
  l->phase = LEASING;
  kq_kv_lease_grant (l->config.kv, l->config.ttl_ms, STORE_TIMEOUT_MS,
                     callback (l, on_leased));
}

static void
on_term (void *arg, const KqKvReply *r, KqTime now)
{
  KqElection *l = finish_call (arg, r, now);
  int64_t n = 0;
  if (l == NULL)
    return;
  if (r->result == KQ_KV_OK && r->n_items == 1 && kq_str_to_i64 (r->items[0].value, &n))
    l->term_revision = r->items[0].revision;
  else if (r->result == KQ_KV_NOT_FOUND)
    l->term_revision = 0;
  else
    {
      schedule_election (l, ELECTION_RETRY_MS);
      return;
    }
  l->term = (uint32_t)n;
  request_lease (l);
}

static void
start_election (KqElection *l)
{
  l->serial++;
  if (l->known_term_at != 0)
    {
      l->term = l->known_term;
      l->term_revision = l->known_term_at;
      request_lease (l);
      return;
    }
  l->phase = READING_TERM;
  kq_kv_get (l->config.kv, term_key, STORE_TIMEOUT_MS, callback (l, on_term));
}

/* No other process uses this node's address: such a record is of an earlier process. */
static bool
written_by_earlier_process (const KqElection *l, const KqLeaderRecord *record,
                            uint64_t lease)
{
  return lease != l->lease && kq_name_eq (&record->node, &l->config.node)
         && kq_name_eq (&record->address, &l->config.address);
}

static void
revoke_earlier_lease (KqElection *l, uint64_t lease)
{
  kq_log (KQ_LOG_INFO, PART, "Ending the lease of an earlier process. epoch=%llu",
          (unsigned long long)l->record.epoch);
  kq_kv_lease_revoke (l->config.kv, lease, STORE_TIMEOUT_MS, callback (l, ignore_reply));
}

static void
on_item (void *arg, const KqKvItem *i, KqTime now)
{
  KqElection *l = arg;
  KqLeaderRecord record = { 0 };
  RecordExtra extra = { 0 };
  if (!kq_str_eq (i->key, kq_leader_key))
    return;
  if (!read_record (i->value, &record, &extra))
    {
      kq_log (KQ_LOG_ERROR, PART, "The leader's record can't be read. revision=%llu",
              (unsigned long long)i->revision);
      return;
    }
  record.epoch = i->revision;
  l->known_term = extra.term;
  l->known_term_at = extra.term > 0 ? i->revision : 0;
  if (l->phase == WRITING && extra.lease == l->lease)
    return; /* the answer to our own write is still to come */
  if (l->phase == LEADING && i->revision <= l->record.epoch)
    return;
  stop_leading (l, "another node leads", now);
  l->record = record;
  if (written_by_earlier_process (l, &record, extra.lease))
    {
      revoke_earlier_lease (l, extra.lease);
      return;
    }
  kq_log (KQ_LOG_INFO, PART, "Leader. node=%.*s address=%.*s epoch=%llu",
          KQ_STR_ARG (kq_name_str (&record.node)),
          KQ_STR_ARG (kq_name_str (&record.address)), (unsigned long long)record.epoch);
  l->config.changed (l->config.arg, &l->record, now);
}

static void
on_deleted (void *arg, KqStr key, uint64_t revision, KqTime now)
{
  KqElection *l = arg;
  if (!kq_str_eq (key, kq_leader_key))
    return;
  if (revision <= l->record.epoch)
    {
      /* The watch reports late that the record before our own write was deleted. */
      kq_log (KQ_LOG_INFO, PART, "An earlier lead has ended. revision=%llu epoch=%llu",
              (unsigned long long)revision, (unsigned long long)l->record.epoch);
      return;
    }
  kq_log (KQ_LOG_INFO, PART, "The lead is vacant. last_epoch=%llu",
          (unsigned long long)l->record.epoch);
  /* The store may have deleted our key although our lease is still good. */
  if (l->phase == LEADING)
    stop_leading (l, "the key is gone", now);
  l->record = (KqLeaderRecord){ 0 };
  l->config.changed (l->config.arg, &l->record, now);
  if (l->phase == FOLLOWING)
    schedule_election (l, 0);
}

static void
on_synced (void *arg, KqTime now)
{
  KqElection *l = arg;
  (void)now;
  l->synced = true;
  if (l->record.epoch == 0 && l->phase == FOLLOWING)
    schedule_election (l, 0);
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  KqElection *l = arg;
  l->config.answered (l->config.arg, sent_at, now);
}

KqElection *
kq_election_new (const KqElectionConfig *c)
{
  KqElection *l = kq_alloc (sizeof *l);
  KqFollowOwner owner = { l, on_item, on_deleted, on_synced, on_answered, NULL };
  l->config = *c;
  l->candidate = true;
  l->rand = kq_rand (kq_rand_system ());
  l->elections = kq_counter (c->counters, "kq_lead_elected_total", "",
                             "Times that this node became leader.");
  l->losses = kq_counter (c->counters, "kq_lead_lost_total", "",
                          "Times that this node stopped leading.");
  ev_timer_init (&l->timer, on_timer, 0, 0);
  l->timer.data = l;
  l->follow = kq_follow_new (c->loop, c->kv, kq_leader_key, WATCH_WAIT_MS, 0, &owner);
  return l;
}

void
kq_election_free (KqElection *l)
{
  if (l == NULL)
    return;
  ev_timer_stop (kq_loop_ev (l->config.loop), &l->timer);
  kq_follow_free (l->follow);
  free (l);
}

KqTime
kq_election_valid_until (const KqElection *l)
{
  return l->phase == LEADING ? l->valid_until : 0;
}

bool
kq_election_is_leader (const KqElection *l)
{
  return l->phase == LEADING;
}

const KqLeaderRecord *
kq_election_record (const KqElection *l)
{
  return &l->record;
}

void
kq_election_renew (KqElection *l)
{
  if (l->phase == LEADING)
    renew (l);
}

void
kq_election_resign (KqElection *l, const char *why, bool retry, KqTime now)
{
  uint64_t lease = l->lease;
  bool was_leader = l->phase == LEADING;
  l->candidate = retry;
  stop_leading (l, why, now);
  if (was_leader)
    kq_kv_lease_revoke (l->config.kv, lease, STORE_TIMEOUT_MS,
                        callback (l, ignore_reply));
  if (was_leader && retry)
    schedule_election (l, ELECTION_RETRY_MS);
}
