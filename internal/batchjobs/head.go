package batchjobs

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/routing"
)

// Head is the state of a job: one row, which only the owner changes, except that anyone may end the
// job and that another VM may take it over. Each change requires the version that it was made from.
type Head struct {
	// Host and Path are those of the submission. They select the route, which configurations may change.
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
	// Submitted is the time of acceptance by the store's clock.
	Submitted time.Duration `cbor:"3,keyasint"`
	Items     []ItemHead    `cbor:"4,keyasint"`
	// BodyRows is the number of rows that hold the submission.
	BodyRows int `cbor:"5,keyasint"`
	// Owner is the VM that runs the items, and Epoch rises with each change of the owner.
	Owner string `cbor:"6,keyasint"`
	Epoch uint64 `cbor:"7,keyasint"`
	// Ended says that the job's client has ended it.
	Ended bool `cbor:"8,keyasint,omitempty"`
	// Results are listed in their order, which never changes.
	Results []ResultHead `cbor:"9,keyasint,omitempty"`
}

// ItemHead is what the head says of an item.
type ItemHead struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int64  `cbor:"2,keyasint,omitempty"`
}

// ResultHead is a listed result.
type ResultHead struct {
	// Item is the index of the item.
	Item int `cbor:"1,keyasint"`
	// GivenUp items have no text.
	GivenUp bool `cbor:"2,keyasint,omitempty"`
	// Bytes is the length of the text, which lies in TextRows rows.
	Bytes    int `cbor:"3,keyasint,omitempty"`
	TextRows int `cbor:"4,keyasint,omitempty"`
}

// Open reports whether items remain to be run.
func (h *Head) Open() bool { return !h.Ended && len(h.Results) < len(h.Items) }

// Listed returns the set of items with a result, by index.
func (h *Head) Listed() map[int]bool {
	listed := make(map[int]bool, len(h.Results))
	for _, r := range h.Results {
		listed[r.Item] = true
	}
	return listed
}

// WaitingTokens is the number of tokens of the items without a result.
func (h *Head) WaitingTokens() int64 {
	if !h.Open() {
		return 0
	}
	listed := h.Listed()
	var total int64
	for i, item := range h.Items {
		if !listed[i] {
			total += item.Tokens
		}
	}
	return total
}

// On reports whether the job was submitted to a route.
func (h *Head) On(table *routing.Table, route *routing.Route) bool {
	match := table.Match(h.Host, h.Path)
	return match != nil && match.Name == route.Name
}

// Clone returns a copy that shares nothing which is changed later.
func (h *Head) Clone() *Head {
	c := *h
	c.Results = append([]ResultHead(nil), h.Results...)
	return &c
}

func (h *Head) encode() ([]byte, error) {
	content, err := cbor.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode job head: %w", err)
	}
	return content, nil
}

func decodeHead(content []byte) (*Head, error) {
	var h Head
	if err := cbor.Unmarshal(content, &h); err != nil {
		return nil, fmt.Errorf("decode job head: %w", err)
	}
	return &h, nil
}
