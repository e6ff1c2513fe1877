package main

import (
	"context"
	"slices"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/configcheck"
	"zinniasill/io/operator"
	"zinniasill/platform"
)

// inForce reads the configuration in force as far as it concerns the files.
func (f controlFlags) inForce(ctx context.Context, files []configcheck.File) (configcheck.InForce, error) {
	var inForce configcheck.InForce
	client, err := f.client()
	if err != nil {
		return inForce, err
	}
	isPlatform := func(file configcheck.File) bool { return file.Kind == configcheck.KindPlatform }
	if slices.ContainsFunc(files, isPlatform) {
		content, err := platform.FetchConfiguration(ctx, client)
		if err != nil {
			return inForce, err
		}
		inForce.Platform = platform.CheckFile("in force", content)
	}
	if slices.IndexFunc(files, func(file configcheck.File) bool { return !isPlatform(file) }) < 0 {
		return inForce, nil
	}
	status, err := client.Status(ctx)
	if err != nil {
		return inForce, err
	}
	addStatus(&inForce, status)
	inForce.Profiles = map[zinniasill.ProfileName]catalog.Profile{}
	for _, file := range files {
		name := file.Profile.Name
		if !slices.Contains(status.Profiles, name) {
			continue
		}
		profile, err := client.Profile(ctx, name)
		if err != nil && !isNotFound(err) {
			return inForce, err
		}
		if err == nil {
			inForce.Profiles[name] = profile
		}
	}
	return inForce, nil
}

// addStatus adds the teams, the live agents and the number of live entries of a status.
func addStatus(inForce *configcheck.InForce, status operator.Status) {
	inForce.Teams = map[zinniasill.Team]catalog.TeamEntry{}
	for _, team := range status.Teams {
		inForce.Teams[team.Name] = team
	}
	inForce.Kinds = map[zinniasill.Kind]bool{}
	inForce.Domains = map[zinniasill.Domain]bool{}
	for _, node := range status.Nodes {
		if node.Role == catalog.RoleEntry {
			inForce.Entries++
		}
		if node.Role != catalog.RoleAgent {
			continue
		}
		inForce.Domains[node.Domain] = true
		for _, kind := range node.Kinds {
			inForce.Kinds[kind] = true
		}
	}
}
