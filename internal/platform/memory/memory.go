// Package memory implements the platform services in memory, for tests and the stand-in.
package memory

import (
	"bytes"
	"context"
	"io"
	"sort"
	"strings"
	"sync"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// Platform holds a table, an object store and a VM list.
type Platform struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]platform.Row
	objects map[string][]byte
	vms     []platform.VM
	weights map[string]platform.Weight
}

var (
	_ platform.Table   = (*Platform)(nil)
	_ platform.Objects = Objects{}
	_ platform.VMList  = (*Platform)(nil)
	_ platform.Weights = (*Platform)(nil)
)

// New returns an empty platform.
func New() *Platform {
	return &Platform{rows: map[string]platform.Row{}, objects: map[string][]byte{}, weights: map[string]platform.Weight{}}
}

// Get implements platform.Table.
func (p *Platform) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if ctx.Err() != nil {
		return nil, platform.ErrUnavailable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = p.row(key)
	}
	return rows, nil
}

// Scan implements platform.Table.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if ctx.Err() != nil {
		return nil, platform.ErrUnavailable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []platform.Row
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

// Commit implements platform.Table.
func (p *Platform) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if ctx.Err() != nil {
		return 0, platform.ErrUnavailable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var conflicts []platform.Row
	for _, c := range txn.Conditions {
		if row := p.row(c.Key); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return 0, &platform.ConflictError{Rows: conflicts}
	}
	p.version++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(p.rows, w.Key)
			continue
		}
		p.rows[w.Key] = platform.Row{Key: w.Key, Value: bytes.Clone(w.Value), Version: p.version}
	}
	return p.version, nil
}

func (p *Platform) row(key string) platform.Row {
	if row, ok := p.rows[key]; ok {
		return row
	}
	return platform.Row{Key: key}
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

// Objects returns the platform's object store.
func (p *Platform) Objects() Objects { return Objects{p} }

// Objects is the object store of a Platform.
type Objects struct{ p *Platform }

// Put implements platform.Objects.
func (o Objects) Put(_ context.Context, name string, content []byte) error {
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	if old, ok := o.p.objects[name]; ok && !bytes.Equal(old, content) {
		return platform.ErrExists
	}
	o.p.objects[name] = bytes.Clone(content)
	return nil
}

// Get implements platform.Objects.
func (o Objects) Get(_ context.Context, name string, offset, length int64) (io.ReadCloser, error) {
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	content, ok := o.p.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	start := min(offset, int64(len(content)))
	end := int64(len(content))
	if length >= 0 {
		end = min(end, start+length)
	}
	return io.NopCloser(bytes.NewReader(content[start:end])), nil
}

// Size implements platform.Objects.
func (o Objects) Size(_ context.Context, name string) (int64, error) {
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	content, ok := o.p.objects[name]
	if !ok {
		return 0, platform.ErrNotFound
	}
	return int64(len(content)), nil
}

// Delete implements platform.Objects.
func (o Objects) Delete(_ context.Context, name string) error {
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	delete(o.p.objects, name)
	return nil
}
