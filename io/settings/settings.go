// Package settings defines and validates the settings of all roles. Each setting has a
// flag and an environment variable.
//
//	var s settings.Settings
//	settings.Register(command, &s, settings.RoleEntry)
//	...
//	if findings := s.Check(settings.RoleEntry); len(findings) > 0 {
//		return findings
//	}
//
// Check returns all problems together, each with its flag.
package settings

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"zinniasill"
	"zinniasill/core/agent"
	"zinniasill/core/consensus"
	"zinniasill/core/control"
	"zinniasill/core/dispatch"
	"zinniasill/core/job"
	"zinniasill/io/identity"
)

// Role selects the settings of one subcommand.
type Role string

// Values of Role.
const (
	RoleControl  Role = "control"
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleAllInOne Role = "all-in-one"
	// RoleDispatcher and RoleSupervisor are the entry and the agent for direct jobs.
	// They run behind an adapter to an external protocol, which provides their settings.
	RoleDispatcher Role = "dispatcher"
	RoleSupervisor Role = "supervisor"
)

// Limits of settings.
const (
	minLease       = time.Second
	maxLease       = 8 * time.Second
	maxStopTimeout = 10 * time.Minute
	// maxRecordMiB is the upper limit of EntryRecords and AgentRecords in MiB. It is half
	// of what the archive of one epoch can address.
	maxRecordMiB = 2048
)

// Settings are the settings of one process.
type Settings struct {
	Name        string
	Domain      string
	Listen      string
	Advertise   string
	HTTP        string
	Metrics     string
	Members     string
	DataFolder  string
	NewCluster  bool
	Lease       time.Duration
	StopTimeout time.Duration
	// OpenGroup allows control replicas that are not named in Members to join. It has no
	// flag: an adapter sets it if processes are configured with only some of the
	// replicas.
	OpenGroup bool
	// FirstStart is consensus.Config.FirstStart. It has no flag: it matters only with
	// OpenGroup.
	FirstStart bool
	// ReplaceAfter is control.LeaderTasksConfig.ReplaceTimeout. It has no flag: an adapter sets
	// it if its node names allow a shorter time.
	ReplaceAfter time.Duration
	// Overload is dispatch.Config.Overload. It has no flag here: only direct jobs have it.
	Overload    dispatch.OverloadPolicy
	MaxRequests int
	// MemoryLimit is the memory that the process may use in bytes, and DescriptorLimit the
	// number of descriptors that it may open. 0 means unknown; see DetectLimits.
	MemoryLimit     int64
	DescriptorLimit int
	// EntryRecords and AgentRecords are the maximum sizes of the records of an entry and
	// of an agent, in MiB.
	EntryRecords int
	AgentRecords int
	LogLevel     string
	LogFormat    string
	TLSCert      string
	TLSKey       string
	TLSCA        string
	Insecure     bool
	// WithEntry makes a control process also run an entry, which listens on EntryListen
	// and EntryHTTP.
	WithEntry   bool
	EntryListen string
	EntryHTTP   string
	// EndpointHTTP is the address of the interface for the endpoint in an all-in-one
	// process. If empty, the endpoint uses the address HTTP.
	EndpointHTTP string
}

