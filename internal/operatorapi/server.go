// Package operatorapi is the operators' HTTP interface: settings, jobs, targets, VMs and explanations.
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

// callTimeout bounds the questions to other processes that one request needs.
const callTimeout = 5 * time.Second

// Settings reads and commits revisions of the settings.
type Settings interface {
	// Commit commits a change; see settingstore.Store.Commit.
	Commit(ctx context.Context, have *settings.Snapshot, change settings.Change) (*settings.Snapshot, error)
	// History returns the newest revisions that changed subtree, newest first.
	History(ctx context.Context, subtree string, limit int) ([]*settings.Revision, error)
}

// Follower is this process's copy of the settings.
type Follower interface {
	settings.Source
	// Refresh reads the newest revision from the table.
	Refresh(ctx context.Context)
	// Replicate tells other VMs of the revision in force.
	Replicate(ctx context.Context)
}

// Job is the account of one batch job.
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
	// Get returns one job. It fails with platform.ErrNotFound.
	Get(ctx context.Context, id string) (Job, error)
	// Cancel stops a job.
	Cancel(ctx context.Context, id string) error
	// Explain tells where a job stands.
	Explain(ctx context.Context, id string) (explain.Explanation, error)
	// ExplainItem tells where an item stands, as far as the platform's store shows.
	ExplainItem(ctx context.Context, id, customID string) (explain.Explanation, error)
}

// Config configures a Server.
type Config struct {
	// Settings commits changes. Required.
	Settings Settings
	// Follower gives the settings in force. Required.
	Follower Follower
	// Jobs reads jobs. Required.
	Jobs Jobs
	// Caller asks other processes. Required.
	Caller peer.Caller
	// Entry is the peer address of this VM's entry.
	Entry netip.AddrPort
	// RootKeySHA256 is the digest of the key that may change the whole tree; empty means none.
	RootKeySHA256 string
	// Log receives failures.
	Log zerolog.Logger
}

// Server answers operators.
type Server struct {
	config Config
}

// New returns the handler of the operators' interface.
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

// operatorKey is the key of the operator in an iris context's values.
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

// mayRead reports whether the request's operator owns the subtree that holds the client.
func (s *Server) mayRead(ctx iris.Context, clientName string) bool {
	operator := operatorOf(ctx)
	if operator.Path == "" {
		return true
	}
	client, ok := s.config.Follower.Current().Clients[clientName]
	return ok && settings.Within(client.Owner, operator.Path)
}

// failure is the body of an error answer.
type failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Problems lists the faults of a rejected settings change.
	Problems []settings.Problem `json:"problems,omitempty"`
	// Changed lists the documents that others changed since the operator read them.
	Changed []string `json:"changed,omitempty"`
	// Revision is the subtree's revision now, for a change that came too late.
	Revision uint64 `json:"revision,omitempty"`
	// Operation identifies the change, to send it again after an unknown outcome.
	Operation string `json:"operation,omitempty"`
}

type failureBody struct {
	Error failure `json:"error"`
}

func fail(ctx iris.Context, status int, code, message string) {
	failWith(ctx, status, failure{Code: code, Message: message})
}

func failWith(ctx iris.Context, status int, f failure) {
	ctx.StopWithJSON(status, failureBody{Error: f})
}

func (s *Server) unknownRoute(ctx iris.Context) {
	_ = ctx.JSON(failureBody{Error: failure{Code: "not_found", Message: "there is no such resource"}})
}
