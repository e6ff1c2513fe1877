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

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/control"
	"zinniasill/io/identity"
	"zinniasill/io/operator"
	"zinniasill/io/settings"
)

// operatorTimeout is the time limit for one operator command, including retries.
const operatorTimeout = 20 * time.Second

// controlFlags holds the flags that all operator commands share.
type controlFlags struct {
	// addresses lists the replicas' interfaces for operators, separated by commas.
	addresses string
	files     identity.Files
}

// register adds the flags to a command.
func (f *controlFlags) register(clause *kingpin.CmdClause) {
	clause.Flag("control", "Addresses (ip:port) of the control replicas' interfaces for operators, separated by commas.").
		Envar("ZINNIASILL_CONTROL").Required().StringVar(&f.addresses)
	settings.RegisterTLS(clause, &f.files)
}

// client returns a client for the control replicas.
func (f *controlFlags) client() (operator.Client, error) {
	client := operator.Client{Addresses: strings.Split(f.addresses, ",")}
	if !f.files.IsSet() {
		return client, nil
	}
	source, err := identity.Open(identity.Config{Files: f.files})
	if err != nil {
		return client, err
	}
	client.Scheme = "https"
	client.HTTP = &http.Client{Transport: source.Transport()}
	return client, nil
}

// newEdit returns an edit, with a random request ID, of the given revision of an object.
func newEdit(base zinniasill.Revision) operator.Edit {
	return operator.Edit{BaseRevision: base, RequestID: control.RequestID(rand.Text())}
}

// printJSON writes value to standard output as indented JSON, or returns err if it is
// not nil.
func printJSON(value any, err error) error {
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// isNotFound reports whether err means that the object does not exist, in which case an
// edit creates it.
func isNotFound(err error) bool {
	var operatorErr *operator.Error
	return errors.As(err, &operatorErr) && operatorErr.Code == operator.CodeNotFound
}

// printRevision prints the revision that an edit produced, or returns err if it is not
// nil.
func printRevision(revision zinniasill.Revision, err error) error {
	if err != nil {
		return err
	}
	fmt.Println("revision", revision)
	return nil
}

// addOperatorCommands adds the subcommands for operators.
func addOperatorCommands(app *kingpin.Application, commands map[string]command) {
	add := func(clause *kingpin.CmdClause, flags *controlFlags, run func(ctx context.Context, client operator.Client) error) {
		flags.register(clause)
		commands[clause.FullCommand()] = func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
			defer cancel()
			client, err := flags.client()
			if err != nil {
				return err
			}
			return run(ctx, client)
		}
	}
	add(app.Command("status", "Show the configuration, members and nodes."), &controlFlags{},
		func(ctx context.Context, client operator.Client) error { return printJSON(client.Status(ctx)) })
	addProfile(app, add)
	addDomain(app, add)
	addEndpoint(app, add)
	addTeam(app, add)
	addMember(app, add)
}

// addCommand adds the flags of operator commands to clause, and runs run with a client
// when the command is selected.
type addCommand func(clause *kingpin.CmdClause, flags *controlFlags, run func(ctx context.Context, client operator.Client) error)

// addProfile adds the commands that put, get and delete a profile.
func addProfile(app *kingpin.Application, add addCommand) {
	group := app.Command("profile", "Profiles.")
	put := group.Command("put", "Create or replace the profile in a file.")
	file := put.Arg("file", "Profile file in YAML or JSON.").Required().ExistingFile()
	check := registerCheck(put)
	add(put, &controlFlags{}, func(ctx context.Context, client operator.Client) error {
		profile, err := readProfile(*file, *check)
		if err != nil {
			return err
		}
		current, err := client.Profile(ctx, profile.Name)
		if err != nil && !isNotFound(err) {
			return err
		}
		return printRevision(client.PutProfile(ctx, profile, newEdit(current.Revision)))
	})
	get := group.Command("get", "Show a profile.")
	name := get.Arg("name", "Name of the profile.").Required().String()
	add(get, &controlFlags{}, func(ctx context.Context, client operator.Client) error {
		return printJSON(client.Profile(ctx, zinniasill.ProfileName(*name)))
	})
	remove := group.Command("delete", "Remove a profile.")
	removed := remove.Arg("name", "Name of the profile.").Required().String()
	add(remove, &controlFlags{}, func(ctx context.Context, client operator.Client) error {
		current, err := client.Profile(ctx, zinniasill.ProfileName(*removed))
		if err != nil {
			return err
		}
		return client.DeleteProfile(ctx, current.Name, newEdit(current.Revision))
	})
}

