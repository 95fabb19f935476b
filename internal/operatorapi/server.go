// Package operatorapi implements the operators' HTTP API: settings, jobs, targets, VMs and explanations.
package operatorapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// maxBodyBytes bounds the body of a settings change.
const maxBodyBytes = 4 << 20

// callTimeout bounds each call to another process.
const callTimeout = 5 * time.Second

// Settings reads and commits revisions of the settings.
type Settings interface {
	// Commit commits a change; see settingstore.Store.Commit.
	Commit(ctx context.Context, have *settings.Snapshot, change settings.Change) (*settings.Snapshot, error)
	// History returns the newest revisions that changed subtree, newest first.
	History(ctx context.Context, subtree string, limit int) ([]*settings.Revision, error)
}

// Follower is this process's replica of the settings.
type Follower interface {
	settings.Source
	// Refresh reads the newest revision from the table.
	Refresh(ctx context.Context)
	// Replicate sends the revision in force to other VMs.
	Replicate(ctx context.Context)
}

// Job is the state of one batch job.
type Job struct {
	ID        string    `json:"id"`
	Client    string    `json:"client"`
	Status    string    `json:"status"`
	Total     int       `json:"total"`
	Completed int       `json:"completed"`
	Failed    int       `json:"failed"`
	CreatedAt time.Time `json:"created_at"`
}

// Jobs reads and cancels batch jobs.
type Jobs interface {
	// List returns up to limit of a client's jobs, newest first.
	List(ctx context.Context, client string, limit int) ([]Job, error)
	// Get returns one job. It fails with platform.ErrNotFound if there is none.
	Get(ctx context.Context, id string) (Job, error)
	// Cancel cancels a job.
	Cancel(ctx context.Context, id string) error
	// Explain explains the state of a job.
	Explain(ctx context.Context, id string) (explain.Explanation, error)
	// ExplainItem explains the state of an item, from the platform's store only.
	ExplainItem(ctx context.Context, id, customID string) (explain.Explanation, error)
}

// Config configures a Server.
type Config struct {
	// Settings commits changes. Required.
	Settings Settings
	// Follower provides the settings in force. Required.
	Follower Follower
	// Jobs reads and cancels jobs. Required.
	Jobs Jobs
	// Caller calls other processes. Required.
	Caller peer.Caller
	// Entry is the peer address of rosemary-entry on this VM.
	Entry netip.AddrPort
	// RootKeySHA256 is the hexadecimal SHA-256 digest of a key with access to the whole tree; empty means none.
	RootKeySHA256 string
	// Log receives errors.
	Log zerolog.Logger
}

// Server serves the operators' API.
type Server struct {
	config Config
}

// New returns the handler of the operators' API.
func New(config Config) (http.Handler, error) {
	s := &Server{config: config}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.OnAnyErrorCode(s.unknownRoute)
	v1 := app.Party("/v1", s.authenticate)
	v1.Get("/settings", s.getSettings)
	v1.Get("/settings/{path:path}", s.getSettings)
	v1.Put("/settings", s.putSettings)
	v1.Put("/settings/{path:path}", s.putSettings)
	v1.Get("/settings-history", s.getHistory)
	v1.Get("/settings-history/{path:path}", s.getHistory)
	v1.Get("/jobs", s.listJobs)
	v1.Get("/jobs/{id:string}", s.getJob)
	v1.Post("/jobs/{id:string}/cancel", s.cancelJob)
	v1.Get("/targets", s.getTargets)
	v1.Get("/vms", s.getVMs)
	v1.Get("/explain/requests/{id:string}", s.explainRequest)
	v1.Get("/explain/jobs/{id:string}", s.explainJob)
	v1.Get("/explain/jobs/{id:string}/items/{item:path}", s.explainItem)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// operatorKey is the key of the authenticated operator in the values of an iris context.
const operatorKey = "operator"

func (s *Server) authenticate(ctx iris.Context) {
	key, found := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	operator, known := s.operator(hex.EncodeToString(sum[:]))
	if !found || !known {
		fail(ctx, http.StatusUnauthorized, "invalid_key", "the operator key is missing or unknown")
		return
	}
	ctx.Values().Set(operatorKey, operator)
	ctx.Next()
}

func (s *Server) operator(digest string) (*settings.Operator, bool) {
	if s.config.RootKeySHA256 != "" && strings.EqualFold(digest, s.config.RootKeySHA256) {
		return &settings.Operator{Name: "root"}, true
	}
	return s.config.Follower.Current().OperatorByKey(digest)
}

func operatorOf(ctx iris.Context) *settings.Operator {
	operator, _ := ctx.Values().Get(operatorKey).(*settings.Operator)
	return operator
}

// mayRead reports whether the client belongs to the subtree of the request's operator.
func (s *Server) mayRead(ctx iris.Context, clientName string) bool {
	operator := operatorOf(ctx)
	if operator.Path == "" {
		return true
	}
	client, ok := s.config.Follower.Current().Clients[clientName]
	return ok && settings.Within(client.Owner, operator.Path)
}

// errorDetail describes an error in a response.
type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Problems lists the validation errors of a rejected settings change.
	Problems []settings.Problem `json:"problems,omitempty"`
	// Changed lists the documents that were changed since the revision in If-Match.
	Changed []string `json:"changed,omitempty"`
	// Revision is the subtree's current revision, if If-Match names an older one.
	Revision uint64 `json:"revision,omitempty"`
	// Operation is the Idempotency-Key with which a change of unknown outcome can be sent again.
	Operation string `json:"operation,omitempty"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

// fail ends the request with an error response.
func fail(ctx iris.Context, status int, code, message string) {
	failWith(ctx, status, errorDetail{Code: code, Message: message})
}

func failWith(ctx iris.Context, status int, detail errorDetail) {
	ctx.StopWithJSON(status, errorBody{Error: detail})
}

func (s *Server) unknownRoute(ctx iris.Context) {
	_ = ctx.JSON(errorBody{Error: errorDetail{Code: "not_found", Message: "there is no such resource"}})
}
