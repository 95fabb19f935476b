// Package fleettest holds end-to-end tests that run the daemons as processes, stop, pause and kill them, and inject
// faults into the stand-ins.
package fleettest
