package configcheck

import (
	"fmt"
	"strings"

	"zinniasill"
	"zinniasill/core/message"
	"zinniasill/core/route"
)

// acceptedPlatform describes the values of each field of a platform configuration.
var acceptedPlatform = map[string]string{
	"version":     "a whole number above 0 and, with --control, above the version in force",
	"service":     "the name of a service in the list services",
	"timeout_ms":  "a number of milliseconds above 0 and not below slo_ms, at most one day",
	"slo_ms":      "a number of milliseconds from 0 to one day",
	"stretch":     "a number from 1 to 1000",
	"path_prefix": "a path that begins with a slash",
	"host":        "a host that no other queue has with the same path_prefix",
	"name":        "a name that no other queue has",
	"priority":    fmt.Sprintf("0 to %d, 0 is the highest", message.Priorities-1),
	"attempts":    "a whole number from 1",
	"advice":      "none",
	// Entries have a limit of their own.
	"max_body_bytes": "at least the size of the largest job that entries accept",
	"routes":         "at least one queue",
	"services":       "services that a queue names",
}

// checkQueues returns the warnings and notes about the queues of a platform configuration.
// Queues with errors are left out.
func (f File) checkQueues() []Finding {
	if f.Kind != KindPlatform || len(f.Queues) == 0 && len(f.Invalid) > 0 {
		return nil
	}
	var found []Finding
	if len(f.Queues) == 0 {
		found = append(found, f.finding(Warning, CodeNoQueues, "routes", "without a queue, all requests are refused"))
	}
	named := map[string]int{}
	invalid := f.invalidObjects()
	for i, queue := range f.Queues {
		path := fmt.Sprintf("routes[%d]", i)
		if other, ok := named[queue.Name]; ok {
			found = append(found, f.finding(Warning, CodeDuplicateName, path+".name",
				fmt.Sprintf("routes[%d] has the name %.80q too", other, queue.Name)))
		} else {
			named[queue.Name] = i
		}
		if !invalid[path] {
			found = append(found, f.checkQueue(path, queue)...)
		}
	}
	if f.BodyLimit > 0 && f.BodyLimit < f.LargestJob {
		found = append(found, f.finding(Warning, CodeBodyLimit, "limits.max_body_bytes",
			fmt.Sprintf("%d bytes are fewer than the largest job, %d, that entries accept", f.BodyLimit, f.LargestJob)))
	}
	return append(found, f.unusedServices()...)
}

// invalidObjects returns the paths of the objects that have a field with an error.
func (f File) invalidObjects() map[string]bool {
	paths := map[string]bool{}
	for _, invalid := range f.Invalid {
		if end := strings.LastIndexByte(invalid.Field, '.'); end >= 0 {
			paths[invalid.Field[:end]] = true
		}
	}
	return paths
}

// checkQueue returns the limits of a queue that contradict each other or have no effect.
func (f File) checkQueue(path string, queue route.Queue) []Finding {
	var found []Finding
	add := func(severity Severity, code Code, field, format string, args ...any) {
		found = append(found, f.finding(severity, code, path+"."+field, fmt.Sprintf(format, args...)))
	}
	if queue.AnswerWithin < queue.Objective {
		add(Warning, CodeAnswerLimit, "timeout_ms",
			"requests end after %s, before the objective of even the shortest job, %s", queue.AnswerWithin, queue.Objective)
	}
	if queue.Stretch < 1 {
		add(Warning, CodeStretch, "stretch",
			"%g allows less than the work of a job, so long jobs cannot meet their objective", queue.Stretch)
	}
	if queue.Priority < 0 || queue.Priority >= message.Priorities {
		add(Warning, CodePriority, "priority",
			"%d shares the capacity of the nearest priority that endpoints distinguish", queue.Priority)
	}
	if queue.Attempts < 1 {
		add(Note, CodeAttempts, "attempts", "%d has the effect of 1", queue.Attempts)
	}
	if queue.Advised {
		add(Warning, CodeAdvice, "advice", "jobs of queues with advice are refused")
	}
	return found
}

// unusedServices notes the services that no queue names.
func (f File) unusedServices() []Finding {
	used := map[zinniasill.Kind]bool{}
	for _, queue := range f.Queues {
		used[queue.Kind] = true
	}
	var found []Finding
	for i, service := range f.Services {
		if !used[service] {
			found = append(found, f.finding(Note, CodeUnusedService, fmt.Sprintf("services[%d]", i),
				fmt.Sprintf("no queue names the service %.80q", service)))
		}
	}
	return found
}
