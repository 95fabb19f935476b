package experiment

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// maxAttempts bounds the targets that an online request is sent to.
const maxAttempts = 3

// answer is what the caller of one online request saw.
type answer struct {
	at time.Duration
	// firstToken is the time from the caller's sending to the first token it received; zero if none came.
	firstToken time.Duration
	gaps       []time.Duration
	// occupied is the time for which the request had a slot or waited inside the engine.
	occupied time.Duration
	refused  bool
	// refusedAfter is the time from sending to the refusal.
	refusedAfter time.Duration
	failed       bool
}

// online sends one request to an entry, and again through another when that is lost.
func (r *run) online(a arrival, id int) answer {
	sent := time.Now()
	result := answer{at: a.at}
	for range r.profile.VMs {
		v := r.fleet.live(a.vm)
		if r.through(v, a, id, sent, &result) {
			return result
		}
	}
	result.failed = true
	return result
}

// through carries a request by one entry. It reports false when the entry was lost.
func (r *run) through(v *vm, a arrival, id int, sent time.Time, result *answer) bool {
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
func (r *run) attempt(v *vm, s slot, a arrival, sent time.Time, result *answer) error {
	began := time.Now()
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
	s.release(outcomeOf(j, began))
	if j.err != nil {
		return j.err
	}
	result.firstToken = j.firstAt.Add(delay + r.profile.ClientDelay).Sub(sent)
	result.gaps = j.gaps
	result.occupied = j.lastAt.Sub(began)
	return nil
}

// outcomeOf describes an attempt as the engine client does.
func outcomeOf(j *job, began time.Time) admission.Outcome {
	o := admission.Outcome{End: admission.EndCompleted, Tokens: j.tokens, Duration: time.Since(began)}
	if j.tokens > 0 {
		o.FirstToken = j.firstAt.Sub(began)
	}
	switch {
	case errors.Is(j.err, errCrashed):
		o.End = admission.EndInterrupted
	case errors.Is(j.err, context.Canceled):
		o.End = admission.EndCancelled
	}
	return o
}
