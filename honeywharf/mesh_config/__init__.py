"""What the mesh is told, checked before anything acts on it: settings files, configurations, route tables."""
