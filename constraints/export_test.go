package constraints

import (
	"time"

	"yardwinch/decide"
)

// Configure applies the settings of the tests to a balancer.
func Configure(b *decide.Balancer, balancers int, crossing float64) {
	b.ConfigureFlows(3, time.Second)
	b.AddService(decide.ServiceType{
		Effect:        decide.Idempotent,
		Deduplication: decide.DeduplicatedByFleet,
		SetupTarget:   300 * time.Millisecond,
		RetryWindow:   2 * time.Second,
		Value:         1,
	})
	b.ConfigureSlowStart(decide.SlowStart{
		InitialCapacity:  0.2,
		OverloadMultiple: 3,
		WarmUp:           20 * time.Second,
		Window:           1500 * time.Millisecond,
		Balancers:        balancers,
	})
	b.ConfigurePlacement(crossing, 0, true)
	b.ConfigureEndpoints(decide.EndpointSettings{
		Zone:            "a",
		MaxPollInterval: 10 * time.Second,
		MessageTarget:   250 * time.Millisecond,
	})
}
