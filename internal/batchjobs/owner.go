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
	// ownerGrace is how long the owner of a job has to be missing among the members before it is replaced.
	ownerGrace = 300 * time.Millisecond
	// settleTime is the time after the start in which the members are not all known yet.
	settleTime = 2 * time.Second
	// handOverTimeout bounds the handing over of all jobs at a stop.
	handOverTimeout = 2 * time.Second
)

// heir returns the VM that takes a job over when its owner is gone: the live one of the highest rank.
// It returns the owner while that is a member.
func heir(job, owner string, members []member.Member) string {
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

// successor returns the live VM of the highest rank other than this one, or nothing.
func successor(job, self string, members []member.Member) string {
	others := make([]member.Member, 0, len(members))
	for _, m := range members {
		if m.VM != self {
			others = append(others, m)
		}
	}
	return heir(job, "", others)
}

// ownerForNew returns the owner of a job that is being accepted here.
func (s *Service) ownerForNew(job string) (string, error) {
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

// takeOver claims the jobs whose owner is gone. The lock is held.
func (s *Service) takeOver(ctx context.Context, now time.Time, jobs map[string]*entry) {
	if now.Sub(s.started) < settleTime {
		return
	}
	members := s.config.Members.Members()
	for job, e := range jobs {
		if !e.head.Open() || e.head.Owner == s.config.VM || heir(job, e.head.Owner, members) != s.config.VM {
			delete(s.unowned, job)
			continue
		}
		since, missing := s.unowned[job]
		if !missing {
			s.unowned[job] = now
			continue
		}
		if now.Sub(since) < ownerGrace || s.claiming[job] {
			continue
		}
		s.claiming[job] = true
		s.tasks.Go(func() { s.claim(ctx, job, e) })
	}
}

// claim makes this VM the owner of a job, unless another one is faster.
func (s *Service) claim(ctx context.Context, job string, e *entry) {
	head := e.head.Clone()
	head.Owner = s.config.VM
	head.Epoch++
	s.changeOwner(ctx, job, e, head)
	s.mu.Lock()
	delete(s.claiming, job)
	delete(s.unowned, job)
	s.mu.Unlock()
	s.wakeRunner()
}

// changeOwner writes a head with another owner, and reports whether that succeeded.
func (s *Service) changeOwner(ctx context.Context, job string, e *entry, head *Head) bool {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := s.store.update(call, job, head, e.version, nil)
	log := s.config.Log.Info()
	if err != nil {
		log = s.config.Log.Warn().Err(err)
	}
	log.Str("job", job).Str("from", e.head.Owner).Str("to", head.Owner).Uint64("epoch", head.Epoch).
		Uint64("row_version", e.version).Bool("done", err == nil).Msg("job changes its owner")
	var conflict *rowstore.RowConflictError
	if errors.As(err, &conflict) {
		s.adopt(job, conflict)
	}
	if err != nil {
		return false
	}
	jobsTakenOver.Inc()
	s.view.put(job, head, version)
	return true
}

// Leave hands all jobs of this VM over to others and runs no more items.
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
	s.passOnInherited(ctx)
	for ctx.Err() == nil && s.handOver(ctx, runs) {
		time.Sleep(retryPause)
	}
}

// handOver gives each job to another VM, and reports whether some are left.
func (s *Service) handOver(ctx context.Context, runs map[string]*jobRun) bool {
	left := false
	for job, e := range s.view.all() {
		if !e.head.Open() || e.head.Owner != s.config.VM {
			continue
		}
		to := successor(job, s.config.VM, s.config.Members.Members())
		if to == "" {
			continue
		}
		if run := runs[job]; run != nil {
			delete(runs, job)
			s.sendProgress(ctx, run, to)
		}
		head := e.head.Clone()
		head.Owner = to
		head.Epoch++
		left = !s.changeOwner(ctx, job, e, head) || left
	}
	return left
}
