package httpserver

import "bytes"

// maxJSONDepth is the nesting depth from which encoding/json refuses a value.
const maxJSONDepth = 10_000

// innerElementBytes is the size of an element of an array within an array: a number or the
// header of a string.
const innerElementBytes = 24

// JSONShape counts the parts of a JSON text that take memory when it is decoded, whatever
// their length. The counts are upper bounds.
type JSONShape struct {
	// Elements counts the elements of arrays that are in no other array, InnerElements those
	// of the other arrays, and Fields the fields of objects.
	Elements, InnerElements, Fields int64
}

// Size estimates the memory in bytes that the decoded form of the elements needs at most
// while it is decoded by encoding/json: arrays grow by steps with the former array still in
// use. elementBytes is the size of one of Elements. A body with few bytes for each element
// can decode to a hundred times its size.
func (s JSONShape) Size(elementBytes int64) int64 {
	return (s.Elements*elementBytes + s.InnerElements*innerElementBytes) * 9 / 4
}

// JSONSize returns the size of the elements of data, and of its strings, once as they are and
// once without escapes.
func JSONSize(data []byte, elementBytes int64) int64 {
	return ShapeOf(data).Size(elementBytes) + 2*int64(len(data))
}

// structural marks the bytes outside strings that ShapeOf looks at.
var structural = [256]bool{'"': true, ':': true, ',': true, '[': true, ']': true, '{': true, '}': true}

// ShapeOf returns the shape of a JSON text, which need not be valid.
func ShapeOf(data []byte) JSONShape {
	var shape JSONShape
	// open holds the brackets that are not closed yet, arrays the number of '[' in it.
	var open []byte
	arrays := 0
	for i := 0; i < len(data); i++ {
		c := data[i]
		if !structural[c] {
			continue
		}
		switch c {
		case '"':
			i = endOfString(data, i+1)
		case ':':
			shape.Fields++
		case '[', '{':
			if len(open) == maxJSONDepth {
				return shape
			}
			open = append(open, c)
			if c == '[' {
				arrays++
				shape.addElement(arrays)
			}
		case ']', '}':
			if len(open) == 0 {
				return shape
			}
			if open[len(open)-1] == '[' {
				arrays--
			}
			open = open[:len(open)-1]
		case ',':
			if len(open) > 0 && open[len(open)-1] == '[' {
				shape.addElement(arrays)
			}
		}
	}
	return shape
}

// addElement counts an element of an array within a number of arrays.
func (s *JSONShape) addElement(arrays int) {
	if arrays == 1 {
		s.Elements++
	} else {
		s.InnerElements++
	}
}

// endOfString returns the index of the quotation mark that ends the string whose content
// begins at start, or the length of data.
func endOfString(data []byte, start int) int {
	for start < len(data) {
		end := bytes.IndexByte(data[start:], '"')
		if end < 0 {
			break
		}
		escape := bytes.IndexByte(data[start:start+end], '\\')
		if escape < 0 {
			return start + end
		}
		start += escape + 2
	}
	return len(data)
}
