package experiment

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rosemarydyke/rosemarydyke/internal/admission/controller"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// modelName is the only model; all engines serve it.
const modelName = "m"

// detectionDelay is the time from the kill of a VM until it is removed from the member list.
const detectionDelay = 5 * time.Second

var errNoResponse = errors.New("experiment: no response")

// fleet is an emulated fleet of entry VMs and engines.
type fleet struct {
	profile  Profile
	snapshot *settings.Snapshot
	engines  []*engine
	byName   map[string]*engine
	vms      []*vm

	mu            sync.Mutex
	members       []member.Member
	byPeerAddress map[netip.AddrPort]*vm
	traffic       Traffic
}

// Traffic counts the calls between entries.
type Traffic struct {
	Calls int `json:"calls"`
	// Bytes is the total size of the encoded requests and responses, without the transport's headers.
	Bytes int `json:"bytes"`
}

// vm is one entry VM. It implements the interfaces through which its controller reaches the other VMs.
type vm struct {
	fleet   *fleet
	index   int
	self    member.Member
	ctx     context.Context
	kill    context.CancelFunc
	calls   map[peer.Method]peer.CallHandler
	streams map[peer.Method]peer.StreamHandler

	*controller.Controller
}

func zoneOf(index, zones int) string { return fmt.Sprintf("az-%d", index%zones) }

// newFleet starts the engines and a controller on each VM.
func newFleet(ctx context.Context, p Profile) *fleet {
	f := &fleet{
		profile:       p,
		byName:        map[string]*engine{},
		byPeerAddress: map[netip.AddrPort]*vm{},
		snapshot:      &settings.Snapshot{Revision: 1, Clients: map[string]*settings.Client{}, Targets: map[string]*settings.Target{}},
	}
	for i := range p.Engines {
		f.addEngine(ctx, i)
	}
	for i := range p.VMs {
		f.members = append(f.members, member.Member{
			VM: fmt.Sprintf("vm-%02d", i), State: member.Alive, Incarnation: 1,
			AvailabilityZone: zoneOf(i, p.Zones), Region: "r1", EntryPeers: fmt.Sprintf("10.0.0.%d:1", i+1),
		})
	}
	for i := range p.VMs {
		f.addVM(ctx, i)
	}
	return f
}

func (f *fleet) addEngine(ctx context.Context, i int) {
	name := fmt.Sprintf("engine-%02d", i)
	e := newEngine(name, f.profile.Engine)
	f.engines = append(f.engines, e)
	f.byName[name] = e
	f.snapshot.Targets[name] = &settings.Target{
		Name: name, Address: fmt.Sprintf("10.0.1.%d:1", i+1), AvailabilityZone: zoneOf(i, f.profile.Zones),
		Model: modelName, Slots: f.profile.Engine.Slots,
	}
	go e.run(ctx)
}

func (f *fleet) addVM(ctx context.Context, i int) {
	v := &vm{
		fleet: f, index: i, self: f.members[i],
		calls: map[peer.Method]peer.CallHandler{}, streams: map[peer.Method]peer.StreamHandler{},
	}
	v.ctx, v.kill = context.WithCancel(ctx)
	v.Controller = controller.New(controller.Config{
		VM: v.self.VM, AvailabilityZone: v.self.AvailabilityZone,
		Members: v, Settings: f, Caller: v, Prober: v,
	})
	v.Register(v)
	f.vms = append(f.vms, v)
	f.byPeerAddress[netip.MustParseAddrPort(v.self.EntryPeers)] = v
	v.Start(v.ctx)
}

// killVM kills a VM. It stays in the member list until the failure is detected.
func (f *fleet) killVM(index int) {
	v := f.vms[index]
	v.kill()
	time.AfterFunc(detectionDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.members = slices.DeleteFunc(slices.Clone(f.members), func(m member.Member) bool { return m.VM == v.self.VM })
	})
}

// firstLive returns the first VM that has not been killed, starting at index. If all have been killed, it returns
// the VM at index.
func (f *fleet) firstLive(index int) *vm {
	for i := range f.vms {
		if v := f.vms[(index+i)%len(f.vms)]; v.ctx.Err() == nil {
			return v
		}
	}
	return f.vms[index]
}

// Current implements settings.Source.
func (f *fleet) Current() *settings.Snapshot { return f.snapshot }

// Fresh implements settings.Source.
func (f *fleet) Fresh() bool { return true }

// Members implements member.View.
func (v *vm) Members() []member.Member {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return slices.Clone(v.fleet.members)
}

// Self implements member.View.
func (v *vm) Self() member.Member { return v.self }

// Probe implements controller.Prober.
func (v *vm) Probe(_ context.Context, t *settings.Target) error {
	e := v.fleet.byName[t.Name]
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return errUnreachable
	}
	return nil
}

// HandleCall implements peer.Registrar.
func (v *vm) HandleCall(method peer.Method, handler peer.CallHandler) { v.calls[method] = handler }

// HandleStream implements peer.Registrar.
func (v *vm) HandleStream(method peer.Method, handler peer.StreamHandler) {
	v.streams[method] = handler
}

// OpenStream implements peer.Caller. Controllers open no streams.
func (v *vm) OpenStream(context.Context, netip.AddrPort, peer.Method) (peer.Stream, error) {
	return nil, errNoResponse
}

// Call implements peer.Caller. It adds the network delay between the two VMs in each direction.
func (v *vm) Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error {
	callee, ok := v.fleet.byPeerAddress[to]
	if !ok || callee.ctx.Err() != nil {
		<-ctx.Done()
		return errNoResponse
	}
	delay := v.fleet.delay(v.self.AvailabilityZone, callee.self.AvailabilityZone)
	time.Sleep(delay)
	result, err := callee.calls[method](ctx, peer.Identity{VM: v.self.VM}, func(into any) error { return reencode(request, into) })
	if err != nil {
		return err
	}
	time.Sleep(delay)
	v.fleet.countCall(request, result)
	return reencode(result, response)
}

func (f *fleet) countCall(request, response any) {
	encodedRequest, _ := cbor.Marshal(request)
	encodedResponse, _ := cbor.Marshal(response)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.traffic.Calls++
	f.traffic.Bytes += len(encodedRequest) + len(encodedResponse)
}

func (f *fleet) delay(a, b string) time.Duration {
	if a == b {
		return f.profile.LocalDelay
	}
	return f.profile.ZoneDelay
}

func (f *fleet) engineDelay(v *vm, e *engine) time.Duration {
	return f.delay(v.self.AvailabilityZone, f.snapshot.Targets[e.name].AvailabilityZone)
}

func (f *fleet) snapshotTraffic() Traffic {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.traffic
}

// reencode copies a message by encoding and decoding it, as the network would.
func reencode(from, into any) error {
	content, err := cbor.Marshal(from)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(content, into)
}
