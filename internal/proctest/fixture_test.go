package proctest_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/client"
	"zinniasill/core/catalog"
	"zinniasill/internal/localcluster"
	"zinniasill/internal/stubendpoint"
	"zinniasill/io/operator"
)

const (
	profile = "plate"
	// resubmitProfile lets callers send a refused or failed job again.
	resubmitProfile = "preview"
	// seed is the seed of the clients' jitter.
	seed = 20261204
	// startBound is the promise: no start in a domain or at an endpoint later than
	// this after it was taken out.
	startBound = 3 * time.Second
	// testTimeout ends a test whose event never comes. The length of a long cut is
	// added to it.
	testTimeout = 60 * time.Second
	// slots is the number of slots of each endpoint.
	slots = 4
	// maxClusters bounds the clusters that run at once, and with it the processes.
	maxClusters = 5
	// logLines is the number of lines shown of the log of each process.
	logLines = 12
)

var clusters = make(chan struct{}, maxClusters)

// fixture is a cluster behind proxies, with a witness.
type fixture struct {
	*testing.T
	*localcluster.Cluster
	ctx     context.Context //nolint:containedctx // The time limit of one test.
	network *localcluster.Network
	witness *localcluster.HistoryChecker
	// away are control replicas that operators don't ask, since they would wait for
	// each answer in vain.
	away []*localcluster.Process
}

// start starts a cluster of 3 control replicas, 2 entries and the given number of
// agents in 3 failure domains, with a profile. All is checked at the test's end.
func start(t *testing.T, agents int) *fixture {
	t.Helper()
	return startBehind(t, agents, &localcluster.Network{})
}

// startBehind is start with a given network.
func startBehind(t *testing.T, agents int, network *localcluster.Network) *fixture {
	t.Helper()
	t.Parallel()
	clusters <- struct{}{}
	t.Cleanup(func() { <-clusters })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout+longCut())
	t.Cleanup(cancel)
	f := &fixture{T: t, ctx: ctx, network: network, witness: localcluster.NewHistoryChecker()}
	t.Cleanup(f.network.Close)
	cluster, err := localcluster.Start(ctx, localcluster.Config{
		Binary: binary, Folder: t.TempDir(), Controls: 3, Entries: 2, Agents: agents, Domains: 3,
		Slots: slots, Proxy: f.network.Proxy,
	})
	if err != nil {
		t.Fatal(err)
	}
	f.Cluster = cluster
	t.Cleanup(f.finish)
	f.must(f.network.Err())
	f.must(cluster.PutProfile(ctx, profile, catalog.RepeatNever))
	f.must(cluster.PutProfile(ctx, resubmitProfile, catalog.RepeatResubmit))
	f.awaitEpoch()
	return f
}

// finish stops the cluster and compares what callers were told with the starts.
func (f *fixture) finish() {
	f.network.RestoreAll()
	for _, p := range f.All() {
		p.Signal(syscall.SIGCONT)
	}
	f.Close()
	var history []stubendpoint.Start
	for _, stub := range f.Stubs {
		history = append(history, stub.History()...)
	}
	for _, finding := range f.witness.Check(history) {
		f.Error(finding)
	}
	f.Logf("%d starts, %d jobs answered, %d refusals with ran: not-run",
		len(history), f.witness.Answered(), f.witness.NotRun())
	if f.Failed() {
		for _, p := range f.All() {
			f.Logf("end of the log of %s:\n%s", p.Name, tail(p.Log()))
		}
	}
}

func (f *fixture) must(err error) {
	f.Helper()
	if err != nil {
		f.Fatal(err)
	}
}

// await waits for an event.
func (f *fixture) await(what string, check func() bool) {
	f.Helper()
	f.must(localcluster.Poll(f.ctx, what, check))
}

// Operator returns a client for the control replicas that are not away.
func (f *fixture) Operator() operator.Client {
	var c operator.Client
	for _, p := range f.Controls {
		if !slices.Contains(f.away, p) {
			c.Addresses = append(c.Addresses, p.HTTP)
		}
	}
	return c
}

