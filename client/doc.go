// Package client submits jobs to a zinniasill cluster.
package client
