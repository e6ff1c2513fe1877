package operator_test

import (
	"testing"

	"zinniasill/core/configcheck"
	"zinniasill/core/control"
	"zinniasill/io/operator"
)

// FuzzParseProfile guards against a profile file that makes the parser panic, or that is
// accepted although the control role refuses its content or the configuration check finds errors.
func FuzzParseProfile(f *testing.F) {
	f.Add([]byte("name: proof\nkind: cards\nanswer-within: 2s\nexpected-run-time: 50ms\nrepeat: never\nmax-tasks: 10\n"))
	f.Add([]byte(`{"name":"p","kind":"k","answer-within":"1s","expected-run-time":"1s","repeat":"resubmit","domains":["a","a"]}`))
	f.Add([]byte("name: [1, 2]\n&a: *a"))
	f.Add([]byte("\xff\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		profile, err := operator.ParseProfile(data)
		found := configcheck.Check([]configcheck.File{operator.ReadFile("f", configcheck.KindProfile, data)})
		if errors := configcheck.Count(found, configcheck.Error); (errors > 0) != (err != nil) {
			t.Fatalf("%q: error %v, findings %v", data, err, found)
		}
		if err != nil {
			return
		}
		if findings := control.ValidateProfile(profile); len(findings) > 0 {
			t.Fatalf("accepted %+v despite the findings %v", profile, findings)
		}
	})
}
