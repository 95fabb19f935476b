package fleettest

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// crowdSize callers send heads of headBytes without an end, or bodies of bodyBytes but for their last byte, and stay connected.
	crowdSize = 400
	headBytes = 900 << 10
	bodyBytes = 4 << 20
	// memoryMB is the default of memory_mb.
	memoryMB = 256
)

// Callers without keys made the daemons hold heads of up to 1 MB each, on every listener; connections were not bounded.
func TestCallersThatStopExhaustMemory(t *testing.T) {
	f := startFleet(t, speed)
	v := f.vms[0]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	peaks := map[daemon]int64{}
	var watch, crowd sync.WaitGroup
	watch.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			for d, p := range v.processes {
				peaks[d] = max(peaks[d], residentBytes(p.cmd.Process.Pid))
			}
		}
	})
	heads := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("x: "+strings.Repeat("a", 2000)+"\r\n", headBytes/2005)
	body := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", apiKey, bodyBytes, strings.Repeat("a", bodyBytes-1))
	chunks := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", apiKey, bodyBytes)
	for _, c := range []struct {
		address, text string
		callers       int
	}{
		{v.callers, heads, crowdSize}, {v.operators, heads, crowdSize}, {v.status[entryDaemon], heads, crowdSize},
		{v.status[batchDaemon], heads, crowdSize}, {v.callers, body, crowdSize / 8}, {v.callers, chunks, crowdSize / 8},
	} {
		for range c.callers {
			crowd.Go(func() {
				conn, err := net.DialTimeout("tcp4", c.address, time.Second)
				if err != nil {
					return
				}
				t.Cleanup(func() { _ = conn.Close() })
				_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
				// An error means that the caller was refused.
				_, _ = conn.Write([]byte(c.text))
			})
		}
	}
	crowd.Wait()
	f.waitFor(startTimeout, "an ordinary request to be answered", func() bool {
		_, err := f.chat(ctx, v, "prompt", 5)
		return err == nil
	})
	cancel()
	watch.Wait()
	for d, p := range v.processes {
		select {
		case <-p.exited:
			t.Errorf("%s has ended: %v", d, p.err)
		default:
		}
		t.Logf("%s: peak of %d MB", d, peaks[d]>>20)
		qt.Check(t, peaks[d] <= memoryMB<<20, qt.IsTrue, qt.Commentf("%s uses %d MB of %d", d, peaks[d]>>20, memoryMB))
	}
}

// residentBytes returns the memory that a process uses, zero if it has ended.
func residentBytes(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
