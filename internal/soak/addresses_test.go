package soak

import "testing"

// Seen with 150 nodes: two of them had the same port, and one did not start.
func TestNoAddressIsGivenTwice(t *testing.T) {
	const count = 600
	given := make(map[string]bool)
	for range count {
		address, err := freeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if given[address] {
			t.Fatalf("%s was given twice", address)
		}
		given[address] = true
	}
}
