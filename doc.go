// Package zinniasill holds what all parts of the dispatcher share: identifiers,
// units, reasons for refusals, and the interfaces whose behaviour varies
// between the daemons, the tests and the load model.
//
// The deterministic state machines are below zinniasill/core, the adapters to
// networks, disks and HTTP below zinniasill/io. A program that only submits
// jobs uses zinniasill/client.
package zinniasill
