package evidence_test

import "github.com/fxamacker/cbor/v2"

// copyMessage copies a message through its CBOR encoding, like the transport.
func copyMessage(in, out any) error {
	encoded, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, out)
}
