package settings_test

import (
	"testing"

	"zinniasill/io/settings"
)

// FuzzParseMembers guards against a member list that makes ParseMembers panic, or that
// it accepts although a member has no name or address.
func FuzzParseMembers(f *testing.F) {
	f.Add("control-1=127.0.0.1:7401,control-2=[::1]:7402")
	f.Add("=,=,")
	f.Add("a=b=c:1")
	f.Fuzz(func(t *testing.T, list string) {
		members, problems := settings.ParseMembers(list)
		if len(problems) > 0 {
			return
		}
		for _, member := range members {
			if member.Name == "" || member.Address == "" {
				t.Fatalf("%q is accepted with member %+v", list, member)
			}
		}
	})
}
