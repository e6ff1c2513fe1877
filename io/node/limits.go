package node

import (
	"context"

	"github.com/sirupsen/logrus"

	"zinniasill/core/budget"
	"zinniasill/io/caller"
	"zinniasill/io/httpserver"
	"zinniasill/io/peer"
	"zinniasill/io/settings"
)

// Parts of the memory limit of a process in percent. The Go runtime may use
// runtimePercent; what is not listed is for the state of the roles and for garbage.
const (
	budgetPercent     = 30
	maxBudgetPercent  = 40
	connectionPercent = 30
	// recordPercent bounds the records of one role, whatever its own setting allows.
	recordPercent = 25
	// socketPercent is the memory of the kernel for received and unsent data.
	socketPercent = 10
)

// callersPercent is the part of the budget that a single large job can use: all but the
// reserve and what other classes are guaranteed.
const callersPercent = 47

const (
	// defaultMemoryLimit applies if the limit is neither set nor detected.
	defaultMemoryLimit = 1 << 30
	// ownDescriptorPart is the part of the descriptors that is kept for files and links, one
	// in ownDescriptorPart, and minOwnDescriptors the least number of them.
	ownDescriptorPart = 8
	minOwnDescriptors = 32
	minConnections    = 16
	// pendingHelloPart is the part of those descriptors for connections without a hello, one
	// in pendingHelloPart, and inboundLinkPart that of all descriptors for accepted links.
	pendingHelloPart = 4
	inboundLinkPart  = 2
	// minSocketBuffer and maxSocketBuffer bound the size of a buffer of a connection. The
	// smallest one still takes 16 MB a second over a link of 1 ms.
	minSocketBuffer = 16 << 10
	maxSocketBuffer = 256 << 10
)

// runtimePercent is the soft memory limit of the Go runtime in percent of the memory limit of
// the process. The rest covers the program, kernel stacks and received data that is not read
// yet.
const runtimePercent = 70

// RuntimeMemoryLimit returns the soft memory limit of the Go runtime for the memory limit of a
// process, both in bytes.
func RuntimeMemoryLimit(limit int64) int64 {
	return limit / 100 * runtimePercent
}

// memoryLimit returns the memory limit of a process in bytes.
func memoryLimit(s settings.Settings) int64 {
	if s.MemoryLimit > 0 {
		return s.MemoryLimit
	}
	return defaultMemoryLimit
}

// descriptorLimit returns the number of descriptors that a process can open.
func descriptorLimit(s settings.Settings) int {
	if s.DescriptorLimit > 0 {
		return s.DescriptorLimit
	}
	return settings.ProcessDescriptors()
}

// connectionLimit returns the number of connections that HTTP clients can open.
func connectionLimit(s settings.Settings) int {
	descriptors := descriptorLimit(s)
	own := max(descriptors/ownDescriptorPart, minOwnDescriptors)
	byMemory := memoryLimit(s) / 100 * connectionPercent / httpserver.ConnectionBytes
	return max(min(descriptors-own, int(byMemory)), minConnections)
}

// linkLimits returns the numbers of accepted connections of a transport, of those without a
// hello and of all. A control replica has one accepted link for each node.
func linkLimits(s settings.Settings) (pending, all int) {
	descriptors := descriptorLimit(s)
	own := max(descriptors/ownDescriptorPart, minOwnDescriptors)
	transports := 1
	if s.WithEntry {
		transports = 2
	}
	pending = min(own/pendingHelloPart, peer.DefaultMaxPending) / transports
	return pending, descriptors / inboundLinkPart / transports
}

// socketBuffer returns the size of a buffer of a connection.
func socketBuffer(s settings.Settings) int {
	each := memoryLimit(s) / 100 * socketPercent / int64(2*connectionLimit(s))
	return int(min(max(each, minSocketBuffer), maxSocketBuffer))
}

// recordLimit returns the maximum size of the records of a role in bytes for a setting in
// MiB.
func recordLimit(s settings.Settings, mebibytes int) int {
	return int(min(int64(mebibytes)<<20, memoryLimit(s)/100*recordPercent))
}

// newBudget returns the budget of a process. That of a process with callers is large enough
// for a job of the maximum size, up to maxBudgetPercent of the memory limit.
func newBudget(s settings.Settings) *budget.Budget {
	largest := httpserver.BodyBytes(caller.MaxBodySize)
	limit := memoryLimit(s) / 100 * budgetPercent
	if s.MaxRequests > 0 {
		limit = max(limit, min(largest/callersPercent*100, memoryLimit(s)/100*maxBudgetPercent))
	}
	return budget.New(budget.Config{Limit: limit, LargestRequest: largest})
}

// openLimits creates the budget and the connections of the process.
func (p *Process) openLimits() {
	s := p.cfg.Settings
	p.budget = newBudget(s)
	p.connections = httpserver.NewConnections(httpserver.ConnectionsConfig{
		Limit: connectionLimit(s), SocketBuffer: socketBuffer(s), Budget: p.budget, Clock: p.clock, Counters: p.metrics,
		OnClose: p.refusals.connectionClosed,
	})
	p.start = append(p.start, func(ctx context.Context) <-chan error { return infallible(p.connections.Start(ctx)) })
	p.metrics.Gauge("budget_limit_bytes", func() float64 { return float64(p.budget.Limit()) })
	p.metrics.Gauge("http_connection_limit", func() float64 { return float64(connectionLimit(s)) })
	p.metrics.Gauge("http_connections_idle", func() float64 { return float64(p.connections.Idle()) })
	p.metrics.Gauge("http_oldest_body_seconds", func() float64 { return p.budget.OldestBody(p.clock.Now()).Seconds() })
	for _, class := range budget.Classes() {
		label := `{class="` + string(class) + `"}`
		p.metrics.Gauge("budget_used_bytes"+label, func() float64 { return float64(p.budget.Used(class)) })
		p.metrics.Gauge("http_connections"+label, func() float64 { return float64(p.connections.Open(class)) })
	}
	p.log.WithFields(logrus.Fields{
		"memory-limit": memoryLimit(s), "budget": p.budget.Limit(), "connections": connectionLimit(s),
		"socket-buffer": socketBuffer(s),
	}).Info("limits in force")
}

// serverConfig completes the configuration of a server with what all servers of a process
// share.
func (p *Process) serverConfig(cfg httpserver.Config) httpserver.Config {
	cfg.Budget = p.budget
	cfg.Clock = p.clock
	cfg.Counters = p.metrics
	cfg.OnRefuse = p.refusals.requestRefused
	return cfg
}
