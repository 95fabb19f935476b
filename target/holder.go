package target

import "time"

// peakWindow is the time over which a holder tracks its peak usage. Credits above the peak are returned.
const peakWindow = 2 * time.Second

// Holder tracks the credits that an entry holds for one target.
//
// It never uses more credits than the owner's ledger counts for it: it stops using returned credits
// before it sends the request that returns them, and it counts the lifetime of a grant from before
// the request was sent.
type Holder struct {
	limit        int
	inUse        int
	expires      time.Time
	sequence     uint64
	pending      uint64
	sentAt       time.Time
	lastResponse time.Time
	peak         int
	previousPeak int
	peakStart    time.Time
	// ReturnImmediately makes the holder return each credit as soon as it is unused, and keep none for
	// bursts. It suits a holder that can get credits back at little cost.
	ReturnImmediately bool
	// Suspect is the fingerprint of the suspect request that runs or should run on the target; zero for none.
	Suspect        uint64
	grantedSuspect uint64
	// Obtainable and Scarce are copied from the owner's last response. Obtainable is -1 before the first one.
	Obtainable int
	Scarce     bool
	// Idle is copied from the owner's last response.
	Idle  int
	share int
}

// NewHolder returns a holder without credits.
func NewHolder() *Holder { return &Holder{Obtainable: -1} }

// Free returns the number of requests that may be started now.
func (h *Holder) Free(now time.Time) int {
	if !now.Before(h.expires) {
		return 0
	}
	return max(0, min(h.limit, h.share)-h.inUse)
}

// Excess returns the number of unused credits above the holder's share, for which other holders are waiting.
func (h *Holder) Excess() int { return max(0, h.limit-max(h.inUse, h.share)) }

// InUse returns the number of running requests.
func (h *Holder) InUse() int { return h.inUse }

// Limit returns the number of credits held.
func (h *Holder) Limit() int { return h.limit }

// ResponseAge returns the age of the owner's last response, counted from before its request was sent.
func (h *Holder) ResponseAge(now time.Time) time.Duration { return now.Sub(h.lastResponse) }

// RequestPending reports whether a request is awaiting its response.
func (h *Holder) RequestPending() bool { return h.pending != 0 }

// Acquire takes a free credit into use and reports whether there was one.
func (h *Holder) Acquire(now time.Time) bool {
	if h.Free(now) == 0 {
		return false
	}
	h.inUse++
	h.updatePeak(now)
	return true
}

// Release ends the use of a credit. The holder keeps the credit.
func (h *Holder) Release(now time.Time) {
	h.updatePeak(now)
	h.inUse--
}

func (h *Holder) updatePeak(now time.Time) {
	switch {
	case now.Sub(h.peakStart) >= 2*peakWindow:
		h.previousPeak, h.peak, h.peakStart = 0, 0, now
	case now.Sub(h.peakStart) >= peakWindow:
		h.previousPeak, h.peak, h.peakStart = h.peak, 0, now
	}
	h.peak = max(h.peak, h.inUse)
}

// NextRequest returns the next credit request, given the number of requests waiting in the holder's queue.
// It supersedes a pending request, whose response will be ignored.
func (h *Holder) NextRequest(now time.Time, waiting int) CreditRequest {
	h.updatePeak(now)
	keep := max(h.peak, h.previousPeak)
	if h.ReturnImmediately || h.Scarce && waiting == 0 {
		keep = h.inUse
	}
	held := h.inUse
	if now.Before(h.expires) {
		held = max(h.inUse, min(h.limit, h.share, keep))
	}
	// Returned credits must not be used from here on: the owner can grant them to another holder at once.
	h.limit = held
	h.sequence++
	h.pending = h.sequence
	h.sentAt = now
	return CreditRequest{
		Sequence: h.sequence,
		Held:     held,
		InUse:    h.inUse,
		Want:     h.inUse + waiting,
		Spare:    h.forecast(),
		Suspect:  h.Suspect,
	}
}

// spareDivisor sets how far the requested credits exceed the recent peak: by one sixteenth of it.
const spareDivisor = 16

// forecast returns the number of credits expected to suffice until the next renewal. Requesting them
// together saves messages. A holder that returns its credits immediately requests none.
func (h *Holder) forecast() int {
	if h.ReturnImmediately || h.Scarce {
		return 0
	}
	peak := max(h.peak, h.previousPeak)
	return peak + (peak+spareDivisor-1)/spareDivisor
}

// HandleResponse applies the response to the request with that sequence number. It reports false if a
// later request has superseded it.
func (h *Holder) HandleResponse(sequence uint64, response CreditResponse) bool {
	if sequence != h.pending {
		return false
	}
	h.pending = 0
	if response.Stale {
		return true
	}
	h.limit = response.Granted
	h.expires = h.sentAt.Add(response.TTL)
	h.lastResponse = h.sentAt
	h.Obtainable = response.Obtainable
	h.Idle = response.Idle
	h.Scarce = response.Scarce
	h.share = response.Share
	h.grantedSuspect = response.Suspect
	return true
}

// MayRunSuspect reports whether the suspect request with that fingerprint may be started on the target.
func (h *Holder) MayRunSuspect(now time.Time, fingerprint uint64) bool {
	return h.grantedSuspect == fingerprint && h.Suspect == fingerprint && h.Free(now) > 0
}

// RequestFailed records that the request with that sequence number got no response. Credits remain valid
// until they expire. It reports false if a later request has superseded it.
func (h *Holder) RequestFailed(sequence uint64) bool {
	if sequence != h.pending {
		return false
	}
	h.pending = 0
	return true
}

// Reset drops all credits because the target has a new owner. Running requests continue.
func (h *Holder) Reset() {
	h.limit = h.inUse
	h.expires = time.Time{}
	h.pending = 0
	h.Obtainable = -1
	h.Scarce = false
	h.grantedSuspect = 0
}
