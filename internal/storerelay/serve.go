package storerelay

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

type readRequest struct {
	Table string            `cbor:"1,keyasint"`
	Part  string            `cbor:"2,keyasint"`
	Keys  platform.KeyRange `cbor:"3,keyasint"`
}

type followRequest struct {
	Table string        `cbor:"1,keyasint"`
	After uint64        `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
}

type applyAnswer struct {
	Version  uint64              `cbor:"1,keyasint"`
	Conflict bool                `cbor:"2,keyasint,omitempty"`
	Rows     []platform.TableRow `cbor:"3,keyasint,omitempty"`
}

// Codes of relayed errors.
const (
	codeUnavailable = "store_unavailable"
	codeUnknown     = "store_outcome_unknown"
	codeHistoryLost = "store_history_lost"
	codeFailed      = "store_failed"
)

// errFailed is a relayed error of another kind.
var errFailed = errors.New("store refused the call")

func encodeError(err error) error {
	code := codeFailed
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		code = codeUnavailable
	case errors.Is(err, platform.ErrOutcomeUnknown):
		code = codeUnknown
	case errors.Is(err, platform.ErrHistoryLost):
		code = codeHistoryLost
	}
	return &peer.RemoteError{Code: code, Message: err.Error()}
}

func decodeCode(code string) error {
	switch code {
	case codeUnavailable:
		return platform.ErrUnavailable
	case codeUnknown:
		return platform.ErrOutcomeUnknown
	case codeHistoryLost:
		return platform.ErrHistoryLost
	default:
		return errFailed
	}
}

var errDown = &peer.RemoteError{Code: codeUnavailable, Message: "the store does not serve this VM either"}

func (r *Relay) serveRead(ctx context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var request readRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if r.down() {
		return nil, errDown
	}
	if request.Keys.Limit == 0 || request.Keys.Limit > maxRelayRows {
		request.Keys.Limit = maxRelayRows
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	page, err := r.config.Direct.Read(ctx, request.Table, request.Part, request.Keys)
	r.note(ctx, err)
	if err != nil {
		return nil, encodeError(err)
	}
	return trim(page), nil
}

// trim cuts a page short that is too large for a datagram.
func trim(page platform.Page) platform.Page {
	total := 0
	for i, row := range page.Rows {
		if total += len(row.Value); total > maxRelayBytes && i > 0 {
			page.Rows, page.More = page.Rows[:i], true
			break
		}
	}
	return page
}

func (r *Relay) serveFollow(ctx context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var request followRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if r.down() {
		return nil, errDown
	}
	page, err := r.config.Direct.Follow(ctx, request.Table, request.After, request.Wait)
	r.note(ctx, err)
	if err != nil {
		return nil, encodeError(err)
	}
	short := trim(page)
	if len(short.Rows) < len(page.Rows) {
		// What is left out is asked for again, after the last row that is sent.
		short.Version = short.Rows[len(short.Rows)-1].Version
	}
	return short, nil
}

func (r *Relay) serveApply(ctx context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var txn platform.RowTxn
	if err := decode(&txn); err != nil {
		return nil, err
	}
	if r.down() {
		return nil, errDown
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	version, err := r.config.Direct.Apply(ctx, txn)
	r.note(ctx, err)
	var conflict *platform.RowConflictError
	if errors.As(err, &conflict) {
		return applyAnswer{Conflict: true, Rows: conflict.Rows}, nil
	}
	if err != nil {
		return nil, encodeError(err)
	}
	return applyAnswer{Version: version}, nil
}
