#include "election/election.h"

#include "base/log.h"
#include "base/rand.h"
#include "fleet/follow.h"
#include "wire/pack.h"

#include <ev.h>
#include <stdio.h>

#include <stdlib.h>

#define PART "lead"
/* Number of renewals sent within the length of a lease, so that two may be lost. A
 * renewal doesn't wait for the answer to the one before: on a busy link an answer takes a
 * second, and it extends the lease only from when its renewal was sent. */
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
  REQUESTING_LEASE,
  WRITING_RECORD,
  CHECKING_RECORD, /* the write got no answer: reading the record to see who leads */
  LEADING
} Phase;

struct KqElection
{
  KqElectionConfig config;
  KqFollow *follow;
  KqLeaderRecord record;
  KqName last_address;      /* of the last other leader */
  uint64_t vacant_revision; /* of the last deletion of a leader's record; 0: none */
  Phase phase;
  ev_timer timer;
  KqRand rand;
  bool candidate;         /* may stand for election */
  bool synced;            /* the leader key has been read once */
  uint64_t lease;         /* id of this node's last lease in the store */
  uint64_t term_revision; /* of the term key as last read; 0: it doesn't exist */
  uint32_t term;          /* the term as last read, then this node's own */
  uint32_t known_term; /* the term in the last record read, which the term key has too */
  uint64_t known_term_revision; /* revision of the term key that goes with known_term; 0:
                                   not known */
  KqTime lease_requested_at;
  KqTime valid_until;
  KqTime refused_since; /* see kq_election_refused_since */
  KqTime write_sent;
  uint64_t serial; /* of the attempt to lead; answers to calls of earlier attempts are
                      dropped */
  uint64_t *elections;
  uint64_t *losses;
};

typedef struct
{
  KqElection *election;
  uint64_t serial;
} Call;

static void start_election (KqElection *e);
static void renew (KqElection *e);

static KqKvCallback
new_callback (KqElection *e, void (*done) (void *, const KqKvReply *, KqTime))
{
  Call *c = kq_alloc (sizeof *c);
  c->election = e;
  c->serial = e->serial;
  return (KqKvCallback){ done, c };
}

/* Frees the call; returns NULL if it belongs to an earlier attempt. */
static KqElection *
finish_call (void *arg, const KqKvReply *r, KqTime now)
{
  Call *c = arg;
  KqElection *e = c->serial == c->election->serial ? c->election : NULL;
  if (r->result != KQ_KV_UNKNOWN && r->result != KQ_KV_REFUSED)
    c->election->config.answered (c->election->config.arg, r->called_at, now);
  free (c);
  return e;
}

static void
set_timer (KqElection *e, int ms)
{
  struct ev_loop *ev = kq_loop_ev (e->config.loop);
  ev_timer_stop (ev, &e->timer);
  ev_timer_set (&e->timer, ms / 1000.0, 0);
  ev_timer_start (ev, &e->timer);
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  KqElection *e = w->data;
  (void)ev;
  (void)events;
  if (e->phase == LEADING)
    renew (e);
  else if (e->record.epoch == 0 && e->candidate && e->synced)
    start_election (e);
}

static void
schedule_election (KqElection *e, int ms)
{
  e->phase = FOLLOWING;
  e->serial++;
  if (e->candidate)
    set_timer (e, ms + e->config.rank_ms
                      + (int)kq_rand_below (&e->rand, ELECTION_JITTER_MS));
}

static void
ignore_reply (void *arg, const KqKvReply *r, KqTime now)
{
  finish_call (arg, r, now);
}

static void
stop_leading (KqElection *e, const char *why, KqTime now)
{
  bool was_leader = e->phase == LEADING;
  e->valid_until = 0;
  e->phase = FOLLOWING;
  e->serial++;
  if (!was_leader)
    return;
  ++*e->losses;
  kq_log (KQ_LOG_WARN, PART, "No longer leading. epoch=%llu why=%s",
          (unsigned long long)e->record.epoch, why);
  e->record = (KqLeaderRecord){ 0 };
  e->config.lost (e->config.arg, why, now);
}

