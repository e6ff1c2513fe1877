package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the pages give them.
const (
	contactTime    = 3 * time.Second
	cancelTime     = 3 * time.Second
	drainTime      = 2 * time.Second
	evacuateTime   = 5 * time.Second
	maxHold        = time.Second
	resendTime     = 1300 * time.Millisecond
	heartbeatEvery = 1500 * time.Millisecond
	stopTimeout    = 50 * time.Millisecond
	graceTime      = 6 * time.Second
	recoveryTime   = 12 * time.Second
	// restartDelay is the time after which the platform restarts a process that was killed.
	restartDelay = 500 * time.Millisecond
)

const (
	serviceName = "huvo11a"
	programPath = "target/zinniasill-platform"
	metricsPort = 9464
)

// memoryMB is the memory that a process may use, by class of its machine.
var memoryMB = map[string]int{"core": 280, "edge": 284, "side": 152}

// Zones of the deployment.
var zones = []string{"rabat-a", "rabat-b", "rabat-c"}

// ports are the ports of a run. They are the same on all machines.
type ports struct {
	front, readiness, control, app, peer int
}

// machine is one machine of the deployment, which runs one process of the project.
type machine struct {
	name, class, role, ip, zone string
	settings                    string
	command                     *exec.Cmd
	ended                       chan struct{}
	output                      *os.File
}

// cluster is a deployment on loopback addresses: three core, three edge and some side
// machines, and the executors beside the latter.
type cluster struct {
	folder    string
	prefix    string
	ports     ports
	record    *record
	core      []*machine
	edge      []*machine
	side      []*machine
	executors []*executor

	// mu guards stopped and the commands of the machines.
	mu      sync.Mutex
	stopped bool
}

// startAll starts all processes and executors.
func (c *cluster) startAll(sides int) error {
	if err := c.choosePorts(); err != nil {
		return err
	}
	number := 1
	add := func(class, role string, count int) []*machine {
		var added []*machine
		for i := range count {
			number++
			added = append(added, &machine{
				name: fmt.Sprintf("%s-%d", class, i+1), class: class, role: role,
				ip: c.prefix + strconv.Itoa(number), zone: zones[i%len(zones)],
			})
		}
		return added
	}
	c.core = add("core", "control", 3)
	c.edge = add("edge", "entry", 3)
	c.side = add("side", "agent", sides)
	for _, m := range c.machines() {
		if err := c.writeSettings(m, true); err != nil {
			return err
		}
		if err := c.start(m); err != nil {
			return err
		}
	}
	for _, m := range c.side {
		e, err := startExecutor(c, m)
		if err != nil {
			return err
		}
		c.executors = append(c.executors, e)
	}
	return nil
}

func (c *cluster) machines() []*machine {
	var all []*machine
	all = append(all, c.core...)
	all = append(all, c.edge...)
	return append(all, c.side...)
}

// choosePorts chooses a loopback network and ports that are free on it.
func (c *cluster) choosePorts() error {
	for range 50 {
		c.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		first := 21000 + rand.IntN(9000)
		c.ports = ports{front: first, readiness: first + 1, control: first + 2, app: first + 3, peer: first + 4}
		if c.portsFree() {
			return nil
		}
	}
	return errors.New("no free ports on the loopback addresses")
}

