package batchjobs

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// Head is the state of a job, in a row of its own beside those of the submission (the body) and of the result
// texts. Only the owner changes it, except that any VM may end the job or take it over. Each write is
// conditional on the version that it was derived from.
type Head struct {
	// Host and Path are those of the submission. They are matched against the current configuration to find the
	// job's route.
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
	// Submitted is the time of acceptance by the store's clock.
	Submitted time.Duration `cbor:"3,keyasint"`
	Items     []ItemHead    `cbor:"4,keyasint"`
	// BodyRows is the number of rows that hold the submission.
	BodyRows int `cbor:"5,keyasint"`
	// Owner is the VM that runs the items. Epoch increases with each change of the owner.
	Owner string `cbor:"6,keyasint"`
	Epoch uint64 `cbor:"7,keyasint"`
	// Ended is set when the client has ended the job.
	Ended bool `cbor:"8,keyasint,omitempty"`
	// Results is append-only: a result never changes its position.
	Results []ResultHead `cbor:"9,keyasint,omitempty"`
	// Account is the name of the client account that submitted the job, or empty.
	Account string `cbor:"10,keyasint,omitempty"`
}

// ItemHead describes an item of a job.
type ItemHead struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int64  `cbor:"2,keyasint,omitempty"`
}

// ResultHead describes a committed result.
type ResultHead struct {
	// Item is the index of the item.
	Item int `cbor:"1,keyasint"`
	// GivenUp items have no text.
	GivenUp bool `cbor:"2,keyasint,omitempty"`
	// Bytes is the length of the text, which is stored in TextRows rows.
	Bytes    int `cbor:"3,keyasint,omitempty"`
	TextRows int `cbor:"4,keyasint,omitempty"`
}

// Open reports whether items remain to be run.
func (h *Head) Open() bool { return !h.Ended && len(h.Results) < len(h.Items) }

// Committed returns the set of items with a result, by index.
func (h *Head) Committed() map[int]bool {
	committed := make(map[int]bool, len(h.Results))
	for _, r := range h.Results {
		committed[r.Item] = true
	}
	return committed
}

// WaitingTokens returns the number of tokens of the items without a result, which is zero once the job has
// ended.
func (h *Head) WaitingTokens() int64 {
	if !h.Open() {
		return 0
	}
	committed := h.Committed()
	var total int64
	for i, item := range h.Items {
		if !committed[i] {
			total += item.Tokens
		}
	}
	return total
}

// BelongsTo reports whether the job belongs to a route under a configuration.
func (h *Head) BelongsTo(table *routing.Table, route *routing.Route) bool {
	match := table.Match(h.Host, h.Path)
	return match != nil && match.Name == route.Name
}

// Clone returns a copy with its own Results. Items are shared, since they never change.
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
	if err := h.check(); err != nil {
		return nil, fmt.Errorf("decode job head: %w", err)
	}
	return &h, nil
}

// maxContentRows is the largest number of rows of a submission or a text: their numbers have three digits in keys.
const maxContentRows = 1000

// check returns an error for a head that no VM writes. Other programs write to the store too.
func (h *Head) check() error {
	switch {
	case len(h.Items) == 0 || len(h.Items) > platform.MaxJobItems:
		return fmt.Errorf("%d items", len(h.Items))
	case h.BodyRows < 0 || h.BodyRows > maxContentRows:
		return fmt.Errorf("%d rows of the submission", h.BodyRows)
	case h.Submitted < 0 || h.Submitted > math.MaxInt64/2:
		return fmt.Errorf("submitted at %d", h.Submitted)
	}
	for i, item := range h.Items {
		if item.Tokens < 0 || item.Tokens > platform.MaxItemTokens {
			return fmt.Errorf("item %d has %d tokens", i, item.Tokens)
		}
	}
	committed := make(map[int]bool, len(h.Results))
	for position, r := range h.Results {
		if r.Item < 0 || r.Item >= len(h.Items) || committed[r.Item] {
			return fmt.Errorf("result %d is of item %d, which does not exist or has another result", position, r.Item)
		}
		if r.Bytes < 0 || r.TextRows < 0 || r.TextRows > maxContentRows {
			return fmt.Errorf("result %d has %d bytes in %d rows", position, r.Bytes, r.TextRows)
		}
		committed[r.Item] = true
	}
	return nil
}
