package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// ackBound is ack_ms of the settings.
	ackBound = 4 * time.Second
	// callTimeout is how long the operator waits for a response before it moves on to another
	// node.
	callTimeout = time.Second
	// firstBackoff is the pause after the first failure; it doubles up to maxBackoff.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// operator sends orders to the nodes that serve control, one after the other.
type operator struct {
	d      *deployment
	client *http.Client
	next   int
}

func newOperator(d *deployment) *operator {
	return &operator{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// order sends an order to one node after the other until one acknowledges it. Large bodies get
// more time, 3 ms for each route.
func (o *operator) order(ctx context.Context, path string, body []byte, extra time.Duration) error {
	pause := firstBackoff
	for {
		nodes := o.d.ofClass("core")
		node := nodes[o.next%len(nodes)]
		o.next++
		status, _, err := o.call(ctx, http.MethodPost, node, path, body, callTimeout+extra)
		switch {
		case err == nil && status/100 == 2:
			return nil
		case err == nil && (status == 400 || status == 409 || status == 412 || status == 413 || status == 422):
			return fmt.Errorf("%s refused with %d", path, status)
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(pause):
		}
		pause = min(2*pause, maxBackoff)
	}
}

// call makes one call of one node.
func (o *operator) call(ctx context.Context, method string, node *machine, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.address(portControl)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// put sends a configuration until it is acknowledged.
func (o *operator) put(ctx context.Context, c *configuration) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return o.order(ctx, "/Config.Put", body, time.Duration(3*len(c.Routes))*time.Millisecond)
}
