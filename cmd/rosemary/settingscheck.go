package main

import (
	"fmt"
	"strconv"

	"github.com/rosemarydyke/rosemarydyke/configcheck"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// exitUnreadable is the exit status if a file can't be read.
const exitUnreadable = 2

type settingsCheck struct {
	File    string `arg:"" help:"Configuration as the VMs read it from the store (JSON). Use - for standard input."`
	InForce string `help:"Configuration in force, in the same form; what changes for clients is listed."`
	// VMMemoryMB is the memory of the smallest VM.
	VMMemoryMB int64 `name:"vm-memory-mb" default:"256" help:"Memory of the smallest VM in MB, for the limits of requests."`
}

// checkResult is the output of settings check.
type checkResult struct {
	File     string         `json:"file"`
	Version  uint64         `json:"version"`
	Findings []checkFinding `json:"findings"`
	// Effects are what changes for clients. They are no findings.
	Effects []string `json:"effects,omitempty"`
}

type checkFinding struct {
	// Line is zero if it is not known.
	Line    int    `json:"line"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// statusError ends the command with an exit status. A message without text is not printed.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return e.text }

// Run checks the file. The exit status is 0 without findings, 1 with findings, and 2 if a file can't be read.
func (c *settingsCheck) Run(s *session) error {
	result := checkResult{File: c.File, Findings: []checkFinding{}}
	table, err := result.check(c.File, c.VMMemoryMB<<20)
	if err != nil {
		return err
	}
	if c.InForce != "" && table != nil {
		if err := result.compare(c.InForce, table); err != nil {
			return err
		}
	}
	if err := s.printer.print(result, result.table()); err != nil {
		return err
	}
	if len(result.Findings) > 0 {
		return &statusError{status: exitFailure}
	}
	return nil
}

// check adds the findings about a file, and returns its table if the VMs would adopt it.
func (r *checkResult) check(file string, vmMemory int64) (*routing.Table, error) {
	content, err := readFile(file)
	if err != nil {
		return nil, &statusError{exitUnreadable, err.Error()}
	}
	text := platform.NewConfigText(content)
	table, err := platform.DecodeConfig(content)
	if err != nil {
		path, line := text.LocateError(err)
		r.Findings = append(r.Findings, checkFinding{line, path, err.Error()})
		return nil, nil
	}
	r.Version = table.Version
	r.add(text, text.UnknownValues())
	r.add(text, configcheck.Check(table))
	r.add(text, configcheck.CheckLimits(table, vmMemory))
	return table, nil
}

func (r *checkResult) add(text *platform.ConfigText, findings []configcheck.Finding) {
	for _, f := range findings {
		path, line := text.Locate(f.Place)
		r.Findings = append(r.Findings, checkFinding{line, path, f.Message})
	}
}

// compare adds what changes with respect to the configuration in force.
func (r *checkResult) compare(file string, next *routing.Table) error {
	content, err := readFile(file)
	if err != nil {
		return &statusError{exitUnreadable, err.Error()}
	}
	inForce, err := platform.DecodeConfig(content)
	if err != nil {
		return &statusError{exitUnreadable, fmt.Sprintf("%s: %v", file, err)}
	}
	for _, f := range configcheck.CheckVersion(inForce, next) {
		r.Findings = append(r.Findings, checkFinding{0, "$.version", f.Message})
	}
	r.Effects = configcheck.Compare(inForce, next)
	return nil
}

func (r *checkResult) table() table {
	var t table
	for _, f := range r.Findings {
		place := r.File
		if f.Line > 0 {
			place += ":" + strconv.Itoa(f.Line)
		}
		t.rows = append(t.rows, []string{place, f.Path, f.Message})
	}
	for _, effect := range r.Effects {
		t.rows = append(t.rows, []string{"changes", "", effect})
	}
	if len(t.rows) == 0 {
		t.rows = [][]string{{r.File, "", fmt.Sprintf("version %d: nothing found", r.Version)}}
	}
	return t
}
