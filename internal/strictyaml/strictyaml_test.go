package strictyaml_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/config"
	"github.com/rosemarydyke/rosemarydyke/internal/strictyaml"
)

const validDocument = `vm: {name: vm-1, availability_zone: az-a, region: r1}
platform: {url: "http://127.0.0.1:1"}
tls: {ca: a, certificate: b, key: c}
status: 127.0.0.1:2
peers: 127.0.0.1:3
entry: 127.0.0.1:4
`

func TestProblemsAreReportedByLineAndKey(t *testing.T) {
	for _, test := range []struct {
		name, content, want string
	}{
		{"an unknown key", validDocument + "entri: 127.0.0.1:4\n", `\[7:1\] unknown field "entri"(.|\n)*`},
		{"a wrong type", validDocument + "log: {level: [info]}\n", `\[7:14\] cannot unmarshal(.|\n)*`},
		{"a missing value", validDocument[:len(validDocument)-len("entry: 127.0.0.1:4\n")], `entry: a value is required`},
		{"a missing value of a section", "vm: {name: vm-1, region: r1}\n" + validDocument[54:], `vm.availability_zone: a value is required`},
		{"a value out of bounds", validDocument + "log: {level: loud}\n", `line 7: log.level: must be one of debug info warn error`},
		{"a wrong address", validDocument[:len(validDocument)-len("entry: 127.0.0.1:4\n")] + "entry: nowhere\n", `line 6: entry: must be an address of the form IP:port`},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := strictyaml.Decode([]byte(test.content), new(config.Batch))
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
	qt.Assert(t, strictyaml.Decode([]byte(validDocument), new(config.Batch)), qt.IsNil)
}
