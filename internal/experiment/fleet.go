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

// modelName is the one model that all engines serve.
const modelName = "m"

// detectionDelay is the time from the loss of a VM until the members no longer list it.
const detectionDelay = 5 * time.Second

var errLost = errors.New("experiment: no answer")

// fleet is the entry VMs and the engines.
type fleet struct {
	profile  Profile
	snapshot *settings.Snapshot
	engines  []*engine
	byName   map[string]*engine
	vms      []*vm

	mu      sync.Mutex
	members []member.Member
	byPeer  map[netip.AddrPort]*vm
	traffic Traffic
}

// Traffic counts the calls between entries.
type Traffic struct {
	Calls int `json:"calls"`
	// Bytes counts the encoded questions and answers, without the transport's headers.
	Bytes int `json:"bytes"`
}

// vm is one entry VM. It implements the interfaces through which a controller meets the others.
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

// newFleet starts the engines and, on each VM, a controller.
func newFleet(ctx context.Context, p Profile) *fleet {
	f := &fleet{
		profile:  p,
		byName:   map[string]*engine{},
		byPeer:   map[netip.AddrPort]*vm{},
		snapshot: &settings.Snapshot{Revision: 1, Clients: map[string]*settings.Client{}, Targets: map[string]*settings.Target{}},
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
	f.byPeer[netip.MustParseAddrPort(v.self.EntryPeers)] = v
	v.Start(v.ctx)
}

// lose kills a VM. The members list it until its loss is detected.
func (f *fleet) lose(index int) {
	v := f.vms[index]
	v.kill()
	time.AfterFunc(detectionDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.members = slices.DeleteFunc(slices.Clone(f.members), func(m member.Member) bool { return m.VM == v.self.VM })
	})
}

// live returns the first VM from index on that has not been killed.
func (f *fleet) live(index int) *vm {
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
	return nil, errLost
}

// Call implements peer.Caller with the delay between the two VMs.
func (v *vm) Call(ctx context.Context, to netip.AddrPort, method peer.Method, request, response any) error {
	callee, ok := v.fleet.byPeer[to]
	if !ok || callee.ctx.Err() != nil {
		<-ctx.Done()
		return errLost
	}
	delay := v.fleet.delay(v.self.AvailabilityZone, callee.self.AvailabilityZone)
	time.Sleep(delay)
	answer, err := callee.calls[method](ctx, peer.Identity{VM: v.self.VM}, func(into any) error { return recode(request, into) })
	if err != nil {
		return err
	}
	time.Sleep(delay)
	v.fleet.count(request, answer)
	return recode(answer, response)
}

func (f *fleet) count(request, answer any) {
	question, _ := cbor.Marshal(request)
	reply, _ := cbor.Marshal(answer)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.traffic.Calls++
	f.traffic.Bytes += len(question) + len(reply)
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

// recode passes a message through its encoding.
func recode(from, into any) error {
	content, err := cbor.Marshal(from)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(content, into)
}
