package experiment

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// maxAttempts is the maximum number of targets that one entry sends an online request to.
const maxAttempts = 3

// onlineResult is the result of one online request as its caller sees it.
type onlineResult struct {
	at time.Duration
	// firstToken is the time from sending the request to receiving the first token; zero if there was none.
	firstToken time.Duration
	gaps       []time.Duration
	// occupied is the time for which the request held a slot or waited in the engine's queue.
	occupied time.Duration
	refused  bool
	// refusedAfter is the time from sending the request to its refusal.
	refusedAfter time.Duration
	failed       bool
}

// sendOnline sends one request to an entry, and resends it to another if that entry is killed.
func (r *run) sendOnline(a arrival, id int) onlineResult {
	sent := time.Now()
	result := onlineResult{at: a.at}
	for range r.profile.VMs {
		v := r.fleet.firstLive(a.vm)
		if r.sendThrough(v, a, id, sent, &result) {
			return result
		}
	}
	result.failed = true
	return result
}

// sendThrough sends a request through one entry. It returns false if the entry was killed meanwhile.
func (r *run) sendThrough(v *vm, a arrival, id int, sent time.Time, result *onlineResult) bool {
	time.Sleep(r.profile.ClientDelay)
	deadline := sent.Add(r.profile.Deadline)
	var tried []string
	for range maxAttempts {
		s, err := r.placer.place(v.ctx, v, a, id, deadline, tried)
		if v.ctx.Err() != nil {
			return false
		}
		if err != nil {
			var refusal *verdict.Error
			result.refused = errors.As(err, &refusal)
			result.failed = !result.refused
			result.refusedAfter = time.Since(sent)
			return true
		}
		err = r.attempt(v, s, a, sent, result)
		if err == nil {
			return true
		}
		if v.ctx.Err() != nil {
			return false
		}
		tried = append(tried, s.engine.name)
	}
	result.failed = true
	return true
}

// attempt runs a request on one engine.
func (r *run) attempt(v *vm, s slot, a arrival, sent time.Time, result *onlineResult) error {
	started := time.Now()
	delay := r.fleet.engineDelay(v, s.engine)
	time.Sleep(delay)
	j, err := s.engine.start(uint64(a.size.client+1), r.profile.Online.Prefix, a.size.prompt, a.size.output)
	if err != nil {
		time.Sleep(delay)
		s.release(admission.Outcome{End: admission.EndUnreachable})
		return err
	}
	select {
	case <-v.ctx.Done():
		s.engine.cancel(j)
	case <-j.done:
	}
	<-j.done
	time.Sleep(delay)
	s.release(outcomeOf(j, started))
	if j.err != nil {
		return j.err
	}
	result.firstToken = j.firstAt.Add(delay + r.profile.ClientDelay).Sub(sent)
	result.gaps = j.gaps
	result.occupied = j.lastAt.Sub(started)
	return nil
}

// outcomeOf returns the outcome that the engine client would report for an attempt.
func outcomeOf(j *job, started time.Time) admission.Outcome {
	o := admission.Outcome{End: admission.EndCompleted, Tokens: j.tokens, Duration: time.Since(started)}
	if j.tokens > 0 {
		o.FirstToken = j.firstAt.Sub(started)
	}
	switch {
	case errors.Is(j.err, errCrashed):
		o.End = admission.EndInterrupted
	case errors.Is(j.err, context.Canceled):
		o.End = admission.EndCancelled
	}
	return o
}
