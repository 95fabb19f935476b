package origins

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// confirmReadTimeout bounds the read of the records for a resumption: some dozen times what the store usually takes.
const confirmReadTimeout = 150 * time.Millisecond

// confirmation is a read of the records of versions that resumptions share.
type confirmation struct {
	// reading is held during a read.
	reading sync.Mutex
	// began is when the last read began.
	began time.Time
	err   error
}

// confirmSole reports whether a version that this VM knows as the only one of a service still is. The VM's copies of the registry
// and of the record may be outdated, after a suspension for as long as that, while others began streams at a version that has been
// recorded since. If the store can't be read, all of the other VMs that are asked have to be certain of it.
func (s *Service) confirmSole(ctx context.Context, service, version string) bool {
	asked := make(chan answers, 1)
	go func() { asked <- s.ask(ctx, findRequest{Service: service}) }()
	err := s.readSince(ctx, time.Now())
	answer := <-asked
	if answer.differ || answer.Sole && answer.SoleVersion != version {
		return false
	}
	if err != nil {
		return s.unanimous(answer)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, _, certain := s.history.Sole(time.Now(), service)
	return certain && current == version
}

// confirmOf reports whether a version of which another VM is certain still is the only one of a service that this VM knows. The
// copies of both may be outdated.
func (s *Service) confirmOf(ctx context.Context, since time.Time, service, version string, answer answers) bool {
	if answer.differ {
		return false
	}
	if err := s.readSince(ctx, since); err != nil {
		return s.unanimous(answer)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, sole, _ := s.history.Sole(time.Now(), service)
	return sole && current == version
}

// unanimous reports whether all VMs that were asked are certain of a single version. A VM that has lost all others may be the one
// that is cut off, while they record a version.
func (s *Service) unanimous(answer answers) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return answer.all && answer.sole && (answer.asked > 0 || !s.vmLost)
}

// readSince reads the records, unless a read that began later than a time has succeeded.
func (s *Service) readSince(ctx context.Context, since time.Time) error {
	c := &s.confirmation
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.began.After(since) {
		return c.err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmReadTimeout)
	defer cancel()
	c.began = time.Now()
	page, err := s.config.Rows.Read(ctx, tableOrigins, "", platform.KeyRange{From: versionsPrefix, To: versionsEnd})
	c.err = err
	if err != nil {
		s.config.Log.Info().Err(err).Msg("versions of services not read for a stream that its client resumes; other VMs are asked")
		return err
	}
	s.stored.setClock(page.Now)
	s.loadRecords(c.began, page)
	s.publishTargets()
	s.stored.resubmitAmbiguous(s.isAmbiguous)
	return nil
}
