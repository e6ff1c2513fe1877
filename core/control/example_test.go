package control_test

import (
	"fmt"

	"zinniasill/core/catalog"
	"zinniasill/core/control"
)

func ExampleMachine_Apply() {
	machine := control.New()
	out := control.Command{
		Request: "9f3c",
		Domain:  &control.PutDomain{Name: "zone-a", State: catalog.DomainOutOfService},
	}
	data, err := control.Encode(out)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("accepted at revision", machine.Apply(1, data).Revision)
	fmt.Println("resent, answered", machine.Apply(2, data).Revision)
	out.Request = "a071"
	if data, err = control.Encode(out); err != nil {
		fmt.Println(err)
		return
	}
	result := machine.Apply(3, data)
	fmt.Println("stale base:", result.Code, result.Revision)
	// Output:
	// accepted at revision 1
	// resent, answered 1
	// stale base: revision-conflict 1
}
