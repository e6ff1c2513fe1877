package client

import (
	"net/http"

	"zinniasill/io/identity"
)

// TLS returns a transport, for Config.Transport, that presents a caller's
// certificate. The URLs of the entries then begin with https. The files are read
// again when they change. It returns an error when one is missing or broken.
func TLS(files identity.Files) (http.RoundTripper, error) {
	source, err := identity.Open(identity.Config{Files: files})
	if err != nil {
		return nil, err
	}
	return source.Transport(), nil
}
