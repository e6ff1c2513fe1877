// Package httpserver builds the HTTP servers of all roles. They limit the memory and the
// descriptors that clients can occupy: bodies are read within a budget, connections are
// counted, and every wait for a client ends after a timeout.
//
//	connections := httpserver.NewConnections(httpserver.ConnectionsConfig{Limit: 1000, Budget: b, ...})
//	server := httpserver.New(httpserver.Config{Handler: h, Class: budget.Callers, Budget: b, ...})
//	err := server.Serve(connections.Listen(listener, budget.Callers))
//
// A handler reads its body with ReadBody, and asks with Reserve before it decodes it:
//
//	data, err := httpserver.ReadBody(w, r, limit)
//	err = httpserver.Reserve(w, r, httpserver.JSONSize(data, taskBytes))
//
// Without a server of this package, as in tests of a handler, nothing but the limit of the
// body applies.
package httpserver

import (
	"context"
	"errors"
	"log"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"zinniasill"
	"zinniasill/core/budget"
)

const (
	// maxHeaderBytes is the maximum size of a request's header. The largest legal ones have
	// a key of 256 bytes; proxies add a few hundred more.
	maxHeaderBytes = 16 << 10
	// headerLineBytes is the memory that one line of a header needs besides its text.
	headerLineBytes = 128
	// restTimeout is the time for the rest of a body that the handler has not read. net/http
	// reads up to 256 KiB of it before it responds, so that the connection can be used again.
	restTimeout = time.Second
	// requestBytes is the memory of a request without header and body.
	requestBytes = 1 << 10
)

// Names of counters.
const (
	// CounterRefused counts requests that were refused for want of memory, by reason.
	CounterRefused = "http_requests_refused"
	// CounterClosed counts connections that were closed before their client did, by reason.
	CounterClosed = "http_connections_closed"
	// CounterPanics counts handlers that panicked.
	CounterPanics = "http_handler_panics"
)

// Config configures a server. Handler, Class, Budget, Clock and Counters are required.
type Config struct {
	Handler http.Handler
	// Class is the class of the requests in the budget.
	Class budget.Class
	// Classify, if set, returns the class of a request of a server for several classes.
	Classify func(r *http.Request) budget.Class
	Budget   *budget.Budget
	Clock    zinniasill.Clock
	Counters zinniasill.Counters
	// Refuse responds to a request that was refused before it reached the handler. The
	// default is status 503 with Retry-After.
	Refuse func(w http.ResponseWriter, r *http.Request, refusal *budget.ExhaustedError)
	// OnRefuse, if set, is called for each request that is refused for want of memory.
	OnRefuse func(r *http.Request, refusal *budget.ExhaustedError)
	// HeaderTimeout, BodyTimeout and IdleTimeout bound the wait for a request's header, for
	// all of the request, and for the next request. BodyTimeout is 0 for no bound.
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
	ErrorLog                                *log.Logger
}

// New returns a server that draws on the budget. Serve it on a listener of a Connections.
func New(cfg Config) *http.Server {
	if cfg.Refuse == nil {
		cfg.Refuse = func(w http.ResponseWriter, _ *http.Request, refusal *budget.ExhaustedError) {
			WriteUnavailable(w, refusal.RetryAfter)
		}
	}
	return &http.Server{
		Handler:           &handler{cfg: cfg},
		ReadHeaderTimeout: cfg.HeaderTimeout,
		ReadTimeout:       cfg.BodyTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          cfg.ErrorLog,
		ConnState:         connStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, tracked(c))
		},
	}
}

// WriteUnavailable responds that a request was not carried out and may be sent again after
// retryAfter. The header Retry-After is in whole seconds, rounded up, and at least 1.
func WriteUnavailable(w http.ResponseWriter, retryAfter time.Duration) {
	seconds := max(int(math.Ceil(retryAfter.Seconds())), 1)
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// connKey and requestKey are the keys of the connection and of the request in a context.
type (
	connKey    struct{}
	requestKey struct{}
)

// request is a request in progress and its account.
type request struct {
	cfg     *Config
	http    *http.Request
	account *budget.Account
	conn    *conn
	// read is set once the body has been read to its end.
	read bool
	// refused is set once the connection is to be closed after the response.
	refused bool
}

// handler opens an account for each request.
type handler struct {
	cfg Config
}

// ServeHTTP implements http.Handler. The account is closed when the wrapped handler returns or
// panics.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	req := &request{cfg: &h.cfg, http: r, conn: c}
	account, err := h.cfg.Budget.Open(h.cfg.Clock.Now(), budget.Request{
		Class: h.class(r), Client: clientAddress(r.RemoteAddr), Size: headerSize(r), OnRevoke: c.abort,
	})
	if err != nil {
		var refusal *budget.ExhaustedError
		if !errors.As(err, &refusal) {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		req.refuse(w, refusal)
		h.cfg.Refuse(w, r, refusal)
		return
	}
	req.account = account
	defer account.Close()
	c.begin(account)
	defer c.end()
	if r.ContentLength == 0 {
		account.Settle()
		req.read = true
	}
	finished := false
	defer func() {
		if !finished {
			h.cfg.Counters.Inc(CounterPanics, "")
		}
	}()
	h.cfg.Handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestKey{}, req)))
	finished = true
	if !req.read {
		req.boundRest(w)
	}
}

// class returns the class of a request.
func (h *handler) class(r *http.Request) budget.Class {
	if h.cfg.Classify != nil {
		return h.cfg.Classify(r)
	}
	return h.cfg.Class
}

// clientAddress returns the address of a client without its port.
func clientAddress(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// headerSize estimates the memory of a request without its body.
func headerSize(r *http.Request) int64 {
	size := requestBytes + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		size += len(name)
		for _, value := range values {
			size += headerLineBytes + len(value)
		}
	}
	return int64(size)
}
