package batchjobs

import (
	"context"
	"errors"
	"time"

	rowstore "github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/target"
)

const (
	// ownerGrace is how long the owner of a job must be missing from the members before it is replaced.
	ownerGrace = 300 * time.Millisecond
	// membershipSettleTime is the time after the start during which not all members are known yet.
	membershipSettleTime = 2 * time.Second
	// handOverTimeout bounds the hand-over of all jobs at shutdown.
	handOverTimeout = 2 * time.Second
)

// designatedOwner returns the VM that should own a job: the current owner while it is a member, otherwise the
// live VM of the highest rank.
func designatedOwner(job, owner string, members []member.Member) string {
	best, bestRank := "", uint64(0)
	for _, m := range members {
		if m.VM == owner {
			return owner
		}
		if m.State != member.Alive {
			continue
		}
		if rank := target.Rank(job, m.VM); best == "" || rank > bestRank {
			best, bestRank = m.VM, rank
		}
	}
	return best
}

// successor returns the live VM of the highest rank other than this one, or "" if there is none.
func successor(job, self string, members []member.Member) string {
	others := make([]member.Member, 0, len(members))
	for _, m := range members {
		if m.VM != self {
			others = append(others, m)
		}
	}
	return designatedOwner(job, "", others)
}

// ownerForNewJob returns the owner of a job that is being accepted here: this VM, or its successor when it is
// leaving.
func (s *Service) ownerForNewJob(job string) (string, error) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if !leaving {
		return s.config.VM, nil
	}
	owner := successor(job, s.config.VM, s.config.Members.Members())
	if owner == "" {
		return "", errors.New("this VM is leaving and knows no other")
	}
	return owner, nil
}

// takeOverJobs claims the jobs whose owner is lost. The caller holds s.mu.
func (s *Service) takeOverJobs(ctx context.Context, now time.Time, jobs map[string]*cachedHead) {
	if now.Sub(s.started) < membershipSettleTime {
		return
	}
	members := s.config.Members.Members()
	for job, e := range jobs {
		if !e.head.Open() || e.head.Owner == s.config.VM || designatedOwner(job, e.head.Owner, members) != s.config.VM {
			delete(s.ownerMissingSince, job)
			continue
		}
		since, missing := s.ownerMissingSince[job]
		if !missing {
			s.ownerMissingSince[job] = now
			continue
		}
		if now.Sub(since) < ownerGrace || s.claiming[job] {
			continue
		}
		s.claiming[job] = true
		s.tasks.Go(func() { s.claim(ctx, job, e) })
	}
}

// claim makes this VM the owner of a job, unless another VM claims it first.
func (s *Service) claim(ctx context.Context, job string, e *cachedHead) {
	head := e.head.Clone()
	head.Owner = s.config.VM
	head.Epoch++
	s.changeOwner(ctx, job, e, head)
	s.mu.Lock()
	delete(s.claiming, job)
	delete(s.ownerMissingSince, job)
	s.mu.Unlock()
	s.requestReconcile()
}

// changeOwner writes a head with a new owner, and reports whether the write succeeded.
func (s *Service) changeOwner(ctx context.Context, job string, e *cachedHead, head *Head) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := s.store.update(callCtx, job, head, e.version, nil)
	log := s.config.Log.Info()
	if err != nil {
		log = s.config.Log.Warn().Err(err)
	}
	log.EmbedObject(jobName(job)).Str("from", e.head.Owner).Str("to", head.Owner).Uint64("epoch", head.Epoch).
		Uint64("row_version", e.version).Bool("done", err == nil).Msg("change of job owner")
	var conflict *rowstore.RowConflictError
	if errors.As(err, &conflict) {
		s.updateFromConflict(job, conflict)
	}
	if err != nil {
		return false
	}
	jobsTakenOver.Inc()
	s.heads.put(job, head, version)
	return true
}

// Leave stops running items and hands all jobs of this VM over to other VMs.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	runs := s.runs
	s.runs = map[string]*jobRun{}
	s.mu.Unlock()
	for _, run := range runs {
		run.cancel()
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	s.forwardHandedOver(ctx)
	for ctx.Err() == nil && s.handOverJobs(ctx, runs) {
		time.Sleep(retryDelay)
	}
}

// handOverJobs hands each job over to another VM, and reports whether any remain.
func (s *Service) handOverJobs(ctx context.Context, runs map[string]*jobRun) bool {
	remaining := false
	for job, e := range s.heads.all() {
		if !e.head.Open() || e.head.Owner != s.config.VM {
			continue
		}
		newOwner := successor(job, s.config.VM, s.config.Members.Members())
		if newOwner == "" {
			continue
		}
		if run := runs[job]; run != nil {
			delete(runs, job)
			s.sendProgress(ctx, run, newOwner)
		}
		head := e.head.Clone()
		head.Owner = newOwner
		head.Epoch++
		remaining = !s.changeOwner(ctx, job, e, head) || remaining
	}
	return remaining
}