// Register adds the flags of a role to a command.
func Register(cmd *kingpin.CmdClause, s *Settings, role Role) {
	flag := func(name, help string) *kingpin.FlagClause {
		return cmd.Flag(name, help).Envar("ZINNIASILL_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
	}
	flag("name", "Name of this process, unique in the cluster.").StringVar(&s.Name)
	flag("domain", "Failure domain of this process.").StringVar(&s.Domain)
	flag("metrics", "IP address and port for /metrics, /livez, /readyz and /healthz.").StringVar(&s.Metrics)
	if role != RoleAllInOne {
		registerLinks(flag, s)
	}
	flag("stop-timeout", "Maximum duration of a graceful stop.").Default("30s").DurationVar(&s.StopTimeout)
	flag("log-level", "Lowest level that is logged: debug, info, warning or error.").Default("info").StringVar(&s.LogLevel)
	flag("log-format", "Format of log lines: text or json.").Default("text").StringVar(&s.LogFormat)
	flag("tls-cert", "File with this process's certificate.").StringVar(&s.TLSCert)
	flag("tls-key", "File with the private key of this process's certificate.").StringVar(&s.TLSKey)
	flag("tls-ca", "File with the CA certificates that peers are verified against.").StringVar(&s.TLSCA)
	flag("insecure-loopback", "Run without TLS. Allowed only when all addresses are loopback addresses.").
		BoolVar(&s.Insecure)
	httpHelp := map[Role]string{
		RoleControl:  "IP address and port of the interface for operators.",
		RoleEntry:    "IP address and port of the interface for callers.",
		RoleAgent:    "IP address and port of the interface for the endpoint on the agent's host.",
		RoleAllInOne: "IP address and port of all interfaces.",
	}
	flag("http", httpHelp[role]).StringVar(&s.HTTP)
	if role == RoleControl || role == RoleAllInOne {
		flag("data", "Data folder.").StringVar(&s.DataFolder)
		flag("lease", "Length of the leases of entries and agents.").
			Default(control.DefaultLeaseLength.String()).DurationVar(&s.Lease)
	}
	if role != RoleAgent {
		flag("max-requests", "Maximum number of concurrent requests from callers.").Default("4096").IntVar(&s.MaxRequests)
	}
	registerRecords(flag, s, role)
	flag("memory-limit", "Memory that the process may use, with a unit such as 184MiB; the smaller of the machine's memory and the limit of the control group by default.").
		SetValue((*size)(&s.MemoryLimit))
	flag("descriptor-limit", "Number of descriptors that the process may open; the limit of the process by default.").
		IntVar(&s.DescriptorLimit)
	if role == RoleControl {
		registerCluster(flag, s)
	}
	if role == RoleAllInOne {
		flag("endpoint-http", "Loopback IP address and port of the interface for the endpoint; the address of --http by default.").
			StringVar(&s.EndpointHTTP)
	}
}

// registerRecords adds the flags for record limits, for roles that store records.
func registerRecords(flag func(name, help string) *kingpin.FlagClause, s *Settings, role Role) {
	if role != RoleAgent {
		flag("entry-records", "Size of job records in MiB from which an entry refuses new jobs.").
			Default(strconv.Itoa(job.DefaultRecordLimit >> 20)).IntVar(&s.EntryRecords)
	}
	if role == RoleAgent || role == RoleAllInOne {
		flag("agent-records", "Size of task and claim records in MiB from which an agent accepts no new ones.").
			Default(strconv.Itoa(agent.DefaultRecordLimit >> 20)).IntVar(&s.AgentRecords)
	}
}

// registerCluster adds the flags that only a control replica has.
func registerCluster(flag func(name, help string) *kingpin.FlagClause, s *Settings) {
	flag("new-cluster", "Form a new cluster if no listed member has stored state.").BoolVar(&s.NewCluster)
	flag("with-entry", "Also run an entry in this process. Its name is that of the process with the suffix -entry.").BoolVar(&s.WithEntry)
	flag("entry-listen", "IP address and port on which that entry accepts connections from other processes.").StringVar(&s.EntryListen)
	flag("entry-http", "IP address and port of that entry's interface for callers.").StringVar(&s.EntryHTTP)
}

// registerLinks adds the flags of processes that connect to other processes.
func registerLinks(flag func(name, help string) *kingpin.FlagClause, s *Settings) {
	flag("listen", "IP address and port on which to accept connections from other processes of the cluster.").StringVar(&s.Listen)
	flag("advertise", "IP address and port at which other processes reach this one; the listen address by default.").
		StringVar(&s.Advertise)
	flag("members", "Control replicas as name=ip:port, separated by commas.").StringVar(&s.Members)
}

// Files returns the paths of the TLS files.
func (s *Settings) Files() identity.Files {
	return identity.Files{Cert: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA}
}

// RegisterTLS adds the TLS flags to a client command.
func RegisterTLS(cmd *kingpin.CmdClause, files *identity.Files) {
	flag := func(name, help string) *kingpin.FlagClause {
		return cmd.Flag(name, help).Envar("ZINNIASILL_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
	}
	flag("tls-cert", "File with the client certificate.").StringVar(&files.Cert)
	flag("tls-key", "File with the private key of the client certificate.").StringVar(&files.Key)
	flag("tls-ca", "File with the CA certificates that the cluster is verified against.").StringVar(&files.CA)
}

// Finding is a problem of the settings and the flag that it concerns.
type Finding struct {
	Flag    string
	Problem string
}

// FindingErrors lists all problems of the settings as one error.
type FindingErrors []Finding

// Error implements error. It lists all findings, one per line.
func (f FindingErrors) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = "--" + finding.Flag + ": " + finding.Problem
	}
	return "invalid settings:\n  " + strings.Join(lines, "\n  ")
}

