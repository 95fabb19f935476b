package scheduling

import "github.com/VictoriaMetrics/metrics"

// otherProcessMessages counts the messages of coordinators to processes that had this one's address before.
var otherProcessMessages = metrics.NewCounter("rosemarydyke_slots_messages_for_other_process_total")

// mismatchedGrants counts the granted slots of another service or version than the request may run at.
var mismatchedGrants = metrics.NewCounter("rosemarydyke_slots_mismatched_total")

// Metrics of the coordinator, where targets are chosen by cost.
var (
	expectedSlotTime = metrics.NewHistogram("rosemarydyke_slot_time_expected_seconds")
	observedSlotTime = metrics.NewHistogram("rosemarydyke_slot_time_seconds")
	// unknownCosts counts the requests that were placed without observations of their class.
	unknownCosts = metrics.NewCounter("rosemarydyke_slot_time_unknown_total")
	speedChanges = metrics.NewCounter("rosemarydyke_target_speed_changes_total")
)
