package disk

import (
	"errors"
	"io"
	"os"
	"syscall"

	"github.com/rotisserie/eris"

	"zinniasill/core/consensus"
)

// Save makes the writes of a Ready durable. After ErrFull the caller must retry with
// the same Ready before it saves anything else. Any other error is permanent: the
// folder must be closed and reopened, because the content of the disk is undefined.
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
	// The hard state and the truncation are written before the snapshot, so that a
	// crash never leaves entries that conflict with the snapshot after it.
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

// appendRecord writes and syncs one frame, and starts a new segment once the current
// one has reached its maximum size.
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
		return f.rollBackWrite(err)
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

// rollBackWrite truncates the partial frame that a write to a full disk has left, and
// returns ErrFull. If the truncation fails, or the write failed for another reason, it
// returns the write error, which is permanent.
func (f *Folder) rollBackWrite(failed error) error {
	if !errors.Is(failed, syscall.ENOSPC) {
		return failed
	}
	if err := f.segment.Truncate(f.size); err != nil {
		return eris.Wrapf(failed, "truncate the incomplete frame: %v", err)
	}
	if _, err := f.segment.Seek(f.size, io.SeekStart); err != nil {
		return eris.Wrapf(failed, "seek to the end of the log: %v", err)
	}
	return wrapDiskFull(failed)
}

// saveSnapshot replaces the snapshot, starts a new segment with the entries after it,
// and removes the previous segments, in this order.
func (f *Folder) saveSnapshot(snapshot consensus.Snapshot, entries []consensus.Entry) error {
	data, err := encodeFile(snapshotHeader, 0, snapshot)
	if err != nil {
		return err
	}
	if err := f.writeFile(snapshotName, data); err != nil {
		return err
	}
	f.log.compact(snapshot.Index)
	if problem := f.log.apply(record{Entries: entries}); problem != "" {
		return eris.New(problem)
	}
	old := f.number
	if err := f.startSegment(old+1, record{Hard: &f.log.hard, Entries: f.log.entries}); err != nil {
		return err
	}
	return f.removeSegments(old)
}

// removeSegments removes the segments up to last, oldest first, so that a crash leaves
// no gap between the remaining ones.
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

// startSegment creates a segment with its first frame and makes it the current one.
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

// writeFile replaces a file atomically: after a crash it has either the old or the new
// content.
func (f *Folder) writeFile(name string, data []byte) error {
	temp := f.file(name + tempSuffix)
	file, err := os.OpenFile(temp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return wrapDiskFull(err)
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close() // the write error is reported
		return wrapDiskFull(err)
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

// wrapDiskFull converts ENOSPC to ErrFull and returns other errors unchanged. The write
// that failed must have left no data in the log.
func wrapDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return eris.Wrapf(ErrFull, "%v", err)
	}
	return err
}

// syncFolder syncs a directory, which makes created, renamed and removed files durable.
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