func (f *FindingErrors) add(flag, format string, args ...any) {
	*f = append(*f, Finding{Flag: flag, Problem: fmt.Sprintf(format, args...)})
}

// Check validates the settings for a role and returns all problems.
func (s *Settings) Check(role Role) FindingErrors {
	var found FindingErrors
	if !control.ValidName(s.Name) {
		found.add("name", "%q is not a name of letters, digits, '-', '_' and '.'", s.Name)
	}
	if (role != RoleControl || s.WithEntry) && !control.ValidName(s.Domain) {
		found.add("domain", "%q is not a name of letters, digits, '-', '_' and '.'", s.Domain)
	}
	s.checkAddresses(&found, role)
	s.checkMembers(&found, role)
	if role == RoleControl || role == RoleAllInOne {
		s.checkControl(&found)
	}
	if role == RoleEntry || role == RoleAllInOne || s.WithEntry {
		if s.MaxRequests < 1 {
			found.add("max-requests", "%d is below 1", s.MaxRequests)
		}
		checkRecords(&found, "entry-records", s.EntryRecords)
	}
	if role == RoleAgent || role == RoleAllInOne {
		checkRecords(&found, "agent-records", s.AgentRecords)
	}
	if s.StopTimeout <= 0 || s.StopTimeout > maxStopTimeout {
		found.add("stop-timeout", "%s is not between 0 and %s", s.StopTimeout, maxStopTimeout)
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		found.add("log-level", "%q is not a log level", s.LogLevel)
	}
	if s.LogFormat != "text" && s.LogFormat != "json" {
		found.add("log-format", "%q is neither text nor json", s.LogFormat)
	}
	s.checkLimits(&found)
	s.checkTLS(&found)
	return found
}

func checkRecords(found *FindingErrors, flag string, size int) {
	if size < 1 || size > maxRecordMiB {
		found.add(flag, "%d is not between 1 and %d MiB", size, maxRecordMiB)
	}
}

func (s *Settings) checkAddresses(found *FindingErrors, role Role) {
	check := func(flag, address string, required bool) {
		if address == "" {
			if required {
				found.add(flag, "is required")
			}
			return
		}
		if problem := addressProblem(address); problem != "" {
			found.add(flag, "%s", problem)
		}
	}
	check("listen", s.Listen, role != RoleAllInOne)
	check("advertise", s.Advertise, false)
	check("http", s.HTTP, true)
	check("metrics", s.Metrics, false)
	if role == RoleControl {
		check("entry-listen", s.EntryListen, s.WithEntry)
		check("entry-http", s.EntryHTTP, s.WithEntry)
	}
	if role == RoleAllInOne {
		// The endpoint uses plain HTTP, which cannot share a listener with TLS.
		check("endpoint-http", s.EndpointHTTP, s.TLSCert != "")
	}
	endpointAddress := map[Role]string{RoleAgent: s.HTTP, RoleAllInOne: s.EndpointHTTP}[role]
	if isNonLoopback(endpointAddress) {
		flag := map[Role]string{RoleAgent: "http", RoleAllInOne: "endpoint-http"}[role]
		found.add(flag, "%s is not a loopback address; the endpoint uses plain HTTP", endpointAddress)
	}
}

