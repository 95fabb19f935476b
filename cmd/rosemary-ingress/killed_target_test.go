package main_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/internal/testports"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

// startTargetProcess starts a target in a process of its own, whose responses end with their connections, and registers it. If it is
// supervised, its listener outlives it.
func (f *fleet) startTargetProcess(id string, supervised bool) *exec.Cmd {
	address := testports.Address(f.t, "127.0.0.1")
	path := filepath.Join(f.t.TempDir(), "target.yaml")
	command := exec.Command(standinBinary, "--config", path)
	descriptor := 0
	if supervised {
		listener, err := net.Listen("tcp4", address)
		qt.Assert(f.t, err, qt.IsNil)
		f.t.Cleanup(func() { _ = listener.Close() })
		file, err := listener.(*net.TCPListener).File()
		qt.Assert(f.t, err, qt.IsNil)
		defer func() { _ = file.Close() }()
		command.ExtraFiles, descriptor = []*os.File{file}, 3
	}
	settings := fmt.Sprintf("stream_targets:\n- {id: %s, address: %q, descriptor: %d, version: v1, events: %d, interval: %s, ends_with_connection: true}\n", id, address, descriptor, streamEvents, eventInterval)
	qt.Assert(f.t, os.WriteFile(path, []byte(settings), 0o600), qt.IsNil)
	qt.Assert(f.t, command.Start(), qt.IsNil)
	f.t.Cleanup(func() {
		// The process may have been killed already.
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	f.put(platform.TargetTable, id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","version":"v1","slots":8,"state":"ready"}`, address))
	return command
}

// The stream of a killed target whose response ends with its connection reached clients as complete, and items were listed with a
// part of their text.
func TestKilledTargetEndsNoStreamAsComplete(t *testing.T) { killTargets(t, false) }

// The kernel accepts connections for a killed target while a supervisor or another process holds its listener, or until the process has
// released what it opened after the listener.
func TestKilledTargetWhoseListenerIsOpenEndsNoStreamAsComplete(t *testing.T) { killTargets(t, true) }

func killTargets(t *testing.T, supervised bool) {
	f := startFleetOfVersions(t)
	var targets []*exec.Cmd
	for i := range 4 {
		targets = append(targets, f.startTargetProcess(fmt.Sprintf("i-%d", i), supervised))
	}
	f.eventually("streams are served", func() bool { return f.stream(f.vms[0].clients) == nil })
	const streams, items = 24, 24
	received, ended := make([]string, streams), make([]bool, streams)
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			status, content, err := f.do(http.MethodPost, f.vms[i%3].clients, "/s/x", fmt.Sprintf("stream-%d", i), "prompt")
			received[i], ended[i] = content, err == nil && status == http.StatusOK
		})
	}
	list := make([]string, items)
	for i := range list {
		list[i] = fmt.Sprintf(`{"id":"item-%d","path":"/b/%d","body":"","tokens":10}`, i, i)
	}
	status, _, err := f.do(http.MethodPost, f.vms[0].clients, "/b/j", "j", `{"items":[`+strings.Join(list, ",")+`]}`)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusAccepted)
	for _, target := range targets[:2] {
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, target.Process.Kill(), qt.IsNil)
	}
	clients.Wait()
	complete := 0
	for i := range streams {
		if !ended[i] {
			continue
		}
		complete++
		events := strings.Count(received[i], "\n\n")
		qt.Check(t, events, qt.Equals, streamEvents, qt.Commentf("stream-%d ended as complete after %d events", i, events))
	}
	t.Logf("%d of %d streams are complete", complete, streams)
	for id, text := range f.results("j", f.vms[1], items) {
		qt.Check(t, text, qt.Equals, streamtarget.Text(id, streamEvents))
	}
}
