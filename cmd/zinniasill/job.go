package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

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

// transport returns the transport for requests to entries.
func (f *jobFlags) transport() (http.RoundTripper, error) {
	if !f.files.Given() {
		return nil, nil
	}
	return client.TLS(f.files)
}

func addJob(app *kingpin.Application, commands map[string]command) {
	group := app.Command("job", "Jobs.")
	addSubmit(group.Command("submit", "Submit a job and print its outputs, one a line."), commands)
	verbs := map[string]string{"status": http.MethodGet, "cancel": http.MethodDelete}
	help := map[string]string{"status": "Show the state of a job.", "cancel": "Cancel a job."}
	for verb, method := range verbs {
		clause := group.Command(verb, help[verb])
		flags := &jobFlags{}
		flags.register(clause)
		key := clause.Arg("key", "Key of the job.").Required().String()
		commands[clause.FullCommand()] = func(ctx context.Context) error { return askJob(ctx, *flags, method, *key) }
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
		transport, err := flags.transport()
		if err != nil {
			return err
		}
		c := client.New(client.Config{
			Entries: strings.Split(flags.entries, ","), Team: zinniasill.Team(flags.team), Transport: transport,
		})
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

// askTimeout bounds one question to one entry.
const askTimeout = 2 * time.Second

// askJob asks the entries in turn until one knows the job.
func askJob(ctx context.Context, flags jobFlags, method, key string) error {
	transport, err := flags.transport()
	if err != nil {
		return err
	}
	asker := &http.Client{Transport: transport}
	var last error
	for _, entry := range strings.Split(flags.entries, ",") {
		target := entry + "/v1/jobs/" + url.PathEscape(key) + "?team=" + url.QueryEscape(flags.team)
		status, body, err := ask(ctx, asker, method, target)
		if err != nil {
			last = err
			continue
		}
		if status == http.StatusNotFound {
			last = eris.Errorf("%s has no record of job %s", entry, key)
			continue
		}
		if status == http.StatusForbidden {
			return eris.Errorf("%s refused: %s", entry, body)
		}
		_, err = os.Stdout.Write(append(body, '\n'))
		return err
	}
	return last
}

func ask(ctx context.Context, asker *http.Client, method, target string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return 0, nil, eris.Wrapf(err, "ask %s", target)
	}
	response, err := asker.Do(request)
	if err != nil {
		return 0, nil, eris.Wrapf(err, "ask %s", target)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, eris.Wrapf(err, "read the answer of %s", target)
}
