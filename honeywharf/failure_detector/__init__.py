"""Membership: a ring of watchers, beats to them, doubts that two must share. Rules without I/O."""
