package disk

import (
	"os"

	"github.com/rotisserie/eris"

	"zinniasill/core/consensus"
)

// Save makes the writes of a Ready durable. An error is final: the folder must
// be closed and opened again, because it is not known what is on disk.
func (f *Folder) Save(ready consensus.Ready) error {
	if f.err != nil {
		return f.err
	}
	if !ready.Writes() {
		return nil
	}
	if err := f.save(ready); err != nil {
		f.err = eris.Wrapf(err, "write to data folder %s", f.cfg.Path)
	}
	return f.err
}

func (f *Folder) save(ready consensus.Ready) error {
	if ready.Snapshot == nil {
		return f.appendRecord(record{Hard: ready.Hard, Entries: ready.Entries})
	}
	// Hard state and truncation precede the snapshot, so that entries that conflict
	// with it never follow it.
	before := record{Hard: ready.Hard}
	if ready.Truncate {
		before.Truncate = ready.Snapshot.Index
	}
	if before.Hard != nil || before.Truncate > 0 {
		if err := f.appendRecord(before); err != nil {
			return err
		}
	}
	return f.saveSnapshot(*ready.Snapshot, ready.Entries)
}

// appendRecord writes one frame, syncs it, and begins a new segment when this one
// is full.
func (f *Folder) appendRecord(rec record) error {
	if problem := f.log.apply(rec); problem != "" {
		return eris.New(problem)
	}
	frame, err := appendFrame(f.buffer[:0], position{f.number, f.size}, rec)
	if err != nil {
		return err
	}
	f.buffer = frame
	if _, err := f.segment.Write(frame); err != nil {
		return err
	}
	if err := f.segment.Sync(); err != nil {
		return err
	}
	f.size += int64(len(frame))
	if f.size < f.cfg.SegmentSize {
		return nil
	}
	return f.startSegment(f.number+1, record{Hard: &f.log.hard})
}

// saveSnapshot replaces the snapshot, then begins a segment with the entries
// after it, then removes the segments before.
func (f *Folder) saveSnapshot(snapshot consensus.Snapshot, entries []consensus.Entry) error {
	data, err := encodeFile(snapshotHeader, 0, snapshot)
	if err != nil {
		return err
	}
	if err := f.writeFile(snapshotName, data); err != nil {
		return err
	}
	f.log.cover(snapshot.Index)
	if problem := f.log.apply(record{Entries: entries}); problem != "" {
		return eris.New(problem)
	}
	old := f.number
	if err := f.startSegment(old+1, record{Hard: &f.log.hard, Entries: f.log.entries}); err != nil {
		return err
	}
	return f.removeSegments(old)
}

// removeSegments removes the segments up to last, oldest first, so that those
// that remain after a crash have no gap.
func (f *Folder) removeSegments(last uint64) error {
	first := last
	for first > 1 {
		if _, err := os.Stat(f.file(segmentName(first - 1))); err != nil {
			break
		}
		first--
	}
	for number := first; number <= last; number++ {
		if err := os.Remove(f.file(segmentName(number))); err != nil {
			return err
		}
	}
	return syncFolder(f.cfg.Path)
}

// startSegment creates a segment with its first frame and continues in it.
func (f *Folder) startSegment(number uint64, first record) error {
	data, err := encodeFile(logHeader, number, first)
	if err != nil {
		return err
	}
	name := segmentName(number)
	if err := f.writeFile(name, data); err != nil {
		return err
	}
	file, err := os.OpenFile(f.file(name), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return err
	}
	if f.segment != nil {
		_ = f.segment.Close() // synced after its last write
	}
	f.segment = file
	f.number = number
	f.size = int64(len(data))
	return nil
}

// writeFile replaces a file so that, after a crash, it has either the old or the
// new content.
func (f *Folder) writeFile(name string, data []byte) error {
	temp := f.file(name + tempSuffix)
	file, err := os.OpenFile(temp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close() // the write error is reported
		return err
	}
	if err := file.Sync(); err != nil {
		_ = file.Close() // the sync error is reported
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := os.Rename(temp, f.file(name)); err != nil {
		return err
	}
	return syncFolder(f.cfg.Path)
}

// syncFolder makes the names in a folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	if err := folder.Sync(); err != nil {
		_ = folder.Close() // the sync error is reported
		return err
	}
	return folder.Close()
}
