package disk

import "os"

// ReplaceSegment makes the folder write its log to file, so that tests can make
// writes fail.
func (f *Folder) ReplaceSegment(file *os.File) {
	f.segment = file
}