// isNonLoopback reports whether an address is valid but not a loopback address.
func isNonLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && !ip.IsLoopback()
}

// addressProblem returns the reason why address is not an IP address with a port, or ""
// if it is.
func addressProblem(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Sprintf("%q is not an address of the form ip:port", address)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP address", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Sprintf("%q is not a port", port)
	}
	return ""
}

func (s *Settings) checkMembers(found *FindingErrors, role Role) {
	if role == RoleAllInOne {
		return
	}
	members, problems := ParseMembers(s.Members)
	for _, problem := range problems {
		found.add("members", "%s", problem)
	}
	if role != RoleControl {
		return
	}
	for _, member := range members {
		if string(member.Name) == s.Name {
			return
		}
	}
	found.add("members", "does not list this replica, %q", s.Name)
}

// ParseMembers parses a comma-separated list of control replicas, each of the form
// name=ip:port, and returns all problems of the list.
func ParseMembers(list string) (members []consensus.Member, problems []string) {
	if list == "" {
		return nil, []string{"is required"}
	}
	seen := map[string]bool{}
	for _, item := range strings.Split(list, ",") {
		name, address, ok := strings.Cut(strings.TrimSpace(item), "=")
		if !ok {
			problems = append(problems, fmt.Sprintf("%q is not of the form name=ip:port", item))
			continue
		}
		if !control.ValidName(name) {
			problems = append(problems, fmt.Sprintf("%q is not a valid name", name))
		}
		if seen[name] {
			problems = append(problems, fmt.Sprintf("%q is listed twice", name))
		}
		seen[name] = true
		if problem := addressProblem(address); problem != "" {
			problems = append(problems, problem)
		}
		members = append(members, consensus.Member{Name: zinniasill.NodeID(name), Address: address})
	}
	return members, problems
}

func (s *Settings) checkControl(found *FindingErrors) {
	if s.DataFolder == "" {
		found.add("data", "is required")
	}
	if s.Lease < minLease || s.Lease > maxLease {
		found.add("lease", "%s is not between %s and %s", s.Lease, minLease, maxLease)
	}
}

func (s *Settings) checkTLS(found *FindingErrors) {
	files := map[string]string{"tls-cert": s.TLSCert, "tls-key": s.TLSKey, "tls-ca": s.TLSCA}
	given := 0
	for _, file := range files {
		if file != "" {
			given++
		}
	}
	switch {
	case given == len(files) && s.Insecure:
		found.add("insecure-loopback", "contradicts the TLS files")
	case given == len(files):
	case given > 0:
		for _, flag := range []string{"tls-cert", "tls-key", "tls-ca"} {
			if files[flag] == "" {
				found.add(flag, "is required together with the other TLS files")
			}
		}
	case !s.Insecure:
		found.add("tls-cert", "TLS files are required unless --insecure-loopback is set")
	default:
		s.checkLoopback(found)
	}
}

func (s *Settings) checkLoopback(found *FindingErrors) {
	addresses := map[string]string{
		"listen": s.Listen, "advertise": s.Advertise, "http": s.HTTP, "metrics": s.Metrics,
		"entry-listen": s.EntryListen, "entry-http": s.EntryHTTP,
	}
	for _, flag := range []string{"listen", "advertise", "http", "metrics", "entry-listen", "entry-http"} {
		if isNonLoopback(addresses[flag]) {
			found.add("insecure-loopback", "--%s %s is not a loopback address", flag, addresses[flag])
		}
	}
}
