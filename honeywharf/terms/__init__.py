"""The terms of a site: what a balancer is told of it, checked, and without a decision in it."""
