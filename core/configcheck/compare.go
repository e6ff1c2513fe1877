package configcheck

import (
	"fmt"
	"maps"
	"slices"

	"zinniasill"
	"zinniasill/core/admission"
	"zinniasill/core/catalog"
	"zinniasill/core/route"
)

// Codes of findings of Compare.
const (
	CodeAdded                 Code = "added"
	CodeChanged               Code = "changed"
	CodeRemoved               Code = "removed"
	CodeTurnsAway             Code = "turns-away"
	CodeQuotaShareBelowJob    Code = "quota-share-below-job"
	CodeVersionNotHigher      Code = "version-not-higher"
	CodeKindWithoutEndpoint   Code = "kind-without-endpoint"
	CodeDomainWithoutEndpoint Code = "domain-without-endpoint"
)

// InForce is the configuration in force, as far as it concerns the files to compare.
type InForce struct {
	Profiles map[zinniasill.ProfileName]catalog.Profile
	Teams    map[zinniasill.Team]catalog.TeamEntry
	// Kinds and Domains are those of the live agents.
	Kinds   map[zinniasill.Kind]bool
	Domains map[zinniasill.Domain]bool
	// Entries is the number of live entries, which share the quotas.
	Entries int
	// Platform is the platform's configuration.
	Platform File
}

// Compare returns what the files change in the configuration in force. Files with errors are
// compared only by their version.
func Compare(files []File, inForce InForce) []Finding {
	var found []Finding
	for _, file := range files {
		switch {
		case file.Kind == KindPlatform:
			found = append(found, file.comparePlatform(inForce.Platform)...)
		case len(file.Invalid) > 0:
		case file.Kind == KindTeam:
			found = append(found, file.compareTeam(inForce)...)
		default:
			found = append(found, file.compareProfile(inForce)...)
			found = append(found, file.checkEndpoints(inForce)...)
		}
	}
	found = append(found, checkShares(files, inForce)...)
	sortFindings(found)
	return found
}

// checkShares warns of quotas whose share at one entry is below the largest job of a profile
// among the files. It considers the teams in force and those
// among the files.
func checkShares(files []File, inForce InForce) []Finding {
	if inForce.Entries == 0 {
		return nil
	}
	teams := map[zinniasill.Team]catalog.TeamEntry{}
	maps.Copy(teams, inForce.Teams)
	for _, file := range files {
		if file.Kind == KindTeam && len(file.Invalid) == 0 {
			teams[file.Team.Name] = file.Team
		}
	}
	var found []Finding
	for _, file := range files {
		if file.Kind != KindProfile || len(file.Invalid) > 0 {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(teams)) {
			quota := teams[name].Quota
			if share := admission.Share(quota, inForce.Entries); quota > 0 && share < file.Profile.MaxTasks {
				found = append(found, file.finding(Warning, CodeQuotaShareBelowJob, "max-tasks",
					fmt.Sprintf("%d is above the share of %d that each of %d entries has of the quota %d of team %q",
						file.Profile.MaxTasks, share, inForce.Entries, quota, name)))
			}
		}
	}
	return found
}

// change is one field of an object before and after.
type change struct {
	field    string
	old, new any
}

// changes returns a note for each field whose value changes. The path is that of the object.
func (f File) changes(path string, fields []change) []Finding {
	var found []Finding
	for _, c := range fields {
		before, after := fmt.Sprint(c.old), fmt.Sprint(c.new)
		if before != after {
			found = append(found, f.finding(Note, CodeChanged, path+c.field,
				fmt.Sprintf("changes from %.80s to %.80s for what arrives after it is in force", before, after)))
		}
	}
	return found
}

// compareProfile compares a profile file with the profile in force.
func (f File) compareProfile(inForce InForce) []Finding {
	next := f.Profile
	old, ok := inForce.Profiles[next.Name]
	if !ok {
		return []Finding{f.finding(Note, CodeAdded, "name", fmt.Sprintf("profile %q is new", next.Name))}
	}
	found := f.changes("", []change{
		{"kind", old.Kind, next.Kind},
		{"answer-within", old.AnswerWithin, next.AnswerWithin},
		{"expected-run-time", old.ExpectedRunTime, next.ExpectedRunTime},
		{"repeat", old.Repeat, next.Repeat},
		{"domains", old.Domains, next.Domains},
		{"max-tasks", old.MaxTasks, next.MaxTasks},
	})
	if next.MaxTasks < old.MaxTasks {
		found = append(found, f.finding(Warning, CodeTurnsAway, "max-tasks",
			fmt.Sprintf("jobs of %d to %d tasks, which are accepted now, will be refused", next.MaxTasks+1, old.MaxTasks)))
	}
	return found
}

