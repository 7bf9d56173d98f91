"""Sessions between regions: request streams that survive the loss of a gateway, and gateways that drain."""
