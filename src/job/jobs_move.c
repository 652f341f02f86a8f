#include "job/jobs_impl.h"

#include <stdlib.h>
#include <string.h>

/* Moves of queued jobs that can't run in this shard to another shard of the region.
 *
 * Without moves, jobs would wait for workers that may never return when a rack or all
 * workers of a shard are lost, or behind a full queue while another shard is idle.
 *
 * Each step of a move is a record: MOVING in this shard, ARRIVED in the other, MOVED in
 * this one. The message about a step is sent only after its record is committed. The
 * message JOB_MOVE is repeated until the other shard confirms it, so that a lost message
 * loses no job. From MOVING on the job isn't started here, so that it never runs in both
 * shards. The other shard never refuses a job: a refusal that crossed a repeated JOB_MOVE
 * could leave the job in both. */

/* Time between two rounds of moves. Digests arrive twice a second, so that each round has
 * new ones. */
#define MOVE_PERIOD KQ_SEC
/* Most moves begun in one round. If there were more, all could go to the shard that is
 * the emptiest by the last digests. */
#define MOVE_BATCH 16
/* Most unplaceable jobs for which another shard is sought in one round. */
#define MOVE_UNPLACEABLE_BATCH 128
/* A job that has waited for room longer than this may move. In that time several digests
 * arrive, and under normal load enough tasks end to free the room here. */
#define MOVE_WAIT (5 * KQ_SEC)
/* Most moves of one job. Without a limit the job could move for ever between shards none
 * of which has room for long. */
#define MOVES_MAX 8

void
kq_jobs_set_region_digests (KqJobs *j, const KqShardDigest *d, size_t n)
{
  j->others = kq_realloc (j->others, (n + 1) * sizeof *j->others);
  j->n_others = 0;
  for (size_t i = 0; i < n; i++)
    {
      KqShardDigest *o = &j->others[j->n_others];
      if (d[i].shard == j->c.shard || d[i].shard < j->c.first_shard
          || d[i].shard >= j->c.first_shard + j->c.n_shards)
        continue;
      *o = d[i];
      o->services = NULL;
      o->n_services = 0;
      o->teams = NULL;
      o->n_teams = 0;
      j->n_others++;
    }
}

/* Chooses the shard with the shortest queue among those that can start the job now; if
 * there is none and `allow_waiting` is set, among those whose largest worker can hold the
 * job. NULL if there is none. Adds the job to the chosen shard's digest, so that the
 * moves of one round aren't all directed there. */
static KqShardDigest *
choose_shard (KqJobs *j, const KqSize *need, bool allow_waiting)
{
  KqShardDigest *best = NULL;
  bool best_fits_now = false;
  for (size_t i = 0; i < j->n_others; i++)
    {
      KqShardDigest *d = &j->others[i];
      bool fits_now
          = kq_size_fits (need, &d->largest_free) && kq_size_fits (need, &d->free);
      if (d->workers == 0 || !kq_size_fits (need, &d->largest_capacity))
        continue;
      if (!fits_now && (!allow_waiting || best_fits_now))
        continue;
      if (best != NULL && best_fits_now == fits_now
          && d->queued_jobs >= best->queued_jobs)
        continue;
      best = d;
      best_fits_now = fits_now;
    }
  if (best != NULL)
    {
      best->queued_jobs++;
      best->free = kq_size_sub (best->free, *need);
    }
  return best;
}

static void
send_move (KqJobs *j, const KqJob *job, KqOutbox *out)
{
  KqJobEvent e = { .kind = KQ_JOB_EVENT_FULL_STATE, .job = job->id, .full_state = *job };
  KqMsg m = { .kind = KQ_MSG_JOB_MOVE };
  KqRecord r = kq_job_event_pack (&e, &j->buf);
  m.u.job_move.shard = job->to_shard;
  m.u.job_move.from = j->c.shard;
  m.u.job_move.job = job->id;
  m.u.job_move.record = r.body;
  kq_jobs_send_after (j, job->seq);
  kq_outbox_send (out, j->c.self, &m);
}

static void
resend_moves (KqJobs *j, KqOutbox *out)
{
  GHashTableIter it;
  gpointer value;
  if (j->set.moving == 0)
    return;
  g_hash_table_iter_init (&it, j->set.by_id);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      if (((const KqJob *)value)->state == KQ_JOB_STATE_MOVING)
        send_move (j, value, out);
    }
}

