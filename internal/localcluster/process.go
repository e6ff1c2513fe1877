package localcluster

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
)

// Process is a process of the cluster that can be stopped and restarted with the same
// arguments.
type Process struct {
	Name string
	// Metrics and HTTP are the host:port addresses of its metrics and HTTP listeners.
	Metrics, HTTP string

	binary string
	args   []string
	log    *syncBuffer

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// syncBuffer is a buffer for the log of a process that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Start starts the process and returns without waiting until it is ready.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout = p.log
	cmd.Stderr = p.log
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.Name)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cmd.Wait() // the exit state is in cmd.ProcessState
	}()
	p.cmd = cmd
	p.done = done
	return nil
}

// Signal sends a signal to the process if it was started. Errors are ignored.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(signal)
	}
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Done()
}

// Done returns a channel that is closed when the process has exited, or nil if it was
// never started.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// ExitCode returns the exit code of a process that has exited.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// PID returns the process ID.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Terminate sends SIGTERM to the process and waits until it has exited. It returns an
// error if ctx ends first.
func (p *Process) Terminate(ctx context.Context) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Done():
		return nil
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "wait for %s to stop", p.Name)
	}
}

// Log returns the output of the process so far, including that before a restart.
func (p *Process) Log() string {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return p.log.buf.String()
}

// Revision returns the configuration revision that an entry or agent has applied, or 0
// if it does not answer.
func (p *Process) Revision(ctx context.Context) zinniasill.Revision {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Metrics+"/metrics", nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if strings.HasSuffix(name, "catalog_revision") {
			number, _ := strconv.ParseFloat(value, 64)
			return zinniasill.Revision(number)
		}
	}
	return 0
}

// Poll calls check periodically until it returns true. It returns an error that names
// what if ctx ends first.
func Poll(ctx context.Context, what string, check func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !check() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "wait for %s", what)
		}
	}
	return nil
}

const pollInterval = 20 * time.Millisecond

func removeAll(path string) error {
	return eris.Wrapf(os.RemoveAll(path), "remove %s", path)
}
