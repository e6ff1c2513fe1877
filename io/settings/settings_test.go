package settings_test

import (
	"strings"
	"testing"
	"time"

	"zinniasill/io/settings"
)

func valid() settings.Settings {
	return settings.Settings{
		Name: "control-1", Domain: "zone-a", Listen: "127.0.0.1:7401", HTTP: "127.0.0.1:7501",
		Members: "control-1=127.0.0.1:7401,control-2=127.0.0.1:7402", DataFolder: "data",
		Lease: 2 * time.Second, StopTimeout: 30 * time.Second, MaxRequests: 10, EntryRecords: 16, AgentRecords: 12,
		LogLevel: "info", LogFormat: "text", Insecure: true,
	}
}

// TestCheck guards against invalid settings that are accepted, and against a check that
// stops at the first problem.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		role   settings.Role
		change func(s *settings.Settings)
		want   []string
	}{
		"valid":          {role: settings.RoleControl, change: func(*settings.Settings) {}},
		"name":           {role: settings.RoleEntry, change: func(s *settings.Settings) { s.Name = "a b" }, want: []string{"--name"}},
		"host name":      {role: settings.RoleEntry, change: func(s *settings.Settings) { s.HTTP = "localhost:1" }, want: []string{"--http"}},
		"port":           {role: settings.RoleEntry, change: func(s *settings.Settings) { s.HTTP = "127.0.0.1:99999" }, want: []string{"--http"}},
		"not listed":     {role: settings.RoleControl, change: func(s *settings.Settings) { s.Name = "control-9" }, want: []string{"--members"}},
		"listed twice":   {role: settings.RoleEntry, change: func(s *settings.Settings) { s.Members = "a=127.0.0.1:1,a=127.0.0.1:2" }, want: []string{"twice"}},
		"lease too long": {role: settings.RoleControl, change: func(s *settings.Settings) { s.Lease = time.Minute }, want: []string{"--lease"}},
		"not loopback":   {role: settings.RoleEntry, change: func(s *settings.Settings) { s.HTTP = "10.0.0.1:80" }, want: []string{"--insecure-loopback"}},
		"no TLS":         {role: settings.RoleEntry, change: func(s *settings.Settings) { s.Insecure = false }, want: []string{"--tls-cert"}},
		"no records":     {role: settings.RoleAllInOne, change: func(s *settings.Settings) { s.EntryRecords, s.AgentRecords = 0, 4096 }, want: []string{"--entry-records", "--agent-records"}},
		"incomplete TLS": {role: settings.RoleEntry, change: func(s *settings.Settings) { s.TLSCert = "c" }, want: []string{"--tls-key", "--tls-ca"}},
		"all problems":   {role: settings.RoleControl, change: func(s *settings.Settings) { *s = settings.Settings{} }, want: []string{"--name", "--listen", "--http", "--members", "--data", "--lease", "--stop-timeout", "--log-level", "--log-format", "--tls-cert"}},
		"with entry":     {role: settings.RoleControl, change: func(s *settings.Settings) { s.WithEntry, s.Domain = true, "" }, want: []string{"--entry-listen", "--entry-http", "--domain"}},
		"entry address": {role: settings.RoleControl, change: func(s *settings.Settings) {
			s.WithEntry, s.EntryListen, s.EntryHTTP = true, "10.0.0.1:1", "127.0.0.1:1"
		}, want: []string{"--insecure-loopback: --entry-listen"}},
		"all-in-one":       {role: settings.RoleAllInOne, change: func(s *settings.Settings) { s.Listen, s.Members = "", "" }},
		"endpoint and TLS": {role: settings.RoleAllInOne, change: func(s *settings.Settings) { s.Insecure, s.TLSCert, s.TLSKey, s.TLSCA = false, "c", "k", "a" }, want: []string{"--endpoint-http"}},
		"endpoint not loopback": {role: settings.RoleAgent, change: func(s *settings.Settings) {
			s.Insecure, s.TLSCert, s.TLSKey, s.TLSCA, s.HTTP = false, "c", "k", "a", "10.0.0.1:1"
		}, want: []string{"--http: 10.0.0.1:1 is not a loopback"}},
		"no memory":        {role: settings.RoleAgent, change: func(s *settings.Settings) { s.MemoryLimit = 1 << 20 }, want: []string{"--memory-limit"}},
		"few descriptors":  {role: settings.RoleEntry, change: func(s *settings.Settings) { s.DescriptorLimit = 10 }, want: []string{"--descriptor-limit"}},
		"many descriptors": {role: settings.RoleEntry, change: func(s *settings.Settings) { s.DescriptorLimit = 1 << 30 }, want: []string{"--descriptor-limit"}},
		"limits":           {role: settings.RoleEntry, change: func(s *settings.Settings) { s.MemoryLimit, s.DescriptorLimit = 184<<20, 64 }},
		"no data folder":   {role: settings.RoleControl, change: func(s *settings.Settings) { s.DataFolder = "" }, want: []string{"--data"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := valid()
			tt.change(&s)
			found := s.Check(tt.role)
			if len(tt.want) == 0 {
				if len(found) > 0 {
					t.Fatal(found)
				}
				return
			}
			for _, want := range tt.want {
				if !strings.Contains(found.Error(), want) {
					t.Errorf("findings lack %q: %v", want, found)
				}
			}
		})
	}
}
