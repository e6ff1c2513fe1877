package httpserver

import (
	"errors"
	"io"
	"net/http"
	"time"

	"zinniasill"
	"zinniasill/core/budget"
)

const (
	// firstChunk and maxChunk are the sizes of the first and of the largest buffer of a
	// body. A body is kept in a list of buffers while it is read: growing one buffer would
	// need up to three times the size of the body.
	firstChunk = 4 << 10
	maxChunk   = 256 << 10
	// grantWait is how long a grant waits for accounts that were told to close, and
	// grantCheck how often it looks. They close within milliseconds.
	grantWait  = 300 * time.Millisecond
	grantCheck = 10 * time.Millisecond
)

// BodyBytes returns the memory that the largest body within a limit needs while it is read:
// for its buffers and for the joined body.
func BodyBytes(limit int64) int64 {
	return 2*limit + maxChunk + budget.SmallRequest
}

// ReadBody reads the body of a request. The error is an *http.MaxBytesError if it is larger
// than limit bytes, and a *budget.ExhaustedError if the budget does not grant them. In both
// cases the rest of the body is not read, and the connection is closed after the response.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	req := requestOf(r)
	if r.ContentLength > limit {
		closeAfterResponse(w, req)
		return nil, &http.MaxBytesError{Limit: limit}
	}
	body := bodyReader{req: req, source: http.MaxBytesReader(w, r.Body, limit), announced: r.ContentLength}
	data, err := body.read()
	if err == nil && req != nil {
		req.account.Settle()
		req.read = true
	}
	return data, req.check(w, err)
}

// Reserve asks for n more bytes for a request, for example before its body is decoded. The
// error is a *budget.ExhaustedError.
func Reserve(w http.ResponseWriter, r *http.Request, n int64) error {
	req := requestOf(r)
	return req.check(w, req.grow(n))
}

// ReserveResponse asks for n more bytes for a response. If the client does not read it, its
// connection may be closed when memory is short. The error is a *budget.ExhaustedError.
func ReserveResponse(w http.ResponseWriter, r *http.Request, n int64) error {
	req := requestOf(r)
	if err := req.check(w, req.grow(n)); err != nil || req == nil {
		return err
	}
	if req.conn != nil {
		req.conn.responding.Store(true)
		req.account.Transfer(req.cfg.Clock.Now())
	}
	return nil
}

// Keep returns all bytes of a request but n. It is called once the body is decoded and only
// its content is still needed.
func Keep(r *http.Request, n int64) {
	if req := requestOf(r); req != nil {
		req.account.Shrink(req.account.Bytes() - n)
	}
}

// requestOf returns the request in progress, or nil without a server of this package.
func requestOf(r *http.Request) *request {
	req, _ := r.Context().Value(requestKey{}).(*request)
	return req
}

// grow asks for n more bytes. It waits briefly if accounts are about to close.
func (req *request) grow(n int64) error {
	if req == nil {
		return nil
	}
	for waited := time.Duration(0); ; waited += grantCheck {
		err := req.account.Grow(req.cfg.Clock.Now(), n)
		var refusal *budget.ExhaustedError
		if !errors.As(err, &refusal) || !refusal.Pending || waited >= grantWait {
			return err
		}
		time.Sleep(grantCheck)
	}
}

// check prepares the connection for the refusal of a request. It returns the refusal in place
// of an error that follows from it.
func (req *request) check(w http.ResponseWriter, err error) error {
	if req == nil {
		return err
	}
	select {
	case <-req.account.Revoked():
		err = req.account.Grow(req.cfg.Clock.Now(), 0)
	default:
	}
	var refusal *budget.ExhaustedError
	if errors.As(err, &refusal) {
		req.refuse(w, refusal)
	}
	return err
}

// refuse counts a refusal and makes the server close the connection after the response.
func (req *request) refuse(w http.ResponseWriter, refusal *budget.ExhaustedError) {
	req.cfg.Counters.Inc(CounterRefused, zinniasill.Reason(refusal.Reason))
	if req.cfg.OnRefuse != nil {
		req.cfg.OnRefuse(req.http, refusal)
	}
	closeAfterResponse(w, req)
}

// boundRest bounds the time for a body that the handler has not read. A request that is refused
// without its body is otherwise answered only once the body has arrived.
func (req *request) boundRest(w http.ResponseWriter) {
	if !req.refused {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
	}
}

// closeAfterResponse makes the server close the connection after the response. The deadline
// keeps net/http from reading up to 256 KiB of a body that may never arrive.
func closeAfterResponse(w http.ResponseWriter, req *request) {
	w.Header().Set("Connection", "close")
	if req != nil {
		req.refused = true
		req.conn.linger()
		_ = http.NewResponseController(w).SetReadDeadline(pastTime)
	}
}

// bodyReader reads a body into a list of buffers.
type bodyReader struct {
	req    *request
	source io.Reader
	// announced is the Content-Length, -1 if it is unknown.
	announced int64
	chunks    [][]byte
	size      int64
	reserved  int64
}

// read reads the body to its end.
func (b *bodyReader) read() ([]byte, error) {
	for {
		free, err := b.free()
		if err != nil {
			return nil, err
		}
		n, err := b.source.Read(free)
		last := &b.chunks[len(b.chunks)-1]
		*last = (*last)[:len(*last)+n]
		b.size += int64(n)
		if b.req != nil && n > 0 {
			b.req.account.Progress(b.req.cfg.Clock.Now(), int64(n))
		}
		if errors.Is(err, io.EOF) {
			return b.join()
		}
		if err != nil {
			return nil, err
		}
	}
}

// free returns the free part of the last buffer, or a new buffer. It is a byte larger than the
// announced rest, so that the end of the body is read without another buffer.
func (b *bodyReader) free() ([]byte, error) {
	size := int64(firstChunk)
	if len(b.chunks) > 0 {
		last := b.chunks[len(b.chunks)-1]
		if len(last) < cap(last) {
			return last[len(last):cap(last)], nil
		}
		size = min(2*int64(cap(last)), maxChunk)
	}
	if b.announced >= b.size {
		size = min(size, b.announced-b.size+1)
	}
	if err := b.req.grow(size); err != nil {
		return nil, err
	}
	b.reserved += size
	b.chunks = append(b.chunks, make([]byte, 0, size))
	return b.chunks[len(b.chunks)-1][:size], nil
}

// join returns the body as one slice.
func (b *bodyReader) join() ([]byte, error) {
	if len(b.chunks) == 1 {
		return b.chunks[0], nil
	}
	if err := b.req.grow(b.size); err != nil {
		return nil, err
	}
	data := make([]byte, 0, b.size)
	for i, chunk := range b.chunks {
		data = append(data, chunk...)
		b.chunks[i] = nil
	}
	if b.req != nil {
		b.req.account.Shrink(b.reserved)
	}
	return data, nil
}