static void
on_renewed (void *arg, const KqKvReply *r, KqTime now)
{
  KqElection *e = finish_call (arg, r, now);
  if (e == NULL)
    return;
  switch (r->result)
    {
    case KQ_KV_OK:
      e->refused_since = 0;
      if (r->called_at + e->config.ttl_ms * KQ_MS > e->valid_until)
        e->valid_until = r->called_at + e->config.ttl_ms * KQ_MS;
      break;
    case KQ_KV_NOT_FOUND:
      stop_leading (e, "the lease has ended", now);
      schedule_election (e, ELECTION_RETRY_MS);
      break;
    case KQ_KV_UNKNOWN:
      break; /* later renewals are in flight */
    default:
      if (e->refused_since == 0)
        e->refused_since = now;
      set_timer (e, RENEWAL_RETRY_MS);
    }
}

static void
renew (KqElection *e)
{
  set_timer (e, (int)(e->config.ttl_ms / RENEWALS_PER_LEASE));
  kq_kv_lease_renew (e->config.kv, e->lease, (int)e->config.ttl_ms,
                     new_callback (e, on_renewed));
}

static void
become_leader (KqElection *e, uint64_t epoch, KqTime now)
{
  e->phase = LEADING;
  e->record.node = e->config.node;
  e->record.address = e->config.address;
  e->record.epoch = epoch;
  e->valid_until = e->lease_requested_at + e->config.ttl_ms * KQ_MS;
  e->refused_since = 0;
  ++*e->elections;
  kq_log (KQ_LOG_INFO, PART, "Leading. epoch=%llu term=%u lease=%llu",
          (unsigned long long)epoch, e->term, (unsigned long long)e->lease);
  set_timer (e, (int)(e->config.ttl_ms / RENEWALS_PER_LEASE));
  e->config.elected (e->config.arg, epoch, e->term, now);
}

