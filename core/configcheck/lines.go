package configcheck

import (
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
