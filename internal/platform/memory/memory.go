// Package memory implements the platform services in memory, for tests and the stand-in platform.
package memory

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// Platform is a set of platform services: tables, blobs, a VM list and the descriptions of model weights.
type Platform struct {
	mu sync.Mutex
	rowStore
	started time.Time
	blobs   map[string][]byte
	vms     []platform.VM
	weights map[string]platform.Weight
}

var (
	_ platform.Table   = (*Platform)(nil)
	_ platform.Blobs   = (*Platform)(nil)
	_ platform.VMList  = (*Platform)(nil)
	_ platform.Weights = (*Platform)(nil)
)

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		rowStore: newRowStore(),
		started:  time.Now(),
		blobs:    map[string][]byte{},
		weights:  map[string]platform.Weight{},
	}
}

// Get implements platform.Table.
func (p *Platform) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	return platform.NewTable(p).Get(ctx, keys...)
}

// Scan implements platform.Table.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	return platform.NewTable(p).Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (p *Platform) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	return platform.NewTable(p).Commit(ctx, txn)
}

// Objects returns the platform's object store.
func (p *Platform) Objects() platform.Objects { return platform.NewObjects(p) }

// PutBlob implements platform.Blobs.
func (p *Platform) PutBlob(_ context.Context, name string, content []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.blobs[name]; ok {
		return platform.ErrExists
	}
	p.blobs[name] = bytes.Clone(content)
	return nil
}

// GetBlob implements platform.Blobs.
func (p *Platform) GetBlob(_ context.Context, name string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	content, ok := p.blobs[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return content, nil
}

// DeleteBlob implements platform.Blobs.
func (p *Platform) DeleteBlob(_ context.Context, name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.blobs, name)
	return nil
}

// List implements platform.VMList.
func (p *Platform) List(context.Context) ([]platform.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]platform.VM(nil), p.vms...), nil
}

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append([]platform.VM(nil), vms...)
}

// SetWeight stores the description of a model's weights.
func (p *Platform) SetWeight(weight platform.Weight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights[weight.Model] = weight
}

// Describe implements platform.Weights.
func (p *Platform) Describe(_ context.Context, model string) (platform.Weight, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	weight, ok := p.weights[model]
	if !ok {
		return platform.Weight{}, platform.ErrNotFound
	}
	return weight, nil
}
