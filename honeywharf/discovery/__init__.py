"""The platform's discovery: its lists, and the watch on them."""
