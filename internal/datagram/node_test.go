package datagram_test

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/datagram"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
)

func listen(t *testing.T, vm string) *datagram.Node {
	n, err := datagram.Listen("127.0.0.1:0", vm, zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func TestCallsCarryFragmentedMessages(t *testing.T) {
	server, client := listen(t, "server"), listen(t, "client")
	server.HandleCall("echo", func(_ context.Context, from peer.Identity, decode func(any) error) (any, error) {
		var content []byte
		if err := decode(&content); err != nil {
			return nil, err
		}
		return append(content, from.VM...), nil
	})
	server.Start()
	client.Start()
	for _, size := range []int{0, 1, 1100, 1200, 5000, 100_000} {
		content := bytes.Repeat([]byte{'x'}, size)
		var response []byte
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		err := client.Call(ctx, server.Address(), "echo", content, &response)
		cancel()
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%d bytes", size))
		qt.Assert(t, len(response), qt.Equals, size+len("client"))
	}
}

func TestRetransmittedCallRunsOnce(t *testing.T) {
	server, client := listen(t, "server"), listen(t, "client")
	var runs atomic.Int32
	server.HandleCall("slow", func(context.Context, peer.Identity, func(any) error) (any, error) {
		runs.Add(1)
		time.Sleep(300 * time.Millisecond)
		return "done", nil
	})
	server.Start()
	client.Start()
	var response string
	qt.Assert(t, client.Call(t.Context(), server.Address(), "slow", struct{}{}, &response), qt.IsNil)
	qt.Assert(t, response, qt.Equals, "done")
	qt.Assert(t, runs.Load(), qt.Equals, int32(1))
}

func TestHandlerErrorsKeepTheirCodes(t *testing.T) {
	server, client := listen(t, "server"), listen(t, "client")
	server.HandleCall("fail", func(context.Context, peer.Identity, func(any) error) (any, error) {
		return nil, &peer.RemoteError{Code: "no_room", Message: "text"}
	})
	server.Start()
	client.Start()
	var remote *peer.RemoteError
	qt.Assert(t, errors.As(client.Call(t.Context(), server.Address(), "fail", 1, nil), &remote), qt.IsTrue)
	qt.Assert(t, remote.Code, qt.Equals, "no_room")
	qt.Assert(t, errors.As(client.Call(t.Context(), server.Address(), "absent", 1, nil), &remote), qt.IsTrue)
	qt.Assert(t, remote.Code, qt.Equals, peer.CodeUnknownMethod)
}

func TestUnansweredCallEndsWithItsContext(t *testing.T) {
	client := listen(t, "client")
	client.Start()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var unanswered *peer.UnansweredError
	err := client.Call(ctx, netip.MustParseAddrPort("127.0.0.1:9"), "x", 1, nil)
	qt.Assert(t, errors.As(err, &unanswered), qt.IsTrue, qt.Commentf("%v", err))
}

func TestCallThatCannotBeSentHasNotRun(t *testing.T) {
	client := listen(t, "client")
	qt.Assert(t, client.Close(), qt.IsNil)
	err := client.Call(t.Context(), netip.MustParseAddrPort("127.0.0.1:9"), "echo", struct{}{}, nil)
	var unanswered *peer.UnansweredError
	qt.Assert(t, errors.As(err, &unanswered), qt.IsTrue)
	qt.Assert(t, unanswered.Sent, qt.IsFalse)
}
