package configcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"gopkg.in/yaml.v3"
)

// maxDepth bounds the nesting of the fields that YAMLLines reports.
const maxDepth = 8

// fieldNames returns the names of the fields of a kind of file.
func fieldNames(kind Kind) string {
	return strings.Join(slices.Sorted(maps.Keys(accepted[kind])), ", ")
}

// YAMLLines returns the line of each field of a YAML or JSON file by its path, such as
// "domains[0]". It returns an empty map if the file cannot be decoded.
func YAMLLines(data []byte) map[string]int {
	lines := map[string]int{}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil || len(document.Content) == 0 {
		return lines
	}
	addLines(lines, document.Content[0], "", maxDepth)
	return lines
}

// addLines adds the lines of the fields below a node.
func addLines(lines map[string]int, node *yaml.Node, path string, depth int) {
	if depth == 0 {
		return
	}
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			name := node.Content[i].Value
			if path != "" {
				name = path + "." + name
			}
			lines[name] = node.Content[i].Line
			addLines(lines, node.Content[i+1], name, depth-1)
		}
	case yaml.SequenceNode:
		for i, item := range node.Content {
			name := fmt.Sprintf("%s[%d]", path, i)
			lines[name] = item.Line
			addLines(lines, item, name, depth-1)
		}
	default:
	}
}

// LineAt returns the line of an offset in data.
func LineAt(data []byte, offset int64) int {
	end := min(max(offset, 0), int64(len(data)))
	return 1 + bytes.Count(data[:end], []byte{'\n'})
}

// JSONLines returns the line of each field of a JSON file by its path, such as
// "routes[0].host". If the file is malformed, it returns the fields before the error.
func JSONLines(data []byte) map[string]int {
	walker := jsonWalker{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), line: 1, lines: map[string]int{}}
	walker.value("", maxDepth)
	return walker.lines
}

// jsonWalker collects the lines of the fields of a JSON text.
type jsonWalker struct {
	data    []byte
	decoder *json.Decoder
	// counted is the offset up to which line counts.
	counted int64
	line    int
	lines   map[string]int
}

// token returns the next token and advances line to it. It returns nil at the end of the text
// and at an error.
func (w *jsonWalker) token() json.Token {
	token, err := w.decoder.Token()
	if err != nil {
		return nil
	}
	offset := w.decoder.InputOffset()
	w.line += bytes.Count(w.data[w.counted:offset], []byte{'\n'})
	w.counted = offset
	return token
}

// value consumes the value at a path. It returns false at the end of the text, at an error and
// at a value that is nested too deep.
func (w *jsonWalker) value(path string, depth int) bool {
	token := w.token()
	if strings.HasSuffix(path, "]") {
		w.lines[path] = w.line
	}
	delim, nested := token.(json.Delim)
	if !nested {
		return token != nil
	}
	if depth == 0 {
		return false
	}
	for i := 0; w.decoder.More(); i++ {
		name := fmt.Sprintf("%s[%d]", path, i)
		if delim == '{' {
			key, ok := w.token().(string)
			if !ok {
				return false
			}
			name = strings.TrimPrefix(path+"."+key, ".")
			w.lines[name] = w.line
		}
		if !w.value(name, depth-1) {
			return false
		}
	}
	return w.token() != nil
}