// checkEndpoints warns of a kind and of failure domains that no live agent has.
func (f File) checkEndpoints(inForce InForce) []Finding {
	var found []Finding
	if !inForce.Kinds[f.Profile.Kind] {
		found = append(found, f.finding(Warning, CodeKindWithoutEndpoint, "kind",
			fmt.Sprintf("no live endpoint is of kind %q", f.Profile.Kind)))
	}
	for i, domain := range f.Profile.Domains {
		if !inForce.Domains[domain] {
			found = append(found, f.finding(Warning, CodeDomainWithoutEndpoint, fmt.Sprintf("domains[%d]", i),
				fmt.Sprintf("failure domain %q has no live endpoint", domain)))
		}
	}
	return found
}

// compareTeam compares a team file with the quota in force.
func (f File) compareTeam(inForce InForce) []Finding {
	old, ok := inForce.Teams[f.Team.Name]
	var found []Finding
	if ok {
		found = f.changes("", []change{{"quota", old.Quota, f.Team.Quota}})
	} else {
		found = append(found, f.finding(Note, CodeAdded, "name", fmt.Sprintf("team %q is new", f.Team.Name)))
	}
	// A team without an entry has no limit either.
	if f.Team.Quota > 0 && (old.Quota == 0 || f.Team.Quota < old.Quota) {
		found = append(found, f.finding(Warning, CodeTurnsAway, "quota",
			fmt.Sprintf("jobs that exceed %d tasks in flight, which are accepted now, will be refused", f.Team.Quota)))
	}
	return found
}

// comparePlatform compares a platform configuration with the one in force. Queues are matched
// by name.
func (f File) comparePlatform(old File) []Finding {
	var found []Finding
	if f.Version > 0 && f.Version <= old.Version {
		found = append(found, f.finding(Error, CodeVersionNotHigher, "version",
			fmt.Sprintf("%d must be above the version in force, %d, or it has no effect", f.Version, old.Version)))
	}
	if len(f.Invalid) > 0 {
		return found
	}
	before := queuesByName(old.Queues)
	for i, queue := range f.Queues {
		path := fmt.Sprintf("routes[%d].", i)
		was, ok := before[queue.Name]
		if !ok {
			found = append(found, f.finding(Note, CodeAdded, path+"name", fmt.Sprintf("queue %.80q is new", queue.Name)))
			continue
		}
		found = append(found, f.changes(path, queueChanges(was, queue))...)
	}
	return append(found, f.compareRequests(old.Queues)...)
}

func queuesByName(queues []route.Queue) map[string]route.Queue {
	named := make(map[string]route.Queue, len(queues))
	for _, queue := range queues {
		named[queue.Name] = queue
	}
	return named
}

// queueChanges returns all fields of a queue before and after, by their names in the document.
func queueChanges(old, next route.Queue) []change {
	return []change{
		{"host", old.Host, next.Host},
		{"path_prefix", old.Prefix, next.Prefix},
		{"service", old.Kind, next.Kind},
		{"timeout_ms", old.AnswerWithin, next.AnswerWithin},
		{"slo_ms", old.Objective, next.Objective},
		{"stretch", old.Stretch, next.Stretch},
		{"priority", old.Priority, next.Priority},
		{"attempts", old.Attempts, next.Attempts},
		{"advice", old.Advised, next.Advised},
	}
}

// compareRequests returns the queues of the configuration in force that are removed, and
// warns of those whose requests no queue of the file takes.
func (f File) compareRequests(old []route.Queue) []Finding {
	table, err := route.New(f.Version, f.Services, f.Queues)
	if err != nil {
		return nil
	}
	var found []Finding
	after := queuesByName(f.Queues)
	for _, queue := range old {
		if _, ok := after[queue.Name]; !ok {
			found = append(found, f.finding(Note, CodeRemoved, "routes", fmt.Sprintf("queue %.80q is removed", queue.Name)))
		}
		if _, _, ok := table.Find(queue.Host, queue.Prefix); !ok {
			found = append(found, f.finding(Warning, CodeTurnsAway, "routes",
				fmt.Sprintf("requests for host %.80q and path prefix %.80q, which queue %.80q takes now, will be refused",
					queue.Host, queue.Prefix, queue.Name)))
		}
	}
	return found
}

// Merge returns the findings of Check and Compare in one list, sorted by file and line.
func Merge(lists ...[]Finding) []Finding {
	found := slices.Concat(lists...)
	sortFindings(found)
	return found
}
