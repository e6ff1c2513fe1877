package crowdtest_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// sources is the number of client addresses of a crowd. Its members share the bound of
	// a client, but not one bound alone.
	sources = 8
	// dialTimeout and sendTimeout end the part of a member whose process does not accept or
	// read.
	dialTimeout = 5 * time.Second
	sendTimeout = 20 * time.Second
	// withheld is the number of bytes at the end of a body that are not sent.
	withheld = 2
	// piece is the size in bytes of the parts of a body that is sent piece by piece, and of
	// the writes of chunks.
	piece = 16 << 10
	// receiveBuffer is the size in bytes of the receive buffer of a slow reader.
	receiveBuffer = 4 << 10
)

// crowd is a number of clients that connect at once, send, and stay connected.
type crowd struct {
	address string
	members int
	// send sends what one member sends.
	send func(member int, conn net.Conn) error
}

// connect connects all members and returns when each has sent its part or failed to, and the process
// has read it or reads no more. The
// connections stay open until the end of the test, or until the process closes them.
func (c crowd) connect(t *testing.T) {
	t.Helper()
	var sent atomic.Int32
	var wait sync.WaitGroup
	conns := make([]net.Conn, c.members)
	for i := range conns {
		wait.Go(func() {
			var ok bool
			if conns[i], ok = c.join(i); ok {
				sent.Add(1)
			}
		})
	}
	wait.Wait()
	t.Cleanup(func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	})
	t.Logf("crowd of %d: %d have sent their part", c.members, sent.Load())
	awaitRead(t, c.address)
}

// join connects one member. The connection is nil if it was refused; ok reports whether the
// member has sent all it had to.
func (c crowd) join(member int) (conn net.Conn, ok bool) {
	dialer := net.Dialer{
		Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+member%sources))},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		},
	}
	conn, err := dialer.DialContext(context.Background(), "tcp", c.address)
	if err != nil {
		return nil, false
	}
	_ = conn.SetDeadline(time.Now().Add(sendTimeout))
	return conn, c.send(member, conn) == nil
}

// request is the head of an HTTP request. A %d in the path stands for the member.
type request struct {
	method, path, host string
}

// head returns the head for a member, with a header for the body.
func (r request) head(member int, bodyHeader string) []byte {
	path := r.path
	if strings.Contains(path, "%") {
		path = fmt.Sprintf(path, member)
	}
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Idempotency-Key: crowd-%d\r\n%s\r\n", r.method, path, r.host, member, bodyHeader)
}

// sendLength returns a send function for a body by Content-Length, sent in parts of a size up
// to the last withheld bytes.
func sendLength(r request, body []byte, part int) func(int, net.Conn) error {
	return func(member int, conn net.Conn) error {
		if _, err := conn.Write(r.head(member, fmt.Sprintf("Content-Length: %d\r\n", len(body)))); err != nil {
			return err
		}
		return writeParts(conn, body[:len(body)-withheld], part)
	}
}

// sendWhole returns a send function for a whole body. It waits for the response.
func sendWhole(r request, body []byte) func(int, net.Conn) error {
	return func(member int, conn net.Conn) error {
		if _, err := conn.Write(r.head(member, fmt.Sprintf("Content-Length: %d\r\n", len(body)))); err != nil {
			return err
		}
		if err := writeParts(conn, body, len(body)); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, receiveBuffer))
		return err
	}
}

// sendChunks returns a send function for a body in chunks of a size, without the last chunk.
func sendChunks(r request, body []byte, chunk int) func(int, net.Conn) error {
	var encoded bytes.Buffer
	for rest := body; len(rest) >= chunk; rest = rest[chunk:] {
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", chunk, rest[:chunk])
	}
	return func(member int, conn net.Conn) error {
		if _, err := conn.Write(r.head(member, "Transfer-Encoding: chunked\r\n")); err != nil {
			return err
		}
		return writeParts(conn, encoded.Bytes(), piece)
	}
}

func writeParts(conn net.Conn, data []byte, part int) error {
	for len(data) > 0 {
		n := min(part, len(data))
		if _, err := conn.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// sendAndIdle returns a send function for a request without a body, whose response is read.
func sendAndIdle(r request) func(int, net.Conn) error {
	return func(member int, conn net.Conn) error {
		if _, err := conn.Write(r.head(member, "")); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, receiveBuffer))
		return err
	}
}

// sendAndIgnore returns a send function for a request without a body, of whose response only
// the first byte is read.
func sendAndIgnore(r request) func(int, net.Conn) error {
	return func(member int, conn net.Conn) error {
		if _, err := conn.Write(r.head(member, "")); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, 1))
		return err
	}
}

// padded returns a body of a size that begins with a prefix and ends with a suffix.
func padded(prefix, suffix string, size int) []byte {
	return []byte(prefix + strings.Repeat("A", size-len(prefix)-len(suffix)) + suffix)
}

// repeated returns a body of about a size that repeats an element of a JSON array.
func repeated(prefix, element, suffix string, size int) []byte {
	count := (size - len(prefix) - len(suffix)) / (len(element) + 1)
	return []byte(prefix + strings.Repeat(element+",", count-1) + element + suffix)
}

// helloPart is the size in bytes of the part of a hello that strangers send.
const helloPart = 32 << 10

// sendUnfinishedHello sends the beginning of the first packet of a link, which announces more
// bytes than follow.
func sendUnfinishedHello(_ int, conn net.Conn) error {
	// A drpc frame: an invocation, stream 1, message 1, the length 65,000 as a varint.
	packet := append([]byte{0x03, 0x01, 0x01, 0xe8, 0xfb, 0x03}, make([]byte, helloPart)...)
	_, err := conn.Write(packet)
	return err
}
