package disk

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/consensus"
)

// DefaultSegmentSize is the size in bytes at which a log segment is closed and a new
// one is started.
const DefaultSegmentSize = 16 << 20

// Permissions of the data folder and its files: the owner only.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Errors returned by Open and Save.
var (
	// ErrLocked is returned by Open when another process holds the lock.
	ErrLocked = eris.New("data folder is in use by another process")
	// ErrClosed is returned by Save after Close.
	ErrClosed = eris.New("data folder is closed")
	// ErrFull is returned by Save when the disk has no free space. Either nothing or
	// a prefix of the writes of the Ready is durable.
	ErrFull = eris.New("disk is full")
)

// logFile is the file of the current log segment.
type logFile interface {
	io.WriteSeeker
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// Config configures a Folder. Path is required.
type Config struct {
	Path string
	// SegmentSize is the size in bytes at which a new log segment is started,
	// DefaultSegmentSize if 0.
	SegmentSize int64
	// NewInstance generates the instance number for an empty folder. If nil, the
	// number is random.
	NewInstance func() (zinniasill.Incarnation, error)
}

// Contents is the state read from a folder when it was opened.
type Contents struct {
	Instance  zinniasill.Incarnation
	Recovered consensus.Recovered
	// Torn describes the incomplete last write that was discarded, if any.
	Torn []Finding
}

// Folder is an open data folder, created by Open. It is not safe for concurrent use.
type Folder struct {
	cfg     Config
	lock    *os.File
	segment logFile
	// number and size (in bytes) are those of the current segment.
	number uint64
	size   int64
	log    logState
	buffer []byte // reused to encode frames
	// err is the first write error other than ErrFull. It is permanent, because the
	// content of the disk is undefined after it.
	err error
}

// Open locks a data folder, creating it if necessary, and returns its contents. It
// returns a *FolderError if the folder is corrupt, lacks files or has unexpected ones.
// An incomplete write at the end of the log is not an error: it is discarded and
// reported in Contents.Torn.
func Open(cfg Config) (*Folder, Contents, error) {
	if cfg.SegmentSize == 0 {
		cfg.SegmentSize = DefaultSegmentSize
	}
	if cfg.NewInstance == nil {
		cfg.NewInstance = randomInstance
	}
	if err := createFolder(cfg.Path); err != nil {
		return nil, Contents{}, eris.Wrapf(err, "create data folder %s", cfg.Path)
	}
	f := &Folder{cfg: cfg}
	if err := f.acquireLock(); err != nil {
		return nil, Contents{}, err
	}
	found, err := f.load()
	if err != nil {
		f.closeFiles()
		return nil, Contents{}, err
	}
	return f, found, nil
}

// randomInstance returns a random number other than 0.
func randomInstance() (zinniasill.Incarnation, error) {
	var bytes [8]byte
	for {
		if _, err := rand.Read(bytes[:]); err != nil {
			return 0, err
		}
		if instance := binary.LittleEndian.Uint64(bytes[:]); instance != 0 {
			return zinniasill.Incarnation(instance), nil
		}
	}
}

// createFolder creates the folder if it does not exist, and syncs its parent.
func createFolder(path string) error {
	if _, err := os.Stat(path); err == nil || !os.IsNotExist(err) {
		return err
	}
	if err := os.MkdirAll(path, folderMode); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

// acquireLock locks the folder against other processes.
func (f *Folder) acquireLock() error {
	file, err := os.OpenFile(f.file(lockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return eris.Wrapf(err, "open the lock of data folder %s", f.cfg.Path)
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err != nil {
		_ = file.Close() // nothing was written
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return eris.Wrap(ErrLocked, f.cfg.Path)
		}
		return eris.Wrapf(err, "lock data folder %s", f.cfg.Path)
	}
	f.lock = file
	return nil
}

// closeFiles closes the segment and the lock file. Errors are ignored, because all
// saved data is already synced.
func (f *Folder) closeFiles() {
	if f.segment != nil {
		_ = f.segment.Close()
	}
	_ = f.lock.Close()
}

// load reads and validates the folder, then prepares it for writing.
func (f *Folder) load() (Contents, error) {
	s := &scan{path: f.cfg.Path}
	if err := s.run(); err != nil {
		return Contents{}, eris.Wrapf(err, "read data folder %s", f.cfg.Path)
	}
	if len(s.findings) > 0 {
		return Contents{}, &FolderError{Path: f.cfg.Path, Findings: s.findings}
	}
	if err := f.prepare(s); err != nil {
		return Contents{}, eris.Wrapf(err, "prepare data folder %s", f.cfg.Path)
	}
	return Contents{
		Instance: s.instance,
		Torn:     s.torn,
		Recovered: consensus.Recovered{
			Hard:     s.log.hard,
			Snapshot: s.snapshot,
			Entries:  append([]consensus.Entry(nil), s.log.entries...),
		},
	}, nil
}

// prepare removes temporary files, creates the identity if it is missing, and opens
// the last segment or starts the first.
func (f *Folder) prepare(s *scan) error {
	for _, name := range s.tempFiles {
		if err := os.Remove(f.file(name)); err != nil {
			return err
		}
	}
	if s.instance == 0 {
		if err := f.createIdentity(s); err != nil {
			return err
		}
	}
	f.log = s.log
	if len(s.segments) == 0 {
		return f.startSegment(1, record{Hard: &f.log.hard})
	}
	return f.continueSegment(s)
}

// createIdentity generates the instance number of a new replica and stores it.
func (f *Folder) createIdentity(s *scan) error {
	instance, err := f.cfg.NewInstance()
	if err != nil {
		return eris.Wrap(err, "generate an instance number")
	}
	data, err := encodeFile(identityHeader, 0, identity{Instance: uint64(instance)})
	if err != nil {
		return err
	}
	s.instance = instance
	return f.writeFile(identityName, data)
}

// continueSegment opens the last segment for appending, after truncating an incomplete
// write at its end.
func (f *Folder) continueSegment(s *scan) error {
	f.number = s.segments[len(s.segments)-1]
	f.size = s.end
	file, err := os.OpenFile(f.file(segmentName(f.number)), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	f.segment = file
	if len(s.torn) > 0 {
		if err := file.Truncate(s.end); err != nil {
			return err
		}
		if err := file.Sync(); err != nil {
			return err
		}
	}
	_, err = file.Seek(s.end, 0)
	return err
}

// file returns the path of a file in the folder.
func (f *Folder) file(name string) string {
	return filepath.Join(f.cfg.Path, name)
}

// Close closes the files and releases the lock. All saved data is already synced.
func (f *Folder) Close() {
	if f.err == nil {
		f.err = ErrClosed
	}
	f.closeFiles()
}
