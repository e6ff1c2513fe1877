// Command zinniasill runs the roles of the dispatcher, and provides the commands of
// operators and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"zinniasill/io/node"
	"zinniasill/io/settings"
)

// version is set at build time.
var version = "dev"

func main() {
	os.Exit(runMain(os.Args[1:]))
}

// runMain runs the command line and returns the exit code.
func runMain(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "zinniasill:", err)
		return exitCode(err)
	}
	return 0
}

// command runs one subcommand.
type command func(ctx context.Context) error

// run parses the arguments and runs the selected subcommand.
func run(ctx context.Context, args []string) error {
	app := kingpin.New("zinniasill", "Dispatcher for sub-second tasks.")
	app.Version(version)
	app.HelpFlag.Short('h')
	commands := map[string]command{}
	addRoles(app, commands)
	addOperatorCommands(app, commands)
	addJobCommands(app, commands)
	addConfigCommands(app, commands)
	selected, err := app.Parse(args)
	if err != nil && len(args) > 0 && args[0] == configCommand {
		return &usageError{err: err}
	}
	if err != nil {
		return err
	}
	return commands[selected](ctx)
}

// addRoles adds, for each role, the subcommand that runs it and the check-settings
// subcommand that checks its settings.
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
			checked.DetectLimits(os.DirFS("/"))
			if findings := checked.Check(role); len(findings) > 0 {
				return findings
			}
			fmt.Println("settings are valid")
			return nil
		}
	}
}

// runRole checks the settings and runs a process of the role until ctx is done or the
// process fails.
func runRole(ctx context.Context, s settings.Settings, role settings.Role) error {
	s.DetectLimits(os.DirFS("/"))
	if findings := s.Check(role); len(findings) > 0 {
		return findings
	}
	if role == settings.RoleAgent {
		limitProcessors()
	}
	if s.MemoryLimit > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(node.RuntimeMemoryLimit(s.MemoryLimit))
	}
	process, err := node.New(node.Config{Settings: s, Role: role, Log: newLogger(s)})
	if err != nil {
		return err
	}
	return process.Run(ctx)
}

// maxAgentProcs is the highest GOMAXPROCS that an agent uses by default. An agent needs
// only a fraction of one processor. With one for each core of the worker, every message
// makes the Go scheduler wake threads that find no goroutine to run.
const maxAgentProcs = 2

// limitProcessors lowers GOMAXPROCS to maxAgentProcs unless the environment variable
// GOMAXPROCS is set.
func limitProcessors() {
	if os.Getenv("GOMAXPROCS") == "" && runtime.GOMAXPROCS(0) > maxAgentProcs {
		runtime.GOMAXPROCS(maxAgentProcs)
	}
}

// newLogger returns a logger with the level and the format of the settings.
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
