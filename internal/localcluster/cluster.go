// Package localcluster starts the roles as separate processes on loopback, with a
// stub endpoint for each agent, for the demonstration, tests and load
// measurements.
//
//	cluster, err := localcluster.Start(ctx, localcluster.Config{
//		Binary: "bin/zinniasill", Folder: folder, Controls: 3, Entries: 2, Agents: 6, Domains: 3,
//	})
//	defer cluster.Close()
//	answer, err := cluster.Client().Submit(ctx, job)
package localcluster

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/client"
	"zinniasill/core/catalog"
	"zinniasill/core/control"
	"zinniasill/internal/stubendpoint"
	"zinniasill/io/operator"
)

// Kind is the kind of the stub endpoints, Team the team of the clients.
const (
	Kind = "stub"
	Team = "tests"
)

// Config configures a Cluster.
type Config struct {
	// Binary is the path of the zinniasill program.
	Binary string
	// Folder holds the data folders of the control replicas.
	Folder                             string
	Controls, Entries, Agents, Domains int
	// Slots is the number of slots of each endpoint, 10 if 0.
	Slots int
	// Records is the limit of the records of each entry and agent in MiB, the default
	// of the program if 0.
	Records int
	// FailAll lists agents, from 0, whose endpoints fail every task.
	FailAll []int
	// Through, if set, returns the address that others use instead of a process's
	// own listen address, so that a proxy can stand between.
	Through func(name, listen string) string
}

// Cluster is a running cluster. Use Start.
type Cluster struct {
	Controls, Entries, Agents []*Process
	// Stubs are the endpoints beside the agents.
	Stubs []*stubendpoint.Stub

	cfg    Config
	cancel context.CancelFunc
}

// Domain returns the name of the failure domain of the i-th process of a role.
func (c *Cluster) Domain(i int) string {
	return "zone-" + string(rune('a'+i%c.cfg.Domains))
}

// Start starts a cluster and waits until every process is ready.
func Start(ctx context.Context, cfg Config) (*Cluster, error) {
	if cfg.Slots == 0 {
		cfg.Slots = 10
	}
	if cfg.Through == nil {
		cfg.Through = func(_, listen string) string { return listen }
	}
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	c := &Cluster{cfg: cfg, cancel: cancel}
	if err := c.start(ctx, life); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx, life context.Context) error {
	var members []string
	listens := make([]string, c.cfg.Controls)
	for i := range c.cfg.Controls {
		name := fmt.Sprintf("control-%d", i+1)
		listens[i] = freeAddress()
		members = append(members, name+"="+c.cfg.Through(name, listens[i]))
	}
	common := []string{"--insecure-loopback", "--members=" + strings.Join(members, ","), "--stop-timeout=20s"}
	for i := range c.cfg.Controls {
		name := fmt.Sprintf("control-%d", i+1)
		c.Controls = append(c.Controls, c.process("control", name, append(common,
			"--listen="+listens[i], "--data="+c.DataFolder(i), "--new-cluster")))
	}
	for i := range c.cfg.Entries {
		name := fmt.Sprintf("entry-%d", i+1)
		args := append(c.nodeArgs(common, name, i), c.recordArgs("entry")...)
		c.Entries = append(c.Entries, c.process("entry", name, args))
	}
	for i := range c.cfg.Agents {
		name := fmt.Sprintf("agent-%d", i+1)
		args := append(c.nodeArgs(common, name, i), c.recordArgs("agent")...)
		c.Agents = append(c.Agents, c.process("agent", name, args))
	}
	for _, p := range c.All() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := c.startStubs(life); err != nil {
		return err
	}
	return c.AwaitReady(ctx, c.All()...)
}

func (c *Cluster) nodeArgs(common []string, name string, i int) []string {
	listen := freeAddress()
	return append(append([]string{}, common...), "--domain="+c.Domain(i), "--listen="+listen,
		"--advertise="+c.cfg.Through(name, listen))
}

func (c *Cluster) recordArgs(role string) []string {
	if c.cfg.Records == 0 {
		return nil
	}
	return []string{fmt.Sprintf("--%s-records=%d", role, c.cfg.Records)}
}

func (c *Cluster) process(role, name string, args []string) *Process {
	p := &Process{Name: name, HTTP: freeAddress(), Metrics: freeAddress(), binary: c.cfg.Binary, log: &syncBuffer{}}
	p.args = append([]string{role, "--name=" + name, "--http=" + p.HTTP, "--metrics=" + p.Metrics}, args...)
	return p
}

