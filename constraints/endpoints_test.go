package constraints

import (
	"fmt"
	"testing"

	"yardwinch/decide"
)

// sizeRecorder records the sizes of the endpoint list that it is given.
type sizeRecorder struct {
	Unconstrained
	sizes []float64
}

func (*sizeRecorder) Name() string { return "sizes" }
func (r *sizeRecorder) OnEndpoint(endpoint decide.Endpoint) {
	r.sizes = append(r.sizes, endpoint.Size)
}

// Guards against constraints that take the sizes of the list for capacities where they are none, from an update or from
// a predecessor.
func TestSizesForConstraints(t *testing.T) {
	for _, c := range []struct {
		areCapacities bool
		want          string
	}{
		{true, "[0.2 1 0.2 1]"},
		{false, "[1 1 1 1]"},
	} {
		recorded := &sizeRecorder{}
		balancer := New(1, &recorder{}, []Constraint{recorded}, func(b *decide.Balancer) {
			configure(b)
			b.ConfigurePlacement(0, 0, c.areCapacities)
		})
		balancer.SetTime(0)
		balancer.BeginEndpoints(decide.FullUpdate)
		balancer.OnEndpoint(decide.Endpoint{ID: 1, Zone: "a", Size: 0.2, StartedAt: decide.LongAgo})
		balancer.OnEndpoint(decide.Endpoint{ID: 2, Zone: "a", Size: 0, StartedAt: decide.LongAgo}) // unknown
		balancer.EndEndpoints()
		balancer.Restore(balancer.Snapshot())
		if got := fmt.Sprint(recorded.sizes); got != c.want {
			t.Errorf("sizes that are capacities: %v; given %s, want %s", c.areCapacities, got, c.want)
		}
	}
}
