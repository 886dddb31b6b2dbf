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
	Policy     string       `json:"policy"`
	Seed       uint64       `json:"seed"`
	Service    float64      `json:"service"`    // what the experiment counts, prices taken off
	Whole      float64      `json:"whole"`      // value of served seconds over value of all asked for
	Window     float64      `json:"worst_10s"`  // the same over the worst 10 s
	WindowAt   float64      `json:"worst_at_s"` // where that began
	Customer   float64      `json:"worst_customer"`
	Type       float64      `json:"worst_service_type"`
	ByType     []float64    `json:"by_service_type"`
	ByCustomer []float64    `json:"by_customer"`
	BySecond   []float64    `json:"by_second"`
	ByHall     [][]float64  `json:"by_hall_second"` // the same by the clients' halls
	Setup      Quantiles    `json:"setup_ms"`
	First      Quantiles    `json:"first_up_ms"` // from when a client meant to come to its first connection, those who never had one among them
	Never      int          `json:"never_up"`
	Clients    int          `json:"clients"`
	Tries      int          `json:"tries"`
	Retries    int          `json:"retries"`
	Establish  int          `json:"established"`
	Rejected   int          `json:"rejected"`
	Aborted    int          `json:"aborted"`
	Nobody     int          `json:"no_balancer"`
	GaveUp     int          `json:"gave_up"`
	Cut        int          `json:"cut"`
	Connects   int          `json:"connects"`
	Crossings  int          `json:"crossings"`
	Moves      int          `json:"moves"`
	Violations []string     `json:"violations"`
	Broken     int          `json:"broken"`
	Judged     int          `json:"flows_judged"`
	Fell       int          `json:"servers_pushed_over"`
	Pushed     float64      `json:"most_pushed"` // onto a cold server over the rule's window, in times what it can take
	Troubles   []Trouble    `json:"troubles"`
	Load       [][]float64  `json:"load_by_server,omitempty"` // a row a server, a column a second: asked over can do
	Rejects    []int        `json:"rejects_by_second,omitempty"`
	MovesBy    []int        `json:"moves_by_second,omitempty"`
	ConnectsBy []int        `json:"connects_by_second,omitempty"`
	TriesBy    []int        `json:"tries_by_second,omitempty"`
	SetupBy    [][3]float64 `json:"setup_by_second_ms,omitempty"` // p50, p90, p99
	Void       string       `json:"void,omitempty"`               // why the run says nothing
}

// Quantiles of the time from a client's line to its answer, those established.
type Quantiles struct {
	P50, P90, P99, Max float64
}

// Trouble is one entry of the timeline as it was drawn.
type Trouble struct {
	Kind  string  `json:"kind"`
	Start float64 `json:"start_s"`
	End   float64 `json:"end_s"`
}

// Weights of the parts of service, and prices by the client.
type Weights struct {
	Whole, Window, Customer, Type float64
	Crossing, Moves, Connects     float64
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
	r.Whole = share(sum(got), sum(asked))
	r.Window = 2
	for i := 0; i+windowSeconds <= seconds || i == 0; i++ {
		end := min(i+windowSeconds, seconds)
		if v := share(sum(got[i:end]), sum(asked[i:end])); v < r.Window {
			r.Window, r.WindowAt = v, float64(i)
		}
	}
	r.Type, r.Customer = 1, 1
	for i := range byType {
		r.ByType = append(r.ByType, share(gotType[i], byType[i]))
		r.Type = math.Min(r.Type, r.ByType[i])
	}
	for i := range byCust {
		r.ByCustomer = append(r.ByCustomer, share(gotCust[i], byCust[i]))
		r.Customer = math.Min(r.Customer, r.ByCustomer[i])
	}
	for i := range asked {
		r.BySecond = append(r.BySecond, share(got[i], asked[i]))
	}
	for h := range b.RequestedByLocality {
		row := make([]float64, seconds)
		for i := range row {
			row[i] = share(b.ServedByLocality[h][i], b.RequestedByLocality[h][i])
		}
		r.ByHall = append(r.ByHall, row)
	}
	all := w.Whole + w.Window + w.Customer + w.Type
	r.Service = (w.Whole*r.Whole + w.Window*r.Window + w.Customer*r.Customer + w.Type*r.Type) / all
	clients := math.Max(1, float64(t.Clients))
	r.Service -= w.Crossing*float64(r.Crossings)/clients + w.Moves*float64(r.Moves)/clients + w.Connects*float64(r.Connects)/clients
	r.Clients, r.Tries, r.Retries, r.Establish, r.Rejected = t.Clients, t.Attempts, t.Retries, t.Established, t.Rejected
	r.Aborted, r.Nobody, r.GaveUp, r.Cut = t.Aborted, t.NoBalancer, t.TimedOut, t.Cut
	r.Setup = quantiles(t.Setups)
	r.First, r.Never = quantiles(append(slices.Clone(t.FirstEstablished), t.NeverEstablished...)), len(t.NeverEstablished)
	r.Rejects, r.TriesBy = PerSecond(t.RejectedAt, seconds), PerSecond(t.AttemptedAt, seconds)
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
		r.SetupBy = append(r.SetupBy, [3]float64{q.P50, q.P90, q.P99})
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

// Paired is the mean of a's figures less b's over the same seeds, and half of its 95 % interval.
func Paired(a, b []float64) (mean, half float64) {
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
	return mean, student(len(a)-1) * math.Sqrt(sq/(n-1)/n)
}

// student is the 97.5 % quantile of Student's t, by the usual expansion round the normal's.
func student(df int) float64 {
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
		m.Whole += r.Whole
		m.Window += r.Window
		m.Customer += r.Customer
		m.Setup.P50 += r.Setup.P50
		m.Setup.P99 += r.Setup.P99
		m.Connects += r.Connects
		m.Clients += r.Clients
		m.Moves += r.Moves
		m.Rejected += r.Rejected
		m.Broken += r.Broken
	}
	n := float64(max(days, 1))
	for _, x := range []*float64{&m.Service, &m.Whole, &m.Window, &m.Customer, &m.Setup.P50, &m.Setup.P99} {
		*x /= n
	}
	return m, days
}
