// Package localcluster starts controls, entries and agents as separate processes on
// loopback, with a stub endpoint for each agent, for the demonstration, tests and load
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

const (
	// Kind is the kind of the stub endpoints.
	Kind = "stub"
	// Team is the team of the clients.
	Team = "tests"
)

// Config configures a Cluster.
type Config struct {
	// Binary is the path of the zinniasill program.
	Binary string
	// Folder is the parent of the data folders of the control replicas.
	Folder string
	// Controls, Entries and Agents are the numbers of processes of each role, Domains
	// is the number of failure domains they are spread over.
	Controls, Entries, Agents, Domains int
	// Slots is the number of slots of each endpoint, 10 if 0.
	Slots int
	// Records is the limit in MiB of the records that each entry and agent retains, the
	// program's default if 0.
	Records int
	// FailAll lists the zero-based indexes of agents whose endpoints fail every task.
	FailAll []int
	// Proxy, if set, returns the address that other processes use to reach the process
	// name, which listens on listen. It allows a proxy to be placed between them.
	Proxy func(name, listen string) string
}

// Cluster is a running cluster. Use Start to start one.
type Cluster struct {
	Controls, Entries, Agents []*Process
	// Stubs are the endpoints, one for each agent in the same order.
	Stubs []*stubendpoint.Stub

	cfg    Config
	cancel context.CancelFunc
}

// Domain returns the name of the failure domain of the i-th process of a role.
func (c *Cluster) Domain(i int) string {
	return "zone-" + string(rune('a'+i%c.cfg.Domains))
}

// Start starts a cluster and waits until every process is ready. On an error it stops
// the processes that were started. The cluster outlives ctx; Close stops it.
func Start(ctx context.Context, cfg Config) (*Cluster, error) {
	if cfg.Slots == 0 {
		cfg.Slots = 10
	}
	if cfg.Proxy == nil {
		cfg.Proxy = func(_, listen string) string { return listen }
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	c := &Cluster{cfg: cfg, cancel: cancel}
	if err := c.start(ctx, runCtx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx, runCtx context.Context) error {
	var members []string
	listens := make([]string, c.cfg.Controls)
	for i := range c.cfg.Controls {
		name := fmt.Sprintf("control-%d", i+1)
		listens[i] = FreeAddress()
		members = append(members, name+"="+c.cfg.Proxy(name, listens[i]))
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
	if err := c.startStubs(runCtx); err != nil {
		return err
	}
	return c.AwaitReady(ctx, c.All()...)
}

func (c *Cluster) nodeArgs(common []string, name string, i int) []string {
	listen := FreeAddress()
	return append(append([]string{}, common...), "--domain="+c.Domain(i), "--listen="+listen,
		"--advertise="+c.cfg.Proxy(name, listen))
}

func (c *Cluster) recordArgs(role string) []string {
	if c.cfg.Records == 0 {
		return nil
	}
	return []string{fmt.Sprintf("--%s-records=%d", role, c.cfg.Records)}
}

func (c *Cluster) process(role, name string, args []string) *Process {
	p := &Process{Name: name, HTTP: FreeAddress(), Metrics: FreeAddress(), binary: c.cfg.Binary, log: &syncBuffer{}}
	p.args = append([]string{role, "--name=" + name, "--http=" + p.HTTP, "--metrics=" + p.Metrics}, args...)
	return p
}

func (c *Cluster) startStubs(runCtx context.Context) error {
	for i, agent := range c.Agents {
		cfg := stubendpoint.Config{AgentURL: "http://" + agent.HTTP, Slots: c.cfg.Slots, Kinds: []string{Kind}}
		for _, failing := range c.cfg.FailAll {
			cfg.FailAll = cfg.FailAll || failing == i
		}
		stub, err := stubendpoint.Serve(runCtx, cfg)
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

// LoseDisk removes the data folder of the i-th control replica, which must not be
// running.
func (c *Cluster) LoseDisk(i int) error {
	return removeAll(c.DataFolder(i))
}

// All returns all processes: controls, entries, then agents.
func (c *Cluster) All() []*Process {
	var all []*Process
	all = append(all, c.Controls...)
	all = append(all, c.Entries...)
	return append(all, c.Agents...)
}

// AwaitReady waits until all given processes are ready. Its error contains the log of
// the first process that was not ready when ctx ended.
func (c *Cluster) AwaitReady(ctx context.Context, processes ...*Process) error {
	for _, p := range processes {
		err := Poll(ctx, p.Name+" to be ready", func() bool { return IsReady(ctx, p) })
		if err != nil {
			return eris.Wrapf(err, "log of %s:\n%s", p.Name, p.Log())
		}
	}
	return nil
}

// readyTimeout bounds one HTTP request to a process, which may be frozen.
const readyTimeout = time.Second

// IsReady reports whether the readiness check of a process succeeds.
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

// Operator returns a client of the operator API.
func (c *Cluster) Operator() operator.Client {
	var list []string
	for _, p := range c.Controls {
		list = append(list, p.HTTP)
	}
	return operator.Client{Addresses: list}
}

// Client returns a client of the entries with the given zero-based indexes, or of all
// entries if none is given.
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

// PutProfile creates a profile for the stub endpoints and waits until every entry has
// applied it.
func (c *Cluster) PutProfile(ctx context.Context, name zinniasill.ProfileName, repeat catalog.RepeatPolicy) error {
	revision, err := c.Operator().PutProfile(ctx, catalog.Profile{
		Name: name, Kind: Kind, AnswerWithin: time.Minute, ExpectedRunTime: 50 * time.Millisecond,
		Repeat: repeat, MaxTasks: 1000,
	}, NewEdit(0))
	if err != nil {
		return eris.Wrapf(err, "put profile %s", name)
	}
	for _, p := range c.Entries {
		err := Poll(ctx, p.Name+" to apply the profile", func() bool { return p.Revision(ctx) >= revision })
		if err != nil {
			return err
		}
	}
	return nil
}

// SetDomain sets the state of a failure domain.
func (c *Cluster) SetDomain(ctx context.Context, name string, state catalog.DomainState) error {
	current, err := c.Operator().Domain(ctx, zinniasill.Domain(name))
	if err != nil {
		return eris.Wrapf(err, "read domain %s", name)
	}
	_, err = c.Operator().PutDomain(ctx, zinniasill.Domain(name), state, NewEdit(current.Revision))
	return eris.Wrapf(err, "set domain %s to %s", name, state)
}

// NewEdit returns an edit of the revision base with a random request ID.
func NewEdit(base zinniasill.Revision) operator.Edit {
	return operator.Edit{BaseRevision: base, RequestID: control.RequestID(rand.Text())}
}

// Starts returns the number of starts of each task at all stub endpoints, by payload
// ID.
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

// Close stops all processes and stubs. Processes that do not terminate within
// closeTimeout are killed.
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
