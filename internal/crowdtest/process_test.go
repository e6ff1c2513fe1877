package crowdtest_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// sampleInterval is the time between two counts of a process's open descriptors.
	sampleInterval = 5 * time.Millisecond
	// descriptorMargin is the number of descriptors that a process must leave free, so
	// that it can still open its own files and links.
	descriptorMargin = 8
	// defaultDescriptors is RLIMIT_NOFILE of processes in tests of memory.
	defaultDescriptors = 4096
	// logLines is the number of lines shown of the log of a process.
	logLines = 12
)

// limits are the limits of one process.
type limits struct {
	memoryMiB   int64
	descriptors int
}

// command describes a process to start.
type command struct {
	name, binary string
	args, env    []string
	limits       limits
}

// process is a process under test.
type process struct {
	name   string
	limits limits
	cmd    *exec.Cmd
	done   chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
	// peak is the highest number of open descriptors seen so far.
	peak int
}

// launch starts a process with a lowered RLIMIT_NOFILE. It is killed at the test's end.
func launch(t *testing.T, c command) *process {
	t.Helper()
	p := &process{name: c.name, limits: c.limits, done: make(chan struct{})}
	// The shell sets both limits, since the Go runtime raises the soft limit to the hard one.
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, c.limits.descriptors)
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", script, c.binary}, c.args...)...)
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, c.env...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", c.name, err)
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // the exit state is in cmd.ProcessState
	}()
	ctx, cancel := context.WithCancel(context.Background())
	sampled := p.countDescriptors(ctx)
	t.Cleanup(func() {
		cancel()
		<-sampled
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", p.name, p.logTail())
		}
	})
	return p
}

// Write implements io.Writer for the output of the process.
func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

// logTail returns the last lines of the log.
func (p *process) logTail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	lines := strings.Split(p.log.String(), "\n")
	return strings.Join(lines[max(0, len(lines)-logLines):], "\n")
}

// countDescriptors counts the open descriptors of the process until ctx ends. The returned
// channel is closed afterwards.
func (p *process) countDescriptors(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			p.sampleDescriptors()
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}()
	return done
}

func (p *process) sampleDescriptors() {
	entries, err := os.ReadDir(p.procPath("fd"))
	if err != nil {
		return // the process has exited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak = max(p.peak, len(entries))
}

func (p *process) procPath(file string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), file)
}

// peakMiB returns the peak of the resident memory in MiB.
func (p *process) peakMiB(t *testing.T) float64 {
	t.Helper()
	status, err := os.ReadFile(p.procPath("status"))
	if err != nil {
		t.Errorf("%s: read the status of the process: %v", p.name, err)
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.ParseFloat(strings.Fields(text)[0], 64)
			if err != nil {
				t.Errorf("%s: peak memory %q: %v", p.name, text, err)
			}
			return kib / 1024
		}
	}
	t.Errorf("%s: its status has no peak memory; it has exited", p.name)
	return 0
}

// check checks that the process is alive and has stayed within its limits, and logs the
// peaks.
func (p *process) check(t *testing.T) {
	t.Helper()
	select {
	case <-p.done:
		t.Errorf("%s has exited: %v", p.name, p.cmd.ProcessState)
		return
	default:
	}
	p.mu.Lock()
	descriptors := p.peak
	p.mu.Unlock()
	memory := p.peakMiB(t)
	t.Logf("%s: peak memory %.0f of %d MiB, peak of %d open descriptors of %d",
		p.name, memory, p.limits.memoryMiB, descriptors, p.limits.descriptors)
	if memory > float64(p.limits.memoryMiB) {
		t.Errorf("%s used %.0f MiB, the limit is %d MiB", p.name, memory, p.limits.memoryMiB)
	}
	if bound := p.limits.descriptors - descriptorMargin; descriptors > bound {
		t.Errorf("%s had %d open descriptors, want at most %d", p.name, descriptors, bound)
	}
}

// logPeaks logs the peak memory of processes before a crowd connects.
func logPeaks(t *testing.T, processes []*process) {
	t.Helper()
	for _, p := range processes {
		t.Logf("%s: peak memory %.0f MiB before the crowd", p.name, p.peakMiB(t))
	}
}
