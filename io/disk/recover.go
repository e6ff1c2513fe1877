package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"zinniasill"
	"zinniasill/core/consensus"
)

// Names of the files in a folder.
const (
	lockName      = "lock"
	identityName  = "identity"
	snapshotName  = "snapshot"
	segmentPrefix = "log-"
	tempSuffix    = ".tmp"
)

// scan reads a folder and collects what is wrong in it.
type scan struct {
	path     string
	findings []Finding
	// torn is the torn tail of the last segment, which has no valid frame after it.
	torn     []Finding
	temps    []string
	segments []uint64
	instance zinniasill.Incarnation
	snapshot *consensus.Snapshot
	log      logState
	// end is the end of the valid frames of the last segment.
	end int64
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016d", segmentPrefix, number)
}

func (s *scan) find(file string, offset int64, problem string) {
	s.findings = append(s.findings, Finding{File: file, Offset: offset, Problem: problem})
}

// run reads the whole folder. The error is one of the operating system.
func (s *scan) run() error {
	identified, err := s.list()
	if err != nil {
		return err
	}
	if err := s.readSnapshot(); err != nil {
		return err
	}
	for i := range s.segments {
		if err := s.readSegment(i); err != nil {
			return err
		}
	}
	s.checkWhole(identified)
	return nil
}

// list sorts the files by kind and reads the identity. It reports whether there
// is one.
func (s *scan) list() (identified bool, err error) {
	files, err := os.ReadDir(s.path)
	if err != nil {
		return false, err
	}
	for _, file := range files {
		name := file.Name()
		number, isSegment := parseSegmentName(name)
		switch {
		case !file.Type().IsRegular():
			s.find(name, 0, "not a file of this program")
		case name == lockName || name == snapshotName:
		case name == identityName:
			identified = true
		case isSegment:
			s.segments = append(s.segments, number)
		case isTemp(name):
			s.temps = append(s.temps, name)
		default:
			s.find(name, 0, "not a file of this program")
		}
	}
	if !identified {
		return false, nil
	}
	data, err := os.ReadFile(filepath.Join(s.path, identityName))
	if err != nil {
		return true, err
	}
	var id identity
	if offset, problem := decodeFile(data, identityHeader, &id); problem != "" {
		s.find(identityName, offset, problem)
	} else if id.Instance == 0 {
		s.find(identityName, headerSize, "instance is 0")
	}
	s.instance = zinniasill.Incarnation(id.Instance)
	return true, nil
}

func parseSegmentName(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil && number > 0 && segmentName(number) == name
}

func isTemp(name string) bool {
	base, ok := strings.CutSuffix(name, tempSuffix)
	if !ok {
		return false
	}
	_, isSegment := parseSegmentName(base)
	return isSegment || base == identityName || base == snapshotName
}

func (s *scan) readSnapshot() error {
	data, err := os.ReadFile(filepath.Join(s.path, snapshotName))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	var snapshot consensus.Snapshot
	if offset, problem := decodeFile(data, snapshotHeader, &snapshot); problem != "" {
		s.find(snapshotName, offset, problem)
		return nil
	}
	s.snapshot = &snapshot
	s.log.covered = snapshot.Index
	return nil
}

// readSegment replays one segment.
func (s *scan) readSegment(i int) error {
	number := s.segments[i]
	name := segmentName(number)
	data, err := os.ReadFile(filepath.Join(s.path, name))
	if err != nil {
		return err
	}
	if i > 0 && number != s.segments[i-1]+1 {
		s.find(name, 0, fmt.Sprintf("segment %d before it is missing", number-1))
	}
	if len(data) < headerSize || string(data[:headerSize]) != logHeader {
		s.find(name, 0, "wrong file header")
		return nil
	}
	at := position{segment: number, offset: headerSize}
	for at.offset < int64(len(data)) {
		payload, ok := readFrame(data, at)
		if !ok {
			s.badFrame(i, data, at)
			break
		}
		if problem := s.log.replay(payload); problem != "" {
			s.find(name, at.offset, problem)
		}
		at.offset += frameSize + int64(len(payload))
	}
	if at.offset == headerSize && len(data) == headerSize {
		s.find(name, headerSize, "no frame in the segment")
	}
	s.end = at.offset
	return nil
}

// badFrame tells a torn tail from corruption. Only the last frame of the last
// segment can be torn: each frame is synced before the next is written, and the
// first frame of a segment before the segment gets its name.
func (s *scan) badFrame(i int, data []byte, at position) {
	name := segmentName(at.segment)
	switch {
	case hasFrameAfter(data, at):
		s.find(name, at.offset, "wrong checksum or length, with valid frames after it")
	case i < len(s.segments)-1:
		s.find(name, at.offset, "wrong checksum or length at the end, with a segment after it")
	case at.offset == headerSize:
		s.find(name, at.offset, "wrong checksum or length of the first frame")
	default:
		s.torn = append(s.torn, Finding{
			File: name, Offset: at.offset, Problem: fmt.Sprintf("torn tail of %d bytes dropped", int64(len(data))-at.offset),
		})
	}
}

// checkWhole checks that no file is missing.
func (s *scan) checkWhole(identified bool) {
	hasState := len(s.segments) > 0 || s.snapshot != nil
	switch {
	case !identified && hasState:
		s.find(identityName, 0, "missing, although there is a log or a snapshot")
	case identified && len(s.segments) == 0 && s.snapshot != nil:
		s.find(segmentName(1), 0, "no log segment, although there is a snapshot")
	case len(s.segments) > 0 && s.segments[0] != 1 && s.snapshot == nil:
		s.find(segmentName(s.segments[0]-1), 0, "segment is missing and there is no snapshot")
	}
}
