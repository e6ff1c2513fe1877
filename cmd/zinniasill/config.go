package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/configcheck"
	"zinniasill/core/control"
	"zinniasill/io/operator"
	"zinniasill/io/settings"
	"zinniasill/platform"
)

// configCommand is the name of the group of commands about configuration files.
const configCommand = "config"

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// Values of the flag --format.
const (
	formatText = "text"
	formatJSON = "json"
)

// usageError is an error in the arguments of a command that exits with exitUsage for it.
type usageError struct{ err error }

// Error implements error.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.err }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}

// refusedError reports that a configuration check has failed.
type refusedError struct{ errors, warnings int }

// Error implements error.
func (e *refusedError) Error() string {
	return fmt.Sprintf("the configuration check found %d errors and %d warnings", e.errors, e.warnings)
}

// configCheck holds the arguments of the command config check.
type configCheck struct {
	files  []string
	kind   string
	format string
	strict bool
	// control has no addresses for a check without the configuration in force.
	control controlFlags
}

// addConfigCommands adds the command that checks configuration files.
func addConfigCommands(app *kingpin.Application, commands map[string]command) {
	group := app.Command(configCommand, "Configuration files.")
	clause := group.Command("check", "Check configuration files without sending them.")
	check := &configCheck{}
	clause.Flag("format-of", "Kind of the files; by content if empty.").
		Envar("ZINNIASILL_FORMAT_OF").EnumVar(&check.kind, "", string(configcheck.KindProfile), string(configcheck.KindTeam), string(configcheck.KindPlatform))
	clause.Flag("format", "Format of the findings.").
		Envar("ZINNIASILL_FORMAT").Default(formatText).EnumVar(&check.format, formatText, formatJSON)
	clause.Flag("strict", "Fail on warnings too.").Envar("ZINNIASILL_STRICT").BoolVar(&check.strict)
	clause.Flag("control", "Addresses (ip:port) of the interfaces for operators, separated by commas, to compare with the configuration in force.").
		StringVar(&check.control.addresses)
	settings.RegisterTLS(clause, &check.control.files)
	clause.Arg("file", "Profile or team file in YAML or JSON, or configuration of the platform.").Required().StringsVar(&check.files)
	commands[clause.FullCommand()] = func(ctx context.Context) error { return check.run(ctx, os.Stdout) }
}

// run checks the files and writes the findings to w.
func (c configCheck) run(ctx context.Context, w io.Writer) error {
	files := make([]configcheck.File, 0, len(c.files))
	for _, name := range c.files {
		data, err := os.ReadFile(name)
		if err != nil {
			return &usageError{err: eris.Wrap(err, "read the configuration")}
		}
		files = append(files, decodeFile(name, configcheck.Kind(c.kind), data))
	}
	found := configcheck.Check(files)
	if c.control.addresses != "" {
		ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		inForce, err := c.control.inForce(ctx, files)
		if err != nil {
			return eris.Wrap(err, "read the configuration in force")
		}
		found = configcheck.Merge(found, configcheck.Compare(files, inForce))
	}
	if err := writeFindings(w, c.format, found); err != nil {
		return err
	}
	return refusal(found, c.strict)
}

// decodeFile decodes a configuration file. If kind is empty, the content decides: a JSON object
// with routes or services is a configuration of the platform.
func decodeFile(name string, kind configcheck.Kind, data []byte) configcheck.File {
	if kind == "" {
		lines := configcheck.JSONLines(data)
		if lines["routes"] > 0 || lines["services"] > 0 {
			kind = configcheck.KindPlatform
		}
	}
	if kind == configcheck.KindPlatform {
		return platform.CheckFile(name, data)
	}
	return operator.ReadFile(name, kind, data)
}

// refusal returns a refusedError if there are errors among the findings or, if strict is set,
// warnings.
func refusal(found []configcheck.Finding, strict bool) error {
	refused := &refusedError{
		errors:   configcheck.Count(found, configcheck.Error),
		warnings: configcheck.Count(found, configcheck.Warning),
	}
	if refused.errors > 0 || strict && refused.warnings > 0 {
		return refused
	}
	return nil
}

// writeFindings writes findings in the given format.
func writeFindings(w io.Writer, format string, found []configcheck.Finding) error {
	if format == formatJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(struct {
			Findings []configcheck.Finding `json:"findings"`
		}{append([]configcheck.Finding{}, found...)})
	}
	for _, finding := range found {
		if _, err := fmt.Fprintln(w, finding); err != nil {
			return err
		}
	}
	return nil
}

// registerCheck adds the flag --no-check, which sends an object despite errors of the check.
func registerCheck(clause *kingpin.CmdClause) *bool {
	return clause.Flag("check", "Send nothing if the configuration check finds errors.").
		Envar("ZINNIASILL_CHECK").Default("true").Bool()
}

// readProfile reads a profile file. If check is set, it checks the file, writes the
// findings to standard error and returns an error if there is one among them.
func readProfile(name string, check bool) (catalog.Profile, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return catalog.Profile{}, eris.Wrap(err, "read the profile")
	}
	if !check {
		profile, err := operator.DecodeProfile(data)
		return profile, eris.Wrap(err, name)
	}
	file := operator.ReadFile(name, configcheck.KindProfile, data)
	return file.Profile, reportErrors(file)
}

// checkTeam checks the arguments of team put. It writes the findings to standard error and
// returns an error if there is one among them.
func checkTeam(name zinniasill.Team, quota int) error {
	return reportErrors(configcheck.File{
		Name: "arguments", Kind: configcheck.KindTeam,
		Invalid: control.ValidateTeam(name, quota), Team: catalog.TeamEntry{Name: name, Quota: quota},
	})
}

// reportErrors checks a file, writes the findings to standard error, and returns an error if
// there is one among them.
func reportErrors(file configcheck.File) error {
	found := configcheck.Check([]configcheck.File{file})
	if err := writeFindings(os.Stderr, formatText, found); err != nil {
		return err
	}
	return refusal(found, false)
}
