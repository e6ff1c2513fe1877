// Command stub-endpoint is an endpoint for evaluation. It announces itself to an
// agent, and runs each task by waiting for the time that its payload sets. The payload is
// JSON such as {"id": "box-17", "run-ms": 50}.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"zinniasill/internal/stubendpoint"
)

func main() {
	os.Exit(runMain())
}

// runMain serves tasks until a signal arrives and returns the exit code.
func runMain() int {
	app := kingpin.New("stub-endpoint", "Endpoint that simulates tasks, for evaluation.")
	agent := app.Flag("agent", "Base URL of the agent beside the endpoint.").Required().String()
	slots := app.Flag("slots", "Maximum number of concurrent tasks.").Default("4").Int()
	kinds := app.Flag("kind", "Endpoint kind to announce; may be repeated.").Required().Strings()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	stub, err := stubendpoint.Serve(ctx, stubendpoint.Config{
		AgentURL: *agent, Slots: *slots, Kinds: *kinds,
		OnStart: func(id string) { fmt.Println("start", id) },
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "stub-endpoint:", err)
		return 1
	}
	fmt.Println("serving on", stub.URL())
	<-stub.Done()
	return 0
}
