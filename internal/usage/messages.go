package usage

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/usage"
)

// Messages between a VM that received a request and the VM that counts for its account.
const (
	methodAsk    peer.Method = "usage.ask"
	methodAnswer peer.Method = "usage.answer"
	methodReturn peer.Method = "usage.return"
	methodCancel peer.Method = "usage.cancel"
)

// askMessage asks a VM to count a request. Without an account it only asks for an answer.
type askMessage struct {
	ID      usage.ID `cbor:"1,keyasint"`
	Account string   `cbor:"2,keyasint,omitempty"`
	// Version is the version of the asker's configuration, and PerSecond and Burst the limit in it.
	Version   uint64  `cbor:"3,keyasint,omitempty"`
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	Burst     float64 `cbor:"5,keyasint,omitempty"`
	// Forwarded means that the message was passed on by a VM that the asker took for the counting one.
	Forwarded bool `cbor:"6,keyasint,omitempty"`
}

// outcome is the result of a question.
type outcome uint8

const (
	// allowed also means that the account has no limit in the configuration of the VM that answers.
	allowed outcome = iota + 1
	refused
	// unknownAccount means that the configuration of the VM that answers is newer and lacks the account.
	unknownAccount
)

// answerMessage answers a question.
type answerMessage struct {
	ID         usage.ID      `cbor:"1,keyasint"`
	Outcome    outcome       `cbor:"2,keyasint,omitempty"`
	Tokens     float64       `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	PerSecond  float64       `cbor:"5,keyasint,omitempty"`
	Burst      float64       `cbor:"6,keyasint,omitempty"`
	// CountedBy is the VM that counted, which differs from the sender if the question was forwarded.
	CountedBy string `cbor:"7,keyasint,omitempty"`
}

func (m *answerMessage) limit() account.Limit {
	return account.Limit{PerSecond: m.PerSecond, Burst: m.Burst}
}

// requestMessage gives back a counted request (ID is that of the return), or cancels the question with this ID.
type requestMessage struct {
	ID      usage.ID `cbor:"1,keyasint"`
	Account string   `cbor:"2,keyasint"`
}
