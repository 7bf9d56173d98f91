"""Measurements that anyone can repeat; each is a command, `python -m bench.NAME`."""
