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

type applyResponse struct {
	Version  uint64              `cbor:"1,keyasint"`
	Conflict bool                `cbor:"2,keyasint,omitempty"`
	Rows     []platform.TableRow `cbor:"3,keyasint,omitempty"`
}

// Error codes of relayed calls.
const (
	codeUnavailable    = "store_unavailable"
	codeOutcomeUnknown = "store_outcome_unknown"
	codeHistoryLost    = "store_history_lost"
	codeFailed         = "store_failed"
)

// errStoreFailed stands for relayed errors without a code of their own.
var errStoreFailed = errors.New("store refused the call")

func encodeError(err error) error {
	code := codeFailed
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		code = codeUnavailable
	case errors.Is(err, platform.ErrOutcomeUnknown):
		code = codeOutcomeUnknown
	case errors.Is(err, platform.ErrHistoryLost):
		code = codeHistoryLost
	}
	return &peer.RemoteError{Code: code, Message: err.Error()}
}

func decodeCode(code string) error {
	switch code {
	case codeUnavailable:
		return platform.ErrUnavailable
	case codeOutcomeUnknown:
		return platform.ErrOutcomeUnknown
	case codeHistoryLost:
		return platform.ErrHistoryLost
	default:
		return errStoreFailed
	}
}

var errDirectDown = &peer.RemoteError{Code: codeUnavailable, Message: "the store does not serve this VM either"}

func (r *Relay) serveRead(ctx context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var request readRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if r.directDown() {
		return nil, errDirectDown
	}
	if request.Keys.Limit == 0 || request.Keys.Limit > maxRelayRows {
		request.Keys.Limit = maxRelayRows
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	page, err := r.config.Direct.Read(ctx, request.Table, request.Part, request.Keys)
	r.recordDirectResult(ctx, err)
	if err != nil {
		return nil, encodeError(err)
	}
	return truncatePage(page), nil
}

// truncatePage drops the rows of a page beyond maxRelayBytes, but keeps at least one.
func truncatePage(page platform.Page) platform.Page {
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
	if r.directDown() {
		return nil, errDirectDown
	}
	page, err := r.config.Direct.Follow(ctx, request.Table, request.After, request.Wait)
	r.recordDirectResult(ctx, err)
	if err != nil {
		return nil, encodeError(err)
	}
	rows := truncatePage(page).Rows
	if len(rows) == len(page.Rows) {
		return page, nil
	}
	// The next call reads the dropped rows, starting after the version of the last row sent. The rows of one transaction share theirs.
	dropped := page.Rows[len(rows)].Version
	for len(rows) > 0 && rows[len(rows)-1].Version == dropped {
		rows = rows[:len(rows)-1]
	}
	if len(rows) == 0 {
		return nil, errTooManyChanges
	}
	page.Rows, page.More, page.Version = rows, true, rows[len(rows)-1].Version
	return page, nil
}

var errTooManyChanges = &peer.RemoteError{Code: codeUnavailable, Message: "the changes of one transaction exceed a relayed message"}

func (r *Relay) serveApply(ctx context.Context, _ peer.Identity, decode func(any) error) (any, error) {
	var txn platform.RowTxn
	if err := decode(&txn); err != nil {
		return nil, err
	}
	if r.directDown() {
		return nil, errDirectDown
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	version, err := r.config.Direct.Apply(ctx, txn)
	r.recordDirectResult(ctx, err)
	var conflict *platform.RowConflictError
	if errors.As(err, &conflict) {
		return applyResponse{Conflict: true, Rows: conflict.Rows}, nil
	}
	if err != nil {
		return nil, encodeError(err)
	}
	return applyResponse{Version: version}, nil
}
