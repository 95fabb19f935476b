// Package fleettest holds tests that run the daemons as processes, stop, pause and kill them, and let the
// stand-ins fail beside them.
package fleettest
