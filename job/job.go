// Package job implements the rules of batch jobs: how input is validated and split into chunks, which runner
// may commit the results of a chunk, and how each item gets exactly one result.
//
// A chunk is a run of consecutive items. Its row carries an epoch, which each new holder increments; a commit
// is accepted only while the row is as its holder last wrote it. The epoch therefore acts as a fencing token
// (Kleppmann, "How to do distributed locking", 2016): a holder that was paused beyond its lease can do no harm,
// whatever its clock says.
package job

import "time"

// Status is the state of a job, named as in OpenAI's batch API.
type Status string

// States of a job.
const (
	StatusInProgress Status = "in_progress"
	StatusCancelling Status = "cancelling"
	StatusCancelled  Status = "cancelled"
	StatusCompleted  Status = "completed"
)

// Job is the row of one accepted job. It changes only when the job is cancelled, so that all
// commits of the job's results can require its version without contending for it.
type Job struct {
	ID       string `cbor:"1,keyasint"`
	Client   string `cbor:"2,keyasint"`
	Endpoint string `cbor:"3,keyasint"`
	// CompletionWindow is the time within which the job is due after its creation.
	CompletionWindow time.Duration     `cbor:"4,keyasint"`
	InputFile        string            `cbor:"5,keyasint"`
	Metadata         map[string]string `cbor:"6,keyasint,omitempty"`
	// RequestDigest is the digest of the request that created the job, without its idempotency key.
	RequestDigest string    `cbor:"7,keyasint"`
	Items         int       `cbor:"8,keyasint"`
	Chunks        int       `cbor:"9,keyasint"`
	CreatedAt     time.Time `cbor:"10,keyasint"`
	// CancelledAt is when an operator or the client cancelled the job; zero if it is not cancelled.
	CancelledAt time.Time `cbor:"11,keyasint"`
}

// IsCancelled reports whether the job has been cancelled.
func (j *Job) IsCancelled() bool { return !j.CancelledAt.IsZero() }

// DueAt returns when the job is due.
func (j *Job) DueAt() time.Time { return j.CreatedAt.Add(j.CompletionWindow) }

// Progress is the row that counts a job's closed chunks and their items.
type Progress struct {
	ChunksClosed int `cbor:"1,keyasint"`
	Completed    int `cbor:"2,keyasint"`
	Failed       int `cbor:"3,keyasint"`
	// FinishedAt is when the last chunk was closed; zero before.
	FinishedAt time.Time `cbor:"4,keyasint"`
	// OutputBytes and ErrorBytes are the lengths of the job's two result files.
	OutputBytes int64 `cbor:"5,keyasint"`
	ErrorBytes  int64 `cbor:"6,keyasint"`
}

// Add counts a chunk that is being closed at the time now.
func (p Progress) Add(j *Job, c *Chunk, now time.Time) Progress {
	p.ChunksClosed++
	for _, s := range c.Segments {
		p.Completed += s.Completed
		p.Failed += s.Failed
		p.OutputBytes += s.OutputBytes
		p.ErrorBytes += s.ErrorBytes
	}
	if p.ChunksClosed == j.Chunks {
		p.FinishedAt = now
	}
	return p
}

// StatusOf returns the state of a job.
func StatusOf(j *Job, p *Progress) Status {
	finished := p.ChunksClosed >= j.Chunks
	switch {
	case j.IsCancelled() && finished:
		return StatusCancelled
	case j.IsCancelled():
		return StatusCancelling
	case finished:
		return StatusCompleted
	default:
		return StatusInProgress
	}
}

// Segment is an immutable object that holds the results of some items of a chunk: first the lines
// of the output file, then the lines of the error file.
type Segment struct {
	// Object is the object's name. It contains the epoch under which it was written.
	Object      string `cbor:"1,keyasint"`
	OutputBytes int64  `cbor:"2,keyasint"`
	ErrorBytes  int64  `cbor:"3,keyasint"`
	Completed   int    `cbor:"4,keyasint"`
	Failed      int    `cbor:"5,keyasint"`
}

// Chunk is the row of one chunk.
type Chunk struct {
	Job    string `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
	// Offset and Length give the chunk's bytes within the input file.
	Offset int64 `cbor:"3,keyasint"`
	Length int64 `cbor:"4,keyasint"`
	// FirstLine is the line number of the first item, counted from 1.
	FirstLine int `cbor:"5,keyasint"`
	Items     int `cbor:"6,keyasint"`
	// Model is the model that all items name.
	Model string `cbor:"7,keyasint"`
	// Epoch increases each time a runner claims the chunk.
	Epoch uint64 `cbor:"8,keyasint"`
	// Holder is the runner that holds the chunk; empty if none does.
	Holder string `cbor:"9,keyasint,omitempty"`
	// Done marks the items that have a result in one of the segments.
	Done Bitmap `cbor:"10,keyasint,omitempty"`
	// Intents marks the non-idempotent items that may have been dispatched.
	Intents  Bitmap    `cbor:"11,keyasint,omitempty"`
	Segments []Segment `cbor:"12,keyasint,omitempty"`
	// Operation is the unique id of the last write. A writer that lost the response recognizes by it whether
	// the write took effect.
	Operation string `cbor:"13,keyasint"`
}

// IsDone reports whether every item has a result.
func (c *Chunk) IsDone() bool { return c.Done.Count() == c.Items }

// HasSegment reports whether the object is one of the chunk's segments.
func (c *Chunk) HasSegment(object string) bool {
	for _, s := range c.Segments {
		if s.Object == object {
			return true
		}
	}
	return false
}

// Clone returns a deep copy.
func (c *Chunk) Clone() *Chunk {
	d := *c
	d.Done = c.Done.Clone()
	d.Intents = c.Intents.Clone()
	d.Segments = append([]Segment(nil), c.Segments...)
	return &d
}

// Claimed returns the row with which holder claims the chunk.
func (c *Chunk) Claimed(holder, operation string) *Chunk {
	d := c.Clone()
	d.Epoch++
	d.Holder = holder
	d.Operation = operation
	if len(d.Done) == 0 {
		d.Done = NewBitmap(d.Items)
		d.Intents = NewBitmap(d.Items)
	}
	return d
}
