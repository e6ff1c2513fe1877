// Package crowdtest tests real processes on loopback while a crowd of clients sends requests
// that are large, slow or never complete. It has only tests; run it with
//
//	go test ./internal/crowdtest
//
// The tests run one at a time and lower the limits of the processes, so that a small crowd
// reaches them. They check what does not depend on the speed of the machine: every process is
// alive, the peak of its resident memory and of its open descriptors stays under a bound, and
// an ordinary request is answered while the crowd is still connected.
package crowdtest
