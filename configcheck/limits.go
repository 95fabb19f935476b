package configcheck

import (
	"fmt"
	"slices"

	"github.com/rosemarydyke/rosemarydyke/intake"
	"github.com/rosemarydyke/rosemarydyke/routing"
)

// CheckLimits finds limits of requests that the VMs do not apply, and those that let one request take more memory than there is for it
// on a VM of a size, and sizes that are too small for the largest response or text. A size of zero is not known.
func CheckLimits(t *routing.Table, vmMemory int64) []Finding {
	var findings []Finding
	add := func(field Field, format string, args ...any) {
		findings = append(findings, Finding{Place{Section: Limits, Field: field}, fmt.Sprintf(format, args...)})
	}
	l := t.Limits
	for _, limit := range []struct {
		field    Field
		name     string
		negative bool
	}{
		{HeaderBytes, "the size of a head", l.HeaderBytes < 0},
		{BodyBytes, "the size of a body", l.BodyBytes < 0},
		{HeaderTimeout, "the time for a head", l.HeaderTimeout < 0},
		{IdleTimeout, "the time that a connection may be idle", l.IdleTimeout < 0},
	} {
		if limit.negative {
			add(limit.field, "the limit of %s is negative; the VMs use their default", limit.name)
		}
	}
	if room := intake.LargestRequest(intake.ClientMemory(vmMemory)); l.BodyBytes > room/intake.SubmissionCopies {
		add(BodyBytes, "a job of %d bytes takes %d bytes while it is submitted, and a large request may take %d on a VM with %d MB; it is served only while others hold little",
			l.BodyBytes, intake.SubmissionCopies*l.BodyBytes, room, vmMemory>>20)
	}
	if vmMemory <= 0 {
		return findings
	}
	if room := intake.ResponseMemory(vmMemory); room < intake.MaxResponseBytes {
		add(Entry, "responses of targets may take %d bytes on a VM with %d MB; larger ones are aborted, although %d are allowed", room, vmMemory>>20, intake.MaxResponseBytes)
	}
	isBatch := func(r *routing.Route) bool { return r.Kind == routing.Batch }
	if room := intake.TextMemory(vmMemory); room < intake.MaxTextBytes && slices.ContainsFunc(t.Routes, isBatch) {
		add(Entry, "texts of items may take %d bytes on a VM with %d MB; larger ones start anew, although %d are allowed", room, vmMemory>>20, intake.MaxTextBytes)
	}
	return findings
}
