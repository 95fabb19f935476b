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

// idempotentMethods are the methods that RFC 9110 section 9.2.2 defines as idempotent.
var idempotentMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete,
}

// handleService forwards a call to a plain service.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request, snapshot *settings.Snapshot) {
	s.serve(w, r, snapshot, func(ctx context.Context, c *call) error {
		service, err := findService(c, r.PathValue("service"))
		if err != nil {
			return err
		}
		if err := c.readIdempotent(r, isIdempotent(service, r.Method)); err != nil {
			return err
		}
		out := &responseWriter{w: w}
		return s.runOnce(ctx, c, r, out, func(ctx context.Context) error { return s.callService(ctx, c, r, service, out) })
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

// callService sends the call to a target of the service and forwards the response, whatever its status.
//
// RFC 9110 does not guarantee that a request with a 503 response had no effect. A refusal is therefore treated as
// not-run, and retried, only if the call is idempotent; otherwise it is forwarded like any other response.
func (s *Server) callService(ctx context.Context, c *call, r *http.Request, service *settings.Service, out *responseWriter) error {
	var refusal *engine.Response
	err := s.dispatch(ctx, c, func(ctx context.Context, target *settings.Target) (admission.Outcome, error) {
		response, err := s.config.Engine.Do(ctx, c.serviceRequest(ctx, r, service, target))
		if err != nil {
			return admission.Outcome{}, err
		}
		if c.idempotent && engine.Refused(response.Status) {
			refusal = response
			return admission.Outcome{}, engine.Refusal(response.Header)
		}
		out.setResponse(response)
		return admission.Outcome{FirstToken: response.FirstByte}, nil
	})
	if engine.EndOf(err) == admission.EndRefused && refusal != nil {
		out.setResponse(refusal)
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

// hopByHop are headers that apply to a single connection only (RFC 9110 section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// reservedHeaderPrefix is the prefix of headers exchanged only between callers and entries.
const reservedHeaderPrefix = "Rosemarydyke-"

// copyEndToEnd copies all headers but the hop-by-hop and reserved ones.
func copyEndToEnd(to, from http.Header) {
	dropped := slices.Clone(hopByHop)
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			dropped = append(dropped, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range from {
		if !slices.Contains(dropped, name) && !strings.HasPrefix(name, reservedHeaderPrefix) {
			to[name] = slices.Clone(values)
		}
	}
}
