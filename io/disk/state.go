package disk

import (
	"fmt"

	"zinniasill/core/consensus"
)

// logState is the state recorded in the log: the hard state and the entries after
// the snapshot.
type logState struct {
	hard    consensus.HardState
	entries []consensus.Entry
	// snapshotIndex is the index of the last entry that the snapshot includes.
	snapshotIndex consensus.Index
}

// replay decodes the payload of a frame and applies it. It returns a description of
// the error, or "" on success.
func (l *logState) replay(payload []byte) string {
	var rec record
	if err := payloadDecoder.Unmarshal(payload, &rec); err != nil {
		return "cannot decode payload: " + err.Error()
	}
	return l.apply(rec)
}

// apply updates the state with a record. It returns a description of the error, or
// "" on success.
func (l *logState) apply(rec record) string {
	if rec.Hard != nil {
		l.hard = *rec.Hard
	}
	if rec.Truncate > 0 {
		l.truncate(rec.Truncate)
	}
	for _, entry := range rec.Entries {
		if problem := l.appendEntry(entry); problem != "" {
			return problem
		}
	}
	return ""
}

// truncate removes the entries after index.
func (l *logState) truncate(index consensus.Index) {
	for len(l.entries) > 0 && l.entries[len(l.entries)-1].Index > index {
		l.entries = l.entries[:len(l.entries)-1]
	}
}

// appendEntry appends an entry after removing all entries at or after its index.
// An entry that the snapshot includes is not stored, and removes all entries.
func (l *logState) appendEntry(entry consensus.Entry) string {
	if entry.Index <= l.snapshotIndex {
		l.entries = nil
		return ""
	}
	last := l.snapshotIndex
	if len(l.entries) > 0 {
		last = l.entries[len(l.entries)-1].Index
	}
	if entry.Index > last+1 {
		return fmt.Sprintf("gap in the log: entry %d follows entry %d", entry.Index, last)
	}
	l.truncate(entry.Index - 1)
	l.entries = append(l.entries, entry)
	return ""
}

// compact removes the entries that a new snapshot at index includes.
func (l *logState) compact(index consensus.Index) {
	l.snapshotIndex = index
	first := 0
	for first < len(l.entries) && l.entries[first].Index <= index {
		first++
	}
	l.entries = append([]consensus.Entry(nil), l.entries[first:]...)
}
