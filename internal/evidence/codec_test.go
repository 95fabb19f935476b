package evidence_test

import "github.com/fxamacker/cbor/v2"

// copyMessage carries a message as the transport does.
func copyMessage(in, out any) error {
	encoded, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, out)
}