func (c *Cluster) startStubs(life context.Context) error {
	for i, agent := range c.Agents {
		cfg := stubendpoint.Config{AgentURL: "http://" + agent.HTTP, Slots: c.cfg.Slots, Kinds: []string{Kind}}
		for _, failing := range c.cfg.FailAll {
			cfg.FailAll = cfg.FailAll || failing == i
		}
		stub, err := stubendpoint.Serve(life, cfg)
		if err != nil {
			return err
		}
		c.Stubs = append(c.Stubs, stub)
	}
	return nil
}

// DataFolder returns the data folder of the i-th control replica.
func (c *Cluster) DataFolder(i int) string {
	return filepath.Join(c.cfg.Folder, fmt.Sprintf("control-%d", i+1))
}

// LoseDisk empties the data folder of the i-th control replica, which must not be
// running.
func (c *Cluster) LoseDisk(i int) error {
	return removeAll(c.DataFolder(i))
}

// All returns all processes.
func (c *Cluster) All() []*Process {
	var all []*Process
	all = append(all, c.Controls...)
	all = append(all, c.Entries...)
	return append(all, c.Agents...)
}

// AwaitReady waits until processes are ready.
func (c *Cluster) AwaitReady(ctx context.Context, processes ...*Process) error {
	for _, p := range processes {
		err := Poll(ctx, p.Name+" to be ready", func() bool { return IsReady(ctx, p) })
		if err != nil {
			return eris.Wrapf(err, "log of %s:\n%s", p.Name, p.Log())
		}
	}
	return nil
}

// readyTimeout bounds one question to a process that may be frozen.
const readyTimeout = time.Second

// IsReady reports whether a process says that it is ready.
func IsReady(ctx context.Context, p *Process) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Metrics+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Operator returns a client for the operators' interface.
func (c *Cluster) Operator() operator.Client {
	var list []string
	for _, p := range c.Controls {
		list = append(list, p.HTTP)
	}
	return operator.Client{Addresses: list}
}

// Client returns a client that asks the given entries, all of them if none is
// given.
func (c *Cluster) Client(entries ...int) *client.Client {
	cfg := client.Config{Team: Team}
	for i, p := range c.Entries {
		if len(entries) == 0 || contains(entries, i) {
			cfg.Entries = append(cfg.Entries, "http://"+p.HTTP)
		}
	}
	return client.New(cfg)
}

func contains(list []int, i int) bool {
	for _, other := range list {
		if other == i {
			return true
		}
	}
	return false
}

// PutProfile creates a profile for the stub endpoints and waits until every entry
// has it in force.
func (c *Cluster) PutProfile(ctx context.Context, name zinniasill.ProfileName, repeat catalog.RepeatPolicy) error {
	revision, err := c.Operator().PutProfile(ctx, catalog.Profile{
		Name: name, Kind: Kind, AnswerWithin: time.Minute, ExpectedRunTime: 50 * time.Millisecond,
		Repeat: repeat, MaxTasks: 1000,
	}, NewEdit(0))
	if err != nil {
		return eris.Wrapf(err, "put profile %s", name)
	}
	for _, p := range c.Entries {
		err := Poll(ctx, p.Name+" to have the profile", func() bool { return p.Revision(ctx) >= revision })
		if err != nil {
			return err
		}
	}
	return nil
}

// SetDomain takes a failure domain out of service or returns it.
func (c *Cluster) SetDomain(ctx context.Context, name string, state catalog.DomainState) error {
	current, err := c.Operator().Domain(ctx, zinniasill.Domain(name))
	if err != nil {
		return eris.Wrapf(err, "read domain %s", name)
	}
	_, err = c.Operator().PutDomain(ctx, zinniasill.Domain(name), state, NewEdit(current.Revision))
	return eris.Wrapf(err, "set domain %s to %s", name, state)
}

// NewEdit returns an edit with a new request id.
func NewEdit(base zinniasill.Revision) operator.Edit {
	return operator.Edit{BaseRevision: base, RequestID: control.RequestID(rand.Text())}
}

// Starts returns how often each task was started, over all stub endpoints.
func (c *Cluster) Starts() map[string]int {
	sum := map[string]int{}
	for _, stub := range c.Stubs {
		for id, n := range stub.Starts() {
			sum[id] += n
		}
	}
	return sum
}

// closeTimeout bounds the graceful stop of all processes.
const closeTimeout = 15 * time.Second

// Close stops all processes and stubs, gracefully where possible.
func (c *Cluster) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, group := range [][]*Process{c.Entries, c.Agents, c.Controls} {
		var wait sync.WaitGroup
		for _, p := range group {
			if p.Done() != nil {
				wait.Go(func() { stopOrKill(ctx, p) })
			}
		}
		wait.Wait()
	}
	c.cancel()
	for _, stub := range c.Stubs {
		<-stub.Done()
	}
}

func stopOrKill(ctx context.Context, p *Process) {
	if err := p.Terminate(ctx); err != nil {
		p.Kill()
	}
}
