// Package restarttest restarts a whole deployment of the platform's processes on loopback
// addresses and measures the steps of the restart.
package restarttest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	controls = 9
	entries  = 8
	agents   = 12
	// spread is the time within which the processes start after the outage.
	spread = 400 * time.Millisecond
	// formTimeout limits each wait for the deployment.
	formTimeout = 40 * time.Second
	// restartTimeout is the time after the restart in which requests are sent.
	restartTimeout  = 2500 * time.Millisecond
	requestInterval = 25 * time.Millisecond
	requestTimeout  = 1500 * time.Millisecond
	// startTimeout is the time after its start in which an entry holds requests.
	startTimeout  = time.Second
	peerPort      = 7946
	callerPort    = 8080
	controlPort   = 8081
	endpointPort  = 8082
	readinessPort = 8083
	seed          = 20261206
)

const configuration = `{"version":%d,"routes":[
	{"name":"r-1","host":"a.example","path_prefix":"/x/","type":"unsafe","timeout_ms":1500,"slo_ms":60,
	 "priority":0,"service":"text","attempts":3,"stretch":1.6}],
	"services":[{"name":"text","health_path":"/healthz","max_conns":64}],"limits":{"max_body_bytes":262144}}`

const job = `{"spec":"text","best_effort":true,"phases":[{"count":2,"cpu":500,"mem_mb":100,"estimate_ms":20}]}`

// binary is the path of the zinniasill-platform program under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "zinniasill-restarttest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "make a folder:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "zinniasill-platform")
	build := exec.Command("go", "build", "-o", binary, "zinniasill/cmd/zinniasill-platform")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the program:", err)
		return 1
	}
	return m.Run()
}

// deployment is a deployment of the platform's processes, each with an IP address of its own.
type deployment struct {
	*testing.T
	controls, entries, agents []*process
	stopEndpoints             func()
}

func controlIP(i int) string { return fmt.Sprintf("127.0.41.%d", i+1) }
func entryIP(i int) string   { return fmt.Sprintf("127.0.42.%d", i+1) }
func agentIP(i int) string   { return fmt.Sprintf("127.0.43.%d", i+1) }

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// newDeployment writes the settings of all processes.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{T: t}
	for i := range controls {
		d.controls = append(d.controls, d.newProcess("control", i, controlIP(i), map[string]any{
			"bootstrap": true, "data_dir": t.TempDir(),
			"listen": map[string]any{"control": address(controlIP(i), controlPort)},
		}))
	}
	for i := range entries {
		d.entries = append(d.entries, d.newProcess("entry", i, entryIP(i), map[string]any{
			"listen": map[string]any{"front": address(entryIP(i), callerPort), "readiness": address(entryIP(i), readinessPort)},
		}))
	}
	for i := range agents {
		d.agents = append(d.agents, d.newProcess("agent", i, agentIP(i), map[string]any{
			"app": address(agentIP(i), endpointPort), "service": service,
			"listen": map[string]any{"control": address(agentIP(i), controlPort)},
		}))
	}
	return d
}

func (d *deployment) newProcess(role string, i int, ip string, settings map[string]any) *process {
	var seeds []string
	for i := range controls {
		seeds = append(seeds, address(controlIP(i), peerPort))
	}
	settings["ip"], settings["zone"] = ip, fmt.Sprintf("zone-%d", i%3)
	settings["port_range"], settings["seeds"] = []int{peerPort, peerPort + 9}, seeds
	settings["bounds"] = map[string]any{"grace_s": 10}
	data, err := json.Marshal(settings)
	d.must(err)
	path := filepath.Join(d.TempDir(), "settings.json")
	d.must(os.WriteFile(path, data, 0o600))
	return &process{name: fmt.Sprintf("%s-%d", role, i), role: role, settings: path, ip: ip, unblock: func() {}}
}

func (d *deployment) must(err error) {
	d.Helper()
	if err != nil {
		d.Fatal(err)
	}
}

func (d *deployment) all() []*process { return slices.Concat(d.controls, d.entries, d.agents) }

// switchOff makes the machines of all processes answer nothing until their processes start.
func (d *deployment) switchOff() {
	d.Helper()
	for _, p := range d.all() {
		unblock, err := blockAddress(address(p.ip, peerPort))
		d.must(err)
		p.unblock = sync.OnceFunc(unblock)
		d.Cleanup(p.unblock)
	}
}

// startAll starts all processes within spread, in random order, and endpoints beside the
// agents. It returns when each was started.
func (d *deployment) startAll(ctx context.Context, random *rand.Rand, spread time.Duration, incarnation int) map[*process]time.Time {
	ctx, cancel := context.WithCancel(ctx)
	var ended []<-chan struct{}
	for i := range agents {
		done, err := serveEndpoint(ctx, address(agentIP(i), endpointPort), address(agentIP(i), controlPort), endpointID(i, incarnation))
		d.must(err)
		ended = append(ended, done)
	}
	d.stopEndpoints = func() {
		cancel()
		for _, done := range ended {
			<-done
		}
	}
	started := map[*process]time.Time{}
	var mu sync.Mutex
	var starts sync.WaitGroup
	for _, p := range d.all() {
		delay := time.Duration(random.Int64N(int64(spread) + 1))
		starts.Go(func() {
			time.Sleep(delay)
			mu.Lock()
			started[p] = time.Now()
			mu.Unlock()
			p.unblock()
			if err := p.start(); err != nil {
				d.Errorf("start %s: %v", p.name, err)
			}
		})
	}
	starts.Wait()
	return started
}

func (d *deployment) killAll() {
	var kills sync.WaitGroup
	for _, p := range d.all() {
		kills.Go(p.kill)
	}
	kills.Wait()
	d.stopEndpoints()
}

