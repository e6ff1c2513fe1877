// Package zinniasill defines what all parts of the dispatcher share: identifiers, units,
// reasons for refusals, and the interfaces that the daemons, the tests and the load
// model implement differently.
//
// The deterministic state machines are below zinniasill/core, the adapters for networks,
// disks and HTTP below zinniasill/io. A program that only submits jobs uses
// zinniasill/client.
package zinniasill