static KqBuf
pack_record (const KqElection *e)
{
  KqBuf b = { 0 };
  KqPacker p;
  kq_packer_init (&p, &b);
  kq_pack_array (&p, 4);
  kq_pack_name (&p, &e->config.node);
  kq_pack_name (&p, &e->config.address);
  kq_pack_u64 (&p, e->lease);
  kq_pack_u64 (&p, e->term);
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

/* Reply to the read after a write without an answer: this node leads if the leader's
 * record has its lease. */
static void
on_checked (void *arg, const KqKvReply *r, KqTime now)
{
  KqElection *e = finish_call (arg, r, now);
  KqLeaderRecord record = { 0 };
  RecordExtra extra = { 0 };
  if (e == NULL)
    return;
  if (r->result == KQ_KV_OK && r->n_items == 1
      && read_record (r->items[0].value, &record, &extra) && extra.lease == e->lease)
    become_leader (e, r->items[0].revision, now);
  else
    schedule_election (e, ELECTION_RETRY_MS);
}

static void
on_written (void *arg, const KqKvReply *r, KqTime now)
{
  KqElection *e = finish_call (arg, r, now);
  if (e == NULL)
    return;
  if (r->result == KQ_KV_OK)
    become_leader (e, r->revision, now);
  else if (r->result == KQ_KV_UNKNOWN)
    {
      e->phase = CHECKING_RECORD;
      kq_kv_get (e->config.kv, kq_leader_key, STORE_TIMEOUT_MS,
                 new_callback (e, on_checked));
    }
  else
    {
      e->known_term_revision = 0; /* the known term may be outdated */
      schedule_election (e, ELECTION_RETRY_MS);
    }
}

static void
on_leased (void *arg, const KqKvReply *r, KqTime now)
{
  KqElection *e = finish_call (arg, r, now);
  KqBuf record;
  char term[16];
  KqKvCheck checks[2];
  KqKvPut puts[2];
  KqKvTxn t = { checks, 2, puts, 2, NULL, 0 };
  if (e == NULL)
    return;
  if (r->result != KQ_KV_OK || r->lease == 0)
    {
      schedule_election (e, ELECTION_RETRY_MS);
      return;
    }
  e->lease = r->lease;
  e->lease_requested_at = r->called_at;
  if (r->ttl_ms > 0)
    e->config.ttl_ms = r->ttl_ms;
  e->term++;
  record = pack_record (e);
  snprintf (term, sizeof term, "%u", e->term);
  checks[0] = (KqKvCheck){ kq_leader_key, 0 };
  checks[1] = (KqKvCheck){ term_key, e->term_revision };
  puts[0] = (KqKvPut){ kq_leader_key, kq_buf_str (&record), e->lease };
  puts[1] = (KqKvPut){ term_key, kq_str (term), 0 };
  e->phase = WRITING_RECORD;
  kq_kv_txn (e->config.kv, &t, STORE_TIMEOUT_MS, new_callback (e, on_written));
  kq_buf_free (&record);
}

static void
request_lease (KqElection *e)
{
  e->phase = REQUESTING_LEASE;
  kq_kv_lease_grant (e->config.kv, e->config.ttl_ms, STORE_TIMEOUT_MS,
                     new_callback (e, on_leased));
}

static void
on_term (void *arg, const KqKvReply *r, KqTime now)
{
  KqElection *e = finish_call (arg, r, now);
  int64_t n = 0;
  if (e == NULL)
    return;
  if (r->result == KQ_KV_OK && r->n_items == 1 && kq_str_to_i64 (r->items[0].value, &n))
    e->term_revision = r->items[0].revision;
  else if (r->result == KQ_KV_NOT_FOUND)
    e->term_revision = 0;
  else
    {
      schedule_election (e, ELECTION_RETRY_MS);
      return;
    }
  e->term = (uint32_t)n;
  request_lease (e);
}

static void
start_election (KqElection *e)
{
  e->serial++;
  if (e->known_term_revision != 0)
    {
      e->term = e->known_term;
      e->term_revision = e->known_term_revision;
      request_lease (e);
      return;
    }
  e->phase = READING_TERM;
  kq_kv_get (e->config.kv, term_key, STORE_TIMEOUT_MS, new_callback (e, on_term));
}

/* Whether the record has this node's name and address but another lease. No other process
 * uses this node's address, so an earlier process of this node has written the record. */
static bool
written_by_earlier_process (const KqElection *e, const KqLeaderRecord *record,
                            uint64_t lease)
{
  return lease != e->lease && kq_name_eq (&record->node, &e->config.node)
         && kq_name_eq (&record->address, &e->config.address);
}

static void
revoke_earlier_lease (KqElection *e, uint64_t lease)
{
  kq_log (KQ_LOG_INFO, PART, "Ending the lease of an earlier process. epoch=%llu",
          (unsigned long long)e->record.epoch);
  kq_kv_lease_revoke (e->config.kv, lease, STORE_TIMEOUT_MS,
                      new_callback (e, ignore_reply));
}

static void
on_item (void *arg, const KqKvItem *i, KqTime now)
{
  KqElection *e = arg;
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
  e->known_term = extra.term;
  e->known_term_revision = extra.term > 0 ? i->revision : 0;
  if ((e->phase == WRITING_RECORD || e->phase == CHECKING_RECORD)
      && extra.lease == e->lease)
    return; /* the answer to our own write, or to the read after it, is still to come */
  if (e->phase == LEADING && i->revision <= e->record.epoch)
    return;
  if (e->phase == FOLLOWING && record.epoch == e->record.epoch)
    return; /* heard of already */
  stop_leading (e, "another node leads", now);
  e->record = record;
  if (written_by_earlier_process (e, &record, extra.lease))
    {
      revoke_earlier_lease (e, extra.lease);
      return;
    }
  kq_log (KQ_LOG_INFO, PART, "Leader. node=%.*s address=%.*s epoch=%llu",
          KQ_STR_ARG (kq_name_str (&record.node)),
          KQ_STR_ARG (kq_name_str (&record.address)), (unsigned long long)record.epoch);
  e->last_address = record.address;
  e->config.changed (e->config.arg, &e->record, now);
}

static void
on_deleted (void *arg, KqStr key, uint64_t revision, KqTime now)
{
  KqElection *e = arg;
  if (!kq_str_eq (key, kq_leader_key))
    return;
  if (revision > e->vacant_revision)
    e->vacant_revision = revision;
  if (revision <= e->record.epoch)
    {
      /* The watch reports late that the record before our own write was deleted. */
      kq_log (KQ_LOG_INFO, PART, "An earlier lead has ended. revision=%llu epoch=%llu",
              (unsigned long long)revision, (unsigned long long)e->record.epoch);
      return;
    }
  kq_log (KQ_LOG_INFO, PART, "The lead is vacant. last_epoch=%llu",
          (unsigned long long)e->record.epoch);
  /* The store may have deleted our key although our lease is still good. */
  if (e->phase == LEADING)
    stop_leading (e, "the key is gone", now);
  e->record = (KqLeaderRecord){ 0 };
  e->config.changed (e->config.arg, &e->record, now);
  if (e->phase == FOLLOWING)
    schedule_election (e, 0);
}

static void
on_synced (void *arg, KqTime now)
{
  KqElection *e = arg;
  (void)now;
  e->synced = true;
  if (e->record.epoch == 0 && e->phase == FOLLOWING)
    schedule_election (e, 0);
}

static void
on_answered (void *arg, KqTime sent_at, KqTime now)
{
  KqElection *e = arg;
  e->config.answered (e->config.arg, sent_at, now);
}

KqElection *
kq_election_new (const KqElectionConfig *c)
{
  KqElection *e = kq_alloc (sizeof *e);
  KqFollowOwner owner = { e, on_item, on_deleted, on_synced, on_answered, NULL };
  e->config = *c;
  e->candidate = true;
  e->rand = kq_rand (kq_rand_system ());
  e->elections = kq_counter (c->counters, "kq_lead_elected_total", "",
                             "Times that this node became leader.");
  e->losses = kq_counter (c->counters, "kq_lead_lost_total", "",
                          "Times that this node stopped leading.");
  ev_timer_init (&e->timer, on_timer, 0, 0);
  e->timer.data = e;
  e->follow = kq_follow_new (c->loop, c->kv, kq_leader_key, WATCH_WAIT_MS, 0, &owner);
  return e;
}

void
kq_election_free (KqElection *e)
{
  if (e == NULL)
    return;
  ev_timer_stop (kq_loop_ev (e->config.loop), &e->timer);
  kq_follow_free (e->follow);
  free (e);
}

KqTime
kq_election_valid_until (const KqElection *e)
{
  return e->phase == LEADING ? e->valid_until : 0;
}

void
kq_election_hear (KqElection *e, const KqLeaderRecord *r, KqTime now)
{
  if (r->epoch <= e->record.epoch || r->epoch <= e->vacant_revision
      || kq_name_eq (&r->address, &e->config.address)
      || (e->phase != FOLLOWING && e->phase != LEADING))
    return;
  kq_log (KQ_LOG_INFO, PART,
          "Heard of a leader. node=%.*s address=%.*s epoch=%llu was=%llu",
          KQ_STR_ARG (kq_name_str (&r->node)), KQ_STR_ARG (kq_name_str (&r->address)),
          (unsigned long long)r->epoch, (unsigned long long)e->record.epoch);
  stop_leading (e, "another node leads", now);
  e->record = *r;
  e->last_address = r->address;
  e->config.changed (e->config.arg, &e->record, now);
}

KqStr
kq_election_last_address (const KqElection *e)
{
  return kq_name_str (&e->last_address);
}

KqTime
kq_election_refused_since (const KqElection *e)
{
  return e->phase == LEADING ? e->refused_since : 0;
}

uint64_t
kq_election_lease (const KqElection *e)
{
  return e->lease;
}

void
kq_election_end_lease (KqElection *e, uint64_t lease)
{
  kq_log (KQ_LOG_INFO, PART, "Ending the lease of a leader that has resigned. epoch=%llu",
          (unsigned long long)e->record.epoch);
  kq_kv_lease_revoke (e->config.kv, lease, STORE_TIMEOUT_MS,
                      new_callback (e, ignore_reply));
}

bool
kq_election_is_leader (const KqElection *e)
{
  return e->phase == LEADING;
}

const KqLeaderRecord *
kq_election_record (const KqElection *e)
{
  return &e->record;
}

void
kq_election_renew (KqElection *e)
{
  if (e->phase == LEADING)
    renew (e);
}

void
kq_election_resign (KqElection *e, const char *why, bool retry, KqTime now)
{
  uint64_t lease = e->lease;
  bool was_leader = e->phase == LEADING;
  e->candidate = retry;
  stop_leading (e, why, now);
  if (was_leader)
    kq_kv_lease_revoke (e->config.kv, lease, STORE_TIMEOUT_MS,
                        new_callback (e, ignore_reply));
  if (was_leader && retry)
    schedule_election (e, ELECTION_RETRY_MS);
}
