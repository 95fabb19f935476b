package fleettest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaries is the directory with the daemons' binaries.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "fleettest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries = directory
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator),
		"../../cmd/rosemary-entry", "../../cmd/rosemary-batch", "../../cmd/rosemary-operator")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the daemons:", err)
		return 1
	}
	return m.Run()
}
