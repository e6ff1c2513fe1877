package configcheck_test

import (
	"strings"
	"testing"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/configcheck"
	"zinniasill/core/route"
	"zinniasill/io/operator"
)

// inForce returns the configuration in force that the files of TestCompare are compared with.
func inForce() configcheck.InForce {
	profile := operator.ReadFile("", configcheck.KindProfile, []byte(validProfile)).Profile
	return configcheck.InForce{
		Profiles: map[zinniasill.ProfileName]catalog.Profile{profile.Name: profile},
		Teams:    map[zinniasill.Team]catalog.TeamEntry{"shop": {Name: "shop", Quota: 10}, "free": {Name: "free"}},
		Kinds:    map[zinniasill.Kind]bool{"cards": true},
		Domains:  map[zinniasill.Domain]bool{"zone-a": true},
	}
}

// codes returns the codes and the fields of findings, in their order.
func codes(found []configcheck.Finding) string {
	var parts []string
	for _, f := range found {
		parts = append(parts, string(f.Severity)+" "+string(f.Code)+" "+f.Field)
	}
	return strings.Join(parts, ", ")
}

// TestCompare guards against a difference from the configuration in force that is not
// reported, or is reported for a file that changes nothing.
func TestCompare(t *testing.T) {
	change := func(old, replacement string) string { return strings.Replace(validProfile, old, replacement, 1) }
	tests := map[string]struct{ content, want string }{
		"same profile":       {validProfile, ""},
		"new profile":        {change("proof", "print"), "note added name"},
		"deadline":           {change("2s", "3s"), "note changed answer-within"},
		"several fields":     {change("kind: cards\nanswer-within: 2s", "kind: cards\nanswer-within: 1s") + "domains: [zone-a]\n", "note changed answer-within, note changed domains"},
		"larger jobs":        {change("10", "11"), "note changed max-tasks"},
		"smaller jobs":       {change("10", "9"), "note changed max-tasks, warning turns-away max-tasks"},
		"kind of no agent":   {change("cards", "press"), "note changed kind, warning kind-without-endpoint kind"},
		"domain of no agent": {validProfile + "domains: [zone-a, zone-b]\n", "note changed domains, warning domain-without-endpoint domains[1]"},
		"invalid profile":    {change("10", "0"), ""},
		"same team":          {validTeam, ""},
		"new team":           {"name: bank\nquota: 0\n", "note added name"},
		"new team, limited":  {"name: bank\nquota: 1\n", "note added name, warning turns-away quota"},
		"higher quota":       {"name: shop\nquota: 11\n", "note changed quota"},
		"no limit any more":  {"name: shop\nquota: 0\n", "note changed quota"},
		"lower quota":        {"name: shop\nquota: 9\n", "note changed quota, warning turns-away quota"},
		"first limit":        {"name: free\nquota: 9\n", "note changed quota, warning turns-away quota"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := operator.ReadFile("a", "", []byte(test.content))
			if got := codes(configcheck.Compare([]configcheck.File{file}, inForce())); got != test.want {
				t.Errorf("found %q, want %q", got, test.want)
			}
		})
	}
}

// platformFile returns a platform configuration of one service.
func platformFile(version zinniasill.DocumentVersion, queues ...route.Queue) configcheck.File {
	return configcheck.File{
		Name: "a", Kind: configcheck.KindPlatform, Version: version, Queues: queues, Services: []zinniasill.Kind{"s"},
	}
}

// TestComparePlatform guards against a version that has no effect because it is not higher, and
// against changes of queues that are not reported.
func TestComparePlatform(t *testing.T) {
	queue := func(name, prefix string) route.Queue {
		return route.Queue{Name: name, Host: "h", Prefix: prefix, Kind: "s", AnswerWithin: time.Second, Stretch: 1, Attempts: 1}
	}
	slower := queue("q", "/x/")
	slower.AnswerWithin = 2 * time.Second
	slower.Priority = 1
	tests := map[string]struct {
		file configcheck.File
		want string
	}{
		"only the version":          {platformFile(8, queue("q", "/x/")), ""},
		"same version":              {platformFile(7, queue("q", "/x/")), "error version-not-higher version"},
		"lower version":             {platformFile(6, queue("q", "/x/")), "error version-not-higher version"},
		"new queue":                 {platformFile(8, queue("q", "/x/"), queue("r", "/y/")), "note added routes[1].name"},
		"changed fields":            {platformFile(8, slower), "note changed routes[0].timeout_ms, note changed routes[0].priority"},
		"moved":                     {platformFile(8, queue("q", "/y/")), "note changed routes[0].path_prefix, warning turns-away routes"},
		"removed":                   {platformFile(8), "note removed routes, warning turns-away routes"},
		"renamed":                   {platformFile(8, queue("r", "/x/")), "note added routes[0].name, note removed routes"},
		"replaced by a wider queue": {platformFile(8, queue("r", "/")), "note added routes[0].name, note removed routes"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			old := configcheck.InForce{Platform: platformFile(7, queue("q", "/x/"))}
			if got := codes(configcheck.Compare([]configcheck.File{test.file}, old)); got != test.want {
				t.Errorf("found %q, want %q", got, test.want)
			}
		})
	}
}

// TestQuotaShare guards against a quota that seems to allow the largest job of a profile although
// the share of one entry does not.
func TestQuotaShare(t *testing.T) {
	const warning = "warning quota-share-below-job max-tasks"
	tests := map[string]struct {
		entries int
		team    string
		want    string
	}{
		"one entry":          {1, "name: shop\nquota: 10\n", ""},
		"two entries":        {2, "name: shop\nquota: 10\n", warning},
		"share rounded up":   {2, "name: shop\nquota: 19\n", "note changed quota"},
		"no entry known":     {0, "name: shop\nquota: 10\n", ""},
		"no limit":           {2, "name: shop\nquota: 0\n", "note changed quota"},
		"team only in force": {2, "", warning},
		"two teams":          {2, "name: free\nquota: 18\n", warning + ", " + warning + ", note changed quota, warning turns-away quota"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			files := []configcheck.File{operator.ReadFile("a", "", []byte(validProfile))}
			if test.team != "" {
				files = append(files, operator.ReadFile("b", "", []byte(test.team)))
			}
			state := inForce()
			state.Entries = test.entries
			if got := codes(configcheck.Compare(files, state)); got != test.want {
				t.Errorf("found %q, want %q", got, test.want)
			}
		})
	}
}
