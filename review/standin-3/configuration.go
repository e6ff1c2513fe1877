package main

import (
	"math/rand/v2"
	"strconv"
)

// route is a route of the operator's configuration.
type route struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	PathPrefix string  `json:"path_prefix"`
	Type       string  `json:"type"`
	TimeoutMS  int     `json:"timeout_ms"`
	SLOMS      int     `json:"slo_ms"`
	Priority   int     `json:"priority"`
	Service    string  `json:"service"`
	Attempts   int     `json:"attempts"`
	Stretch    float64 `json:"stretch"`
}

// configuration is the operator's configuration.
type configuration struct {
	Version  int64            `json:"version"`
	Routes   []route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`

	names *rand.Rand
}

// newConfiguration returns a configuration with the queue of the stand-in clients and a few
// further routes.
func newConfiguration() *configuration {
	c := &configuration{
		Version: 1,
		Services: []map[string]any{{
			"name": serviceName, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false,
			"admission_check": true, "standby": false,
		}},
		Limits: map[string]int{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		names: rand.New(rand.NewPCG(47, 11)),
	}
	c.Routes = append(c.Routes, route{
		Name: "r-first", Host: queueHost, PathPrefix: queuePrefix, Type: "unsafe", TimeoutMS: 1500, SLOMS: 60,
		Service: serviceName, Attempts: 4, Stretch: 1.6,
	})
	c.grow(8)
	return c
}

// Lengths of the drawn parts of a route's name, and of its host and its prefix.
const (
	nameLetters = 30
	partLetters = 20
)

// grow adds routes, whose names are drawn.
func (c *configuration) grow(more int) {
	const lower, mixed = "abcdefghijklmnopqrstuvwxyz", "abcdefghijklmnopqrstuvwxyz0123456789"
	for range more {
		c.Routes = append(c.Routes, route{
			Name: "r-" + c.word(mixed, nameLetters), Host: c.word(lower, partLetters) + strconv.Itoa(10+c.names.IntN(90)) + ".example",
			PathPrefix: "/" + c.word(lower, partLetters) + strconv.Itoa(100+c.names.IntN(900)) + "/", Type: "unsafe",
			TimeoutMS: 1500, SLOMS: 60, Priority: c.names.IntN(3), Service: serviceName, Attempts: 4, Stretch: 1.6,
		})
	}
}

// word returns a word of n letters.
func (c *configuration) word(letters string, n int) string {
	text := make([]byte, n)
	for i := range text {
		text[i] = letters[c.names.IntN(len(letters))]
	}
	return string(text)
}

// change makes the next version: it changes the time-out of one route.
func (c *configuration) change() {
	c.Version++
	c.Routes[1+int(c.Version)%(len(c.Routes)-1)].TimeoutMS = 1000 + int(c.Version)
}
