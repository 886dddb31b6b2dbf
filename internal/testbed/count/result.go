// Package count computes the service score and the other figures of a simulated day from the world's accounting.
package count

// Result is the result of one day under one policy. JSON keys of times have the unit as a suffix.
type Result struct {
	Policy              string       `json:"policy"`
	Seed                uint64       `json:"seed"`
	Service             float64      `json:"service"`    // service score: weighted mean of the shares, less the prices, as the experiment sets them
	ServedShare         float64      `json:"whole"`      // value of served seconds over the value of all requested seconds
	WorstWindow         float64      `json:"worst_10s"`  // the served share of the worst 10 s window
	WorstWindowStart    float64      `json:"worst_at_s"` // start of the worst window
	WorstCustomer       float64      `json:"worst_customer"`
	WorstServiceType    float64      `json:"worst_service_type"`
	ByServiceType       []float64    `json:"by_service_type"`
	ByCustomer          []float64    `json:"by_customer"`
	BySecond            []float64    `json:"by_second"`
	BySecondAndLocality [][]float64  `json:"by_hall_second"` // served share by the clients' locality, by second
	SetupTimes          Quantiles    `json:"setup_ms"`       // from a client's attempt to its answer, over the established flows
	FirstSetupTimes     Quantiles    `json:"first_up_ms"`    // from a client's arrival to its first connection, or to its end without one
	NeverEstablished    int          `json:"never_up"`
	Clients             int          `json:"clients"`
	Attempts            int          `json:"tries"`
	Retries             int          `json:"retries"`
	Established         int          `json:"established"`
	Rejected            int          `json:"rejected"`
	Aborted             int          `json:"aborted"`
	NoBalancer          int          `json:"no_balancer"`
	TimedOut            int          `json:"gave_up"`
	Cut                 int          `json:"cut"`
	Connects            int          `json:"connects"`
	Crossings           int          `json:"crossings"`
	Migrations          int          `json:"moves"`
	Violations          []string     `json:"violations"`
	ViolationCount      int          `json:"broken"`
	CheckedFlows        int          `json:"flows_judged"`
	CollapsedServers    int          `json:"servers_pushed_over"`
	MaxSlowStartExcess  float64      `json:"most_pushed"` // highest load sent to a starting server over the slow start window, in multiples of its capacity, less the allowance for chance
	Faults              []Fault      `json:"troubles"`
	LoadByServer        [][]float64  `json:"load_by_server,omitempty"` // demand over capacity, by server and second
	RejectsBySecond     []int        `json:"rejects_by_second,omitempty"`
	MigrationsBySecond  []int        `json:"moves_by_second,omitempty"`
	ConnectsBySecond    []int        `json:"connects_by_second,omitempty"`
	AttemptsBySecond    []int        `json:"tries_by_second,omitempty"`
	SetupTimesBySecond  [][3]float64 `json:"setup_by_second_ms,omitempty"` // p50, p90, p99
	Void                string       `json:"void,omitempty"`               // why the run is void; empty if it counts
}

// Quantiles are quantiles of times in milliseconds.
type Quantiles struct {
	P50, P90, P99, Max float64
}

// Fault is one entry of the timeline, as drawn.
type Fault struct {
	Kind  string  `json:"kind"`
	Start float64 `json:"start_s"`
	End   float64 `json:"end_s"`
}
