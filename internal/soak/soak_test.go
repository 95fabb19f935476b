package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/soak"
	"github.com/rosemarydyke/rosemarydyke/internal/testports"
)

func env(t *testing.T, name string, otherwise float64) float64 {
	text := os.Getenv("ROSEMARYDYKE_SOAK_" + name)
	if text == "" {
		return otherwise
	}
	value, err := strconv.ParseFloat(text, 64)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", name))
	return value
}

// Streams and items were out of order or incomplete on real processes, while the bench showed none.
func TestSoak(t *testing.T) { playSeeds(t, false) }

// Guards against streams that began at targets of a new version and go on at another one at a VM that was out of step.
func TestSoakOfReleasesWithAVMOutOfStep(t *testing.T) { playSeeds(t, true) }

func playSeeds(t *testing.T, releases bool) {
	bin := t.TempDir()
	output, err := exec.Command("go", "build", "-o", bin, "../../cmd/rosemary-ingress", "../../cmd/rosemary-standin").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	config := soak.Config{
		Duration: time.Duration(env(t, "MINUTES", 0.13) * float64(time.Minute)),
		VMs:      int(env(t, "VMS", 3)),
		Releases: releases,
		Events:   30,
		Ingress:  filepath.Join(bin, "rosemary-ingress"),
		StandIn:  filepath.Join(bin, "rosemary-standin"),
		Address:  func(ip string) string { return testports.Address(t, ip) },
		Port:     func() int { return testports.Port(t) },
		Framings: []soak.Framing{soak.Chunked, soak.Length},
	}
	config.Targets, config.Clients, config.BatchClients = 2*config.VMs, 10*config.VMs, config.VMs
	if earlier := os.Getenv("ROSEMARYDYKE_INGRESS"); earlier != "" {
		// Plays the soak against another build.
		config.Ingress = earlier
	}
	if framings := os.Getenv("ROSEMARYDYKE_SOAK_FRAMINGS"); framings != "" {
		config.Framings = nil
		for name := range strings.SplitSeq(framings, ",") {
			config.Framings = append(config.Framings, soak.Framing(name))
		}
	}
	first := uint64(env(t, "SEED", 1))
	for seed := first; seed < first+uint64(env(t, "SEEDS", 1)); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { play(t, seed, config) })
	}
}

// play plays a seed. The logs of a failed one are kept.
func play(t *testing.T, seed uint64, config soak.Config) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("rosemary-soak-%d-", seed))
	qt.Assert(t, err, qt.IsNil)
	config.Seed, config.Dir = seed, dir
	defer func() {
		if t.Failed() {
			t.Logf("logs, settings and history: %s", dir)
			return
		}
		qt.Assert(t, os.RemoveAll(dir), qt.IsNil)
	}()
	history, err := soak.Play(t.Context(), config)
	qt.Assert(t, err, qt.IsNil)
	for _, v := range soak.Check(history) {
		t.Error(v)
	}
	t.Log(soak.Summary(history))
}
