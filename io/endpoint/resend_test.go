package endpoint_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"zinniasill"
)

// countingServer is a test server that counts the connections opened to it.
type countingServer struct {
	*httptest.Server
	opened atomic.Int32
}

func newCountingServer(handler http.HandlerFunc) *countingServer {
	c := &countingServer{Server: httptest.NewUnstartedServer(handler)}
	c.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			c.opened.Add(1)
		}
	}
	c.Start()
	return c
}

// abortingServer is an endpoint that answers the first request of each connection, and
// aborts the second one in the way that abort implements.
type abortingServer struct {
	listener net.Listener
	abort    func(conn *net.TCPConn, from *bufio.Reader)
	conns    sync.WaitGroup
	// stopping is closed at the end of the test. It closes connections that a resent
	// request has left open.
	stopping chan struct{}
	// arrivals counts the requests of which at least one byte was received.
	arrivals atomic.Int32
}

func newAbortingServer(t *testing.T, abort func(conn *net.TCPConn, from *bufio.Reader)) *abortingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &abortingServer{listener: listener, abort: abort, stopping: make(chan struct{})}
	c.conns.Go(c.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		close(c.stopping)
		c.conns.Wait()
	})
	return c
}

func (c *abortingServer) url() string { return "http://" + c.listener.Addr().String() }

func (c *abortingServer) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		ended := make(chan struct{})
		c.conns.Go(func() {
			defer close(ended)
			c.serve(conn.(*net.TCPConn))
		})
		c.conns.Go(func() {
			select {
			case <-c.stopping:
				_ = conn.Close()
			case <-ended:
			}
		})
	}
}

func (c *abortingServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	from := bufio.NewReader(conn)
	if _, err := from.Peek(1); err != nil {
		return
	}
	c.arrivals.Add(1)
	request, err := http.ReadRequest(from)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTask-Id: "+request.Header.Get("Task-Id")+"\r\nContent-Length: 4\r\n\r\ndone")
	if _, err := from.Peek(1); err != nil {
		return
	}
	c.arrivals.Add(1)
	c.abort(conn, from)
}

// abortModes are the ways to abort the second request of a connection.
var abortModes = map[string]func(conn *net.TCPConn, from *bufio.Reader){
	"closed on the first byte": func(*net.TCPConn, *bufio.Reader) {},
	"reset on the first byte":  func(conn *net.TCPConn, _ *bufio.Reader) { _ = conn.SetLinger(0) },
	"closed after the headers": func(_ *net.TCPConn, from *bufio.Reader) { _, _ = http.ReadRequest(from) },
	"closed after the request": func(_ *net.TCPConn, from *bufio.Reader) { readAll(from) },
	"reset after the request": func(conn *net.TCPConn, from *bufio.Reader) {
		readAll(from)
		_ = conn.SetLinger(0)
	},
	"closed within the answer": func(conn *net.TCPConn, from *bufio.Reader) {
		readAll(from)
		_, _ = io.WriteString(conn, "HTTP/1.1 2")
	},
	"answered with status 408, an idle timeout": func(conn *net.TCPConn, from *bufio.Reader) {
		readAll(from)
		_, _ = io.WriteString(conn, "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	},
	"answered with an early hint only": func(conn *net.TCPConn, from *bufio.Reader) {
		readAll(from)
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
	},
}

func readAll(from *bufio.Reader) {
	if request, err := http.ReadRequest(from); err == nil {
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// TestNoResend guards against the transport starting a task twice: net/http resends some
// requests when a reused connection closes before the response.
func TestNoResend(t *testing.T) {
	payloads := map[string]string{"": "empty", "payload": "short", strings.Repeat("x", 64<<10): "largest"}
	for name, abort := range abortModes {
		for payload, size := range payloads {
			t.Run(name+"/"+size, func(t *testing.T) {
				c := newAbortingServer(t, abort)
				f := newFixture()
				f.announce(t, announcement(c.url()))
				if outcome := f.Run(context.Background(), task("warm-up", payload)); !outcome.OK {
					t.Fatalf("the first run has outcome %+v", outcome)
				}
				outcome := f.Run(context.Background(), task("x", payload))
				if outcome.OK || outcome.Ran != zinniasill.RanUnknown {
					t.Errorf("the aborted run has outcome %+v", outcome)
				}
				if sent := c.arrivals.Load() - 1; sent != 1 {
					t.Errorf("the request was sent %d times", sent)
				}
			})
		}
	}
}

// TestAbortProvokesResend proves that TestNoResend can fail: its server makes net/http
// resend a request that is considered idempotent.
func TestAbortProvokesResend(t *testing.T) {
	c := newAbortingServer(t, abortModes["closed after the request"])
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range 2 {
		request, err := http.NewRequest(http.MethodPost, c.url()+"/run", bytes.NewReader([]byte("payload")))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Idempotency-Key", "x")
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if got := c.arrivals.Load(); got != 3 {
		t.Errorf("%d requests received, want 3: two and one resent", got)
	}
}

// TestIdleClose guards against a resend when the endpoint closes an idle
// connection while the next request is written to it.
func TestIdleClose(t *testing.T) {
	const runs = 300
	var mu sync.Mutex
	arrived := map[string]int{}
	server := newHalfCloser(t, func(id string) {
		mu.Lock()
		defer mu.Unlock()
		arrived[id]++
	})
	f := newFixture()
	f.announce(t, announcement("http://"+server.listener.Addr().String()))
	answered := map[string]bool{}
	for run := range runs {
		client := strconv.Itoa(run)
		answered["team/"+client+"/3"] = f.run(client).OK
	}
	server.stop()
	for id, ok := range answered {
		if arrived[id] > 1 || ok && arrived[id] != 1 {
			t.Errorf("%s was received %d times, answered: %t", id, arrived[id], ok)
		}
	}
}

// halfCloser closes the write side of each connection after the first response and
// continues to read requests.
type halfCloser struct {
	listener net.Listener
	conns    sync.WaitGroup
	arrived  func(id string)
}

func newHalfCloser(t *testing.T, arrived func(id string)) *halfCloser {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &halfCloser{listener: listener, arrived: arrived}
	h.conns.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			h.conns.Go(func() { h.serve(conn.(*net.TCPConn)) })
		}
	})
	t.Cleanup(h.stop)
	return h
}

func (h *halfCloser) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	from := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		id := request.Header.Get("Task-Id")
		h.arrived(id)
		_, _ = io.Copy(io.Discard, request.Body)
		if first {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTask-Id: "+id+"\r\nContent-Length: 4\r\n\r\ndone")
			_ = conn.CloseWrite()
		}
	}
}

func (h *halfCloser) stop() {
	_ = h.listener.Close()
	h.conns.Wait()
}

// TestNoRedirect guards against a redirect being followed, which would start the task a
// second time.
func TestNoRedirect(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		var runs atomic.Int32
		f := serve(t, func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			w.Header().Set("Task-Id", r.Header.Get("Task-Id"))
			http.Redirect(w, r, "/elsewhere", status)
		})
		outcome := f.run("x")
		if outcome.OK || outcome.Ran != zinniasill.DidRun || runs.Load() != 1 {
			t.Errorf("status %d: %d requests, outcome %+v", status, runs.Load(), outcome)
		}
	}
}
