// Package configcheck decides what is wrong with configuration files before they are sent.
// It reads no files: the caller decodes them, with the validation errors that control would
// report, and passes the lines of their fields:
//
//	findings := configcheck.Check([]configcheck.File{{
//		Name:  "proof.yaml",
//		Kind:  configcheck.KindProfile,
//		Lines: configcheck.YAMLLines(data),
//		Invalid: control.ValidateProfile(profile),
//	}})
package configcheck
