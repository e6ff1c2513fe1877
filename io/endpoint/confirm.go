package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"zinniasill"
)

// ErrOtherIncarnation is returned for a request whose connection leads to another
// incarnation of the endpoint than the request is addressed to. Nothing was sent.
var ErrOtherIncarnation = errors.New("another incarnation of the endpoint listens at its address")

// confirmTimeout is the maximum time from the opening of a connection to the answer that
// identifies the endpoint.
const confirmTimeout = time.Second

// maxAnswerBytes is the maximum size of the body of an answer.
const maxAnswerBytes = 4 << 20

// Answer is a response with its whole body.
type Answer struct {
	Status int
	Body   []byte
}

// Exchange sends a request over one connection and returns the answer.
type Exchange func(request *http.Request) (Answer, error)

// Identify asks the endpoint at the other end of a new connection which incarnation it is, on
// behalf of a request to the given one. An endpoint that does not tell its start has
// StartedMillis 0, which counts as any.
type Identify func(ctx context.Context, exchange Exchange, addressed zinniasill.EndpointIncarnation) (zinniasill.EndpointIncarnation, error)

// ConfirmedConfig configures a Confirmed. All fields are required.
type ConfirmedConfig struct {
	// Transport holds the limits of the connections. Its DialContext is set by NewConfirmed.
	Transport *http.Transport
	Identify  Identify
}

// Confirmed sends requests only to the incarnation of an endpoint that they are addressed
// to. A connection ends with the process at its other end, so it is enough to ask once on
// each new connection which incarnation that is. An address or an ID does not tell: after a
// restart, another incarnation may have both. Use NewConfirmed.
type Confirmed struct {
	transport *http.Transport
}

// NewConfirmed returns a Confirmed without connections.
func NewConfirmed(cfg ConfirmedConfig) *Confirmed {
	transport := cfg.Transport.Clone()
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialConfirmed(ctx, network, address, cfg.Identify)
	}
	return &Confirmed{transport: transport}
}

// Do sends a request to an incarnation of the endpoint. sent is false if no byte of it was
// sent.
func (c *Confirmed) Do(
	request *http.Request, addressed zinniasill.EndpointIncarnation,
) (answer Answer, sent bool, err error) {
	d := &delivery{addressed: addressed}
	ctx := withGate(context.WithValue(request.Context(), deliveryKey{}, d), d.check)
	response, err := c.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return Answer{}, d.sent.Load(), err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = readAnswer(response)
	return answer, true, err
}

// readAnswer reads the whole body of a response.
func readAnswer(response *http.Response) (Answer, error) {
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return Answer{}, eris.Wrap(err, "read the answer of an endpoint")
	case len(content) > maxAnswerBytes:
		return Answer{}, eris.Errorf("the answer of an endpoint is larger than %d bytes", maxAnswerBytes)
	default:
		return Answer{Status: response.StatusCode, Body: content}, nil
	}
}

// delivery is the delivery of one request.
type delivery struct {
	addressed zinniasill.EndpointIncarnation
	sent      atomic.Bool
}

// deliveryKey is the context key of the delivery for which a connection is opened.
type deliveryKey struct{}

// check returns ErrOtherIncarnation if a connection leads to another incarnation. It is the
// gate of the request.
func (d *delivery) check(conn *gatedConn) error {
	started := conn.incarnation.StartedMillis
	if conn.incarnation.ID != d.addressed.ID || started != 0 && started != d.addressed.StartedMillis {
		return ErrOtherIncarnation
	}
	d.sent.Store(true)
	return nil
}

// dialConfirmed opens a TCP connection and asks which incarnation is at its other end.
func dialConfirmed(ctx context.Context, network, address string, identify Identify) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	keep := context.AfterFunc(ctx, func() { _ = conn.Close() })
	var addressed zinniasill.EndpointIncarnation
	if d, ok := ctx.Value(deliveryKey{}).(*delivery); ok {
		addressed = d.addressed
	}
	incarnation, err := identify(ctx, exchangeOn(conn), addressed)
	if !keep() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &gatedConn{Conn: conn, incarnation: incarnation}, nil
}

// exchangeOn returns an Exchange on a connection, which can be used for further requests
// after an answer without an error.
func exchangeOn(conn net.Conn) Exchange {
	return func(request *http.Request) (Answer, error) {
		if err := request.Write(conn); err != nil {
			return Answer{}, eris.Wrap(err, "ask an endpoint for its incarnation")
		}
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return Answer{}, eris.Wrap(err, "read the incarnation of an endpoint")
		}
		defer func() { _ = response.Body.Close() }()
		answer, err := readAnswer(response)
		if err == nil && (reader.Buffered() > 0 || response.Close) {
			err = eris.New("the connection to the endpoint cannot be used after its first answer")
		}
		return answer, err
	}
}
