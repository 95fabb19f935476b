package callerapi

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/rosemarydyke/rosemarydyke/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/admission"
	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
	"github.com/rosemarydyke/rosemarydyke/internal/clientctx"
	"github.com/rosemarydyke/rosemarydyke/internal/requestlog"
	"github.com/rosemarydyke/rosemarydyke/quarantine"
	"github.com/rosemarydyke/rosemarydyke/settings"
	"github.com/rosemarydyke/rosemarydyke/verdict"
)

// bodyTimeout bounds the time to read a request body.
const bodyTimeout = 30 * time.Second

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// call is one online request from a caller.
type call struct {
	id       string
	client   *settings.Client
	snapshot *settings.Snapshot
	record   *requestlog.Record
	body     []byte

	// model or service names what the call is for; the other is empty.
	model   string
	service string
	// idempotent is set if the call may be dispatched more than once.
	idempotent bool
	// idempotencyKey is the value of the Idempotency-Key header, or empty.
	idempotencyKey string
	// deadline is when the first byte of the response is due.
	deadline time.Time
	// deadlineGiven is set if the caller sent a deadline; otherwise it comes from the client's settings or the default.
	deadlineGiven bool
	prefixBlocks  []uint64
	promptParts   []uint64
	// release returns the body's share of the memory budget.
	release func()
}

func (s *Server) newRequestID() string { return s.config.VM + "." + ulid.Make().String() }

// newCall creates a call and reads the headers and body that all kinds of calls have in common. The call is nil
// if the request has no client; otherwise it is returned together with the error and must be released.
func (s *Server) newCall(w http.ResponseWriter, r *http.Request, snapshot *settings.Snapshot) (*call, error) {
	client, ok := clientctx.From(r.Context())
	if !ok {
		return nil, notRun(verdict.CodeUnauthorized, "the request has no client")
	}
	c := &call{
		id:             s.newRequestID(),
		client:         client,
		snapshot:       snapshot,
		idempotencyKey: r.Header.Get(headerIdempotencyKey),
		release:        func() {},
	}
	w.Header().Set(headerRequestID, c.id)
	c.record = s.config.Requests.Begin(c.id, "The request is in progress.")
	c.record.Event(fmt.Sprintf("Admitted from client %s under settings revision %d: %s %s.", client.Name, snapshot.Revision, r.Method, r.URL.Path))
	if !s.config.Settings.Fresh() {
		return c, staleSettings()
	}
	if len(c.idempotencyKey) > maxKeyBytes {
		return c, notRun(verdict.CodeInvalidRequest, fmt.Sprintf("%s is longer than %d bytes", headerIdempotencyKey, maxKeyBytes))
	}
	if err := c.readDeadline(r); err != nil {
		return c, err
	}
	if err := s.reserveBody(c, r); err != nil {
		return c, err
	}
	return c, c.readBody(w, r, s.config.MaxBodyBytes)
}

func staleSettings() error {
	e := notRun(verdict.CodeStaleSettings, "this entry cannot confirm its settings; ask another entry")
	e.RetryAfter = jittered(time.Second)
	return e
}

// reserveBody reserves memory for the body from the budget shared by all requests in progress.
func (s *Server) reserveBody(c *call, r *http.Request) error {
	size := r.ContentLength
	if size > s.config.MaxBodyBytes {
		return bodyTooLarge(s.config.MaxBodyBytes)
	}
	if clientconn.Of(r.Context()) != nil {
		// The body is charged to its connection as it arrives.
		return nil
	}
	if size < 0 {
		size = s.config.MaxBodyBytes
	}
	if !s.bodyBytes.TryAcquire(size) {
		return overloaded("this entry has as many bodies in progress as it can hold")
	}
	c.release = func() { s.bodyBytes.Release(size) }
	return nil
}

func bodyTooLarge(limit int64) error {
	return notRun(verdict.CodeBodyTooLarge, fmt.Sprintf("the body is larger than %d bytes", limit))
}

func (c *call) readDeadline(r *http.Request) error {
	timeout := c.client.Deadline
	if timeout == 0 {
		timeout = defaultDeadline
	}
	if text := r.Header.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return notRun(verdict.CodeInvalidRequest, headerDeadline+" must be a whole number of milliseconds, not "+strconv.Quote(text))
		}
		if ms <= 0 {
			return notRun(verdict.CodeDeadlineExceeded, "the deadline is in the past")
		}
		timeout = time.Duration(ms) * time.Millisecond
		c.deadlineGiven = true
	}
	c.deadline = time.Now().Add(timeout)
	return nil
}

// remaining returns the time until the deadline. It is never zero, which would mean no deadline.
func (c *call) remaining() time.Duration {
	if d := time.Until(c.deadline); d != 0 {
		return d
	}
	return -1
}

func (c *call) readBody(w http.ResponseWriter, r *http.Request, limit int64) error {
	// The read deadline frees the connection of a caller that stops sending. It is cleared after the body,
	// because its expiry would later be taken for a disconnect of the caller.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := clientconn.Of(r.Context()).ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, time.Now().Add(bodyTimeout))
	var refused *clientconn.RefusedError
	if errors.As(err, &refused) {
		// The server would await the rest of the body otherwise.
		w.Header().Set("Connection", "close")
		return overloaded(err.Error())
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge(limit)
	}
	if err != nil {
		e := notRun(verdict.CodeInvalidRequest, "the body could not be read")
		e.Cause = err
		return e
	}
	c.body = body
	return nil
}

// readIdempotent sets whether the call may be dispatched more than once: from the caller's header, or byDefault
// without one.
func (c *call) readIdempotent(r *http.Request, byDefault bool) error {
	c.idempotent = byDefault
	text := r.Header.Get(headerIdempotent)
	if text == "" {
		return nil
	}
	idempotent, err := strconv.ParseBool(text)
	if err != nil {
		return notRun(verdict.CodeInvalidRequest, headerIdempotent+" must be true or false, not "+strconv.Quote(text))
	}
	c.idempotent = idempotent
	return nil
}

// contentDigest returns the digest of method, URI and body that detects reuse of an idempotency key for another
// request.
func (c *call) contentDigest(r *http.Request) idempotency.Fingerprint {
	digest := sha256.New()
	_, _ = io.WriteString(digest, r.Method+" "+r.URL.RequestURI()+"\n")
	_, _ = digest.Write(c.body)
	return idempotency.Fingerprint(digest.Sum(nil))
}

func (c *call) admissionRequest(tried []string) admission.Request {
	return admission.Request{
		ID:           c.id,
		Client:       c.client.Name,
		Model:        c.model,
		Service:      c.service,
		Deadline:     c.deadline,
		Fingerprint:  quarantine.Fingerprint(c.client.Name, c.model, c.body),
		PromptParts:  c.promptParts,
		PrefixBlocks: c.prefixBlocks,
		Tried:        tried,
	}
}

// extractTrace returns the request's context with the caller's trace context.
func extractTrace(r *http.Request) context.Context {
	return otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}

// injectTrace adds the trace context to the headers of a request to a target.
func injectTrace(ctx context.Context, header http.Header) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(header))
}
