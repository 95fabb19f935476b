package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
)

type settingsCommands struct {
	Check    settingsCheck    `cmd:"" help:"Check a configuration of the VMs before it is sent to the store."`
	Apply    settingsApply    `cmd:"" help:"Replace a subtree with the content of a file, as one change."`
	Get      settingsGet      `cmd:"" help:"Print a subtree."`
	History  settingsHistory  `cmd:"" help:"List the revisions that changed a subtree, newest first."`
	Validate settingsValidate `cmd:"" help:"Validate a file against the current settings without changing anything."`
}

// settingsBody is the response of the operators' API to a read or change of settings.
type settingsBody struct {
	Path         string `json:"path"`
	Revision     uint64 `json:"revision"`
	TreeRevision uint64 `json:"tree_revision"`
	Text         string `json:"text"`
	DryRun       bool   `json:"dry_run,omitempty"`
}

func (b settingsBody) table() table {
	return table{
		header: []string{"path", "revision", "tree revision"},
		rows:   [][]string{{displayPath(b.Path), strconv.FormatUint(b.Revision, 10), strconv.FormatUint(b.TreeRevision, 10)}},
	}
}

func displayPath(path string) string {
	if path == "" {
		return "(whole tree)"
	}
	return path
}

type settingsFile struct {
	File string `arg:"" help:"YAML file that maps paths, relative to --path, to documents. Use - for standard input."`
	Path string `help:"Subtree that the file replaces entirely. Empty is the whole tree."`
}

func (f settingsFile) request(query string) (request, error) {
	content, err := readFile(f.File)
	return request{method: http.MethodPut, path: settingsPath("settings", f.Path) + query, body: content}, err
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

func settingsPath(resource, path string) string {
	return strings.TrimRight("/v1/"+resource+"/"+strings.Trim(path, "/"), "/")
}

type settingsApply struct {
	settingsFile
	IfMatch *uint64 `help:"Reject the change unless the subtree is at this revision (see settings get)."`
}

// Run commits the change.
func (c *settingsApply) Run(s *session) error {
	r, err := c.request("")
	if err != nil {
		return err
	}
	if c.IfMatch != nil {
		r.headers = map[string]string{"If-Match": strconv.Quote(strconv.FormatUint(*c.IfMatch, 10))}
	}
	var body settingsBody
	if err := s.operator.change(r, &body); err != nil {
		return err
	}
	return s.printer.print(body, body.table())
}

type settingsValidate struct{ settingsFile }

// Run checks the change.
func (c *settingsValidate) Run(s *session) error {
	r, err := c.request("?dry_run=true")
	if err != nil {
		return err
	}
	var body settingsBody
	if err := s.operator.do(r, &body); err != nil {
		return err
	}
	return s.printer.print(body, table{rows: [][]string{{"valid: " + c.File + " for " + displayPath(c.Path)}}})
}

type settingsGet struct {
	Path string `arg:"" optional:"" help:"Subtree or document. Empty is the whole tree."`
}

// Run prints the subtree.
func (c *settingsGet) Run(s *session) error {
	var body settingsBody
	if err := s.operator.get(settingsPath("settings", c.Path), &body); err != nil {
		return err
	}
	if s.printer.json {
		return s.printer.print(body, table{})
	}
	_, err := fmt.Fprintf(s.printer.out, "# %s at revision %d\n%s", displayPath(body.Path), body.Revision, body.Text)
	return err
}

type settingsHistory struct {
	Path  string `arg:"" optional:"" help:"Subtree or document. Empty is the whole tree."`
	Limit int    `default:"20" help:"Maximum number of revisions."`
}

type revisionBody struct {
	Revision uint64   `json:"revision"`
	Author   string   `json:"author"`
	At       string   `json:"at"`
	Subtree  string   `json:"subtree"`
	Changed  []string `json:"changed"`
}

// Run lists revisions.
func (c *settingsHistory) Run(s *session) error {
	var body []revisionBody
	path := fmt.Sprintf("%s?limit=%d", settingsPath("settings-history", c.Path), c.Limit)
	if err := s.operator.get(path, &body); err != nil {
		return err
	}
	t := table{header: []string{"revision", "at", "author", "changed"}}
	for _, r := range body {
		t.rows = append(t.rows, []string{strconv.FormatUint(r.Revision, 10), r.At, r.Author, strings.Join(r.Changed, " ")})
	}
	return s.printer.print(body, t)
}
