package node

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"zinniasill/core/control"
)

// TestPackDocument guards against configurations that are refused for their size, or that
// a node cannot read: one with thousands of queues exceeded the limit of a command.
func TestPackDocument(t *testing.T) {
	var queues strings.Builder
	for i := range 5000 {
		fmt.Fprintf(&queues, `{"name":"queue-%x","host":"host-%x.example","path":"/p%x/","timeout":1500},`, i*7919, i*104729, i*31)
	}
	tests := map[string]struct {
		store   func(content []byte) ([]byte, error)
		content string
	}{
		"small":                        {packDocument, `{"version":1}`},
		"thousands of queues":          {packDocument, queues.String()},
		"stored by an earlier version": {func(content []byte) ([]byte, error) { return content, nil }, `{"version":1}`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			stored, err := tt.store([]byte(tt.content))
			if err != nil {
				t.Fatal(err)
			}
			if len(stored) > control.MaxDocumentSize {
				t.Errorf("%d bytes are stored as %d, want at most %d", len(tt.content), len(stored), control.MaxDocumentSize)
			}
			content, err := unpackDocument(stored)
			if err != nil || string(content) != tt.content {
				t.Errorf("got %d bytes and %v, want the %d bytes that were stored", len(content), err, len(tt.content))
			}
		})
	}
}

// TestUnpackMalformedDocument guards against a stored document that takes a process down
// or is put into force in part: one that is cut off, and one that decompresses to more than
// the limit.
func TestUnpackMalformedDocument(t *testing.T) {
	packed, err := packDocument([]byte(strings.Repeat("a", 1000)))
	if err != nil {
		t.Fatal(err)
	}
	large, err := packDocument(bytes.Repeat([]byte{'a'}, MaxDocumentSize+1))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string][]byte{
		"header only": packed[:2],
		"cut off":     packed[:len(packed)-9],
		"too large":   large,
	}
	for name, stored := range tests {
		t.Run(name, func(t *testing.T) {
			if content, err := unpackDocument(stored); err == nil {
				t.Errorf("unpacked to %d bytes, want an error", len(content))
			}
		})
	}
}

// TestUnpackedSize guards against the memory of a document that is asked for wrongly before it
// is unpacked.
func TestUnpackedSize(t *testing.T) {
	content := bytes.Repeat([]byte("{} "), 100_000)
	packed, err := packDocument(content)
	if err != nil {
		t.Fatal(err)
	}
	if size := unpackedSize(packed); size < int64(len(content)) || size > int64(len(content))+bytes.MinRead {
		t.Errorf("%d bytes for a document of %d", size, len(content))
	}
	if size := unpackedSize(content); size != 0 {
		t.Errorf("%d bytes for a document that is stored as it is", size)
	}
	if size := unpackedSize(gzipMagic); size != 0 {
		t.Errorf("%d bytes for a damaged document", size)
	}
}
