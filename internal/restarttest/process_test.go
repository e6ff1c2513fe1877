package restarttest

import (
	"bufio"
	"encoding/json"
	"net"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// line is one log line of a process and the time at which it was read.
type line struct {
	at     time.Time
	fields map[string]any
}

func (l line) text(field string) string {
	value, _ := l.fields[field].(string)
	return value
}

// process is a process of the deployment, which can be restarted.
type process struct {
	name, role, settings string
	// ip is the process's address. unblock ends the outage of its machine.
	ip      string
	unblock func()

	mu    sync.Mutex
	cmd   *exec.Cmd
	lines []line
	done  chan struct{}
}

// start starts the process and collects its log lines.
func (p *process) start() error {
	cmd := exec.Command(binary, "--settings="+p.settings, p.role)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		defer close(done)
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			next := line{at: time.Now(), fields: map[string]any{}}
			if json.Unmarshal(scanner.Bytes(), &next.fields) == nil {
				p.mu.Lock()
				p.lines = append(p.lines, next)
				p.mu.Unlock()
			}
		}
		_ = cmd.Wait() // It was killed.
	}()
	return nil
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-done
	}
}

// first returns the first line after a time that matches.
func (p *process) first(after time.Time, match func(line) bool) (line, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lines {
		if l.at.After(after) && match(l) {
			return l, true
		}
	}
	return line{}, false
}

// count returns the number of lines after a time that match.
func (p *process) count(after time.Time, match func(line) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, l := range p.lines {
		if l.at.After(after) && match(l) {
			count++
		}
	}
	return count
}

// message returns a function that matches the lines with a message.
func message(text string) func(line) bool {
	return func(l line) bool { return l.text("msg") == text }
}

// blockAddress makes a TCP address accept no connection and refuse none, like that of a
// machine that is switched off, until the returned function is called.
func blockAddress(address string) (unblock func(), err error) {
	host, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	closeListener := func() {
		// A process that is being started has a copy of the listener until it runs.
		syscall.ForkLock.RLock()
		defer syscall.ForkLock.RUnlock()
		_ = syscall.Close(fd)
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		closeListener()
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: host.Port, Addr: [4]byte(host.IP.To4())}); err != nil {
		closeListener()
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		closeListener()
		return nil, err
	}
	// One connection that is not accepted fills the backlog. Later ones get no answer.
	filler, err := net.Dial("tcp4", address)
	if err != nil {
		closeListener()
		return nil, err
	}
	return func() {
		closeListener()
		_ = filler.Close()
	}, nil
}
