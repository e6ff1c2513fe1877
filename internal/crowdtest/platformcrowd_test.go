package crowdtest_test

import (
	"context"
	"testing"
)

// The crowds and limits of the platform's interfaces.
const (
	platformMemoryMiB = 80
	// platformJob is the size in bytes of a body just below the maximum size of a job,
	// platformDocument of one just below that of a configuration or a heartbeat.
	platformJob       = 255 << 10
	platformJobs      = 400
	platformDocument  = 4<<20 - 1<<10
	platformDocuments = 48
	// expandedPlatformJobs and expandedDocuments are the numbers of members that send a
	// body whose decoded form needs many times its size, expandedDocument is the size in
	// bytes of such a configuration.
	expandedPlatformJobs = 80
	expandedDocuments    = 8
	expandedDocument     = 256 << 10
	documentReaders      = 48
	// platformDescriptors is RLIMIT_NOFILE and limits.max_fds beside idle connections.
	platformDescriptors = 320
	platformIdleConns   = 400
)

var (
	platformMemory = limits{memoryMiB: platformMemoryMiB, descriptors: defaultDescriptors}
	platformFiles  = limits{memoryMiB: platformMemoryMiB, descriptors: platformDescriptors}
	// platformSubmission, configuration and heartbeat are heads of requests to the roles.
	platformSubmission = request{method: "POST", path: platformPrefix + "%016x", host: platformHost}
	configuration      = request{method: "POST", path: "/Config.Put", host: "control"}
	heartbeat          = request{method: "POST", path: "/Executors.Heartbeat/" + endpointID, host: "agent"}
)

func largePlatformJob() []byte {
	return padded(`{"best_effort":true,"spec":"`, `"}`, platformJob)
}

// TestCrowdPlatformLargeBodies guards against an entry that holds any number of bodies in memory
// whose senders stop just short of their end.
func TestCrowdPlatformLargeBodies(t *testing.T) {
	d := startDeployment(t, platformMemory)
	d.connect(crowd{
		address: d.at("entry", portCallers), members: platformJobs, send: sendLength(platformSubmission, largePlatformJob(), piece),
	})
	d.finish()
}

// TestCrowdPlatformSmallChunks guards against the same with bodies in chunks of a few bytes.
func TestCrowdPlatformSmallChunks(t *testing.T) {
	d := startDeployment(t, platformMemory)
	d.connect(crowd{
		address: d.at("entry", portCallers), members: platformJobs, send: sendChunks(platformSubmission, largePlatformJob(), smallChunk),
	})
	d.finish()
}

// TestCrowdPlatformExpandedJobs guards against jobs whose decoded form needs many times the
// memory of their bodies.
func TestCrowdPlatformExpandedJobs(t *testing.T) {
	d := startDeployment(t, platformMemory)
	body := repeated(`{"best_effort":true,"spec":"s","phases":[`, "{}", "]}", platformJob)
	d.connect(crowd{
		address: d.at("entry", portCallers), members: expandedPlatformJobs, send: sendWhole(platformSubmission, body),
	})
	d.finish()
}

// TestCrowdPlatformIdleConnections guards against idle connections of callers that take all
// descriptors of an entry.
func TestCrowdPlatformIdleConnections(t *testing.T) {
	d := startDeployment(t, platformFiles)
	unknown := request{method: "GET", path: "/no-such-queue", host: platformHost}
	d.connect(crowd{address: d.at("entry", portCallers), members: platformIdleConns, send: sendAndIdle(unknown)})
	d.finish()
}

// TestCrowdPlatformLargeHeartbeats guards against an agent that holds any number of heartbeats in
// memory whose senders stop just short of their end.
func TestCrowdPlatformLargeHeartbeats(t *testing.T) {
	d := startDeployment(t, platformMemory)
	body := padded(`{"service":"`, `"}`, platformDocument)
	d.connect(crowd{address: d.at("agent", portControl), members: platformDocuments, send: sendLength(heartbeat, body, piece)})
	d.finish()
}

// TestCrowdPlatformLargeConfigurations guards against a control replica that holds any number of
// configurations in memory whose senders stop just short of their end.
func TestCrowdPlatformLargeConfigurations(t *testing.T) {
	d := startDeployment(t, platformMemory)
	body := padded(`{"version":2,"routes":[{"name":"`, `"}]}`, platformDocument)
	d.connect(crowd{
		address: d.at("control", portControl), members: platformDocuments, send: sendChunks(configuration, body, largeChunk),
	})
	d.finish()
}

// TestCrowdPlatformExpandedConfigurations guards against configurations whose decoded form needs
// many times the memory of their bodies.
func TestCrowdPlatformExpandedConfigurations(t *testing.T) {
	d := startDeployment(t, platformMemory)
	body := repeated(`{"version":2,"routes":[`, "{}", "]}", expandedDocument)
	d.connect(crowd{address: d.at("control", portControl), members: expandedDocuments, send: sendWhole(configuration, body)})
	d.finish()
}

// TestCrowdPlatformSlowReaders guards against a control replica that holds any number of copies of
// the configuration in memory that operators request and do not read.
func TestCrowdPlatformSlowReaders(t *testing.T) {
	d := startDeployment(t, platformMemory)
	retry(t, "store a large configuration", startTimeout, func(ctx context.Context) error {
		return d.putConfiguration(ctx, 2, platformDocument)
	})
	read := request{method: "GET", path: "/Config.Get", host: "control"}
	d.connect(crowd{address: d.at("control", portControl), members: documentReaders, send: sendAndIgnore(read)})
	d.finish()
}
