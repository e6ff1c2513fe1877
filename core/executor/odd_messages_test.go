package executor_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniasill"
	"zinniasill/core/executor"
	"zinniasill/core/message"
)

// TestAnyMessage guards against an assignment, an announcement or an answer with any content
// that ends the agent.
func TestAnyMessage(t *testing.T) {
	assigns := rapid.Make[message.Assign]()
	announcements := rapid.Make[executor.Announcement]()
	results := rapid.Make[zinniasill.RenewResult]()
	outcomes := rapid.SampledFrom([]zinniasill.OrderOutcome{
		zinniasill.OrderAccepted, zinniasill.OrderNoCapacity, zinniasill.OrderOldRun, zinniasill.OrderLate, zinniasill.OrderFenced,
		zinniasill.OrderInvalid, zinniasill.OrderUnhealthy, zinniasill.OrderOtherIncarnation, zinniasill.OrderUnreachable, zinniasill.OrderNotSent, zinniasill.OrderNoAnswer,
	})
	rapid.Check(t, func(t *rapid.T) {
		supervisor := executor.New(executor.Config{Self: zinniasill.Node{ID: "agent", Incarnation: 1}})
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				supervisor.Announce(now, announcements.Draw(t, "announcement"))
			case 1:
				assign := assigns.Draw(t, "assign")
				if rapid.Bool().Draw(t, "this incarnation") {
					assign.Agent, assign.Entry, assign.Session, assign.First = 1, 1, 1, 1
				}
				supervisor.Receive(now, message.Envelope{Version: message.Version, From: zinniasill.Node{ID: "entry"}, Body: assign})
			default:
				for _, call := range supervisor.Calls() {
					result := results.Draw(t, "result")
					result.Outcome = outcomes.Draw(t, "outcome")
					if call.Renew != nil {
						supervisor.Renewed(now, call.ID, result)
						continue
					}
					supervisor.Answered(now, call.ID, result.OrderResult)
				}
			}
			supervisor.Tick(now)
			supervisor.Flush(now)
			supervisor.Outbox()
		}
	})
}
