// Command zinniasill runs the roles of the dispatcher and its operator commands.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// version is set at build time.
var version = "dev"

func main() {
	app := kingpin.New("zinniasill", "Dispatcher for sub-second tasks.")
	app.Version(version)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}
