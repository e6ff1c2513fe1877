package placement

import (
	"time"

	"zinniasill"
)

// Bounds of what one agent reports. Sums over all agents of a cluster within them do not
// overflow, so that one wrong report does not affect the view of the others.
const (
	maxSlots = 100_000
	maxTasks = 1_000_000
	maxWork  = 30 * 24 * time.Hour
	// maxReportAge is the age from which a report counts as equally old.
	maxReportAge = time.Hour
)

func boundedSlots(slots int) int { return min(max(slots, 0), maxSlots) }

func boundedTasks(tasks int) int { return min(max(tasks, 0), maxTasks) }

func boundedWork(work time.Duration) time.Duration { return min(max(work, 0), maxWork) }

// reportAge returns the age of an agent's last report.
func reportAge(now time.Time, agent *zinniasill.AgentView) time.Duration {
	return min(now.Sub(agent.Reported), maxReportAge)
}
