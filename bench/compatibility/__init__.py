"""Do two checkouts send and store the same bytes, and take turns in one running control plane?"""
