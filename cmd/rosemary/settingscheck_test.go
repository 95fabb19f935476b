package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSettingsCheckExitStatus(t *testing.T) {
	const valid = `{"version": 2, "routes": [{"name": "r", "host": "h", "path_prefix": "/", "route_kind": "non_idempotent", "service": "s"}], "services": [{"name": "s"}]}`
	for name, test := range map[string]struct {
		content, inForce string
		status           int
		want             string
	}{
		"nothing found":         {valid, "", 0, `"findings": []`},
		"a finding":             {strings.Replace(valid, `"/"`, `"x"`, 1), "", 1, `"path": "$.routes[0].path_prefix"`},
		"not accepted":          {"{\n\"version\": 2,", "", 1, `"line": 2`},
		"not later":             {valid, valid, 1, "the VMs ignore it"},
		"effects":               {strings.Replace(valid, "2", "3", 1), strings.Replace(valid, `"/"`, `"/old/"`, 1), 0, "moves from h/old/ to h/"},
		"in force not readable": {valid, "{", 2, ""},
	} {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			command := settingsCheck{File: filepath.Join(directory, "next")}
			qt.Assert(t, os.WriteFile(command.File, []byte(test.content), 0o600), qt.IsNil)
			if test.inForce != "" {
				command.InForce = filepath.Join(directory, "in-force")
				qt.Assert(t, os.WriteFile(command.InForce, []byte(test.inForce), 0o600), qt.IsNil)
			}
			var out strings.Builder
			err := command.Run(&session{printer: printer{out: &out, json: true}})
			var status *statusError
			if errors.As(err, &status) {
				qt.Assert(t, status.status, qt.Equals, test.status)
			} else {
				qt.Assert(t, test.status, qt.Equals, 0)
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Assert(t, out.String(), qt.Contains, test.want)
		})
	}
	err := (&settingsCheck{File: filepath.Join(t.TempDir(), "absent")}).Run(&session{})
	var status *statusError
	qt.Assert(t, errors.As(err, &status) && status.status == exitUnreadable, qt.IsTrue)
}
