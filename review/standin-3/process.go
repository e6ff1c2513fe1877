package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file.
const program = "target/zinniasill-platform"

const (
	// restartDelay is the usual restartAfter.
	restartDelay = 500 * time.Millisecond
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 20 * time.Millisecond
)

// process is one role on one machine.
type process struct {
	name, role string
	node       *machine
	record     *record
	logPath    string
	// restartAfter is the time after which the platform restarts the process when it has ended.
	restartAfter time.Duration

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopped  bool
	ended    []string
	launched int
	peak     int64 // highest resident memory in bytes
	watchers sync.WaitGroup
}

// start starts the process, and a watcher that plays the platform's part: it kills the process
// when it uses more memory than its limit and restarts it after it has ended.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = false
	return p.launch()
}

// restart starts the process again unless it was stopped meanwhile.
func (p *process) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	if err := p.launch(); err != nil {
		p.record.printf("restart %s: %v", p.name, err)
	}
}

// launch starts the program. The caller holds the mutex.
func (p *process) launch() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ZINNIASILL_SETTINGS=" + p.node.settingsPath}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	p.launched++
	p.record.printf("started %s, process %d", p.name, cmd.Process.Pid)
	done := make(chan struct{})
	p.watchers.Add(2)
	go p.watchMemory(cmd.Process.Pid, done)
	go p.watchEnd(cmd, done)
	return nil
}

// watchEnd waits for the end of the process and restarts it unless it was stopped.
func (p *process) watchEnd(cmd *exec.Cmd, done chan struct{}) {
	defer p.watchers.Done()
	err := cmd.Wait()
	close(done)
	p.mu.Lock()
	stopped := p.stopped
	if !stopped {
		p.ended = append(p.ended, fmt.Sprint(err))
	}
	p.mu.Unlock()
	p.record.printf("ended %s, process %d: %v", p.name, cmd.Process.Pid, err)
	if stopped {
		return
	}
	time.Sleep(p.restartAfter)
	p.restart()
}

// watchMemory kills the process when its resident memory exceeds the limit of its settings.
func (p *process) watchMemory(pid int, done chan struct{}) {
	defer p.watchers.Done()
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		used := residentBytes(pid)
		p.mu.Lock()
		p.peak = max(p.peak, used)
		p.mu.Unlock()
		if limit := p.node.memoryMB << 20; used > limit {
			p.record.printf("%s uses %d MB, limit %d MB: killed by the platform", p.name, used>>20, p.node.memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// residentBytes returns the resident memory of a process without file mappings, 0 if it has
// ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kib, err := strconv.ParseInt(string(bytes.Fields(rest)[0]), 10, 64)
			if err != nil {
				return 0
			}
			return kib << 10
		}
	}
	return 0
}

// peakMB returns the highest memory of the process so far.
func (p *process) peakMB() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak >> 20
}

// ends returns how often the process has ended although nobody stopped it.
func (p *process) ends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.ended)
}

// launches returns how often the program was started.
func (p *process) launches() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.launched
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.record.printf("signal to %s: %v", p.name, sig)
		_ = p.cmd.Process.Signal(sig)
	}
}

// kill ends the process for good, until start is called again.
func (p *process) kill() {
	p.mu.Lock()
	p.stopped = true
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGKILL)
	}
	p.watchers.Wait()
}
