package main_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
	"github.com/rosemarydyke/rosemarydyke/platform"
)

const (
	// unrulyMemoryMB and unrulyDescriptors are the memory and the descriptors of a VM that a crowd of clients calls.
	unrulyMemoryMB, unrulyDescriptors = 96, 600
	// unrulyClients is the size of a crowd.
	unrulyClients = 128
	// silentClients is the number of connections that exceed the descriptors.
	silentClients = 700
	// unrulyBody and unrulyHeader are the limits of the configuration.
	unrulyBody, unrulyHeader = 4 << 20, 16 << 10
	// endless is how much a client sends that has no end of its own.
	endless = 64 << 20
	// crowdTime bounds how long a client sends on one connection.
	crowdTime = 8 * time.Second
)

const unrulyConfiguration = `{"version":2,"routes":[
 {"name":"s","host":"a.example","path_prefix":"/s/","route_kind":"streaming","timeout_ms":5000,"goal_ms":300,"service":"s","max_attempts":2,"resumable":true,"gap_target_ms":400},
 {"name":"n","host":"a.example","path_prefix":"/n/","route_kind":"non_idempotent","timeout_ms":5000,"goal_ms":1000,"service":"s","max_attempts":2},
 {"name":"b","host":"a.example","path_prefix":"/b/","route_kind":"batch","goal_ms":500,"service":"s","max_attempts":3,"run_target_ms":18000,"retention_s":60}],
 "services":[{"name":"s","health_path":"/health"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// unrulyFleet is a fleet whose first VM has little memory and few descriptors, and counts what it uses.
type unrulyFleet struct {
	*fleet
	vm    *process
	usage *usage
	// pause is how long a client waits before it comes back.
	pause time.Duration
}

func startUnrulyFleet(t *testing.T, target streamtarget.Config) *unrulyFleet {
	f := startFleetOfVersions(t)
	f.put(platform.OperatorTable, platform.ConfigKey, unrulyConfiguration)
	for i := range 4 {
		target.ID, target.Version, target.Interval = fmt.Sprintf("t-%d", i), "v1", max(target.Interval, eventInterval)
		f.startTarget(target)
	}
	vm := f.startLimited(len(f.vms), fmt.Sprintf("memory_mb: %d\n", unrulyMemoryMB), unrulyDescriptors)
	u := &unrulyFleet{fleet: f, vm: vm, pause: 50 * time.Millisecond}
	u.eventually("an ordinary request is answered", u.servesOrdinary)
	u.usage = u.watch(vm)
	return u
}

// servesOrdinary reports whether one small request gets its whole answer.
func (u *unrulyFleet) servesOrdinary() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	status, content, err := u.doContext(ctx, http.MethodPost, u.vm.clients, "/s/x", fmt.Sprintf("ordinary-%d", u.nextID.Add(1)), "prompt", func(http.Header) {})
	return err == nil && status == http.StatusOK && strings.Count(content, "\n\n") == streamEvents
}

// check checks what must hold while the crowd is there.
func (u *unrulyFleet) check() {
	u.t.Helper()
	u.eventually("an ordinary request is answered beside the crowd", u.servesOrdinary)
	select {
	case err := <-u.vm.exited:
		u.t.Fatalf("the process has ended: %v", err)
	default:
	}
	memory, unread, descriptors := u.usage.peaks()
	u.t.Logf("peaks: %d MB (%d MB not read then), %d descriptors", memory>>20, unread>>20, descriptors)
	qt.Check(u.t, memory <= unrulyMemoryMB<<20, qt.IsTrue, qt.Commentf("%d MB in use, of %d", memory>>20, unrulyMemoryMB))
	qt.Check(u.t, descriptors < unrulyDescriptors, qt.IsTrue, qt.Commentf("%d descriptors in use, of %d", descriptors, unrulyDescriptors))
}

// usage is the largest use of memory and descriptors that was seen. Bytes that were received and not yet read count as memory.
type usage struct {
	mu                          sync.Mutex
	memory, unread, descriptors int64
}

// peaks returns the largest use, and how much of the memory had not been read.
func (u *usage) peaks() (memory, unread, descriptors int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.memory, u.unread, u.descriptors
}

func (f *fleet) watch(vm *process) *usage {
	u := &usage{}
	ports := map[uint16]bool{}
	for _, address := range vm.addresses {
		ports[netip.MustParseAddrPort(address).Port()] = true
	}
	ip := netip.MustParseAddrPort(vm.clients).Addr()
	ctx, cancel := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			unread := unreadBytes(ip, ports)
			memory := residentBytes(vm.command.Process.Pid) + unread
			open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", vm.command.Process.Pid))
			u.mu.Lock()
			if memory > u.memory {
				u.memory, u.unread = memory, unread
			}
			u.descriptors = max(u.descriptors, int64(len(open)))
			u.mu.Unlock()
		}
	})
	f.t.Cleanup(func() {
		cancel()
		watch.Wait()
	})
	return u
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

// unreadBytes returns the number of bytes that the kernel has received for the process with an address and ports, and that the process
// has not read.
func unreadBytes(ip netip.Addr, ports map[uint16]bool) int64 {
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	address := ip.As4()
	// Addresses are in the byte order of the processor.
	local := fmt.Sprintf("%08X:", *(*uint32)(unsafe.Pointer(&address)))
	var sum int64
	for line := range strings.Lines(string(content)) {
		// The fields are a number, the local and the remote address, the state, and the queues SENT:RECEIVED. The queue of a listener
		// (state 0A) is that of its connections.
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == "0A" {
			continue
		}
		text, ok := strings.CutPrefix(fields[1], local)
		port, err := strconv.ParseUint(text, 16, 16)
		if !ok || err != nil || !ports[uint16(port)] {
			continue
		}
		_, queued, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queued, 16, 64)
		sum += n
	}
	return sum
}

// behaviour is what one client sends on one connection. It stays connected when it returns.
type behaviour func(c *unrulyConn)

// unrulyConn is a connection of a client of a crowd.
type unrulyConn struct {
	net.Conn
	id string
}

func (c *unrulyConn) send(format string, args ...any) bool {
	_, err := fmt.Fprintf(c.Conn, format, args...)
	return err == nil
}

// repeat sends a text until it has sent n bytes.
func (c *unrulyConn) repeat(text string, n int) bool {
	block := []byte(strings.Repeat(text, max(1, min(n, 32<<10)/len(text))))
	for n > 0 {
		sent, err := c.Write(block[:min(n, len(block))])
		if err != nil {
			return false
		}
		n -= sent
	}
	return true
}

func (c *unrulyConn) begin(method, path, version, headers string) bool {
	return c.send("%s %s %s\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 60000\r\n%s", method, path, version, host, c.id, headers)
}

// refusal is an answer of a VM to a client of a crowd.
type refusal struct {
	id, retryAfter string
	status         int
}

// crowd runs clients until the test ends. Each returns when its connection has been closed.
func (u *unrulyFleet) crowd(address string, clients int, do behaviour) {
	ctx, cancel := context.WithCancel(context.Background())
	var running, sent sync.WaitGroup
	var mu sync.Mutex
	var refusals []refusal
	for range clients {
		sent.Add(1)
		running.Go(func() {
			arrived := sync.OnceFunc(sent.Done)
			defer arrived()
			for ctx.Err() == nil {
				if r, ok := u.visit(ctx, address, do, arrived); ok {
					mu.Lock()
					refusals = append(refusals, r)
					mu.Unlock()
				}
				arrived()
				time.Sleep(u.pause)
			}
		})
	}
	sent.Wait()
	u.t.Cleanup(func() {
		cancel()
		running.Wait()
		for _, r := range refusals {
			u.checkRefusal(r)
		}
	})
}

// visit connects once and returns the answer, if there is one.
func (u *unrulyFleet) visit(ctx context.Context, address string, do behaviour, arrived func()) (refusal, bool) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return refusal{}, false
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	c := &unrulyConn{Conn: conn, id: fmt.Sprintf("crowd-%d", u.nextID.Add(1))}
	_ = conn.SetWriteDeadline(time.Now().Add(crowdTime))
	do(c)
	arrived()
	// Only the head of an answer is read, so that a client of a long answer does not read on.
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)
	if err != nil {
		return refusal{}, false
	}
	if response.StatusCode < http.StatusBadRequest {
		<-ctx.Done()
	}
	return refusal{id: c.id, status: response.StatusCode, retryAfter: response.Header.Get("Retry-After")}, true
}

// checkRefusal checks that a refusal says the truth, and when to come back.
func (u *unrulyFleet) checkRefusal(r refusal) {
	switch r.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		qt.Check(u.t, r.retryAfter, qt.Not(qt.Equals), "", qt.Commentf("status %d", r.status))
	case http.StatusRequestTimeout:
	default:
		return
	}
	for _, target := range u.targets {
		qt.Check(u.t, target.Runs(r.id), qt.Equals, 0, qt.Commentf("%s was refused with %d", r.id, r.status))
	}
}

// play plays one crowd against the VM.
func play(t *testing.T, target streamtarget.Config, clients int, address func(*process) string, do behaviour) {
	t.Helper()
	target.Events = streamEvents
	u := startUnrulyFleet(t, target)
	u.crowd(address(u.vm), clients, do)
	u.check()
}

func toClients(vm *process) string { return vm.clients }

// playVersions plays a crowd that speaks HTTP/1.1 and one that speaks HTTP/1.0.
func playVersions(t *testing.T, behave func(version string) behaviour) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(version, func(t *testing.T) { play(t, streamtarget.Config{}, unrulyClients, toClients, behave(version)) })
	}
}

func headOverLimit(version string) behaviour {
	return func(c *unrulyConn) { _ = c.begin("POST", "/s/x", version, "X-Long: ") && c.repeat("a", 900<<10) }
}

// headWithoutEnd sends lines as fast as it can, and then slowly.
func headWithoutEnd(version string) behaviour {
	return func(c *unrulyConn) {
		if !c.begin("POST", "/s/x", version, headLines(900<<10)) {
			return
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if !c.send("a") {
				return
			}
		}
	}
}

// headLines returns lines of a total size. net/http of Go 1.27 reads no more than 500.
func headLines(size int) string {
	const lines = 450
	var text strings.Builder
	for i := range lines {
		fmt.Fprintf(&text, "x%04x: %s\r\n", i, strings.Repeat("a", max(0, size/lines-9)))
	}
	return text.String()
}

// headInsideLimit sends a head of nearly the largest size, and not its end.
func headInsideLimit(version string) behaviour {
	return func(c *unrulyConn) { c.begin("POST", "/s/x", version, headLines(unrulyHeader-1024)) }
}

func emptyLines(string) behaviour {
	return func(c *unrulyConn) { c.repeat("\r\n", endless) }
}

// bodyShortOfItsEnd sends a body of legal size but for its last byte. Piece is the size of its pieces.
func bodyShortOfItsEnd(path string, piece int) func(version string) behaviour {
	return func(version string) behaviour {
		return func(c *unrulyConn) {
			if !c.begin("POST", path, version, fmt.Sprintf("Content-Length: %d\r\n\r\n", unrulyBody)) {
				return
			}
			for left := unrulyBody - 1; left > 0; left -= piece {
				if !c.repeat("a", min(left, piece)) {
					return
				}
			}
		}
	}
}

// chunksShortOfTheirEnd sends a chunked body of n bytes, and not its last chunk.
func chunksShortOfTheirEnd(n, chunk int) behaviour {
	return func(c *unrulyConn) {
		if !c.begin("POST", "/s/x", "HTTP/1.1", "Transfer-Encoding: chunked\r\n\r\n") {
			return
		}
		text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("a", chunk))
		_ = c.repeat(text, n/chunk*len(text))
	}
}

// wholeBody sends a complete request of legal size.
func wholeBody(path string) behaviour {
	return func(c *unrulyConn) {
		_ = c.begin("POST", path, "HTTP/1.1", fmt.Sprintf("Content-Length: %d\r\n\r\n", unrulyBody)) && c.repeat("a", unrulyBody)
	}
}

// wholeJob sends a job of nearly the legal size.
func wholeJob(c *unrulyConn) {
	job := jobOf(c.id, 4, unrulyBody-4096)
	_ = c.begin("POST", "/b/j", "HTTP/1.1", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(job))) && c.repeat(job, len(job))
}

// jobOf returns a job of a number of items whose bodies have a total size as they are sent.
func jobOf(id string, items, size int) string {
	list := make([]string, items)
	for i := range list {
		list[i] = fmt.Sprintf(`{"id":"%s-%d","path":"/b/%d","body":"%s","tokens":10}`, id, i, i, strings.Repeat("QUFB", size/items/4))
	}
	return `{"items":[` + strings.Join(list, ",") + `]}`
}

// Processes ran out of memory: the head of a request could be of any size up to 1 MB, whatever the configuration allowed.
func TestHeadsOverTheLimitExhaustMemory(t *testing.T) { playVersions(t, headOverLimit) }

func TestHeadsWithoutEndExhaustMemory(t *testing.T) { playVersions(t, headWithoutEnd) }

func TestHeadsOfManyLinesExhaustMemory(t *testing.T) {
	play(t, streamtarget.Config{}, 2*unrulyClients, toClients, headInsideLimit("HTTP/1.1"))
}

func TestEmptyLinesBeforeARequestExhaustMemory(t *testing.T) {
	play(t, streamtarget.Config{}, unrulyClients, toClients, emptyLines(""))
}

// Processes ran out of memory: many clients sent bodies of legal size but for their last bytes, and stayed connected.
func TestBodiesShortOfTheirEndExhaustMemory(t *testing.T) {
	for _, path := range []string{"/s/x", "/n/x", "/b/x"} {
		t.Run("whole to "+path, func(t *testing.T) { playVersions(t, bodyShortOfItsEnd(path, unrulyBody)) })
	}
	t.Run("piece by piece", func(t *testing.T) { playVersions(t, bodyShortOfItsEnd("/s/x", 1000)) })
}

func TestChunksShortOfTheirEndExhaustMemory(t *testing.T) {
	for _, chunk := range []int{1, 64, unrulyBody - 1} {
		size := unrulyBody - 1
		if chunk < 64 {
			size /= 4
		}
		t.Run(fmt.Sprintf("chunks of %d bytes", chunk), func(t *testing.T) {
			play(t, streamtarget.Config{}, unrulyClients, toClients, chunksShortOfTheirEnd(size, chunk))
		})
	}
}

func TestWholeBodiesAtOnceExhaustMemory(t *testing.T) {
	for _, path := range []string{"/s/x", "/n/x"} {
		t.Run("to "+path, func(t *testing.T) { play(t, streamtarget.Config{}, unrulyClients, toClients, wholeBody(path)) })
	}
}

func TestJobsAtOnceExhaustMemory(t *testing.T) {
	play(t, streamtarget.Config{}, unrulyClients, toClients, wholeJob)
}

// What a client sends behind a request that is running waits in the kernel, as much as its buffers hold.
func TestBytesBehindARequestExhaustMemory(t *testing.T) {
	behind := func(c *unrulyConn) {
		_ = c.begin("POST", "/s/x", "HTTP/1.1", "Content-Length: 6\r\n\r\nprompt") && c.repeat("a", 8<<20)
	}
	t.Run("of 250 ms", func(t *testing.T) { play(t, streamtarget.Config{}, 2*unrulyClients, toClients, behind) })
	t.Run("of 2.5 s", func(t *testing.T) {
		play(t, streamtarget.Config{Interval: 100 * time.Millisecond}, 2*unrulyClients, toClients, behind)
	})
}

// What targets sent for clients that do not read was held without a bound.
func TestStreamsThatNobodyReadsExhaustMemory(t *testing.T) {
	for _, path := range []string{"/s/x", "/n/x"} {
		t.Run("to "+path, func(t *testing.T) {
			play(t, streamtarget.Config{Padding: 500_000}, unrulyClients, toClients, func(c *unrulyConn) {
				c.begin("POST", path, "HTTP/1.1", "Content-Length: 6\r\n\r\nprompt")
			})
		})
	}
}

// Requests whose clients did not read held their targets' slots past every time limit.
func TestClientsThatDoNotReadHoldSlotsForEver(t *testing.T) {
	for _, path := range []string{"/s/x", "/n/x"} {
		t.Run("to "+path, func(t *testing.T) {
			u := startUnrulyFleet(t, streamtarget.Config{Events: streamEvents, Padding: 500_000})
			ctx, cancel := context.WithCancel(context.Background())
			var clients sync.WaitGroup
			for range unrulyClients / 4 {
				clients.Go(func() {
					_, _ = u.visit(ctx, u.vm.clients, func(c *unrulyConn) {
						c.begin("POST", path, "HTTP/1.1", "Content-Length: 6\r\n\r\nprompt")
					}, func() {})
				})
			}
			t.Cleanup(func() {
				cancel()
				clients.Wait()
			})
			active := func() int {
				sum := 0
				for _, target := range u.targets {
					running, _ := target.Concurrency()
					sum += running
				}
				return sum
			}
			u.eventually("targets run the requests of the crowd", func() bool { return active() > 0 })
			u.eventually("no target runs a request of the crowd", func() bool { return active() == 0 })
			u.check()
		})
	}
}

// Answers with results were held for as long as their clients did not read them.
func TestResultsThatNobodyReadsExhaustMemory(t *testing.T) {
	u := startUnrulyFleet(t, streamtarget.Config{Events: streamEvents, Padding: 4000})
	const items = 12
	status, _, err := u.do(http.MethodPost, u.vm.clients, "/b/j", "j", jobOf("j", items, 8*items))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusAccepted)
	u.results("j", u.vm, items)
	u.crowd(u.vm.clients, 2*unrulyClients, func(c *unrulyConn) { c.begin("GET", platform.ResultsURI("j", 0), "HTTP/1.1", "\r\n") })
	u.check()
}

// Clients that connect and send nothing took all descriptors.
func TestSilentConnectionsExhaustDescriptors(t *testing.T) {
	for name, address := range map[string]func(*process) string{
		"clients":   toClients,
		"directory": func(vm *process) string { return vm.directory },
		"ready":     func(vm *process) string { return vm.ready },
	} {
		t.Run(name, func(t *testing.T) { play(t, streamtarget.Config{}, silentClients, address, func(*unrulyConn) {}) })
	}
}

// Tunnels to targets that nobody used took all connections of the VM and of the targets.
func TestTunnelsThatNobodyUsesTakeAllConnections(t *testing.T) {
	u := startUnrulyFleet(t, streamtarget.Config{Events: streamEvents})
	u.crowd(u.vm.addresses[4], silentClients, func(c *unrulyConn) {
		target := u.targets[int(u.nextID.Load())%len(u.targets)]
		c.send("POST /targets/tunnel HTTP/1.1\r\nHost: x\r\nRosemarydyke-Target: %s\r\nTransfer-Encoding: chunked\r\n\r\n", target.Address())
	})
	u.check()
}

// The heads of all jobs are in memory on all VMs, and jobs of many small items had no bound.
func TestJobsOfManyItemsExhaustMemory(t *testing.T) {
	play(t, streamtarget.Config{}, unrulyClients, toClients, func(c *unrulyConn) {
		for i := range 32 {
			job := jobOf(fmt.Sprintf("%s-%d-%s", c.id, i, strings.Repeat("a", 60)), 200, 0)
			head := fmt.Sprintf("POST /b/j HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s-%d\r\nContent-Length: %d\r\n\r\n", host, c.id, i, len(job))
			if !c.send("%s%s", head, job) {
				return
			}
		}
	})
}

// What clients had sent waited in the kernel, for thousands of connections that were not accepted yet.
func TestClientsThatComeBackAtOnceExhaustMemory(t *testing.T) {
	for _, path := range []string{"/s/x", "/none/x"} {
		t.Run("to "+path, func(t *testing.T) {
			u := startUnrulyFleet(t, streamtarget.Config{Events: streamEvents})
			u.pause = time.Millisecond
			u.crowd(u.vm.clients, 4*unrulyClients, func(c *unrulyConn) {
				_ = c.begin("POST", path, "HTTP/1.1", "Content-Length: 300000\r\n\r\n") && c.repeat("a", 299_999)
				_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			})
			time.Sleep(3 * time.Second)
			u.check()
		})
	}
}

// All listeners read heads and bodies of any client.
func TestOtherListenersExhaustMemory(t *testing.T) {
	for _, listener := range []int{1, 2, 3, 4} {
		t.Run([]string{"", "ready", "directory", "metrics", "peers"}[listener], func(t *testing.T) {
			play(t, streamtarget.Config{}, unrulyClients, func(vm *process) string { return vm.addresses[listener] }, headWithoutEnd("HTTP/1.1"))
		})
	}
}

func TestAllUnrulyClientsAtOnceExhaustMemory(t *testing.T) {
	u := startUnrulyFleet(t, streamtarget.Config{Events: streamEvents})
	crowds := []behaviour{
		headOverLimit("HTTP/1.0"), headWithoutEnd("HTTP/1.1"), headInsideLimit("HTTP/1.1"), emptyLines(""),
		bodyShortOfItsEnd("/s/x", unrulyBody)("HTTP/1.1"), bodyShortOfItsEnd("/b/x", 1000)("HTTP/1.0"),
		chunksShortOfTheirEnd(unrulyBody-1, unrulyBody-1), chunksShortOfTheirEnd(unrulyBody/4, 1), wholeBody("/n/x"), wholeJob,
		func(*unrulyConn) {},
	}
	var started sync.WaitGroup
	for i, do := range crowds {
		started.Go(func() { u.crowd(u.vm.addresses[0], unrulyClients/2, do) })
		started.Go(func() { u.crowd(u.vm.addresses[1+i%4], unrulyClients/8, do) })
	}
	started.Wait()
	u.check()
}

// A single request of the largest size that the configuration allows is served in calm.
func TestSingleRequestInsideTheLimitsIsServed(t *testing.T) {
	u := startUnrulyFleet(t, streamtarget.Config{Events: streamEvents})
	body := strings.Repeat("a", unrulyBody)
	head := func(h http.Header) { h.Set("X-Long", strings.Repeat("a", unrulyHeader-1024)) }
	for _, path := range []string{"/s/x", "/n/x"} {
		status, content, err := u.doWith(http.MethodPost, u.vm.clients, path, "large"+path[1:2], body, head)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, status, qt.Equals, http.StatusOK)
		qt.Check(t, strings.Count(content, "\n\n"), qt.Equals, streamEvents)
		r, err := http.NewRequest(http.MethodPost, "http://"+u.vm.clients+path, io.MultiReader(strings.NewReader(body)))
		qt.Assert(t, err, qt.IsNil)
		r.Host = host
		platform.SetAttempt(r.Header, "chunked"+path[1:2], 5000)
		response, err := http.DefaultClient.Do(r)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		qt.Check(t, err, qt.IsNil)
		_ = response.Body.Close()
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusOK)
	}
	const items = 4
	status, _, err := u.do(http.MethodPost, u.vm.clients, "/b/j", "j", jobOf("j", items, unrulyBody-4096))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, http.StatusAccepted)
	u.results("j", u.vm, items)
	u.check()
}
