package config_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
)

func TestBoundsOfClients(t *testing.T) {
	for _, test := range []struct {
		name     string
		settings config.Ingress
		// memory and connections are what clients may hold.
		memory      int64
		connections int
		err         string
	}{
		{"by memory", config.Ingress{MemoryMB: 314, MaxFDs: 8200}, 125, 1333, ""},
		{"by descriptors", config.Ingress{MemoryMB: 314, MaxFDs: 600}, 125, 200, ""},
		{"stated", config.Ingress{MemoryMB: 314, MaxFDs: 8200, ClientMemoryMB: 50, ClientConnections: 100}, 50, 100, ""},
		{"too much memory", config.Ingress{MemoryMB: 314, MaxFDs: 8200, ClientMemoryMB: 314}, 314, 3349, "client_memory_mb: 314 MB is not less than memory_mb, 314 MB"},
		{"too many connections", config.Ingress{MemoryMB: 314, MaxFDs: 600, ClientConnections: 600}, 125, 600, "client_connections: 600 is not less than max_fds, 600"},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.settings.SetDefaults()
			qt.Check(t, test.settings.ClientMemoryMB, qt.Equals, test.memory)
			qt.Check(t, test.settings.ClientConnections, qt.Equals, test.connections)
			if err := test.settings.Check(); test.err == "" {
				qt.Check(t, err, qt.IsNil)
			} else {
				qt.Check(t, err, qt.ErrorMatches, test.err)
			}
		})
	}
}
