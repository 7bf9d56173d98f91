"""Sessions between regions: streams that outlive the gateway that carries them, and gateways that drain."""
