package callerapi

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/engine"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// idempotentMethods are the methods that RFC 9110 section 9.2.2 names as idempotent.
var idempotentMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete,
}

// handleService passes a call on to a plain service.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request, snapshot *settings.Snapshot) {
	s.serve(w, r, snapshot, func(ctx context.Context, c *call) error {
		service, err := findService(c, r.PathValue("service"))
		if err != nil {
			return err
		}
		if err := c.readIdempotent(r, isIdempotent(service, r.Method)); err != nil {
			return err
		}
		a := &answerWriter{w: w}
		return s.once(ctx, c, r, a, func(ctx context.Context) error { return s.callService(ctx, c, r, service, a) })
	})
}

func findService(c *call, name string) (*settings.Service, error) {
	service, ok := c.snapshot.Services[name]
	if !ok {
		return nil, notRun(verdict.CodeServiceNotFound, "there is no service "+name)
	}
	if len(service.Clients) > 0 && !slices.Contains(service.Clients, c.client.Name) {
		return nil, notRun(verdict.CodeForbidden, "the client may not call service "+name)
	}
	c.service = name
	return service, nil
}

func isIdempotent(service *settings.Service, method string) bool {
	if len(service.IdempotentMethods) > 0 {
		return slices.Contains(service.IdempotentMethods, method)
	}
	return slices.Contains(idempotentMethods, method)
}

// callService sends the call to a target of the service and passes its answer on, whatever its status.
//
// RFC 9110 does not promise that a call answered with 503 had no effect. So a refusal is taken for
// not-run only where a repetition is harmless, and is the service's own answer otherwise.
func (s *Server) callService(ctx context.Context, c *call, r *http.Request, service *settings.Service, a *answerWriter) error {
	var refused *engine.Response
	err := s.dispatch(ctx, c, func(ctx context.Context, target *settings.Target) (admission.Outcome, error) {
		answer, err := s.config.Engine.Do(ctx, c.serviceRequest(ctx, r, service, target))
		if err != nil {
			return admission.Outcome{}, err
		}
		if c.idempotent && engine.Refused(answer.Status) {
			refused = answer
			return admission.Outcome{}, engine.Refusal(answer.Header)
		}
		a.whole(answer)
		return admission.Outcome{FirstToken: answer.FirstByte}, nil
	})
	if engine.EndOf(err) == admission.EndRefused && refused != nil {
		a.whole(refused)
		return nil
	}
	return err
}

func (c *call) serviceRequest(ctx context.Context, r *http.Request, service *settings.Service, target *settings.Target) engine.Request {
	header := http.Header{}
	copyEndToEnd(header, r.Header)
	header.Del("Authorization")
	header.Set(headerTargetRequest, c.id)
	injectTrace(ctx, header)
	prefix := "/services/" + c.service
	timeout := service.Timeout
	if timeout == 0 {
		timeout = defaultServiceTimeout
	}
	if c.deadlineGiven {
		timeout = min(timeout, c.remaining())
	}
	return engine.Request{
		Address:          target.Address,
		Method:           r.Method,
		Path:             strings.TrimPrefix(r.URL.Path, prefix),
		RawPath:          strings.TrimPrefix(r.URL.RawPath, prefix),
		Query:            r.URL.RawQuery,
		Header:           header,
		Body:             c.body,
		FirstByteTimeout: timeout,
	}
}

// hopByHop are headers that concern one connection only (RFC 9110 section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// ownPrefix starts the headers that pass between callers and entries only.
const ownPrefix = "Rosemarydyke-"

// copyEndToEnd copies the headers that belong to the message rather than to its connection or to us.
func copyEndToEnd(to, from http.Header) {
	dropped := slices.Clone(hopByHop)
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			dropped = append(dropped, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range from {
		if !slices.Contains(dropped, name) && !strings.HasPrefix(name, ownPrefix) {
			to[name] = slices.Clone(values)
		}
	}
}
