package target

import "time"

// peakWindow is the time over which a holder remembers its highest use. Credits above it are returned.
const peakWindow = 2 * time.Second

// Holder is an entry's account of its credits for one target.
//
// It never uses more credits than the owner's ledger counts for it: what it returns it stops
// using before it sends the ask, and it counts the life of a grant from before the ask was sent.
type Holder struct {
	limit    int
	inUse    int
	expires  time.Time
	sequence uint64
	pending  uint64
	sentAt   time.Time
	answered time.Time
	peak     int
	oldPeak  int
	peakAt   time.Time
	// ReturnImmediately makes the holder return each credit as soon as it is unused, and keep none for a
	// burst. It suits a holder that can get credits back at little cost.
	ReturnImmediately bool
	// Suspect is the fingerprint of the suspect request that runs or should run on the target; zero for none.
	Suspect uint64
	allowed uint64
	// Obtainable and Scarce are those of the owner's last answer. Obtainable is -1 before the first one.
	Obtainable int
	Scarce     bool
	// Idle is that of the owner's last answer.
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

// Excess returns the number of unused credits above the holder's share, which others wait for.
func (h *Holder) Excess() int { return max(0, h.limit-max(h.inUse, h.share)) }

// InUse returns the number of running requests.
func (h *Holder) InUse() int { return h.inUse }

// Limit returns the number of credits held.
func (h *Holder) Limit() int { return h.limit }

// ResponseAge returns how old the owner's last answer is.
func (h *Holder) ResponseAge(now time.Time) time.Duration { return now.Sub(h.answered) }

// RequestPending reports whether an ask has not been answered yet.
func (h *Holder) RequestPending() bool { return h.pending != 0 }

// Acquire uses one credit and reports whether there was one.
func (h *Holder) Acquire(now time.Time) bool {
	if h.Free(now) == 0 {
		return false
	}
	h.inUse++
	h.notePeak(now)
	return true
}

// Release gives a used credit back.
func (h *Holder) Release(now time.Time) {
	h.notePeak(now)
	h.inUse--
}

func (h *Holder) notePeak(now time.Time) {
	switch {
	case now.Sub(h.peakAt) >= 2*peakWindow:
		h.oldPeak, h.peak, h.peakAt = 0, 0, now
	case now.Sub(h.peakAt) >= peakWindow:
		h.oldPeak, h.peak, h.peakAt = h.peak, 0, now
	}
	h.peak = max(h.peak, h.inUse)
}

// NextRequest returns the next ask, for a holder with waiting requests in its queue. It replaces a pending
// ask, whose answer will be ignored.
func (h *Holder) NextRequest(now time.Time, waiting int) CreditRequest {
	h.notePeak(now)
	keep := max(h.peak, h.oldPeak)
	if h.ReturnImmediately || h.Scarce && waiting == 0 {
		keep = h.inUse
	}
	held := h.inUse
	if now.Before(h.expires) {
		held = max(h.inUse, min(h.limit, h.share, keep))
	}
	// What is returned may not be used from here on: the owner can grant it to another at once.
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

// spareDivisor makes a holder ask for one sixteenth more than its recent peak.
const spareDivisor = 16

// forecast is the number of credits that will do until the next renewal. Asking for it at once saves
// messages. A holder that returns its credits at once asks for none.
func (h *Holder) forecast() int {
	if h.ReturnImmediately || h.Scarce {
		return 0
	}
	peak := max(h.peak, h.oldPeak)
	return peak + (peak+spareDivisor-1)/spareDivisor
}

// HandleResponse applies the answer to the ask of that sequence. It reports false when a later ask has replaced it.
func (h *Holder) HandleResponse(sequence uint64, answer CreditResponse) bool {
	if sequence != h.pending {
		return false
	}
	h.pending = 0
	if answer.Stale {
		return true
	}
	h.limit = answer.Granted
	h.expires = h.sentAt.Add(answer.TTL)
	h.answered = h.sentAt
	h.Obtainable = answer.Obtainable
	h.Idle = answer.Idle
	h.Scarce = answer.Scarce
	h.share = answer.Share
	h.allowed = answer.Suspect
	return true
}

// MayRunSuspect reports whether the suspect request of that fingerprint may be started on the target.
func (h *Holder) MayRunSuspect(now time.Time, fingerprint uint64) bool {
	return h.allowed == fingerprint && h.Suspect == fingerprint && h.Free(now) > 0
}

// RequestFailed records that the ask of that sequence got no answer. Credits last until their expiry. It
// reports false when a later ask has replaced it.
func (h *Holder) RequestFailed(sequence uint64) bool {
	if sequence != h.pending {
		return false
	}
	h.pending = 0
	return true
}

// Reset gives up all credits, because the target has another owner. Running requests go on.
func (h *Holder) Reset() {
	h.limit = h.inUse
	h.expires = time.Time{}
	h.pending = 0
	h.Obtainable = -1
	h.Scarce = false
	h.allowed = 0
}
