package consensus

// entryLog is the part of the log that is held in memory: the entries after baseIndex.
// Entries are never modified in place, because messages share them.
type entryLog struct {
	baseIndex Index
	baseTerm  Term
	entries   []Entry
	// stable is the last index that is durable on disk.
	stable Index
	// persisting is the last index of the write in progress, 0 if there is none.
	persisting Index
}

// last returns the index of the last entry.
func (l *entryLog) last() Index {
	return l.baseIndex + Index(len(l.entries))
}

func (l *entryLog) lastTerm() Term {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if it is not in memory.
func (l *entryLog) term(index Index) (Term, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].Term, true
	}
}

// slice returns the entries from first to last, inclusive.
func (l *entryLog) slice(first, last Index) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.baseIndex-1 : last-l.baseIndex : last-l.baseIndex]
}

// batch returns entries from first on, within both limits, but at least one if there is
// one.
func (l *entryLog) batch(first Index, maxEntries, maxBytes int) []Entry {
	entries := l.slice(first, min(l.last(), first+Index(maxEntries)-1))
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > maxBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries
}

// add appends one entry.
func (l *entryLog) add(entry Entry) {
	l.entries = append(l.entries, entry)
}

// truncate removes the entries after index.
func (l *entryLog) truncate(index Index) {
	l.entries = l.slice(l.baseIndex+1, index)
	l.stable = min(l.stable, index)
	l.persisting = min(l.persisting, index)
}

// compact removes the entries up to index. It does nothing if index is not in memory.
func (l *entryLog) compact(index Index) {
	term, ok := l.term(index)
	if !ok {
		return
	}
	remaining := l.slice(index+1, l.last())
	l.entries = append([]Entry(nil), remaining...)
	l.baseIndex = index
	l.baseTerm = term
}

// reset replaces the log by an empty one that starts after a snapshot.
func (l *entryLog) reset(index Index, term Term) {
	*l = entryLog{baseIndex: index, baseTerm: term, stable: index}
}

// conflictHint returns the index at which the leader should retry after a conflict at
// index: the one before the first entry of the term at index, so that the leader skips a
// whole term at a time.
func (l *entryLog) conflictHint(index Index) Index {
	if index > l.last() {
		return l.last()
	}
	term, ok := l.term(index)
	if !ok {
		return l.baseIndex
	}
	for index > l.baseIndex+1 {
		before, _ := l.term(index - 1)
		if before != term {
			break
		}
		index--
	}
	return index - 1
}
