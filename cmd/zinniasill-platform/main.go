// Command zinniasill-platform runs one role of the dispatcher behind the adapter for the
// platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"zinniasill/core/dispatch"
	"zinniasill/io/daemon"
	"zinniasill/io/decision"
	"zinniasill/io/metrics"
	"zinniasill/io/node"
	"zinniasill/io/settings"
	"zinniasill/platform"
)

// version is set at build time.
var version = "dev"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "zinniasill-platform:", err)
		os.Exit(1)
	}
}

// run parses the command line and runs the selected role until it is stopped.
func run(args []string) error {
	app := kingpin.New("zinniasill-platform", "Runs a role of zinniasill behind the platform's interface.")
	app.Version(version)
	path := app.Flag("settings", "Settings file of the platform.").
		Envar(platform.SettingsVariable).Required().String()
	overload := app.Flag("overload", "What an entry does with a job that cannot meet its objective: refuse-late or defer-late.").
		Envar("ZINNIASILL_OVERLOAD").Default(string(dispatch.RefuseLate)).
		Enum(string(dispatch.RefuseLate), string(dispatch.DeferLate))
	roles := map[string]settings.Role{
		app.Command("entry", "Accept jobs from callers.").FullCommand():                                 settings.RoleDispatcher,
		app.Command("agent", "Supervise the endpoint on this machine.").FullCommand():                   settings.RoleSupervisor,
		app.Command("control", "Store the configuration as one of the control replicas.").FullCommand(): settings.RoleControl,
	}
	selected, err := app.Parse(args)
	if err != nil {
		return err
	}
	s, err := platform.ReadSettings(*path)
	if err != nil {
		return err
	}
	s.Process.Overload = dispatch.OverloadPolicy(*overload)
	return runRole(s, roles[selected])
}

// runRole runs a role until it fails or the process receives a stop signal.
func runRole(s platform.Settings, role settings.Role) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s.Process.DetectLimits(os.DirFS("/"))
	if s.Process.MemoryLimit > 0 {
		debug.SetMemoryLimit(node.RuntimeMemoryLimit(s.Process.MemoryLimit))
	}
	log := logrus.New()
	log.SetOutput(os.Stdout)
	log.SetFormatter(&logrus.JSONFormatter{})
	log.WithFields(logrus.Fields{"role": role, "version": version, "node": s.Process.Name}).Info("starting")
	counters := metrics.New()
	decisions := decision.New(decision.Config{Log: log, Clock: daemon.SystemClock{}, Counters: counters})
	adapter := platform.New(platform.Config{Settings: s, Log: log, Counters: counters, Recorder: decisions})
	process, err := node.New(node.Config{
		Settings: s.Process, Role: role, Log: log, Adapter: adapter, Metrics: counters,
	})
	if err != nil {
		return eris.Wrapf(err, "create role %s", role)
	}
	processCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	decisionsDone := decisions.Start(processCtx)
	reloadsDone := watchReloads(processCtx, log)
	err = process.Run(ctx)
	cancel()
	<-decisionsDone
	<-reloadsDone
	return err
}

// watchReloads logs SIGHUP, the platform's signal that the settings file has changed. A
// process reads the file only when it starts, so a change takes effect at the next start.
// The returned channel is closed after ctx has ended.
func watchReloads(ctx context.Context, log logrus.FieldLogger) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer signal.Stop(signals)
		for {
			select {
			case <-signals:
				log.Info("settings file changed; the change takes effect at the next start")
			case <-ctx.Done():
				return
			}
		}
	}()
	return done
}
