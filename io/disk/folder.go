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

// DefaultSegmentSize is the size in bytes from which on a new segment is begun.
const DefaultSegmentSize = 16 << 20

// Permissions of the folder and its files.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Errors of a folder.
var (
	// ErrLocked is returned when another process uses the folder.
	ErrLocked = eris.New("data folder is in use by another process")
	// ErrClosed is returned by Save after Close.
	ErrClosed = eris.New("data folder is closed")
	// ErrFull is returned by Save when the disk has no room. The folder is as if the
	// call had not been made, or as if part of the Ready had been saved.
	ErrFull = eris.New("disk is full")
)

// logFile is the file of the current segment.
type logFile interface {
	io.WriteSeeker
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// Config configures a Folder. Path is required.
type Config struct {
	Path string
	// SegmentSize is in bytes, DefaultSegmentSize if 0.
	SegmentSize int64
	// NewInstance draws the instance of an empty folder. It is random if nil.
	NewInstance func() (zinniasill.Incarnation, error)
}

// Contents is what a folder held when it was opened.
type Contents struct {
	Instance  zinniasill.Incarnation
	Recovered consensus.Recovered
	// Torn has the unfinished write that was dropped, if any.
	Torn []Finding
}

// Folder is an open data folder. Use Open. It must not be used concurrently.
type Folder struct {
	cfg     Config
	lock    *os.File
	segment logFile
	number  uint64
	size    int64
	log     logState
	buffer  []byte
	// err is the first error of a write other than ErrFull. What is on disk is not
	// known after it, so it is final.
	err error
}

// Open locks a folder, creates it if it is missing, and returns what it holds.
// A folder with corruption, with missing files or with files of another program
// is refused with a FolderError.
func Open(cfg Config) (*Folder, Contents, error) {
	if cfg.SegmentSize == 0 {
		cfg.SegmentSize = DefaultSegmentSize
	}
	if cfg.NewInstance == nil {
		cfg.NewInstance = randomInstance
	}
	if err := makeFolder(cfg.Path); err != nil {
		return nil, Contents{}, eris.Wrapf(err, "create data folder %s", cfg.Path)
	}
	f := &Folder{cfg: cfg}
	if err := f.acquire(); err != nil {
		return nil, Contents{}, err
	}
	found, err := f.load()
	if err != nil {
		f.release()
		return nil, Contents{}, err
	}
	return f, found, nil
}

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

// makeFolder creates the folder and syncs its parent if it is missing.
func makeFolder(path string) error {
	if _, err := os.Stat(path); err == nil || !os.IsNotExist(err) {
		return err
	}
	if err := os.MkdirAll(path, folderMode); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

// acquire takes the lock of the folder.
func (f *Folder) acquire() error {
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

// release closes the files. What was saved is synced already, so that errors have
// no effect.
func (f *Folder) release() {
	if f.segment != nil {
		_ = f.segment.Close()
	}
	_ = f.lock.Close()
}

// load reads the folder and prepares it for writing.
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

func (f *Folder) prepare(s *scan) error {
	for _, name := range s.temps {
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

func (f *Folder) createIdentity(s *scan) error {
	instance, err := f.cfg.NewInstance()
	if err != nil {
		return eris.Wrap(err, "draw an instance")
	}
	data, err := encodeFile(identityHeader, 0, identity{Instance: uint64(instance)})
	if err != nil {
		return err
	}
	s.instance = instance
	return f.writeFile(identityName, data)
}

// continueSegment opens the last segment for writing and cuts off a torn tail.
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

func (f *Folder) file(name string) string {
	return filepath.Join(f.cfg.Path, name)
}

// Close releases the folder. Everything that was saved is already synced.
func (f *Folder) Close() {
	if f.err == nil {
		f.err = ErrClosed
	}
	f.release()
}
