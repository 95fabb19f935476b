package peer

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/devkeys"
)

// testTimeout bounds waits that would not end if the transport were broken.
const testTimeout = 20 * time.Second

type text struct {
	Text string `cbor:"1,keyasint"`
}

func keyFiles(dir, vm string) config.TLS {
	return config.TLS{
		CA:          filepath.Join(dir, devkeys.CAFile),
		Certificate: filepath.Join(dir, vm+".pem"),
		Key:         filepath.Join(dir, vm+".key"),
	}
}

func newKeys(c *qt.C, vms ...string) string {
	dir := c.TempDir()
	c.Assert(devkeys.Generate(dir, vms), qt.IsNil)
	return dir
}

// startNode starts a node on address with the handlers that the tests call.
func startNode(c *qt.C, dir, vm, address string) *Node {
	node, err := Listen(Config{Address: address, TLS: keyFiles(dir, vm)})
	c.Assert(err, qt.IsNil)
	node.HandleCall("echo", func(_ context.Context, from Identity, decode func(any) error) (any, error) {
		var request text
		if err := decode(&request); err != nil {
			return nil, err
		}
		return text{Text: vm + " to " + from.VM + ": " + request.Text}, nil
	})
	node.HandleCall("fail", func(context.Context, Identity, func(any) error) (any, error) {
		return nil, &RemoteError{Code: "refused", Message: "rejected by the handler"}
	})
	node.HandleCall("trace", func(ctx context.Context, _ Identity, _ func(any) error) (any, error) {
		return text{Text: trace.SpanContextFromContext(ctx).TraceID().String()}, nil
	})
	node.HandleCall("wait", func(ctx context.Context, _ Identity, _ func(any) error) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	node.HandleStream("echoes", func(_ context.Context, _ Identity, stream Stream) error {
		for {
			var m text
			if err := stream.Receive(&m); err != nil {
				return nil
			}
			if err := stream.Send(m); err != nil {
				return err
			}
		}
	})
	c.Assert(node.Start(), qt.IsNil)
	c.Cleanup(func() { closeNode(node) })
	return node
}

func closeNode(node *Node) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = node.Close(ctx)
}

func TestCloseEndsOpenStreams(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a, b := startPair(c)
	ctx := testContext(c)
	stream, err := a.OpenStream(ctx, b.Address(), "echoes")
	c.Assert(err, qt.IsNil)
	c.Assert(stream.Send(text{"one"}), qt.IsNil)
	c.Assert(stream.Receive(&text{}), qt.IsNil)

	c.Assert(b.Close(ctx), qt.IsNil)
	c.Assert(stream.Receive(&text{}), qt.IsNotNil)
}

// kill stops a node without sending anything to its peers, as SIGKILL would.
func kill(node *Node) {
	_ = node.udp.Close()
	node.cancel()
}

func testContext(c *qt.C) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	return ctx
}

const anyPort = "127.0.0.1:0"

func TestCallReturnsResponse(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a, b := startPair(c)
	ctx := testContext(c)

	var response text
	c.Assert(a.Call(ctx, b.Address(), "echo", text{"hello"}, &response), qt.IsNil)
	c.Assert(response.Text, qt.Equals, "vm-2 to vm-1: hello")

	c.Assert(b.Call(ctx, a.Address(), "echo", text{"back"}, &response), qt.IsNil)
	c.Assert(response.Text, qt.Equals, "vm-1 to vm-2: back")
	c.Assert(a.allConnections(), qt.HasLen, 1, qt.Commentf("both directions share one connection"))
}

func TestCallErrorsReportWhetherHandlerMayHaveRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	dir := newKeys(c, "vm-1", "vm-2")
	otherDir := newKeys(c, "vm-3")
	a, b := startNode(c, dir, "vm-1", anyPort), startNode(c, dir, "vm-2", anyPort)
	untrusted := startNode(c, otherDir, "vm-3", anyPort)
	killed := startNode(c, dir, "vm-2", anyPort)
	kill(killed)

	for _, test := range []struct {
		name       string
		to         netip.AddrPort
		method     Method
		request    any
		timeout    time.Duration
		mayHaveRun bool
		remoteCode string
	}{
		{name: "the handler fails", to: b.Address(), method: "fail", timeout: testTimeout, mayHaveRun: true, remoteCode: "refused"},
		{name: "the method is unknown", to: b.Address(), method: "nothing", timeout: testTimeout, remoteCode: CodeUnknownMethod},
		{name: "the request cannot be decoded", to: b.Address(), method: "echo", request: "no struct", timeout: testTimeout, remoteCode: CodeBadRequest},
		{name: "the request is too large", to: b.Address(), method: "echo", request: text{strings.Repeat("x", DefaultMaxMessageBytes)}, timeout: testTimeout},
		{name: "no process listens", to: killed.Address(), method: "echo", timeout: testTimeout},
		{name: "the peer's certificate is from another authority", to: untrusted.Address(), method: "echo", timeout: testTimeout},
		{name: "the call times out", to: b.Address(), method: "wait", timeout: 50 * time.Millisecond, mayHaveRun: true},
	} {
		c.Run(test.name, func(c *qt.C) {
			ctx, cancel := context.WithTimeout(context.Background(), test.timeout)
			defer cancel()
			err := a.Call(ctx, test.to, test.method, test.request, &text{})
			c.Assert(err, qt.IsNotNil)
			c.Assert(MayHaveRun(err), qt.Equals, test.mayHaveRun, qt.Commentf("%v", err))
			remote, _ := errors.AsType[*RemoteError](err)
			if test.remoteCode != "" {
				c.Assert(remote, qt.IsNotNil, qt.Commentf("%v", err))
				c.Assert(remote.Code, qt.Equals, test.remoteCode)
			}
		})
	}
}

