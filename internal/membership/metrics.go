package membership

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemarydyke/rosemarydyke/member"
)

var (
	aliveMembers   = metrics.NewGauge("rosemarydyke_members_alive", nil)
	suspectMembers = metrics.NewGauge("rosemarydyke_members_suspect", nil)
	leavingMembers = metrics.NewGauge("rosemarydyke_members_leaving", nil)
	healthScore    = metrics.NewGauge("rosemarydyke_member_health_score", nil)
	viewChanges    = metrics.NewCounter("rosemarydyke_member_changes_total")
)

// updateMetrics sets the metrics to the view and counts the change.
func updateMetrics(members []member.Member, score int) {
	count := map[member.State]int{}
	for _, m := range members {
		count[m.State]++
	}
	aliveMembers.Set(float64(count[member.Alive]))
	suspectMembers.Set(float64(count[member.Suspect]))
	leavingMembers.Set(float64(count[member.Leaving]))
	healthScore.Set(float64(score))
	viewChanges.Inc()
}

// changedMembers returns the members whose state or incarnation differs between two views. Members
// missing from the later view are returned as dead.
func changedMembers(before, after []member.Member) []member.Member {
	old := map[string]member.Member{}
	for _, m := range before {
		old[m.VM] = m
	}
	var changed []member.Member
	for _, m := range after {
		if o, ok := old[m.VM]; !ok || o.State != m.State || o.Incarnation != m.Incarnation {
			changed = append(changed, m)
		}
		delete(old, m.VM)
	}
	for _, m := range old {
		m.State = member.Dead
		changed = append(changed, m)
	}
	return changed
}
