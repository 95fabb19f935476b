package operatorapi

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/oklog/ulid/v2"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/settings"
)

// Limits on the number of revisions in a response.
const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 200
)

// settingsBody is the response to a read or change of settings.
type settingsBody struct {
	Path string `json:"path"`
	// Revision is the revision of the subtree, for If-Match.
	Revision uint64 `json:"revision"`
	// TreeRevision is the revision of the whole tree.
	TreeRevision uint64 `json:"tree_revision"`
	// Text holds the documents in the format of a change.
	Text string `json:"text"`
	// DryRun is true if nothing was committed.
	DryRun bool `json:"dry_run,omitempty"`
}

// revisionBody is one revision in the history.
type revisionBody struct {
	Revision uint64   `json:"revision"`
	Author   string   `json:"author"`
	At       string   `json:"at"`
	Subtree  string   `json:"subtree"`
	Changed  []string `json:"changed"`
}

func (s *Server) getSettings(ctx iris.Context) {
	path, ok := s.readablePath(ctx)
	if !ok {
		return
	}
	s.writeSettings(ctx, s.config.Follower.Current(), path, false)
}

// readablePath returns the request's path. If the path is invalid or the operator may not read it, it writes an
// error response and returns false.
func (s *Server) readablePath(ctx iris.Context) (string, bool) {
	path := strings.Trim(ctx.Params().Get("path"), "/")
	if err := settings.CheckPath(path); err != nil {
		fail(ctx, http.StatusBadRequest, "invalid_path", err.Error())
		return "", false
	}
	operator := operatorOf(ctx)
	if !settings.Within(path, operator.Path) {
		forbidden := &settings.ForbiddenError{Path: path, Allowed: operator.Path}
		fail(ctx, http.StatusForbidden, "forbidden", forbidden.Error())
		return "", false
	}
	return path, true
}

func (s *Server) writeSettings(ctx iris.Context, snapshot *settings.Snapshot, path string, dryRun bool) {
	revision := snapshot.RevisionOf(path)
	ctx.Header("ETag", strconv.Quote(strconv.FormatUint(revision, 10)))
	_ = ctx.JSON(settingsBody{
		Path:         path,
		Revision:     revision,
		TreeRevision: snapshot.Revision,
		Text:         snapshot.FormatBundle(path),
		DryRun:       dryRun,
	})
}

func (s *Server) putSettings(ctx iris.Context) {
	path, ok := s.readablePath(ctx)
	if !ok {
		return
	}
	change, ok := s.parseChange(ctx, path)
	if !ok {
		return
	}
	current := s.config.Follower.Current()
	if ctx.URLParamBoolDefault("dry_run", false) {
		if _, err := current.Plan(change, time.Now()); err != nil {
			s.failChange(ctx, change, err)
			return
		}
		s.writeSettings(ctx, current, path, true)
		return
	}
	next, err := s.config.Settings.Commit(ctx.Request().Context(), current, change)
	if err != nil {
		s.failChange(ctx, change, err)
		return
	}
	s.config.Follower.Refresh(ctx.Request().Context())
	s.config.Follower.Replicate(ctx.Request().Context())
	s.writeSettings(ctx, next, path, false)
}

func (s *Server) parseChange(ctx iris.Context, path string) (settings.Change, bool) {
	body, err := readBody(ctx)
	if err != nil {
		fail(ctx, http.StatusRequestEntityTooLarge, "body_too_large", err.Error())
		return settings.Change{}, false
	}
	base, err := parseIfMatch(ctx.GetHeader("If-Match"))
	if err != nil {
		fail(ctx, http.StatusBadRequest, "invalid_if_match", err.Error())
		return settings.Change{}, false
	}
	operator := operatorOf(ctx)
	change := settings.Change{
		Operation: operationID(ctx),
		Author:    operator.Name,
		Allowed:   operator.Path,
		Subtree:   path,
		Base:      base,
	}
	if change.Documents, err = settings.ParseBundle(path, body); err != nil {
		s.failChange(ctx, change, err)
		return settings.Change{}, false
	}
	return change, true
}

// operationID returns the operation of the Idempotency-Key that the operator sent, so that a change retried after a lost
// response is committed once, or else that of a new key. Keys of different operators do not collide.
func operationID(ctx iris.Context) string {
	key := ctx.GetHeader("Idempotency-Key")
	if key == "" {
		key = ulid.Make().String()
	}
	return operationPrefix(ctx) + key
}

func operationPrefix(ctx iris.Context) string { return operatorOf(ctx).Name + "/" }

func readBody(ctx iris.Context) ([]byte, error) {
	ctx.SetMaxRequestBodySize(maxBodyBytes)
	return ctx.GetBody()
}

func parseIfMatch(header string) (*uint64, error) {
	if header == "" || header == "*" {
		return nil, nil
	}
	revision, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if err != nil {
		return nil, errors.New(`If-Match must hold a revision, such as "12"`)
	}
	return &revision, nil
}

// failChange writes the error response for a change that failed or whose outcome is unknown.
func (s *Server) failChange(ctx iris.Context, change settings.Change, err error) {
	var forbidden *settings.ForbiddenError
	var stale *settings.StaleError
	var invalid *settings.ValidationError
	switch {
	case errors.As(err, &forbidden):
		fail(ctx, http.StatusForbidden, "forbidden", err.Error())
	case errors.As(err, &stale):
		failWith(ctx, http.StatusPreconditionFailed, errorDetail{
			Code: "changed_by_others", Message: err.Error(), Changed: stale.Changed, Revision: stale.Current,
		})
	case errors.As(err, &invalid):
		failWith(ctx, http.StatusUnprocessableEntity, errorDetail{
			Code: "invalid_settings", Message: err.Error(), Problems: invalid.Problems,
		})
	case errors.Is(err, platform.ErrUnavailable):
		ctx.Header("Retry-After", "5")
		fail(ctx, http.StatusServiceUnavailable, "platform_unavailable", "the change was not committed: the platform's table does not answer")
	default:
		s.config.Log.Error().Err(err).Str("operation", change.Operation).Msg("settings change failed, its outcome is unknown")
		failWith(ctx, http.StatusGatewayTimeout, errorDetail{
			Code:      "outcome_unknown",
			Message:   "the change may have been committed; send it again with the same Idempotency-Key to learn the outcome",
			Operation: strings.TrimPrefix(change.Operation, operationPrefix(ctx)),
		})
	}
}

func (s *Server) getHistory(ctx iris.Context) {
	path, ok := s.readablePath(ctx)
	if !ok {
		return
	}
	limit := min(ctx.URLParamIntDefault("limit", defaultHistoryLimit), maxHistoryLimit)
	revisions, err := s.config.Settings.History(ctx.Request().Context(), path, limit)
	if err != nil {
		ctx.Header("Retry-After", "5")
		fail(ctx, http.StatusServiceUnavailable, "platform_unavailable", err.Error())
		return
	}
	body := make([]revisionBody, 0, len(revisions))
	for _, revision := range revisions {
		body = append(body, describeRevision(revision, path))
	}
	_ = ctx.JSON(body)
}

func describeRevision(revision *settings.Revision, path string) revisionBody {
	body := revisionBody{
		Revision: revision.Number,
		Author:   revision.Author,
		At:       revision.At.Format("2006-01-02T15:04:05Z07:00"),
		Subtree:  revision.Subtree,
	}
	for _, edit := range revision.Edits {
		if settings.Within(edit.Path, path) {
			body.Changed = append(body.Changed, edit.Path)
		}
	}
	return body
}
