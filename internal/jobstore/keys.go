package jobstore

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemarydyke/rosemarydyke/job"
)

// Prefixes of the row keys and object names of batch jobs.
const (
	filePrefix        = "batch-file/"
	jobPrefix         = "batch-job/"
	progressPrefix    = "batch-progress/"
	idempotencyPrefix = "batch-identity/"
	clientPrefix      = "batch-client/"
	workPrefix        = "batch-work/"
	chunkPrefix       = "batch-chunk/"
	runnerPrefix      = "batch-runner/"
	draftPrefix       = "batch-draft/"

	fileObjects    = "batch-files/"
	segmentObjects = "batch-segments/"
)

func fileKey(id string) string       { return filePrefix + id }
func draftKey(id string) string      { return draftPrefix + id }
func jobKey(id string) string        { return jobPrefix + id }
func progressKey(id string) string   { return progressPrefix + id }
func runnerKey(runner string) string { return runnerPrefix + runner }

// idempotencyRowKey hashes the idempotency key, whose length is chosen by the client.
func idempotencyRowKey(client, idempotencyKey string) string {
	digest := sha256.Sum256([]byte(idempotencyKey))
	return idempotencyPrefix + url.PathEscape(client) + "/" + hex.EncodeToString(digest[:])
}

func clientJobsPrefix(client string) string { return clientPrefix + url.PathEscape(client) + "/" }

// clientJobKey makes a client's jobs sort from newest to oldest.
func clientJobKey(client, id string, createdAt time.Time) string {
	return fmt.Sprintf("%s%016x/%s", clientJobsPrefix(client), math.MaxInt64-createdAt.UnixMilli(), id)
}

// workKey makes open chunks sort by the hour in which they are due. Within the hour they sort by
// hash, so that runners that start scanning at different positions do not race for the same chunk.
func workKey(j *job.Job, number int) string {
	hour := j.DueAt().Unix() / int64(time.Hour/time.Second)
	return fmt.Sprintf("%s%08x/%08x/%s/%05d", workPrefix, hour, chunkHash(j.ID, number), j.ID, number)
}

func chunkHash(id string, number int) uint32 {
	return uint32(xxhash.Sum64String(fmt.Sprintf("%s/%d", id, number)))
}

func chunkPrefixOf(id string) string { return chunkPrefix + id + "/" }

func chunkKey(id string, number int) string { return fmt.Sprintf("%s%05d", chunkPrefixOf(id), number) }

func filePartObject(file string, part int) string {
	return fmt.Sprintf("%s%s/%05d", fileObjects, file, part)
}

// SegmentObject returns the object name of a segment. The epoch makes it unique among holders of the chunk, the
// operation among the writes of one holder.
func SegmentObject(c *job.Chunk, operation string) string {
	return fmt.Sprintf("%s%s/%05d/%d-%s", segmentObjects, c.Job, c.Number, c.Epoch, operation)
}

// WorkCursor returns the position of hash within the open work that is due in the same hour as the chunk with the key.
func WorkCursor(key string, hash uint32) string {
	hour, _, _ := strings.Cut(strings.TrimPrefix(key, workPrefix), "/")
	return fmt.Sprintf("%s%s/%08x", workPrefix, hour, hash)
}
