// Package completion tells whether a response is complete that ended with its connection.
//
// Such a response has neither a length nor chunks. The kernel ends the connections of a process that was killed in the same order
// as a target ends its own (FIN), so that the end of the connection alone shows nothing. The end counts only if the same process
// still answers: one that is gone can't have meant it.
package completion

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	// stay is how long a new connection has to stay open where the service has no health check.
	stay = 10 * time.Millisecond
	// timeout bounds the check, which may connect by way of other VMs.
	timeout = 400 * time.Millisecond
)

var (
	confirmedTotal   = metrics.NewCounter(`rosemarydyke_responses_ended_with_connection_total{target="lives"}`)
	unconfirmedTotal = metrics.NewCounter(`rosemarydyke_responses_ended_with_connection_total{target="lost"}`)
)

// Targets checks targets on new connections.
type Targets interface {
	// CheckInstance fails unless the process of a target responds to a health check.
	CheckInstance(ctx context.Context, address, instance, healthPath string) error
	// CheckConnection opens a connection to the address of a target, which has to stay open for a while.
	CheckConnection(ctx context.Context, address string, stay time.Duration) error
}

// Sender is the target that sent a response.
type Sender struct {
	Address, Instance string
	// HealthPath is the path of its service's health check. Without one, the target only has to accept a connection, which the
	// kernel also does for a process that is ending: its listener may be closed long after its connections.
	HealthPath string
}

// Confirm fails with *platform.TargetError if a response that was read to its end is not known to be complete.
func Confirm(ctx context.Context, targets Targets, sender Sender, response *platform.TargetResponse) error {
	if !response.EndsWithConnection {
		return nil
	}
	checkCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var err error
	if sender.HealthPath != "" {
		err = targets.CheckInstance(checkCtx, sender.Address, sender.Instance, sender.HealthPath)
	} else {
		err = targets.CheckConnection(checkCtx, sender.Address, stay)
	}
	if err == nil {
		confirmedTotal.Inc()
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	unconfirmedTotal.Inc()
	return &platform.TargetError{Failure: platform.IncompleteResponse, Cause: &lostError{address: sender.Address, cause: err}}
}

// lostError means that the target of a response that ended with its connection can't be shown to live.
type lostError struct {
	address string
	cause   error
}

func (e *lostError) Error() string {
	return fmt.Sprintf("response ended with its connection, and target at %q can't be reached any more: %v", e.address, e.cause)
}

func (e *lostError) Unwrap() error { return e.cause }
