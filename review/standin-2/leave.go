package main

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// endsAnyway is how long after an unanswered notice an executor ends.
const endsAnyway = 2 * time.Second

// leave drains the executor and ends it, as the pages say. The answer to its notice is lost, so
// that it ends endsAnyway later.
func (e *executor) leave() error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.cluster.record.add("executor %s drains", e.id)
	if !e.pingOnce() {
		return errors.New("the draining was not acknowledged")
	}
	e.cluster.record.add("executor %s: its draining was acknowledged", e.id)
	time.Sleep(drainTime + 200*time.Millisecond)
	proxy, err := e.resettingProxy()
	if err != nil {
		return err
	}
	defer func() { _ = proxy.Close() }()
	e.register = proxy.Addr().String()
	e.mu.Lock()
	e.left = true
	e.mu.Unlock()
	status := e.call("/Executors.Leave/"+e.id, map[string]any{})
	e.cluster.record.add("executor %s: its notice was answered with %s", e.id, strconv.Itoa(status))
	if status != http.StatusOK {
		time.Sleep(endsAnyway)
	}
	e.shutDown("left")
	return nil
}

// resettingProxy returns a listener that passes one request on to the process beside the
// executor, and resets the channel when the answer comes.
func (e *executor) resettingProxy() (net.Listener, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(e.machine.ip, "0"))
	if err != nil {
		return nil, err
	}
	target := e.register
	go func() {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", target)
		if err != nil {
			_ = near.Close()
			return
		}
		go func() { _, _ = io.Copy(far, near) }()
		_, _ = far.Read(make([]byte, 1))
		e.cluster.record.add("the channel of executor %s is reset before its answer", e.id)
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = near.Close()
		_ = far.Close()
	}()
	return listener, nil
}
