package job

import "time"

// WithIntents returns the row that records intents.
func (r *Run) WithIntents(indexes []int, operation string) *Chunk {
	c := r.chunk.Clone()
	c.Operation = operation
	for _, i := range indexes {
		c.Intents.Set(i)
	}
	return c
}

// WithBatch returns the row that adds a segment with the results of b.
func (r *Run) WithBatch(b Batch, segment Segment, operation string) *Chunk {
	c := r.chunk.Clone()
	c.Operation = operation
	c.Segments = append(c.Segments, segment)
	for _, i := range b.indexes {
		c.Done.Set(i)
		c.Intents.Clear(i)
	}
	return c
}

// Committed updates the run to a row whose write has taken effect.
func (r *Run) Committed(row *Chunk, now time.Time) {
	r.chunk = row
	r.oldestResolved = time.Time{}
	for i := range r.items {
		switch {
		case row.Done.Has(i):
			r.items[i] = item{state: itemDone}
		case r.items[i].state == itemResolved && r.oldestResolved.IsZero():
			r.oldestResolved = now
		}
	}
}

// Released returns the row that releases the chunk. Intents of items that were not dispatched are removed.
func (r *Run) Released(operation string) *Chunk {
	c := r.chunk.Clone()
	c.Operation = operation
	c.Holder = ""
	for i := range r.items {
		if r.items[i].state == itemPending {
			c.Intents.Clear(i)
		}
	}
	return c
}

// WithOperation returns the row with a new operation id and no other change.
func (r *Run) WithOperation(operation string) *Chunk {
	c := r.chunk.Clone()
	c.Operation = operation
	return c
}