// await polls check until it returns true.
func (d *deployment) await(ctx context.Context, what string, check func() bool) {
	d.Helper()
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	for !check() {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			d.Fatalf("no %s within %s", what, formTimeout)
		}
	}
}

// answers counts the statuses of the answers by entry.
type answers struct {
	mu       sync.Mutex
	statuses map[int]int
	failures int
}

// request submits a job to an entry and counts the status. A request to an entry that does
// not listen yet is not counted.
func (a *answers) request(ctx context.Context, client *http.Client, entry int, id uint64) int {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/x/%016x", address(entryIP(entry), callerPort), id)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(job))
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	response, err := client.Do(request)
	status := 0
	if err == nil {
		status = response.StatusCode
		_ = response.Body.Close()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if ctx.Err() != nil {
			a.failures++
		}
		return 0
	}
	a.statuses[status]++
	return status
}

// TestRestartOfEverything guards against requests that are refused right after all processes
// have been restarted because no configuration is known yet. It prints how long each step
// takes.
func TestRestartOfEverything(t *testing.T) {
	d := newDeployment(t)
	random := rand.New(rand.NewPCG(seed, seed))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	d.startAll(ctx, random, spread, 1)
	d.Cleanup(func() { d.killAll() })
	d.await(ctx, "configuration accepted", func() bool {
		response, err := client.Post("http://"+address(controlIP(0), controlPort)+"/Config.Put", "application/json",
			strings.NewReader(fmt.Sprintf(configuration, 1)))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	warm := &answers{statuses: map[int]int{}}
	nextID := uint64(1)
	for i := range entries {
		d.await(ctx, "answers of all entries", func() bool {
			nextID++
			return warm.request(ctx, client, i, nextID) == http.StatusOK
		})
	}
	d.await(ctx, "lease of all agents", func() bool {
		return !slices.ContainsFunc(d.agents, func(p *process) bool { return p.count(time.Time{}, message("lease valid: true")) == 0 })
	})

	d.killAll()
	d.switchOff()
	client.CloseIdleConnections()
	restartedAt := time.Now()
	counted := &answers{statuses: map[int]int{}}
	var requests sync.WaitGroup
	for i := range entries {
		requests.Go(func() {
			for n := uint64(0); time.Since(restartedAt) < restartTimeout; n++ {
				requests.Go(func() { counted.request(ctx, client, i, uint64(i+1)<<32|n) })
				time.Sleep(requestInterval)
			}
		})
	}
	started := d.startAll(ctx, random, spread, 2)
	requests.Wait()
	d.report(restartedAt, started)
	t.Logf("answers by status %v, %d without", counted.statuses, counted.failures)
	t.Logf("decisions %v", d.decisions(restartedAt))
	held := 0
	for _, p := range d.entries {
		held += p.count(restartedAt, message("request-held"))
		refused, found := p.first(restartedAt, func(l line) bool { return l.text("reason") == "no configuration is known" })
		if age := refused.at.Sub(started[p]); found && age < startTimeout {
			t.Errorf("%s refused a request without a configuration %s after its start", p.name, age)
		}
	}
	if held == 0 {
		t.Error("no request was held")
	}
	for i := range entries {
		d.await(ctx, "answers of all entries after the restart", func() bool {
			nextID++
			return warm.request(ctx, client, i, nextID) == http.StatusOK
		})
	}
}

// report prints the steps of the restart: for each, the times of the earliest, the median
// and the latest process since the restart, and since the start of the process.
func (d *deployment) report(restartedAt time.Time, started map[*process]time.Time) {
	show := func(step string, processes []*process, match func(line) bool) {
		var since, own []time.Duration
		for _, p := range processes {
			if l, ok := p.first(restartedAt, match); ok {
				since = append(since, l.at.Sub(restartedAt).Round(time.Millisecond))
				own = append(own, l.at.Sub(started[p]).Round(time.Millisecond))
			}
		}
		if len(since) == 0 {
			d.Logf("%-28s none", step)
			return
		}
		slices.Sort(since)
		slices.Sort(own)
		d.Logf("%-28s %3d processes, since the restart %6s %6s %6s, since their start %6s %6s %6s", step, len(since),
			since[0], since[len(since)/2], since[len(since)-1], own[0], own[len(own)/2], own[len(own)-1])
	}
	show("control started", d.controls, message("started"))
	show("leader known", d.controls, func(l line) bool {
		return l.text("msg") == "control replica status changed" && l.text("leader") != ""
	})
	show("leader elected", d.controls, func(l line) bool { return l.text("role") == "leader" })
	show("entry started", d.entries, message("started"))
	show("entry lease", d.entries, message("lease valid: true"))
	show("configuration in force", d.entries, message("configuration in force"))
	show("agents known", d.entries, message("agent-learned"))
	show("first task placed", d.entries, message("tasks-assigned"))
	show("first job ended", d.entries, message("job-ended"))
	show("agent started", d.agents, message("started"))
	show("endpoint adopted", d.agents, message("endpoint-adopted"))
	show("agent lease", d.agents, message("lease valid: true"))
	show("first task started", d.agents, message("task-started"))
}

// decisions counts the decisions of entries on requests that were held or not completed, by
// result and reason.
func (d *deployment) decisions(after time.Time) map[string]int {
	counts := map[string]int{}
	shown := []string{"job-refused", "job-ended", "request-held", "job-awaits-agents"}
	for _, p := range d.entries {
		p.count(after, func(l line) bool {
			if slices.Contains(shown, l.text("msg")) && l.text("result") != "completed" {
				counts[fmt.Sprint(l.text("msg"), " ", l.text("result"), " ", l.text("reason"), l.text("outcome"))]++
			}
			return false
		})
	}
	return counts
}
