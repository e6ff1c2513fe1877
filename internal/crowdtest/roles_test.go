package crowdtest_test

import (
	"testing"
)

// The crowds and limits of the separate roles of the product.
const (
	roleMemoryMiB = 128
	// announcementBody is the maximum size in bytes of an endpoint's announcement.
	announcementBody = 16 << 10
	strangers        = 200
)

var roleDescriptors = limits{memoryMiB: roleMemoryMiB, descriptors: idleDescriptors}

// TestCrowdEntryLargeBodies guards against an entry that holds any number of large bodies in
// memory.
func TestCrowdEntryLargeBodies(t *testing.T) {
	p := startRoles(t, limits{memoryMiB: roleMemoryMiB, descriptors: defaultDescriptors})
	p.connect(crowd{address: p.callers, members: largeBodies, send: sendLength(submission, largeJob(), piece)})
	p.finish()
}

// TestCrowdAgentUnfinishedAnnouncements guards against announcements that never end and that take
// all descriptors of an agent.
func TestCrowdAgentUnfinishedAnnouncements(t *testing.T) {
	p := startRoles(t, roleDescriptors)
	announce := request{method: "PUT", path: "/v1/endpoint", host: "agent"}
	body := padded(`{"url":"`, `"}`, announcementBody)
	p.connect(crowd{address: p.endpoint, members: idleConns, send: sendLength(announce, body, piece)})
	p.finish()
}

// TestCrowdControlIdleConnections guards against idle connections of operators that take all
// descriptors of a control replica.
func TestCrowdControlIdleConnections(t *testing.T) {
	p := startRoles(t, roleDescriptors)
	status := request{method: "GET", path: "/v1/status", host: "control"}
	p.connect(crowd{address: p.operators, members: idleConns, send: sendAndIdle(status)})
	p.finish()
}

// TestCrowdStrangersOnLinks guards against strangers on the port of the links that take all
// descriptors of an entry with hellos that never end.
func TestCrowdStrangersOnLinks(t *testing.T) {
	p := startRoles(t, roleDescriptors)
	p.connect(crowd{address: p.links, members: strangers, send: sendUnfinishedHello})
	p.finish()
}
