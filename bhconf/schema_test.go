package bhconf

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func readJSON(t *testing.T, path string) any {
	file, err := os.Open(path)
	require.NoError(t, err)
	defer file.Close()
	document, err := jsonschema.UnmarshalJSON(file)
	require.NoError(t, err)
	return document
}

func TestExamplesMatchSchema(t *testing.T) {
	schema, err := jsonschema.NewCompiler().Compile("schema.json")
	require.NoError(t, err)
	for _, name := range []string{"linrota", "hinokuni"} {
		document := readJSON(t, "../examples/"+name+"/config.json")
		assert.NoError(t, schema.Validate(document), name)
		accounts := document.(map[string]any)["accounts"].([]any)
		assert.Len(t, accounts, 8)
		accounts[0].(map[string]any)["extra"] = true
		assert.Error(t, schema.Validate(document), "the schema must reject unknown fields")
	}
}

func TestSchemaPropertiesMatchStructFields(t *testing.T) {
	root := readJSON(t, "schema.json").(map[string]any)
	defs := root["$defs"].(map[string]any)
	types := map[string]reflect.Type{
		"account": reflect.TypeFor[Account](), "key": reflect.TypeFor[Key](), "model": reflect.TypeFor[Model](),
		"group": reflect.TypeFor[Group](), "upstream": reflect.TypeFor[Upstream](), "route": reflect.TypeFor[Route](),
	}
	checkProperties := func(schema map[string]any, goType reflect.Type) {
		var fields, listed []string
		for field := range goType.Fields() {
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			fields = append(fields, name)
		}
		for name := range schema["properties"].(map[string]any) {
			listed = append(listed, name)
		}
		slices.Sort(listed)
		assert.ElementsMatch(t, fields, listed, goType.Name())
	}
	checkProperties(root, reflect.TypeFor[Config]())
	for name, goType := range types {
		checkProperties(defs[name].(map[string]any), goType)
	}
}
