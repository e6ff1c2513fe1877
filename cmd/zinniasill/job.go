package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"zinniasill"
	"zinniasill/client"
	"zinniasill/io/identity"
	"zinniasill/io/settings"
)

// jobFlags are the flags of all job commands.
type jobFlags struct {
	entries string
	team    string
	files   identity.Files
}

func (f *jobFlags) register(clause *kingpin.CmdClause) {
	clause.Flag("entries", "Callers' interfaces of the entries as URLs, separated by commas.").
		Envar("ZINNIASILL_ENTRIES").Required().StringVar(&f.entries)
	clause.Flag("team", "Team that submits.").Envar("ZINNIASILL_TEAM").Required().StringVar(&f.team)
	settings.RegisterTLS(clause, &f.files)
}

// client returns a client for the entries.
func (f *jobFlags) client() (*client.Client, error) {
	cfg := client.Config{Entries: strings.Split(f.entries, ","), Team: zinniasill.Team(f.team)}
	if f.files.IsSet() {
		transport, err := client.TLS(f.files)
		if err != nil {
			return nil, err
		}
		cfg.Transport = transport
	}
	return client.New(cfg), nil
}

func addJob(app *kingpin.Application, commands map[string]command) {
	group := app.Command("job", "Jobs.")
	addSubmit(group.Command("submit", "Submit a job and print its outputs, one a line."), commands)
	addInquiry(group.Command("status", "Show the state of a job."), commands, func(ctx context.Context, c *client.Client, key string) error {
		status, err := c.Status(ctx, key)
		if err != nil {
			return err
		}
		return json.NewEncoder(os.Stdout).Encode(status)
	})
	addInquiry(group.Command("cancel", "Cancel a job."), commands, func(ctx context.Context, c *client.Client, key string) error {
		return c.Cancel(ctx, key)
	})
}

// addInquiry adds a command that asks the entries about a job.
func addInquiry(clause *kingpin.CmdClause, commands map[string]command, inquire func(context.Context, *client.Client, string) error) {
	flags := &jobFlags{}
	flags.register(clause)
	key := clause.Arg("key", "Key of the job.").Required().String()
	commands[clause.FullCommand()] = func(ctx context.Context) error {
		c, err := flags.client()
		if err != nil {
			return err
		}
		defer c.Close()
		return inquire(ctx, c, *key)
	}
}

func addSubmit(clause *kingpin.CmdClause, commands map[string]command) {
	flags := &jobFlags{}
	flags.register(clause)
	profile := clause.Flag("profile", "Profile of the job.").Required().String()
	key := clause.Flag("key", "Idempotency key; random if empty.").String()
	epoch := clause.Flag("epoch", "Epoch when the job was first submitted; the current one if 0.").Uint64()
	timeout := clause.Flag("timeout", "Longest time to wait for the answer.").Default("1m").Duration()
	tasks := clause.Arg("payload", "Payload of each task.").Required().Strings()
	commands[clause.FullCommand()] = func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, *timeout)
		defer cancel()
		if *key == "" {
			*key = rand.Text()
		}
		c, err := flags.client()
		if err != nil {
			return err
		}
		defer c.Close()
		job := client.Job{Key: *key, Profile: zinniasill.ProfileName(*profile), Epoch: zinniasill.Epoch(*epoch)}
		for _, payload := range *tasks {
			job.Tasks = append(job.Tasks, []byte(payload))
		}
		answer, err := c.Submit(ctx, job)
		if err != nil {
			return err
		}
		for _, output := range answer.Outputs {
			fmt.Printf("%s\n", output)
		}
		return nil
	}
}
