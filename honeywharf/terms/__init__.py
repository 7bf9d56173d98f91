"""The settings of a site that a balancer works with, and their validation; no decision is made here."""
