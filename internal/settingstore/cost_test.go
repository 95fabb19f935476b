package settingstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/capacity"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// capacityDirectory is the environment variable that sets the output directory of the capacity measurements.
const capacityDirectory = "ROSEMARYDYKE_CAPACITY"

// appliedChanges is the number of changes over which the time to apply one is averaged.
const appliedChanges = 200

func clientDocuments(clients int) map[string]string {
	documents := map[string]string{}
	for i := range clients {
		documents[fmt.Sprintf("teams/t%d/clients/c%d", i%100, i)] = clientDocument(i, 1)
	}
	return documents
}

func clientDocument(i, weight int) string {
	sum := sha256.Sum256([]byte(fmt.Sprint(i)))
	return fmt.Sprintf("key_sha256: [%s]\nweight: %d\ndeadline: 2s\n", hex.EncodeToString(sum[:]), weight)
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func TestWriteSettingsCost(t *testing.T) {
	directory := os.Getenv(capacityDirectory)
	if directory == "" {
		t.Log("set " + capacityDirectory + " to write the cost of settings at several sizes")
		return
	}
	c := qt.New(t)
	command := capacityDirectory + "=DIR go test -count=1 -run TestWriteSettingsCost ./internal/settingstore"
	series := func(name string) capacity.Series {
		return capacity.Series{Name: name, SizeUnit: "client accounts", Command: command}
	}
	heap, apply := series("heap of one snapshot, bytes"), series("time to apply a revision of one document, microseconds")
	image, delta := series("encoded tree, bytes"), series("encoded revision of one document, bytes")
	for _, clients := range []int{500, 1000, 2000, 4000} {
		before := heapBytes()
		snapshot, err := settings.Empty().Apply(&settings.Revision{Number: 1, Edits: editsOf(clientDocuments(clients))})
		c.Assert(err, qt.IsNil)
		size := float64(clients)
		heap.Points = append(heap.Points, capacity.Point{Size: size, Value: heapBytes() - before})
		encoded, err := encodeImage(snapshot.Image())
		c.Assert(err, qt.IsNil)
		image.Points = append(image.Points, capacity.Point{Size: size, Value: float64(len(encoded))})
		micros, bytes := applyCost(c, snapshot)
		apply.Points = append(apply.Points, capacity.Point{Size: size, Value: micros})
		delta.Points = append(delta.Points, capacity.Point{Size: size, Value: bytes})
		runtime.KeepAlive(snapshot)
	}
	c.Assert(capacity.Write(directory, "settings.json", []capacity.Series{heap, apply, image, delta}), qt.IsNil)
}

func editsOf(documents map[string]string) []settings.Edit {
	edits := make([]settings.Edit, 0, len(documents))
	for path, document := range documents {
		edits = append(edits, settings.Edit{Path: path, Document: document})
	}
	return edits
}

// applyCost returns the mean time to apply one change, in microseconds, and the size of its encoded row, in bytes.
func applyCost(c *qt.C, snapshot *settings.Snapshot) (micros, bytes float64) {
	began := time.Now()
	for i := range appliedChanges {
		next, err := snapshot.Apply(&settings.Revision{Number: snapshot.Revision + 1, Edits: []settings.Edit{
			{Path: "teams/t0/clients/c0", Document: clientDocument(0, i+2)},
		}})
		c.Assert(err, qt.IsNil)
		snapshot = next
	}
	micros = float64(time.Since(began).Microseconds()) / appliedChanges
	p := memory.New()
	_, err := New(p, p.Objects()).Commit(context.Background(), settings.Empty(), settings.Change{
		Operation: "01JA0000000000000000000000", Author: "desk", Subtree: "teams/t0",
		Documents: map[string]string{"teams/t0/clients/c0": clientDocument(0, 2)},
	})
	c.Assert(err, qt.IsNil)
	rows, err := p.Get(context.Background(), revisionKey(1))
	c.Assert(err, qt.IsNil)
	return micros, float64(len(rows[0].Value))
}
