package controller

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// MethodCredits asks an owner for credits: CreditsAsk to CreditsAnswer.
const MethodCredits peer.Method = "credits.request"

// MethodRecall asks a holder to give unused credits back: CreditsRecall to struct{}.
const MethodRecall peer.Method = "credits.recall"

// CreditsRecall names the targets for which others wait.
type CreditsRecall struct {
	Targets []string `cbor:"1,keyasint"`
}

// CreditsAsk carries one entry's asks for all targets of one owner.
type CreditsAsk struct {
	// Session identifies the asking process.
	Session uint64      `cbor:"1,keyasint"`
	Targets []TargetAsk `cbor:"2,keyasint"`
	// Hold lets the owner keep the answer back until it can grant something, for Config.AskWait at most. Without
	// it the owner does so only while batch work is giving up slots for the holder.
	Hold bool `cbor:"3,keyasint,omitempty"`
}

// TargetAsk is target.Ask on the wire.
type TargetAsk struct {
	Target   string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	Held     int    `cbor:"3,keyasint,omitempty"`
	InUse    int    `cbor:"4,keyasint,omitempty"`
	Want     int    `cbor:"5,keyasint,omitempty"`
	Suspect  uint64 `cbor:"6,keyasint,omitempty"`
	// Refused says that the target has refused a request of the holder.
	Refused bool `cbor:"7,keyasint,omitempty"`
	Spare   int  `cbor:"8,keyasint,omitempty"`
}

func newTargetAsk(name string, refused bool, ask target.CreditRequest) TargetAsk {
	return TargetAsk{
		Target:   name,
		Sequence: ask.Sequence,
		Held:     ask.Held,
		InUse:    ask.InUse,
		Want:     ask.Want,
		Spare:    ask.Spare,
		Suspect:  ask.Suspect,
		Refused:  refused,
	}
}

func (a TargetAsk) ask(holder string, session uint64) target.CreditRequest {
	return target.CreditRequest{
		Holder:   holder,
		Session:  session,
		Sequence: a.Sequence,
		Held:     a.Held,
		InUse:    a.InUse,
		Want:     a.Want,
		Spare:    a.Spare,
		Suspect:  a.Suspect,
	}
}

// CreditsAnswer answers the asks, in their order.
type CreditsAnswer struct {
	Targets []TargetAnswer `cbor:"1,keyasint"`
}

// TargetAnswer is target.Answer on the wire.
type TargetAnswer struct {
	// NotOwner says that the asked VM does not own the target; the other fields are zero.
	NotOwner   bool          `cbor:"1,keyasint,omitempty"`
	Granted    int           `cbor:"2,keyasint,omitempty"`
	TTL        time.Duration `cbor:"3,keyasint,omitempty"`
	Obtainable int           `cbor:"4,keyasint,omitempty"`
	Scarce     bool          `cbor:"5,keyasint,omitempty"`
	Suspect    uint64        `cbor:"6,keyasint,omitempty"`
	Stale      bool          `cbor:"7,keyasint,omitempty"`
	Share      int           `cbor:"8,keyasint,omitempty"`
	// Refuses says that the target refuses work, by what the owner has seen or heard.
	Refuses bool `cbor:"9,keyasint,omitempty"`
	Idle    int  `cbor:"10,keyasint,omitempty"`
}

func newTargetAnswer(refuses bool, answer target.CreditResponse) TargetAnswer {
	return TargetAnswer{
		Granted:    answer.Granted,
		TTL:        answer.TTL,
		Obtainable: answer.Obtainable,
		Scarce:     answer.Scarce,
		Suspect:    answer.Suspect,
		Stale:      answer.Stale,
		Share:      answer.Share,
		Idle:       answer.Idle,
		Refuses:    refuses,
	}
}

func (a TargetAnswer) answer() target.CreditResponse {
	return target.CreditResponse{
		Granted:    a.Granted,
		TTL:        a.TTL,
		Obtainable: a.Obtainable,
		Scarce:     a.Scarce,
		Suspect:    a.Suspect,
		Stale:      a.Stale,
		Share:      a.Share,
		Idle:       a.Idle,
	}
}
