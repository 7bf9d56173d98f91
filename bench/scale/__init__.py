"""Parts of the scale run (`bench.mesh_scale`): real control and sidecar processes beside hollow sidecars."""
