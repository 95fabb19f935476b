// Package rapidtest fixes the seeds of stateful fuzzing, so that its verdict is the same in every
// run, and shows that an oracle can fail.
package rapidtest

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

const (
	// seedVariable replaces the seed.
	seedVariable = "ROSEMARYDYKE_FUZZ_SEED"
	// checksVariable replaces the number of checks of each property.
	checksVariable = "ROSEMARYDYKE_FUZZ_CHECKS"
	defaultSeed    = "1"
	// steps is the mean number of steps in one run of a state machine.
	steps = "150"
	// naiveChecks is the number of checks within which a naive version has to fail.
	naiveChecks = "1000"
)

// Main runs the tests of a package with a fixed seed and number of checks. The environment variables
// ROSEMARYDYKE_FUZZ_SEED and ROSEMARYDYKE_FUZZ_CHECKS override them.
func Main(m *testing.M, checks int) {
	flag.Parse()
	set("rapid.seed", cmp.Or(os.Getenv(seedVariable), defaultSeed))
	set("rapid.checks", cmp.Or(os.Getenv(checksVariable), strconv.Itoa(checks)))
	set("rapid.steps", steps)
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// MustFail runs a property on a naive version and fails the test when the property holds for it. A
// property that no version can break proves nothing.
func MustFail(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	shrinkTime := flag.Lookup("rapid.shrinktime").Value.String()
	set("rapid.shrinktime", "0s")
	defer set("rapid.shrinktime", shrinkTime)
	// A fresh seed must not decide whether the naive version is caught.
	seed := flag.Lookup("rapid.seed").Value.String()
	set("rapid.seed", defaultSeed)
	defer set("rapid.seed", seed)
	checks := flag.Lookup("rapid.checks").Value.String()
	set("rapid.checks", naiveChecks)
	defer set("rapid.checks", checks)
	probe := &recorder{name: t.Name()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(probe, property)
	}()
	<-done
	if !probe.failed {
		t.Fatal("the oracle accepts the naive version")
	}
	t.Logf("the naive version fails: %s", probe.reason)
}

// recorder is a rapid.TB that remembers a failure instead of reporting it.
type recorder struct {
	name   string
	failed bool
	reason string
}

func (r *recorder) fail(reason string) {
	r.failed = true
	r.reason = cmp.Or(r.reason, reason)
}

func (r *recorder) Helper()                           {}
func (r *recorder) Name() string                      { return r.name }
func (r *recorder) Logf(string, ...any)               {}
func (r *recorder) Log(...any)                        {}
func (r *recorder) Skipf(string, ...any)              { r.SkipNow() }
func (r *recorder) Skip(...any)                       { r.SkipNow() }
func (r *recorder) SkipNow()                          { runtime.Goexit() }
func (r *recorder) Errorf(format string, args ...any) { r.fail(fmt.Sprintf(format, args...)) }
func (r *recorder) Error(args ...any)                 { r.fail(fmt.Sprint(args...)) }
func (r *recorder) Fatal(args ...any)                 { r.Error(args...); runtime.Goexit() }
func (r *recorder) FailNow()                          { r.Fail(); runtime.Goexit() }
func (r *recorder) Fail()                             { r.fail("failed") }
func (r *recorder) Failed() bool                      { return r.failed }

func (r *recorder) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	runtime.Goexit()
}
