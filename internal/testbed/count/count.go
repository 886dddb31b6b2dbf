// Package count works out what a day's service comes to, from the world's books.
package count

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yardwinch/internal/simulation"
)

// Result is one day under one policy, as programs read it. Times are in seconds where a name says so.
type Result struct {
	Policy              string       `json:"policy"`
	Seed                uint64       `json:"seed"`
	Service             float64      `json:"service"`    // what the experiment counts, prices taken off
	ServedShare         float64      `json:"whole"`      // value of served seconds over value of all asked for
	WorstWindow         float64      `json:"worst_10s"`  // the same over the worst 10 s
	WorstWindowAt       float64      `json:"worst_at_s"` // where that began
	WorstCustomer       float64      `json:"worst_customer"`
	WorstServiceType    float64      `json:"worst_service_type"`
	ByServiceType       []float64    `json:"by_service_type"`
	ByCustomer          []float64    `json:"by_customer"`
	BySecond            []float64    `json:"by_second"`
	BySecondAndLocality [][]float64  `json:"by_hall_second"` // the same by the clients' halls
	SetupTimes          Quantiles    `json:"setup_ms"`
	FirstSetupTimes     Quantiles    `json:"first_up_ms"` // from when a client meant to come to its first connection, those who never had one among them
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
	Broken              int          `json:"broken"`
	Judged              int          `json:"flows_judged"`
	Collapsed           int          `json:"servers_pushed_over"`
	MaxSlowStartExcess  float64      `json:"most_pushed"` // onto a cold server over the rule's window, in times what it can take
	Faults              []Fault      `json:"troubles"`
	LoadByServer        [][]float64  `json:"load_by_server,omitempty"` // a row a server, a column a second: asked over can do
	RejectsBySecond     []int        `json:"rejects_by_second,omitempty"`
	MigrationsBySecond  []int        `json:"moves_by_second,omitempty"`
	ConnectsBySecond    []int        `json:"connects_by_second,omitempty"`
	AttemptsBySecond    []int        `json:"tries_by_second,omitempty"`
	SetupTimesBySecond  [][3]float64 `json:"setup_by_second_ms,omitempty"` // p50, p90, p99
	Void                string       `json:"void,omitempty"`               // why the run says nothing
}

// Quantiles of the time from a client's line to its answer, those established.
type Quantiles struct {
	P50, P90, P99, Max float64
}

// Fault is one entry of the timeline as it was drawn.
type Fault struct {
	Kind  string  `json:"kind"`
	Start float64 `json:"start_s"`
	End   float64 `json:"end_s"`
}

// Weights of the parts of service, and prices by the client.
type Weights struct {
	ServedShare, WorstWindow, WorstCustomer, WorstServiceType float64
	Crossing, Migrations, Connects                            float64
}

const windowSeconds = 10

// Count fills in what books, totals and weights tell. Cut, a day's last part may be left out.
func (r *Result) Count(b *simulation.Accounting, t *simulation.Totals, services, customers int, w Weights) {
	seconds := len(b.Requested[0])
	asked, got := make([]float64, seconds), make([]float64, seconds)
	byType, gotType := make([]float64, services), make([]float64, services)
	byCust, gotCust := make([]float64, max(customers, 1)), make([]float64, max(customers, 1))
	for row := range b.Requested {
		s, c, beyond := b.RowOf(row)
		for i := range seconds {
			a, g := b.Requested[row][i], b.Served[row][i]
			asked[i] += a
			got[i] += g
			byType[s] += a
			gotType[s] += g
			if !beyond { // within its share
				byCust[c] += a
				gotCust[c] += g
			}
		}
	}
	share := func(g, a float64) float64 {
		if a <= 0 {
			return 1
		}
		return math.Min(1, g/a)
	}
	sum := func(x []float64) (all float64) {
		for _, v := range x {
			all += v
		}
		return all
	}
	r.ServedShare = share(sum(got), sum(asked))
	r.WorstWindow = 2
	for i := 0; i+windowSeconds <= seconds || i == 0; i++ {
		end := min(i+windowSeconds, seconds)
		if v := share(sum(got[i:end]), sum(asked[i:end])); v < r.WorstWindow {
			r.WorstWindow, r.WorstWindowAt = v, float64(i)
		}
	}
	r.WorstServiceType, r.WorstCustomer = 1, 1
	for i := range byType {
		r.ByServiceType = append(r.ByServiceType, share(gotType[i], byType[i]))
		r.WorstServiceType = math.Min(r.WorstServiceType, r.ByServiceType[i])
	}
	for i := range byCust {
		r.ByCustomer = append(r.ByCustomer, share(gotCust[i], byCust[i]))
		r.WorstCustomer = math.Min(r.WorstCustomer, r.ByCustomer[i])
	}
	for i := range asked {
		r.BySecond = append(r.BySecond, share(got[i], asked[i]))
	}
	for h := range b.RequestedByLocality {
		row := make([]float64, seconds)
		for i := range row {
			row[i] = share(b.ServedByLocality[h][i], b.RequestedByLocality[h][i])
		}
		r.BySecondAndLocality = append(r.BySecondAndLocality, row)
	}
	all := w.ServedShare + w.WorstWindow + w.WorstCustomer + w.WorstServiceType
	r.Service = (w.ServedShare*r.ServedShare + w.WorstWindow*r.WorstWindow + w.WorstCustomer*r.WorstCustomer + w.WorstServiceType*r.WorstServiceType) / all
	clients := math.Max(1, float64(t.Clients))
	r.Service -= w.Crossing*float64(r.Crossings)/clients + w.Migrations*float64(r.Migrations)/clients + w.Connects*float64(r.Connects)/clients
	r.Clients, r.Attempts, r.Retries, r.Established, r.Rejected = t.Clients, t.Attempts, t.Retries, t.Established, t.Rejected
	r.Aborted, r.NoBalancer, r.TimedOut, r.Cut = t.Aborted, t.NoBalancer, t.TimedOut, t.Cut
	r.SetupTimes = quantiles(t.Setups)
	r.FirstSetupTimes, r.NeverEstablished = quantiles(append(slices.Clone(t.FirstEstablished), t.NeverEstablished...)), len(t.NeverEstablished)
	r.RejectsBySecond, r.AttemptsBySecond = PerSecond(t.RejectedAt, seconds), PerSecond(t.AttemptedAt, seconds)
	r.setups(t, seconds)
}

