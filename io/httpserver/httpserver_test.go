package httpserver_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"zinniasill"
	"zinniasill/core/budget"
	"zinniasill/io/daemon"
	"zinniasill/io/httpserver"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// maxBody is the limit of a body in these tests.
const maxBody = 1 << 20

// counters counts by name and reason.
type counters struct {
	mu    sync.Mutex
	count map[string]int
}

func (c *counters) Inc(name string, reason zinniasill.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[name+"/"+string(reason)]++
}

func (c *counters) get(name string, reason zinniasill.Reason) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count[name+"/"+string(reason)]
}

// fixture is a server on a loopback address. POST responds with the size of the body.
type fixture struct {
	*testing.T
	budget      *budget.Budget
	connections *httpserver.Connections
	counters    *counters
	address     string
	// entered receives a value for each request to /wait, which is answered once release is
	// closed.
	entered chan struct{}
	release chan struct{}
}

func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/panic":
		panic(http.ErrAbortHandler)
	case "/not-found":
		w.WriteHeader(http.StatusNotFound)
		return
	case "/wait":
		f.entered <- struct{}{}
		<-f.release
	case "/response":
		if err := httpserver.ReserveResponse(w, r, maxBody); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(make([]byte, 64<<20))
		return
	}
	data, err := httpserver.ReadBody(w, r, maxBody)
	var refusal *budget.ExhaustedError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &refusal):
		httpserver.WriteUnavailable(w, refusal.RetryAfter)
	case errors.As(err, &tooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		_, _ = fmt.Fprint(w, len(data))
	}
}

// start starts a server with a budget and a number of connections.
func start(t *testing.T, memory int64, connections int) *fixture {
	t.Helper()
	b := budget.New(budget.Config{Limit: memory, LargestRequest: httpserver.BodyBytes(maxBody)})
	count := &counters{count: map[string]int{}}
	f := &fixture{
		T: t, budget: b, counters: count, entered: make(chan struct{}), release: make(chan struct{}),
		connections: httpserver.NewConnections(httpserver.ConnectionsConfig{
			Limit: connections, SocketBuffer: 64 << 10, Budget: b, Clock: daemon.SystemClock{}, Counters: count,
		}),
	}
	server := httpserver.New(httpserver.Config{
		Handler: f, Class: budget.Callers, Budget: b, Clock: daemon.SystemClock{}, Counters: count,
		HeaderTimeout: time.Minute, BodyTimeout: time.Minute, IdleTimeout: time.Minute,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	ticks := f.connections.Start(ctx)
	served := make(chan error, 1)
	go func() { served <- server.Serve(f.connections.Listen(listener, budget.Callers)) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
		cancel()
		<-ticks
	})
	return f
}

// client is one connection.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

// dial opens a connection from a loopback address, 127.0.0.host.
func (f *fixture) dial(host int) *client {
	f.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(host))}}
	source, err := dialer.Dial("tcp", f.address)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = source.Close() })
	return &client{Conn: source, t: f.T, reader: bufio.NewReader(source)}
}

// send writes text. An error is no failure: the server may have closed the connection.
func (c *client) send(text string) *client {
	_, _ = io.WriteString(c, text)
	return c
}

// status reads a response and returns its status and body. It returns 0 if the server closed the
// connection.
func (c *client) status() (int, string) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err.Error()
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Error(err)
	}
	_ = response.Body.Close()
	return response.StatusCode, string(body)
}

// want reads a response and compares its status.
func (c *client) want(status int) {
	c.t.Helper()
	if got, body := c.status(); got != status {
		c.t.Errorf("status %d (%s), want %d", got, body, status)
	}
}

// post returns a request with a body of which the last bytes are left out.
func post(size, without int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-without))
}

const (
	get  = "GET / HTTP/1.1\r\nHost: entry\r\n\r\n"
	wait = "GET /wait HTTP/1.1\r\nHost: entry\r\n\r\n"
)

// wantUsed waits until the budget is used as wanted.
func (f *fixture) wantUsed(matches func(int64) bool) {
	f.Helper()
	f.eventually("bytes in use", func() bool { return matches(f.budget.Used(budget.Callers)) })
}

// eventually waits for a condition. Its limit only ends a test that hangs.
func (f *fixture) eventually(what string, condition func() bool) {
	f.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.Fatalf("%s: %d bytes, %d connections", what, f.budget.Used(budget.Callers), f.connections.Open(budget.Callers))
}

func none(used int64) bool { return used == 0 }

// TestBodies guards against a body that is changed by reading it in parts, or that is read
// beyond its limit.
func TestBodies(t *testing.T) {
	f := start(t, 16<<20, 100)
	for _, size := range []int{0, 1, 4095, 4096, 4097, 12287, 12288, 100_000, maxBody, maxBody + 1} {
		for _, chunked := range []bool{false, true} {
			want := http.StatusOK
			if size > maxBody {
				want = http.StatusRequestEntityTooLarge
			}
			var body io.Reader = bytes.NewReader(make([]byte, size))
			if chunked {
				body = io.MultiReader(body)
			}
			response, err := http.Post("http://"+f.address, "", body)
			if err != nil {
				t.Fatal(err)
			}
			data, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode != want || want == http.StatusOK && string(data) != fmt.Sprint(size) {
				t.Errorf("%d bytes, chunked %t: status %d, body %s", size, chunked, response.StatusCode, data)
			}
		}
	}
	f.wantUsed(none)
	http.DefaultClient.CloseIdleConnections()
}

