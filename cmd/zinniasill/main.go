// Command zinniasill runs the roles of the dispatcher and its operator commands.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"zinniasill/io/node"
	"zinniasill/io/settings"
)

// version is set at build time.
var version = "dev"

func main() {
	os.Exit(mainCode())
}

func mainCode() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "zinniasill:", err)
		return 1
	}
	return 0
}

// command is one subcommand.
type command func(ctx context.Context) error

func run(ctx context.Context, args []string) error {
	app := kingpin.New("zinniasill", "Dispatcher for sub-second tasks.")
	app.Version(version)
	app.HelpFlag.Short('h')
	commands := map[string]command{}
	addRoles(app, commands)
	addOperator(app, commands)
	addJob(app, commands)
	selected, err := app.Parse(args)
	if err != nil {
		return err
	}
	return commands[selected](ctx)
}

// addRoles adds the subcommands that run a role, and check-settings for each.
func addRoles(app *kingpin.Application, commands map[string]command) {
	check := app.Command("check-settings", "Check the settings of a role without starting it.")
	help := map[settings.Role]string{
		settings.RoleControl:  "Run a control replica.",
		settings.RoleEntry:    "Run an entry, which takes jobs from callers.",
		settings.RoleAgent:    "Run an agent beside an endpoint.",
		settings.RoleAllInOne: "Run a control replica, an entry and an agent in one process, for evaluation.",
	}
	for _, role := range []settings.Role{settings.RoleControl, settings.RoleEntry, settings.RoleAgent, settings.RoleAllInOne} {
		s := &settings.Settings{}
		clause := app.Command(string(role), help[role])
		settings.Register(clause, s, role)
		commands[clause.FullCommand()] = func(ctx context.Context) error { return runRole(ctx, *s, role) }

		checked := &settings.Settings{}
		clause = check.Command(string(role), "Check the settings of this role.")
		settings.Register(clause, checked, role)
		commands[clause.FullCommand()] = func(context.Context) error {
			if found := checked.Check(role); len(found) > 0 {
				return found
			}
			fmt.Println("settings are valid")
			return nil
		}
	}
}

func runRole(ctx context.Context, s settings.Settings, role settings.Role) error {
	if found := s.Check(role); len(found) > 0 {
		return found
	}
	if role == settings.RoleAgent {
		limitProcessors()
	}
	process, err := node.New(node.Config{Settings: s, Role: role, Log: newLogger(s)})
	if err != nil {
		return err
	}
	return process.Run(ctx)
}

// agentProcessors is the highest number of processors that an agent's goroutines use
// at the same time. An agent needs a small part of one. With one for each of a
// worker's cores, the scheduler wakes threads for every message that only look for
// work.
const agentProcessors = 2

// limitProcessors applies agentProcessors unless the environment sets another number.
func limitProcessors() {
	if os.Getenv("GOMAXPROCS") == "" && runtime.GOMAXPROCS(0) > agentProcessors {
		runtime.GOMAXPROCS(agentProcessors)
	}
}

func newLogger(s settings.Settings) *logrus.Logger {
	log := logrus.New()
	level, err := logrus.ParseLevel(s.LogLevel)
	if err == nil {
		log.SetLevel(level)
	}
	if s.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}
