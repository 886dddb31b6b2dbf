package simulation

import "time"

// Accounting count what was asked for and what was served, by seconds of the day, service types and customers. A figure
// that spans seconds is spread over them evenly.
type Accounting struct {
	Length           time.Duration
	BeyondShareValue float64 // what a value is worth beyond a customer's share
	Requested        [][]float64
	Served           [][]float64
	customers        int

	RequestedByLocality, ServedByLocality [][]float64 // by the hall of the clients
}

// NewAccounting keeps a line a service type and customer, and a column a second.
func NewAccounting(length time.Duration, services, customers, halls int, beyond float64) *Accounting {
	b := &Accounting{Length: length, BeyondShareValue: beyond, customers: max(customers, 1)}
	seconds := int((length + time.Second - 1) / time.Second)
	for range halls {
		b.RequestedByLocality = append(b.RequestedByLocality, make([]float64, seconds))
		b.ServedByLocality = append(b.ServedByLocality, make([]float64, seconds))
	}
	for range services * b.customers * 2 {
		b.Requested = append(b.Requested, make([]float64, seconds))
		b.Served = append(b.Served, make([]float64, seconds))
	}
	return b
}

func (b *Accounting) row(s ServiceID, c CustomerID, beyond bool) int {
	i := (int(s)*b.customers + max(int(c), 0)) * 2
	if beyond {
		i++
	}
	return i
}

// RowOf says what a row stands for.
func (b *Accounting) RowOf(row int) (s ServiceID, c CustomerID, beyond bool) {
	return ServiceID(row / 2 / b.customers), CustomerID(row / 2 % b.customers), row%2 == 1
}

func (b *Accounting) spread(row []float64, from, to time.Duration, rate float64) {
	from, to = max(from, 0), min(to, b.Length)
	for from < to {
		sec := int(from / time.Second)
		until := min(to, time.Duration(sec+1)*time.Second)
		row[sec] += rate * (until - from).Seconds()
		from = until
	}
}

// AddRequested books that a client wants its connection from one time to another, at so much value a second.
func (b *Accounting) AddRequested(s ServiceID, c CustomerID, beyond bool, hall LocalityID, from, to time.Duration, value float64) {
	if beyond {
		value *= b.BeyondShareValue
	}
	b.spread(b.Requested[b.row(s, c, beyond)], from, to, value)
	b.spread(b.RequestedByLocality[hall], from, to, value)
}

// AddServed books that so much value a second was had.
func (b *Accounting) AddServed(s ServiceID, c CustomerID, beyond bool, hall LocalityID, from, to time.Duration, value float64) {
	if beyond {
		value *= b.BeyondShareValue
	}
	b.spread(b.Served[b.row(s, c, beyond)], from, to, value)
	b.spread(b.ServedByLocality[hall], from, to, value)
}