func (c *cluster) portsFree() bool {
	for host := 1; host <= 20; host++ {
		for _, port := range []int{c.ports.front, c.ports.readiness, c.ports.control, c.ports.app, c.ports.peer, metricsPort} {
			listener, err := net.Listen("tcp", address(c.prefix+strconv.Itoa(host), port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(port))
}

// writeSettings writes the settings file of a machine.
func (c *cluster) writeSettings(m *machine, bootstrap bool) error {
	var seeds []string
	for _, replica := range c.core {
		seeds = append(seeds, address(replica.ip, c.ports.control))
	}
	settings := map[string]any{
		"node_name": m.name, "role": m.role, "machine_class": m.class, "serves": []string{m.class},
		"ip": m.ip, "zone": m.zone, "region": "maroc-nord",
		"port_range": []int{c.ports.peer, c.ports.peer + 3}, "seeds": seeds, "bootstrap": bootstrap,
		"counts_as_loss": m.class == "core", "data_dir": nil, "discovery": "local", "entry": "vip",
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB[m.class], "max_fds": 4096},
		"heartbeat_ms": heartbeatEvery.Milliseconds(),
		"bounds": map[string]any{
			"contact_ms": contactTime.Milliseconds(), "cancel_ms": cancelTime.Milliseconds(), "drain_ms": drainTime.Milliseconds(),
			"evacuate_ms": evacuateTime.Milliseconds(), "max_hold_ms": maxHold.Milliseconds(),
			"retransmit_ms": resendTime.Milliseconds(), "stop_timeout_ms": stopTimeout.Milliseconds(),
			"config_ms": 2000, "ack_ms": 4000, "grace_s": graceTime.Seconds(), "require_fencing": false,
		},
		"config_mode": "highest", "control_mode": "rpc",
	}
	switch m.class {
	case "core":
		data := filepath.Join(c.folder, "data-"+m.name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return fmt.Errorf("create a data folder: %w", err)
		}
		settings["data_dir"] = data
		settings["listen"] = map[string]string{"control": address(m.ip, c.ports.control)}
	case "edge":
		settings["listen"] = map[string]string{
			"front": address(m.ip, c.ports.front), "readiness": address(m.ip, c.ports.readiness),
		}
	default:
		settings["listen"] = map[string]string{"control": address(m.ip, c.ports.control)}
		settings["app"] = address(m.ip, c.ports.app)
		settings["service"] = serviceName
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the settings: %w", err)
	}
	m.settings = filepath.Join(c.folder, m.name+".json")
	if err := os.WriteFile(m.settings, data, 0o600); err != nil {
		return fmt.Errorf("write the settings: %w", err)
	}
	return nil
}

// start starts the process of a machine with the command of the deploy file.
func (c *cluster) start(m *machine) error {
	output, err := os.OpenFile(filepath.Join(c.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of a process: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return errors.New("the run has ended")
	}
	command := exec.CommandContext(context.Background(), programPath, m.role)
	command.Env = []string{"ZINNIASILL_SETTINGS=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + c.folder}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", m.name, err)
	}
	m.command, m.output, m.ended = command, output, make(chan struct{})
	go func(ended chan struct{}) {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}(m.ended)
	c.record.add("process %s started", m.name)
	return nil
}

// signal sends a signal to the process of a machine.
func (c *cluster) signal(m *machine, sig syscall.Signal) {
	c.record.add("process %s gets signal %d (%v)", m.name, int(sig), sig)
	_ = m.command.Process.Signal(sig)
}

// restart kills the process of a machine and starts it again, as the platform does.
func (c *cluster) restart(m *machine, delay time.Duration) error {
	c.signal(m, syscall.SIGKILL)
	<-m.ended
	time.Sleep(delay)
	return c.start(m)
}

// roll stops the process of a machine as planned and starts it again.
func (c *cluster) roll(m *machine, delay time.Duration) error {
	c.signal(m, syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(graceTime):
		c.signal(m, syscall.SIGKILL)
		<-m.ended
	}
	time.Sleep(delay)
	return c.start(m)
}

// stop ends all processes and removes the folder, unless ZINNIASILL_KEEP is set.
func (c *cluster) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	for _, e := range c.executors {
		e.shutDown("end of the run")
	}
	for _, m := range c.machines() {
		if m.command == nil {
			continue
		}
		_ = m.command.Process.Signal(syscall.SIGKILL)
		_ = m.command.Process.Signal(syscall.SIGCONT)
		<-m.ended
	}
	if os.Getenv("ZINNIASILL_KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}
