package configcheck_test

import (
	"slices"
	"strings"
	"testing"

	"zinniasill/core/configcheck"
	"zinniasill/io/operator"
)

const (
	validProfile = "name: proof\nkind: cards\nanswer-within: 2s\nexpected-run-time: 50ms\nrepeat: never\nmax-tasks: 10\n"
	validTeam    = "name: shop\nquota: 10\n"
)

// check returns the findings for the contents of files named a, b and so on.
func check(contents ...string) []configcheck.Finding {
	var files []configcheck.File
	for i, content := range contents {
		files = append(files, operator.ReadFile(string(rune('a'+i)), "", []byte(content)))
	}
	return configcheck.Check(files)
}

// TestFindings guards against kinds of finding that are not found, are found in a valid file,
// or have the wrong severity, line or field.
func TestFindings(t *testing.T) {
	change := func(file, old, replacement string) []string {
		if !strings.Contains(file, old) {
			t.Fatalf("no %q in the file", old)
		}
		return []string{strings.Replace(file, old, replacement, 1)}
	}
	type place struct {
		severity configcheck.Severity
		file     string
		line     int
		field    string
	}
	tests := map[configcheck.Code]struct {
		bad   []string
		good  []string
		place place
	}{
		"syntax":                    {change(validProfile, "kind: cards", "kind: a: b"), []string{validProfile}, place{"error", "a", 2, "body"}},
		"unknown-field":             {change(validProfile, "kind", "kinds"), []string{validProfile}, place{"error", "a", 2, "kinds"}},
		"profile-name":              {change(validProfile, "proof", "-proof"), []string{validProfile}, place{"error", "a", 1, "name"}},
		"profile-kind":              {change(validProfile, "kind: cards\n", ""), []string{validProfile}, place{"error", "a", 1, "kind"}},
		"profile-answer-within":     {change(validProfile, "2s", "11m"), change(validProfile, "2s", "10m"), place{"error", "a", 3, "answer-within"}},
		"profile-expected-run-time": {change(validProfile, "50ms", "3s"), []string{validProfile}, place{"error", "a", 4, "expected-run-time"}},
		"profile-repeat":            {change(validProfile, "never", "always"), change(validProfile, "never", "resubmit"), place{"error", "a", 5, "repeat"}},
		"profile-max-tasks":         {change(validProfile, "10", "1001"), change(validProfile, "10", "1000"), place{"error", "a", 6, "max-tasks"}},
		"profile-domains":           {[]string{validProfile + "domains:\n- x\n- x\n"}, []string{validProfile + "domains:\n- x\n- y\n"}, place{"error", "a", 9, "domains[1]"}},
		"team-name":                 {change(validTeam, "shop", "my shop"), []string{validTeam}, place{"error", "a", 1, "name"}},
		"team-quota":                {change(validTeam, "10", "-1"), change(validTeam, "10", "0"), place{"error", "a", 2, "quota"}},
		"duplicate-name":            {[]string{validTeam, validTeam}, []string{validTeam, strings.Replace(validTeam, "shop", "bank", 1)}, place{"warning", "b", 1, "name"}},
		"no-slack":                  {change(validProfile, "50ms", "2s"), []string{validProfile}, place{"warning", "a", 3, "answer-within"}},
		"quota-below-job":           {[]string{validProfile, "name: shop\nquota: 9\n"}, []string{validProfile, validTeam}, place{"warning", "b", 2, "quota"}},
	}
	for code, test := range tests {
		t.Run(string(code), func(t *testing.T) {
			if found := check(test.good...); len(found) > 0 {
				t.Errorf("findings in valid files: %v", found)
			}
			found := check(test.bad...)
			at := slices.IndexFunc(found, func(f configcheck.Finding) bool { return f.Code == code })
			if at < 0 {
				t.Fatalf("findings %v", found)
			}
			f := found[at]
			if got := (place{f.Severity, f.File, f.Line, f.Field}); got != test.place || f.Accepted == "" {
				t.Errorf("found %+v, want %+v", f, test.place)
			}
		})
	}
}

// TestAllFindingsAtOnce guards against a check that stops at the first error.
func TestAllFindingsAtOnce(t *testing.T) {
	found := check("name: -a\nkind: b\nanswer-within: 0s\nrepeat: no\nmax-tasks: many\n", "quota: -1\n")
	if got := configcheck.Count(found, configcheck.Error); got != 7 {
		t.Errorf("%d errors, want 7: %v", got, found)
	}
}

// TestOddFiles guards against a file without an object, or with several, that passes.
func TestOddFiles(t *testing.T) {
	tests := map[string]string{
		"empty":             "",
		"list":              "- a\n",
		"text":              "proof",
		"repeated field":    validProfile + "kind: other\n",
		"second document":   validProfile + "---\n" + validProfile,
		"not a JSON number": validProfile + "domains: .nan\n",
		"not UTF-8":         "\xff\x00",
	}
	for name, content := range tests {
		t.Run(name, func(t *testing.T) {
			found := check(content)
			if configcheck.Count(found, configcheck.Error) == 0 {
				t.Error("no error found")
			}
			for _, f := range found {
				if strings.Contains(f.String(), "\n") {
					t.Errorf("finding on several lines: %q", f)
				}
			}
		})
	}
}
