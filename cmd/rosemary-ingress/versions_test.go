package main_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Streams that began at a target without a version went on at targets of any version.
func TestStreamOfTargetWithoutVersionGoesOnAtNoOtherVersion(t *testing.T) {
	const streams, events = 8, 100
	f := startFleetOfVersions(t)
	f.addTarget("old", "", events)
	f.eventually("streams are served", func() bool {
		status, _, err := f.do(http.MethodPost, f.vms[0].clients, "/s/x", fmt.Sprintf("probe-%d", f.nextID.Add(1)), "prompt")
		return err == nil && status == http.StatusOK
	})
	received, ended := make([]string, streams), make([]bool, streams)
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			_, content, err := f.do(http.MethodPost, f.vms[i%3].clients, "/s/x", fmt.Sprintf("first-%d", i), "prompt")
			received[i], ended[i] = content, err == nil
		})
	}
	time.Sleep(200 * time.Millisecond)
	f.addTarget("new", "v1", events)
	time.Sleep(400 * time.Millisecond)
	f.targets[0].Close()
	clients.Wait()
	for i := range streams {
		qt.Check(t, strings.Count(received[i], "\n\n") > 0, qt.IsTrue)
		qt.Check(t, ended[i], qt.IsFalse)
		qt.Check(t, f.versions(fmt.Sprintf("first-%d", i)), qt.DeepEquals, []string{""})
	}
}
