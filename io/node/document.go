package node

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/control"
	"zinniasill/io/operator"
)

// maxConflicts bounds how often a change of a failure domain is tried if concurrent
// changes conflict with it.
const maxConflicts = 8

// MaxDocumentSize is the maximum size in bytes of the content of a configuration document.
// It is stored compressed, in at most control.MaxDocumentSize bytes.
const MaxDocumentSize = 4 << 20

// gzipSizeBytes is the size of the last field of compressed content, the size of the content.
const gzipSizeBytes = 4

// gzipMagic begins compressed content. Documents are texts, which cannot begin with it.
var gzipMagic = []byte{0x1f, 0x8b}

// PutDocument stores a complete configuration document under a version. It returns once
// this document, or one with the same or a higher version, is in force.
func (c *Control) PutDocument(ctx context.Context, version zinniasill.DocumentVersion, content []byte) error {
	command, err := documentCommand(version, content)
	if err != nil {
		return err
	}
	result, err := c.configuration().Propose(ctx, command)
	if err != nil {
		return err
	}
	return refused(result)
}

// ValidateDocument returns all validation errors of a document as PutDocument stores it.
func ValidateDocument(version zinniasill.DocumentVersion, content []byte) (control.FindingErrors, error) {
	command, err := documentCommand(version, content)
	if err != nil {
		return nil, err
	}
	return command.Validate(), nil
}

// documentCommand returns the command that stores a document.
func documentCommand(version zinniasill.DocumentVersion, content []byte) (control.Command, error) {
	packed, err := packDocument(content)
	if err != nil {
		return control.Command{}, err
	}
	// The digest is that of the packed content, since another build may pack the same
	// content differently.
	digest := sha256.Sum256(packed)
	return control.Command{
		Request:  control.RequestID(fmt.Sprintf("document-%d-%x", version, digest[:16])),
		Document: &control.PutDocument{Version: version, Content: packed},
	}, nil
}

// packDocument compresses the content of a document. Each change of the configuration is
// sent whole to the other replicas and to each entry, and after a restart of everything to
// all entries at once, some of them on slow links.
func packDocument(content []byte) ([]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(content); err != nil {
		return nil, eris.Wrap(err, "compress a configuration document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress a configuration document")
	}
	return packed.Bytes(), nil
}

// unpackedSize returns the memory in bytes that unpacking a stored document needs.
func unpackedSize(stored []byte) int64 {
	if !bytes.HasPrefix(stored, gzipMagic) || len(stored) < gzipSizeBytes {
		return 0
	}
	size := int64(binary.LittleEndian.Uint32(stored[len(stored)-gzipSizeBytes:]))
	return min(size, MaxDocumentSize) + bytes.MinRead
}

// unpackDocument returns the content of a stored document. Documents that were stored by
// earlier versions are not compressed.
func unpackDocument(stored []byte) ([]byte, error) {
	if !bytes.HasPrefix(stored, gzipMagic) {
		return stored, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(stored))
	if err != nil {
		return nil, eris.Wrap(err, "decompress a configuration document")
	}
	content := bytes.NewBuffer(make([]byte, 0, unpackedSize(stored)))
	if _, err := content.ReadFrom(io.LimitReader(r, MaxDocumentSize+1)); err != nil {
		return nil, eris.Wrap(err, "decompress a configuration document")
	}
	if content.Len() > MaxDocumentSize {
		return nil, eris.Errorf("a configuration document exceeds %d bytes", MaxDocumentSize)
	}
	return content.Bytes(), nil
}

// Document returns the latest document. Its version is 0 if there is none. It calls reserve
// with the memory in bytes that it needs, and returns its error.
func (c *Control) Document(ctx context.Context, reserve func(bytes int64) error) (catalog.Document, error) {
	cat, err := c.configuration().Catalog(ctx)
	if err != nil {
		return catalog.Document{}, err
	}
	doc := cat.Document
	if err := reserve(unpackedSize(doc.Content)); err != nil {
		return catalog.Document{}, err
	}
	doc.Content, err = unpackDocument(doc.Content)
	return doc, err
}

// SetDomain takes a failure domain out of service or puts it back into service.
func (c *Control) SetDomain(ctx context.Context, name zinniasill.Domain, state catalog.DomainState) error {
	for range maxConflicts {
		cat, err := c.configuration().Catalog(ctx)
		if err != nil {
			return err
		}
		current := cat.Domains[name]
		if current.State == state || current.State == "" && state == catalog.DomainInService {
			return nil
		}
		result, err := c.configuration().Propose(ctx, control.Command{
			Request: control.RequestID("domain-" + strconv.FormatUint(uint64(NewIncarnation()), 16)),
			Domain:  &control.PutDomain{Base: current.Revision, Name: name, State: state},
		})
		if err != nil {
			return err
		}
		if result.Code != control.CodeConflict {
			return refused(result)
		}
	}
	return eris.Errorf("concurrent changes of failure domain %s conflicted %d times", name, maxConflicts)
}

func (c *Control) configuration() operator.Replica {
	return operator.Replica{Loop: c.loop, Server: c.server}
}

// refused returns the error for a command that was not applied, or nil if it was.
func refused(result control.Result) error {
	switch {
	case len(result.Findings) > 0:
		return result.Findings
	case result.Code != "":
		return eris.Errorf("refused with %s", result.Code)
	default:
		return nil
	}
}