// setDomain takes a failure domain out of service or returns it.
func (f *fixture) setDomain(name string, state catalog.DomainState) {
	f.Helper()
	current, err := f.Operator().Domain(f.ctx, zinniasill.Domain(name))
	f.must(err)
	edit := localcluster.NewEdit(current.Revision)
	_, err = f.Operator().PutDomain(f.ctx, zinniasill.Domain(name), state, edit)
	f.must(err)
}

// awaitEpoch waits until all agents are listed and serving, and the entries have
// the present configuration.
func (f *fixture) awaitEpoch() {
	f.Helper()
	f.await("all agents to serve and the entries to know", func() bool {
		status, err := f.Operator().Status(f.ctx)
		serving := 0
		for _, entry := range f.Entries {
			if entry.Revision(f.ctx) < status.Revision {
				return false
			}
		}
		for _, node := range status.Nodes {
			if node.Role == catalog.RoleAgent && node.Serving {
				serving++
			}
		}
		return err == nil && serving == len(f.Agents)
	})
}

// node returns the status of a node that control lists as alive.
func (f *fixture) node(name string) (operator.NodeStatus, bool) {
	status, err := f.Operator().Status(f.ctx)
	if err != nil {
		return operator.NodeStatus{ID: zinniasill.NodeID(name)}, true
	}
	for _, node := range status.Nodes {
		if string(node.ID) == name {
			return node, true
		}
	}
	return operator.NodeStatus{}, false
}

func (f *fixture) awaitDead(p *localcluster.Process) {
	f.Helper()
	f.await(p.Name+" to be listed as dead", func() bool {
		_, listed := f.node(p.Name)
		return !listed
	})
}

// client returns a client for the given entries, all if none is given.
func (f *fixture) client(entries ...int) *client.Client {
	cfg := client.Config{Team: localcluster.Team, Transport: f.witness, Rand: rand.New(rand.NewPCG(seed, seed))}
	if len(entries) == 0 {
		entries = []int{0, 1}
	}
	for _, i := range entries {
		cfg.Entries = append(cfg.Entries, "http://"+f.Entries[i].HTTP)
	}
	return client.New(cfg)
}

func newJob(key string, tasks, runMS int) client.Job {
	job := client.Job{Key: key, Profile: profile}
	for i := range tasks {
		job.Tasks = append(job.Tasks, stubendpoint.Payload{ID: localcluster.TaskID(key, i), RunMS: runMS}.Encode())
	}
	return job
}

// submit submits a job and checks that its answer is whole.
func (f *fixture) submit(c *client.Client, job client.Job) error {
	answer, err := c.Submit(f.ctx, job)
	if err != nil {
		return err
	}
	if answer.Key != job.Key || len(answer.Outputs) != len(job.Tasks) {
		f.Errorf("job %s got %d outputs of job %s", job.Key, len(answer.Outputs), answer.Key)
	}
	for i, output := range answer.Outputs {
		want := stubendpoint.Payload{ID: localcluster.TaskID(job.Key, i)}.Output()
		if string(output) != string(want) {
			f.Errorf("output %d of job %s is %q", i, job.Key, output)
		}
	}
	f.witness.Complete(job.Key, len(job.Tasks))
	return nil
}

// lateStarts returns the starts at the given agents later than the bound after
// out and before until.
func (f *fixture) lateStarts(out, until time.Time, agents ...int) []stubendpoint.Start {
	var late []stubendpoint.Start
	for _, i := range agents {
		for _, start := range f.Stubs[i].History() {
			if start.At.After(out.Add(startBound)) && start.At.Before(until) {
				late = append(late, start)
			}
		}
	}
	return late
}

// awaitBound waits until the time after which no start is allowed is well past.
func (f *fixture) awaitBound(out time.Time) {
	f.Helper()
	f.await("the bound on late starts to pass", func() bool { return time.Since(out) > startBound+time.Second })
}

// tail returns the last lines of a log.
func tail(log string) string {
	lines := strings.Split(log, "\n")
	return strings.Join(lines[max(0, len(lines)-logLines):], "\n")
}
