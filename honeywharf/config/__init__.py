"""Checked configuration of honeywharf's own features; imported only where a file of them is given."""
