package operatorapi

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"github.com/kataras/iris/v12"
	"golang.org/x/sync/errgroup"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/internal/platform"
)

// listLimit bounds the jobs of one answer.
const listLimit = 200

// maxParallelQuestions bounds the processes that one request asks at once.
const maxParallelQuestions = 32

func (s *Server) listJobs(ctx iris.Context) {
	var jobs []Job
	for name := range s.config.Follower.Current().Clients {
		if !s.mayRead(ctx, name) {
			continue
		}
		if only := ctx.URLParam("client"); only != "" && only != name {
			continue
		}
		found, err := s.config.Jobs.List(ctx.Request().Context(), name, listLimit)
		if err != nil {
			s.failPlatform(ctx, err)
			return
		}
		jobs = append(jobs, found...)
	}
	slices.SortFunc(jobs, func(a, b Job) int { return cmp.Compare(b.CreatedAt.UnixNano(), a.CreatedAt.UnixNano()) })
	_ = ctx.JSON(jobs[:min(len(jobs), listLimit)])
}

// readableJob returns the job of the request if the operator may read it.
func (s *Server) readableJob(ctx iris.Context) (Job, bool) {
	job, err := s.config.Jobs.Get(ctx.Request().Context(), ctx.Params().Get("id"))
	if err != nil {
		s.failPlatform(ctx, err)
		return Job{}, false
	}
	if !s.mayRead(ctx, job.Client) {
		fail(ctx, http.StatusNotFound, "not_found", "there is no such job")
		return Job{}, false
	}
	return job, true
}

func (s *Server) getJob(ctx iris.Context) {
	if job, ok := s.readableJob(ctx); ok {
		_ = ctx.JSON(job)
	}
}

func (s *Server) cancelJob(ctx iris.Context) {
	job, ok := s.readableJob(ctx)
	if !ok {
		return
	}
	if err := s.config.Jobs.Cancel(ctx.Request().Context(), job.ID); err != nil {
		s.failPlatform(ctx, err)
		return
	}
	s.getJob(ctx)
}

func (s *Server) failPlatform(ctx iris.Context, err error) {
	if errors.Is(err, platform.ErrNotFound) {
		fail(ctx, http.StatusNotFound, "not_found", "there is no such job or item")
		return
	}
	ctx.Header("Retry-After", "5")
	fail(ctx, http.StatusServiceUnavailable, "platform_unavailable", err.Error())
}

func (s *Server) getTargets(ctx iris.Context) {
	var answer explain.TargetsResponse
	if err := s.ask(ctx, s.config.Entry, explain.MethodTargets, struct{}{}, &answer); err != nil {
		s.failEntry(ctx, err)
		return
	}
	_ = ctx.JSON(answer.Targets)
}

func (s *Server) getVMs(ctx iris.Context) {
	vms, err := s.vms(ctx)
	if err != nil {
		s.failEntry(ctx, err)
		return
	}
	_ = ctx.JSON(vms)
}

func (s *Server) vms(ctx iris.Context) ([]explain.VMInfo, error) {
	var answer explain.VMsResponse
	err := s.ask(ctx, s.config.Entry, explain.MethodVMs, struct{}{}, &answer)
	return answer.VMs, err
}

func (s *Server) ask(ctx iris.Context, to netip.AddrPort, method peer.Method, request, response any) error {
	callCtx, cancel := context.WithTimeout(ctx.Request().Context(), callTimeout)
	defer cancel()
	return s.config.Caller.Call(callCtx, to, method, request, response)
}

func (s *Server) failEntry(ctx iris.Context, err error) {
	s.config.Log.Warn().Err(err).Msg("the entry did not answer")
	ctx.Header("Retry-After", "2")
	fail(ctx, http.StatusServiceUnavailable, "entry_unavailable", "the entry of this VM did not answer")
}

// explainRequest asks the VM that admitted the request, whose name starts the request's id.
func (s *Server) explainRequest(ctx iris.Context) {
	id := ctx.Params().Get("id")
	vm, _, found := strings.Cut(id, ".")
	if !found {
		fail(ctx, http.StatusBadRequest, "invalid_request_id", "a request id has the form VM.ID")
		return
	}
	vms, err := s.vms(ctx)
	if err != nil {
		s.failEntry(ctx, err)
		return
	}
	address, ok := entryAddress(vms, vm)
	if !ok {
		fail(ctx, http.StatusNotFound, "vm_gone", "VM "+vm+" is gone, and its account of the request with it")
		return
	}
	var answer explain.Explanation
	if err := s.ask(ctx, address, explain.MethodRequest, explain.RequestQuery{ID: id}, &answer); err != nil {
		s.failEntry(ctx, err)
		return
	}
	if !answer.Found || !s.mayRead(ctx, answer.Client) {
		fail(ctx, http.StatusNotFound, "not_found", "VM "+vm+" has no account of the request")
		return
	}
	_ = ctx.JSON(answer)
}

func entryAddress(vms []explain.VMInfo, name string) (netip.AddrPort, bool) {
	for _, vm := range vms {
		if vm.VM == name {
			address, err := netip.ParseAddrPort(vm.EntryPeers)
			return address, err == nil
		}
	}
	return netip.AddrPort{}, false
}

func (s *Server) explainJob(ctx iris.Context) {
	job, ok := s.readableJob(ctx)
	if !ok {
		return
	}
	answer, err := s.config.Jobs.Explain(ctx.Request().Context(), job.ID)
	if err != nil {
		s.failPlatform(ctx, err)
		return
	}
	_ = ctx.JSON(answer)
}

// explainItem joins what the store knows of an item with what the batch processes have in memory.
func (s *Server) explainItem(ctx iris.Context) {
	job, ok := s.readableJob(ctx)
	if !ok {
		return
	}
	customID := ctx.Params().Get("item")
	answer, err := s.config.Jobs.ExplainItem(ctx.Request().Context(), job.ID, customID)
	if err != nil {
		s.failPlatform(ctx, err)
		return
	}
	answer.Events = append(answer.Events, s.itemEvents(ctx, job.ID, customID)...)
	slices.SortStableFunc(answer.Events, func(a, b explain.Event) int { return a.At.Compare(b.At) })
	_ = ctx.JSON(answer)
}

// itemEvents asks the batch processes of all VMs at once. One that does not answer is left out.
func (s *Server) itemEvents(ctx iris.Context, job, customID string) []explain.Event {
	vms, err := s.vms(ctx)
	if err != nil {
		return nil
	}
	answers := make([]explain.Explanation, len(vms))
	var group errgroup.Group
	group.SetLimit(maxParallelQuestions)
	for i, vm := range vms {
		address, err := netip.ParseAddrPort(vm.BatchPeers)
		if err != nil {
			continue
		}
		group.Go(func() error {
			question := explain.ItemQuery{Job: job, CustomID: customID}
			if err := s.ask(ctx, address, explain.MethodItem, question, &answers[i]); err != nil {
				s.config.Log.Debug().Err(err).Str("asked_vm", vm.VM).Msg("a batch process did not answer")
			}
			return nil
		})
	}
	_ = group.Wait()
	var events []explain.Event
	for i, answer := range answers {
		events = append(events, withVM(answer.Events, vms[i].VM)...)
	}
	return events
}

// withVM names the VM in events that do not name one.
func withVM(events []explain.Event, vm string) []explain.Event {
	for i := range events {
		if events[i].VM == "" {
			events[i].VM = vm
		}
	}
	return events
}
