// Package proctest tests whole clusters of real processes on loopback while
// processes are killed, frozen and cut off. It has only tests; run it with
//
//	go test ./internal/proctest
package proctest
