"""Checks that two checkouts send and store the same bytes, and run together in one control plane."""
