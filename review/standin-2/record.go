package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes record.txt: a line for each event, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{file: file, began: time.Now()}, nil
}

// add writes one event.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// at returns a time as written in the record.
func (r *record) at(t time.Time) float64 {
	return t.Sub(r.began).Seconds()
}

func (r *record) close() {
	_ = r.file.Close()
}
