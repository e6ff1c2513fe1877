package crowdtest_test

import (
	"context"
	"fmt"
	"net/http"
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
	// startTimeout ends a test whose processes do not start, and answerTimeout one whose
	// ordinary request is not answered.
	startTimeout  = 30 * time.Second
	answerTimeout = 20 * time.Second
	retryInterval = 100 * time.Millisecond
	profile       = "plate"
	slots         = 4
)

// product is a running deployment of the product with an endpoint.
type product struct {
	*testing.T
	processes []*process
	// callers, operators, endpoint, links and metrics are addresses of the processes; in an
	// all-in-one process callers, operators and endpoint are the same.
	callers, operators, endpoint, links, metrics string
	jobs                                         int
}

// startAllInOne starts a process with all roles and runs a first job.
func startAllInOne(t *testing.T, l limits) *product {
	t.Helper()
	address, metrics := localcluster.FreeAddress(), localcluster.FreeAddress()
	p := &product{T: t, callers: address, operators: address, endpoint: address, metrics: metrics}
	p.launch("all-in-one", l, "--name=crowd", "--domain=zone-a", "--http="+address, "--metrics="+metrics, "--data="+t.TempDir())
	p.prepare()
	return p
}

// startRoles starts a control replica, an entry and an agent and runs a first job.
func startRoles(t *testing.T, l limits) *product {
	t.Helper()
	free := localcluster.FreeAddress
	p := &product{T: t, callers: free(), operators: free(), endpoint: free(), links: free(), metrics: free()}
	control := free()
	members := "--members=control-1=" + control
	p.launch("control", l, members, "--name=control-1", "--listen="+control, "--http="+p.operators,
		"--data="+t.TempDir(), "--new-cluster")
	p.launch("entry", l, members, "--name=entry-1", "--domain=zone-a", "--listen="+p.links, "--http="+p.callers,
		"--metrics="+p.metrics)
	p.launch("agent", l, members, "--name=agent-1", "--domain=zone-a", "--listen="+free(), "--http="+p.endpoint)
	p.prepare()
	return p
}

// launch starts a process of a role with its limits.
func (p *product) launch(role string, l limits, args ...string) {
	p.Helper()
	p.processes = append(p.processes, launch(p.T, command{
		name: role, binary: productBinary, args: append([]string{role, "--insecure-loopback"}, args...),
		env: []string{fmt.Sprintf("ZINNIASILL_MEMORY_LIMIT=%dMiB", l.memoryMiB)}, limits: l,
	}))
}

// prepare starts the endpoint, creates a profile and runs a first job.
func (p *product) prepare() {
	p.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stub, err := stubendpoint.Serve(ctx, stubendpoint.Config{
		AgentURL: "http://" + p.endpoint, Slots: slots, Kinds: []string{localcluster.Kind},
	})
	if err != nil {
		p.Fatal(err)
	}
	p.Cleanup(func() {
		cancel()
		<-stub.Done()
	})
	p.retry("create a profile", startTimeout, func(ctx context.Context) error { return p.putProfile(ctx, profile) })
	p.retry("answer the first job", startTimeout, p.runJob)
}

// putProfile creates a profile over a new connection.
func (p *product) putProfile(ctx context.Context, name zinniasill.ProfileName) error {
	controls := operator.Client{
		Addresses: []string{p.operators}, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	_, err := controls.PutProfile(ctx, catalog.Profile{
		Name: name, Kind: localcluster.Kind, AnswerWithin: time.Minute,
		ExpectedRunTime: 10 * time.Millisecond, Repeat: catalog.RepeatNever, MaxTasks: 1000,
	}, localcluster.NewEdit(0))
	return err
}

// runJob runs a small job and checks its output.
func (p *product) runJob(ctx context.Context) error {
	p.jobs++
	id := fmt.Sprintf("ordinary-%d", p.jobs)
	outputs, err := p.submit(ctx, id, stubendpoint.Payload{ID: id})
	if err == nil && (len(outputs) != 1 || string(outputs[0]) != "done "+id) {
		err = fmt.Errorf("outputs of job %s are %q", id, outputs)
	}
	return err
}

// submit submits a job over a new connection and returns its outputs.
func (p *product) submit(ctx context.Context, key string, tasks ...stubendpoint.Payload) ([][]byte, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	c := client.New(client.Config{
		Entries: []string{"http://" + p.callers}, Team: localcluster.Team, Transport: transport,
	})
	job := client.Job{Key: key, Profile: zinniasill.ProfileName(profile)}
	for _, task := range tasks {
		job.Tasks = append(job.Tasks, task.Encode())
	}
	answer, err := c.Submit(ctx, job)
	return answer.Outputs, err
}

// retry calls attempt until it succeeds. It fails the test if the timeout ends first.
func (p *product) retry(what string, timeout time.Duration, attempt func(ctx context.Context) error) {
	p.Helper()
	retry(p.T, what, timeout, attempt)
}

// connect logs the peaks before the crowd, and connects it.
func (p *product) connect(c crowd) {
	p.Helper()
	logPeaks(p.T, p.processes)
	c.connect(p.T)
}

// finish checks that a small job and a change of an operator are answered while the crowd is
// connected, and then all processes.
func (p *product) finish() {
	p.Helper()
	p.retry("answer an ordinary job beside the crowd", answerTimeout, p.runJob)
	p.retry("create a profile beside the crowd", answerTimeout, func(ctx context.Context) error {
		return p.putProfile(ctx, profile+"-2")
	})
	for _, process := range p.processes {
		process.check(p.T)
	}
}

// retry calls attempt until it succeeds. It reports an error if the timeout ends first.
func retry(t *testing.T, what string, timeout time.Duration, attempt func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		err := attempt(ctx)
		if err == nil {
			t.Logf("%s: done", what)
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Errorf("%s: not within %s, last error: %v", what, timeout, err)
			return
		}
	}
}
