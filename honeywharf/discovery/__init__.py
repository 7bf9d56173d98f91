"""The client of the platform's discovery: endpoint lists and the watch on their changes."""