// addDomain adds the commands that take a failure domain out of service or return it.
func addDomain(app *kingpin.Application, add addCommand) {
	group := app.Command("domain", "Failure domains.")
	states := map[string]catalog.DomainState{"out": catalog.DomainOutOfService, "in": catalog.DomainInService}
	help := map[string]string{"out": "Take a failure domain out of service.", "in": "Return a failure domain to service."}
	for _, verb := range []string{"out", "in"} {
		clause := group.Command(verb, help[verb])
		name := clause.Arg("name", "Name of the failure domain.").Required().String()
		add(clause, &controlFlags{}, func(ctx context.Context, client operator.Client) error {
			current, err := client.Domain(ctx, zinniasill.Domain(*name))
			if err != nil {
				return err
			}
			return printRevision(client.PutDomain(ctx, zinniasill.Domain(*name), states[verb], newEdit(current.Revision)))
		})
	}
}

// addEndpoint adds the commands that stop or resume the assignment of work to an
// endpoint.
func addEndpoint(app *kingpin.Application, add addCommand) {
	group := app.Command("endpoint", "Endpoints, by the names of their agents.")
	states := map[string]catalog.ServeState{"leave": catalog.Leaving, "serve": catalog.Serving}
	help := map[string]string{"leave": "Assign no new work to an endpoint.", "serve": "Resume assigning work to an endpoint."}
	for _, verb := range []string{"leave", "serve"} {
		clause := group.Command(verb, help[verb])
		name := clause.Arg("name", "Name of the agent.").Required().String()
		add(clause, &controlFlags{}, func(ctx context.Context, client operator.Client) error {
			current, err := client.Endpoint(ctx, zinniasill.NodeID(*name))
			if err != nil {
				return err
			}
			return printRevision(client.PutEndpoint(ctx, zinniasill.NodeID(*name), states[verb], newEdit(current.Revision)))
		})
	}
}

// addTeam adds the command that sets the quota of a team.
func addTeam(app *kingpin.Application, add addCommand) {
	group := app.Command("team", "Teams.")
	put := group.Command("put", "Set the quota of a team.")
	name := put.Arg("name", "Name of the team.").Required().String()
	quota := put.Arg("quota", "Maximum number of tasks in flight, 0 for no limit.").Required().Int()
	check := registerCheck(put)
	add(put, &controlFlags{}, func(ctx context.Context, client operator.Client) error {
		if *check {
			if err := checkTeam(zinniasill.Team(*name), *quota); err != nil {
				return err
			}
		}
		current, err := client.Team(ctx, zinniasill.Team(*name))
		if err != nil && !isNotFound(err) {
			return err
		}
		return printRevision(client.PutTeam(ctx, zinniasill.Team(*name), *quota, newEdit(current.Revision)))
	})
}

// addMember adds the commands that list, add and remove control replicas.
func addMember(app *kingpin.Application, add addCommand) {
	group := app.Command("member", "Control replicas.")
	add(group.Command("list", "List the control replicas."), &controlFlags{},
		func(ctx context.Context, client operator.Client) error { return printJSON(client.Members(ctx)) })
	addClause := group.Command("add", "Add a new control replica.")
	name := addClause.Arg("name", "Name of the replica.").Required().String()
	address := addClause.Arg("address", "Address (ip:port) of the replica for the other processes of the cluster.").Required().String()
	add(addClause, &controlFlags{}, func(ctx context.Context, client operator.Client) error {
		return client.ChangeMember(ctx, operator.MemberChange{Action: operator.ActionAdd, Name: *name, Address: *address})
	})
	remove := group.Command("remove", "Remove a control replica.")
	removed := remove.Arg("name", "Name of the replica.").Required().String()
	add(remove, &controlFlags{}, func(ctx context.Context, client operator.Client) error {
		return client.ChangeMember(ctx, operator.MemberChange{Action: operator.ActionRemove, Name: *removed})
	})
}
