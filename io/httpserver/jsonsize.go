package httpserver

// maxJSONDepth is the nesting depth from which encoding/json refuses a value.
const maxJSONDepth = 10_000

// innerElementBytes is the size of an element of an array within an array: a number or the
// header of a string.
const innerElementBytes = 24

// JSONSize estimates the memory in bytes that the decoded form of data needs at most while it
// is decoded by encoding/json: its strings, once as they are and once without escapes, and
// the arrays, which grow by steps with the former array still in use. elementBytes is the
// size of an element of an array that is in no other array. A body of a few bytes for each
// element can decode to a hundred times its size.
func JSONSize(data []byte, elementBytes int64) int64 {
	outer, inner := jsonElements(data)
	return 2*int64(len(data)) + (outer*elementBytes+inner*innerElementBytes)*9/4
}

// OuterElements returns an upper bound of the number of elements of the arrays in data that
// are in no other array.
func OuterElements(data []byte) int64 {
	outer, _ := jsonElements(data)
	return outer
}

// jsonElements counts the elements of arrays. outer counts those of arrays that are in no
// other array. data need not be valid.
func jsonElements(data []byte) (outer, inner int64) {
	// open holds the brackets that are not closed yet, arrays the number of '[' in it.
	var open []byte
	arrays := 0
	count := func() {
		if arrays == 1 {
			outer++
		} else {
			inner++
		}
	}
	for i := 0; i < len(data); i++ {
		switch c := data[i]; c {
		case '"':
			i = endOfString(data, i+1)
		case '[', '{':
			if len(open) == maxJSONDepth {
				return outer, inner
			}
			open = append(open, c)
			if c == '[' {
				arrays++
				count()
			}
		case ']', '}':
			if len(open) == 0 {
				return outer, inner
			}
			if open[len(open)-1] == '[' {
				arrays--
			}
			open = open[:len(open)-1]
		case ',':
			if len(open) > 0 && open[len(open)-1] == '[' {
				count()
			}
		}
	}
	return outer, inner
}

// endOfString returns the index of the quotation mark that ends the string whose content
// begins at start, or the length of data.
func endOfString(data []byte, start int) int {
	for i := start; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}
