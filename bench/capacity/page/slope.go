package page

import (
	_ "embed"
	"encoding/json"

	"github.com/gravitational/trace"
)

// Slope is one measured rate of growth.
type Slope struct {
	// Name is what Slopes.Value finds it by.
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Points are the measurements it was fitted to, for the reader.
	Points string `json:"points"`
	// Command repeats the measurement.
	Command string `json:"command"`
}

// Slopes are all slopes of the page.
type Slopes []Slope

//go:embed slopes.json
var slopesFile []byte

// Load returns the committed slopes.
func Load() (Slopes, error) {
	var slopes Slopes
	if err := json.Unmarshal(slopesFile, &slopes); err != nil {
		return nil, trace.Wrap(err)
	}
	return slopes, nil
}

// Value returns a slope by name. It panics on a name that is not in the file,
// which the test of the page would meet first.
func (s Slopes) Value(name string) float64 {
	for _, slope := range s {
		if slope.Name == name {
			return slope.Value
		}
	}
	panic("capacity: no slope " + name)
}
