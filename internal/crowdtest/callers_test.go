package crowdtest_test

import (
	"context"
	"strings"
	"testing"

	"zinniasill/internal/stubendpoint"
)

// The crowds and limits of the callers' interface of the product.
const (
	// callerMemoryMiB is the memory limit of an all-in-one process.
	callerMemoryMiB = 128
	// largeBody is the size in bytes of a body just below the maximum size of a job.
	largeBody = 23 << 19
	// largeBodies is the number of members that each send one large body.
	largeBodies = 40
	// smallChunk and largeChunk are sizes of chunks in bytes.
	smallChunk = 16
	largeChunk = 64 << 10
	// chunkedBody is the size in bytes of a body in small chunks, which cost the sender and
	// the process a multiple of their size.
	chunkedBody   = 4 << 20
	chunkedBodies = 60
	// expandedBody is the size in bytes of a body whose tasks need several times its size
	// when they are decoded.
	expandedBody   = 1 << 20
	expandedBodies = 24
	// outputTasks and outputBytes are the number and the size in bytes of the outputs of a
	// job whose answer slow readers request.
	outputTasks = 100
	outputBytes = 60 << 10
	slowReaders = 40
	// largestTasks and largestPayload are the number and the size in bytes of the payloads
	// of a job of the maximum size.
	largestTasks   = 128
	largestPayload = 65_000
	// idleDescriptors is RLIMIT_NOFILE beside idle connections.
	idleDescriptors = 128
	idleConns       = 200
)

var callerMemory = limits{memoryMiB: callerMemoryMiB, descriptors: defaultDescriptors}

// submission is the head of a job submission.
var submission = request{method: "POST", path: "/v1/jobs", host: "entry"}

// jobPrefix begins the body of a job with one task.
const jobPrefix = `{"profile":"` + profile + `","team":"tests","tasks":[{"payload":"`

func largeJob() []byte {
	return padded(jobPrefix, `"}]}`, largeBody)
}

// TestCrowdLargeBodies guards against a process that holds any number of large bodies in memory
// whose senders stop just short of their end.
func TestCrowdLargeBodies(t *testing.T) {
	p := startAllInOne(t, callerMemory)
	body := largeJob()
	p.connect(crowd{address: p.callers, members: largeBodies, send: sendLength(submission, body, len(body))})
	p.finish()
}

// TestCrowdLargeBodiesInPieces guards against the same with bodies that arrive piece by piece.
func TestCrowdLargeBodiesInPieces(t *testing.T) {
	p := startAllInOne(t, callerMemory)
	p.connect(crowd{address: p.callers, members: largeBodies, send: sendLength(submission, largeJob(), piece)})
	p.finish()
}

// TestCrowdLargeChunks guards against the same with bodies whose size is not announced.
func TestCrowdLargeChunks(t *testing.T) {
	p := startAllInOne(t, callerMemory)
	p.connect(crowd{address: p.callers, members: largeBodies, send: sendChunks(submission, largeJob(), largeChunk)})
	p.finish()
}

// TestCrowdSmallChunks guards against the same with chunks of a few bytes.
func TestCrowdSmallChunks(t *testing.T) {
	p := startAllInOne(t, callerMemory)
	body := padded(jobPrefix, `"}]}`, chunkedBody)
	p.connect(crowd{address: p.callers, members: chunkedBodies, send: sendChunks(submission, body, smallChunk)})
	p.finish()
}

// TestCrowdExpandedJobs guards against jobs whose decoded form needs many times the memory of
// their bodies.
func TestCrowdExpandedJobs(t *testing.T) {
	p := startAllInOne(t, callerMemory)
	body := repeated(`{"profile":"`+profile+`","team":"tests","tasks":[`, "{}", "]}", expandedBody)
	p.connect(crowd{address: p.callers, members: expandedBodies, send: sendWhole(submission, body)})
	p.finish()
}

// TestLargestJobAlone guards against limits that refuse a single job of the maximum size.
func TestLargestJobAlone(t *testing.T) {
	p := startAllInOne(t, callerMemory)
	tasks := make([]stubendpoint.Payload, largestTasks)
	for i := range tasks {
		tasks[i].ID = strings.Repeat(string(rune('a'+i%26)), largestPayload)
	}
	p.retry("run a job of the maximum size", startTimeout, func(ctx context.Context) error {
		_, err := p.submit(ctx, "largest", tasks...)
		return err
	})
	p.finish()
}

// TestCrowdSlowReaders guards against a process that holds any number of large answers in memory
// that their callers do not read.
func TestCrowdSlowReaders(t *testing.T) {
	p := startAllInOne(t, callerMemory)
	tasks := make([]stubendpoint.Payload, outputTasks)
	for i := range tasks {
		tasks[i].ID = strings.Repeat(string(rune('a'+i%26)), outputBytes)
	}
	p.retry("run a job with a large answer", startTimeout, func(ctx context.Context) error {
		_, err := p.submit(ctx, "large-answer", tasks...)
		return err
	})
	status := request{method: "GET", path: "/v1/jobs/large-answer?team=tests", host: "entry"}
	p.connect(crowd{address: p.callers, members: slowReaders, send: sendAndIgnore(status)})
	p.finish()
}

// TestCrowdIdleConnections guards against idle connections of callers that take all descriptors
// of a process.
func TestCrowdIdleConnections(t *testing.T) {
	p := startAllInOne(t, limits{memoryMiB: callerMemoryMiB, descriptors: idleDescriptors})
	epoch := request{method: "GET", path: "/v1/epoch", host: "entry"}
	p.connect(crowd{address: p.callers, members: idleConns, send: sendAndIdle(epoch)})
	p.finish()
}

// TestCrowdIdleScrapes guards against idle connections to the metrics interface that take all
// descriptors of a process.
func TestCrowdIdleScrapes(t *testing.T) {
	p := startAllInOne(t, limits{memoryMiB: callerMemoryMiB, descriptors: idleDescriptors})
	health := request{method: "GET", path: "/livez", host: "entry"}
	p.connect(crowd{address: p.metrics, members: idleConns, send: sendAndIdle(health)})
	p.finish()
}
