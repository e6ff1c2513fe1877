package main

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"zinniasill"
	"zinniasill/internal/localcluster"
	"zinniasill/io/operator"
)

const (
	// changePeriod is the pause between two changes, changeTimeout the time after
	// which one without an answer counts as refused.
	changePeriod  = 500 * time.Millisecond
	changeTimeout = time.Second
)

// changeProbe sends changes to the replicas of one region until it is stopped.
type changeProbe struct {
	cancel context.CancelFunc
	wait   conc.WaitGroup

	refused int
	// accepted has the times at which changes were accepted.
	accepted []time.Time
}

func probeChanges(ctx context.Context, cluster *localcluster.Cluster, in region) *changeProbe {
	ctx, cancel := context.WithCancel(ctx)
	p := &changeProbe{cancel: cancel}
	var replicas operator.Client
	for _, replica := range cluster.Controls {
		if regionOf(replica.Name) == in {
			replicas.Addresses = append(replicas.Addresses, replica.HTTP)
		}
	}
	p.wait.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			p.change(ctx, replicas, zinniasill.Team(fmt.Sprintf("%s-%d", in, n)))
		}
	})
	return p
}

func (p *changeProbe) change(ctx context.Context, replicas operator.Client, team zinniasill.Team) {
	limited, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	_, err := replicas.PutTeam(limited, team, 100, localcluster.NewEdit(0))
	switch {
	case err == nil:
		p.accepted = append(p.accepted, time.Now())
	case ctx.Err() == nil:
		p.refused++
	}
	pause(ctx, changePeriod)
}

// stop ends the changes, whose results may then be read.
func (p *changeProbe) stop() {
	p.cancel()
	p.wait.Wait()
}

// add adds the figures for a region and a cut.
func (p *changeProbe) add(t *table, in region, cut time.Time) {
	t.add("changes accepted in "+in.String()+" during the cut", len(p.accepted))
	t.add("changes refused in "+in.String()+" during the cut", p.refused)
	if len(p.accepted) > 0 {
		t.add("first change accepted in "+in.String()+", s after the cut", p.accepted[0].Sub(cut).Seconds())
	}
}
