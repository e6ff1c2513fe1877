package disk

import (
	"fmt"
	"strings"
)

// Finding is one thing found wrong in a data folder.
type Finding struct {
	// File is the name of the file in the folder.
	File string
	// Offset is the position in the file in bytes.
	Offset  int64
	Problem string
}

// String returns the finding in the form file:offset: problem.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s", f.File, f.Offset, f.Problem)
}

// FolderError is returned for a folder that must not be used. It has all
// findings.
type FolderError struct {
	Path     string
	Findings []Finding
}

// Error implements error.
func (e *FolderError) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	lines = append(lines, fmt.Sprintf("data folder %s is not usable:", e.Path))
	for _, finding := range e.Findings {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n\t")
}
