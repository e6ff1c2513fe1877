package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill/internal/localcluster"
)

// clockTick is the unit of the times in /proc/<pid>/stat: USER_HZ is 100 on all
// Linux platforms.
const clockTick = 10 * time.Millisecond

const kibibyte = 1024

// usage is what one process has used since its start, and its memory now.
type usage struct {
	cpu            time.Duration
	resident       float64
	sent, received float64
}

// sample is the usage of all processes of a cluster, and of this process, which
// holds the callers, the stub endpoints and the stand-in nodes.
type sample struct {
	at    time.Time
	usage map[string]usage
}

const selfName = "load"

func takeSample(ctx context.Context, cluster *localcluster.Cluster) (sample, error) {
	s := sample{at: time.Now(), usage: map[string]usage{}}
	own, err := processUsage(os.Getpid())
	if err != nil {
		return s, err
	}
	s.usage[selfName] = own
	for _, p := range cluster.All() {
		u, err := processUsage(p.PID())
		if err != nil {
			return s, err
		}
		values, err := scrape(ctx, p)
		if err != nil {
			return s, err
		}
		u.sent, u.received = values["zinniasill_peer_sent_bytes"], values["zinniasill_peer_received_bytes"]
		s.usage[p.Name] = u
	}
	return s, nil
}

// processUsage reads /proc/<pid>.
func processUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, eris.Wrap(err, "read the times of a process")
	}
	// The name in parentheses may hold blanks; user and system time are the 12th
	// and 13th field after it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return usage{}, eris.Wrap(err, "read the memory of a process")
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	return usage{
		cpu:      time.Duration(user+system) * clockTick,
		resident: float64(pages) * float64(os.Getpagesize()),
	}, nil
}

// scrape reads the values without labels of a process.
func scrape(ctx context.Context, p *localcluster.Process) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Metrics+"/metrics", nil)
	if err != nil {
		return nil, eris.Wrap(err, "read metrics")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "read metrics of %s", p.Name)
	}
	defer func() { _ = response.Body.Close() }()
	values := map[string]float64{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if number, err := strconv.ParseFloat(value, 64); ok && err == nil {
			values[name] = number
		}
	}
	return values, eris.Wrapf(lines.Err(), "read metrics of %s", p.Name)
}

// cost is what a role used between two samples: the sum of its processes, and the
// process that used most.
type cost struct {
	processes      int
	cores, maxCore float64
	maxResident    float64
	// sent and received are bytes per second and process.
	sent, received float64
}

// costs sums the usage between two samples by role.
func costs(from, to sample) map[string]cost {
	seconds := to.at.Sub(from.at).Seconds()
	result := map[string]cost{}
	for name, end := range to.usage {
		role, _, _ := strings.Cut(name, "-")
		begin := from.usage[name]
		cores := (end.cpu - begin.cpu).Seconds() / seconds
		c := result[role]
		c.processes++
		c.cores += cores
		c.maxCore = max(c.maxCore, cores)
		c.maxResident = max(c.maxResident, end.resident)
		c.sent += (end.sent - begin.sent) / seconds
		c.received += (end.received - begin.received) / seconds
		result[role] = c
	}
	for role, c := range result {
		c.sent /= float64(c.processes)
		c.received /= float64(c.processes)
		result[role] = c
	}
	return result
}

// roleColumns are the columns that addRoles fills.
var roleColumns = []string{
	"role", "processes", "cores-sum", "cores-max", "resident-max-mib",
	"sent-bytes-per-second", "received-bytes-per-second",
}

// addRoles adds a row for each role.
func (t *table) addRoles(from, to sample, prefix ...any) {
	byRole := costs(from, to)
	for _, role := range []string{"control", "entry", "agent", selfName} {
		c, ok := byRole[role]
		if !ok {
			continue
		}
		row := append(append([]any{}, prefix...), role, c.processes, c.cores, c.maxCore,
			c.maxResident/kibibyte/kibibyte, c.sent, c.received)
		t.add(row...)
	}
}

// processColumns are the columns that addProcess fills.
var processColumns = []string{
	"process", "cores", "resident-mib", "sent-bytes-per-second", "received-bytes-per-second",
}

// addProcess adds a row for one process.
func (t *table) addProcess(from, to sample, name string, prefix ...any) {
	seconds := to.at.Sub(from.at).Seconds()
	begin, end := from.usage[name], to.usage[name]
	t.add(append(append([]any{}, prefix...), name, (end.cpu-begin.cpu).Seconds()/seconds, end.resident/kibibyte/kibibyte,
		(end.sent-begin.sent)/seconds, (end.received-begin.received)/seconds)...)
}
