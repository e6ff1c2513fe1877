package settings_test

import (
	"strings"
	"testing"
	"testing/fstest"

	"github.com/alecthomas/kingpin/v2"

	"zinniasill/io/settings"
)

// TestDetectLimits guards against a limit of a control group that is missed, which lets a
// process grow until the system ends it.
func TestDetectLimits(t *testing.T) {
	const meminfo = "MemTotal:       16384 kB\nMemFree:  1 kB\n"
	tests := map[string]struct {
		files map[string]string
		want  int64
	}{
		"nothing known":   {files: nil, want: 0},
		"machine":         {files: map[string]string{"proc/meminfo": meminfo}, want: 16 << 20},
		"machine unclear": {files: map[string]string{"proc/meminfo": "MemTotal: many kB\n"}, want: 0},
		"group of version 2": {files: map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "8388608\n",
		}, want: 8 << 20},
		"parent group": {files: map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "max\n",
			"sys/fs/cgroup/a/memory.max": "4194304\n",
		}, want: 4 << 20},
		"root group": {files: map[string]string{
			"proc/self/cgroup": "0::/\n", "sys/fs/cgroup/memory.max": "4194304\n",
		}, want: 4 << 20},
		"group above the machine": {files: map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a\n", "sys/fs/cgroup/a/memory.max": "9223372036854771712\n",
		}, want: 16 << 20},
		"group of version 1": {files: map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "7:cpu,cpuacct:/x\n4:memory:/a\n",
			"sys/fs/cgroup/memory/a/memory.limit_in_bytes": "2097152\n",
		}, want: 2 << 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			root := fstest.MapFS{}
			for file, content := range tt.files {
				root[file] = &fstest.MapFile{Data: []byte(content)}
			}
			s := settings.Settings{}
			s.DetectLimits(root)
			if s.MemoryLimit != tt.want || s.DescriptorLimit < 1 {
				t.Errorf("limits of %d bytes, want %d, and %d descriptors", s.MemoryLimit, tt.want, s.DescriptorLimit)
			}
			given := settings.Settings{MemoryLimit: 77, DescriptorLimit: 88}
			given.DetectLimits(root)
			if given.MemoryLimit != 77 || given.DescriptorLimit != 88 {
				t.Errorf("given limits are replaced: %+v", given)
			}
		})
	}
}

// TestMemoryLimitFlag guards against sizes whose unit is ignored or that overflow, and against
// a role without the flags.
func TestMemoryLimitFlag(t *testing.T) {
	tests := map[string]struct {
		text string
		want int64
		err  string
	}{
		"mebibytes":     {text: "184MiB", want: 184 << 20},
		"megabytes":     {text: "184MB", want: 184e6},
		"gibibytes":     {text: "2GiB", want: 2 << 30},
		"no unit":       {text: "184", err: "units"},
		"unknown unit":  {text: "184mib", err: "units"},
		"fraction":      {text: "0.5GiB", err: "range"},
		"zero":          {text: "0MiB", err: "range"},
		"negative":      {text: "-1MiB", err: "range"},
		"overflow":      {text: "8388608TiB", err: "range"},
		"long overflow": {text: "99999999999999999999MiB", err: "range"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, role := range []settings.Role{settings.RoleControl, settings.RoleEntry, settings.RoleAgent, settings.RoleAllInOne} {
				var s settings.Settings
				app := kingpin.New("test", "").Terminate(nil)
				settings.Register(app.Command("run", ""), &s, role)
				_, err := app.Parse([]string{"run", "--memory-limit=" + tt.text, "--descriptor-limit=100"})
				switch {
				case tt.err == "" && (err != nil || s.MemoryLimit != tt.want || s.DescriptorLimit != 100):
					t.Errorf("%s: %d bytes, %d descriptors, error %v", role, s.MemoryLimit, s.DescriptorLimit, err)
				case tt.err != "" && (err == nil || !strings.Contains(err.Error(), tt.err)):
					t.Errorf("%s: %d bytes, error %v, want %q", role, s.MemoryLimit, err, tt.err)
				}
			}
		})
	}
}
