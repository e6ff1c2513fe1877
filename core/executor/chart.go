package executor

import (
	_ "embed" // For run.chart.yaml.

	"zinniasill/core/chart"
)

//go:embed run.chart.yaml
var runChartFile []byte

// States and events of run.chart.yaml.
const (
	stateQueued   chart.State = "queued"
	stateStarting chart.State = "starting"
	stateRunning  chart.State = "running"
	stateDoubtful chart.State = "doubtful"
	stateStopping chart.State = "stopping"
	stateClosed   chart.State = "closed"

	eventOrder  chart.Event = "order"
	eventAccept chart.Event = "accept"
	eventWait   chart.Event = "wait"
	eventDoubt  chart.Event = "doubt"
	eventStop   chart.Event = "stop"
	eventEnd    chart.Event = "end"
	eventDrop   chart.Event = "drop"
)

var runChart = chart.MustLoad("run.chart.yaml", runChartFile, chart.Expected{
	States: []chart.State{
		stateQueued, stateStarting, stateRunning, stateDoubtful, stateStopping, stateClosed,
	},
	Events: []chart.Event{
		eventOrder, eventAccept, eventWait, eventDoubt, eventStop, eventEnd, eventDrop,
	},
})
