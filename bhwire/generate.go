// Package bhwire holds the messages that baobabhaven's processes exchange. The
// types are generated from the schemas in the schema directory.
package bhwire

//go:generate go tool go-jsonschema --only-models --capitalization ID --tags json --struct-name-from-title --disable-custom-types-for-maps -p bhwire -o link.go schema/link.json
//go:generate go tool go-jsonschema --only-models --capitalization ID --tags json --struct-name-from-title --disable-custom-types-for-maps -p bhwire -o live.go schema/live.json
//go:generate go tool go-jsonschema --only-models --capitalization ID --tags json --struct-name-from-title --disable-custom-types-for-maps -p bhwire -o control.go schema/control.json
//go:generate go tool go-jsonschema --only-models --capitalization ID --tags json --struct-name-from-title --disable-custom-types-for-maps -p bhwire -o peer.go schema/peer.json
