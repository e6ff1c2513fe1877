package client

import (
	"net/http"

	"zinniasill/io/identity"
)

// TLS returns a transport for Config.Transport that presents a caller's certificate.
// The URLs in Config.Entries must then begin with https. The files are reloaded when
// they change. It returns an error if a file is missing or invalid.
func TLS(files identity.Files) (http.RoundTripper, error) {
	source, err := identity.Open(identity.Config{Files: files})
	if err != nil {
		return nil, err
	}
	return source.Transport(), nil
}
