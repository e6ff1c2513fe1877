package disk

import (
	"os"
	"syscall"
)

// ReplaceSegment redirects writes of the log to file, so that tests can inject write
// errors.
func (f *Folder) ReplaceSegment(file *os.File) {
	f.segment = file
}

// FailWritesUntil makes each write to the log store half of its data and fail with
// ENOSPC, until hasSpace returns true.
func (f *Folder) FailWritesUntil(hasSpace func() bool) {
	f.segment = fullDiskFile{logFile: f.segment, hasSpace: hasSpace}
}

// fullDiskFile is a logFile on a simulated disk without free space.
type fullDiskFile struct {
	logFile
	hasSpace func() bool
}

func (l fullDiskFile) Write(data []byte) (int, error) {
	if l.hasSpace() {
		return l.logFile.Write(data)
	}
	n, err := l.logFile.Write(data[:len(data)/2])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}
