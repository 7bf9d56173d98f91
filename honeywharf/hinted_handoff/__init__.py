"""What a missing machine should have had, kept by others within bounds and handed over on its return."""
