package crowdtest_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	platformService = "service-1"
	platformHost    = "jobs.example"
	platformPrefix  = "/queue-1/"
	// The ports of each role on its own address.
	portCallers     = "8161"
	portEndpoint    = "8165"
	portControl     = "8166"
	portReadiness   = "8167"
	portMetrics     = "9464"
	firstPort       = 7720
	lastPort        = 7735
	networkAttempts = 100
)

// platformRoles are the roles of a deployment on the platform, in the order of their start.
var platformRoles = []string{"control", "entry", "agent"}

// deployment is a control replica, an entry and an agent behind the platform's interface.
type deployment struct {
	*testing.T
	processes []*process
	// addresses are the IP addresses by role.
	addresses map[string]string
	jobs      int
}

// startDeployment starts a deployment whose processes all have the same limits, stores a
// configuration and runs a first job.
func startDeployment(t *testing.T, l limits) *deployment {
	t.Helper()
	d := &deployment{T: t, addresses: map[string]string{}}
	network := freeNetwork(t)
	for i, role := range platformRoles {
		d.addresses[role] = fmt.Sprintf("%s.%d", network, 11+i)
	}
	folder := t.TempDir()
	for _, role := range platformRoles {
		path := filepath.Join(folder, role+".json")
		if err := os.WriteFile(path, d.settings(role, folder, l), 0o600); err != nil {
			t.Fatal(err)
		}
		d.processes = append(d.processes, launch(t, command{
			name: role, binary: platformBinary, args: []string{role}, env: []string{"ZINNIASILL_SETTINGS=" + path}, limits: l,
		}))
	}
	startExecutor(t, d.at("agent", portEndpoint), d.at("agent", portControl))
	retry(t, "store a configuration", startTimeout, func(ctx context.Context) error { return d.putConfiguration(ctx, 1, 0) })
	retry(t, "answer the first job", startTimeout, d.runJob)
	return d
}

// freeNetwork returns the first three parts of loopback addresses that no other program
// listens on.
func freeNetwork(t *testing.T) string {
	t.Helper()
	for i := range networkAttempts {
		network := fmt.Sprintf("127.%d.%d", 221+(os.Getpid()+i)%30, 1+os.Getpid()/30%250)
		if listener, err := net.Listen("tcp", net.JoinHostPort(network+".11", portMetrics)); err == nil {
			_ = listener.Close()
			return network
		}
	}
	t.Fatal("no free loopback addresses")
	return ""
}

// at returns the address of a port of a role.
func (d *deployment) at(role, port string) string {
	return net.JoinHostPort(d.addresses[role], port)
}

// settings returns the settings file of a role.
func (d *deployment) settings(role, folder string, l limits) []byte {
	file := map[string]any{
		"node_name": role, "ip": d.addresses[role], "zone": "z-a", "port_range": []int{firstPort, lastPort},
		"seeds": []string{d.at("control", portControl)}, "bootstrap": true,
		"limits": map[string]any{"memory_mb": l.memoryMiB, "max_fds": l.descriptors},
		"bounds": map[string]any{"grace_s": 6},
	}
	switch role {
	case "control":
		file["listen"] = map[string]string{"control": d.at(role, portControl)}
		file["data_dir"] = filepath.Join(folder, "data")
	case "entry":
		file["listen"] = map[string]string{"front": d.at(role, portCallers), "readiness": d.at(role, portReadiness)}
	case "agent":
		file["listen"] = map[string]string{"control": d.at(role, portControl)}
		file["app"], file["service"] = d.at(role, portEndpoint), platformService
	}
	return encode(file)
}

// putConfiguration stores a configuration, padded with spaces to at least a size.
func (d *deployment) putConfiguration(ctx context.Context, version, size int) error {
	content := encode(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "queue-1", "host": platformHost, "path_prefix": platformPrefix, "timeout_ms": 1500,
			"slo_ms": 500, "service": platformService, "attempts": 3, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": platformService}},
	})
	content = append(content, strings.Repeat(" ", max(0, size-len(content)))...)
	return d.post(ctx, "http://"+d.at("control", portControl)+"/Config.Put", content, "")
}

// runJob runs a job of one task.
func (d *deployment) runJob(ctx context.Context) error {
	d.jobs++
	job := encode(map[string]any{
		"best_effort": true, "spec": "s",
		"phases": []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 10}},
	})
	url := fmt.Sprintf("http://%s%s%016x", d.at("entry", portCallers), platformPrefix, 1<<32+d.jobs)
	return d.post(ctx, url, job, `"completed"`)
}

// post sends a body over a new connection. It returns an error unless the response has
// status 200 and contains a text.
func (d *deployment) post(ctx context.Context, url string, body []byte, want string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Host = platformHost
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || !strings.Contains(string(content), want) {
		return fmt.Errorf("status %d: %.200s", response.StatusCode, content)
	}
	return nil
}

// connect logs the peaks before the crowd, and connects it.
func (d *deployment) connect(c crowd) {
	d.Helper()
	logPeaks(d.T, d.processes)
	c.connect(d.T)
}

// finish checks that a job and a new configuration are answered while the crowd is
// connected, and then all processes.
func (d *deployment) finish() {
	d.Helper()
	retry(d.T, "answer an ordinary job beside the crowd", answerTimeout, d.runJob)
	retry(d.T, "store a configuration beside the crowd", answerTimeout, func(ctx context.Context) error {
		return d.putConfiguration(ctx, 3, 0)
	})
	for _, process := range d.processes {
		process.check(d.T)
	}
}
