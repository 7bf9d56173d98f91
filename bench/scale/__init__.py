"""Components of the scale bench (`bench.mesh_scale`): real processes beside hollow sidecars."""
