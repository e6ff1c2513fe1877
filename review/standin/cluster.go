package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Ports on the address of each machine.
const (
	portFront     = 8161
	portReadiness = 8167
	portControl   = 8166
	portExecutor  = 8165
	portPeer      = 7720
	lastPortPeer  = 7735
)

// readyTimeout bounds the wait for the cluster.
const readyTimeout = 30 * time.Second

// service is the service of all executors.
const service = "huvo11a"

// options are the sizes of a cluster.
type options struct {
	controls, entries, agents int
	// guards is set if the executors reject what does not fit.
	guards bool
}

func defaultOptions() options {
	return options{controls: 3, entries: 3, agents: 3, guards: true}
}

// machine is a machine with one process of the system.
type machine struct {
	name, role, ip string
	settings       string
	cmd            *exec.Cmd
	ended          chan struct{}
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	program, folder string
	record          *record
	options         options
	network         string
	controls        []*machine
	entries         []*machine
	agents          []*machine
	executors       []*executor
}

func newCluster(program, folder string, rec *record, o options) *cluster {
	return &cluster{program: program, folder: folder, record: rec, options: o}
}

// start starts all processes, and prepares the executors.
func (c *cluster) start() error {
	if err := c.chooseNetwork(); err != nil {
		return err
	}
	for i := range c.options.controls {
		c.controls = append(c.controls, c.machine("core", "control", i))
	}
	for i := range c.options.entries {
		c.entries = append(c.entries, c.machine("edge", "entry", i))
	}
	for i := range c.options.agents {
		c.agents = append(c.agents, c.machine("side", "agent", i))
	}
	for i, m := range c.all() {
		if err := c.writeSettings(m, i); err != nil {
			return err
		}
		if err := c.launch(m); err != nil {
			return err
		}
	}
	for i, m := range c.agents {
		e := &executor{
			address: at(m.ip, portExecutor), registry: at(m.ip, portControl), service: service,
			zone: zone(i), guards: c.options.guards, record: c.record,
		}
		c.executors = append(c.executors, e)
	}
	return nil
}

// chooseNetwork finds a part of the loopback range whose addresses are free.
func (c *cluster) chooseNetwork() error {
	for try := range 200 {
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try)%200, 1+(os.Getpid()/200)%250)
		listener, err := net.Listen("tcp", at(network+".11", portControl))
		if err != nil {
			continue
		}
		_ = listener.Close()
		c.network = network
		return nil
	}
	return errors.New("no free loopback addresses")
}

func at(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(port))
}

func zone(i int) string {
	return []string{"rabat-a", "rabat-b", "rabat-c"}[i%3]
}

// firstHost is the last part of the address of the first machine of a class.
var firstHost = map[string]int{"core": 11, "edge": 51, "side": 101}

func (c *cluster) machine(class, role string, i int) *machine {
	return &machine{
		name: fmt.Sprintf("%s-%s-%d", class, zone(i), 1+i/3), role: role,
		ip: fmt.Sprintf("%s.%d", c.network, firstHost[class]+i),
	}
}

func (c *cluster) all() []*machine {
	var all []*machine
	all = append(all, c.controls...)
	all = append(all, c.entries...)
	return append(all, c.agents...)
}

// writeSettings writes the settings file of a machine. Bounds are those of the site
// atlas-carottes.
func (c *cluster) writeSettings(m *machine, i int) error {
	file := map[string]any{
		"node_name": m.name, "role": m.role, "ip": m.ip, "region": "maroc-nord",
		"zones":      map[string]string{"rabat-a": "maroc-nord", "rabat-b": "maroc-nord", "rabat-c": "maroc-nord"},
		"port_range": []int{portPeer, lastPortPeer}, "bootstrap": true, "data_dir": nil, "heartbeat_ms": heartbeatInterval.Milliseconds(),
		"discovery": "local", "entry": "vip", "control_mode": "rpc", "config_mode": "highest",
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"limits":          map[string]any{"memory_mb": 284, "cores": 1, "max_fds": 4096},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "config_ms": 2000, "drain_ms": 2000, "grace_s": 6, "cancel_ms": 3000,
			"stop_timeout_ms": 50, "max_hold_ms": 1000, "retransmit_ms": 1300, "evacuate_ms": 5000,
		},
	}
	var seeds []string
	for _, control := range c.controls[:min(3, len(c.controls))] {
		seeds = append(seeds, at(control.ip, portControl))
	}
	file["seeds"] = seeds
	class := i
	switch m.role {
	case "control":
		file["listen"] = map[string]string{"control": at(m.ip, portControl)}
		file["data_dir"] = filepath.Join(c.folder, m.name)
		file["counts_as_loss"] = true
	case "entry":
		class -= len(c.controls)
		file["listen"] = map[string]string{"front": at(m.ip, portFront), "readiness": at(m.ip, portReadiness)}
	default:
		class -= len(c.controls) + len(c.entries)
		file["listen"] = map[string]string{"control": at(m.ip, portControl)}
		file["app"], file["service"] = at(m.ip, portExecutor), service
	}
	file["zone"] = zone(class)
	data, err := json.Marshal(file)
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	m.settings = filepath.Join(c.folder, m.name+".json")
	if err := os.WriteFile(m.settings, data, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if m.role == "control" {
		return os.MkdirAll(filepath.Join(c.folder, m.name), 0o700)
	}
	return nil
}

// launch starts the process of a machine with the command of the deploy file.
func (c *cluster) launch(m *machine) error {
	log, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open a log: %w", err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(c.program, m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ZINNIASILL_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", m.name, err)
	}
	ended := make(chan struct{})
	m.cmd, m.ended = cmd, ended
	go func() {
		defer close(ended)
		_ = cmd.Wait()
	}()
	c.record.add("process %s (%s) started", m.name, m.role)
	return nil
}

// close ends all processes that the cluster has started.
func (c *cluster) close() {
	for _, m := range c.all() {
		if m.cmd == nil {
			continue
		}
		_ = m.cmd.Process.Kill()
		<-m.ended
	}
}

// bootAll boots all executors, each as boots says.
func (c *cluster) bootAll(boots func(i int) boot) error {
	for i, e := range c.executors {
		if err := e.bootUp(boots(i)); err != nil {
			return err
		}
	}
	return nil
}

// plainBoot is a boot with the capacity of a small executor.
func plainBoot(i int) boot {
	return boot{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), labels: []string{"a", "r1-1"}, room: room{CPU: 16000, MemMB: 32768}}
}

// starts returns the starts at all executors.
func (c *cluster) starts() []start {
	var all []start
	for _, e := range c.executors {
		all = append(all, e.history()...)
	}
	return all
}

// awaitReady waits until all entries report that they are ready.
func (c *cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := &http.Client{Timeout: time.Second}
	for _, m := range c.entries {
		for {
			response, err := client.Get("http://" + at(m.ip, portReadiness) + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if err := pause(ctx, 50*time.Millisecond); err != nil {
				return fmt.Errorf("wait for %s: %w", m.name, err)
			}
		}
	}
	return nil
}

// pause waits for a time, or returns the error of ctx.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
