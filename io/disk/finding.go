package disk

import (
	"fmt"
	"strings"
)

// Finding is one inconsistency or corruption detected in a data folder.
type Finding struct {
	// File is the name of the file, relative to the folder.
	File string
	// Offset is the position in the file, in bytes.
	Offset int64
	// Problem describes what is wrong.
	Problem string
}

// String returns the finding in the form file:offset: problem.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s", f.File, f.Offset, f.Problem)
}

// FolderError is returned by Open for a folder that is corrupt or incomplete. It
// lists all findings.
type FolderError struct {
	Path     string
	Findings []Finding
}

// Error returns one line for the folder and one for each finding.
func (e *FolderError) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	lines = append(lines, fmt.Sprintf("data folder %s is corrupt or incomplete:", e.Path))
	for _, finding := range e.Findings {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n\t")
}
