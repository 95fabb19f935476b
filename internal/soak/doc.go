// Package soak runs real processes of rosemary-ingress before stand-ins for the platform and the targets, which are processes
// too, under a random series of faults, and checks what clients and targets have seen.
package soak
