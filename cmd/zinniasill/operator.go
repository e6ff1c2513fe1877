package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/control"
	"zinniasill/io/identity"
	"zinniasill/io/operator"
	"zinniasill/io/settings"
)

// operatorTimeout bounds one command of an operator, resends included.
const operatorTimeout = 20 * time.Second

// addresses are the control replicas' interfaces for operators.
type addresses struct {
	list  string
	files identity.Files
}

func (a *addresses) register(clause *kingpin.CmdClause) {
	clause.Flag("control", "Operators' interfaces of the control replicas as ip:port, separated by commas.").
		Envar("ZINNIASILL_CONTROL").Required().StringVar(&a.list)
	settings.RegisterTLS(clause, &a.files)
}

func (a *addresses) client() (operator.Client, error) {
	client := operator.Client{Addresses: strings.Split(a.list, ",")}
	if !a.files.IsSet() {
		return client, nil
	}
	source, err := identity.Open(identity.Config{Files: a.files})
	if err != nil {
		return client, err
	}
	client.Scheme = "https"
	client.HTTP = &http.Client{Transport: source.Transport()}
	return client, nil
}

// edit returns the edit of an object whose revision was just read.
func edit(base zinniasill.Revision) operator.Edit {
	return operator.Edit{BaseRevision: base, RequestID: control.RequestID(rand.Text())}
}

func printJSON(value any, err error) error {
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// isNotFound reports whether a read found no object, which an edit may create.
func isNotFound(err error) bool {
	var answered *operator.Error
	return errors.As(err, &answered) && answered.Code == operator.CodeNotFound
}

func printRevision(revision zinniasill.Revision, err error) error {
	if err != nil {
		return err
	}
	fmt.Println("revision", revision)
	return nil
}

func addOperator(app *kingpin.Application, commands map[string]command) {
	add := func(clause *kingpin.CmdClause, to *addresses, run func(ctx context.Context, client operator.Client) error) {
		to.register(clause)
		commands[clause.FullCommand()] = func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
			defer cancel()
			client, err := to.client()
			if err != nil {
				return err
			}
			return run(ctx, client)
		}
	}
	add(app.Command("status", "Show the configuration, members and nodes."), &addresses{},
		func(ctx context.Context, client operator.Client) error { return printJSON(client.Status(ctx)) })
	addProfile(app, add)
	addDomain(app, add)
	addEndpoint(app, add)
	addTeam(app, add)
	addMember(app, add)
}

type addCommand func(clause *kingpin.CmdClause, to *addresses, run func(ctx context.Context, client operator.Client) error)

func addProfile(app *kingpin.Application, add addCommand) {
	group := app.Command("profile", "Profiles.")
	put := group.Command("put", "Create or replace the profile in a file.")
	file := put.Arg("file", "Profile file in YAML or JSON.").Required().ExistingFile()
	add(put, &addresses{}, func(ctx context.Context, client operator.Client) error {
		data, err := os.ReadFile(*file)
		if err != nil {
			return eris.Wrap(err, "read the profile")
		}
		profile, err := operator.ParseProfile(data)
		if err != nil {
			return fmt.Errorf("%s: %w", *file, err)
		}
		current, err := client.Profile(ctx, profile.Name)
		if err != nil && !isNotFound(err) {
			return err
		}
		return printRevision(client.PutProfile(ctx, profile, edit(current.Revision)))
	})
	get := group.Command("get", "Show a profile.")
	name := get.Arg("name", "Name of the profile.").Required().String()
	add(get, &addresses{}, func(ctx context.Context, client operator.Client) error {
		return printJSON(client.Profile(ctx, zinniasill.ProfileName(*name)))
	})
	remove := group.Command("delete", "Remove a profile.")
	removed := remove.Arg("name", "Name of the profile.").Required().String()
	add(remove, &addresses{}, func(ctx context.Context, client operator.Client) error {
		current, err := client.Profile(ctx, zinniasill.ProfileName(*removed))
		if err != nil {
			return err
		}
		return client.DeleteProfile(ctx, current.Name, edit(current.Revision))
	})
}

func addDomain(app *kingpin.Application, add addCommand) {
	group := app.Command("domain", "Failure domains.")
	states := map[string]catalog.DomainState{"out": catalog.DomainOutOfService, "in": catalog.DomainInService}
	help := map[string]string{"out": "Take a failure domain out of service.", "in": "Return a failure domain to service."}
	for _, verb := range []string{"out", "in"} {
		clause := group.Command(verb, help[verb])
		name := clause.Arg("name", "Name of the failure domain.").Required().String()
		add(clause, &addresses{}, func(ctx context.Context, client operator.Client) error {
			current, err := client.Domain(ctx, zinniasill.Domain(*name))
			if err != nil {
				return err
			}
			return printRevision(client.PutDomain(ctx, zinniasill.Domain(*name), states[verb], edit(current.Revision)))
		})
	}
}

func addEndpoint(app *kingpin.Application, add addCommand) {
	group := app.Command("endpoint", "Endpoints, by the names of their agents.")
	states := map[string]catalog.ServeState{"leave": catalog.Leaving, "serve": catalog.Serving}
	help := map[string]string{"leave": "Give an endpoint no new work.", "serve": "Give an endpoint work again."}
	for _, verb := range []string{"leave", "serve"} {
		clause := group.Command(verb, help[verb])
		name := clause.Arg("name", "Name of the agent.").Required().String()
		add(clause, &addresses{}, func(ctx context.Context, client operator.Client) error {
			current, err := client.Endpoint(ctx, zinniasill.NodeID(*name))
			if err != nil {
				return err
			}
			return printRevision(client.PutEndpoint(ctx, zinniasill.NodeID(*name), states[verb], edit(current.Revision)))
		})
	}
}

func addTeam(app *kingpin.Application, add addCommand) {
	group := app.Command("team", "Teams.")
	put := group.Command("put", "Set the quota of a team.")
	name := put.Arg("name", "Name of the team.").Required().String()
	quota := put.Arg("quota", "Highest number of tasks in flight, 0 for no limit.").Required().Int()
	add(put, &addresses{}, func(ctx context.Context, client operator.Client) error {
		current, err := client.Team(ctx, zinniasill.Team(*name))
		if err != nil && !isNotFound(err) {
			return err
		}
		return printRevision(client.PutTeam(ctx, zinniasill.Team(*name), *quota, edit(current.Revision)))
	})
}

func addMember(app *kingpin.Application, add addCommand) {
	group := app.Command("member", "Control replicas.")
	add(group.Command("list", "List the control replicas."), &addresses{},
		func(ctx context.Context, client operator.Client) error { return printJSON(client.Members(ctx)) })
	admit := group.Command("add", "Let a new replica join.")
	name := admit.Arg("name", "Name of the replica.").Required().String()
	address := admit.Arg("address", "IP address and port for the other processes of the cluster.").Required().String()
	add(admit, &addresses{}, func(ctx context.Context, client operator.Client) error {
		return client.ChangeMember(ctx, operator.MemberChange{Action: operator.ActionAdd, Name: *name, Address: *address})
	})
	remove := group.Command("remove", "Remove a replica.")
	removed := remove.Arg("name", "Name of the replica.").Required().String()
	add(remove, &addresses{}, func(ctx context.Context, client operator.Client) error {
		return client.ChangeMember(ctx, operator.MemberChange{Action: operator.ActionRemove, Name: *removed})
	})
}