func (r *Result) setups(t *simulation.Totals, seconds int) {
	at := make([][]time.Duration, seconds)
	for i, when := range t.EstablishedAt {
		if s := int(when / time.Second); s < seconds {
			at[s] = append(at[s], t.Setups[i])
		}
	}
	for _, list := range at {
		q := quantiles(list)
		r.SetupTimesBySecond = append(r.SetupTimesBySecond, [3]float64{q.P50, q.P90, q.P99})
	}
}

// PerSecond counts times by their second.
func PerSecond(times []time.Duration, seconds int) []int {
	n := make([]int, seconds)
	for _, t := range times {
		if s := int(t / time.Second); s >= 0 && s < seconds {
			n[s]++
		}
	}
	return n
}

func quantiles(list []time.Duration) (q Quantiles) {
	if len(list) == 0 {
		return q
	}
	h := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for _, d := range list {
		_ = h.RecordValue(max(1, int64(d/time.Microsecond))) // an hour is more than any connect timeout
	}
	at := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return Quantiles{at(50), at(90), at(99), float64(slices.Max(list)/time.Microsecond) / 1000}
}

// PairedDifference is the mean of a's figures less b's over the same seeds, and half of its 95 % interval.
func PairedDifference(a, b []float64) (mean, half float64) {
	n := float64(len(a))
	if n == 0 {
		return 0, 0
	}
	for i := range a {
		mean += (a[i] - b[i]) / n
	}
	if n < 2 {
		return mean, math.Inf(1)
	}
	sq := 0.0
	for i := range a {
		d := a[i] - b[i] - mean
		sq += d * d
	}
	return mean, studentQuantile(len(a)-1) * math.Sqrt(sq/(n-1)/n)
}

// studentQuantile is the 97.5 % quantile of Student's t, by the usual expansion round the normal's.
func studentQuantile(df int) float64 {
	if df < 3 {
		return [...]float64{0, 12.706, 4.303}[df]
	}
	z, v := 1.959964, float64(df)
	z3, z5, z7 := z*z*z, math.Pow(z, 5), math.Pow(z, 7)
	return z + (z3+z)/(4*v) + (5*z5+16*z3+3*z)/(96*v*v) + (3*z7+19*z5+17*z3-15*z)/(384*v*v*v)
}

// Mean is a policy's mean over its days; counts of things are sums, and days how many they are over.
func Mean(results []*Result, policy string) (m Result, days int) {
	m.Policy = policy
	for _, r := range results {
		if r.Policy != policy {
			continue
		}
		days++
		m.Service += r.Service
		m.ServedShare += r.ServedShare
		m.WorstWindow += r.WorstWindow
		m.WorstCustomer += r.WorstCustomer
		m.SetupTimes.P50 += r.SetupTimes.P50
		m.SetupTimes.P99 += r.SetupTimes.P99
		m.Connects += r.Connects
		m.Clients += r.Clients
		m.Migrations += r.Migrations
		m.Rejected += r.Rejected
		m.Broken += r.Broken
	}
	n := float64(max(days, 1))
	for _, x := range []*float64{&m.Service, &m.ServedShare, &m.WorstWindow, &m.WorstCustomer, &m.SetupTimes.P50, &m.SetupTimes.P99} {
		*x /= n
	}
	return m, days
}
