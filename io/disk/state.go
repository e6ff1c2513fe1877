package disk

import (
	"fmt"

	"zinniasill/core/consensus"
)

// logState is the content of the log: the hard state and the entries after the
// snapshot.
type logState struct {
	hard    consensus.HardState
	entries []consensus.Entry
	// covered is the index of the snapshot.
	covered consensus.Index
}

// replay applies the payload of a frame. It returns a problem or "".
func (l *logState) replay(payload []byte) string {
	var rec record
	if err := frameMode.Unmarshal(payload, &rec); err != nil {
		return "undecodable content: " + err.Error()
	}
	return l.apply(rec)
}

func (l *logState) apply(rec record) string {
	if rec.Hard != nil {
		l.hard = *rec.Hard
	}
	if rec.Truncate > 0 {
		l.truncate(rec.Truncate)
	}
	for _, entry := range rec.Entries {
		if problem := l.add(entry); problem != "" {
			return problem
		}
	}
	return ""
}

// truncate drops the entries after index.
func (l *logState) truncate(index consensus.Index) {
	for len(l.entries) > 0 && l.entries[len(l.entries)-1].Index > index {
		l.entries = l.entries[:len(l.entries)-1]
	}
}

// add appends an entry, which replaces all entries from its index on. Entries
// that the snapshot covers are not kept.
func (l *logState) add(entry consensus.Entry) string {
	if entry.Index <= l.covered {
		l.entries = nil
		return ""
	}
	last := l.covered
	if len(l.entries) > 0 {
		last = l.entries[len(l.entries)-1].Index
	}
	if entry.Index > last+1 {
		return fmt.Sprintf("entry %d follows entry %d", entry.Index, last)
	}
	l.truncate(entry.Index - 1)
	l.entries = append(l.entries, entry)
	return ""
}

// cover drops the entries up to the index of a new snapshot.
func (l *logState) cover(index consensus.Index) {
	l.covered = index
	kept := 0
	for kept < len(l.entries) && l.entries[kept].Index <= index {
		kept++
	}
	l.entries = append([]consensus.Entry(nil), l.entries[kept:]...)
}