// startPair starts the nodes of vm-1 and vm-2.
func startPair(c *qt.C) (a, b *Node) {
	dir := newKeys(c, "vm-1", "vm-2")
	return startNode(c, dir, "vm-1", anyPort), startNode(c, dir, "vm-2", anyPort)
}

func TestCallPropagatesTraceContext(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a, b := startPair(c)
	traceID := trace.TraceID{1, 2, 3}
	ctx := trace.ContextWithRemoteSpanContext(testContext(c), trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: traceID, SpanID: trace.SpanID{4}, TraceFlags: trace.FlagsSampled,
	}))

	var response text
	c.Assert(a.Call(ctx, b.Address(), "trace", struct{}{}, &response), qt.IsNil)
	c.Assert(response.Text, qt.Equals, traceID.String())
}

func TestStreamCarriesMessagesUntilClosed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a, b := startPair(c)
	stream, err := a.OpenStream(testContext(c), b.Address(), "echoes")
	c.Assert(err, qt.IsNil)

	for _, word := range []string{"one", "two", "three"} {
		c.Assert(stream.Send(text{word}), qt.IsNil)
		var m text
		c.Assert(stream.Receive(&m), qt.IsNil)
		c.Assert(m.Text, qt.Equals, word)
	}
	c.Assert(stream.Close(), qt.IsNil)
	c.Assert(stream.Receive(&text{}), qt.IsNotNil)
}

func TestStreamEndsWhenPeerIsKilled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a, b := startPair(c)
	stream, err := a.OpenStream(testContext(c), b.Address(), "echoes")
	c.Assert(err, qt.IsNil)
	c.Assert(stream.Send(text{"one"}), qt.IsNil)
	c.Assert(stream.Receive(&text{}), qt.IsNil)

	kill(b)
	started := time.Now()
	c.Assert(stream.Receive(&text{}), qt.IsNotNil)
	c.Assert(time.Since(started) < DefaultIdleTimeout/10, qt.IsTrue)
}

func TestStreamOfUnknownMethodFails(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	a, b := startPair(c)
	stream, err := a.OpenStream(testContext(c), b.Address(), "nothing")
	c.Assert(err, qt.IsNil)
	err = stream.Receive(&text{})
	c.Assert(err, qt.IsNotNil)
	c.Assert(errors.Is(err, io.EOF), qt.IsFalse, qt.Commentf("a failure must not look like a normal end of the stream"))
}

func TestFirstCallAfterPeerRestartSucceeds(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		// newKey gives the restarted process another private key, as when the VM was replaced:
		// it cannot reset connections of its previous run.
		newKey bool
	}{
		{name: "with the same key"},
		{name: "with another key", newKey: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			dir := newKeys(c, "vm-1", "vm-2", "vm-3")
			a, b := startNode(c, dir, "vm-1", anyPort), startNode(c, dir, "vm-2", anyPort)
			ctx := testContext(c)
			c.Assert(a.Call(ctx, b.Address(), "echo", text{"before"}, &text{}), qt.IsNil)

			kill(b)
			vm := "vm-2"
			if test.newKey {
				vm = "vm-3"
			}
			restarted := startNode(c, dir, vm, b.Address().String())
			makeIdle(a, b.Address())
			started := time.Now()
			var response text
			c.Assert(a.Call(ctx, restarted.Address(), "echo", text{"after"}, &response), qt.IsNil)
			c.Assert(response.Text, qt.Equals, vm+" to vm-1: after")
			c.Logf("call after restart took %v", time.Since(started))
		})
	}
}

