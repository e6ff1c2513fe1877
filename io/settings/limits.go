package settings

import (
	"io/fs"
	"math"
	"path"
	"strconv"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	// minMemoryLimit is the lowest limit in bytes. A process uses about 14 MiB without load,
	// and the largest job needs about 65 MiB more.
	minMemoryLimit = 64 << 20
	// minDescriptorLimit is the lowest limit. Half of it is kept for files and links.
	minDescriptorLimit = 64
	// defaultDescriptorLimit applies if the limit of the process is unknown.
	defaultDescriptorLimit = 1024
	// maxDescriptorLimit replaces an unlimited number.
	maxDescriptorLimit = 1 << 20
)

// DetectLimits sets the limits that have no value: the memory limit to the smaller of the
// machine's memory and the limit of the control group, and the descriptor limit to that of
// the process. root is the file system with /proc and /sys.
func (s *Settings) DetectLimits(root fs.FS) {
	if s.MemoryLimit == 0 {
		s.MemoryLimit = detectMemory(root)
	}
	if s.DescriptorLimit == 0 {
		s.DescriptorLimit = ProcessDescriptors()
	}
}

func (s *Settings) checkLimits(found *FindingErrors) {
	if s.MemoryLimit != 0 && s.MemoryLimit < minMemoryLimit {
		found.add("memory-limit", "%d bytes are fewer than %d MiB", s.MemoryLimit, minMemoryLimit>>20)
	}
	most := ProcessDescriptors()
	if s.DescriptorLimit != 0 && (s.DescriptorLimit < minDescriptorLimit || s.DescriptorLimit > most) {
		found.add("descriptor-limit", "%d is not between %d and the limit of the process, %d", s.DescriptorLimit, minDescriptorLimit, most)
	}
}

// ProcessDescriptors returns the number of descriptors that the process can open.
func ProcessDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return defaultDescriptorLimit
	}
	return int(min(limit.Cur, maxDescriptorLimit))
}

// detectMemory returns the smallest limit on the memory of the process in bytes, 0 if none is
// known.
func detectMemory(root fs.FS) int64 {
	limit := int64(math.MaxInt64)
	for _, known := range append(groupLimits(root), machineMemory(root)) {
		if known > 0 {
			limit = min(limit, known)
		}
	}
	if limit == math.MaxInt64 {
		return 0
	}
	return limit
}

// machineMemory returns the memory of the machine in bytes, 0 if it is unknown.
func machineMemory(root fs.FS) int64 {
	data, err := fs.ReadFile(root, "proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			kibibytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			if err == nil && kibibytes < math.MaxInt64>>10 {
				return kibibytes << 10
			}
		}
	}
	return 0
}

// groupLimits returns the limits in bytes of the control groups that contain the process, of
// both versions. Each parent group limits its children too.
func groupLimits(root fs.FS) []int64 {
	data, err := fs.ReadFile(root, "proc/self/cgroup")
	if err != nil {
		return nil
	}
	var limits []int64
	for line := range strings.Lines(string(data)) {
		// A line is of the form id:controllers:path; version 2 has no controllers.
		fields := strings.SplitN(strings.TrimSpace(line), ":", 3)
		if len(fields) != 3 {
			continue
		}
		var folder, file string
		switch fields[1] {
		case "":
			folder, file = "sys/fs/cgroup", "memory.max"
		case "memory":
			folder, file = "sys/fs/cgroup/memory", "memory.limit_in_bytes"
		default:
			continue
		}
		for group := path.Clean("/" + fields[2]); ; group = path.Dir(group) {
			limits = append(limits, readLimit(root, path.Join(folder, group, file)))
			if group == "/" {
				break
			}
		}
	}
	return limits
}

// readLimit returns the number in a file, 0 if there is none, such as for the word max.
func readLimit(root fs.FS, name string) int64 {
	data, err := fs.ReadFile(root, name)
	if err != nil {
		return 0
	}
	limit, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0
	}
	return limit
}

// size is a number of bytes as a flag, a whole number with a unit. It is not parsed as a
// floating-point number, whose conversion to an integer depends on the processor.
type size int64

// units are the units of a size in bytes.
var units = []struct {
	name  string
	bytes int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"KB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"TB", 1e12},
}

// Set implements kingpin.Value.
func (s *size) Set(text string) error {
	for _, unit := range units {
		digits, ok := strings.CutSuffix(text, unit.name)
		if !ok {
			continue
		}
		number, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || number < 1 || number > math.MaxInt64/unit.bytes {
			return eris.Errorf("%q is not a size in range", text)
		}
		*s = size(number * unit.bytes)
		return nil
	}
	return eris.Errorf("%q is not a whole number with one of the units KiB, MiB, GiB, TiB, KB, MB, GB, TB", text)
}

// String implements kingpin.Value. The zero value, for a limit that is detected, is empty.
func (s *size) String() string {
	if *s == 0 {
		return ""
	}
	return strconv.FormatInt(int64(*s), 10) + "B"
}
