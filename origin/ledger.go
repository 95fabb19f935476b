// Package origin remembers which software version of a service began each stream, and which versions have served, so
// that a stream is only ever resumed at the version that began it.
//
// The package is pure: the time is passed in, and nothing blocks. It is not safe for concurrent use.
package origin

import "time"

// Origin is where a stream began.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

const (
	// Retention is how long an origin is kept: the longest timeout of a request (30 s), and as long again for the
	// client to return.
	Retention = time.Minute
	// MaxOrigins bounds the origins of a Ledger. The oldest are forgotten first.
	MaxOrigins = 32_768
)

// Ledger holds the origins of recent streams by the ID of the attempt that brought the first event.
type Ledger struct {
	origins map[string]recorded
	// order lists the attempts by the time at which they were recorded, oldest first.
	order []string
}

type recorded struct {
	origin Origin
	at     time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{origins: map[string]recorded{}} }

// Put records an origin. The first one recorded for an attempt stays: a stream has one origin.
func (l *Ledger) Put(now time.Time, attempt string, o Origin) {
	l.expire(now)
	if _, known := l.origins[attempt]; known {
		return
	}
	if len(l.order) >= MaxOrigins {
		l.forgetOldest()
	}
	l.origins[attempt] = recorded{origin: o, at: now}
	l.order = append(l.order, attempt)
}

// Get returns the origin of the stream that an attempt began.
func (l *Ledger) Get(now time.Time, attempt string) (Origin, bool) {
	l.expire(now)
	r, known := l.origins[attempt]
	return r.origin, known
}

func (l *Ledger) expire(now time.Time) {
	for len(l.order) > 0 && now.Sub(l.origins[l.order[0]].at) > Retention {
		l.forgetOldest()
	}
}

func (l *Ledger) forgetOldest() {
	delete(l.origins, l.order[0])
	l.order = l.order[1:]
}
