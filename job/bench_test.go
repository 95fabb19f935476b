package job

import (
	"bytes"
	"fmt"
	"testing"
)

// BenchmarkSplitLargestJob measures the validation of the largest input that is accepted.
func BenchmarkSplitLargestJob(b *testing.B) {
	var input bytes.Buffer
	for i := range MaxItems {
		fmt.Fprintf(&input, `{"custom_id":"summary-%06d","method":"POST","url":"/v1/completions","body":{"model":"m","prompt":"tractor %d lost oil pressure on the pass"}}`+"\n", i, i)
	}
	rules := Rules{Endpoint: "/v1/completions", HasModel: func(string) bool { return true }}
	b.SetBytes(int64(input.Len()))
	b.ReportAllocs()
	for b.Loop() {
		if _, items, err := Split(bytes.NewReader(input.Bytes()), rules); err != nil || items != MaxItems {
			b.Fatal(items, err)
		}
	}
}
