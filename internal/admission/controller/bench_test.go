package controller

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/devkeys"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/target"
)

const (
	// plannedNodes, plannedTargets and plannedModels are the fleet size that the design has to support.
	plannedNodes   = 360
	plannedTargets = 830
	plannedModels  = 4
	// plannedSlots is the number of slots of one target: enough for 8,200 requests per second of 17 s each on 830
	// targets (168), with some reserve.
	plannedSlots = 200
	// renewalTargets is the number of targets in one renewal at the planned size.
	renewalTargets = 3
	// packetHeaders is the size of the IPv4 and UDP headers of a packet, in bytes.
	packetHeaders = 28
)

// staticFleet is a fixed set of members and settings. Calls in it get no response.
type staticFleet struct {
	members  []member.Member
	snapshot *settings.Snapshot
}

func (s *staticFleet) Members() []member.Member    { return slices.Clone(s.members) }
func (s *staticFleet) Self() member.Member         { return s.members[0] }
func (s *staticFleet) Current() *settings.Snapshot { return s.snapshot }
func (s *staticFleet) Fresh() bool                 { return true }

func (s *staticFleet) Call(ctx context.Context, _ netip.AddrPort, _ peer.Method, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

func (s *staticFleet) OpenStream(context.Context, netip.AddrPort, peer.Method) (peer.Stream, error) {
	return nil, context.Canceled
}

func newStaticFleet(nodes, targets, zones int) *staticFleet {
	s := &staticFleet{snapshot: &settings.Snapshot{Revision: 1, Targets: make(map[string]*settings.Target)}}
	for i := range nodes {
		s.members = append(s.members, member.Member{
			VM:               fmt.Sprint("vm-", i),
			State:            member.Alive,
			AvailabilityZone: fmt.Sprint("az-", i%zones),
			Region:           fmt.Sprint("r", i%2),
			EntryPeers:       fmt.Sprintf("10.0.%d.%d:8201", i/200, i%200+1),
		})
	}
	for i := range targets {
		t := engine(fmt.Sprint("engine-", i), fmt.Sprint("az-", i%zones), plannedSlots)
		t.Model = fmt.Sprint("m", i/zones%plannedModels)
		s.snapshot.Targets[t.Name] = t
	}
	return s
}

func newStaticController(s *staticFleet) *Controller {
	return New(Config{VM: s.members[0].VM, AvailabilityZone: "az-0", Members: s, Settings: s, Caller: s})
}

// BenchmarkAcquireAndRelease measures the CPU time of one request on a VM that owns its targets.
func BenchmarkAcquireAndRelease(b *testing.B) {
	c := newStaticController(newStaticFleet(1, 24, 1))
	c.tick(time.Now())
	request := admission.Request{ID: "vm.1", Client: "a", Model: "m0", PrefixBlocks: []uint64{1, 2, 3, 4}}
	b.ReportAllocs()
	for b.Loop() {
		request.Deadline = time.Now().Add(time.Minute)
		grant, err := c.Acquire(context.Background(), request)
		if err != nil {
			b.Fatal(err)
		}
		grant.Release(completed)
	}
}

// BenchmarkHandleRenewal measures an owner's CPU time for one renewal from another entry.
func BenchmarkHandleRenewal(b *testing.B) {
	c := newStaticController(newStaticFleet(1, renewalTargets, 1))
	c.tick(time.Now())
	message := renewal()
	responses := make([]TargetResponse, renewalTargets)
	b.ReportAllocs()
	for b.Loop() {
		for i := range message.Targets {
			message.Targets[i].Sequence++
		}
		c.handleRequests("vm-9", message, responses)
	}
}

// BenchmarkTickAtPlannedSize measures one tick of a VM, which runs four times per second.
func BenchmarkTickAtPlannedSize(b *testing.B) {
	c := newStaticController(newStaticFleet(plannedNodes, plannedTargets, 8))
	c.tick(time.Now())
	b.ReportAllocs()
	for b.Loop() {
		c.tick(time.Now())
	}
}

// BenchmarkMemberChangeAtPlannedSize measures the cost of one membership change for each VM.
func BenchmarkMemberChangeAtPlannedSize(b *testing.B) {
	s := newStaticFleet(plannedNodes, plannedTargets, 8)
	c := newStaticController(s)
	c.tick(time.Now())
	for b.Loop() {
		s.members[1].Incarnation++
		c.tick(time.Now())
	}
}

func renewal() CreditsRequest {
	message := CreditsRequest{Session: 1 << 60}
	for i := range renewalTargets {
		request := target.CreditRequest{Sequence: 100000, Held: 18, InUse: 16, Want: 18}
		message.Targets = append(message.Targets, newTargetRequest(fmt.Sprint("engine-", i), false, request))
	}
	return message
}

func TestRenewalMessageSize(t *testing.T) {
	request, err := cbor.Marshal(renewal())
	qt.Assert(t, err, qt.IsNil)
	message := CreditsResponse{}
	for range renewalTargets {
		granted := target.CreditResponse{Granted: 18, TTL: 3 * time.Second, Obtainable: 100, Share: 200}
		message.Targets = append(message.Targets, newTargetResponse(false, granted))
	}
	response, err := cbor.Marshal(message)
	qt.Assert(t, err, qt.IsNil)
	t.Logf("request of %d bytes, response of %d bytes for %d targets", len(request), len(response), renewalTargets)
	qt.Assert(t, len(request)+len(response) <= 200, qt.IsTrue)
}

// BenchmarkRenewalOnTheWire measures the bytes of one renewal over the real transport in both directions, including
// all headers.
func BenchmarkRenewalOnTheWire(b *testing.B) {
	dir := b.TempDir()
	if err := devkeys.Generate(dir, []string{"vm-1", "vm-2"}); err != nil {
		b.Fatal(err)
	}
	owner := listen(b, dir, "vm-1")
	c := newStaticController(newStaticFleet(1, renewalTargets, 1))
	c.tick(time.Now())
	c.Register(owner)
	holder := listen(b, dir, "vm-2")
	for _, node := range []*peer.Node{owner, holder} {
		if err := node.Start(); err != nil {
			b.Fatal(err)
		}
		defer func() { _ = node.Close(context.Background()) }()
	}
	wire := newRelay(b, owner.Address())
	message := renewal()
	call := func() {
		for i := range message.Targets {
			message.Targets[i].Sequence++
		}
		var response CreditsResponse
		if err := holder.Call(context.Background(), wire.address, MethodCredits, message, &response); err != nil {
			b.Fatal(err)
		}
		// Acknowledgements are delayed. Wait for them, so that they are not sent with the next call's packets.
		time.Sleep(100 * time.Millisecond)
	}
	call()
	before := wire.bytes.Load()
	n := 0
	for b.Loop() {
		call()
		n++
	}
	b.ReportMetric(float64(wire.bytes.Load()-before)/float64(n), "wire-B/op")
}

func listen(b *testing.B, dir, vm string) *peer.Node {
	node, err := peer.Listen(peer.Config{Address: "127.0.0.1:0", TLS: config.TLS{
		CA:          filepath.Join(dir, devkeys.CAFile),
		Certificate: filepath.Join(dir, vm+".pem"),
		Key:         filepath.Join(dir, vm+".key"),
	}})
	if err != nil {
		b.Fatal(err)
	}
	return node
}

// relay forwards packets between one caller and a node and counts their bytes.
type relay struct {
	address netip.AddrPort
	bytes   atomic.Int64
	mu      sync.Mutex
	caller  netip.AddrPort
}

func newRelay(b *testing.B, to netip.AddrPort) *relay {
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		b.Fatal(err)
	}
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = front.Close(); _ = back.Close() })
	r := &relay{address: front.LocalAddr().(*net.UDPAddr).AddrPort()}
	go r.forward(front, back)
	go r.backward(front, back)
	return r
}

func (r *relay) forward(front, back *net.UDPConn) {
	packet := make([]byte, 2048)
	for {
		n, from, err := front.ReadFromUDPAddrPort(packet)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.caller = from
		r.mu.Unlock()
		r.bytes.Add(int64(n) + packetHeaders)
		_, _ = back.Write(packet[:n])
	}
}

func (r *relay) backward(front, back *net.UDPConn) {
	packet := make([]byte, 2048)
	for {
		n, err := back.Read(packet)
		if err != nil {
			return
		}
		r.mu.Lock()
		caller := r.caller
		r.mu.Unlock()
		r.bytes.Add(int64(n) + packetHeaders)
		_, _ = front.WriteToUDPAddrPort(packet[:n], caller)
	}
}