static bool
try_move (KqJobs *j, KqJob *job, bool allow_waiting, KqTime now)
{
  KqSize need = kq_jobs_required_size (j, job);
  KqShardDigest *d;
  if (job->moves >= MOVES_MAX || job->reserved_worker != NULL)
    return false;
  d = choose_shard (j, &need, allow_waiting);
  if (d == NULL)
    return false;
  kq_jobs_start_move (j, job, d->shard, now);
  return true;
}

static int
move_unplaceable (KqJobs *j, int count_max, KqTime now)
{
  KqJob *next;
  int n = 0;
  int tries_left = MOVE_UNPLACEABLE_BATCH;
  for (KqJob *job = j->queue.unplaceable.first;
       job != NULL && n < count_max && tries_left > 0; job = next)
    {
      next = job->next;
      tries_left--;
      n += try_move (j, job, true, now);
    }
  return n;
}

/* Of each team and priority, moves the oldest job if it has waited for room longer than
 * MOVE_WAIT. Returns the number of moves begun. */
static int
move_waiting (KqJobs *j, int count_max, KqTime now)
{
  int n = 0;
  for (size_t team = 0; team < j->quota.n; team++)
    {
      for (int p = KQ_PRIORITY_URGENT; p >= KQ_PRIORITY_LOW && n < count_max; p--)
        {
          KqJob *job = kq_job_queue_list (&j->queue, team, (KqPriority)p)->first;
          if (job != NULL && job->blocked_reason == KQ_ERR_NO_ROOM
              && now - job->queued_at > MOVE_WAIT)
            n += try_move (j, job, false, now);
        }
    }
  return n;
}

void
kq_jobs_move_away (KqJobs *j, KqTime now, KqOutbox *out)
{
  int n;
  if (now < j->next_move || j->n_others == 0)
    return;
  j->next_move = now + MOVE_PERIOD;
  n = move_unplaceable (j, MOVE_BATCH, now);
  move_waiting (j, MOVE_BATCH - n, now);
  resend_moves (j, out);
}

static void
send_moved (KqJobs *j, const KqMsgJobMove *m, const KqJob *full_state, KqSeq seq,
            KqOutbox *out)
{
  KqMsg r = { .kind = KQ_MSG_JOB_MOVED };
  r.u.job_moved.shard = m->from;
  r.u.job_moved.from = j->c.shard;
  r.u.job_moved.job = m->job;
  r.u.job_moved.moves = full_state->moves;
  kq_jobs_send_after (j, seq);
  kq_outbox_send (out, j->c.self, &r);
}

KqSeq
kq_jobs_receive_move (KqJobs *j, const KqMsgJobMove *m, KqTime now, KqOutbox *out)
{
  KqRecord r = { KQ_JOB_EVENT_FULL_STATE, KQ_JOB_RECORD_VERSION, m->record };
  KqJobEvent e;
  KqJob *job;
  j->send_after = 0;
  if (!j->open || kq_job_event_unpack (&r, &e) != KQ_OK || e.job != m->job)
    return 0;
  job = kq_job_find (&j->set, m->job);
  /* A repeated message: the job has arrived already, and may have moved on since. */
  if (job != NULL && job->moves >= e.full_state.moves)
    {
      send_moved (j, m, &e.full_state, job->seq, out);
      return j->send_after;
    }
  if (!j->store_ok || (job != NULL && job->state != KQ_JOB_STATE_MOVED))
    return 0;
  job = kq_jobs_accept_moved (j, &e.full_state, now);
  send_moved (j, m, &e.full_state, job->seq, out);
  kq_jobs_update_unplaceable (j, job, now);
  return j->send_after;
}

KqSeq
kq_jobs_confirm_move (KqJobs *j, const KqMsgJobMoved *m, KqTime now)
{
  KqJob *job = kq_job_find (&j->set, m->job);
  j->send_after = 0;
  if (j->open && job != NULL && job->state == KQ_JOB_STATE_MOVING
      && job->to_shard == m->from && job->moves == m->moves)
    kq_jobs_end_move (j, job, now);
  return j->send_after;
}
