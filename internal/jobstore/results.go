package jobstore

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/job"
)

// chunksPerPage is the number of closed chunks read per scan.
const chunksPerPage = 256

// Output identifies one of the two result files of a job.
type Output uint8

// Result files of a job.
const (
	// Responses holds the results of the items that completed.
	Responses Output = iota + 1
	// Errors holds the results of the items that ended without a response.
	Errors
)

func (o Output) byteRange(s job.Segment) (offset, length int64) {
	if o == Responses {
		return 0, s.OutputBytes
	}
	return s.OutputBytes, s.ErrorBytes
}

// WriteResults writes a result file of a job to w, segment by segment in the order of the chunks.
// It costs one table read per 256 chunks and one object read per segment.
func (s *Store) WriteResults(ctx context.Context, w io.Writer, id string, output Output) error {
	after := ""
	for {
		rows, err := s.table.Scan(ctx, chunkPrefixOf(id), after, chunksPerPage)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := s.writeChunk(ctx, w, row, output); err != nil {
				return err
			}
			after = row.Key
		}
		if len(rows) < chunksPerPage {
			return nil
		}
	}
}

func (s *Store) writeChunk(ctx context.Context, w io.Writer, row platform.Row, output Output) error {
	var c job.Chunk
	if err := decode(row, &c); err != nil {
		return err
	}
	for _, segment := range c.Segments {
		if err := s.writeSegment(ctx, w, segment, output); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) writeSegment(ctx context.Context, w io.Writer, segment job.Segment, output Output) error {
	offset, length := output.byteRange(segment)
	if length == 0 {
		return nil
	}
	object, err := s.openObject(ctx, segment.Object, offset, length)
	if err != nil {
		return err
	}
	defer object.Close()
	n, err := io.Copy(w, object)
	if err == nil && n != length {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ItemStatus is the state of an item of a job.
type ItemStatus struct {
	// Line is the item's line in the input, counted from 1 without blank lines.
	Line int
	// Chunk is the row of the item's chunk.
	Chunk *job.Chunk
	// Index is the item's position within the chunk, counted from 0.
	Index int
	// Result is nil while the item has none.
	Result *job.Result
	// Closed means that the chunk is closed and gets no further results.
	Closed bool
}

// ItemResult finds an item of a job by its custom_id. It fails with ErrNotFound if the job or the item does not
// exist. It reads the input up to the item, the rows of all chunks and the segments of the item's chunk.
func (s *Store) ItemResult(ctx context.Context, id, customID string) (*ItemStatus, error) {
	record, err := s.GetAny(ctx, id)
	if err != nil {
		return nil, err
	}
	line, err := s.findLine(ctx, &record.Job, customID)
	if err != nil {
		return nil, err
	}
	chunks, err := s.chunksOf(ctx, &record.Job)
	if err != nil {
		return nil, err
	}
	for _, c := range chunks {
		index := line.offset - c.chunk.Offset
		if index < 0 || index >= c.chunk.Length {
			continue
		}
		status := &ItemStatus{Line: line.number, Chunk: c.chunk, Closed: c.closed}
		return status, s.fillStatus(ctx, &record.Job, status, customID)
	}
	return nil, ErrNotFound
}

type linePosition struct {
	number int
	offset int64
}

func (s *Store) findLine(ctx context.Context, j *job.Job, customID string) (linePosition, error) {
	file, err := s.File(ctx, j.Client, j.InputFile)
	if err != nil {
		return linePosition{}, err
	}
	reader := bufio.NewReaderSize(s.OpenFile(ctx, file.ID, 0, file.Bytes), job.MaxLineBytes)
	position := linePosition{}
	for {
		text, err := reader.ReadBytes('\n')
		if len(bytes.TrimSpace(text)) > 0 {
			position.number++
			if line, parseErr := job.ParseLine(text); parseErr == nil && line.CustomID == customID {
				return position, nil
			}
		}
		position.offset += int64(len(text))
		if err == io.EOF {
			return linePosition{}, ErrNotFound
		}
		if err != nil {
			return linePosition{}, err
		}
	}
}

type chunkRow struct {
	chunk  *job.Chunk
	closed bool
}

// chunksOf returns all chunks of a job, open and closed.
func (s *Store) chunksOf(ctx context.Context, j *job.Job) ([]chunkRow, error) {
	keys := make([]string, 0, 2*j.Chunks)
	for number := range j.Chunks {
		keys = append(keys, workKey(j, number), chunkKey(j.ID, number))
	}
	rows, err := s.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	var chunks []chunkRow
	for i, row := range rows {
		if row.Version == 0 {
			continue
		}
		c := new(job.Chunk)
		if err := decode(row, c); err != nil {
			return nil, err
		}
		chunks = append(chunks, chunkRow{chunk: c, closed: i%2 == 1})
	}
	return chunks, nil
}

func (s *Store) fillStatus(ctx context.Context, j *job.Job, status *ItemStatus, customID string) error {
	lines, err := s.Lines(ctx, j, status.Chunk)
	if err != nil {
		return err
	}
	for i, line := range lines {
		if line.CustomID == customID {
			status.Index = i
		}
	}
	if !status.Chunk.Done.Has(status.Index) {
		return nil
	}
	for _, segment := range status.Chunk.Segments {
		result, err := s.findResult(ctx, segment, customID)
		if err != nil || result != nil {
			status.Result = result
			return err
		}
	}
	return nil
}

func (s *Store) findResult(ctx context.Context, segment job.Segment, customID string) (*job.Result, error) {
	object, err := s.openObject(ctx, segment.Object, 0, segment.OutputBytes+segment.ErrorBytes)
	if err != nil {
		return nil, err
	}
	defer object.Close()
	decoder := json.NewDecoder(object)
	for decoder.More() {
		result := new(job.Result)
		if err := decoder.Decode(result); err != nil {
			return nil, err
		}
		if result.CustomID == customID {
			return result, nil
		}
	}
	return nil, nil
}

// Lines returns the input lines of a chunk.
func (s *Store) Lines(ctx context.Context, j *job.Job, c *job.Chunk) ([]*job.Line, error) {
	return job.ReadLines(s.OpenFile(ctx, j.InputFile, c.Offset, c.Length))
}
