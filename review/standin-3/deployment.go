package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
)

// Names and ports of the deployment. The ports are the same on all machines.
const (
	serviceName   = "service-1"
	queueHost     = "jobs.example"
	queuePrefix   = "/queue-1/"
	portCallers   = "8161"
	portExecutor  = "8165"
	portControl   = "8166"
	portReadiness = "8167"
	portMetrics   = "9464"
	firstPort     = 7720
	lastPort      = 7735
	seedCount     = 3
)

// machine is a machine of the deployment. Each has its own loopback address.
type machine struct {
	name, class, zone, ip string
	memoryMB              int64
	fds                   int
	settingsPath          string
	process               *process
}

// address returns the address of a port of the machine.
func (m *machine) address(port string) string {
	return net.JoinHostPort(m.ip, port)
}

// deployment is a small deployment with stand-ins.
type deployment struct {
	record    *record
	trouble   bool
	folder    string
	network   string
	machines  []*machine
	executors []*executor
	runs      *runTable
	// probes is the number of ordinary jobs so far.
	probes int
}

func newDeployment(rec *record, trouble bool) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program of the deploy file is not built: %w", err)
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	return &deployment{record: rec, trouble: trouble, folder: folder, network: network, runs: newRunTable(rec)}, nil
}

// freeNetwork returns the first two parts of loopback addresses that no other program uses.
func freeNetwork() (string, error) {
	for i := range 100 {
		network := fmt.Sprintf("127.%d", 60+(os.Getpid()+i)%150)
		free := true
		for _, port := range []string{portMetrics, portControl} {
			listener, err := net.Listen("tcp", net.JoinHostPort(network+".1.1", port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, m := range d.machines {
		if m.process != nil {
			m.process.kill()
		}
	}
	for _, e := range d.executors {
		e.close()
	}
	_ = os.RemoveAll(d.folder)
}

// addMachine adds a machine of a class to a zone. Zones are numbered from 1.
func (d *deployment) addMachine(class string, zone int, memoryMB int64) {
	number := len(d.machines) + 1
	m := &machine{
		name: fmt.Sprintf("%s-%d", class, number), class: class, zone: zoneName(zone),
		ip: fmt.Sprintf("%s.%d.%d", d.network, zone, number), memoryMB: memoryMB, fds: 4100,
	}
	d.machines = append(d.machines, m)
}

func zoneName(zone int) string {
	return "zone-" + string(rune('a'+zone-1))
}

// ofClass returns the machines of a class.
func (d *deployment) ofClass(class string) []*machine {
	var found []*machine
	for _, m := range d.machines {
		if m.class == class {
			found = append(found, m)
		}
	}
	return found
}

// roles are the roles of the deploy file by class of machine.
var roles = map[string]string{"edge": "entry", "side": "agent", "core": "control"}

// prepare writes the settings of all machines for the first start.
func (d *deployment) prepare() error {
	for _, m := range d.machines {
		if err := d.writeSettings(m, true); err != nil {
			return err
		}
		m.process = &process{
			name: m.name, role: roles[m.class], node: m, record: d.record,
			logPath: filepath.Join(d.folder, m.name+".log"), restartAfter: restartDelay,
		}
	}
	return nil
}

// writeSettings writes the settings file of a machine.
func (d *deployment) writeSettings(m *machine, bootstrap bool) error {
	var seeds []string
	for _, core := range d.ofClass("core") {
		if len(seeds) < seedCount {
			seeds = append(seeds, core.address(portControl))
		}
	}
	file := map[string]any{
		"node_name": m.name, "role": roles[m.class], "machine_class": m.class, "serves": []string{serves[m.class]},
		"ip": m.ip, "zone": m.zone, "region": "region-1",
		"zones":      map[string]string{"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"},
		"port_range": []int{firstPort, lastPort}, "seeds": seeds, "bootstrap": bootstrap,
		"counts_as_loss": m.class == "core",
		"limits": map[string]any{
			"cpu_share": 0.8, "cores": 1, "memory_mb": m.memoryMB, "max_fds": m.fds, "link_mbps": 1000.0, "disk_mb": 128,
		},
		"discovery": "local", "entry": "vip", "heartbeat_ms": heartbeatInterval.Milliseconds(),
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": ackBound.Milliseconds(), "drain_ms": 2000, "grace_s": 6, "config_ms": 2000,
			"evacuate_ms": 5000, "max_hold_ms": maxHold.Milliseconds(), "stop_timeout_ms": 50, "cancel_ms": 3000,
			"retransmit_ms": 1300,
		},
		"config_mode": "highest", "control_mode": "rpc",
	}
	switch m.class {
	case "core":
		file["listen"] = map[string]string{"control": m.address(portControl)}
		file["data_dir"] = filepath.Join(d.folder, m.name)
	case "edge":
		file["listen"] = map[string]string{"front": m.address(portCallers), "readiness": m.address(portReadiness)}
	default:
		file["listen"] = map[string]string{"control": m.address(portControl)}
		file["app"], file["service"] = m.address(portExecutor), serviceName
	}
	data, err := json.Marshal(file)
	if err != nil {
		return err
	}
	m.settingsPath = filepath.Join(d.folder, m.name+".json")
	return os.WriteFile(m.settingsPath, data, 0o600)
}

// serves are the interfaces of a class of machine.
var serves = map[string]string{"edge": "edge", "side": "side", "core": "control"}

// startAll starts the processes of all machines and the executors beside agents.
func (d *deployment) startAll() error {
	for _, m := range d.machines {
		if err := m.process.start(); err != nil {
			return err
		}
	}
	for i, m := range d.ofClass("side") {
		e, err := startExecutor(d.runs, m, "i-"+strconv.Itoa(1000+i))
		if err != nil {
			return err
		}
		d.executors = append(d.executors, e)
	}
	return nil
}
