package page

import (
	_ "embed"
	"encoding/json"

	"github.com/gravitational/trace"
)

// Slope is the cost per unit of one quantity, for example memory per connection.
type Slope struct {
	// Name identifies the slope for Slopes.Value.
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Points describes the measurements that the slope was fitted to.
	Points string `json:"points"`
	// Command is the command that repeats the measurement.
	Command string `json:"command"`
}

// Slopes are the slopes of the page.
type Slopes []Slope

//go:embed slopes.json
var slopesFile []byte

// Load returns the slopes in the embedded file.
func Load() (Slopes, error) {
	var slopes Slopes
	if err := json.Unmarshal(slopesFile, &slopes); err != nil {
		return nil, trace.Wrap(err)
	}
	return slopes, nil
}

// Value returns the value of the slope with that name. It panics if there is none,
// which the test of the page detects.
func (s Slopes) Value(name string) float64 {
	for _, slope := range s {
		if slope.Name == name {
			return slope.Value
		}
	}
	panic("capacity: no slope " + name)
}
