package simulation

import "time"

// Books count what was asked for and what was served, by seconds of the day, service types and customers. A figure
// that spans seconds is spread over them evenly.
type Books struct {
	Length time.Duration
	Beyond float64 // what a value is worth beyond a customer's share
	Asked  [][]float64
	Got    [][]float64
	nCust  int

	HallAsked, HallGot [][]float64 // by the hall of the clients
}

// NewBooks keeps a line a service type and customer, and a column a second.
func NewBooks(length time.Duration, services, customers, halls int, beyond float64) *Books {
	b := &Books{Length: length, Beyond: beyond, nCust: max(customers, 1)}
	seconds := int((length + time.Second - 1) / time.Second)
	for range halls {
		b.HallAsked = append(b.HallAsked, make([]float64, seconds))
		b.HallGot = append(b.HallGot, make([]float64, seconds))
	}
	for range services * b.nCust * 2 {
		b.Asked = append(b.Asked, make([]float64, seconds))
		b.Got = append(b.Got, make([]float64, seconds))
	}
	return b
}

func (b *Books) row(s ServiceID, c CustomerID, beyond bool) int {
	i := (int(s)*b.nCust + max(int(c), 0)) * 2
	if beyond {
		i++
	}
	return i
}

// Of says what a row stands for.
func (b *Books) Of(row int) (s ServiceID, c CustomerID, beyond bool) {
	return ServiceID(row / 2 / b.nCust), CustomerID(row / 2 % b.nCust), row%2 == 1
}

func (b *Books) spread(row []float64, from, to time.Duration, rate float64) {
	from, to = max(from, 0), min(to, b.Length)
	for from < to {
		sec := int(from / time.Second)
		until := min(to, time.Duration(sec+1)*time.Second)
		row[sec] += rate * (until - from).Seconds()
		from = until
	}
}

// Wanted books that a client wants its connection from one time to another, at so much value a second.
func (b *Books) Wanted(s ServiceID, c CustomerID, beyond bool, hall HallID, from, to time.Duration, value float64) {
	if beyond {
		value *= b.Beyond
	}
	b.spread(b.Asked[b.row(s, c, beyond)], from, to, value)
	b.spread(b.HallAsked[hall], from, to, value)
}

// Served books that so much value a second was had.
func (b *Books) Served(s ServiceID, c CustomerID, beyond bool, hall HallID, from, to time.Duration, value float64) {
	if beyond {
		value *= b.Beyond
	}
	b.spread(b.Got[b.row(s, c, beyond)], from, to, value)
	b.spread(b.HallGot[hall], from, to, value)
}
