// Command zinniasill-platform runs the roles of the dispatcher on the users' platform.
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

	"zinniasill/io/daemon"
	"zinniasill/io/decision"
	"zinniasill/io/metrics"
	"zinniasill/io/node"
	"zinniasill/io/settings"
	"zinniasill/platform"
)

// version is set at build time.
var version = "dev"

// memoryShare is the part of the memory limit that the runtime aims to stay below, in
// percent. The rest is for the stacks of the kernel and for bytes not read yet.
const memoryShare = 70

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "zinniasill-platform:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	app := kingpin.New("zinniasill-platform", "Runs a role of zinniasill on the users' platform.")
	app.Version(version)
	path := app.Flag("settings", "Settings file of the platform.").
		Envar(platform.SettingsVariable).Required().String()
	roles := map[string]settings.Role{
		app.Command("entry", "Take jobs from callers.").FullCommand():                       settings.RoleDispatcher,
		app.Command("agent", "Supervise the endpoint on this machine.").FullCommand():       settings.RoleSupervisor,
		app.Command("control", "Keep the configuration with other replicas.").FullCommand(): settings.RoleControl,
	}
	selected, err := app.Parse(args)
	if err != nil {
		return err
	}
	s, err := platform.ReadSettings(*path)
	if err != nil {
		return err
	}
	return runRole(s, roles[selected])
}

func runRole(s platform.Settings, role settings.Role) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.MemoryBytes / 100 * memoryShare)
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
		return eris.Wrapf(err, "build the role %s", role)
	}
	life, end := context.WithCancel(context.Background())
	defer end()
	written := decisions.Start(life)
	reloaded := watchReloads(life, log)
	err = process.Run(ctx)
	end()
	<-written
	<-reloaded
	return err
}

// watchReloads logs the signals that the settings file has changed. What a process
// reads there is fixed for its life, so a change takes effect with the next start.
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
				log.Info("settings file changed; it takes effect with the next start")
			case <-ctx.Done():
				return
			}
		}
	}()
	return done
}