func TestCallOverStaleConnectionFailsWithoutVerification(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	dir := newKeys(c, "vm-1", "vm-2", "vm-3")
	naive, err := Listen(Config{Address: anyPort, TLS: keyFiles(dir, "vm-1"), VerifyAfter: time.Hour})
	c.Assert(err, qt.IsNil)
	c.Assert(naive.Start(), qt.IsNil)
	defer closeNode(naive)
	b := startNode(c, dir, "vm-2", anyPort)
	ctx, cancel := context.WithTimeout(context.Background(), DefaultHealthCheckTimeout)
	defer cancel()
	c.Assert(naive.Call(ctx, b.Address(), "echo", text{"before"}, &text{}), qt.IsNil)

	kill(b)
	startNode(c, dir, "vm-3", b.Address().String())
	err = naive.Call(ctx, b.Address(), "echo", text{"after"}, &text{})
	c.Assert(err, qt.IsNotNil, qt.Commentf("without verification the call must fail, or TestFirstCallAfterPeerRestartSucceeds proves nothing"))
	c.Assert(MayHaveRun(err), qt.IsTrue)
}

func TestCallToKilledPeerMayHaveRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	dir := newKeys(c, "vm-1", "vm-2")
	a := startNode(c, dir, "vm-1", anyPort)
	b, err := Listen(Config{Address: anyPort, TLS: keyFiles(dir, "vm-2")})
	c.Assert(err, qt.IsNil)
	running := make(chan struct{})
	b.HandleCall("hang", func(ctx context.Context, _ Identity, _ func(any) error) (any, error) {
		close(running)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	c.Assert(b.Start(), qt.IsNil)
	go func() {
		<-running
		kill(b)
	}()

	ctx := testContext(c)
	err = a.Call(ctx, b.Address(), "hang", struct{}{}, nil)
	unanswered, ok := errors.AsType[*UnansweredError](err)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(unanswered.Sent, qt.IsTrue)
	c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("the loss is detected before the call's deadline"))
}

// makeIdle makes the connection to an address appear idle for longer than Config.VerifyAfter.
func makeIdle(node *Node, to netip.AddrPort) {
	node.cached(to).lastReceived.Store(int64(time.Since(epoch) - 2*node.cfg.VerifyAfter))
}

func TestDatagramsCarrySenderIdentity(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	dir := newKeys(c, "vm-1", "vm-2")
	a := startNode(c, dir, "vm-1", anyPort)
	b, err := Listen(Config{Address: anyPort, TLS: keyFiles(dir, "vm-2")})
	c.Assert(err, qt.IsNil)
	type arrival struct {
		from    Identity
		payload string
	}
	arrivals := make(chan arrival, 2)
	b.HandleDatagram(func(from Identity, payload []byte) { arrivals <- arrival{from, string(payload)} })
	c.Assert(b.Start(), qt.IsNil)
	defer closeNode(b)

	largest := strings.Repeat("x", MaxDatagramBytes)
	for _, payload := range []string{"without a connection", largest} {
		c.Assert(a.SendDatagram(b.Address(), []byte(payload)), qt.IsNil)
		got := <-arrivals
		c.Assert(got.payload, qt.Equals, payload)
		c.Assert(got.from, qt.Equals, Identity{VM: "vm-1", Address: a.Address()})
	}
	c.Assert(a.SendDatagram(b.Address(), make([]byte, MaxDatagramBytes+1)), qt.ErrorIs, ErrMessageTooLarge)
}

func TestCloseWaitsForRunningHandlers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	dir := newKeys(c, "vm-1", "vm-2")
	a := startNode(c, dir, "vm-1", anyPort)
	b, err := Listen(Config{Address: anyPort, TLS: keyFiles(dir, "vm-2")})
	c.Assert(err, qt.IsNil)
	running, finish := make(chan struct{}), make(chan struct{})
	b.HandleCall("slow", func(context.Context, Identity, func(any) error) (any, error) {
		close(running)
		<-finish
		return text{"done"}, nil
	})
	c.Assert(b.Start(), qt.IsNil)
	ctx := testContext(c)

	result := make(chan error, 1)
	go func() { result <- a.Call(ctx, b.Address(), "slow", struct{}{}, &text{}) }()
	<-running
	closed := make(chan error, 1)
	go func() { closed <- b.Close(ctx) }()
	close(finish)
	c.Assert(<-closed, qt.IsNil)
	c.Assert(<-result, qt.IsNil)
}

func TestCloseLeaksNoGoroutines(t *testing.T) {
	c := qt.New(t)
	before := goleak.IgnoreCurrent()
	a, b := startPair(c)
	ctx := testContext(c)
	c.Assert(a.Call(ctx, b.Address(), "echo", text{"hello"}, &text{}), qt.IsNil)
	_, err := a.OpenStream(ctx, b.Address(), "echoes")
	c.Assert(err, qt.IsNil)

	c.Assert(a.Close(ctx), qt.IsNil)
	c.Assert(b.Close(ctx), qt.IsNil)
	goleak.VerifyNone(t, before)
}
