package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"streamcleat/internal/verification/invariants"
)

// verifyCommand returns the command that checks the five rules on the recorded traffic of a run.
func verifyCommand(name string) *cobra.Command {
	var rulesFile string
	cmd := &cobra.Command{
		Use:   name + " RECORD",
		Short: "Check the five rules on recorded traffic, with parameters from a JSON file",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return verifyRecord(rulesFile, args[0])
		},
	}
	cmd.Flags().StringVar(&rulesFile, "rules", "", "JSON file with the parameters of the rules")
	requireFlags(cmd, "rules")
	return cmd
}

func verifyRecord(rulesFile, recordFile string) error {
	rules, err := readRules(rulesFile)
	if err != nil {
		return usageError(fmt.Errorf("rules: %w", err))
	}
	file, err := os.Open(recordFile)
	if err != nil {
		return usageError(err)
	}
	defer closeReader(file)
	records, err := invariants.Read(file)
	if err != nil {
		return usageError(fmt.Errorf("%s: %w", recordFile, err))
	}
	verdict := invariants.Check(rules, records)
	if err := indentedJSON().Encode(verdict); err != nil {
		return err
	}
	if verdict.RulesBroken > 0 {
		return fmt.Errorf("%d of five rules broken", verdict.RulesBroken)
	}
	return nil
}

func readRules(path string) (invariants.Rules, error) {
	var rules invariants.Rules
	data, err := os.ReadFile(path)
	if err != nil {
		return rules, err
	}
	err = json.Unmarshal(data, &rules)
	return rules, err
}
