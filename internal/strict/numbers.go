package strict

import "time"

// toFloat converts a value of either number type.
func toFloat(value any) (number float64, ok bool) {
	switch value := value.(type) {
	case int64:
		return float64(value), true
	case float64:
		return value, true
	}
	return 0, false
}

// Float is a number from lowest to highest.
func (t Table) Float(key string, absent, lowest, highest float64) float64 {
	value, present := t.get(key)
	if !present {
		return absent
	}
	number, ok := toFloat(value)
	if !ok || !(number >= lowest && number <= highest) { // not a number is out of range
		t.Fail(key, "want a number from %g to %g, got %v", lowest, highest, value)
		return absent
	}
	return number
}

// Int is a whole number from lowest to highest.
func (t Table) Int(key string, absent, lowest, highest int) int {
	value, present := t.get(key)
	if !present {
		return absent
	}
	number, ok := value.(int64)
	if !ok || number < int64(lowest) || number > int64(highest) {
		t.Fail(key, "want a whole number from %d to %d, got %v", lowest, highest, value)
		return absent
	}
	return int(number)
}

// IncreasingInts is a list of whole numbers from lowest to highest, each above the one before it; nil where absent.
func (t Table) IncreasingInts(key string, lowest, highest int) (numbers []int) {
	value, present := t.get(key)
	if !present {
		return nil
	}
	list, ok := value.([]any)
	for _, item := range list {
		number, isInt := item.(int64)
		inRange := number >= int64(lowest) && number <= int64(highest)
		increases := len(numbers) == 0 || int(number) > numbers[len(numbers)-1]
		ok = ok && isInt && inRange && increases
		numbers = append(numbers, int(number))
	}
	if !ok || len(numbers) == 0 {
		t.Fail(key, "want a list of whole numbers from %d to %d, each above the one before it, got %v", lowest, highest, value)
		return nil
	}
	return numbers
}

// Range is a number, or a list of the two ends of a range; both lie from lowest to highest.
func (t Table) Range(key string, absentLow, absentHigh, lowest, highest float64) (low, high float64) {
	value, present := t.get(key)
	if !present {
		return absentLow, absentHigh
	}
	low, high, ok := ends(value, toFloat)
	if !ok || !(low >= lowest && high <= highest) {
		t.Fail(key, "want a number from %g to %g, or two such, the smaller first, got %v", lowest, highest, value)
		return absentLow, absentHigh
	}
	return low, high
}

// Duration is a time such as "250ms", at most longest.
func (t Table) Duration(key string, absent, longest time.Duration) time.Duration {
	duration, _ := t.DurationRange(key, absent, absent, longest)
	return duration
}

// DurationRange is a time such as "250ms", or a list of the two ends of a range; both are at most longest.
func (t Table) DurationRange(key string, absentLow, absentHigh, longest time.Duration) (low, high time.Duration) {
	value, present := t.get(key)
	if !present {
		return absentLow, absentHigh
	}
	low, high, ok := ends(value, toDuration)
	if !ok || high > longest {
		t.Fail(key, `want a time of at most %v such as "250ms", or two such, the shorter first, got %v`, longest, value)
		return absentLow, absentHigh
	}
	return low, high
}

// toDuration converts a text to a time that is not negative.
func toDuration(value any) (duration time.Duration, ok bool) {
	text, isText := value.(string)
	if !isText {
		return 0, false
	}
	duration, err := time.ParseDuration(text)
	return duration, err == nil && duration >= 0
}

// ends are the two ends of a range, the lower first. A single value is both.
func ends[T float64 | time.Duration](value any, convert func(any) (T, bool)) (low, high T, ok bool) {
	if single, ok := convert(value); ok {
		return single, single, true
	}
	list, _ := value.([]any)
	if len(list) != 2 {
		return 0, 0, false
	}
	low, okLow := convert(list[0])
	high, okHigh := convert(list[1])
	return low, high, okLow && okHigh && low <= high
}
