package disk

import (
	"errors"
	"io"
	"os"
	"syscall"

	"github.com/rotisserie/eris"

	"zinniasill/core/consensus"
)

// Save makes the writes of a Ready durable. After ErrFull the caller repeats the
// call with the same Ready, and saves nothing else before. Any other error is
// final: the folder must be closed and opened again, because it is not known what
// is on disk.
func (f *Folder) Save(ready consensus.Ready) error {
	if f.err != nil {
		return f.err
	}
	if !ready.Writes() {
		return nil
	}
	err := f.save(ready)
	if err == nil {
		return nil
	}
	err = eris.Wrapf(err, "write to data folder %s", f.cfg.Path)
	if !errors.Is(err, ErrFull) {
		f.err = err
	}
	return err
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
		return f.undo(err)
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

// undo cuts off what a failed write has left of a frame. It returns ErrFull if the
// disk had no room for the frame and the segment is whole again.
func (f *Folder) undo(failed error) error {
	if !errors.Is(failed, syscall.ENOSPC) {
		return failed
	}
	if err := f.segment.Truncate(f.size); err != nil {
		return eris.Wrapf(failed, "cut off the unfinished frame: %v", err)
	}
	if _, err := f.segment.Seek(f.size, io.SeekStart); err != nil {
		return eris.Wrapf(failed, "return to the end of the log: %v", err)
	}
	return fullError(failed)
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
		return fullError(err)
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close() // the write error is reported
		return fullError(err)
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

// fullError turns the error of a write that has left nothing behind into ErrFull if
// the disk has no room.
func fullError(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return eris.Wrapf(ErrFull, "%v", err)
	}
	return err
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
