package main

import (
	"encoding/json"
	"fmt"
	"os"
)

// indentedJSON returns an encoder that writes indented JSON to standard output.
func indentedJSON() *json.Encoder {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder
}

// printValue writes a value to standard output, as JSON or as text.
func printValue(asJSON bool, value any, text func() string) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(value)
	}
	_, err := fmt.Println(text())
	return err
}

// printRows writes measurements to standard output, as one JSON list or as one line of text each.
func printRows[Row any](asJSON bool, rows []Row, format func(Row) string) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	for _, row := range rows {
		fmt.Println(format(row))
	}
	return nil
}