// TestUnfinishedBodies guards against a crowd of bodies that stop just short of their end and
// take more memory than the budget, keep out small requests, or stay for good once another
// large request comes.
func TestUnfinishedBodies(t *testing.T) {
	const memory = 8 << 20
	f := start(t, memory, 200)
	var crowd []*client
	for i := range 30 {
		crowd = append(crowd, f.dial(i%4+1).send(post(maxBody, 1)))
	}
	f.eventually("refusals", func() bool {
		return f.counters.get(httpserver.CounterRefused, "client-memory")+f.counters.get(httpserver.CounterRefused, "memory") > 0
	})
	f.wantUsed(func(used int64) bool { return used > memory/4 && used < memory })
	f.dial(5).send(post(1000, 0)).want(http.StatusOK)
	f.eventually("a large request", func() bool {
		c := f.dial(6).send(post(maxBody, 0))
		status, _ := c.status()
		_ = c.Close()
		return status == http.StatusOK
	})
	if f.counters.get(httpserver.CounterRefused, "stalled") == 0 {
		t.Error("no stalled body was closed")
	}
	for _, c := range crowd {
		_ = c.Close()
	}
	f.wantUsed(none)
	f.eventually("connections", func() bool { return f.connections.Open(budget.Callers) <= 4 })
}

// TestRefusal guards against a refusal that the client does not get, because it is still
// sending when the connection is closed or sends nothing more.
func TestRefusal(t *testing.T) {
	f := start(t, 256<<10, 100)
	f.dial(1).send(post(maxBody, 0)).want(http.StatusServiceUnavailable)
	f.dial(1).send(post(maxBody, maxBody/2)).want(http.StatusServiceUnavailable)
	f.wantUsed(none)
}

// TestUnreadBody guards against a request that is refused without its body and is answered
// only once the body has arrived.
func TestUnreadBody(t *testing.T) {
	f := start(t, 1<<20, 100)
	c := f.dial(1)
	c.send(strings.Replace(post(1000, 0), "POST /", "POST /not-found", 1)).want(http.StatusNotFound)
	c.send(strings.Replace(post(1000, 1), "POST /", "POST /not-found", 1)).want(http.StatusNotFound)
	c.want(0)
	// The rest of bodies is no header: more than the budget may be read of it.
	var crowd []*client
	for range 20 {
		crowd = append(crowd, f.dial(1).send(strings.Replace(post(200_000, 1), "POST /", "POST /not-found", 1)))
	}
	for _, c := range crowd {
		c.want(http.StatusNotFound)
	}
}

// TestPanic guards against a handler that panics and keeps its bytes.
func TestPanic(t *testing.T) {
	f := start(t, 1<<20, 100)
	f.dial(1).send(strings.Replace(post(1000, 0), "POST /", "POST /panic", 1)).want(0)
	f.wantUsed(none)
	if f.counters.get(httpserver.CounterPanics, "") != 1 {
		t.Error("the panic is not counted")
	}
}

// TestIdleConnections guards against idle connections that keep out new ones, and against
// closing others than the one that has been idle longest.
func TestIdleConnections(t *testing.T) {
	f := start(t, 1<<20, 24) // 12 for callers, 10 for one address
	var idle []*client
	// The server notes that a connection is idle after the client has the response.
	wantIdle := func(count int) {
		f.eventually("idle connections", func() bool { return f.connections.Idle() == count })
	}
	for i := range 10 {
		c := f.dial(1).send(get)
		c.want(http.StatusOK)
		idle = append(idle, c)
		wantIdle(i + 1)
	}
	// The first becomes the one that was idle last.
	idle[0].send(get).want(http.StatusOK)
	wantIdle(10)
	f.dial(1).send(get).want(http.StatusOK)
	idle[1].want(0)
	idle[0].send(get).want(http.StatusOK)
}

// TestBusyConnections guards against one address that takes all connections, and against a
// limit that closes connections with a request in progress or loses those that wait.
func TestBusyConnections(t *testing.T) {
	f := start(t, 1<<20, 24) // 12 for callers, 10 for one address
	var busy []*client
	for i := range 12 {
		busy = append(busy, f.dial(i/10+1).send(wait))
		<-f.entered
	}
	f.dial(1).send(get).want(0)
	if f.counters.get(httpserver.CounterClosed, "client-connections") != 1 {
		t.Error("the connection above the limit of its address is not counted")
	}
	waiting := f.dial(3).send(get)
	close(f.release)
	waiting.want(http.StatusOK)
	for _, c := range busy {
		c.want(http.StatusOK)
	}
}

// TestHeaders guards against headers of many short lines, which need many times their size,
// and which never end.
func TestHeaders(t *testing.T) {
	f := start(t, 256<<10, 100)
	for range 8 {
		f.dial(1).send("GET / HTTP/1.1\r\nHost: entry\r\n" + strings.Repeat("a:\r\n", 1500))
	}
	f.eventually("closed", func() bool { return f.counters.get(httpserver.CounterClosed, "header-memory") > 0 })
	f.wantUsed(func(used int64) bool { return used < 256<<10 })
}

// TestSlowReader guards against a client that reads no response and holds its memory while
// others need it.
func TestSlowReader(t *testing.T) {
	f := start(t, 6<<20, 100) // one large response or body at a time
	slow := f.dial(1).send("GET /response HTTP/1.1\r\nHost: entry\r\n\r\n")
	f.wantUsed(func(used int64) bool { return used > maxBody })
	f.eventually("a large request", func() bool {
		c := f.dial(1).send(post(maxBody, 0))
		status, _ := c.status()
		_ = c.Close()
		return status == http.StatusOK
	})
	_, _ = io.Copy(io.Discard, slow)
	f.wantUsed(none)
}
