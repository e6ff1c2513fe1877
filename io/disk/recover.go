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

// Names of the files in a data folder.
const (
	lockName      = "lock"
	identityName  = "identity"
	snapshotName  = "snapshot"
	segmentPrefix = "log-"
	tempSuffix    = ".tmp"
)

// scan reads a data folder and collects all findings.
type scan struct {
	path     string
	findings []Finding
	// torn describes the incomplete last frame of the last segment, if there is one.
	torn      []Finding
	tempFiles []string
	segments  []uint64
	instance  zinniasill.Incarnation
	snapshot  *consensus.Snapshot
	log       logState
	// end is the offset in bytes after the last valid frame of the last segment.
	end int64
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016d", segmentPrefix, number)
}

func (s *scan) addFinding(file string, offset int64, problem string) {
	s.findings = append(s.findings, Finding{File: file, Offset: offset, Problem: problem})
}

// run reads the whole folder. It returns I/O errors only; corruption is added to the
// findings.
func (s *scan) run() error {
	hasIdentity, err := s.list()
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
	s.checkMissingFiles(hasIdentity)
	return nil
}

// list classifies the files by name and reads the identity file. It reports whether
// that file exists.
func (s *scan) list() (hasIdentity bool, err error) {
	files, err := os.ReadDir(s.path)
	if err != nil {
		return false, err
	}
	for _, file := range files {
		name := file.Name()
		number, isSegment := parseSegmentName(name)
		switch {
		case !file.Type().IsRegular():
			s.addFinding(name, 0, "unexpected file")
		case name == lockName || name == snapshotName:
		case name == identityName:
			hasIdentity = true
		case isSegment:
			s.segments = append(s.segments, number)
		case isTemp(name):
			s.tempFiles = append(s.tempFiles, name)
		default:
			s.addFinding(name, 0, "unexpected file")
		}
	}
	if !hasIdentity {
		return false, nil
	}
	data, err := os.ReadFile(filepath.Join(s.path, identityName))
	if err != nil {
		return true, err
	}
	var id identity
	if offset, problem := decodeFile(data, identityHeader, &id); problem != "" {
		s.addFinding(identityName, offset, problem)
	} else if id.Instance == 0 {
		s.addFinding(identityName, headerSize, "instance number is 0")
	}
	s.instance = zinniasill.Incarnation(id.Instance)
	return true, nil
}

// parseSegmentName returns the number of a segment, and false if name is not the
// canonical name of a segment.
func parseSegmentName(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil && number > 0 && segmentName(number) == name
}

// isTemp reports whether name is that of a temporary file of writeFile.
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
		s.addFinding(snapshotName, offset, problem)
		return nil
	}
	s.snapshot = &snapshot
	s.log.snapshotIndex = snapshot.Index
	return nil
}

// readSegment replays the frames of segment i and checks that no segment is missing
// before it.
func (s *scan) readSegment(i int) error {
	number := s.segments[i]
	name := segmentName(number)
	data, err := os.ReadFile(filepath.Join(s.path, name))
	if err != nil {
		return err
	}
	if i > 0 && number != s.segments[i-1]+1 {
		s.addFinding(name, 0, fmt.Sprintf("preceding segment %d is missing", number-1))
	}
	if len(data) < headerSize || string(data[:headerSize]) != logHeader {
		s.addFinding(name, 0, "wrong file header")
		return nil
	}
	at := position{segment: number, offset: headerSize}
	for at.offset < int64(len(data)) {
		payload, ok := readFrame(data, at)
		if !ok {
			s.classifyInvalidFrame(i, data, at)
			break
		}
		if problem := s.log.replay(payload); problem != "" {
			s.addFinding(name, at.offset, problem)
		}
		at.offset += frameHeaderSize + int64(len(payload))
	}
	if at.offset == headerSize && len(data) == headerSize {
		s.addFinding(name, headerSize, "segment has no frames")
	}
	s.end = at.offset
	return nil
}

// classifyInvalidFrame distinguishes a torn write from corruption. Only the last frame
// of the last segment can be torn: each frame is synced before the next one is
// written, and the first frame of a segment is synced before the temporary file is
// renamed to the name of the segment.
func (s *scan) classifyInvalidFrame(i int, data []byte, at position) {
	name := segmentName(at.segment)
	switch {
	case hasFrameAfter(data, at):
		s.addFinding(name, at.offset, "wrong checksum or length, followed by valid frames")
	case i < len(s.segments)-1:
		s.addFinding(name, at.offset, "wrong checksum or length at the end, followed by another segment")
	case at.offset == headerSize:
		s.addFinding(name, at.offset, "wrong checksum or length of the first frame")
	default:
		s.torn = append(s.torn, Finding{
			File: name, Offset: at.offset, Problem: fmt.Sprintf("incomplete write of %d bytes discarded", int64(len(data))-at.offset),
		})
	}
}

// checkMissingFiles adds a finding if the identity, the first segment or the snapshot
// is missing.
func (s *scan) checkMissingFiles(hasIdentity bool) {
	hasState := len(s.segments) > 0 || s.snapshot != nil
	switch {
	case !hasIdentity && hasState:
		s.addFinding(identityName, 0, "missing, although a log or a snapshot exists")
	case hasIdentity && len(s.segments) == 0 && s.snapshot != nil:
		s.addFinding(segmentName(1), 0, "no log segment, although a snapshot exists")
	case len(s.segments) > 0 && s.segments[0] != 1 && s.snapshot == nil:
		s.addFinding(segmentName(s.segments[0]-1), 0, "segment is missing and no snapshot exists")
	}
}
