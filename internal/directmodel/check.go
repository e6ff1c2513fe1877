package directmodel

import (
	"fmt"

	"zinniasill"
	"zinniasill/core/dispatch"
)

func (w *World) noteStart(_ *Endpoint, task zinniasill.TaskID) {
	w.started[task.Job] = true
}

// check records runs of one task at two endpoints.
func (w *World) check() {
	running := map[zinniasill.TaskID]int{}
	for _, a := range w.Agents {
		for id := range a.Endpoint.running {
			running[id]++
			if running[id] > 1 {
				w.violate("task %s runs at two endpoints at %v", id, w.Now.Sub(w.began))
			}
		}
	}
}

func (w *World) violate(format string, args ...any) {
	if len(w.Violations) < 10 {
		w.Violations = append(w.Violations, fmt.Sprintf(format, args...))
	}
}

// CheckRefusals records the jobs of which a task started although each submission was
// refused. It is to be called at the end: a refused task may start later.
func (w *World) CheckRefusals() {
	tries := map[string]int{}
	for _, sent := range w.submitted {
		tries[sent.job]++
	}
	for _, answer := range w.Answers {
		if answer.Result == dispatch.Refused {
			tries[answer.Job]--
		}
	}
	for job, others := range tries {
		if others == 0 && w.started[job] {
			w.violate("job %s was refused as not run, but a task started", job)
		}
	}
}
