package testports_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/testports"
)

const (
	// childVariable is the environment variable that makes the test binary only print ports.
	childVariable = "ROSEMARYDYKE_TESTPORTS_CHILD"
	count         = 120
)

func TestPortsAreUniqueAcrossProcesses(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		for range count {
			fmt.Println("port", testports.Port(t))
		}
		return
	}
	seen := make(map[int]bool)
	addPort := func(port int) {
		qt.Assert(t, seen[port], qt.IsFalse, qt.Commentf("port %d", port))
		seen[port] = true
	}
	for range count {
		addPort(testports.Port(t))
	}
	child := exec.Command(os.Args[0], "-test.run", t.Name())
	child.Env = append(os.Environ(), childVariable+"=1")
	output, err := child.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	for _, line := range strings.Split(string(output), "\n") {
		var port int
		if _, err := fmt.Sscanf(line, "port %d", &port); err == nil {
			addPort(port)
		}
	}
	qt.Assert(t, len(seen), qt.Equals, 2*count)
}

func TestAPortInUseIsSkipped(t *testing.T) {
	next := testports.Port(t) + 1
	taken, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.3:%d", next))
	if err != nil {
		t.Logf("port %d is taken already: %v", next, err)
	} else {
		defer func() { _ = taken.Close() }()
	}
	for range count {
		qt.Assert(t, testports.Port(t), qt.Not(qt.Equals), next)
	}
}
