package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestUnusedConns guards against a graceful stop that waits for connections opened in
// advance by a client, and against one that aborts a request in progress when it closes
// such connections.
func TestUnusedConns(t *testing.T) {
	began := make(chan struct{})
	answer := make(chan struct{})
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(began)
		<-answer
	})
	stub := httptest.NewUnstartedServer(handler)
	unused := trackUnused(stub.Config)
	// Start replaces ConnState, so the listener is served directly.
	go func() { _ = stub.Config.Serve(stub.Listener) }()
	defer func() { _ = stub.Config.Close() }()
	idle := dial(t, stub.Listener.Addr())
	busy := dial(t, stub.Listener.Addr())
	if _, err := io.WriteString(busy, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	// Connections are accepted in order, so idle is tracked once busy is served.
	<-began
	unused.close()
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Fatal("unused connection is still open")
	}
	close(answer)
	response, err := http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil {
		t.Fatalf("request in progress: %v", err)
	}
	_ = response.Body.Close()
}

func dial(t *testing.T, address net.Addr) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
