package soak

import "testing"

// With 150 nodes, two were assigned the same port and one did not start.
func TestNoAddressIsGivenTwice(t *testing.T) {
	const count = 600
	given := make(map[string]bool)
	for range count {
		address, err := freeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if given[address] {
			t.Fatalf("address %s was assigned twice", address)
		}
		given[address] = true
	}
}
