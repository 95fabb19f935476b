// Package platform declares the interfaces of the platform services that hold all durable state: a transactional
// table, an object store, a list of VMs and a store of model weights.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version increases with each write of the row. Zero means that the row does not exist.
	Version uint64 `json:"version"`
}

// Condition requires a row to be at a version when a transaction commits. Version zero requires its absence.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction. Its writes are applied atomically if all its conditions hold.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// ConflictError reports that a condition of a transaction did not hold. Nothing was written.
type ConflictError struct {
	// Rows are the current rows of the conditions that did not hold.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "platform: transaction conflict"
	}
	return fmt.Sprintf("platform: transaction conflict on %q at version %d", e.Rows[0].Key, e.Rows[0].Version)
}

var (
	// ErrUnavailable means that the service did not accept the request: nothing was written.
	ErrUnavailable = errors.New("platform: service unavailable")
	// ErrOutcomeUnknown means that no response was received: a write may have been applied, or may be applied later.
	ErrOutcomeUnknown = errors.New("platform: outcome unknown")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("platform: object not found")
	// ErrExists means that a blob of that name exists. Objects.Put fails with it only if the content differs.
	ErrExists = errors.New("platform: object exists")
)

// Table is the transactional table service.
type Table interface {
	// Get returns one row for each key, in order. An absent row has version zero.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose keys have the prefix and are greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies txn and returns the version of its writes.
	// It fails with *ConflictError, ErrUnavailable or ErrOutcomeUnknown.
	Commit(ctx context.Context, txn Txn) (uint64, error)
}

// Objects is the object store. Objects are immutable.
type Objects interface {
	// Put stores an object. Putting the same content twice succeeds; other content fails with ErrExists.
	Put(ctx context.Context, name string, content []byte) error
	// Get opens an object for reading: at most length bytes from offset, or all to its end if length is -1.
	Get(ctx context.Context, name string, offset, length int64) (io.ReadCloser, error)
	// Size returns an object's length in bytes.
	Size(ctx context.Context, name string) (int64, error)
	// Delete removes an object. Deleting an absent object succeeds.
	Delete(ctx context.Context, name string) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a listed VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs, which may be out of date.
type VM struct {
	Name             string  `json:"name"`
	Address          string  `json:"address"`
	AvailabilityZone string  `json:"availability_zone"`
	Role             string  `json:"role"`
	State            VMState `json:"state"`
}

// Roles of a listed VM.
const (
	// RoleEntry marks a VM that runs the system's daemons; Address is the entry's peer address.
	RoleEntry = "entry"
	// RoleTarget marks a VM that runs a target; Address is the target's HTTP address.
	RoleTarget = "target"
)

// VMList is the platform's list of VMs, which may be out of date.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// Weight describes one model's stored weights.
type Weight struct {
	Model string `json:"model"`
	Bytes int64  `json:"bytes"`
	// RetryAfter is how long to wait if the store's rate limit rejected the download, otherwise zero.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Weights is the rate-limited weight store.
type Weights interface {
	Describe(ctx context.Context, model string) (Weight, error)
}
