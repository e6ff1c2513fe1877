package disk

import (
	"os"
	"syscall"
)

// ReplaceSegment makes the folder write its log to file, so that tests can make
// writes fail.
func (f *Folder) ReplaceSegment(file *os.File) {
	f.segment = file
}

// LimitSegment makes writes to the log fail for want of room, each after half of
// its data, until room returns true.
func (f *Folder) LimitSegment(room func() bool) {
	f.segment = limitedFile{logFile: f.segment, room: room}
}

type limitedFile struct {
	logFile
	room func() bool
}

func (l limitedFile) Write(data []byte) (int, error) {
	if l.room() {
		return l.logFile.Write(data)
	}
	n, err := l.logFile.Write(data[:len(data)/2])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}
