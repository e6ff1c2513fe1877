package crowdtest_test

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// settleInterval is the time between two looks at the received data that a process has
	// not read, settleLooks the number of equal looks after which it counts as settled: a
	// process may stop reading from some connections.
	settleInterval = 50 * time.Millisecond
	settleLooks    = 20
	// settleTimeout bounds the wait.
	settleTimeout = 20 * time.Second
)

// awaitRead waits until a process has read what a crowd has sent to an address, or reads no
// more. Without it a test could end while most of the bodies are in the buffers of the
// kernel.
func awaitRead(t *testing.T, address string) {
	t.Helper()
	deadline := time.Now().Add(settleTimeout)
	last, equal := -1, 0
	for time.Now().Before(deadline) && equal < settleLooks {
		unread := unreadBytes(t, address)
		if unread == 0 {
			return
		}
		if unread == last {
			equal++
		} else {
			last, equal = unread, 0
		}
		time.Sleep(settleInterval)
	}
	t.Logf("%d bytes of the crowd are not read", last)
}

// unreadBytes returns the number of bytes received on the connections to an address that the
// process has not read.
func unreadBytes(t *testing.T, address string) int {
	t.Helper()
	local := netip.MustParseAddrPort(address)
	ip := local.Addr().As4()
	name := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], local.Port())
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	sum := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != name || fields[3] != "01" { // 01 is ESTABLISHED
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		unread, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			t.Fatalf("line %q of the table of connections: %v", line, err)
		}
		sum += int(unread)
	}
	return sum
}
